"""Runs at the endpoint and the numbered parts of their answers.

A run's parts are numbered from 0 and kept until the router acknowledges
them.  The last part says whether the answer is whole and what is known of
the outcome: *ran* only for a whole answer, *not run* only if the endpoint
never saw the request, else *unknown*.
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
from bulrushstream.coordination.crashes import strike
from bulrushstream.state.effect import CancelRun, Effect, Send, StartRun
from bulrushstream.state.event import RunBody, RunEnd, RunHead
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.replay import AttemptKey
from bulrushstream.state.request import Outcome
from bulrushstream.state.run import Run, RunPhase

# Reports of one crash that come later than this are of another one.
SAME_CRASH_S: Final = 1.0


def start(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Hand a held request to the endpoint.

    :param state: The agent's state.
    :param run: The request; a slot is free for it.
    :param now_s: The time.
    :returns: What to do.
    """
    run.phase = RunPhase.RUNNING
    run.started_s = now_s
    run.accrued_s = now_s
    charge_start(state, run)
    # The runner's own timeout counts from now, not from the acceptance.
    left_ms = max(1, round((run.deadline_s - now_s) * 1000))
    return [StartRun(replace(run.dispatch, timeout_ms=left_ms))]


def head(state: AgentState, event: RunHead) -> list[Effect]:
    """Pass on the head of an answer.

    :param state: The agent's state.
    :param event: What happened.
    :returns: What to do.
    """
    run = _find(state, event.request_id, event.attempt)
    if run is None:
        return []
    part = _next_part(run, PartKind.HEAD)
    return _emit(
        state, run, replace(part, status=event.status, headers=event.headers)
    )


def body(state: AgentState, event: RunBody) -> list[Effect]:
    """Pass on a piece of an answer and count its tokens.

    :param state: The agent's state.
    :param event: What happened.
    :returns: What to do.
    """
    run = _find(state, event.request_id, event.attempt)
    if run is None:
        return []
    if state.counts_tokens():
        charge(state, run, float(event.tokens))
    part = _next_part(run, PartKind.BODY)
    return _emit(state, run, replace(part, data=event.data))


def end(state: AgentState, event: RunEnd, now_s: float) -> list[Effect]:
    """Settle a run that ended and pass the end on.

    :param state: The agent's state.
    :param event: How it ended.
    :param now_s: The time.
    :returns: What to do.
    """
    run = _find(state, event.request_id, event.attempt)
    if run is None:
        return []
    accrue_run(state, run, now_s)
    if event.whole:
        state.breaker.succeed()
        state.estimator.learn(
            run.dispatch.workspace,
            run.dispatch.request_class,
            run.cost,
            now_s - run.started_s,
        )
    elif event.crashed or not event.started:
        state.breaker.fail(now_s, state.rng)
    return finish(state, run, outcome_of(event), event, now_s)


def outcome_of(event: RunEnd) -> Outcome:
    """Return what is known of a run that ended.

    :param event: What happened.
    """
    if event.whole:
        return Outcome.RAN
    return Outcome.UNKNOWN if event.started else Outcome.NOT_RUN


def finish(
    state: AgentState,
    run: Run,
    outcome: Outcome,
    event: RunEnd,
    now_s: float,
) -> list[Effect]:
    """Free a run's slot and pass its end on.

    :param state: The agent's state.
    :param run: The run.
    :param outcome: What is known of it.
    :param event: How it ended.
    :param now_s: The time.
    :returns: What to do.
    """
    run.phase = RunPhase.ENDED
    run.outcome = outcome
    run.ended_s = now_s
    state.active.pop(run.key, None)
    state.memory.put(run.key, outcome, now_s)
    crash = _count_crash(state, run, now_s) if event.crashed else 0
    part = replace(
        _next_part(run, PartKind.END),
        outcome=outcome,
        whole=event.whole,
        crashed=event.crashed,
        detail=event.detail,
        crash=crash,
    )
    effects = _emit(state, run, part)
    if crash:
        effects += strike(state, run, crash, now_s)
    return effects


def _count_crash(state: AgentState, run: Run, now_s: float) -> int:
    """Return the number of the crash that ended a run.

    All runs that one crash ended get the same number.
    """
    before = run.started_s <= state.crashed_s
    if not before or now_s - state.crashed_s >= SAME_CRASH_S:
        state.crashes += 1
        state.crashed_s = now_s
    return state.crashes


def stop(run: Run, now_s: float) -> list[Effect]:
    """Ask the endpoint to stop a run; its end follows as an event.

    :param run: The run.
    :param now_s: The time.
    :returns: What to do.
    """
    if run.cancelled_s is not None or run.phase is not RunPhase.RUNNING:
        return []
    run.cancelled_s = now_s
    return [CancelRun(run.dispatch.request_id, run.dispatch.attempt)]


def abandon(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Count a run as over though the endpoint never said so.

    :param state: The agent's state.
    :param run: The run.
    :param now_s: The time.
    :returns: What to do.
    """
    event = RunEnd(
        run.dispatch.request_id,
        run.dispatch.attempt,
        whole=False,
        started=True,
        detail="stopped",
    )
    accrue_run(state, run, now_s)
    return finish(state, run, Outcome.UNKNOWN, event, now_s)


def acknowledge(
    state: AgentState, key: AttemptKey, next_sequence: int
) -> None:
    """Forget parts that the router has.

    :param state: The agent's state.
    :param key: Which attempt.
    :param next_sequence: The first part that the router lacks.
    """
    run = state.runs.get(key)
    if run is None:
        return
    before = run.buffer.size_bytes
    run.buffer.acknowledge(next_sequence)
    state.replay_bytes -= before - run.buffer.size_bytes
    if run.phase is RunPhase.ENDED and not run.buffer.parts:
        forget(state, run)


def forget(state: AgentState, run: Run) -> None:
    """Drop a run that is over; its fate stays remembered.

    :param state: The agent's state.
    :param run: The run.
    """
    state.replay_bytes -= run.buffer.size_bytes
    run.buffer.clear()
    state.runs.pop(run.key, None)


def _find(state: AgentState, request_id: str, attempt: int) -> Run | None:
    """Return a run that the endpoint works on."""
    return state.active.get((request_id, attempt))


def _next_part(run: Run, kind: PartKind) -> Part:
    """Return the next part of an answer, still empty."""
    return Part(
        request_id=run.dispatch.request_id,
        attempt=run.dispatch.attempt,
        sequence=run.buffer.next,
        kind=kind,
    )


def _emit(state: AgentState, run: Run, part: Part) -> list[Effect]:
    """Keep a part and send it, unless the router is away."""
    before = run.buffer.size_bytes
    run.buffer.add(part)
    if not run.resumable:
        run.buffer.clear()
    state.replay_bytes += run.buffer.size_bytes - before
    if state.replay_bytes > state.options.replay_limit_bytes:
        _shed_parts(state)
    if run.orphaned_s is not None:
        return []
    return [Send(run.router, part)]


def _shed_parts(state: AgentState) -> None:
    """Drop the parts of the answer that takes the most memory.

    It can not be resumed any more; while its connection stands, nothing
    is lost.
    """
    largest = max(state.runs.values(), key=lambda r: r.buffer.size_bytes)
    state.replay_bytes -= largest.buffer.size_bytes
    largest.buffer.clear()
    largest.resumable = False
