"""Asks all routers for their consent to run a suspected request.

A *trial* is the one suspected request of a fingerprint that a router wants
to run.  It lacks consent until every router has granted it.

If two routers ask at once, the one with the smaller key goes first: a
router that still waits for grants gives way to it, and must ask it again.
This is the mutual exclusion of Ricart and Agrawala (1981), with a fixed
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


def missing(state: RouterState, trial: Trial) -> list[InstanceKey]:
    """Return the routers whose grant a trial lacks."""
    return sorted(set(state.routers) - trial.granted_by)


def ask(state: RouterState, fingerprint: int, now_s: float) -> None:
    """Ask the routers whose grant a trial lacks, and again later.

    :param state: the router
    :param fingerprint: which requests
    :param now_s: the time on the core's clock
    """
    gate = state.gates.get(fingerprint)
    if gate is None or gate.trial is None:
        return
    lacking = missing(state, gate.trial)
    for peer in lacking:
        _ask_one(state, fingerprint, gate.trial, peer, now_s)
    if lacking:
        due_s = now_s + state.options.trial_interval_s
        state.timers.set((Timer.TRIAL, str(fingerprint)), due_s)


def informed_s(state: RouterState, service: str) -> float:
    """Return from when on the router knows of every earlier crash.

    Peers and agents tell of crashes when they connect.  An agent that is
    away may know of one that nobody else saw.

    :param state: the router
    :param service: the service of a suspected request
    :returns: a time on the core's clock; infinite while an agent is away
    """
    since_s = state.started_s
    for view in state.agents_of(service):
        if view.connected:
            since_s = max(since_s, view.connected_since_s)
        elif not view.leaving:
            return float("inf")
    return since_s + state.options.trial_settle_s


def answer(
    state: RouterState, fingerprint: int, gate: Gate, now_s: float
) -> None:
    """Grant every open ask that nothing here stands against.

    :param state: the router
    :param fingerprint: which requests
    :param gate: what is known of them here
    :param now_s: the time on the core's clock
    """
    for peer in sorted(gate.pending_asks):
        if _may_grant(state, gate, peer):
            _grant(state, fingerprint, gate, peer, now_s)


def _may_grant(state: RouterState, gate: Gate, peer: InstanceKey) -> bool:
    """Return whether a peer may run the request that it asks for."""
    if gate.active:
        return False
    if gate.trial is None:
        return True
    if not missing(state, gate.trial):
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
        # The peer's own grant, also one that is on its way, ends here.
        gate.trial.granted_by.discard(peer)
        gate.trial.ask_numbers.pop(peer, None)
        _ask_one(state, fingerprint, gate.trial, peer, now_s)


def _ask_one(
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
