"""Configuration of a fleet that routes by host and path.

A *route* maps a host and a path prefix to one or more services.  An
*endpoint* is one process of a service.  A process that starts again may keep
its id and its address; its entry then names another start in `born`.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Final

NO_VERSION: Final = -1


class RequestKind(StrEnum):
    """The kind of requests that a route handles."""

    IDEMPOTENT = "idempotent"  # May run more than once.
    NON_IDEMPOTENT = "non_idempotent"  # Must run at most once.
    STREAMING = "streaming"  # Answered with an event stream.


@dataclass(frozen=True, slots=True)
class SplitShare:
    """The share of a route's requests that a service gets."""

    service: str  # The service's name.
    weight: float  # Relative to the weights of the other services.


@dataclass(frozen=True, slots=True)
class Route:
    """Maps a host and a path prefix to services."""

    name: str  # Unique in the configuration.
    host: str  # In lower case.
    prefix: str  # Starts and ends with a slash.
    kind: RequestKind
    split: tuple[SplitShare, ...]  # At least one service.
    timeout_s: float  # The longest time that a caller may wait.
    latency_target_s: float
    priority: int = 0  # 0 is the highest priority.
    max_attempts: int = 1  # Endpoints that one request may be sent to.
    public: bool = False  # Whether requests need no key.
    resumable: bool = False  # Whether another endpoint can resume a stream.
    max_event_gap_s: float = 0.0  # Longest pause between events; 0: any.

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """The capacity of each engine of a model service."""

    slots: int  # Requests in one batch.
    memory_tokens: int  # Tokens of running requests and cached parts.


@dataclass(frozen=True, slots=True)
class PooledService:
    """A pool of equivalent endpoints."""

    name: str  # Unique in the configuration.
    max_connections: int  # Per endpoint, from all routers together.
    engine: EngineTraits | None = None  # None: a plain service.
    health_path: str = ""  # Where its endpoints tell their id; empty: none.
    # Requests a second that a cold endpoint takes from all routers, as
    # configured; None: not given.  Only a finite one above 0 is a limit.
    cold_per_s: float | None = None
    cold_start_s: float = 3.0  # How long an endpoint is cold after its start.


@dataclass(frozen=True, slots=True)
class WorkspaceKeys:
    """A workspace and the API keys of its callers."""

    name: str  # Unique in the configuration.
    key_digests: tuple[bytes, ...]  # SHA-256 of each key.
    priority: int | None = None  # Overrides the route's priority.


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16_384  # The largest head of a request.
    body_bytes: int = 4 * 2**20  # The largest body of a request.
    header_timeout_s: float = 3.0  # For a request's head to arrive.
    idle_timeout_s: float = 15.0  # For a connection without a request.


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One version of the published configuration."""

    version: int = NO_VERSION  # Grows with each publication.
    routes: tuple[Route, ...] = ()
    services: tuple[PooledService, ...] = ()
    workspaces: tuple[WorkspaceKeys, ...] = ()
    limits: ClientLimits = field(default_factory=ClientLimits)
    tokens_per_s: float = 0.0  # Nominal capacity; only logged.  0: unknown.
    requires_keys: bool = False  # Applies to routes that are not public.


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An endpoint's entry in the platform's endpoint list."""

    endpoint: str  # The endpoint's id; a process may start again under it.
    service: str  # The service's name.
    host: str  # The IP address.
    port: int
    availability_zone: str
    slots: int  # The number of requests that it processes concurrently.
    leaving: bool = False  # Whether it takes no new requests.
    warmup_remaining_s: float = 0.0  # It is slow for this long.
    version: str = ""  # Of its software; empty: not known.
    # When its process started, as it says; empty: not told.
    born: str = ""

    def may_be_process_of(self, other: EndpointEntry) -> bool:
        """Return whether another entry of this id may be of this process.

        An entry that does not tell when its process started contradicts none.

        :param other: the other entry
        """
        if self.born and other.born and self.born != other.born:
            return False
        return (self.service, self.host, self.port, self.version) == (
            other.service,
            other.host,
            other.port,
            other.version,
        )

    def after(self, earlier: EndpointEntry) -> EndpointEntry:
        """Return this entry, with the start that an earlier one told.

        :param earlier: an entry that may be of the same process
        """
        return self if self.born else replace(self, born=earlier.born)
