"""The core of a router: what it does about each event.

``handle`` takes one event and returns the effects to carry out.  The work
is done by the modules that it calls; each of them adds its effects to the
state, and ``handle`` hands them out.
"""

from __future__ import annotations

import random

from bulrushstream.coordination import (
    admission,
    attempts,
    backlogs,
    dispatching,
    expiry,
)
from bulrushstream.coordination.routing import (
    RouterOptions,
    RouterState,
    Timer,
)
from bulrushstream.state.effect import Effect, WakeAt
from bulrushstream.state.event import (
    Arrived,
    CallerLeft,
    Configured,
    DrainStarted,
    Event,
    PeerDown,
    PeerLeaving,
    PeerLost,
    PeerUp,
    Received,
    Ticked,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import (
    Gone,
    Goodbye,
    Idle,
    Message,
    Part,
    Pull,
    Refuse,
)
from bulrushstream.state.queues import QueueTable

__all__ = ["RouterOptions", "RouterState", "handle", "new_router"]


def new_router(
    me: InstanceInfo,
    options: RouterOptions,
    rng: random.Random,
    now_s: float,
) -> RouterState:
    """Return a router that knows nothing yet.

    :param me: who the router is
    :param options: its limits and intervals
    :param rng: the source of all its randomness
    :param now_s: the time on the core's clock
    :returns: the state to hand to `handle`
    """
    del now_s
    queues = QueueTable(
        options.aging_s, options.affinity_scan, options.affinity_skips
    )
    return RouterState(me, options, rng, queues)


def handle(state: RouterState, event: Event, now_s: float) -> list[Effect]:
    """Act on one event.

    :param state: the router
    :param event: what happened
    :param now_s: the time on the core's clock
    :returns: the effects to carry out, in order
    """
    _on_timers(state, now_s)
    _on_event(state, event, now_s)
    backlogs.publish(state, now_s)
    _say_goodbye(state)
    due_s = state.timers.next_s()
    if due_s is not None:
        state.out.append(WakeAt(due_s))
    effects = list(state.out)
    state.out.clear()
    return effects


def _on_event(state: RouterState, event: Event, now_s: float) -> None:
    match event:
        case Received(peer, message):
            _on_message(state, peer, message, now_s)
        case Arrived(request):
            limit = state.queue_limit(request)
            admission.arrive(state, request, limit, now_s)
        case CallerLeft(request_id):
            expiry.caller_left(state, request_id, now_s)
        case Configured(current):
            if current.version > state.config.version:
                state.configure(current)
        case PeerUp(info):
            _on_peer_up(state, info, now_s)
        case PeerDown(key):
            attempts.agent_down(state, key, now_s)
        case PeerLost(key):
            attempts.agent_lost(state, key, now_s)
            state.routers.pop(key, None)
        case PeerLeaving(key):
            _on_leaving(state, key)
        case DrainStarted():
            state.draining = True
        case Ticked() | _:
            pass


def _on_message(
    state: RouterState, peer: InstanceKey, message: Message, now_s: float
) -> None:
    match message:
        case Part():
            attempts.part(state, peer, message, now_s)
        case Pull():
            dispatching.pull(state, peer, message, now_s)
        case Idle():
            dispatching.idle(state, peer, message, now_s)
        case Refuse():
            attempts.refuse(state, peer, message, now_s)
        case Gone():
            attempts.gone(state, peer, message, now_s)
        case Goodbye():
            _on_leaving(state, peer)
        case _:
            pass


def _on_peer_up(state: RouterState, info: InstanceInfo, now_s: float) -> None:
    if info.role is Role.AGENT:
        attempts.agent_up(state, info, now_s)
    else:
        state.routers[info.key] = info


def _on_leaving(state: RouterState, key: InstanceKey) -> None:
    view = state.agents.get(key)
    if view is not None:
        view.leaving = True


def _on_timers(state: RouterState, now_s: float) -> None:
    while (due := state.timers.pop_due(now_s)) is not None:
        timer, name = due
        match timer:
            case Timer.DEADLINE:
                expiry.deadline(state, name, now_s)
            case Timer.BACKLOG:
                backlogs.flush(state, now_s)
            case Timer.REFRESH:
                backlogs.refresh(state, name, now_s)
            case Timer.ACK:
                attempts.acknowledge(state, name)
            case Timer.PROBE:
                attempts.probe(state, name, now_s)
            case Timer.GRACE:
                attempts.out_of_grace(state, name, now_s)
            case Timer.RETRY:
                tracked = state.tracked.get(name)
                if tracked is not None:
                    dispatching.offer(state, tracked, now_s)


def _say_goodbye(state: RouterState) -> None:
    """Tell peers that a draining router's queues are empty."""
    if not state.draining or state.goodbye_sent or len(state.queues):
        return
    state.goodbye_sent = True
    goodbye = Goodbye(state.me.key.incarnation)
    for key in [*state.agents, *state.routers]:
        state.send(key, goodbye)
