"""Check how often requests ran, and that the outcomes told are true."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from bulrushstream.history.record import (
    AnswerEnded,
    Called,
    EndpointCrashed,
    History,
    Refused,
    RunStarted,
)
from bulrushstream.history.violation import (
    CheckLimits,
    Violation,
    ViolationKind,
)
from bulrushstream.state.request import Outcome


@dataclass(slots=True)
class _Scan:
    """What the checks gather from a history."""

    called: dict[str, Called] = field(default_factory=dict)
    started: dict[str, list[tuple[int, RunStarted]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    crashes: dict[int, list[tuple[int, EndpointCrashed]]] = field(
        default_factory=lambda: defaultdict(list)
    )


def check_runs(history: History, limits: CheckLimits) -> list[Violation]:
    """Return the violations of what ran and what was said of it.

    :param history: the records, in the order of their times.
    :param limits: the bounds to keep.
    :returns: the violations, in no particular order.
    """
    scan = _Scan()
    for index, record in enumerate(history):
        if isinstance(record, Called):
            scan.called[record.request_id] = record
        elif isinstance(record, RunStarted):
            scan.started[record.request_id].append((index, record))
        elif isinstance(record, EndpointCrashed):
            scan.crashes[record.fingerprint].append((index, record))
    return [
        *_run_twice(scan),
        *_false_outcomes(scan, history),
        *_crash_bound(scan, limits),
    ]


def _run_twice(scan: _Scan) -> list[Violation]:
    """Report non-idempotent work that started more than once."""
    by_work: dict[str, list[tuple[int, RunStarted]]] = defaultdict(list)
    for request_id, starts in scan.started.items():
        called = scan.called.get(request_id)
        if called is not None and not called.idempotent:
            by_work[_work(called)] += starts
    violations = []
    for work, starts in by_work.items():
        for index, start in sorted(starts, key=lambda item: item[0])[1:]:
            text = (
                f"Attempt {start.attempt} of {start.request_id} started at"
                f" {start.agent.instance}/{start.agent.incarnation}, but"
                " the work had started before."
            )
            kind = ViolationKind.RUN_TWICE
            violations.append(Violation(start.at_s, index, kind, work, text))
    return violations


def _work(called: Called) -> str:
    """Return the name of the work that a request stands for."""
    if called.idempotency_key:
        return f"{called.workspace}:key:{called.idempotency_key}"
    return called.request_id


def _false_outcomes(scan: _Scan, history: History) -> list[Violation]:
    """Report outcomes that the endpoints' records contradict."""
    ran_keys = {
        _work(scan.called[request_id])
        for request_id in scan.started
        if request_id in scan.called
    }
    violations = []
    for index, record in enumerate(history):
        if not isinstance(record, AnswerEnded | Refused):
            continue
        called = scan.called.get(record.request_id)
        ran = bool(scan.started.get(record.request_id))
        ran_by_key = called is not None and _work(called) in ran_keys
        if record.outcome is Outcome.NOT_RUN and ran:
            kind = ViolationKind.FALSE_NOT_RUN
            text = "The caller was told not-run, but an endpoint started it."
        elif record.outcome is Outcome.RAN and not ran and not ran_by_key:
            kind = ViolationKind.FALSE_RAN
            text = "The caller was told ran, but no endpoint started it."
        else:
            continue
        subject = record.request_id
        violations.append(Violation(record.at_s, index, kind, subject, text))
    return violations


def _crash_bound(scan: _Scan, limits: CheckLimits) -> list[Violation]:
    """Report requests that crashed more endpoints than allowed."""
    violations = []
    for fingerprint, crashes in scan.crashes.items():
        for index, crash in crashes[limits.crash_limit :]:
            kind = ViolationKind.CRASH_BOUND
            text = (
                f"{crash.agent.instance} crashed; the limit is"
                f" {limits.crash_limit} endpoints."
            )
            subject = f"fingerprint {fingerprint}"
            violations.append(
                Violation(crash.at_s, index, kind, subject, text)
            )
    return violations
