"""Routers whose processes stand still for a time, in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.crashevidence import BrokenRun
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.fleetstate import SWEEP_INTERVAL_S, FleetState
from bulrushstream.coordination.looplag import TICK_S
from bulrushstream.daemon.front import Front
from bulrushstream.state.call import AnswerProgress
from bulrushstream.state.effect import Decision
from bulrushstream.state.endpointsigns import Sign
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.transport.datagrams import HEARTBEAT_S
from bulrushstream.transport.upstream import Pool
from tests.builders import FakeClock
from tests.checkedstreams import Endpoints, Play
from tests.crashfleets import CrashFleet
from tests.crashplans import CrashHistory, CrashPlan
from tests.crashrouters import Router, make_router
from tests.deployments import an_entry
from tests.test_life_proofs import ADDRESS, Server
from tests.virtualnetwork import NetworkLoop, run_in_network

ROUTERS: Final = 4


def run_awake(state: FleetState, begin_s: float, end_s: float) -> None:
    """Let a router run without a pause.

    :param state: what it knows of the fleet
    :param begin_s: the first tick
    :param end_s: the last tick
    """
    steps = round((end_s - begin_s) / TICK_S)
    for step in range(steps + 1):
        state.peers.wakefulness.tick(begin_s + step * TICK_S)


@dataclass(frozen=True, slots=True)
class PausePlan(CrashPlan):
    """A run of routers that stand still; use one router."""

    pauses: tuple[tuple[float, float], ...] = ()  # Begin and length.


class PausedFleet(CrashFleet):
    """A router that stands still, and endpoints whose bytes it has not read.

    What the endpoints did meanwhile arrives just after its first timers.
    """

    def __init__(self, plan: PausePlan) -> None:
        super().__init__(plan)
        self._pauses = plan.pauses

    def schedule(self) -> None:
        """Schedule what the plan says."""
        super().schedule()
        for at_s, for_s in self._pauses:
            self.loop.call_later(at_s, self.loop.stand_still, for_s)

    def _start_router(self, number: int) -> Router:
        router = super()._start_router(number)

        def tick() -> None:
            router.front.loop_lag.tick(self.loop.time())
            self.loop.call_later(TICK_S, tick)

        tick()
        return router


def play_pauses(plan: PausePlan) -> CrashHistory:
    """Play a plan and return what happened."""
    return PausedFleet(plan).run()


@dataclass(slots=True)
class PausedRouter:
    """A router without connections that hears its peers' heartbeats."""

    clock: FakeClock = field(default_factory=lambda: FakeClock(1000.0))
    decisions: list[Decision] = field(default_factory=list)
    suspended_s: float = 0.0  # Which only the boot clock counts.
    router: Router = field(init=False)

    def __post_init__(self) -> None:
        async def make() -> Router:
            return make_router(
                0,
                1,
                CrashPlan(routers=ROUTERS),
                self.clock.now,
                self.decisions.append,
                lambda host, data: None,
                lambda: self.clock.now() + self.suspended_s,
            )

        self.router = asyncio.run(make())

    @property
    def state(self) -> FleetState:
        """Return what it knows of the fleet."""
        return self.router.front.fleet_state

    def hear(self, number: int) -> None:
        """Receive a heartbeat of a peer."""
        update = PeerUpdate(f"front-{number}", 1, f"10.0.0.{number + 1}")
        self.state.apply_update(update, self.clock.now())

    def tick(self) -> None:
        """Run the timer that ticks."""
        self.router.front.loop_lag.tick(self.clock.now())

    def sweep(self) -> None:
        """Run the timer that sweeps."""
        self.state.sweep(self.clock.now())

    def run(
        self, for_s: float, peers: tuple[int, ...] = tuple(range(1, ROUTERS))
    ) -> None:
        """Run for a time in which some peers are heard.

        :param for_s: how long, in seconds
        :param peers: the peers' numbers
        """
        for step in range(round(for_s / TICK_S)):
            self.clock.advance(TICK_S)
            self.tick()
            if step % round(HEARTBEAT_S / TICK_S) == 0:
                for number in peers:
                    self.hear(number)
            if step % round(SWEEP_INTERVAL_S / TICK_S) == 0:
                self.sweep()

    def stand_still(self, for_s: float) -> None:
        """Let time pass in which the process does not run."""
        self.clock.advance(for_s)


@dataclass(slots=True)
class PausedPlay(Play):
    """A play whose router stands still as its last stream is answered."""

    pause_s: float = 0.0
    pause_after_s: float = 0.03  # From the last request on.

    def _start_endpoints(
        self, loop: NetworkLoop, front: Front, endpoints: Endpoints
    ) -> None:
        # The base of a data class with slots is not found without its name.
        Play._start_endpoints(self, loop, front, endpoints)

        def tick() -> None:
            front.loop_lag.tick(loop.time())
            loop.call_later(TICK_S, tick)

        tick()

    def _send(self, loop: NetworkLoop, front: Front, number: int) -> None:
        Play._send(self, loop, front, number)
        if number == self.requests - 1:
            loop.call_later(self.pause_after_s, loop.stand_still, self.pause_s)


def probe_as_it_stops(delay_s: float, pause_s: float) -> bool:
    """Let a router stand still after it probed an old connection.

    :param delay_s: how long the endpoint takes to answer the probe
    :param pause_s: how long the router stands still
    :returns: whether it found the probe unanswered
    """
    lines: list[Decision] = []

    async def run(loop: NetworkLoop) -> None:
        router = make_router(
            0, 1, CrashPlan(), loop.time, lines.append, lambda host, data: None
        )
        front = router.front
        loop.listeners[ADDRESS] = Server(delay_s=delay_s).accept
        host, port = ADDRESS
        endpoint = Endpoint(an_entry("e-1", host=host, port=port), None)
        pool = Pool(host, port, loop.time)
        pool.add_idle()
        await _tick_for(front, 1.0)
        run_s = loop.time()
        front.crash_watch.add(
            endpoint,
            pool,
            BrokenRun(
                "q", 1, run_s, True, False, AnswerProgress.NOTHING, sent_s=0.9
            ),
        )
        await _tick_for(front, 0.3)
        front.crash_watch.sweep()
        await _tick_for(front, TICK_S)
        loop.stand_still(pause_s)
        await _tick_for(front, 2.0)
        pool.close()

    assert run_in_network(run) == []
    return any(line.reason == Sign.NO_ANSWER.value for line in lines)


async def _tick_for(front: Front, for_s: float) -> None:
    for _ in range(round(for_s / TICK_S)):
        await asyncio.sleep(TICK_S)
        front.loop_lag.tick(front.clock())
