"""Draws from the end of a run what it says of its fingerprint.

A run that ends well proves its fingerprint; a run under which the endpoint
went down is a strike against it.  Both are told to router peers and kept
in the log.
"""

from __future__ import annotations

from bulrushstream.coordination import gating
from bulrushstream.coordination.quarantine import LOST, StrikeRecord
from bulrushstream.coordination.routerstate import (
    AgentView,
    RouterState,
    TrackedRequest,
)
from bulrushstream.state.message import Strike, Strikes


def prove(state: RouterState, tracked: TrackedRequest, now_s: float) -> None:
    """Note that a request ended and its endpoint stands.

    :param state: the router
    :param tracked: the request
    :param now_s: the time on the core's clock
    """
    fingerprint = tracked.request.fingerprint
    if not fingerprint or not state.quarantine.prove(fingerprint, now_s):
        return
    state.record_decision("clear", "ended without a crash", tracked, now_s)
    state.strike_log.add(fingerprint)
    _tell_routers(state, Strikes((), (fingerprint,)))
    gating.apply_pardons(state, (fingerprint,), now_s, now_s)


def strike(
    state: RouterState,
    tracked: TrackedRequest,
    view: AgentView,
    crash: int,
    now_s: float,
) -> None:
    """Count a crash of an endpoint against a request that ran there.

    :param state: the router
    :param tracked: the request
    :param view: the agent of the endpoint
    :param crash: which crash it was, as the agent counts them
    :param now_s: the time on the core's clock
    """
    _strike(state, tracked, view, str(crash), now_s)


def strike_lost(
    state: RouterState, tracked: TrackedRequest, view: AgentView, now_s: float
) -> None:
    """Count the loss of an agent against a request that ran there.

    :param state: the router
    :param tracked: the request
    :param view: the agent
    :param now_s: the time on the core's clock
    """
    _strike(state, tracked, view, LOST, now_s)


def _strike(
    state: RouterState,
    tracked: TrackedRequest,
    view: AgentView,
    crash: str,
    now_s: float,
) -> None:
    fingerprint = tracked.request.fingerprint
    if not fingerprint:
        return
    key = view.info.key
    name = f"{key.instance}@{key.incarnation}#{crash}"
    new = state.quarantine.strike(fingerprint, name, tracked.alone, now_s)
    if not new and not state.quarantine.holds(fingerprint, name):
        return
    # What only peers have told before is not in the log yet.
    state.record_decision("strike", name, tracked, now_s)
    at_ms = state.quarantine.clock.now_ms(now_s)
    state.strike_log.add(StrikeRecord(fingerprint, name, tracked.alone, at_ms))
    if not new:
        return
    _tell_routers(
        state, Strikes((Strike(fingerprint, name, tracked.alone, 0),))
    )
    gating.rescreen(state, fingerprint)


def _tell_routers(state: RouterState, message: Strikes) -> None:
    for peer in sorted(state.routers):
        state.send(peer, message)
