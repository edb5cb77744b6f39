"""What operators publish for a fleet that routes by host and path.

A *route* maps a host and a path prefix to one or more services.  An
*endpoint* is one process of a service, under an id of its own: an address
that is used again belongs to another endpoint.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

NO_VERSION: Final = -1


class RequestKind(StrEnum):
    """What a route says of its requests."""

    IDEMPOTENT = "idempotent"  # May run more than once.
    NON_IDEMPOTENT = "non_idempotent"  # May run at most once.
    STREAMING = "streaming"  # Answered by a stream of events.


@dataclass(frozen=True, slots=True)
class SplitShare:
    """One service's part of a route's requests."""

    service: str  # The service's name.
    weight: float  # Its part, relative to the other services' parts.


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests with a host and a path prefix go."""

    name: str  # Unique in the configuration.
    host: str  # The host, in lower case.
    prefix: str  # Begins and ends with a slash.
    kind: RequestKind  # What may be repeated.
    split: tuple[SplitShare, ...]  # The services; one at least.
    timeout_s: float  # The longest that a caller is kept waiting.
    goal_s: float  # The latency objective.
    priority: int = 0  # Its rank; 0 is the highest.
    max_attempts: int = 1  # Endpoints that one request may be sent to.
    public: bool = False  # Whether a request needs no key.
    resumable: bool = False  # Whether a stream may go on elsewhere.
    pause_s: float = 0.0  # The longest pause between events; 0: any.

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What every engine of a model service can hold."""

    slots: int  # Requests in one batch.
    memory_tokens: int  # Tokens of running requests and cached parts.


@dataclass(frozen=True, slots=True)
class PooledService:
    """A set of like endpoints."""

    name: str  # Unique in the configuration.
    max_connections: int  # Connections an endpoint takes from everyone.
    engine: EngineTraits | None = None  # None: a plain service.


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """A workspace and the keys that its callers present."""

    name: str  # Unique in the configuration.
    key_digests: tuple[bytes, ...]  # SHA-256 of each key.
    priority: int | None = None  # Takes precedence over a route's.


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a caller may send, and how slowly."""

    header_bytes: int = 16_384  # The largest head of a request.
    body_bytes: int = 4 * 2**20  # The largest body of a request.
    header_timeout_s: float = 3.0  # For the head to arrive.
    idle_timeout_s: float = 15.0  # For a connection without a request.


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One version of everything that operators publish."""

    version: int = NO_VERSION  # Grows from one to the next.
    routes: tuple[Route, ...] = ()
    services: tuple[PooledService, ...] = ()
    workspaces: tuple[KeyHolder, ...] = ()
    limits: ClientLimits = field(default_factory=ClientLimits)
    tokens_per_s: float = 0.0  # What all engines do together; 0: unknown.
    demands_keys: bool = False  # Whether routes need keys unless public.


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """What the platform's list says of one endpoint."""

    endpoint: str  # The id of one start of the endpoint.
    service: str  # The service's name.
    host: str  # The IP number to dial.
    port: int  # The port to dial.
    availability_zone: str  # Where it runs.
    slots: int  # Requests that it works on at once.
    leaving: bool = False  # Whether it takes no new work.
    cold_left_s: float = 0.0  # How much longer it is slow after a start.
