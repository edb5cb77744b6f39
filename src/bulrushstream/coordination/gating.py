"""Lets requests that may crash endpoints run one at a time.

All requests of one fingerprint pass one *gate*.  As long as nothing is
known of the fingerprint, one request of it runs at a time on each router;
once one has ended well, any number may.  A suspected fingerprint runs at
most once at a time in the whole fleet: the router that wants to run one
asks all others, and each *grants* that it neither runs one nor will start
one before it has been granted that in turn.  Grants carry the strikes that
the granting router knows of, so whoever runs a suspected request knows of
every earlier crash.

See `bulrushstream.coordination.trials` for how two that ask at once agree.
"""

from __future__ import annotations

from collections.abc import Iterable

from bulrushstream.coordination import backlogs, trials
from bulrushstream.coordination.routing import (
    Gate,
    Phase,
    RouterState,
    Timer,
    Tracked,
    Trial,
    queue_key,
)
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Strike, Strikes, TrialAsk, TrialGrant


def enter(state: RouterState, tracked: Tracked) -> None:
    """Note that a request may be queued and run."""
    gate = _gate(state, tracked.request.fingerprint)
    request_id = tracked.request.request_id
    gate.held.pop(request_id, None)
    gate.active.add(request_id)


def hold(state: RouterState, tracked: Tracked) -> None:
    """Note that a request waits for others of its fingerprint."""
    gate = _gate(state, tracked.request.fingerprint)
    gate.held[tracked.request.request_id] = None


def is_free(state: RouterState, tracked: Tracked) -> bool:
    """Return whether no other request of the fingerprint is under way."""
    gate = _gate(state, tracked.request.fingerprint)
    return not gate.active - {tracked.request.request_id}


def has_consent(state: RouterState, tracked: Tracked, now_s: float) -> bool:
    """Return whether a suspected request may run, else ask for it.

    :param state: the router
    :param tracked: a request with a suspected fingerprint
    :param now_s: the time on the core's clock
    :returns: whether no like request runs anywhere
    """
    request = tracked.request
    gate = _gate(state, request.fingerprint)
    if gate.trial is None:
        gate.trial = Trial(request.request_id)
        trials.ask(state, request.fingerprint, now_s)
    if gate.trial.request_id != request.request_id:
        return False
    if not is_free(state, tracked) or trials.missing(state, gate.trial):
        return False
    wait_s = trials.informed_s(state, request.service) - now_s
    if wait_s <= 0.0:
        return True
    due_s = now_s + min(wait_s, state.options.trial_interval_s)
    state.timers.set((Timer.TRIAL, str(request.fingerprint)), due_s)
    return False


def try_again(state: RouterState, fingerprint: int, now_s: float) -> None:
    """Ask again for what a trial lacks, and go on if it lacks nothing.

    :param state: the router
    :param fingerprint: which requests
    :param now_s: the time on the core's clock
    """
    trials.ask(state, fingerprint, now_s)
    _go_on(state, fingerprint, now_s)


def leave(state: RouterState, tracked: Tracked) -> None:
    """Note that a request is neither queued nor out any more."""
    gate = state.gates.get(tracked.request.fingerprint)
    if gate is not None:
        gate.active.discard(tracked.request.request_id)


def drop(state: RouterState, tracked: Tracked, now_s: float) -> None:
    """Forget a request, and let others of its fingerprint go on.

    :param state: the router
    :param tracked: the request
    :param now_s: the time on the core's clock
    """
    fingerprint = tracked.request.fingerprint
    gate = state.gates.get(fingerprint)
    if gate is None:
        return
    request_id = tracked.request.request_id
    gate.active.discard(request_id)
    gate.held.pop(request_id, None)
    if gate.trial is not None and gate.trial.request_id == request_id:
        gate.trial = None
    _go_on(state, fingerprint, now_s)


def learn(state: RouterState, strikes: Iterable[Strike], now_s: float) -> None:
    """Take strikes that a peer or the log knows of.

    :param state: the router
    :param strikes: crashes, known or not
    :param now_s: the time on the core's clock
    """
    for each in strikes:
        at_s = now_s - each.age_ms / 1000
        if state.quarantine.strike(
            each.fingerprint, each.strike_id, each.alone, at_s
        ):
            suspect(state, each.fingerprint)


def suspect(state: RouterState, fingerprint: int) -> None:
    """Look again at all requests of a fingerprint that do not run yet.

    :param state: the router
    :param fingerprint: which requests
    """
    gate = state.gates.get(fingerprint)
    if gate is not None:
        _requeue(state, gate)
        if state.quarantine.fingerprints():
            state.ready.extend(gate.held)


def inform(state: RouterState) -> None:
    """Note that what the fleet knows of strikes is known here too."""
    state.strikes_known = True
    state.ready.extend(state.unscreened)
    state.unscreened.clear()


