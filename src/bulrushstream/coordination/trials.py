"""Mutual exclusion between routers for runs of suspected requests.

A *trial* is the one suspected request of a fingerprint that a router wants
to run.  It may run once every other router has granted it.

If two routers ask at the same time, the one with the smaller key goes
first: a router that still waits for grants yields to it, and must ask it
again.  This is the algorithm of Ricart and Agrawala (1981), with a fixed
order in place of their clock.
"""

from __future__ import annotations

from bulrushstream.coordination.routerstate import (
    Gate,
    RouterState,
    Timer,
    Trial,
)
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import TrialAsk, TrialGrant


def missing_grants(state: RouterState, trial: Trial) -> list[InstanceKey]:
    """Return the routers that have not granted a trial."""
    return sorted(set(state.routers) - trial.granted_by)


def request_grants(state: RouterState, fingerprint: int, now_s: float) -> None:
    """Ask for a trial's missing grants, and set a timer to repeat it.

    :param state: the router
    :param fingerprint: the trial's fingerprint
    :param now_s: the time on the core's clock
    """
    gate = state.gates.get(fingerprint)
    if gate is None or gate.trial is None:
        return
    missing = missing_grants(state, gate.trial)
    for peer in missing:
        _request_grant(state, fingerprint, gate.trial, peer, now_s)
    if missing:
        due_s = now_s + state.options.trial_interval_s
        state.timers.set((Timer.TRIAL, str(fingerprint)), due_s)


def crashes_known_s(state: RouterState, service: str) -> float:
    """Return the time from which the router knows of every earlier crash.

    Peers and agents report crashes when they connect.  A disconnected
    agent may know of a crash that was reported to no router.

    :param state: the router
    :param service: the service of a suspected request
    :returns: a time on the core's clock; infinite while an agent of the
        service is disconnected
    """
    since_s = state.started_s
    for view in state.agents_of(service):
        if view.connected:
            since_s = max(since_s, view.connected_since_s)
        elif not view.leaving:
            return float("inf")
    return since_s + state.options.trial_settle_s


def grant_pending(
    state: RouterState, fingerprint: int, gate: Gate, now_s: float
) -> None:
    """Grant every pending trial of a peer that does not conflict.

    :param state: the router
    :param fingerprint: the trials' fingerprint
    :param gate: this router's requests of the fingerprint
    :param now_s: the time on the core's clock
    """
    for peer in sorted(gate.pending_asks):
        if _may_grant(state, gate, peer):
            _grant(state, fingerprint, gate, peer, now_s)


def _may_grant(state: RouterState, gate: Gate, peer: InstanceKey) -> bool:
    """Return whether a peer's trial may run now.

    It must wait while a request of the fingerprint is under way here, and
    if a trial here has all grants or this router's key is smaller.
    """
    if gate.active:
        return False
    if gate.trial is None:
        return True
    if not missing_grants(state, gate.trial):
        return False
    return peer < state.me.key


def _grant(
    state: RouterState,
    fingerprint: int,
    gate: Gate,
    peer: InstanceKey,
    now_s: float,
) -> None:
    number = gate.pending_asks.pop(peer)
    strikes = state.quarantine.strikes(fingerprint, now_s)
    state.send(peer, TrialGrant(fingerprint, number, strikes))
    if gate.trial is not None:
        # This revokes the peer's grant for the trial here, also one that is
        # still in flight.
        gate.trial.granted_by.discard(peer)
        gate.trial.ask_numbers.pop(peer, None)
        _request_grant(state, fingerprint, gate.trial, peer, now_s)


def _request_grant(
    state: RouterState,
    fingerprint: int,
    trial: Trial,
    peer: InstanceKey,
    now_s: float,
) -> None:
    if peer not in trial.ask_numbers:
        trial.ask_numbers[peer] = state.next_sequence()
    strikes = state.quarantine.strikes(fingerprint, now_s)
    state.send(peer, TrialAsk(fingerprint, trial.ask_numbers[peer], strikes))
