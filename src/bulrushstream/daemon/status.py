"""What an instance tells operators of itself."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CommonStatus:
    """What every role tells."""

    instance: str  # The instance's name.
    incarnation: int  # This start of it.
    role: str  # What it does.
    region: str  # Where it runs.
    availability_zone: str  # Where it runs.
    config_version: int  # The configuration in force; -1: none.
    config_digest: str  # Digest of that configuration.
    draining: bool  # Whether it takes no new work.
    peers: tuple[str, ...]  # Instances with a link to it.
    degraded: Mapping[str, str]  # Failing uses of the platform, and why.


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """What a router tells."""

    common: CommonStatus  # What every role tells.
    waiting: int  # Requests in its queues.
    waiting_bytes: int  # Their memory.
    unanswered: int  # Callers whose answers have not ended.


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """What an agent tells."""

    common: CommonStatus  # What every role tells.
    service: str  # The service of its endpoint.
    endpoint: str  # The name of its endpoint.
    slots: int  # Requests that may be at the endpoint now.
    running: int  # Requests that are.
    breaker: str  # The endpoint's circuit breaker.
