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
    claims,
    dispatching,
    expiry,
    gating,
    hub,
    journal,
    peers,
    screening,
)
from bulrushstream.coordination.appender import Appender, AppenderOptions
from bulrushstream.coordination.budget import RetryBudget
from bulrushstream.coordination.options import RouterOptions
from bulrushstream.coordination.quarantine import Quarantine
from bulrushstream.coordination.routing import RouterState, Timer
from bulrushstream.state.claim import ClaimTable
from bulrushstream.state.effect import Effect, WakeAt
from bulrushstream.state.event import (
    Arrived,
    CallerLeft,
    Configured,
    DrainStarted,
    Event,
    LogAppended,
    LogFailed,
    LogRead,
    Pardoned,
    PeerDown,
    PeerLeaving,
    PeerLost,
    PeerUp,
    Received,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import (
    Cached,
    Floor,
    Gone,
    Goodbye,
    Idle,
    Message,
    Part,
    Pull,
    Refuse,
    Served,
    Strikes,
    TrialAsk,
    TrialGrant,
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
    return RouterState(
        me=me,
        started_s=now_s,
        options=options,
        rng=rng,
        queues=QueueTable(
            options.aging_s, options.affinity_scan, options.affinity_skips
        ),
        budget=RetryBudget(options.budget),
        quarantine=Quarantine(options.quarantine),
        claims=ClaimTable(options.claims.window_s),
        claim_log=Appender(AppenderOptions()),
        strike_log=Appender(AppenderOptions()),
    )


def handle(state: RouterState, event: Event, now_s: float) -> list[Effect]:
    """Act on one event.

    :param state: the router
    :param event: what happened
    :param now_s: the time on the core's clock
    :returns: the effects to carry out, in order
    """
    _on_timers(state, now_s)
    if isinstance(event, Received):
        _on_message(state, event.peer, event.message, now_s)
    else:
        _on_event(state, event, now_s)
    _go_on(state, now_s)
    journal.write(state, now_s)
    backlogs.publish(state, now_s)
    peers.say_goodbye(state)
    _ask_to_wake(state, now_s)
    effects = list(state.out)
    state.out.clear()
    return effects


def _ask_to_wake(state: RouterState, now_s: float) -> None:
    """Ask for a tick, unless one is to come early enough already."""
    due_s = state.timers.next_s()
    if due_s is None:
        return
    if state.wake_s <= now_s or due_s < state.wake_s:
        state.wake_s = due_s
        state.out.append(WakeAt(due_s))


def _go_on(state: RouterState, now_s: float) -> None:
    """Let requests go on for which something has changed."""
    while state.ready or state.rekey:
        claims.look_again(state, now_s)
        screening.screen_ready(state, now_s)


def _on_event(state: RouterState, event: Event, now_s: float) -> None:
    match event:
        case Arrived(request):
            admission.arrive(state, request, now_s)
        case CallerLeft(request_id):
            expiry.caller_left(state, request_id, now_s)
        case Configured(current):
            if current.version > state.config.version:
                state.configure(current)
        case LogRead():
            journal.read(state, event, now_s)
        case LogAppended():
            journal.appended(state, event)
        case LogFailed():
            journal.failed(state, event, now_s)
        case DrainStarted():
            state.draining = True
        case Pardoned(fingerprints):
            gating.pardon(state, fingerprints, now_s)
        case _:
            _on_peer(state, event, now_s)


def _on_peer(state: RouterState, event: Event, now_s: float) -> None:
    match event:
        case PeerUp(info):
            peers.up(state, info, now_s)
        case PeerDown(key):
            peers.down(state, key, now_s)
        case PeerLost(key):
            peers.lost(state, key, now_s)
        case PeerLeaving(key):
            peers.leaving(state, key)
        case _:
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
            peers.leaving(state, peer)
        case Cached():
            dispatching.cached(state, peer, message)
        case _:
            _on_shared(state, peer, message, now_s)


def _on_shared(
    state: RouterState, peer: InstanceKey, message: Message, now_s: float
) -> None:
    """Take a message about what the whole fleet shares."""
    match message:
        case Served():
            hub.served(state, peer, message, now_s)
        case Floor():
            hub.floor(state, peer, message, now_s)
        case Strikes():
            if peer in state.routers:
                gating.inform(state)
            gating.learn(state, message.strikes, now_s)
            gating.lift(state, message.pardons, now_s, now_s)
        case TrialAsk():
            gating.asked(state, peer, message, now_s)
        case TrialGrant():
            gating.granted(state, peer, message, now_s)
        case _:
            pass


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
                state.ready.append(name)
            case _:
                _on_shared_timer(state, timer, name, now_s)


def _on_shared_timer(
    state: RouterState, timer: Timer, name: str, now_s: float
) -> None:
    """Act on a timer about what the whole fleet shares."""
    match timer:
        case Timer.DIGEST:
            hub.digest(state, name == hub.SPARE, now_s)
        case Timer.RELAY:
            hub.relay(state, now_s)
        case Timer.TRIAL:
            gating.try_again(state, int(name), now_s)
        case _:
            pass  # The journal writes after every event.
