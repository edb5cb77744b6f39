"""Limits the concurrency of requests that may crash endpoints.

All requests with the same fingerprint share a *gate*.  While nothing is
known of a fingerprint, each router runs one request of it at a time; once
one has ended without a crash, any number may run.  Of a suspected
fingerprint (one with strikes) at most one request runs at a time in the
whole fleet: its router asks all peers for a *grant*.  A peer that grants
neither runs such a request nor starts one until it has a grant itself.
Grants carry the granting router's strikes, so the router that runs a
suspected request knows of every earlier crash.

See `bulrushstream.coordination.trials` for concurrent asks.
"""

from __future__ import annotations

from collections.abc import Iterable

from bulrushstream.coordination import backlogs, trials
from bulrushstream.coordination.routerstate import (
    Gate,
    Phase,
    RouterState,
    Timer,
    TrackedRequest,
    Trial,
    queue_key,
)
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Strike, Strikes, TrialAsk, TrialGrant


def enter(state: RouterState, tracked: TrackedRequest) -> None:
    """Count a request as active: it may be queued and run."""
    gate = _gate(state, tracked.request.fingerprint)
    request_id = tracked.request.request_id
    gate.held.pop(request_id, None)
    gate.active.add(request_id)


def hold(state: RouterState, tracked: TrackedRequest) -> None:
    """Hold a request until others of its fingerprint have ended."""
    gate = _gate(state, tracked.request.fingerprint)
    gate.held[tracked.request.request_id] = None


def is_free(state: RouterState, tracked: TrackedRequest) -> bool:
    """Return whether no other request of the fingerprint is active."""
    gate = _gate(state, tracked.request.fingerprint)
    return not gate.active - {tracked.request.request_id}


