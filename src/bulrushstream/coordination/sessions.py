"""The connections of an agent to its routers.

When the connection to a router breaks, its backlog is discarded at once.
Its runs continue as *orphans* until the router resumes them.  If it does
not return in time, requests that were not started are refused, with a
tombstone so that they do not run later, and idempotent runs are stopped,
because the router may retry them on another agent.  Other runs continue to
their end: no router may retry them, so stopping them halfway gains nothing.
"""

from __future__ import annotations

from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.coordination.crashes import report_known_crashes
from bulrushstream.coordination.intake import refuse_held
from bulrushstream.coordination.reporting import sync_router
from bulrushstream.coordination.running import forget_run, stop_run
from bulrushstream.state.effect import Effect, Send
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import Goodbye, RefuseReason
from bulrushstream.state.run import Run, RunPhase


def connect(
    state: AgentState, info: InstanceInfo, now_s: float
) -> list[Effect]:
    """Reset the session of a router that connected.

    The router sends its full state after connecting.

    :param state: The agent's state.
    :param info: The router.
    :param now_s: The time.
    :returns: The effects to execute.
    """
    effects: list[Effect] = []
    for key in [*state.routers, *_routers_with_orphans(state)]:
        older = key.incarnation < info.key.incarnation
        if key.instance == info.key.instance and older:
            effects += router_lost(state, key, now_s)
    _detach_router(state, info.key, now_s)
    state.routers[info.key] = info
    state.lift_without_digest_s = min(
        state.lift_without_digest_s, now_s + state.options.lift_settle_s
    )
    if state.draining:
        effects.append(Send(info.key, Goodbye(state.me.key.incarnation)))
    effects += sync_router(state, info.key)
    return effects + report_known_crashes(state, info.key, now_s)


def _routers_with_orphans(state: AgentState) -> set[InstanceKey]:
    """Return the routers that have orphaned runs."""
    runs = state.runs.values()
    return {run.router for run in runs if run.orphaned_since_s is not None}


def _detach_router(
    state: AgentState, router: InstanceKey, now_s: float
) -> None:
    """Drop the state of a router's connection and orphan its runs."""
    state.routers.pop(router, None)
    state.lost_but_connected.discard(router)
    state.announced_slots.pop(router, None)
    state.backlogs.drop_router(router)
    state.shares.drop_estimates(router)
    for pull in [p for p in state.pulls.values() if p.router == router]:
        del state.pulls[pull.pull_id]
    for run in state.runs.values():
        if run.router == router and run.orphaned_since_s is None:
            run.orphaned_since_s = now_s


def disconnect(
    state: AgentState, router: InstanceKey, now_s: float
) -> list[Effect]:
    """Handle the end of the connection to a router.

    :param state: The agent's state.
    :param router: The router.
    :param now_s: The time.
    :returns: The effects to execute.
    """
    if router not in state.routers:
        return []
    if router in state.lost_but_connected:
        return router_lost(state, router, now_s)
    _detach_router(state, router, now_s)
    return []


def router_lost(
    state: AgentState, router: InstanceKey, now_s: float
) -> list[Effect]:
    """Handle a router incarnation that will not return.

    :param state: The agent's state.
    :param router: The router.
    :param now_s: The time.
    :returns: The effects to execute.
    """
    _detach_router(state, router, now_s)
    state.shares.forget_router(router)
    effects: list[Effect] = []
    for run in list(state.runs.values()):
        if run.router == router:
            effects += settle_orphan(state, run, now_s)
    return effects


def settle_orphan(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Refuse, stop or forget a run whose router did not return.

    :param state: The agent's state.
    :param run: The run.
    :param now_s: The time.
    :returns: The effects to execute.
    """
    if run.phase is RunPhase.HELD:
        return refuse_held(state, run, RefuseReason.REVOKED, now_s)
    if run.phase is RunPhase.RUNNING and run.dispatch.idempotent:
        return stop_run(run, now_s)
    if run.phase is RunPhase.ENDED and run.router not in state.routers:
        # No router will acknowledge it, and a drain must not wait for that.
        forget_run(state, run)
    return []
