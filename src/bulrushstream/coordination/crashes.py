"""An agent's memory of crashes of its endpoint, told to every router.

The router whose request crashed the endpoint learns it from the answer's
end.  It may be gone by then, or away, so the agent tells the other routers
itself, and every router that connects later.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.state.effect import Effect, Send
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Strike, Strikes
from bulrushstream.state.run import Run

KEEP_S: Final = 600.0  # How long a crash is told to new routers.
MAX_KEPT: Final = 256  # How many strikes are kept.
MS_PER_S: Final = 1000.0


def strike(
    state: AgentState, run: Run, crash: int, now_s: float
) -> list[Effect]:
    """Tell the routers that did not send a run of the crash that ended it.

    :param state: The agent's state.
    :param run: The run.
    :param crash: The number of the crash.
    :param now_s: The time.
    :returns: The messages.
    """
    dispatch = run.dispatch
    if not dispatch.fingerprint:
        return []
    me = state.me.key
    name = f"{me.instance}@{me.incarnation}#{crash}"
    told = Strike(dispatch.fingerprint, name, dispatch.alone, 0)
    state.strikes.append((told, now_s))
    del state.strikes[:-MAX_KEPT]
    others = [router for router in state.routers if router != run.router]
    return [Send(router, Strikes((told,))) for router in others]


def retell(
    state: AgentState, router: InstanceKey, now_s: float
) -> list[Effect]:
    """Tell a router that has just connected of all crashes.

    :param state: The agent's state.
    :param router: Who connected.
    :param now_s: The time.
    :returns: One message, or nothing.
    """
    known = tuple(
        replace(told, age_ms=int((now_s - at_s) * MS_PER_S))
        for told, at_s in state.strikes
        if now_s - at_s < KEEP_S
    )
    return [Send(router, Strikes(known))] if known else []
