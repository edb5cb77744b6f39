"""Event loop of the agent core: an event in, effects out.

See `bulrushstream.coordination.agentstate` for what an agent does.  After
an event the agent starts held requests, pulls work for free slots,
announces slots that stay free, and reports the service that it counted,
as far as each is due.
"""

from __future__ import annotations

from bulrushstream.coordination.agentstate import (
    NEVER_S,
    AgentOptions,
    AgentState,
    broadcast,
    new_agent,
)
from bulrushstream.coordination.intake import (
    accept,
    cancel,
    refuse_all_held,
    refuse_spare_held,
    resume,
    revoke,
    start_held,
)
from bulrushstream.coordination.pulling import (
    announce_free_slots,
    handle_no_work,
    pull_work,
    update_backlog,
)
from bulrushstream.coordination.reporting import (
    relay_cache,
    report,
    report_due_s,
    share_lifts,
)
from bulrushstream.coordination.running import (
    acknowledge,
    forward_body,
    forward_head,
    handle_end,
)
from bulrushstream.coordination.sessions import (
    connect,
    disconnect,
    router_lost,
)
from bulrushstream.coordination.timeouts import check_timeouts
from bulrushstream.state.config import VersionedConfig
from bulrushstream.state.effect import Effect, WakeAt
from bulrushstream.state.event import (
    CacheReported,
    ConfigChanged,
    DrainStarted,
    Event,
    LoadReported,
    MessageReceived,
    PeerDown,
    PeerLost,
    PeerUp,
    RunBody,
    RunEnd,
    RunHead,
)
from bulrushstream.state.identity import InstanceKey, Role
from bulrushstream.state.message import (
    Ack,
    Backlog,
    Cancel,
    Digest,
    Dispatch,
    Floor,
    Goodbye,
    Message,
    NoWork,
    RefuseReason,
    Resume,
    Revoke,
)

__all__ = ["AgentOptions", "AgentState", "handle", "new_agent"]


def handle(state: AgentState, event: Event, now_s: float) -> list[Effect]:
    """Handle one event.

    :param state: The agent's state, which is changed.
    :param event: The event.
    :param now_s: The time on the core's clock, which is monotonic.
    :returns: The effects, in order.
    """
    effects = _apply(state, event, now_s)
    if _skips_scheduling(event):
        return effects
    if now_s - state.timeouts_checked_s >= state.options.tick_s:
        effects += check_timeouts(state, now_s)
    effects += start_held(state, now_s)
    effects += refuse_spare_held(state, now_s)
    effects += pull_work(state, now_s)
    effects += announce_free_slots(state, now_s)
    effects += report(state, now_s)
    effects += share_lifts(state, now_s)
    effects += _schedule_wake(state, now_s)
    return effects


def _skips_scheduling(event: Event) -> bool:
    """Return whether an event can neither free a slot nor bring work.

    Most events are parts of answers and need a short path; anything else
    that is due waits for the next tick.
    """
    match event:
        case (
            RunBody()
            | RunHead()
            | MessageReceived(_, Ack() | Digest() | Floor())
        ):
            return True
        case _:
            return False


def _apply(state: AgentState, event: Event, now_s: float) -> list[Effect]:
    """Apply an event to the state."""
    match event:
        case MessageReceived(peer, message):
            return _receive(state, peer, message, now_s)
        case RunBody():
            return forward_body(state, event)
        case RunHead():
            return forward_head(state, event)
        case RunEnd():
            return handle_end(state, event, now_s)
        case LoadReported():
            _apply_load(state, event, now_s)
        case CacheReported():
            return relay_cache(state, event)
        case PeerUp(info) if info.role is Role.ROUTER:
            return connect(state, info, now_s)
        case PeerDown(peer):
            return disconnect(state, peer, now_s)
        case PeerLost(peer):
            if peer not in state.routers:
                return router_lost(state, peer, now_s)
            # An open connection outweighs the report; if the router is
            # gone, the connection breaks and the router is dropped then.
            state.lost_but_connected.add(peer)
        case ConfigChanged(current):
            _configure(state, current)
        case DrainStarted():
            return _drain(state, now_s)
        case _:
            pass
    return []


def _receive(
    state: AgentState, peer: InstanceKey, message: Message, now_s: float
) -> list[Effect]:
    """Handle a message from a router."""
    match message:
        case Dispatch():
            return accept(state, peer, message, now_s)
        case Ack(request_id, attempt, next_sequence):
            acknowledge(state, (request_id, attempt), next_sequence)
        case NoWork():
            handle_no_work(state, peer, message, now_s)
        case Backlog():
            if peer in state.routers:
                update_backlog(state, peer, message, now_s)
        case Digest(service) if service == state.me.service:
            state.shares.merge_digest(peer, message)
        case Floor(service, workspace, floor):
            if service == state.me.service:
                state.shares.merge_lift(workspace, floor)
        case Resume():
            return resume(state, peer, message, now_s)
        case Revoke():
            return revoke(state, peer, message, now_s)
        case Cancel():
            return cancel(state, message, now_s)
        case _:
            pass
    return []


def _configure(state: AgentState, current: VersionedConfig) -> None:
    """Apply the service's limits and the workspaces' weights."""
    config = current.config
    state.weights = {w.name: w.weight for w in config.workspaces}
    for service in config.services:
        if service.name == state.me.service:
            state.service = service
            state.slots.configure(service.slots, service.max_slots)


def _drain(state: AgentState, now_s: float) -> list[Effect]:
    """Stop accepting work and refuse requests that have not started."""
    if state.draining:
        return []
    state.draining = True
    effects = broadcast(state, Goodbye(state.me.key.incarnation))
    return effects + refuse_all_held(state, RefuseReason.DRAINING, now_s)


def _apply_load(state: AgentState, event: LoadReported, now_s: float) -> None:
    """Adapt to a load report of the endpoint."""
    if not event.healthy:
        # How runs end is better evidence than a failed report, so this
        # counts only while nothing runs.
        if not state.active:
            state.breaker.fail(now_s, state.rng)
        return
    state.slots.adapt(
        event.running, event.waiting, now_s, state.options.load_lag_s
    )


def _schedule_wake(state: AgentState, now_s: float) -> list[Effect]:
    """Request the next tick, unless an earlier one is due."""
    times = [report_due_s(state)]
    if state.runs or state.pulls or any(state.backlogs.workspaces()):
        times.append(now_s + state.options.tick_s)
    if state.unannounced_since_s is not None:
        times.append(now_s + state.options.idle_delay_s)
    if now_s < state.breaker.retry_at_s:
        times.append(state.breaker.retry_at_s)
    at_s = max(min(times), now_s + state.options.idle_delay_s)
    if state.wake_at_s <= now_s:
        state.wake_at_s = NEVER_S
    if at_s >= state.wake_at_s:
        return []
    state.wake_at_s = at_s
    return [WakeAt(at_s)]
