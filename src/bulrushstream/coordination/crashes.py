"""An agent's reports of its endpoint's crashes to all routers.

The router whose request was running learns of the crash from the end of
the answer.  That router may have stopped or be disconnected, so the agent
also reports the crash to the other routers, and to every router that
connects later.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.state.effect import Effect, Send
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Strike, Strikes
from bulrushstream.state.run import Run

# How long a strike is reported to routers that connect.
STRIKE_RETENTION_S: Final = 600.0
MAX_STRIKES: Final = 256  # Older strikes are dropped.
MS_PER_S: Final = 1000.0


def report_crash(
    state: AgentState, run: Run, crash: int, now_s: float
) -> list[Effect]:
    """Report a crash during a run to all routers but the run's own.

    :param state: The agent's state.
    :param run: The run.
    :param crash: The number of the crash.
    :param now_s: The time.
    :returns: The messages; none if the request has no fingerprint.
    """
    dispatch = run.dispatch
    if not dispatch.fingerprint:
        return []
    me = state.me.key
    strike_id = f"{me.instance}@{me.incarnation}#{crash}"
    strike = Strike(dispatch.fingerprint, strike_id, dispatch.alone, 0)
    state.strikes.append((strike, now_s))
    del state.strikes[:-MAX_STRIKES]
    others = [router for router in state.routers if router != run.router]
    return [Send(router, Strikes((strike,))) for router in others]


def report_known_crashes(
    state: AgentState, router: InstanceKey, now_s: float
) -> list[Effect]:
    """Report all retained strikes to a router that has just connected.

    :param state: The agent's state.
    :param router: The router.
    :param now_s: The time.
    :returns: One message; empty if there are no strikes.
    """
    known = tuple(
        replace(strike, age_ms=int((now_s - at_s) * MS_PER_S))
        for strike, at_s in state.strikes
        if now_s - at_s < STRIKE_RETENTION_S
    )
    return [Send(router, Strikes(known))] if known else []
