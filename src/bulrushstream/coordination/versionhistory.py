"""Whether the endpoints of a service had several software versions lately.

A router that does not know where a stream began may let it go on only if no
other version served while it may have begun.  A router that stood still or was
cut off does not know yet what has joined meanwhile.  An endpoint gets requests
once it is listed, so a list that was read after the stream had begun *shows*
all versions at which that may have been; what was read before shows nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.routerpresence import SILENT_S
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import LatelyMixed
from bulrushstream.state.routes import RequestKind, Route

# Streams are remembered for this time after the last sign of them, or for
# the second figure times the timeout of their route if that is longer.
KEEP_S: Final = 30.0
KEEP_TIMEOUTS: Final = 2.0

# Names the platform's store among those who tell of versions.
STORE: Final = "store"

# Names the endpoint list of this router among them.
LIST: Final = "endpoint list"

# While the list can not be read, a router relies on its peers if it has heard
# them for this long without a pause: several of their heartbeats.
IN_STEP_S: Final = 2.0


@dataclass(slots=True)
class VersionHistory:
    """The versions of each service's endpoints, as one router knows them."""

    observe: Callable[[Decision], None]  # Logs a decision.
    clock: Callable[[], float]  # Also runs while suspended; seconds.
    # Whether it is known what served before this router started.
    complete: bool = False
    whole_reads: int = 0  # How often the list was read whole once more.
    list_confirmed_s: float = float("-inf")  # The last read that was current.
    peer_heard_s: float = float("-inf")  # The last update of any peer.
    in_step_since_s: float = float("inf")  # Peers are heard since then.
    # The last read of a peer that told of it.
    peer_list_read_s: float = float("-inf")
    # The last two times at which the router's timers ran.  What arrives was
    # sent after the first one, as the socket was read between them.
    _ticks_s: tuple[float, float] = (float("-inf"), float("-inf"))
    # Called when it becomes known that a service has several versions.
    on_several: Callable[[], None] = lambda: None
    _listed: dict[str, frozenset[str]] = field(default_factory=dict)
    # Until when streams of several versions may be taken up, by service.
    _several_until_s: dict[str, float] = field(default_factory=dict)
    # When this router's list last named several versions, by service.
    _listed_several_s: dict[str, float] = field(default_factory=dict)
    _keep_s: dict[str, float] = field(default_factory=dict)  # By service.
    _routes: dict[str, frozenset[str]] = field(default_factory=dict)
    # Services that share a route with others.
    _split: set[str] = field(default_factory=set)
    # Until when streams may be taken up that began before their route moved
    # from or to a service.
    _moved_until_s: dict[str, float] = field(default_factory=dict)

    def configure(self, routes: Iterable[Route]) -> None:
        """Apply the routes of a configuration.

        :param routes: all routes
        """
        now_s = self.clock()
        self._split.clear()
        for route in routes:
            if route.kind is not RequestKind.STREAMING:
                continue
            services = frozenset(share.service for share in route.split)
            before = self._routes.get(route.name, services)
            keep_s = max(KEEP_S, KEEP_TIMEOUTS * route.timeout_s)
            for service in services | before:
                known_s = self._keep_s.get(service, KEEP_S)
                self._keep_s[service] = max(known_s, keep_s)
                if before != services:
                    self._moved_until_s[service] = now_s + keep_s
            if len(services) > 1:
                self._split |= services
            self._routes[route.name] = services

    def list_versions(self, service: str, versions: Iterable[str]) -> None:
        """Record the versions that the endpoint list names for a service.

        :param service: the service's name
        :param versions: of each of its endpoints; empty: not known, which
            counts as another version than any other
        """
        listed = frozenset(versions)
        before = self._listed.get(service, listed)
        several = len(listed) > 1 or "" in listed
        # An endpoint may be replaced within one read of the list.
        several = several or (bool(listed and before) and listed != before)
        if listed:
            self._listed[service] = listed
        if several:
            self._set_several(service, LIST)

    def told(
        self, services: Iterable[str], reporter: str, age_s: float = 0.0
    ) -> None:
        """Record services that had several versions, as others know them.

        :param services: the names of the services
        :param reporter: the router that told it, or the store
        :param age_s: how long ago they had
        """
        for service in services:
            self._set_several(service, reporter, age_s)

    def served_before(self, service: str, version: str) -> None:
        """Record the version that served before this router started.

        :param service: the service's name
        :param version: the only one that it had
        """
        before = frozenset((version,))
        if self._listed.setdefault(service, before) != before:
            self._set_several(service, STORE)

    def had_several(self, service: str) -> bool:
        """Return whether streams of several versions may be taken up.

        :param service: the service's name
        """
        until_s = self._several_until_s.get(service, float("-inf"))
        return self.clock() < until_s

    def listed_with_several(self) -> tuple[str, ...]:
        """Return the services of which several versions are listed now."""
        return tuple(filter(self.lists_several, self._listed))

    def lately_mixed(self) -> tuple[LatelyMixed, ...]:
        """Return the services of which this router listed several lately.

        A peer that missed the reports could take a stream of a version that
        is gone for one of the version that serves.
        """
        now_s = self.clock()
        return tuple(
            LatelyMixed(service, now_s - listed_s)
            for service, listed_s in self._listed_several_s.items()
            if now_s - listed_s < self._keep_s.get(service, KEEP_S)
            and not self.lists_several(service)
        )

    def streaming_services(self) -> tuple[str, ...]:
        """Return the services whose streams may be taken up."""
        return tuple(self._keep_s)

    def only_version(self, service: str) -> str:
        """Return the version that all endpoints have; empty: none.

        :param service: the service's name
        """
        listed = self._listed.get(service, frozenset())
        return next(iter(listed)) if len(listed) == 1 else ""

    def lists_several(self, service: str) -> bool:
        """Return whether several versions are listed now.

        :param service: the service's name
        """
        listed = self._listed.get(service, frozenset())
        return len(listed) > 1 or "" in listed

    def origins_matter(self, service: str) -> bool:
        """Return whether take-ups of a service's streams may go wrong.

        :param service: the service's name
        """
        moved_until_s = self._moved_until_s.get(service, float("-inf"))
        return (
            self.had_several(service)
            or service in self._split
            or self.clock() < moved_until_s
        )

    def needs_origins(self, route: Route) -> bool:
        """Return whether a stream's origin must be known to take it up.

        :param route: the stream's route
        """
        return any(self.origins_matter(each.service) for each in route.split)

    def may_show_one_version(self, route: Route) -> bool:
        """Return whether only the age of what is known is in question.

        :param route: the route
        """
        return self.complete and not self.needs_origins(route)

    def shows_one_version_at(self, route: Route, at_s: float) -> bool:
        """Return whether all streams of a route began at the same version.

        :param route: the route
        :param at_s: the streams had begun by then
        """
        return (
            self.may_show_one_version(route) and self.list_confirmed_s >= at_s
        )

    def peers_show_one_version(self, route: Route, at_s: float) -> bool:
        """Return the same, as a peer would have told of another version.

        The peer must have read the list itself.

        :param route: the route
        :param at_s: the streams had begun by then
        """
        return (
            self.may_show_one_version(route)
            and self.peer_list_read_s >= at_s
            and self.clock() - self.in_step_since_s >= IN_STEP_S
        )

    def list_read(self, sent_s: float) -> None:
        """Record that the endpoint list was current at a time.

        :param sent_s: when the read was sent that showed it
        """
        self.list_confirmed_s = max(self.list_confirmed_s, sent_s)

    def list_read_whole(self) -> None:
        """Record that the list was read whole, once more.

        What was listed and left in between is not known until the store's
        records of versions are read.
        """
        self.complete = False
        self.whole_reads += 1

    def records_read(self, whole_reads: int) -> None:
        """Record that the store's records of versions were read.

        :param whole_reads: of the list, as that read was sent
        """
        self.complete = whole_reads == self.whole_reads

    def list_age_s(self) -> float | None:
        """Return how long ago the list was current, in seconds.

        None means that it was never read.
        """
        if self.list_confirmed_s == float("-inf"):
            return None
        return self.clock() - self.list_confirmed_s

    def tick(self) -> None:
        """Record that the router runs; called often."""
        self._ticks_s = (self._ticks_s[1], self.clock())

    def peer_heard(self, list_age_s: float | None = None) -> None:
        """Record that an update of a peer arrived.

        :param list_age_s: how long ago the peer had read the list as it sent
            the update; None: not told
        """
        now_s = self.clock()
        if list_age_s is not None:
            # It may have waited here while this router stood still.
            read_s = self._ticks_s[0] - list_age_s
            self.peer_list_read_s = max(self.peer_list_read_s, read_s)
        if now_s - self.peer_heard_s > SILENT_S:
            self.in_step_since_s = now_s
        self.peer_heard_s = now_s

    def _set_several(
        self, service: str, reporter: str, age_s: float = 0.0
    ) -> None:
        """Record that several versions of a service served."""
        known = self.had_several(service)
        keep_s = self._keep_s.get(service, KEEP_S)
        now_s = self.clock()
        if reporter == LIST:
            self._listed_several_s[service] = now_s
        until_s = self._several_until_s.get(service, now_s)
        until_s = max(until_s, now_s - age_s + keep_s)
        self._several_until_s[service] = until_s
        if known or not self.had_several(service):
            return
        self.on_several()
        self.observe(
            Decision(
                "versions",
                "several versions of a service",
                service=service,
                inputs={
                    "listed": ",".join(sorted(self._listed.get(service, ()))),
                    "reporter": reporter,
                    "keep_s": keep_s,
                },
            )
        )
