"""Fleets of routers before cold endpoints, in virtual time.

The routers' state and their updates are the real ones; requests, their wait
for connections, the store and the network are simulated.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any, Final, cast

from bulrushstream.coordination.fleetstate import (
    SWEEP_INTERVAL_S,
    FleetState,
)
from bulrushstream.coordination.fleetview import FleetView
from bulrushstream.coordination.peernotifier import PeerNotifier
from bulrushstream.daemon import safeguards
from bulrushstream.daemon.fleetsetup import make_fleet_state
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.history.routingplatform import host_of, settings_of
from bulrushstream.protocol.peercodec import decode_update, encode_update
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import (
    ColdEndpoint,
    PeerUpdate,
    RequestPlaced,
)
from bulrushstream.state.routes import EndpointEntry, PooledService
from bulrushstream.transport.datagrams import HEARTBEAT_S
from tests.deployments import an_entry

SERVICE: Final = PooledService("desk", 200, cold_per_s=10.0, cold_start_s=3.0)
BOUND: Final = 20  # 10 a second times 1.5, and 5.
LIST_S: Final = 0.6  # Between reads of the endpoint list.
RENEW_S: Final = 1.2  # Between renewals of an entry.
LATENCY_S: Final = 0.0009


@dataclass(frozen=True, slots=True)
class ColdPlan:
    """A run of a fleet before cold endpoints."""

    seed: int
    routers: int = 23
    endpoints: int = 3
    per_s: float = 20.0  # Requests at each router.
    loss: float = 0.0  # Of updates, for each receiver.
    # Begin, end, and the number of groups that do not hear each other.
    partitions: tuple[tuple[float, float, int], ...] = ()
    restarts: tuple[tuple[float, int], ...] = ()  # Time and router.
    freezes: tuple[tuple[float, float, int], ...] = ()  # Begin and end.
    # Time and endpoint; it is cold for 3 s from then on.
    cold: tuple[tuple[float, int], ...] = ()
    reopened: tuple[tuple[float, str], ...] = ()  # Time and zone.
    seeds: int = 23  # The hosts that a router's settings name.
    misdirected: float = 0.0  # The part of requests answered with 421.
    connect_s: float = 0.03  # The longest wait for a connection.
    cut_from_store: tuple[int, ...] = ()  # Routers that read no list.
    end_s: float = 10.0


@dataclass(slots=True)
class _Router:
    """One router process."""

    number: int
    incarnation: int
    state: FleetState
    pending: PeerUpdate
    flush_due: bool = False
    entries: dict[str, EndpointEntry] = field(default_factory=dict)


class ColdFleet:
    """The routers of one run, and what the endpoints got."""

    def __init__(self, plan: ColdPlan) -> None:
        self.plan = plan
        self.rng = Random(plan.seed)
        self.now_s = 0.0
        self.sent: dict[str, list[float]] = {}
        self.routers: list[_Router] = []
        self.decisions: list[tuple[float, int, Decision]] = []
        self.waits: list[float] = []  # That refused callers were told.
        self.offered = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._until_s: dict[str, float] = {}  # When each is warm again.
        self._records: dict[str, EndpointEntry] = {}
        for number in range(plan.endpoints):
            name = f"d-{number}"
            self.sent[name] = []
            self._until_s[name] = 0.0

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, action))

    def run(self) -> ColdFleet:
        """Play the plan."""
        plan, rng = self.plan, self.rng
        for number in range(plan.endpoints):
            self._renew(f"d-{number}", rng.uniform(0.0, RENEW_S))
        for at_s, number in plan.cold:
            self.at(at_s, partial(self._turn_cold, f"d-{number}"))
        for number in range(plan.routers):
            self.routers.append(self._process(number, 0))
        for number in range(plan.routers):
            self._repeat(number, HEARTBEAT_S, self._beat)
            self._repeat(number, SWEEP_INTERVAL_S, self._sweep)
            self._repeat(number, LIST_S, self._read_list)
            self._arrive(number)
        for at_s, number in plan.restarts:
            self.at(at_s, partial(self._restart, number))
        for at_s, zone in plan.reopened:
            for number in range(plan.routers):
                due_s = at_s + rng.uniform(0.0, 0.02)
                self._on(number, due_s, partial(self._reopen, zone))
        while self._events and self._events[0][0] < plan.end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self

    def most_in_a_second(self, endpoint: str, begin_s: float = 0.0) -> int:
        """Return the most requests in a second of a cold period."""
        times = [t for t in sorted(self.sent[endpoint]) if t >= begin_s]
        begin = most = 0
        for end, at_s in enumerate(times):
            while times[begin] <= at_s - 1.0:
                begin += 1
            most = max(most, end - begin + 1)
        return most

    def count(self, endpoint: str, begin_s: float, end_s: float) -> int:
        """Return the requests of an endpoint between two times."""
        return sum(begin_s <= t < end_s for t in self.sent[endpoint])

    # --- Processes.

    def _process(self, number: int, incarnation: int) -> _Router:
        plan = self.plan
        settings = settings_of(number, plan.routers)
        peers = FleetView(settings.host, settings.availability_zone)
        begin = self.rng.randrange(plan.routers)
        for step in range(min(plan.seeds, plan.routers)):
            peers.add_host(host_of((begin + step) % plan.routers), self.now_s)

        def observe(decision: Decision) -> None:
            self.decisions.append((self.now_s, number, decision))

        state = make_fleet_state(
            settings,
            peers,
            lambda: self.now_s,
            lambda: self.now_s,
            Random(f"{plan.seed} {number} {incarnation}"),
            observe,
            lambda: self.now_s,
        )
        state.cold.configure((SERVICE,), self.now_s)
        identity = PeerUpdate(f"front-{number}", incarnation, settings.host)
        router = _Router(number, incarnation, state, identity)
        state.set_notifier(cast(PeerNotifier, _Notifier(self, router)))
        return router

    def _restart(self, number: int) -> None:
        before = self.routers[number]
        self.routers[number] = self._process(number, before.incarnation + 1)

    def _frozen_until_s(self, number: int) -> float:
        ends = [
            end_s
            for begin_s, end_s, frozen in self.plan.freezes
            if frozen == number and begin_s <= self.now_s < end_s
        ]
        return max(ends, default=0.0)

    def _on(
        self, number: int, at_s: float, action: Callable[[_Router], None]
    ) -> None:
        """Schedule an action of a router, which may be frozen then."""

        def act() -> None:
            until_s = self._frozen_until_s(number)
            if until_s:
                self.at(until_s, act)
            else:
                action(self.routers[number])

        self.at(at_s, act)

    def _repeat(
        self, number: int, interval_s: float, action: Callable[[_Router], None]
    ) -> None:
        def act(router: _Router) -> None:
            action(router)
            self._on(number, self.now_s + interval_s, act)

        self._on(number, self.rng.uniform(0.0, interval_s), act)

    def _reopen(self, zone: str, router: _Router) -> None:
        router.state.zone_reopened(zone, self.now_s)

    def _sweep(self, router: _Router) -> None:
        router.state.sweep(self.now_s)

    # --- Endpoints and the list.

    def _renew(self, name: str, delay_s: float) -> None:
        def write() -> None:
            self._write(name)
            self._renew(name, RENEW_S)

        if name not in self._records:
            self._write(name)
        self.at(self.now_s + delay_s, write)

    def _write(self, name: str) -> None:
        left_s = max(0.0, self._until_s[name] - self.now_s)
        self._records[name] = an_entry(
            name, warmup_remaining_s=left_s, availability_zone="z"
        )

    def _turn_cold(self, name: str) -> None:
        # Its entry is renewed when that is due.
        self._until_s[name] = self.now_s + SERVICE.cold_start_s

    def _read_list(self, router: _Router) -> None:
        first = not router.entries
        if router.number in self.plan.cut_from_store and not first:
            return
        for name, entry in self._records.items():
            if router.entries.get(name) is not entry:
                router.entries[name] = entry
                router.state.cold.listed(entry, self.now_s)
                router.state.pool.update(entry, None)

    # --- Requests.

    def _arrive(self, number: int) -> None:
        def act(router: _Router) -> None:
            self._request(router)
            self._arrive(number)

        gap_s = self.rng.expovariate(self.plan.per_s)
        self._on(number, self.now_s + gap_s, act)

    def _request(self, router: _Router) -> None:
        state = router.state
        usable = state.pool.usable("desk", self.now_s)
        if not usable:
            return
        self.offered += 1
        chosen = safeguards.select_endpoints(state, usable, self.now_s)
        if isinstance(chosen, Refusal):
            state.cold.refused(each.name for each in usable)
            self.waits.append(chosen.wait_s)
            return
        endpoint = self.rng.choice(chosen)
        number = state.place(endpoint, None, "", self.now_s, 1e9)

        def send(now: _Router) -> None:
            if now.state is not state:
                return
            name = endpoint.name
            if state.cold.may_send(name, number, self.now_s):
                if self.rng.random() < self.plan.misdirected:
                    state.cold.not_counted(name, self.now_s)
                else:
                    self.sent[name].append(self.now_s)
            state.ended(endpoint, number)

        delay_s = self.rng.uniform(0.0, self.plan.connect_s)
        self._on(router.number, self.now_s + delay_s, send)

    # --- Updates.

    def _beat(self, router: _Router) -> None:
        state = router.state
        repeated = state.repeated_reports(self.now_s)
        hosts = state.peers.notified_hosts()
        cold = (*router.pending.cold_endpoints, *repeated.cold_endpoints)
        router.pending = replace(
            router.pending,
            cold_endpoints=cold,
            known_hosts=tuple(self.rng.sample(hosts, min(4, len(hosts)))),
        )
        self.flush(router)

    def change(self, router: _Router, **changes: Any) -> None:
        """Add to a router's next update."""
        router.pending = replace(router.pending, **changes)
        if not router.flush_due:
            router.flush_due = True
            due_s = self.now_s + self.rng.uniform(0.004, 0.012)
            self._on(router.number, due_s, self.flush)

    def flush(self, router: _Router) -> None:
        """Send a router's next update."""
        router.flush_due = False
        pending = router.pending
        router.pending = PeerUpdate(
            pending.instance, pending.incarnation, pending.host
        )
        update = decode_update(encode_update(pending))
        for host in router.state.peers.notified_hosts():
            number = int(host.rpartition(".")[2]) - 1
            lost = self.rng.random() < self.plan.loss
            if lost or self._is_cut(router.number, number):
                continue
            self._on(
                number,
                self.now_s + LATENCY_S,
                lambda r: r.state.apply_update(update, self.now_s),
            )

    def _is_cut(self, one: int, two: int) -> bool:
        return any(
            begin_s <= self.now_s < end_s and one % groups != two % groups
            for begin_s, end_s, groups in self.plan.partitions
        )


class _Notifier:
    """Collects what a router reports; other reports are not simulated."""

    def __init__(self, fleet: ColdFleet, router: _Router) -> None:
        self._fleet = fleet
        self._router = router

    def report_placed(self, placed: RequestPlaced) -> None:
        placements = (*self._router.pending.placements, placed)
        self._fleet.change(self._router, placements=placements)

    def report_cold(self, cold: ColdEndpoint) -> None:
        known = (*self._router.pending.cold_endpoints, cold)
        self._fleet.change(self._router, cold_endpoints=known)

    def report_ended(self, call: int) -> None:
        ended = (*self._router.pending.ended_calls, call)
        self._fleet.change(self._router, ended_calls=ended)

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: None
