"""The connections of an agent to its routers.

When a router's connection breaks, its backlog no longer counts at once;
its running requests go on and wait for the router to resume them.  If it
stays away, requests that were not started are dropped with a tombstone and
idempotent runs are stopped, as the router may have them run elsewhere.
Other runs go on to their end, since stopping one half way helps nobody.
"""

from __future__ import annotations

from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.coordination.crashes import retell
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
    """Start with a router from nothing; it sends everything anew.

    :param state: The agent's state.
    :param info: Who connected.
    :param now_s: The time.
    :returns: What to do.
    """
    effects: list[Effect] = []
    for key in [*state.routers, *_orphaning(state)]:
        older = key.incarnation < info.key.incarnation
        if key.instance == info.key.instance and older:
            effects += lose(state, key, now_s)
    _forget_router(state, info.key, now_s)
    state.routers[info.key] = info
    state.lift_without_digest_s = min(
        state.lift_without_digest_s, now_s + state.options.lift_settle_s
    )
    if state.draining:
        effects.append(Send(info.key, Goodbye(state.me.key.incarnation)))
    effects += sync_router(state, info.key)
    return effects + retell(state, info.key, now_s)


def _orphaning(state: AgentState) -> set[InstanceKey]:
    """Return the routers whose runs wait to be resumed."""
    waiting = state.runs.values()
    return {run.router for run in waiting if run.orphaned_since_s is not None}


def _forget_router(
    state: AgentState, router: InstanceKey, now_s: float
) -> None:
    """Drop what belongs to a connection."""
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
    """Note that a router's connection broke.

    :param state: The agent's state.
    :param router: Which router.
    :param now_s: The time.
    :returns: What to do.
    """
    if router not in state.routers:
        return []
    if router in state.lost_but_connected:
        return lose(state, router, now_s)
    _forget_router(state, router, now_s)
    return []


def lose(state: AgentState, router: InstanceKey, now_s: float) -> list[Effect]:
    """Note that a router will not come back.

    :param state: The agent's state.
    :param router: Which router.
    :param now_s: The time.
    :returns: What to do.
    """
    _forget_router(state, router, now_s)
    state.shares.forget_router(router)
    effects: list[Effect] = []
    for run in list(state.runs.values()):
        if run.router == router:
            effects += strand(state, run, now_s)
    return effects


def strand(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Settle a run whose router stayed away.

    :param state: The agent's state.
    :param run: The run.
    :param now_s: The time.
    :returns: What to do.
    """
    if run.phase is RunPhase.HELD:
        return refuse_held(state, run, RefuseReason.REVOKED, now_s)
    if run.phase is RunPhase.RUNNING and run.dispatch.idempotent:
        return stop_run(run, now_s)
    if run.phase is RunPhase.ENDED and run.router not in state.routers:
        # Nobody will acknowledge it; a drain need not wait for that.
        forget_run(state, run)
    return []
