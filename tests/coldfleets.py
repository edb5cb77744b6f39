"""Fleets of routers before cold endpoints, in virtual time.

The routers' state and their updates are the real ones; requests, their wait
for connections, the store and the network are simulated.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any, Final, cast

from bulrushstream.coordination.fleetstate import SWEEP_INTERVAL_S, FleetState
from bulrushstream.coordination.fleetview import FleetView
from bulrushstream.coordination.peernotifier import PeerNotifier
from bulrushstream.coordination.placement import choose_plain
from bulrushstream.daemon import safeguards
from bulrushstream.daemon.fleetsetup import make_fleet_state
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.history.routingplatform import host_of, settings_of
from bulrushstream.history.timeline import Timeline
from bulrushstream.protocol.peercodec import decode_update, encode_update
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import PeerUpdate
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
    reopened: tuple[float, ...] = (3.0,)  # When the endpoints' zone is back.
    seeds: int = 23  # The hosts that a router's settings name.
    misdirected: float = 0.0  # The part of requests answered with 421.
    connect_s: float = 0.03  # The longest wait for a connection.
    cut_from_store: tuple[int, ...] = ()  # Routers that read one list.
    service: PooledService = SERVICE
    end_s: float = 10.0


@dataclass(slots=True)
class _Router:
    """One router process; stands in for its `PeerNotifier`."""

    fleet: ColdFleet
    number: int
    incarnation: int
    state: FleetState
    pending: PeerUpdate
    flush_due: bool = False
    entries: dict[str, EndpointEntry] = field(default_factory=dict)

    def __getattr__(self, name: str) -> Callable[..., None]:
        lists = {
            "report_placed": "placements",
            "report_cold": "cold_endpoints",
            "report_ended": "ended_calls",
        }
        if name not in lists:
            return lambda *arguments: None

        def report(item: Any) -> None:
            items: Any = (*getattr(self.pending, lists[name]), item)
            self.pending = replace(self.pending, **{lists[name]: items})
            self.fleet.flush_soon(self)

        return report


class ColdFleet:
    """The routers of one run, and what the endpoints got."""

    def __init__(self, plan: ColdPlan) -> None:
        self.plan = plan
        self.rng = Random(plan.seed)
        self.timeline = Timeline()
        self.sent: dict[str, list[float]] = {}
        self.decisions: list[tuple[float, int, Decision]] = []
        self.waits: list[float] = []  # That refused callers were told.
        self._until_s: dict[str, float] = {}  # When each is warm again.
        self._records: dict[str, EndpointEntry] = {}
        for name in (f"d-{number}" for number in range(plan.endpoints)):
            self.sent[name], self._until_s[name] = [], 0.0
            self._renew(name)
        for at_s, number in plan.cold:
            # Its entry is renewed when that is due.
            change = partial(self._until_s.__setitem__, f"d-{number}")
            self.timeline.schedule(at_s, partial(change, at_s + 3.0))
        self.routers = [self._process(n, 0) for n in range(plan.routers)]
        for number in range(plan.routers):
            self._repeat(number, lambda: HEARTBEAT_S, self._beat)
            self._repeat(
                number,
                lambda: SWEEP_INTERVAL_S,
                lambda r: r.state.sweep(self.now_s),
            )
            self._repeat(number, lambda: LIST_S, self._read_list)
            gap_s = partial(self.rng.expovariate, plan.per_s)
            self._repeat(number, gap_s, self._request)
            for at_s in plan.reopened:
                self._on(
                    number,
                    at_s,
                    lambda r: r.state.zone_reopened("z", self.now_s),
                )
        for at_s, number in plan.restarts:
            self.timeline.schedule(at_s, partial(self._restart, number))
        self.timeline.run_until(plan.end_s)

    @property
    def now_s(self) -> float:
        """Return the time."""
        return self.timeline.now_s

    def most_in_a_second(
        self, endpoint: str, begin_s: float, end_s: float = 1e9
    ) -> int:
        """Return the most requests in a second of a part of the run."""
        times = sorted(t for t in self.sent[endpoint] if begin_s <= t < end_s)
        return max(
            (sum(at_s <= t < at_s + 1.0 for t in times) for at_s in times),
            default=0,
        )

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
        state = make_fleet_state(
            settings,
            peers,
            lambda: self.now_s,
            lambda: self.now_s,
            Random(f"{plan.seed} {number} {incarnation}"),
            lambda line: self.decisions.append((self.now_s, number, line)),
            lambda: self.now_s,
        )
        state.cold.configure((plan.service,), self.now_s)
        identity = PeerUpdate(f"front-{number}", incarnation, settings.host)
        router = _Router(self, number, incarnation, state, identity)
        state.set_notifier(cast(PeerNotifier, router))
        return router

    def _restart(self, number: int) -> None:
        incarnation = self.routers[number].incarnation + 1
        self.routers[number] = self._process(number, incarnation)

    def _on(
        self, number: int, delay_s: float, action: Callable[[_Router], None]
    ) -> None:
        """Schedule an action of a router, which may be frozen then."""

        def act() -> None:
            for begin_s, end_s, frozen in self.plan.freezes:
                if frozen == number and begin_s <= self.now_s < end_s:
                    self.timeline.schedule(end_s - self.now_s, act)
                    return
            action(self.routers[number])

        self.timeline.schedule(delay_s, act)

    def _repeat(
        self,
        number: int,
        gap_s: Callable[[], float],
        action: Callable[[_Router], None],
    ) -> None:
        def act(router: _Router) -> None:
            action(router)
            self._on(number, gap_s(), act)

        self._on(number, self.rng.uniform(0.0, gap_s()), act)

    # --- The list, and requests.

    def _renew(self, name: str) -> None:
        left_s = max(0.0, self._until_s[name] - self.now_s)
        self._records[name] = an_entry(name, warmup_remaining_s=left_s)
        self.timeline.schedule(RENEW_S, partial(self._renew, name))

    def _read_list(self, router: _Router) -> None:
        if router.entries and router.number in self.plan.cut_from_store:
            return
        for name, entry in self._records.items():
            if router.entries.get(name) is not entry:
                router.entries[name] = entry
                router.state.cold.listed(entry, self.now_s)
                router.state.pool.update(entry, None)

    def _request(self, router: _Router) -> None:
        state, rng = router.state, self.rng
        usable = state.pool.usable("desk", self.now_s)
        if not usable:
            return
        chosen = safeguards.select_endpoints(state, usable, self.now_s)
        if isinstance(chosen, Refusal):
            self.waits.append(chosen.wait_s)
            return
        endpoint = choose_plain(chosen, "z", rng)
        assert endpoint is not None
        number = state.place(endpoint, None, "", self.now_s, 1e9)

        def send(now: _Router) -> None:
            if now.state is not state:
                return
            if state.cold.may_send(endpoint.name, number, self.now_s):
                if rng.random() < self.plan.misdirected:
                    state.cold.not_counted(endpoint.name, self.now_s)
                else:
                    self.sent[endpoint.name].append(self.now_s)
            state.ended(endpoint, number)

        self._on(router.number, rng.uniform(0.0, self.plan.connect_s), send)

    # --- Updates.

    def _beat(self, router: _Router) -> None:
        state, pending = router.state, router.pending
        repeated = state.repeated_reports(self.now_s).cold_endpoints
        hosts = state.peers.notified_hosts()
        router.pending = replace(
            pending,
            cold_endpoints=(*pending.cold_endpoints, *repeated),
            known_hosts=tuple(self.rng.sample(hosts, min(4, len(hosts)))),
        )
        self._flush(router)

    def flush_soon(self, router: _Router) -> None:
        """Send a router's pending reports a little later."""
        if not router.flush_due:
            router.flush_due = True
            delay_s = self.rng.uniform(0.004, 0.012)
            self._on(router.number, delay_s, self._flush)

    def _flush(self, router: _Router) -> None:
        router.flush_due = False
        old = router.pending
        router.pending = PeerUpdate(old.instance, old.incarnation, old.host)
        update = decode_update(encode_update(old))

        def receive(peer: _Router) -> None:
            peer.state.apply_update(update, self.now_s)

        for host in router.state.peers.notified_hosts():
            number = int(host.rpartition(".")[2]) - 1
            cut = any(
                begin_s <= self.now_s < end_s
                and router.number % groups != number % groups
                for begin_s, end_s, groups in self.plan.partitions
            )
            if not cut and self.rng.random() >= self.plan.loss:
                self._on(number, LATENCY_S, receive)
