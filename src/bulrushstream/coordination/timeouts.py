"""An agent's timeouts of pulls, runs and unacknowledged answers."""

from __future__ import annotations

from itertools import islice

from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.coordination.intake import refuse_held
from bulrushstream.coordination.running import (
    abandon_run,
    forget_run,
    stop_run,
)
from bulrushstream.coordination.sessions import settle_orphan
from bulrushstream.state.effect import Effect, Send
from bulrushstream.state.message import RefuseReason
from bulrushstream.state.run import Run, RunPhase


def check_timeouts(state: AgentState, now_s: float) -> list[Effect]:
    """Handle all pulls and runs that have timed out.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The effects to execute.
    """
    state.timeouts_checked_s = now_s
    _expire_pulls(state, now_s)
    effects: list[Effect] = []
    for run in list(state.runs.values()):
        effects += _check_run(state, run, now_s)
    return effects


def _expire_pulls(state: AgentState, now_s: float) -> None:
    """Drop pulls that were not answered in time."""
    limit_s = now_s - state.options.pull_timeout_s
    for pull in [p for p in state.pulls.values() if p.sent_s <= limit_s]:
        del state.pulls[pull.pull_id]
        waiting = state.backlogs.find(pull.router, pull.workspace)
        if waiting is not None:
            waiting.pull_done()


def _check_run(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Handle the timeouts of one run."""
    options = state.options
    if run.phase is RunPhase.ENDED:
        return _check_ended(state, run, now_s)
    if run.phase is RunPhase.HELD and now_s >= run.deadline_s:
        return refuse_held(state, run, RefuseReason.EXPIRED, now_s)
    if run.cancelled_s is not None:
        if now_s - run.cancelled_s >= options.cancel_grace_s:
            return abandon_run(state, run, now_s)
        return []
    if now_s >= run.deadline_s + options.deadline_grace_s:
        return stop_run(run, now_s)
    orphaned_for_s = now_s - (
        now_s if run.orphaned_since_s is None else run.orphaned_since_s
    )
    if orphaned_for_s >= options.resume_grace_s:
        return settle_orphan(state, run, now_s)
    return []


def _check_ended(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Drop an ended answer after its retention, or resend its parts.

    The first unacknowledged parts are resent, because the router may be
    waiting for one of them; its next acknowledgement shows which parts are
    still missing.
    """
    options = state.options
    since_s = now_s - run.ended_s
    orphaned = run.orphaned_since_s is not None
    shortened = state.draining and orphaned
    keep_s = (
        options.resume_grace_s if shortened else options.answer_retention_s
    )
    if since_s >= keep_s:
        forget_run(state, run)
        return []
    if (
        orphaned
        or now_s - max(run.ended_s, run.last_resend_s) < options.resend_s
    ):
        return []
    run.last_resend_s = now_s
    parts = islice(run.buffer.parts, options.resend_parts)
    return [Send(run.router, part) for part in parts]
