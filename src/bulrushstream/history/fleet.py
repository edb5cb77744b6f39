"""A fleet of real cores in virtual time, with simulated surroundings."""

from __future__ import annotations

import traceback
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.history.callers import Callers, request_of
from bulrushstream.history.cores import CoreFactories, RunningCore
from bulrushstream.history.endpoint import Endpoint
from bulrushstream.history.loadtracker import LoadTracker
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
PEER_LOSS_DELAY_S: Final = (1.0, 8.0)  # Until a peer is reported lost.
MIN_TIMER_DELAY_S: Final = 0.0001  # Virtual time advances between two timers.


@dataclass(slots=True, eq=False)
class Node:
    """One incarnation of an instance."""

    info: InstanceInfo
    core: RunningCore
    clock_offset_s: float  # Its clock minus virtual time.
    alive: bool = True
    paused: bool = False
    draining: bool = False
    pending_events: list[Event] = field(default_factory=list)  # While paused.
    wake_s: float | None = None  # Virtual time of its next timer.


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One event at one core, and the effects that the core returned."""

    at_s: float  # Virtual time.
    instance: InstanceKey
    event: Event
    effects: tuple[Effect, ...]


class Fleet:
    """Routers, agents, endpoints, the log and callers of one run."""

    plan: Plan
    cores: CoreFactories
    rng: Random  # For the simulation's own choices.
    timeline: Timeline
    history: list[Record]  # By time.
    trace: list[TraceStep] | None  # Every step; None: not recorded.
    nodes: dict[str, Node]  # Latest incarnation, by instance name.
    callers: Callers
    network: Network
    store: Store  # The platform's log.
    endpoints: dict[str, Endpoint]  # By the name of their agent.
    load: LoadTracker  # Waiting requests and free slots.

    def __init__(
        self, plan: Plan, cores: CoreFactories, *, with_trace: bool = False
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
            plan.conditions,
            self.deliver,
            self._reachable,
        )
        self.store = Store(
            self.timeline, self.rng, plan.conditions, self.deliver, STREAMS
        )
        self.load = LoadTracker(
            SERVICE, plan.slots, self.history.append, self._is_fully_connected
        )
        self.callers = Callers(self.timeline, self.load, self.history.append)
        self.endpoints = {}
        for number in range(plan.agents):
            name = f"agent-{number}"
            self.endpoints[name] = self._new_endpoint()
            self.start(name, 1)
        for number in range(plan.routers):
            self.start(f"router-{number}", 1)

    def _new_endpoint(self) -> Endpoint:
        """Create an endpoint."""
        return Endpoint(
            self.timeline,
            self.rng,
            self.history.append,
            self.deliver,
            self.callers.calls,
        )

    def start(self, name: str, incarnation: int) -> None:
        """Start an incarnation of an instance, without any state.

        :param name: its name.
        :param incarnation: its incarnation.
        """
        role = Role.AGENT if name in self.endpoints else Role.ROUTER
        info = info_of(name, incarnation, role)
        offset_s = self.rng.uniform(0.0, 1000.0)
        start_core = (
            self.cores.agent if role is Role.AGENT else self.cores.router
        )
        core_rng = Random(self.rng.random())
        local_s = self.timeline.now_s + offset_s
        node = Node(info, start_core(info, core_rng, local_s), offset_s)
        self.nodes[name] = node
        self.deliver(info.key, ConfigChanged(config_of(self.plan)))
        self.network.join(info)
        if role is Role.ROUTER:
            self.store.follow(info.key)

    def deliver(self, to: InstanceKey, event: Event) -> None:
        """Deliver an event, unless that incarnation has ended.

        :param to: the instance and its incarnation.
        :param event: the event.
        """
        node = self.nodes.get(to.instance)
        if node is None or node.info.key != to or not node.alive:
            return
        if node.paused:
            node.pending_events.append(event)
            return
        if isinstance(event, RunEnd):
            self.load.change_busy_slots(self.timeline.now_s, to, -1)
        if isinstance(event, PeerUp) and node.info.role is Role.AGENT:
            self.load.add_agent(self.timeline.now_s, to)
        if isinstance(event, PeerUp | PeerDown):
            self.load.update(self.timeline.now_s)
        self._handle(node, event)

    def _handle(self, node: Node, event: Event) -> None:
        """Pass an event to a core and execute the effects."""
        local_s = self.timeline.now_s + node.clock_offset_s
        try:
            effects = node.core.handle(event, local_s)
        except Exception as error:
            self._record_failure(node, error)
            effects = []
        if self.trace is not None:
            now_s, key = self.timeline.now_s, node.info.key
            self.trace.append(TraceStep(now_s, key, event, tuple(effects)))
        for effect in effects:
            self._execute(node, effect)

    def _record_failure(self, node: Node, error: Exception) -> None:
        """Record the exception that a core raised, and where."""
        frame = traceback.extract_tb(error.__traceback__)[-1]
        text = f"{error!r} at {frame.filename}:{frame.lineno}"
        now_s = self.timeline.now_s
        self.history.append(CoreFailed(now_s, node.info.key, text))

    def _execute(self, node: Node, effect: Effect) -> None:
        """Execute one effect of a core."""
        key = node.info.key
        match effect:
            case Send():
                self.network.send(key, effect.peer, effect.message)
            case Reply():
                self.callers.receive(effect.request_id, effect.part)
            case FailRequest():
                self.callers.receive_failure(effect)
            case AppendLog():
                self.store.append(key, effect)
            case StartRun():
                now_s = self.timeline.now_s
                self.load.remove_waiting(now_s, effect.dispatch.request_id)
                self.load.change_busy_slots(now_s, key, 1)
                endpoint = self.endpoints[key.instance]
                endpoint.start(key, effect.dispatch)
            case CancelRun():
                endpoint = self.endpoints[key.instance]
                endpoint.cancel(key, effect.request_id, effect.attempt)
            case WakeAt():
                self._schedule_timer(node, effect.at_s - node.clock_offset_s)
            case Decision():
                pass

    def _schedule_timer(self, node: Node, at_s: float) -> None:
        """Schedule a timer of a core; only the earliest one is kept."""
        at_s = max(at_s, self.timeline.now_s + MIN_TIMER_DELAY_S)
        if node.wake_s is not None and node.wake_s <= at_s:
            return
        node.wake_s = at_s

        def fire() -> None:
            """Fire the timer unless an earlier one replaced it."""
            if node.wake_s == at_s:
                node.wake_s = None
                self.deliver(node.info.key, TimerFired())

        self.timeline.schedule(at_s - self.timeline.now_s, fire)

    def send_call(self, call: PlannedCall) -> None:
        """Send a caller's request to its router or the next live one.

        :param call: the planned request.
        """
        node = self._router_for(call)
        if node is None:
            return
        key = node.info.key
        self.callers.record_call(call, key)
        local_s = self.timeline.now_s + node.clock_offset_s
        self.deliver(key, RequestArrived(request_of(call, SERVICE, local_s)))
        if call.disconnects_after_s is not None:
            self.timeline.schedule(
                call.disconnects_after_s, lambda: self._disconnect_caller(call)
            )

    def _disconnect_caller(self, call: PlannedCall) -> None:
        """Disconnect a caller that still waits for its answer."""
        router = self.callers.waiting_routers.get(call.request_id)
        if router is not None:
            self.callers.disconnect(call.request_id)
            self.deliver(router, CallerDisconnected(call.request_id))

    def _router_for(self, call: PlannedCall) -> Node | None:
        """Return the router that the load balancer picks for a call."""
        for step in range(self.plan.routers):
            number = (call.router + step) % self.plan.routers
            node = self.nodes[f"router-{number}"]
            if node.alive and not node.draining:
                return node
        return None

    def stop(self, node: Node, *, planned: bool) -> None:
        """Stop an instance and disconnect its callers and peers.

        :param node: the incarnation to stop.
        :param planned: whether it was drained and reported to be idle.
        """
        key = node.info.key
        now_s = self.timeline.now_s
        self.history.append(Stopped(now_s, key, planned))
        node.alive = False
        self.network.leave(key.instance)
        self.store.unfollow(key)
        self.load.remove_agent(now_s, key)
        self.callers.disconnect_router(key)
        for other in self.nodes.values():
            self.report_lost_later(other.info.key, key)

    def report_lost_later(self, other: InstanceKey, lost: InstanceKey) -> None:
        """Let membership report a lost instance to a peer after a delay.

        :param other: the instance that gets the report.
        :param lost: the incarnation that will not return.
        """
        delay_s = self.rng.uniform(*PEER_LOSS_DELAY_S)

        def report_lost() -> None:
            """Report the loss unless the two are connected."""
            if not self.network.connected(other, lost):
                self.deliver(other, PeerLost(lost))

        self.timeline.schedule(delay_s, report_lost)

    def restart_later(self, node: Node, down_s: float) -> None:
        """Start the next incarnation of an instance after a delay.

        :param node: its last incarnation.
        :param down_s: how long it is down.
        """
        key = node.info.key
        self.timeline.schedule(
            down_s, lambda: self.start(key.instance, key.incarnation + 1)
        )

    def _is_fully_connected(self) -> bool:
        """Return whether all live routers and agents are connected."""
        live = [node.info for node in self.nodes.values() if node.alive]
        return all(
            self.network.connected(one.key, other.key)
            for one in live
            for other in live
            if one.role is Role.ROUTER and other.role is Role.AGENT
        )

    def _reachable(self, name: str) -> bool:
        """Return whether an instance can open connections now."""
        node = self.nodes[name]
        return node.alive and not node.paused

    def end_faults(self) -> None:
        """End all faults of the network and of the log."""
        self.network.end_faults()
        self.store.end_faults()
