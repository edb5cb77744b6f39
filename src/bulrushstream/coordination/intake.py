"""Accepts or refuses dispatches at an agent, and starts accepted ones.

A refusal proves that the attempt was not started here and never will be.
Each refusal leaves a tombstone, so that a late or duplicate copy of the
dispatch is refused as well.
"""

from __future__ import annotations

from bulrushstream.coordination.accrual import remaining_service
from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.coordination.breaker import BreakerPhase
from bulrushstream.coordination.pulling import pull_ahead_limit
from bulrushstream.coordination.running import forget_run, start_run, stop_run
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
    """Accept a dispatch or refuse it.

    An accepted one is held until `start_held` starts it.

    :param state: The agent's state.
    :param router: The sender.
    :param dispatch: The attempt.
    :param now_s: The time.
    :returns: The effects; none if it is accepted or a duplicate.
    """
    key = (dispatch.request_id, dispatch.attempt)
    pulled = _match_pull(state, router, dispatch, now_s)
    if dispatch.incarnation != state.me.key.incarnation:
        return [_refusal(dispatch, router, RefuseReason.STALE)]
    if key in state.runs:
        return []
    past_outcome = state.past_attempts.get(key)
    if past_outcome is Outcome.NOT_RUN:
        return [_refusal(dispatch, router, RefuseReason.REVOKED)]
    if past_outcome is not None:
        return []
    reason = _refusal_reason(state, dispatch, pulled, now_s)
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

    If the circuit breaker is open, all held requests are refused instead.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The effects.
    """
    effects: list[Effect] = []
    if state.breaker.phase(now_s) is BreakerPhase.OPEN:
        return refuse_all_held(state, RefuseReason.OPEN, now_s)
    running = state.running_count
    limit = state.capacity(now_s)
    while running < limit and len(state.active) > running:
        run = _next_held(state)
        if running and (run.dispatch.alone or _exclusive_running(state)):
            return effects
        if now_s >= run.deadline_s:
            effects += refuse_held(state, run, RefuseReason.EXPIRED, now_s)
            continue
        effects += start_run(state, run, now_s)
        running += 1
        state.slots.record_in_flight(running)
    return effects


def _next_held(state: AgentState) -> Run:
    """Return the held request to start next.

    It belongs to the workspace with the least service.  Order of arrival
    would be unfair, as a request may have been held before that workspace
    returned from idle.  A request that must run alone goes last, since
    nothing else is accepted while it is here.
    """
    held = [run for run in state.active.values() if run.phase is RunPhase.HELD]
    if len(held) == 1 or state.options.hold_limit:
        return held[0]
    expected = remaining_service(state)

    def rank(run: Run) -> tuple[bool, float]:
        """Return the sort key of a held request.

        :param run: The run.
        """
        workspace = run.dispatch.workspace
        charged = state.shares.with_in_flight(
            workspace, expected.get(workspace, 0.0)
        )
        return run.dispatch.alone, charged

    return min(held, key=rank)


def _exclusive_running(state: AgentState) -> bool:
    """Return whether a request that must run alone is running."""
    return any(
        run.dispatch.alone and run.phase is RunPhase.RUNNING
        for run in state.active.values()
    )


def refuse_all_held(
    state: AgentState, reason: RefuseReason, now_s: float
) -> list[Effect]:
    """Refuse every request that was accepted but not started.

    :param state: The agent's state.
    :param reason: The reason.
    :param now_s: The time.
    :returns: The effects.
    """
    effects: list[Effect] = []
    for run in list(state.active.values()):
        if run.phase is RunPhase.HELD:
            effects += refuse_held(state, run, reason, now_s)
    return effects


def refuse_spare_held(state: AgentState, now_s: float) -> list[Effect]:
    """Refuse held requests when no router has a backlog.

    Another agent may have a free slot for them.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The refusals.
    """
    if state.options.hold_limit or state.has_exclusive():
        return []
    if (
        len(state.active) == state.running_count
        or state.backlogs.total_waiting()
    ):
        return []
    return refuse_all_held(state, RefuseReason.BUSY, now_s)


def refuse_held(
    state: AgentState, run: Run, reason: RefuseReason, now_s: float
) -> list[Effect]:
    """Refuse a request that was accepted but not started.

    :param state: The agent's state.
    :param run: The run.
    :param reason: The reason.
    :param now_s: The time.
    :returns: The effects.
    """
    state.active.pop(run.key, None)
    forget_run(state, run)
    return refuse(state, run.dispatch, run.router, reason, now_s)


def refuse(
    state: AgentState,
    dispatch: Dispatch,
    router: InstanceKey,
    reason: RefuseReason,
    now_s: float,
) -> list[Effect]:
    """Refuse an attempt permanently: leave a tombstone and log a decision.

    :param state: The agent's state.
    :param dispatch: The attempt.
    :param router: The router to notify.
    :param reason: The reason.
    :param now_s: The time.
    :returns: The effects.
    """
    key = (dispatch.request_id, dispatch.attempt)
    state.past_attempts.put(key, Outcome.NOT_RUN, now_s)
    if reason is RefuseReason.BUSY:
        # On this refusal the router sets the announced slots to zero.
        state.announced_slots[router] = 0
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
    """Prevent an attempt from starting, or report that it has started.

    :param state: The agent's state.
    :param router: The sender.
    :param message: The attempt.
    :param now_s: The time.
    :returns: A refusal as proof, or the outcome as far as it is known.
    """
    key = (message.request_id, message.attempt)
    run = state.active.get(key)
    if run is not None and run.phase is RunPhase.HELD:
        run.router = router
        return refuse_held(state, run, RefuseReason.REVOKED, now_s)
    outcome = _outcome_or_tombstone(state, key, now_s)
    if outcome is Outcome.NOT_RUN:
        proof = Refuse(*key, reason=RefuseReason.REVOKED)
        return [Send(router, proof)]
    return [Send(router, Gone(*key, outcome=outcome))]


def resume(
    state: AgentState, router: InstanceKey, message: Resume, now_s: float
) -> list[Effect]:
    """Resend an answer's parts from the first one that the router lacks.

    An unknown attempt gets a tombstone: its dispatch was lost, and a copy
    that still arrives must not start.

    :param state: The agent's state.
    :param router: The sender; it gets the parts from now on.
    :param message: The attempt and the first missing part.
    :param now_s: The time.
    :returns: The parts, or the outcome as far as it is known.
    """
    key = (message.request_id, message.attempt)
    run = state.runs.get(key)
    if run is None:
        outcome = _outcome_or_tombstone(state, key, now_s)
        return [Send(router, Gone(*key, outcome=outcome))]
    parts = run.buffer.parts_from(message.next_sequence)
    if parts is None:
        gone = Gone(*key, outcome=run.outcome)
        stopped = stop_run(run, now_s) if run.dispatch.idempotent else []
        return [Send(router, gone), *stopped]
    run.router = router
    run.orphaned_since_s = None
    return [Send(router, part) for part in parts]


def cancel(state: AgentState, message: Cancel, now_s: float) -> list[Effect]:
    """Stop an attempt whose caller left.

    :param state: The agent's state.
    :param message: The attempt.
    :param now_s: The time.
    :returns: The effects.
    """
    key = (message.request_id, message.attempt)
    run = state.active.get(key)
    if run is None:
        _outcome_or_tombstone(state, key, now_s)
        return []
    if run.phase is RunPhase.RUNNING:
        return stop_run(run, now_s)
    state.active.pop(key)
    forget_run(state, run)
    state.past_attempts.put(key, Outcome.NOT_RUN, now_s)
    return []


def _match_pull(
    state: AgentState,
    router: InstanceKey,
    dispatch: Dispatch,
    now_s: float,
) -> bool:
    """Settle the pull that a dispatch answers; return whether there is one."""
    pull = state.pulls.pop(dispatch.pull_id, None)
    if pull is None:
        # On an unsolicited dispatch the router counts one free slot less.
        announced = state.announced_slots.get(router, 0)
        state.announced_slots[router] = max(0, announced - 1)
        return False
    waiting = state.backlogs.find(pull.router, pull.workspace)
    if waiting is not None:
        waiting.pull_done()
    state.round_trip.add(now_s - pull.sent_s)
    return True


def _refusal_reason(
    state: AgentState, dispatch: Dispatch, pulled: bool, now_s: float
) -> RefuseReason | None:
    """Return why a new attempt is refused; None if it is accepted."""
    if state.draining:
        return RefuseReason.DRAINING
    if dispatch.timeout_ms <= 0:
        return RefuseReason.EXPIRED
    if state.breaker.phase(now_s) is BreakerPhase.OPEN:
        return RefuseReason.OPEN
    if _lacks_model(state, dispatch):
        return RefuseReason.LOADING
    if state.has_exclusive():
        wants_alone = dispatch.alone
        return RefuseReason.SUSPECT if wants_alone else RefuseReason.BUSY
    limit = state.capacity(now_s)
    limit += state.options.hold_limit
    ahead = pull_ahead_limit(state, now_s) if pulled else 0
    if ahead:
        # One more may have been pulled for a workspace back from idle.
        limit += ahead + 1
    if dispatch.alone:
        # It is held until the running ones have ended; nothing else is
        # accepted in the meantime.
        limit += 1
    return RefuseReason.BUSY if len(state.active) >= limit else None


def _lacks_model(state: AgentState, dispatch: Dispatch) -> bool:
    """Return whether the endpoint has not loaded the requested model."""
    if not dispatch.model or state.loaded_models is None:
        return False
    return dispatch.model not in state.loaded_models


def _outcome_or_tombstone(
    state: AgentState, key: tuple[str, int], now_s: float
) -> Outcome:
    """Return an attempt's outcome; leave a tombstone if it is not known.

    The outcome of a started attempt is UNKNOWN until it ends.
    """
    run = state.runs.get(key)
    if run is not None:
        return run.outcome
    state.past_attempts.put(key, Outcome.NOT_RUN, now_s)
    return state.past_attempts.get(key) or Outcome.NOT_RUN


def _refusal(
    dispatch: Dispatch, router: InstanceKey, reason: RefuseReason
) -> Effect:
    """Return the effect that sends a refusal."""
    refusal = Refuse(dispatch.request_id, dispatch.attempt, reason)
    return Send(router, refusal)