def lift(
    state: RouterState,
    fingerprints: Iterable[int],
    pardoned_s: float,
    now_s: float,
) -> None:
    """Take pardons, and let what waited for them go on.

    :param state: the router
    :param fingerprints: which are lifted
    :param pardoned_s: when they were; later strikes still count
    :param now_s: the time on the core's clock
    """
    for fingerprint in fingerprints:
        state.quarantine.pardon(fingerprint, pardoned_s)
        gate = state.gates.get(fingerprint)
        if gate is None:
            continue
        if gate.trial is not None and gate.trial.request_id in gate.held:
            gate.trial = None
        _go_on(state, fingerprint, now_s)


def pardon(
    state: RouterState, fingerprints: Iterable[int], now_s: float
) -> None:
    """Take an operator's pardons and tell the fleet of them.

    :param state: the router
    :param fingerprints: which are lifted
    :param now_s: the time on the core's clock
    """
    lifted = tuple(fingerprints)
    lift(state, lifted, now_s, now_s)
    for fingerprint in lifted:
        state.strike_log.add(fingerprint)
    for peer in state.routers:
        state.send(peer, Strikes((), lifted))


def asked(
    state: RouterState, peer: InstanceKey, message: TrialAsk, now_s: float
) -> None:
    """Answer a peer's ask, at once or when nothing here stands against it.

    :param state: the router
    :param peer: the router that asks
    :param message: its ask
    :param now_s: the time on the core's clock
    """
    if peer not in state.routers:
        return
    learn(state, message.strikes, now_s)
    gate = _gate(state, message.fingerprint)
    gate.asks[peer] = max(message.number, gate.asks.get(peer, 0))
    if not state.quarantine.count(message.fingerprint, now_s):
        state.send(peer, Strikes((), (message.fingerprint,)))
    _go_on(state, message.fingerprint, now_s)


def granted(
    state: RouterState, peer: InstanceKey, message: TrialGrant, now_s: float
) -> None:
    """Take a peer's grant.

    :param state: the router
    :param peer: the router that grants
    :param message: its grant
    :param now_s: the time on the core's clock
    """
    learn(state, message.strikes, now_s)
    gate = state.gates.get(message.fingerprint)
    if gate is None or gate.trial is None:
        return
    if gate.trial.asked.get(peer) != message.number:
        return
    gate.trial.granted.add(peer)
    _go_on(state, message.fingerprint, now_s)


def router_up(state: RouterState, peer: InstanceKey, now_s: float) -> None:
    """Tell a router all strikes, and ask it where that is needed.

    A router that just started waits for what its peers or the log know, so
    it is told also that there are none.

    :param state: the router
    :param peer: the router
    :param now_s: the time on the core's clock
    """
    strikes = tuple(
        each
        for fingerprint in state.quarantine.fingerprints()
        for each in state.quarantine.strikes(fingerprint, now_s)
    )
    if state.strikes_known:
        state.send(peer, Strikes(strikes))
    for fingerprint, gate in state.gates.items():
        if gate.trial is not None and peer not in gate.trial.granted:
            _requeue(state, gate)
            trials.ask(state, fingerprint, now_s)


def router_lost(state: RouterState, peer: InstanceKey, now_s: float) -> None:
    """Go on without a router that will not come back.

    :param state: the router
    :param peer: the router
    :param now_s: the time on the core's clock
    """
    for fingerprint, gate in list(state.gates.items()):
        gate.asks.pop(peer, None)
        _go_on(state, fingerprint, now_s)


def _requeue(state: RouterState, gate: Gate) -> None:
    """Take the requests of a gate out of their queue, to be looked at."""
    for request_id in sorted(gate.active):
        tracked = state.tracked[request_id]
        if tracked.phase is not Phase.WAITING:
            continue
        state.queues.remove(request_id)
        backlogs.touch(state, queue_key(tracked))
        state.move(tracked, Phase.HELD)
        gate.active.discard(request_id)
        state.ready.append(request_id)


def _go_on(state: RouterState, fingerprint: int, now_s: float) -> None:
    """Answer open asks, and let held requests go on as far as they may."""
    gate = state.gates.get(fingerprint)
    if gate is None:
        return
    trials.answer(state, fingerprint, gate, now_s)
    _wake(state, fingerprint, gate, now_s)
    if not (gate.active or gate.held or gate.trial or gate.asks):
        del state.gates[fingerprint]
        state.timers.cancel((Timer.TRIAL, str(fingerprint)))


def _wake(
    state: RouterState, fingerprint: int, gate: Gate, now_s: float
) -> None:
    if state.quarantine.is_proven(fingerprint, now_s):
        state.ready.extend(gate.held)
        gate.held.clear()
    elif gate.trial is not None:
        if gate.trial.request_id in gate.held and not gate.active:
            state.ready.append(gate.trial.request_id)
    elif gate.held and not gate.active:
        state.ready.append(next(iter(gate.held)))


def _gate(state: RouterState, fingerprint: int) -> Gate:
    return state.gates.setdefault(fingerprint, Gate())
