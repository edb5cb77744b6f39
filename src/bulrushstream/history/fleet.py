"""A whole fleet of cores in virtual time, with fakes at its edges."""

from __future__ import annotations

import traceback
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.history.callers import Callers, request_of
from bulrushstream.history.census import Census
from bulrushstream.history.cores import Cores, RunningCore
from bulrushstream.history.endpoint import Endpoint
from bulrushstream.history.network import Network
from bulrushstream.history.plan import Plan, PlannedCall
from bulrushstream.history.record import (
    CoreFailed,
    Record,
    Stopped,
)
from bulrushstream.history.roster import SERVICE, config_of, info_of
from bulrushstream.history.store import Store
from bulrushstream.history.timeline import Timeline
from bulrushstream.state.effect import (
    AppendLog,
    CancelRun,
    Decision,
    Effect,
    FailRequest,
    Reply,
    Send,
    StartRun,
    WakeAt,
)
from bulrushstream.state.event import (
    CallerDisconnected,
    ConfigChanged,
    Event,
    PeerDown,
    PeerLost,
    PeerUp,
    RequestArrived,
    RunEnd,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role

STREAMS: Final = ("claims", "strikes")
GIVE_UP_S: Final = (1.0, 8.0)  # When membership gives a dead peer up.
MIN_TICK_S: Final = 0.0001  # Time never stands still between ticks.


@dataclass(slots=True, eq=False)
class Node:
    """One start of one instance."""

    info: InstanceInfo  # Who it is.
    core: RunningCore  # Its core.
    offset_s: float  # Its clock minus the virtual time.
    alive: bool = True  # Whether it has not ended.
    paused: bool = False  # Whether it stands still.
    draining: bool = False  # Whether it was asked to stop.
    held: list[Event] = field(default_factory=list)  # While it is paused.
    wake_s: float | None = None  # When the next tick is due.


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One event at one core, and what the core made of it."""

    at_s: float  # When.
    instance: InstanceKey  # Where.
    event: Event  # What happened.
    effects: tuple[Effect, ...]  # What the core wants done.


class Fleet:
    """Routers, agents, endpoints, the log and their callers."""

    plan: Plan  # The run's sizes and weather.
    cores: Cores  # How to start a core.
    rng: Random  # Of the harness's own choices.
    timeline: Timeline  # The virtual time.
    history: list[Record]  # What callers and endpoints saw.
    trace: list[TraceStep] | None  # Every step, if it is wanted.
    nodes: dict[str, Node]  # The latest start of each instance.
    callers: Callers  # Who called, and who waits.
    network: Network  # The connections.
    store: Store  # The platform's log.
    endpoints: dict[str, Endpoint]  # By the name of the agent beside it.
    census: Census  # Who waits and what is free.

    def __init__(
        self, plan: Plan, cores: Cores, *, with_trace: bool = False
    ) -> None:
        """Start every instance of a plan."""
        self.plan = plan
        self.cores = cores
        self.rng = Random(plan.seed)
        self.timeline = Timeline()
        self.history = []
        self.trace = [] if with_trace else None
        self.nodes = {}
        self.network = Network(
            self.timeline,
            self.rng,
            plan.weather,
            self.deliver,
            self._reachable,
        )
        self.store = Store(
            self.timeline, self.rng, plan.weather, self.deliver, STREAMS
        )
        self.census = Census(
            SERVICE, plan.slots, self.history.append, self._is_whole
        )
        self.callers = Callers(self.timeline, self.census, self.history.append)
        self.endpoints = {}
        for number in range(plan.agents):
            name = f"agent-{number}"
            self.endpoints[name] = self._new_endpoint()
            self.start(name, 1)
        for number in range(plan.routers):
            self.start(f"router-{number}", 1)

    def _new_endpoint(self) -> Endpoint:
        """Return a fresh endpoint."""
        return Endpoint(
            self.timeline,
            self.rng,
            self.history.append,
            self.deliver,
            self.callers.calls,
        )

    def start(self, name: str, incarnation: int) -> None:
        """Start an instance with no state.

        :param name: its name.
        :param incarnation: its incarnation.
        """
        role = Role.AGENT if name in self.endpoints else Role.ROUTER
        info = info_of(name, incarnation, role)
        offset_s = self.rng.uniform(0.0, 1000.0)
        begin = self.cores.agent if role is Role.AGENT else self.cores.router
        core_rng = Random(self.rng.random())
        local_s = self.timeline.now_s + offset_s
        node = Node(info, begin(info, core_rng, local_s), offset_s)
        self.nodes[name] = node
        self.deliver(info.key, ConfigChanged(config_of(self.plan)))
        self.network.join(info)
        if role is Role.ROUTER:
            self.store.follow(info.key)

    def deliver(self, to: InstanceKey, event: Event) -> None:
        """Hand an event to an instance, if that start of it still lives.

        :param to: which start of which instance.
        :param event: what happened.
        """
        node = self.nodes.get(to.instance)
        if node is None or node.info.key != to or not node.alive:
            return
        if node.paused:
            node.held.append(event)
            return
        if isinstance(event, RunEnd):
            self.census.occupy(self.timeline.now_s, to, -1)
        if isinstance(event, PeerUp) and node.info.role is Role.AGENT:
            self.census.open(self.timeline.now_s, to)
        if isinstance(event, PeerUp | PeerDown):
            self.census.look(self.timeline.now_s)
        self._handle(node, event)

    def _handle(self, node: Node, event: Event) -> None:
        """Let a core take an event and carry out what it wants."""
        local_s = self.timeline.now_s + node.offset_s
        try:
            effects = node.core.handle(event, local_s)
        except Exception as error:
            self._fail(node, error)
            effects = []
        if self.trace is not None:
            now_s, key = self.timeline.now_s, node.info.key
            self.trace.append(TraceStep(now_s, key, event, tuple(effects)))
        for effect in effects:
            self._carry_out(node, effect)

    def _fail(self, node: Node, error: Exception) -> None:
        """Write down that a core raised an exception, and where."""
        frame = traceback.extract_tb(error.__traceback__)[-1]
        text = f"{error!r} at {frame.filename}:{frame.lineno}"
        now_s = self.timeline.now_s
        self.history.append(CoreFailed(now_s, node.info.key, text))

    def _carry_out(self, node: Node, effect: Effect) -> None:
        """Carry out one effect of a core."""
        key = node.info.key
        match effect:
            case Send():
                self.network.send(key, effect.peer, effect.message)
            case Reply():
                self.callers.receive(effect.request_id, effect.part)
            case FailRequest():
                self.callers.refuse(effect)
            case AppendLog():
                self.store.append(key, effect)
            case StartRun():
                now_s = self.timeline.now_s
                self.census.settle(now_s, effect.dispatch.request_id)
                self.census.occupy(now_s, key, 1)
                endpoint = self.endpoints[key.instance]
                endpoint.start(key, effect.dispatch)
            case CancelRun():
                endpoint = self.endpoints[key.instance]
                endpoint.cancel(key, effect.request_id, effect.attempt)
            case WakeAt():
                self._wake_later(node, effect.at_s - node.offset_s)
            case Decision():
                pass

    def _wake_later(self, node: Node, at_s: float) -> None:
        """Tick a core at a time; only the earliest one is kept."""
        at_s = max(at_s, self.timeline.now_s + MIN_TICK_S)
        if node.wake_s is not None and node.wake_s <= at_s:
            return
        node.wake_s = at_s

        def wake() -> None:
            """Tick, unless an earlier one has taken its place."""
            if node.wake_s == at_s:
                node.wake_s = None
                self.deliver(node.info.key, TimerFired())

        self.timeline.after(at_s - self.timeline.now_s, wake)

    def call(self, call: PlannedCall) -> None:
        """Send a caller's request to its router or the next live one.

        :param call: the request.
        """
        node = self._router_for(call)
        if node is None:
            return
        key = node.info.key
        self.callers.send(call, key)
        local_s = self.timeline.now_s + node.offset_s
        self.deliver(key, RequestArrived(request_of(call, SERVICE, local_s)))
        if call.leaves_s is not None:
            self.timeline.after(call.leaves_s, lambda: self._hang_up(call))

    def _hang_up(self, call: PlannedCall) -> None:
        """Let a caller leave if it still waits."""
        router = self.callers.waiting.get(call.request_id)
        if router is not None:
            self.callers.leave(call.request_id)
            self.deliver(router, CallerDisconnected(call.request_id))

    def _router_for(self, call: PlannedCall) -> Node | None:
        """Return the router that the balancer gives a call to."""
        for step in range(self.plan.routers):
            number = (call.router + step) % self.plan.routers
            node = self.nodes[f"router-{number}"]
            if node.alive and not node.draining:
                return node
        return None

    def end(self, node: Node, *, planned: bool) -> None:
        """End an instance; its callers and peers notice.

        :param node: which start of which instance.
        :param planned: whether it was asked to and said it was ready.
        """
        key = node.info.key
        now_s = self.timeline.now_s
        self.history.append(Stopped(now_s, key, planned))
        node.alive = False
        self.network.leave(key.instance)
        self.store.unfollow(key)
        self.census.close(now_s, key)
        self.callers.leave_router(key)
        for other in self.nodes.values():
            self.give_up_later(other.info.key, key)

    def give_up_later(self, other: InstanceKey, lost: InstanceKey) -> None:
        """Let membership tell one instance that another will not return.

        :param other: who is told.
        :param lost: who will not return.
        """
        delay_s = self.rng.uniform(*GIVE_UP_S)

        def give_up() -> None:
            """Tell it, unless it knows better from a connection."""
            if not self.network.connected(other, lost):
                self.deliver(other, PeerLost(lost))

        self.timeline.after(delay_s, give_up)

    def restart_later(self, node: Node, down_s: float) -> None:
        """Start an instance again with its next incarnation.

        :param node: its last start.
        :param down_s: how long it is down.
        """
        key = node.info.key
        self.timeline.after(
            down_s, lambda: self.start(key.instance, key.incarnation + 1)
        )

    def _is_whole(self) -> bool:
        """Return whether every live router has every live agent."""
        live = [node.info for node in self.nodes.values() if node.alive]
        return all(
            self.network.connected(one.key, other.key)
            for one in live
            for other in live
            if one.role is Role.ROUTER and other.role is Role.AGENT
        )

    def _reachable(self, name: str) -> bool:
        """Return whether an instance can make a connection now."""
        node = self.nodes[name]
        return node.alive and not node.paused

    def settle(self) -> None:
        """End all faults of the network and the log."""
        self.network.heal()
        self.store.heal()
