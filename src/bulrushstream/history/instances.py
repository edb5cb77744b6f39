"""Check draining, planned stops and configuration versions."""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushstream.history.record import (
    AnswerEnded,
    CallAborted,
    CallSent,
    CoreFailed,
    History,
    LeavingAnnounced,
    Record,
    Refused,
    RunEnded,
    RunStarted,
    Stopped,
    VersionApplied,
)
from bulrushstream.history.violation import (
    CheckLimits,
    Violation,
    ViolationKind,
)
from bulrushstream.state.identity import InstanceKey


@dataclass(slots=True)
class _Scan:
    """The state of the checks during a pass over a history."""

    leaving_s: dict[InstanceKey, float] = field(default_factory=dict)
    versions: dict[InstanceKey, int] = field(default_factory=dict)
    running: dict[tuple[str, int], InstanceKey] = field(default_factory=dict)
    open_calls: dict[str, InstanceKey] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)


def check_instances(history: History, limits: CheckLimits) -> list[Violation]:
    """Return violations by stops, drains, configurations and core failures.

    :param history: the records, by time.
    :param limits: the limits to check.
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
    """Track runs and open calls; report late work of leaving agents."""
    match record:
        case CallSent():
            scan.open_calls[record.request_id] = record.router
        case AnswerEnded() | Refused() | CallAborted():
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
    """Report a run that started too long after its agent began leaving."""
    leaving_s = scan.leaving_s.get(record.agent)
    if leaving_s is None:
        return
    late_s = record.at_s - leaving_s
    if late_s <= limits.drain_bound_s:
        return
    kind = ViolationKind.LATE_WORK
    text = (
        f"{record.request_id} started {late_s:.3f} s after its agent"
        " announced that it is leaving."
    )
    subject = record.agent.instance
    scan.violations.append(Violation(record.at_s, index, kind, subject, text))


def _scan_instance(scan: _Scan, index: int, record: Record) -> None:
    """Track instances; report cut requests and decreasing versions."""
    match record:
        case LeavingAnnounced():
            scan.leaving_s.setdefault(record.agent, record.at_s)
        case Stopped():
            _check_stop(scan, index, record)
        case VersionApplied():
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
    """Report the runs and calls that a planned stop cut off."""
    cut_off = [
        request_id
        for (request_id, _), agent in scan.running.items()
        if agent == record.instance
    ]
    cut_off += [
        request_id
        for request_id, router in scan.open_calls.items()
        if router == record.instance
    ]
    if not record.planned:
        return
    for request_id in cut_off:
        kind = ViolationKind.CUT_REQUEST
        text = f"The planned stop cut {request_id} off."
        subject = record.instance.instance
        scan.violations.append(
            Violation(record.at_s, index, kind, subject, text)
        )


def _check_version(scan: _Scan, index: int, record: VersionApplied) -> None:
    """Report a version below one that the incarnation applied before."""
    highest = scan.versions.get(record.instance, record.version)
    scan.versions[record.instance] = max(highest, record.version)
    if record.version >= highest:
        return
    kind = ViolationKind.VERSION_FELL
    text = f"Version {record.version} was applied after {highest}."
    subject = record.instance.instance
    scan.violations.append(Violation(record.at_s, index, kind, subject, text))
