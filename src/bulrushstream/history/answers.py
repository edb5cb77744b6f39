"""Check that every caller receives its own complete answer, once.

The bytes that a caller received must be a prefix of what one run of its
request sent, and equal to it if the answer was reported to be complete.
A request with an idempotency key may also receive the answer of another
request of its workspace with the same key.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TypeAlias

from bulrushstream.history.record import (
    AnswerBytes,
    AnswerEnded,
    AnswerHead,
    CallAborted,
    CallSent,
    History,
    Refused,
    RunBytes,
    RunEnded,
    RunStarted,
)
from bulrushstream.history.violation import (
    CheckLimits,
    Violation,
    ViolationKind,
)
from bulrushstream.state.identity import InstanceKey

_Final: TypeAlias = AnswerEnded | Refused
_RunKey: TypeAlias = tuple[str, int, InstanceKey]


@dataclass(slots=True)
class _Run:
    """The bytes that one run sent."""

    data: bytes = b""
    chunks: list[bytes] = field(default_factory=list)  # In the order sent.
    complete: bool = False  # Whether the endpoint sent a complete answer.


@dataclass(slots=True)
class _Caller:
    """The request and the received answer of one caller."""

    call: CallSent
    data: bytes = b""
    final_answer: _Final | None = None  # The first final answer.
    final_answer_index: int = 0  # Index in the history.
    disconnected: bool = False  # Whether the call was aborted.


@dataclass(slots=True)
class _Scan:
    """The callers and runs of a history, and the violations found."""

    callers: dict[str, _Caller] = field(default_factory=dict)
    runs: dict[str, dict[_RunKey, _Run]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    violations: list[Violation] = field(default_factory=list)


def check_answers(history: History, limits: CheckLimits) -> list[Violation]:
    """Return the violations by answers to callers.

    :param history: the records, by time.
    :param limits: the limits to check.
    :returns: the violations, in no particular order.
    """
    scan = _Scan()
    for index, record in enumerate(history):
        _scan_run(scan, record)
        _scan_caller(scan, index, record)
    end_s = history[-1].at_s if history else 0.0
    for caller in scan.callers.values():
        _check_final_answer(scan, caller, limits, len(history), end_s)
        _check_success(scan, caller, limits)
        _check_bytes(scan, caller, len(history), end_s)
    return scan.violations


def _scan_run(scan: _Scan, record: object) -> None:
    """Collect the bytes that endpoints sent."""
    if not isinstance(record, RunStarted | RunBytes | RunEnded):
        return
    key = (record.request_id, record.attempt, record.agent)
    run = scan.runs[record.request_id].setdefault(key, _Run())
    if isinstance(record, RunBytes):
        run.data += record.data
        run.chunks.append(record.data)
    elif isinstance(record, RunEnded):
        run.complete = record.complete


def _scan_caller(scan: _Scan, index: int, record: object) -> None:
    """Collect the bytes and final answers that callers received."""
    if isinstance(record, CallSent):
        scan.callers[record.request_id] = _Caller(record)
        return
    if not isinstance(
        record, AnswerHead | AnswerBytes | AnswerEnded | Refused | CallAborted
    ):
        return
    caller = scan.callers.get(record.request_id)
    if caller is None:
        kind = ViolationKind.FOREIGN_ANSWER
        text = "An answer was sent for a request that was never made."
        scan.violations.append(
            Violation(record.at_s, index, kind, record.request_id, text)
        )
        return
    if isinstance(record, CallAborted):
        caller.disconnected = True
        return
    if caller.final_answer is not None:
        kind = ViolationKind.AFTER_END
        text = f"{type(record).__name__} followed the final answer."
        scan.violations.append(
            Violation(record.at_s, index, kind, record.request_id, text)
        )
        return
    if isinstance(record, AnswerBytes):
        caller.data += record.data
    elif isinstance(record, AnswerEnded | Refused):
        caller.final_answer = record
        caller.final_answer_index = index


def _check_final_answer(
    scan: _Scan,
    caller: _Caller,
    limits: CheckLimits,
    length: int,
    end_s: float,
) -> None:
    """Report a final answer that is missing or late."""
    due_s = caller.call.deadline_s + limits.answer_grace_s
    if caller.disconnected:
        return
    if caller.final_answer is None:
        if end_s <= due_s:
            return
        at_s, index = due_s, length
        text = f"No final answer by {due_s:.3f} s."
    elif caller.final_answer.at_s > due_s:
        at_s, index = caller.final_answer.at_s, caller.final_answer_index
        text = f"The final answer came after its limit, {due_s:.3f} s."
    else:
        return
    subject = caller.call.request_id
    kind = ViolationKind.NO_ANSWER
    scan.violations.append(Violation(at_s, index, kind, subject, text))


def _check_success(scan: _Scan, caller: _Caller, limits: CheckLimits) -> None:
    """Report a call that failed although there were no faults."""
    final_answer = caller.final_answer
    from_s = limits.must_succeed_from_s
    if final_answer is None or from_s is None or caller.call.at_s < from_s:
        return
    if isinstance(final_answer, AnswerEnded) and final_answer.complete:
        return
    kind = ViolationKind.CALM_FAILURE
    code = (
        final_answer.code
        if isinstance(final_answer, Refused)
        else "incomplete"
    )
    text = f"It ended as {final_answer.outcome} ({code}) without faults."
    subject = caller.call.request_id
    scan.violations.append(
        Violation(
            final_answer.at_s, caller.final_answer_index, kind, subject, text
        )
    )


def _check_bytes(
    scan: _Scan, caller: _Caller, length: int, end_s: float
) -> None:
    """Report received bytes that no run of the request sent."""
    final_answer = caller.final_answer
    reported_complete = (
        isinstance(final_answer, AnswerEnded) and final_answer.complete
    )
    if not caller.data and not reported_complete:
        return
    runs = _own_runs(scan, caller.call)
    kind, text = _judge_bytes(scan, caller.data, reported_complete, runs)
    if kind is None:
        return
    at_s = final_answer.at_s if final_answer is not None else end_s
    index = caller.final_answer_index if final_answer is not None else length
    subject = caller.call.request_id
    scan.violations.append(Violation(at_s, index, kind, subject, text))


def _own_runs(scan: _Scan, call: CallSent) -> list[_Run]:
    """Return the runs whose answers a caller may receive."""
    runs = list(scan.runs[call.request_id].values())
    if not call.idempotency_key:
        return runs
    for other in scan.callers.values():
        same_key = (
            other.call.request_id != call.request_id
            and other.call.idempotency_key == call.idempotency_key
            and other.call.workspace == call.workspace
        )
        if same_key:
            runs += scan.runs[other.call.request_id].values()
    return runs


def _judge_bytes(
    scan: _Scan, data: bytes, reported_complete: bool, runs: list[_Run]
) -> tuple[ViolationKind | None, str]:
    """Return the violation by the bytes of one caller, if any."""
    prefixes = [run for run in runs if run.data.startswith(data)]
    complete = (run.complete and run.data == data for run in prefixes)
    if prefixes and (not reported_complete or any(complete)):
        return None, ""
    if prefixes:
        text = f"Reported complete after {len(data)} bytes of a longer answer."
        return ViolationKind.TRUNCATED_WHOLE, text
    if any(chunk in data for run in runs for chunk in run.chunks):
        text = "Bytes of the request's run were repeated, lost or reordered."
        return ViolationKind.GARBLED_ANSWER, text
    others = (run for by_key in scan.runs.values() for run in by_key.values())
    foreign = any(data and data in run.data for run in others)
    source = "another request's run" if foreign else "no run"
    text = f"The bytes were sent by {source}."
    return ViolationKind.FOREIGN_ANSWER, text
