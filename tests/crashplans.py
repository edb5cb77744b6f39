"""Plans of runs in which endpoints end, and what happened in a run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import Any, Final

from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import (
    EngineTraits,
    PooledService,
    RequestKind,
    RouteConfig,
    SplitShare,
)
from tests.crashingendpoints import (
    HEALTH_PATH,
    After,
    Body,
    Ending,
    Link,
    Point,
)
from tests.deployments import a_config, a_route

DEFAULT_PREFIX: Final = "a1:40,b2:20"
CONTACT_S: Final = 3.0  # A router is in touch this long after a fault.
TIMEOUT_S: Final = 4.0  # A caller gives up after this.
LATENCY_TARGET_S: Final = 0.8
SERVICES: Final = {"llm": 6, "desk": 4, "till": 3}  # Endpoints of each.


@dataclass(frozen=True, slots=True)
class _RouteTraits:
    """What distinguishes a route of the fleet."""

    services: tuple[str, ...]
    kind: RequestKind
    resumable: bool = False
    max_attempts: int = 3

    @property
    def streams(self) -> bool:
        """Return whether its answers are event streams."""
        return self.kind is RequestKind.STREAMING


# By path prefix.
ROUTES: Final = {
    "/talk/": _RouteTraits(("llm",), RequestKind.STREAMING, True),
    "/tell/": _RouteTraits(("llm",), RequestKind.STREAMING),
    "/safe/": _RouteTraits(("desk",), RequestKind.IDEMPOTENT),
    "/once/": _RouteTraits(("desk",), RequestKind.NON_IDEMPOTENT),
    "/twice/": _RouteTraits(("desk",), RequestKind.IDEMPOTENT, max_attempts=2),
    "/split/": _RouteTraits(("desk", "till"), RequestKind.NON_IDEMPOTENT),
    "/often/": _RouteTraits(
        ("llm",), RequestKind.STREAMING, True, max_attempts=8
    ),
}
BACKGROUND_PATHS: Final = ("/talk/", "/tell/", "/safe/", "/once/")


@dataclass(frozen=True, slots=True)
class Repeats:
    """One request that its callers send again and again."""

    body: bytes  # What it does to endpoints; see `Body`.
    path: str
    interval_s: float = 1.0
    begin_s: float = 3.0
    routers: tuple[int, ...] = ()  # In turn; empty: all.
    prefix: str = DEFAULT_PREFIX  # The parts of its prompt, if it streams.


@dataclass(frozen=True, slots=True)
class Prompts:
    """Requests whose prompts share parts, no two alike, at random times.

    Each has one part of each group, picked at random, and a last part of its
    own.
    """

    label: bytes  # Its requests' name in the history.
    groups: tuple[tuple[str, ...], ...]  # The parts' ids, in order.
    per_s: float = 1.0
    body: bytes = b"sound"  # What they do to endpoints; see `Body`.
    path: str = "/tell/"
    begin_s: float = 0.5
    end_s: float = 1000.0
    leave_s: float = 0.0  # When callers leave; 0: at their timeout.
    routers: tuple[int, ...] = ()  # Picked at random; empty: all.
    prefix: str = ""  # The header's value, in place of the parts.


@dataclass(frozen=True, slots=True)
class RouterFault:
    """A router that is restarted, stopped, frozen, or cut off from peers."""

    at_s: float
    routers: tuple[int, ...]
    cut_s: float = 0.0  # How long it is cut off; 0: it is restarted.
    stops: bool = False  # Whether it stops for good instead.
    frozen_s: float = 0.0  # How long it stands still instead.
    dark_s: float = 0.0  # From its end to its next start.
    no_list_s: float = 0.0  # How long it reads no endpoint list, besides.


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Endpoints that name a limit for a time."""

    value: bytes  # As in the header.
    begin_s: float
    end_s: float
    service: str = "llm"
    endpoints: int = 100  # So many of the service's first ones.

    def applies(self, service: str, number: int, now_s: float) -> bool:
        """Return whether an endpoint names it now."""
        return (
            service == self.service
            and number < self.endpoints
            and self.begin_s <= now_s < self.end_s
        )


