"""Event loop of the router core: an event in, effects out.

``handle`` dispatches an event to the module that handles it.  The modules
append their effects to the state, and ``handle`` returns them.
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
from bulrushstream.coordination.routerstate import RouterState, Timer
from bulrushstream.state.claim import ClaimTable
from bulrushstream.state.effect import Effect, WakeAt
from bulrushstream.state.event import (
    CallerDisconnected,
    ConfigChanged,
    DrainStarted,
    Event,
    LogAppended,
    LogFailed,
    LogRead,
    MessageReceived,
    PeerDown,
    PeerLeaving,
    PeerLost,
    PeerUp,
    QuarantineLifted,
    RequestArrived,
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
    """Return the initial state of a router.

    :param me: the router's instance
    :param options: its limits and intervals
    :param rng: a seeded generator, the only source of randomness
    :param now_s: the time on the core's clock
    :returns: the state to pass to `handle`
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
    """Handle one event.

    :param state: the router
    :param event: the event
    :param now_s: the time on the core's clock
    :returns: the effects to carry out, in order
    """
    _on_timers(state, now_s)
    if isinstance(event, MessageReceived):
        _on_message(state, event.peer, event.message, now_s)
    else:
        _on_event(state, event, now_s)
    _screen_pending(state, now_s)
    journal.write(state, now_s)
    backlogs.publish(state, now_s)
    peers.send_goodbyes(state)
    _schedule_wake(state, now_s)
    effects = list(state.effects)
    state.effects.clear()
    return effects


def _schedule_wake(state: RouterState, now_s: float) -> None:
    """Request a tick, unless one is due early enough already."""
    due_s = state.timers.next_s()
    if due_s is None:
        return
    if state.wake_at_s <= now_s or due_s < state.wake_at_s:
        state.wake_at_s = due_s
        state.effects.append(WakeAt(due_s))


def _screen_pending(state: RouterState, now_s: float) -> None:
    """Screen requests whose claims, strikes or grants have changed."""
    while state.to_screen or state.keys_to_check:
        claims.advance_changed_keys(state, now_s)
        screening.screen_ready(state, now_s)


def _on_event(state: RouterState, event: Event, now_s: float) -> None:
    match event:
        case RequestArrived(request):
            admission.admit(state, request, now_s)
        case CallerDisconnected(request_id):
            expiry.caller_left(state, request_id, now_s)
        case ConfigChanged(current):
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
        case QuarantineLifted(fingerprints):
            gating.lift_quarantine(state, fingerprints, now_s)
        case _:
            _on_peer_event(state, event, now_s)


def _on_peer_event(state: RouterState, event: Event, now_s: float) -> None:
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
            attempts.handle_part(state, peer, message, now_s)
        case Pull():
            dispatching.handle_pull(state, peer, message, now_s)
        case Idle():
            dispatching.handle_idle(state, peer, message, now_s)
        case Refuse():
            attempts.handle_refusal(state, peer, message, now_s)
        case Gone():
            attempts.handle_gone(state, peer, message, now_s)
        case Goodbye():
            peers.leaving(state, peer)
        case Cached():
            dispatching.handle_cached(state, peer, message)
        case _:
            _on_fleet_message(state, peer, message, now_s)


def _on_fleet_message(
    state: RouterState, peer: InstanceKey, message: Message, now_s: float
) -> None:
    """Handle a message about fleet-wide state: ledger, lifts, strikes."""
    match message:
        case Served():
            hub.merge_served(state, peer, message, now_s)
        case Floor():
            hub.raise_floor(state, peer, message, now_s)
        case Strikes():
            if peer in state.routers:
                gating.set_strikes_known(state)
            gating.merge_strikes(state, message.strikes, now_s)
            gating.apply_pardons(state, message.pardons, now_s, now_s)
        case TrialAsk():
            gating.handle_trial_ask(state, peer, message, now_s)
        case TrialGrant():
            gating.handle_trial_grant(state, peer, message, now_s)
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
                attempts.probe_silent(state, name, now_s)
            case Timer.GRACE:
                attempts.resume_timed_out(state, name, now_s)
            case Timer.RETRY:
                state.to_screen.append(name)
            case _:
                _on_fleet_timer(state, timer, name, now_s)


def _on_fleet_timer(
    state: RouterState, timer: Timer, name: str, now_s: float
) -> None:
    """Handle a timer for fleet-wide state."""
    match timer:
        case Timer.DIGEST:
            hub.send_digests(state, name == hub.SPARE, now_s)
        case Timer.RELAY:
            hub.relay_to_routers(state, now_s)
        case Timer.TRIAL:
            gating.retry_trial(state, int(name), now_s)
        case _:
            pass  # CLAIMS, STRIKES: the journal writes after every event.
