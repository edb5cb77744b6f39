"""The core of an agent: events in, effects out.

See `bulrushstream.coordination.agentstate` for what an agent is.  After
every event the agent starts what it holds, pulls for free slots, announces
room, and reports service, each if there is cause.
"""

from __future__ import annotations

from bulrushstream.coordination.agentstate import (
    NEVER_S,
    AgentOptions,
    AgentState,
    new_agent,
    tell,
)
from bulrushstream.coordination.intake import (
    accept,
    cancel,
    give_all_back,
    give_back_spare,
    resume,
    revoke,
    start_held,
)
from bulrushstream.coordination.pulling import (
    announce,
    fill,
    learn_backlog,
    no_work,
)
from bulrushstream.coordination.reporting import (
    relay_cache,
    report,
    report_due_s,
    share_lifts,
)
from bulrushstream.coordination.running import (
    acknowledge,
    body,
    end,
    head,
)
from bulrushstream.coordination.sessions import connect, disconnect, lose
from bulrushstream.coordination.timeouts import check_times
from bulrushstream.state.config import VersionedConfig
from bulrushstream.state.effect import Effect, WakeAt
from bulrushstream.state.event import (
    CacheReported,
    Configured,
    DrainStarted,
    Event,
    LoadReported,
    PeerDown,
    PeerLost,
    PeerUp,
    Received,
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
    """Take in one event.

    :param state: The agent's state, which is changed.
    :param event: What happened.
    :param now_s: When, on the core's clock; it never goes back.
    :returns: What to do, in order.
    """
    effects = _apply(state, event, now_s)
    if _is_quiet(event):
        return effects
    if now_s - state.checked_s >= state.options.tick_s:
        effects += check_times(state, now_s)
    effects += start_held(state, now_s)
    effects += give_back_spare(state, now_s)
    effects += fill(state, now_s)
    effects += announce(state, now_s)
    effects += report(state, now_s)
    effects += share_lifts(state, now_s)
    effects += _wake(state, now_s)
    return effects


def _is_quiet(event: Event) -> bool:
    """Return whether an event can free no slot and bring no work.

    Most events are pieces of answers, so that their path has to be short;
    what else is due waits for the next tick.
    """
    match event:
        case RunBody() | RunHead() | Received(_, Ack() | Digest() | Floor()):
            return True
        case _:
            return False


def _apply(state: AgentState, event: Event, now_s: float) -> list[Effect]:
    """Do what an event itself asks for."""
    match event:
        case Received(peer, message):
            return _receive(state, peer, message, now_s)
        case RunBody():
            return body(state, event)
        case RunHead():
            return head(state, event)
        case RunEnd():
            return end(state, event, now_s)
        case LoadReported():
            _take_load(state, event, now_s)
        case CacheReported():
            return relay_cache(state, event)
        case PeerUp(info) if info.role is Role.ROUTER:
            return connect(state, info, now_s)
        case PeerDown(peer):
            return disconnect(state, peer, now_s)
        case PeerLost(peer):
            if peer not in state.routers:
                return lose(state, peer, now_s)
            # A standing connection is the better sign; if the router is
            # gone, its end follows.
            state.given_up.add(peer)
        case Configured(current):
            _configure(state, current)
        case DrainStarted():
            return _drain(state, now_s)
        case _:
            pass
    return []


def _receive(
    state: AgentState, peer: InstanceKey, message: Message, now_s: float
) -> list[Effect]:
    """Take in a router's message."""
    match message:
        case Dispatch():
            return accept(state, peer, message, now_s)
        case Ack(request_id, attempt, next_sequence):
            acknowledge(state, (request_id, attempt), next_sequence)
        case NoWork():
            no_work(state, peer, message, now_s)
        case Backlog():
            if peer in state.routers:
                learn_backlog(state, peer, message, now_s)
        case Digest(service) if service == state.me.service:
            state.shares.take_digest(peer, message)
        case Floor(service, workspace, floor):
            if service == state.me.service:
                state.shares.raise_lift(workspace, floor)
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
    """Take over the service's limits and the workspaces' weights."""
    config = current.config
    state.weights = {w.name: w.weight for w in config.workspaces}
    for service in config.services:
        if service.name == state.me.service:
            state.service = service
            state.slots.configure(service.slots, service.max_slots)


def _drain(state: AgentState, now_s: float) -> list[Effect]:
    """Take no new work, give back what was not started."""
    if state.draining:
        return []
    state.draining = True
    effects = tell(state, Goodbye(state.me.key.incarnation))
    return effects + give_all_back(state, RefuseReason.DRAINING, now_s)


def _take_load(state: AgentState, event: LoadReported, now_s: float) -> None:
    """Adapt to the endpoint's load report."""
    if not event.healthy:
        # Runs tell more than a report; it counts only beside none.
        if not state.active:
            state.breaker.fail(now_s, state.rng)
        return
    state.slots.report(
        event.running, event.waiting, now_s, state.options.load_lag_s
    )


def _wake(state: AgentState, now_s: float) -> list[Effect]:
    """Ask for the next tick, unless an earlier one was asked for."""
    times = [report_due_s(state)]
    if state.runs or state.pulls or any(state.backlogs.workspaces()):
        times.append(now_s + state.options.tick_s)
    if state.idle_was_s is not None:
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
