"""Several router cores with fake agents, a fake log and lossy links.

Time is virtual, and all chance comes from one seed.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

from bulrushstream.coordination.options import RouterOptions
from bulrushstream.coordination.router import handle, new_router
from bulrushstream.coordination.routerstate import RouterState
from bulrushstream.state.effect import (
    AppendLog,
    Effect,
    FailRequest,
    Reply,
    Send,
)
from bulrushstream.state.event import (
    Event,
    LogAppended,
    LogFailed,
    LogRead,
    LogRecord,
    MessageReceived,
    PeerLost,
    PeerUp,
    RequestArrived,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import Dispatch, Idle, PartKind
from bulrushstream.state.request import Outcome, Request
from tests.builders import a_body, a_head, a_router, an_agent, an_end

RUN_S: Final = 0.1
POISON: Final = b"poison"


@dataclass(frozen=True, slots=True)
class Faults:
    """How badly the links between routers and the log behave."""

    lose: float = 0.0  # Share of messages between routers that are lost.
    double: float = 0.0  # Share that arrive twice.
    delay_s: float = 0.05  # The longest delay.
    lose_answer: float = 0.0  # Share of appends whose answer is lost.
    log_down: bool = False  # Whether no append takes effect.


class RouterFleet:
    """Routers that all hear the same agents and read the same log."""

    now_s: float  # The virtual time.
    runs: Counter[str]  # Runs by request id.
    bodies: Counter[bytes]  # Runs by body.
    crashes: int  # Endpoints that fell.
    ends: dict[str, list[FailRequest | Reply]]  # Last words by request id.
    appends: int  # Records in the log and attempts to add one.

    def __init__(
        self,
        seed: int,
        routers: int,
        faults: Faults,
        agents: int = 6,
        options: RouterOptions | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.now_s = 0.0
        self.runs = Counter()
        self.bodies = Counter()
        self.crashes = 0
        self.ends = {}
        self.appends = 0
        self._options = options or RouterOptions()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0
        self._log: list[LogRecord] = []
        self._streams: list[str] = []  # The stream of each record.
        self._sequence = 0
        self.routers: dict[InstanceKey, RouterState] = {}
        self.agents = [an_agent(f"agent-{i}") for i in range(agents)]
        for index in range(routers):
            self.start(a_router(f"router-{index}"))

    def start(self, me: InstanceInfo) -> None:
        """Start a router that knows nothing, and connect it."""
        state = new_router(me, self._options, self.rng, self.now_s)
        others = list(self.routers.values())
        self.routers[me.key] = state
        for other in others:
            self.hand(other.me.key, PeerUp(me))
            self.hand(me.key, PeerUp(other.me))
        for agent in self.agents:
            self.hand(me.key, PeerUp(agent))
            self._idle(me.key, agent)
        records = tuple(self._log)
        for stream in ("claims", "strikes"):
            own = tuple(
                r for r in records if self._streams[r.offset] == stream
            )
            self.hand(me.key, LogRead(stream, own, caught_up=True))

    def stop(self, key: InstanceKey) -> None:
        """Let a router die; the others learn of it a second later."""
        del self.routers[key]
        for other in self.routers:
            self.after(1.0, partial(self.hand, other, PeerLost(key)))

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Do something later."""
        self._scheduled += 1
        at_s = self.now_s + delay_s
        heapq.heappush(self._events, (at_s, self._scheduled, act))

    def arrive(self, at_s: float, request: Request) -> None:
        """Let a request arrive at a random router."""

        def act() -> None:
            key = self.rng.choice(sorted(self.routers))
            self.hand(key, RequestArrived(request))

        self.after(at_s, act)

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, act = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            act()
        self.now_s = until_s

    def leftovers(self) -> list[object]:
        """Return what routers still hold of requests that have ended."""
        return [
            left
            for state in self.routers.values()
            for left in (
                state.tracked,
                state.tracked_bytes,
                state.gates,
                state.requests_by_key,
                state.held_counts,
                state.awaiting_strikes,
                len(state.queues),
                [view for view in state.agents.values() if view.in_flight],
            )
            if left
        ]

    def hand(self, key: InstanceKey, event: Event) -> None:
        """Hand a router an event and carry out what it wants."""
        state = self.routers.get(key)
        if state is None:
            return
        for effect in handle(state, event, self.now_s):
            self._carry_out(key, effect)
        due_s = state.timers.next_s()
        if due_s is not None:
            delay_s = max(due_s - self.now_s, 0.0)
            self.after(delay_s, partial(self._tick, key, due_s))

    def _tick(self, key: InstanceKey, due_s: float) -> None:
        state = self.routers.get(key)
        if state is not None and state.timers.next_s() == due_s:
            self.hand(key, TimerFired())

    def _carry_out(self, key: InstanceKey, effect: Effect) -> None:
        match effect:
            case Send(peer, Dispatch() as dispatch):
                self._run(key, peer, dispatch)
            case Send(peer, message) if peer in self.routers:
                event = MessageReceived(key, message)
                for _ in range(self._copies()):
                    delay_s = self.rng.uniform(0.0, self.faults.delay_s)
                    self.after(delay_s, partial(self.hand, peer, event))
            case AppendLog():
                self._append(key, effect)
            case FailRequest(request_id):
                self.ends.setdefault(request_id, []).append(effect)
            case Reply(request_id, part) if part.kind is PartKind.END:
                self.ends.setdefault(request_id, []).append(effect)
            case _:
                pass

    def _copies(self) -> int:
        if self.rng.random() < self.faults.lose:
            return 0
        return 2 if self.rng.random() < self.faults.double else 1

    def _run(
        self, router: InstanceKey, agent: InstanceKey, dispatch: Dispatch
    ) -> None:
        info = next(each for each in self.agents if each.key == agent)
        name, attempt = dispatch.request_id, dispatch.attempt
        self.runs[name] += 1
        self.bodies[dispatch.body] += 1
        crashed = dispatch.body == POISON

        def end() -> None:
            if crashed:
                self.crashes += 1
                unknown = an_end(
                    0,
                    name,
                    attempt,
                    outcome=Outcome.UNKNOWN,
                    whole=False,
                    crashed=True,
                    crash=self.crashes,
                )
                self.hand(router, MessageReceived(agent, unknown))
            else:
                for part in (
                    a_head(name, attempt),
                    a_body(1, b"ok", name, attempt),
                    an_end(2, name, attempt),
                ):
                    self.hand(router, MessageReceived(agent, part))
            self._idle(router, info)

        self.after(RUN_S, end)

    def _idle(self, router: InstanceKey, agent: InstanceInfo) -> None:
        self._sequence += 1
        self.hand(router, MessageReceived(agent.key, Idle(self._sequence, 1)))

    def _append(self, key: InstanceKey, effect: AppendLog) -> None:
        self.appends += 1
        delay_s = self.rng.uniform(0.0, self.faults.delay_s)
        if self.faults.log_down:
            failed = LogFailed(effect.token)
            self.after(delay_s, partial(self.hand, key, failed))
            return
        self.after(delay_s, partial(self._apply, key, effect))

    def _apply(self, key: InstanceKey, effect: AppendLog) -> None:
        record = LogRecord(len(self._log), effect.body)
        self._log.append(record)
        self._streams.append(effect.stream)
        read = LogRead(effect.stream, (record,), caught_up=True)
        answer: Event = LogAppended(effect.token, record.offset)
        if self.rng.random() < self.faults.lose_answer:
            answer = LogFailed(effect.token)
        delay_s = self.rng.uniform(0.0, self.faults.delay_s)
        self.after(delay_s, partial(self.hand, key, answer))
        for peer in self.routers:
            self.after(self.faults.delay_s, partial(self.hand, peer, read))
