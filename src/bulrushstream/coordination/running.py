"""Runs requests at the endpoint and sends the parts of their answers.

A run's parts are numbered from 0 and kept until the router acknowledges
them.  The end part tells whether the answer is complete, and the outcome:
*ran* only for a complete answer, *not run* only if the endpoint never
received the request, else *unknown*.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from bulrushstream.coordination.accrual import (
    accrue_run,
    charge,
    charge_start,
)
from bulrushstream.coordination.agentstate import AgentState
from bulrushstream.coordination.crashes import report_crash
from bulrushstream.state.effect import CancelRun, Effect, Send, StartRun
from bulrushstream.state.event import RunBody, RunEnd, RunHead
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.replay import AttemptKey
from bulrushstream.state.request import Outcome
from bulrushstream.state.run import Run, RunPhase

# Runs that end in a crash within this time, and had started before it,
# count as ended by the same crash.
SAME_CRASH_S: Final = 1.0


def start_run(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Start a held request at the endpoint.

    :param state: The agent's state.
    :param run: The run; a slot is free for it.
    :param now_s: The time.
    :returns: The effects.
    """
    run.phase = RunPhase.RUNNING
    run.started_s = now_s
    run.accounted_until_s = now_s
    charge_start(state, run)
    # The runner's timeout starts now, not when the request was accepted.
    remaining_ms = max(1, round((run.deadline_s - now_s) * 1000))
    return [StartRun(replace(run.dispatch, timeout_ms=remaining_ms))]


def forward_head(state: AgentState, event: RunHead) -> list[Effect]:
    """Forward the head of an answer.

    :param state: The agent's state.
    :param event: The head.
    :returns: The effects.
    """
    run = _find(state, event.request_id, event.attempt)
    if run is None:
        return []
    part = _next_part(run, PartKind.HEAD)
    return _send_part(
        state, run, replace(part, status=event.status, headers=event.headers)
    )


def forward_body(state: AgentState, event: RunBody) -> list[Effect]:
    """Forward a piece of an answer and count its tokens.

    :param state: The agent's state.
    :param event: The piece.
    :returns: The effects.
    """
    run = _find(state, event.request_id, event.attempt)
    if run is None:
        return []
    if state.counts_tokens():
        charge(state, run, float(event.tokens))
    part = _next_part(run, PartKind.BODY)
    return _send_part(state, run, replace(part, data=event.data))


def handle_end(state: AgentState, event: RunEnd, now_s: float) -> list[Effect]:
    """Settle a run that ended; update the breaker and the estimates.

    :param state: The agent's state.
    :param event: How it ended.
    :param now_s: The time.
    :returns: The effects.
    """
    run = _find(state, event.request_id, event.attempt)
    if run is None:
        return []
    accrue_run(state, run, now_s)
    if event.complete:
        state.breaker.succeed()
        state.estimator.learn(
            run.dispatch.workspace,
            run.dispatch.request_class,
            run.cost,
            now_s - run.started_s,
        )
    elif event.crashed or not event.started:
        state.breaker.fail(now_s, state.rng)
    return finish_run(state, run, outcome_of(event), event, now_s)


def outcome_of(event: RunEnd) -> Outcome:
    """Return the outcome of a run that ended.

    :param event: How it ended.
    """
    if event.complete:
        return Outcome.RAN
    return Outcome.UNKNOWN if event.started else Outcome.NOT_RUN


def finish_run(
    state: AgentState,
    run: Run,
    outcome: Outcome,
    event: RunEnd,
    now_s: float,
) -> list[Effect]:
    """Free a run's slot, record its outcome and send the end part.

    :param state: The agent's state.
    :param run: The run.
    :param outcome: The outcome.
    :param event: How it ended.
    :param now_s: The time.
    :returns: The effects.
    """
    run.phase = RunPhase.ENDED
    run.outcome = outcome
    run.ended_s = now_s
    state.active.pop(run.key, None)
    state.past_attempts.put(run.key, outcome, now_s)
    crash = _count_crash(state, run, now_s) if event.crashed else 0
    part = replace(
        _next_part(run, PartKind.END),
        outcome=outcome,
        whole=event.complete,
        crashed=event.crashed,
        detail=event.detail,
        crash=crash,
    )
    effects = _send_part(state, run, part)
    if crash:
        effects += report_crash(state, run, crash, now_s)
    return effects


