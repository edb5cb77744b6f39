"""Which dispatches an agent takes, and what it says of the others.

A refusal is a proof: the attempt was not started here and never will be.
Each one leaves a tombstone, so that a late or doubled copy of the dispatch
is refused as well.
"""

from __future__ import annotations

from bulrushstream.coordination.accrual import owed
from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.coordination.breaker import BreakerPhase
from bulrushstream.coordination.pulling import capacity_ahead
from bulrushstream.coordination.running import forget, start, stop
from bulrushstream.state.effect import Decision, Effect, Send
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import (
    Cancel,
    Dispatch,
    Gone,
    Refuse,
    RefuseReason,
    Resume,
    Revoke,
)
from bulrushstream.state.request import Outcome
from bulrushstream.state.run import Run, RunPhase


def accept(
    state: AgentState,
    router: InstanceKey,
    dispatch: Dispatch,
    now_s: float,
) -> list[Effect]:
    """Take a dispatch or refuse it.

    :param state: The agent's state.
    :param router: Who sent it.
    :param dispatch: The attempt.
    :param now_s: The time.
    :returns: What to do; a taken one starts when `start_held` says so.
    """
    key = (dispatch.request_id, dispatch.attempt)
    pulled = _settle_pull(state, router, dispatch, now_s)
    if dispatch.incarnation != state.me.key.incarnation:
        return [_refusal(dispatch, router, RefuseReason.STALE)]
    if key in state.runs:
        return []
    fate = state.memory.get(key)
    if fate is Outcome.NOT_RUN:
        return [_refusal(dispatch, router, RefuseReason.REVOKED)]
    if fate is not None:
        return []
    reason = _objection(state, dispatch, pulled, now_s)
    if reason is not None:
        return refuse(state, dispatch, router, reason, now_s)
    run = Run(
        dispatch=dispatch,
        router=router,
        deadline_s=now_s + dispatch.timeout_ms / 1000,
        weight=state.weight(dispatch.workspace),
        estimate=state.estimator.estimate(
            dispatch.workspace, dispatch.request_class, dispatch.cost_hint
        ),
    )
    state.runs[key] = run
    state.active[key] = run
    return []


def start_held(state: AgentState, now_s: float) -> list[Effect]:
    """Start held requests while slots are free.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: What to do.
    """
    effects: list[Effect] = []
    if state.breaker.phase(now_s) is BreakerPhase.OPEN:
        return give_all_back(state, RefuseReason.OPEN, now_s)
    running = state.running
    limit = state.capacity(now_s)
    while running < limit and len(state.active) > running:
        run = _next_held(state)
        if running and (run.dispatch.alone or _runs_alone(state)):
            return effects
        if now_s >= run.deadline_s:
            effects += give_back(state, run, RefuseReason.EXPIRED, now_s)
            continue
        effects += start(state, run, now_s)
        running += 1
        state.slots.use(running)
    return effects


def _next_held(state: AgentState) -> Run:
    """Return the held request to start next.

    It is one of the workspace with the least service, as a request may
    have been held before that workspace came back.  One that must run
    alone goes last, since nothing is taken any more once it is here.
    """
    held = [run for run in state.active.values() if run.phase is RunPhase.HELD]
    if len(held) == 1 or state.options.hold_limit:
        return held[0]
    here = owed(state)

    def rank(run: Run) -> tuple[bool, float]:
        """Return the place of a request in the order of starts.

        :param run: The run.
        """
        workspace = run.dispatch.workspace
        charged = state.shares.charged(workspace, here.get(workspace, 0.0))
        return run.dispatch.alone, charged

    return min(held, key=rank)


def _runs_alone(state: AgentState) -> bool:
    """Return whether a request runs that nothing may run beside."""
    return any(
        run.dispatch.alone and run.phase is RunPhase.RUNNING
        for run in state.active.values()
    )


def give_all_back(
    state: AgentState, reason: RefuseReason, now_s: float
) -> list[Effect]:
    """Refuse every request that was taken but not started.

    :param state: The agent's state.
    :param reason: Why.
    :param now_s: The time.
    :returns: What to do.
    """
    effects: list[Effect] = []
    for run in list(state.active.values()):
        if run.phase is RunPhase.HELD:
            effects += give_back(state, run, reason, now_s)
    return effects


def give_back_spare(state: AgentState, now_s: float) -> list[Effect]:
    """Give back held requests when nothing else waits anywhere.

    Another agent's slot may be free for them.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The refusals.
    """
    if state.options.hold_limit or state.alone():
        return []
    if len(state.active) == state.running or state.backlogs.total():
        return []
    return give_all_back(state, RefuseReason.BUSY, now_s)


def give_back(
    state: AgentState, run: Run, reason: RefuseReason, now_s: float
) -> list[Effect]:
    """Refuse a request that was taken but not started.

    :param state: The agent's state.
    :param run: The run.
    :param reason: Why.
    :param now_s: The time.
    :returns: What to do.
    """
    state.active.pop(run.key, None)
    forget(state, run)
    return refuse(state, run.dispatch, run.router, reason, now_s)


