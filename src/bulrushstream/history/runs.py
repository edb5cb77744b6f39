"""Check how often requests ran and whether reported outcomes are true."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from bulrushstream.history.record import (
    AnswerEnded,
    CallSent,
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
    """The records that the checks need, grouped."""

    calls: dict[str, CallSent] = field(default_factory=dict)
    started: dict[str, list[tuple[int, RunStarted]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    crashes: dict[int, list[tuple[int, EndpointCrashed]]] = field(
        default_factory=lambda: defaultdict(list)
    )


def check_runs(history: History, limits: CheckLimits) -> list[Violation]:
    """Return the violations by runs, reported outcomes and crashes.

    :param history: the records, by time.
    :param limits: the limits to check.
    :returns: the violations, in no particular order.
    """
    scan = _Scan()
    for index, record in enumerate(history):
        if isinstance(record, CallSent):
            scan.calls[record.request_id] = record
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
    """Report non-idempotent work that was started more than once."""
    by_work: dict[str, list[tuple[int, RunStarted]]] = defaultdict(list)
    for request_id, starts in scan.started.items():
        call = scan.calls.get(request_id)
        if call is not None and not call.idempotent:
            by_work[_work_id(call)] += starts
    violations = []
    for work, starts in by_work.items():
        for index, start in sorted(starts, key=lambda item: item[0])[1:]:
            text = (
                f"Attempt {start.attempt} of {start.request_id} started at"
                f" {start.agent.instance}/{start.agent.incarnation}, but"
                " the work had been started before."
            )
            kind = ViolationKind.RUN_TWICE
            violations.append(Violation(start.at_s, index, kind, work, text))
    return violations


def _work_id(call: CallSent) -> str:
    """Return the id of a request's work; requests with one key share it."""
    if call.idempotency_key:
        return f"{call.workspace}:key:{call.idempotency_key}"
    return call.request_id


def _false_outcomes(scan: _Scan, history: History) -> list[Violation]:
    """Report outcomes that contradict the records of the endpoints."""
    ran_keys = {
        _work_id(scan.calls[request_id])
        for request_id in scan.started
        if request_id in scan.calls
    }
    violations = []
    for index, record in enumerate(history):
        if not isinstance(record, AnswerEnded | Refused):
            continue
        call = scan.calls.get(record.request_id)
        ran = bool(scan.started.get(record.request_id))
        ran_by_key = call is not None and _work_id(call) in ran_keys
        if record.outcome is Outcome.NOT_RUN and ran:
            kind = ViolationKind.FALSE_NOT_RUN
            text = (
                "The reported outcome is not-run, but an endpoint started it."
            )
        elif record.outcome is Outcome.RAN and not ran and not ran_by_key:
            kind = ViolationKind.FALSE_RAN
            text = "The reported outcome is ran, but no endpoint started it."
        else:
            continue
        subject = record.request_id
        violations.append(Violation(record.at_s, index, kind, subject, text))
    return violations


def _crash_bound(scan: _Scan, limits: CheckLimits) -> list[Violation]:
    """Report fingerprints that crashed more endpoints than allowed."""
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