def _count_crash(state: AgentState, run: Run, now_s: float) -> int:
    """Return the number of the crash that ended a run.

    All runs that ended in the same crash get the same number.
    """
    started_before = run.started_s <= state.last_crash_s
    if not started_before or now_s - state.last_crash_s >= SAME_CRASH_S:
        state.crashes += 1
        state.last_crash_s = now_s
    return state.crashes


def stop_run(run: Run, now_s: float) -> list[Effect]:
    """Cancel a run at the endpoint; its end follows as an event.

    :param run: The run.
    :param now_s: The time.
    :returns: The effects.
    """
    if run.cancelled_s is not None or run.phase is not RunPhase.RUNNING:
        return []
    run.cancelled_s = now_s
    return [CancelRun(run.dispatch.request_id, run.dispatch.attempt)]


def abandon_run(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """End a cancelled run whose end the endpoint did not report in time.

    :param state: The agent's state.
    :param run: The run.
    :param now_s: The time.
    :returns: The effects.
    """
    event = RunEnd(
        run.dispatch.request_id,
        run.dispatch.attempt,
        complete=False,
        started=True,
        detail="stopped",
    )
    accrue_run(state, run, now_s)
    return finish_run(state, run, Outcome.UNKNOWN, event, now_s)


def acknowledge(
    state: AgentState, key: AttemptKey, next_sequence: int
) -> None:
    """Drop parts that the router has received.

    :param state: The agent's state.
    :param key: The attempt.
    :param next_sequence: The first part that the router lacks.
    """
    run = state.runs.get(key)
    if run is None:
        return
    before = run.buffer.size_bytes
    run.buffer.acknowledge(next_sequence)
    state.replay_bytes -= before - run.buffer.size_bytes
    if run.phase is RunPhase.ENDED and not run.buffer.parts:
        forget_run(state, run)


def forget_run(state: AgentState, run: Run) -> None:
    """Drop a run; the outcome of its attempt stays recorded.

    :param state: The agent's state.
    :param run: The run.
    """
    state.replay_bytes -= run.buffer.size_bytes
    run.buffer.clear()
    state.runs.pop(run.key, None)


def _find(state: AgentState, request_id: str, attempt: int) -> Run | None:
    """Return a run that has not ended."""
    return state.active.get((request_id, attempt))


def _next_part(run: Run, kind: PartKind) -> Part:
    """Return the next part of an answer, without content."""
    return Part(
        request_id=run.dispatch.request_id,
        attempt=run.dispatch.attempt,
        sequence=run.buffer.next_sequence,
        kind=kind,
    )


def _send_part(state: AgentState, run: Run, part: Part) -> list[Effect]:
    """Buffer a part and send it, unless the router is disconnected."""
    before = run.buffer.size_bytes
    run.buffer.add(part)
    if not run.resumable:
        run.buffer.clear()
    state.replay_bytes += run.buffer.size_bytes - before
    if state.replay_bytes > state.options.replay_limit_bytes:
        _drop_largest_buffer(state)
    if run.orphaned_since_s is not None:
        return []
    return [Send(run.router, part)]


def _drop_largest_buffer(state: AgentState) -> None:
    """Drop the buffered parts of the answer that uses the most memory.

    That answer can no longer be resumed, but nothing is lost as long as
    its router stays connected.
    """
    largest = max(state.runs.values(), key=lambda r: r.buffer.size_bytes)
    state.replay_bytes -= largest.buffer.size_bytes
    largest.buffer.clear()
    largest.resumable = False