@dataclass(frozen=True, slots=True)
class CrashPlan:
    """A run of routers before endpoints that end."""

    repeats: tuple[Repeats, ...] = ()
    ending: Ending = field(
        default_factory=lambda: Ending(Point.AMID, Link.CLOSED, After.REFUSES)
    )
    faults: tuple[RouterFault, ...] = ()
    kills: tuple[tuple[float, str], ...] = ()  # Times and services.
    seed: int = 1
    routers: int = 4
    loss: float = 0.02  # Share of lost updates between routers.
    background_per_s: float = 2.0  # Streams and calls, at each router.
    engines: int = 6  # Endpoints of the model service.
    tells_starts: bool = True  # Whether endpoints tell when they started.
    end_s: float = 34.0
    prompts: tuple[Prompts, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    drains: tuple[tuple[float, str], ...] = ()  # Times and endpoints.
    # When the store answers no call: from and to.
    store_away: tuple[tuple[float, float], ...] = ()
    closes: bool = False  # Whether endpoints close connections after answers.
    # By how much the times of day of routers are wrong, by their numbers.
    clock_errors_s: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that reached an endpoint."""

    at_s: float
    router: int
    endpoint: str


@dataclass(slots=True)
class CrashHistory:
    """What happened in a run, by the body of the requests."""

    sent: dict[bytes, list[Sent]] = field(
        default_factory=lambda: defaultdict(list)
    )
    ids: dict[bytes, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    crashes_s: list[float] = field(default_factory=list)
    asked: dict[bytes, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Status and code of each answer; code is empty unless a router's.
    answers: dict[bytes, list[tuple[str, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # What each caller received, in the order of `answers`.
    replies: dict[bytes, list[bytes]] = field(
        default_factory=lambda: defaultdict(list)
    )
    probes: int = 0  # Health checks of routers.
    # Of each endpoint: the bytes sent that belong to no answer.
    useless_bytes: list[int] = field(default_factory=list)
    # When each answer's request was sent, in the order of `answers`.
    answered_asked_s: dict[bytes, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # When the endpoints that each kind of request crashed ended.
    crashed_by: dict[bytes, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # The requests that reached each endpoint, run or not.
    arrivals: dict[str, list[Sent]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # When each endpoint named a limit to each router, and the value.
    named: dict[str, list[tuple[float, int, bytes]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    decisions: list[tuple[float, int, Decision]] = field(default_factory=list)
    out_of_touch: list[tuple[float, float, int]] = field(default_factory=list)

    def sent_after_third_crash(self, body: bytes) -> list[Sent]:
        """Return what routers in touch sent long after the third crash."""
        return self._sent_after(body, self.crashes_s, 3)

    def sent_after_fifth_crash(self, label: bytes) -> list[Sent]:
        """Return what routers in touch sent long after the fifth crash."""
        return self._sent_after(label, self.crashed_by[label], 5)

    def answers_since(self, label: bytes, begin_s: float) -> int:
        """Return the number of answers to requests sent since a time."""
        return sum(at_s >= begin_s for at_s in self.answered_asked_s[label])

    def served_share(
        self, label: bytes, begin_s: float, end_s: float = float("inf")
    ) -> float:
        """Return the share of requests sent in an interval that got 200."""
        answers = [
            status == "200"
            for (status, _), asked_s in zip(
                self.answers[label], self.answered_asked_s[label], strict=True
            )
            if begin_s <= asked_s < end_s
        ]
        return sum(answers) / len(answers)

    def _sent_after(
        self, label: bytes, crashes_s: list[float], number: int
    ) -> list[Sent]:
        if len(crashes_s) < number:
            return []
        begin_s = sorted(crashes_s)[number - 1] + CONTACT_S
        return [
            sent
            for sent in self.sent[label]
            if sent.at_s > begin_s and self.in_touch(sent)
        ]

    def codes(self, body: bytes) -> list[str]:
        """Return the codes of the routers' own answers to a request."""
        return [code for _, code in self.answers[body] if code]

    def lines(self, kind: str, endpoint: str = "") -> list[Decision]:
        """Return the log lines of a kind, about an endpoint if given."""
        return [
            line
            for _, _, line in self.decisions
            if line.kind == kind and endpoint in ("", line.endpoint)
        ]

    def in_touch(self, sent: Sent) -> bool:
        return not any(
            begin_s <= sent.at_s < end_s and sent.router == router
            for begin_s, end_s, router in self.out_of_touch
        )


def crashing(path: str, **changes: Any) -> Repeats:
    """Return the repeats of a request that crashes endpoints."""
    return replace(Repeats(Body.CRASH, path), **changes)


def crash_config() -> RouteConfig:
    """Return the configuration of the fleet's routes and services."""
    routes: tuple[Any, ...] = tuple(
        a_route(
            name=f"r{prefix}",
            prefix=prefix,
            kind=traits.kind,
            split=tuple(SplitShare(name, 1.0) for name in traits.services),
            timeout_s=TIMEOUT_S,
            latency_target_s=LATENCY_TARGET_S,
            max_attempts=traits.max_attempts,
            resumable=traits.resumable,
            max_event_gap_s=0.25,
        )
        for prefix, traits in ROUTES.items()
    )
    return replace(
        a_config(*routes),
        services=(
            PooledService("desk", 400, None, HEALTH_PATH),
            PooledService("till", 400, None, HEALTH_PATH),
            PooledService("llm", 400, EngineTraits(64, 200_000), HEALTH_PATH),
        ),
    )
