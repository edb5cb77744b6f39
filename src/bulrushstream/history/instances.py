"""Check draining, planned stops and configuration versions."""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushstream.history.record import (
    AnswerEnded,
    Called,
    CallerGone,
    CoreFailed,
    History,
    LeavingShown,
    Record,
    Refused,
    RunEnded,
    RunStarted,
    Stopped,
    VersionInForce,
)
from bulrushstream.history.violation import (
    CheckLimits,
    Violation,
    ViolationKind,
)
from bulrushstream.state.identity import InstanceKey


@dataclass(slots=True)
class _Scan:
    """What the checks keep while they walk through a history."""

    leaving_s: dict[InstanceKey, float] = field(default_factory=dict)
    versions: dict[InstanceKey, int] = field(default_factory=dict)
    running: dict[tuple[str, int], InstanceKey] = field(default_factory=dict)
    open_calls: dict[str, InstanceKey] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)


def check_instances(history: History, limits: CheckLimits) -> list[Violation]:
    """Return the violations of how instances stop and are configured.

    :param history: the records, in the order of their times.
    :param limits: the bounds to keep.
    :returns: the violations, by time.
    """
    scan = _Scan()
    for index, record in enumerate(history):
        _scan_work(scan, index, record, limits)
        _scan_instance(scan, index, record)
    return scan.violations


def _scan_work(
    scan: _Scan, index: int, record: Record, limits: CheckLimits
) -> None:
    """Follow what runs and who waits; report new work that is late."""
    match record:
        case Called():
            scan.open_calls[record.request_id] = record.router
        case AnswerEnded() | Refused() | CallerGone():
            scan.open_calls.pop(record.request_id, None)
        case RunStarted():
            scan.running[record.request_id, record.attempt] = record.agent
            _check_late_work(scan, index, record, limits)
        case RunEnded():
            scan.running.pop((record.request_id, record.attempt), None)
        case _:
            pass


def _check_late_work(
    scan: _Scan, index: int, record: RunStarted, limits: CheckLimits
) -> None:
    """Report a run that started too long after its agent was leaving."""
    leaving_s = scan.leaving_s.get(record.agent)
    if leaving_s is None:
        return
    late_s = record.at_s - leaving_s
    if late_s <= limits.drain_bound_s:
        return
    kind = ViolationKind.LATE_WORK
    text = f"{record.request_id} started {late_s:.3f} s after the notice."
    subject = record.agent.instance
    scan.violations.append(Violation(record.at_s, index, kind, subject, text))


def _scan_instance(scan: _Scan, index: int, record: Record) -> None:
    """Follow instances; report cut requests and falling versions."""
    match record:
        case LeavingShown():
            scan.leaving_s.setdefault(record.agent, record.at_s)
        case Stopped():
            _check_stop(scan, index, record)
        case VersionInForce():
            _check_version(scan, index, record)
        case CoreFailed():
            kind = ViolationKind.CORE_FAILED
            subject = record.instance.instance
            scan.violations.append(
                Violation(record.at_s, index, kind, subject, record.text)
            )
        case _:
            pass


def _check_stop(scan: _Scan, index: int, record: Stopped) -> None:
    """Report what a planned stop cut off."""
    cut = [
        request_id
        for (request_id, _), agent in scan.running.items()
        if agent == record.instance
    ]
    cut += [
        request_id
        for request_id, router in scan.open_calls.items()
        if router == record.instance
    ]
    if not record.planned:
        return
    for request_id in cut:
        kind = ViolationKind.CUT_REQUEST
        text = f"The planned stop cut {request_id} off."
        subject = record.instance.instance
        scan.violations.append(
            Violation(record.at_s, index, kind, subject, text)
        )


def _check_version(scan: _Scan, index: int, record: VersionInForce) -> None:
    """Report a version below one that the same start had in force."""
    before = scan.versions.get(record.instance, record.version)
    scan.versions[record.instance] = max(before, record.version)
    if record.version >= before:
        return
    kind = ViolationKind.VERSION_FELL
    text = f"Version {before} was followed by {record.version}."
    subject = record.instance.instance
    scan.violations.append(Violation(record.at_s, index, kind, subject, text))