def refuse(
    state: AgentState,
    dispatch: Dispatch,
    router: InstanceKey,
    reason: RefuseReason,
    now_s: float,
) -> list[Effect]:
    """Refuse an attempt for good.

    :param state: The agent's state.
    :param dispatch: The attempt.
    :param router: Who is told.
    :param reason: Why.
    :param now_s: The time.
    :returns: What to do.
    """
    key = (dispatch.request_id, dispatch.attempt)
    state.memory.put(key, Outcome.NOT_RUN, now_s)
    if reason is RefuseReason.BUSY:
        # The router takes this for the end of an announcement.
        state.idle_told[router] = 0
    decision = Decision(
        kind="refuse",
        reason=reason.name.lower(),
        request_id=dispatch.request_id,
        workspace=dispatch.workspace,
        service=dispatch.service,
        request_class=dispatch.request_class,
        endpoint=state.me.endpoint,
        attempt=dispatch.attempt,
        outcome=Outcome.NOT_RUN,
    )
    return [_refusal(dispatch, router, reason), decision]


def revoke(
    state: AgentState, router: InstanceKey, message: Revoke, now_s: float
) -> list[Effect]:
    """Keep an attempt from starting, or say that it has started.

    :param state: The agent's state.
    :param router: Who asks.
    :param message: Which attempt.
    :param now_s: The time.
    :returns: A refusal as proof, or what is known of the outcome.
    """
    key = (message.request_id, message.attempt)
    run = state.active.get(key)
    if run is not None and run.phase is RunPhase.HELD:
        run.router = router
        return give_back(state, run, RefuseReason.REVOKED, now_s)
    fate = _fate(state, key, now_s)
    if fate is Outcome.NOT_RUN:
        proof = Refuse(*key, reason=RefuseReason.REVOKED)
        return [Send(router, proof)]
    return [Send(router, Gone(*key, outcome=fate))]


def resume(
    state: AgentState, router: InstanceKey, message: Resume, now_s: float
) -> list[Effect]:
    """Send an answer's parts again from where the router has them.

    An attempt that is not known is made impossible: the dispatch was lost,
    or it will come too late.

    :param state: The agent's state.
    :param router: Who asks; it gets the parts from now on.
    :param message: Which attempt, from which part.
    :param now_s: The time.
    :returns: The parts, or what is known of the outcome.
    """
    key = (message.request_id, message.attempt)
    run = state.runs.get(key)
    if run is None:
        fate = _fate(state, key, now_s)
        return [Send(router, Gone(*key, outcome=fate))]
    parts = run.buffer.after(message.next_sequence)
    if parts is None:
        gone = Gone(*key, outcome=run.outcome)
        stopped = stop(run, now_s) if run.dispatch.idempotent else []
        return [Send(router, gone), *stopped]
    run.router = router
    run.orphaned_s = None
    return [Send(router, part) for part in parts]


def cancel(state: AgentState, message: Cancel, now_s: float) -> list[Effect]:
    """Stop an attempt whose caller left.

    :param state: The agent's state.
    :param message: What it says.
    :param now_s: The time.
    :returns: What to do.
    """
    key = (message.request_id, message.attempt)
    run = state.active.get(key)
    if run is None:
        _fate(state, key, now_s)
        return []
    if run.phase is RunPhase.RUNNING:
        return stop(run, now_s)
    state.active.pop(key)
    forget(state, run)
    state.memory.put(key, Outcome.NOT_RUN, now_s)
    return []


def _settle_pull(
    state: AgentState,
    router: InstanceKey,
    dispatch: Dispatch,
    now_s: float,
) -> bool:
    """Note which pull a dispatch answers; return whether there is one."""
    pull = state.pulls.pop(dispatch.pull_id, None)
    if pull is None:
        # The router counts one free slot less for a dispatch of its own.
        told = state.idle_told.get(router, 0)
        state.idle_told[router] = max(0, told - 1)
        return False
    waiting = state.backlogs.find(pull.router, pull.workspace)
    if waiting is not None:
        waiting.answer()
    state.round_trip.add(now_s - pull.sent_s)
    return True


def _objection(
    state: AgentState, dispatch: Dispatch, pulled: bool, now_s: float
) -> RefuseReason | None:
    """Return why a new attempt can not be taken, if it can not."""
    if state.draining:
        return RefuseReason.DRAINING
    if dispatch.timeout_ms <= 0:
        return RefuseReason.EXPIRED
    if state.breaker.phase(now_s) is BreakerPhase.OPEN:
        return RefuseReason.OPEN
    if _missing_model(state, dispatch):
        return RefuseReason.LOADING
    if state.alone():
        wanted_alone = dispatch.alone
        return RefuseReason.SUSPECT if wanted_alone else RefuseReason.BUSY
    limit = state.capacity(now_s)
    limit += state.options.hold_limit
    ahead = capacity_ahead(state, now_s) if pulled else 0
    if ahead:
        # One more may have been pulled for a workspace that came back.
        limit += ahead + 1
    if dispatch.alone:
        # It waits here until the others have ended; nothing new is taken
        # in the meantime.
        limit += 1
    return RefuseReason.BUSY if len(state.active) >= limit else None


def _missing_model(state: AgentState, dispatch: Dispatch) -> bool:
    """Return whether the endpoint still lacks the model."""
    if not dispatch.model or state.loaded is None:
        return False
    return dispatch.model not in state.loaded


def _fate(state: AgentState, key: tuple[str, int], now_s: float) -> Outcome:
    """Return what became of an attempt; leave a tombstone if nothing.

    A started attempt is unknown until it ends.
    """
    run = state.runs.get(key)
    if run is not None:
        return run.outcome
    state.memory.put(key, Outcome.NOT_RUN, now_s)
    return state.memory.get(key) or Outcome.NOT_RUN


def _refusal(
    dispatch: Dispatch, router: InstanceKey, reason: RefuseReason
) -> Effect:
    """Return the message that refuses an attempt."""
    refusal = Refuse(dispatch.request_id, dispatch.attempt, reason)
    return Send(router, refusal)
