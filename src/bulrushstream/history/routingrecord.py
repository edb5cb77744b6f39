"""The recorded history of a fleet of front-end routers."""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushstream.history.routingplan import PlannedRequest


@dataclass(frozen=True, slots=True)
class Run:
    """An endpoint received a request."""

    at_s: float  # Virtual time.
    request_id: str  # The caller's request id.
    service: str  # The endpoint's service.
    endpoint: str  # The endpoint's id.
    executed: bool  # False: it answered that it did not run the request.
    timeout_s: float  # The remaining time that the router sent.
    router: int  # The number of the router that sent it.


@dataclass(slots=True)
class Reply:
    """What a caller sent and received."""

    request: PlannedRequest
    sent_s: float  # Virtual time.
    sent_boot_s: float  # The router's CLOCK_BOOTTIME at that moment.
    after: int = 0  # The last event that the caller has already.
    data: bytes = b""  # The bytes received so far.
    end_count: int = 0  # Number of times that an answer ended.
    ended_s: float = 0.0  # When the answer or the connection ended.
    aborted: bool = False  # Whether the router closed the connection.
    disconnected: bool = False  # Whether the caller closed it.

    @property
    def status(self) -> int:
        """Return the HTTP status; 0 if nothing was received."""
        return int(self.data.split(b" ", 2)[1]) if self.data else 0


@dataclass(slots=True)
class RoutingHistory:
    """Requests, runs and faults of one run of the fleet."""

    replies: dict[str, Reply] = field(default_factory=dict)  # By request id.
    runs: list[Run] = field(default_factory=list)  # By time.
    # When a key was revoked, by key, on each router's boot clock.
    revoked_boot_s: dict[int, tuple[float, ...]] = field(default_factory=dict)
    # Runs that continued after their caller had disconnected.
    orphaned_runs: list[str] = field(default_factory=list)
    # Attempts at endpoints that the router knew to be draining.
    sent_to_draining: list[str] = field(default_factory=list)
    # Time, router and endpoint of each rest that was asked for.
    rests: list[tuple[float, int, str]] = field(default_factory=list)
    # When each router was first told that an endpoint leaves.
    left_s: dict[tuple[int, str], float] = field(default_factory=dict)
    # The software versions that wrote a stream's events, over all tries, by
    # the id of its first request.
    versions: dict[str, set[str]] = field(default_factory=dict)
    leaks: list[str] = field(default_factory=list)  # State left at the end.
    exceptions: list[str] = field(default_factory=list)  # Unhandled ones.
