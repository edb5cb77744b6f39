"""Check that every caller receives its own whole answer, once.

The bytes that a caller received must be a prefix of what one run of its
own request sent, and all of it if the caller was told that the answer is
whole.  A request with an idempotency key may also receive the answer of
another request of its workspace with the same key.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TypeAlias

from bulrushstream.history.record import (
    AnswerBytes,
    AnswerEnded,
    AnswerHead,
    Called,
    CallerGone,
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
    """What one run sent."""

    data: bytes = b""  # All its bytes.
    pieces: list[bytes] = field(default_factory=list)  # As they came.
    whole: bool = False  # Whether the endpoint ended it complete.


@dataclass(slots=True)
class _Caller:
    """What one caller received."""

    called: Called  # Its request.
    data: bytes = b""  # The bytes so far.
    final: _Final | None = None  # The first final answer.
    final_index: int = 0  # Where the final answer stands.
    gone: bool = False  # Whether nobody waits any more.


@dataclass(slots=True)
class _Scan:
    """What the checks gather from a history."""

    callers: dict[str, _Caller] = field(default_factory=dict)
    runs: dict[str, dict[_RunKey, _Run]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    violations: list[Violation] = field(default_factory=list)


def check_answers(history: History, limits: CheckLimits) -> list[Violation]:
    """Return the violations of what callers were given.

    :param history: the records, in the order of their times.
    :param limits: the bounds to keep.
    :returns: the violations, in no particular order.
    """
    scan = _Scan()
    for index, record in enumerate(history):
        _scan_run(scan, record)
        _scan_caller(scan, index, record)
    end_s = history[-1].at_s if history else 0.0
    for caller in scan.callers.values():
        _check_final(scan, caller, limits, len(history), end_s)
        _check_calm(scan, caller, limits)
        _check_bytes(scan, caller, len(history), end_s)
    return scan.violations


def _scan_run(scan: _Scan, record: object) -> None:
    """Gather what endpoints sent."""
    if not isinstance(record, RunStarted | RunBytes | RunEnded):
        return
    key = (record.request_id, record.attempt, record.agent)
    run = scan.runs[record.request_id].setdefault(key, _Run())
    if isinstance(record, RunBytes):
        run.data += record.data
        run.pieces.append(record.data)
    elif isinstance(record, RunEnded):
        run.whole = record.whole


def _scan_caller(scan: _Scan, index: int, record: object) -> None:
    """Gather what callers received."""
    if isinstance(record, Called):
        scan.callers[record.request_id] = _Caller(record)
        return
    if not isinstance(
        record, AnswerHead | AnswerBytes | AnswerEnded | Refused | CallerGone
    ):
        return
    caller = scan.callers.get(record.request_id)
    if caller is None:
        kind = ViolationKind.FOREIGN_ANSWER
        text = "An answer was given to a caller that never asked."
        scan.violations.append(
            Violation(record.at_s, index, kind, record.request_id, text)
        )
        return
    if isinstance(record, CallerGone):
        caller.gone = True
        return
    if caller.final is not None:
        kind = ViolationKind.AFTER_END
        text = f"{type(record).__name__} followed the final answer."
        scan.violations.append(
            Violation(record.at_s, index, kind, record.request_id, text)
        )
        return
    if isinstance(record, AnswerBytes):
        caller.data += record.data
    elif isinstance(record, AnswerEnded | Refused):
        caller.final = record
        caller.final_index = index


def _check_final(
    scan: _Scan,
    caller: _Caller,
    limits: CheckLimits,
    length: int,
    end_s: float,
) -> None:
    """Report a caller whose final answer is missing or late."""
    due_s = caller.called.deadline_s + limits.answer_grace_s
    if caller.gone:
        return
    if caller.final is None:
        if end_s <= due_s:
            return
        at_s, index = due_s, length
        text = f"No final answer by {due_s:.3f} s."
    elif caller.final.at_s > due_s:
        at_s, index = caller.final.at_s, caller.final_index
        text = f"The final answer was due by {due_s:.3f} s."
    else:
        return
    subject = caller.called.request_id
    kind = ViolationKind.NO_ANSWER
    scan.violations.append(Violation(at_s, index, kind, subject, text))


def _check_calm(scan: _Scan, caller: _Caller, limits: CheckLimits) -> None:
    """Report a caller that got no whole answer although all was well."""
    final = caller.final
    calm_s = limits.calm_s
    if final is None or calm_s is None or caller.called.at_s < calm_s:
        return
    if isinstance(final, AnswerEnded) and final.whole:
        return
    kind = ViolationKind.CALM_FAILURE
    code = final.code if isinstance(final, Refused) else "not whole"
    text = f"It ended as {final.outcome} ({code}) in a calm fleet."
    subject = caller.called.request_id
    scan.violations.append(
        Violation(final.at_s, caller.final_index, kind, subject, text)
    )


def _check_bytes(
    scan: _Scan, caller: _Caller, length: int, end_s: float
) -> None:
    """Report a caller whose bytes no run of its request explains."""
    final = caller.final
    told_whole = isinstance(final, AnswerEnded) and final.whole
    if not caller.data and not told_whole:
        return
    runs = _own_runs(scan, caller.called)
    kind, text = _judge_bytes(scan, caller.data, told_whole, runs)
    if kind is None:
        return
    at_s = final.at_s if final is not None else end_s
    index = caller.final_index if final is not None else length
    subject = caller.called.request_id
    scan.violations.append(Violation(at_s, index, kind, subject, text))


def _own_runs(scan: _Scan, called: Called) -> list[_Run]:
    """Return the runs whose answer a caller may receive."""
    runs = list(scan.runs[called.request_id].values())
    if not called.idempotency_key:
        return runs
    for other in scan.callers.values():
        same_key = (
            other.called.request_id != called.request_id
            and other.called.idempotency_key == called.idempotency_key
            and other.called.workspace == called.workspace
        )
        if same_key:
            runs += scan.runs[other.called.request_id].values()
    return runs


def _judge_bytes(
    scan: _Scan, data: bytes, told_whole: bool, runs: list[_Run]
) -> tuple[ViolationKind | None, str]:
    """Return what is wrong with the bytes of one caller, if anything."""
    prefixes = [run for run in runs if run.data.startswith(data)]
    complete = (run.whole and run.data == data for run in prefixes)
    if prefixes and (not told_whole or any(complete)):
        return None, ""
    if prefixes:
        text = f"Told whole after {len(data)} bytes of a longer answer."
        return ViolationKind.TRUNCATED_WHOLE, text
    if any(piece in data for run in runs for piece in run.pieces):
        text = "Bytes of its own run were repeated, lost or reordered."
        return ViolationKind.GARBLED_ANSWER, text
    others = (run for by_key in scan.runs.values() for run in by_key.values())
    foreign = any(data and data in run.data for run in others)
    whose = "another request's run" if foreign else "no run"
    text = f"The bytes are of {whose}."
    return ViolationKind.FOREIGN_ANSWER, text
