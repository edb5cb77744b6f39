"""Several router cores with fake agents, a fake log and lossy links.

Time is virtual, and all random choices come from one seed.
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

RUN_DURATION_S: Final = 0.1
POISON: Final = b"poison"


@dataclass(frozen=True, slots=True)
class Faults:
    """Error rates of the log and of the links between routers."""

    loss_rate: float = 0.0  # Share of messages lost.
    duplicate_rate: float = 0.0  # Share of messages that arrive twice.
    max_delay_s: float = 0.05
    log_reply_loss_rate: float = 0.0  # Share of append replies lost.
    log_down: bool = False  # Every append fails.


class RouterFleet:
    """Routers connected to the same agents and the same log."""

    now_s: float  # Virtual time.
    runs: Counter[str]  # Runs by request id.
    runs_by_body: Counter[bytes]  # Runs by body.
    crashes: int  # Endpoint crashes.
    final_effects: dict[str, list[FailRequest | Reply]]  # By request id.
    appends: int  # Attempted appends, failed ones included.

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
        self.runs_by_body = Counter()
        self.crashes = 0
        self.final_effects = {}
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
            self.start_router(a_router(f"router-{index}"))

    def start_router(self, info: InstanceInfo) -> None:
        """Start a router with empty state and connect it."""
        state = new_router(info, self._options, self.rng, self.now_s)
        others = list(self.routers.values())
        self.routers[info.key] = state
        for other in others:
            self.deliver(other.me.key, PeerUp(info))
            self.deliver(info.key, PeerUp(other.me))
        for agent in self.agents:
            self.deliver(info.key, PeerUp(agent))
            self._idle(info.key, agent)
        records = tuple(self._log)
        for stream in ("claims", "strikes"):
            stream_records = tuple(
                r for r in records if self._streams[r.offset] == stream
            )
            self.deliver(
                info.key, LogRead(stream, stream_records, caught_up=True)
            )

    def crash_router(self, key: InstanceKey) -> None:
        """Crash a router; the others lose it a second later."""
        del self.routers[key]
        for other in self.routers:
            self.schedule(1.0, partial(self.deliver, other, PeerLost(key)))

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self._scheduled += 1
        at_s = self.now_s + delay_s
        heapq.heappush(self._events, (at_s, self._scheduled, action))

    def arrive(self, at_s: float, request: Request) -> None:
        """Schedule a request's arrival at a random router."""

        def action() -> None:
            key = self.rng.choice(sorted(self.routers))
            self.deliver(key, RequestArrived(request))

        self.schedule(at_s, action)

    def run(self, until_s: float) -> None:
        """Run the scheduled actions up to a time."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            action()
        self.now_s = until_s

    def leftovers(self) -> list[object]:
        """Return request state that the routers have not released."""
        return [
            value
            for state in self.routers.values()
            for value in (
                state.tracked,
                state.tracked_bytes,
                state.gates,
                state.requests_by_key,
                state.held_counts,
                state.awaiting_strikes,
                len(state.queues),
                [view for view in state.agents.values() if view.in_flight],
            )
            if value
        ]

    def deliver(self, key: InstanceKey, event: Event) -> None:
        """Deliver an event to a router and execute its effects."""
        state = self.routers.get(key)
        if state is None:
            return
        for effect in handle(state, event, self.now_s):
            self._execute(key, effect)
        due_s = state.timers.next_s()
        if due_s is not None:
            delay_s = max(due_s - self.now_s, 0.0)
            self.schedule(delay_s, partial(self._fire_timer, key, due_s))

    def _fire_timer(self, key: InstanceKey, due_s: float) -> None:
        state = self.routers.get(key)
        if state is not None and state.timers.next_s() == due_s:
            self.deliver(key, TimerFired())

    def _execute(self, key: InstanceKey, effect: Effect) -> None:
        match effect:
            case Send(peer, Dispatch() as dispatch):
                self._run(key, peer, dispatch)
            case Send(peer, message) if peer in self.routers:
                event = MessageReceived(key, message)
                for _ in range(self._copy_count()):
                    delay_s = self.rng.uniform(0.0, self.faults.max_delay_s)
                    self.schedule(delay_s, partial(self.deliver, peer, event))
            case AppendLog():
                self._append(key, effect)
            case FailRequest(request_id):
                self.final_effects.setdefault(request_id, []).append(effect)
            case Reply(request_id, part) if part.kind is PartKind.END:
                self.final_effects.setdefault(request_id, []).append(effect)
            case _:
                pass

    def _copy_count(self) -> int:
        if self.rng.random() < self.faults.loss_rate:
            return 0
        return 2 if self.rng.random() < self.faults.duplicate_rate else 1

    def _run(
        self, router: InstanceKey, agent: InstanceKey, dispatch: Dispatch
    ) -> None:
        info = next(peer for peer in self.agents if peer.key == agent)
        name, attempt = dispatch.request_id, dispatch.attempt
        self.runs[name] += 1
        self.runs_by_body[dispatch.body] += 1
        crashed = dispatch.body == POISON

        def end() -> None:
            if crashed:
                self.crashes += 1
                crash_end = an_end(
                    0,
                    name,
                    attempt,
                    outcome=Outcome.UNKNOWN,
                    whole=False,
                    crashed=True,
                    crash=self.crashes,
                )
                self.deliver(router, MessageReceived(agent, crash_end))
            else:
                for part in (
                    a_head(name, attempt),
                    a_body(1, b"ok", name, attempt),
                    an_end(2, name, attempt),
                ):
                    self.deliver(router, MessageReceived(agent, part))
            self._idle(router, info)

        self.schedule(RUN_DURATION_S, end)

    def _idle(self, router: InstanceKey, agent: InstanceInfo) -> None:
        self._sequence += 1
        self.deliver(
            router, MessageReceived(agent.key, Idle(self._sequence, 1))
        )

    def _append(self, key: InstanceKey, effect: AppendLog) -> None:
        self.appends += 1
        delay_s = self.rng.uniform(0.0, self.faults.max_delay_s)
        if self.faults.log_down:
            failed = LogFailed(effect.token)
            self.schedule(delay_s, partial(self.deliver, key, failed))
            return
        self.schedule(delay_s, partial(self._apply, key, effect))

    def _apply(self, key: InstanceKey, effect: AppendLog) -> None:
        record = LogRecord(len(self._log), effect.body)
        self._log.append(record)
        self._streams.append(effect.stream)
        read = LogRead(effect.stream, (record,), caught_up=True)
        reply: Event = LogAppended(effect.token, record.offset)
        if self.rng.random() < self.faults.log_reply_loss_rate:
            reply = LogFailed(effect.token)
        delay_s = self.rng.uniform(0.0, self.faults.max_delay_s)
        self.schedule(delay_s, partial(self.deliver, key, reply))
        for peer in self.routers:
            self.schedule(
                self.faults.max_delay_s, partial(self.deliver, peer, read)
            )