def request_grants(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> bool:
    """Return whether a suspected request may run; ask for missing grants.

    :param state: the router
    :param tracked: a request with a suspected fingerprint
    :param now_s: the time on the core's clock
    :returns: whether all peers have granted it and earlier crashes are known
    """
    request = tracked.request
    gate = _gate(state, request.fingerprint)
    if gate.trial is None:
        gate.trial = Trial(request.request_id)
        trials.request_grants(state, request.fingerprint, now_s)
    if gate.trial.request_id != request.request_id:
        return False
    if not is_free(state, tracked) or trials.missing_grants(state, gate.trial):
        return False
    wait_s = trials.crashes_known_s(state, request.service) - now_s
    if wait_s <= 0.0:
        return True
    due_s = now_s + min(wait_s, state.options.trial_interval_s)
    state.timers.set((Timer.TRIAL, str(request.fingerprint)), due_s)
    return False


def retry_trial(state: RouterState, fingerprint: int, now_s: float) -> None:
    """Ask again for a trial's missing grants, or release it if it has all.

    :param state: the router
    :param fingerprint: the trial's fingerprint
    :param now_s: the time on the core's clock
    """
    trials.request_grants(state, fingerprint, now_s)
    _advance(state, fingerprint, now_s)


def leave(state: RouterState, tracked: TrackedRequest) -> None:
    """Count a request as no longer active."""
    gate = state.gates.get(tracked.request.fingerprint)
    if gate is not None:
        gate.active.discard(tracked.request.request_id)


def drop(state: RouterState, tracked: TrackedRequest, now_s: float) -> None:
    """Remove a request from its gate and release others held there.

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
    _advance(state, fingerprint, now_s)


def merge_strikes(
    state: RouterState, strikes: Iterable[Strike], now_s: float
) -> None:
    """Merge strikes from a peer or the log.

    :param state: the router
    :param strikes: the strikes, including already known ones
    :param now_s: the time on the core's clock
    """
    for each in strikes:
        at_s = now_s - each.age_ms / 1000
        if state.quarantine.add_strike(
            each.fingerprint, each.strike_id, each.alone, at_s
        ):
            rescreen(state, each.fingerprint)


def rescreen(state: RouterState, fingerprint: int) -> None:
    """Screen all requests of a fingerprint again that are not in flight.

    :param state: the router
    :param fingerprint: the fingerprint
    """
    gate = state.gates.get(fingerprint)
    if gate is not None:
        _unqueue(state, gate)
        if state.quarantine.fingerprints():
            state.to_screen.extend(gate.held)


def set_strikes_known(state: RouterState) -> None:
    """Record that the fleet's strikes are known; screen waiting requests."""
    state.strikes_known = True
    state.to_screen.extend(state.awaiting_strikes)
    state.awaiting_strikes.clear()


def apply_pardons(
    state: RouterState,
    fingerprints: Iterable[int],
    pardoned_s: float,
    now_s: float,
) -> None:
    """Apply pardons and release requests that were held.

    :param state: the router
    :param fingerprints: the pardoned fingerprints
    :param pardoned_s: time of the pardon; later strikes still count
    :param now_s: the time on the core's clock
    """
    for fingerprint in fingerprints:
        state.quarantine.pardon(fingerprint, pardoned_s)
        gate = state.gates.get(fingerprint)
        if gate is None:
            continue
        if gate.trial is not None and gate.trial.request_id in gate.held:
            gate.trial = None
        _advance(state, fingerprint, now_s)


def lift_quarantine(
    state: RouterState, fingerprints: Iterable[int], now_s: float
) -> None:
    """Lift quarantines for an operator; log it and notify peers.

    :param state: the router
    :param fingerprints: the fingerprints to pardon
    :param now_s: the time on the core's clock
    """
    pardoned = tuple(fingerprints)
    apply_pardons(state, pardoned, now_s, now_s)
    for fingerprint in pardoned:
        state.strike_log.add(fingerprint)
    for peer in state.routers:
        state.send(peer, Strikes((), pardoned))


def handle_trial_ask(
    state: RouterState, peer: InstanceKey, message: TrialAsk, now_s: float
) -> None:
    """Grant a peer's trial ask, now or once no request here conflicts.

    :param state: the router
    :param peer: the router that asks
    :param message: the ask
    :param now_s: the time on the core's clock
    """
    if peer not in state.routers:
        return
    merge_strikes(state, message.strikes, now_s)
    gate = _gate(state, message.fingerprint)
    gate.pending_asks[peer] = max(
        message.number, gate.pending_asks.get(peer, 0)
    )
    if not state.quarantine.count(message.fingerprint, now_s):
        state.send(peer, Strikes((), (message.fingerprint,)))
    _advance(state, message.fingerprint, now_s)


def handle_trial_grant(
    state: RouterState, peer: InstanceKey, message: TrialGrant, now_s: float
) -> None:
    """Record a peer's grant for a trial.

    A grant whose number is not that of the open ask is ignored.

    :param state: the router
    :param peer: the router that grants
    :param message: the grant
    :param now_s: the time on the core's clock
    """
    merge_strikes(state, message.strikes, now_s)
    gate = state.gates.get(message.fingerprint)
    if gate is None or gate.trial is None:
        return
    if gate.trial.ask_numbers.get(peer) != message.number:
        return
    gate.trial.granted_by.add(peer)
    _advance(state, message.fingerprint, now_s)


def router_up(state: RouterState, peer: InstanceKey, now_s: float) -> None:
    """Send all strikes to a peer router and ask it for missing grants.

    An empty list is sent too, since a router that just started waits for
    the strikes from a peer or the log.

    :param state: the router
    :param peer: the peer router
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
        if gate.trial is not None and peer not in gate.trial.granted_by:
            _unqueue(state, gate)
            trials.request_grants(state, fingerprint, now_s)


def router_lost(state: RouterState, peer: InstanceKey, now_s: float) -> None:
    """Drop the asks of a peer that will not reconnect; release trials.

    :param state: the router
    :param peer: the peer router
    :param now_s: the time on the core's clock
    """
    for fingerprint, gate in list(state.gates.items()):
        gate.pending_asks.pop(peer, None)
        _advance(state, fingerprint, now_s)


def _unqueue(state: RouterState, gate: Gate) -> None:
    """Remove a gate's queued requests from their queues, to be screened."""
    for request_id in sorted(gate.active):
        tracked = state.tracked[request_id]
        if tracked.phase is not Phase.QUEUED:
            continue
        state.queues.remove(request_id)
        backlogs.mark_dirty(state, queue_key(tracked))
        state.set_phase(tracked, Phase.HELD)
        gate.active.discard(request_id)
        state.to_screen.append(request_id)


def _advance(state: RouterState, fingerprint: int, now_s: float) -> None:
    """Grant pending asks, release held requests, drop an unused gate."""
    gate = state.gates.get(fingerprint)
    if gate is None:
        return
    trials.grant_pending(state, fingerprint, gate, now_s)
    _release_held(state, fingerprint, gate, now_s)
    if not (gate.active or gate.held or gate.trial or gate.pending_asks):
        del state.gates[fingerprint]
        state.timers.cancel((Timer.TRIAL, str(fingerprint)))


def _release_held(
    state: RouterState, fingerprint: int, gate: Gate, now_s: float
) -> None:
    if state.quarantine.is_proven(fingerprint, now_s):
        state.to_screen.extend(gate.held)
        gate.held.clear()
    elif gate.trial is not None:
        if gate.trial.request_id in gate.held and not gate.active:
            state.to_screen.append(gate.trial.request_id)
    elif gate.held and not gate.active:
        state.to_screen.append(next(iter(gate.held)))


def _gate(state: RouterState, fingerprint: int) -> Gate:
    return state.gates.setdefault(fingerprint, Gate())
