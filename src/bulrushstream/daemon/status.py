"""The status documents that instances serve to operators."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushstream.state.status import Status


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """A router's status."""

    common: Status  # The part that all roles share.
    waiting: int  # Requests in its queues.
    waiting_bytes: int  # Memory that they use.
    unanswered: int  # Requests whose answers have not ended.


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """An agent's status."""

    common: Status  # The part that all roles share.
    service: str  # The endpoint's service.
    endpoint: str  # The endpoint's name.
    slots: int  # Requests that may run at the endpoint now.
    running: int  # Requests that run there.
    breaker: str  # Phase of the endpoint's circuit breaker.


@dataclass(frozen=True, slots=True)
class QuarantineStatus:
    """A fingerprint of requests that were in flight at crashes."""

    fingerprint: str  # In hexadecimal digits.
    strikes: int  # Crashes that still count.
    refused: bool  # Whether such requests are refused now.
    ends_s: float  # Seconds until the quarantine ends.
