"""Strikes and proofs that follow from the end of a run.

A run that ends without a crash proves its fingerprint.  A crash of the
endpoint during a run is a strike against its fingerprint.  Both are sent
to the other routers and appended to the log.
"""

from __future__ import annotations

from bulrushstream.coordination import gating
from bulrushstream.coordination.quarantine import AGENT_LOST, StrikeRecord
from bulrushstream.coordination.routerstate import (
    AgentView,
    RouterState,
    TrackedRequest,
)
from bulrushstream.state.message import Strike, Strikes


def mark_proven(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> None:
    """Mark a fingerprint proven after a run without a crash.

    Peers and the log are notified if strikes against it were removed.

    :param state: the router
    :param tracked: the request that ended
    :param now_s: the time on the core's clock
    """
    fingerprint = tracked.request.fingerprint
    if not fingerprint or not state.quarantine.mark_proven(fingerprint, now_s):
        return
    state.record_decision("clear", "ended without a crash", tracked, now_s)
    state.strike_log.add(fingerprint)
    _notify_routers(state, Strikes((), (fingerprint,)))
    gating.apply_pardons(state, (fingerprint,), now_s, now_s)


def strike(
    state: RouterState,
    tracked: TrackedRequest,
    view: AgentView,
    crash: int,
    now_s: float,
) -> None:
    """Add a strike against a request that ran on a crashed endpoint.

    :param state: the router
    :param tracked: the request
    :param view: the endpoint's agent
    :param crash: the agent's number of the crash
    :param now_s: the time on the core's clock
    """
    _add_strike(state, tracked, view, str(crash), now_s)


def strike_agent_lost(
    state: RouterState, tracked: TrackedRequest, view: AgentView, now_s: float
) -> None:
    """Add a strike against a request whose agent was lost.

    :param state: the router
    :param tracked: the request
    :param view: the agent
    :param now_s: the time on the core's clock
    """
    _add_strike(state, tracked, view, AGENT_LOST, now_s)


def _add_strike(
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
    strike_id = f"{key.instance}@{key.incarnation}#{crash}"
    is_new = state.quarantine.add_strike(
        fingerprint, strike_id, tracked.alone, now_s
    )
    if not is_new and not state.quarantine.has_strike(fingerprint, strike_id):
        return
    # A strike that is known only from a peer may not be in the log yet.
    state.record_decision("strike", strike_id, tracked, now_s)
    at_ms = state.quarantine.clock.now_ms(now_s)
    state.strike_log.add(
        StrikeRecord(fingerprint, strike_id, tracked.alone, at_ms)
    )
    if not is_new:
        return
    _notify_routers(
        state, Strikes((Strike(fingerprint, strike_id, tracked.alone, 0),))
    )
    gating.rescreen(state, fingerprint)


def _notify_routers(state: RouterState, message: Strikes) -> None:
    for peer in sorted(state.routers):
        state.send(peer, message)
