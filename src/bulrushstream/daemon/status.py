"""What an instance tells operators of itself."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushstream.state.status import Status


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """What a router tells."""

    common: Status  # What every role tells.
    waiting: int  # Requests in its queues.
    waiting_bytes: int  # Their memory.
    unanswered: int  # Callers whose answers have not ended.


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """What an agent tells."""

    common: Status  # What every role tells.
    service: str  # The service of its endpoint.
    endpoint: str  # The name of its endpoint.
    slots: int  # Requests that may be at the endpoint now.
    running: int  # Requests that are.
    breaker: str  # The endpoint's circuit breaker.


@dataclass(frozen=True, slots=True)
class QuarantineStatus:
    """What a router tells of requests that crash endpoints."""

    fingerprint: str  # Names them, in hexadecimal digits.
    strikes: int  # Crashes that count.
    refused: bool  # Whether they are refused now.
    ends_s: float  # Until they are not, in seconds.
