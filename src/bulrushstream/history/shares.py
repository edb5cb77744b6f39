"""Check the fairness gap and that no slot idles while requests wait.

The *gap* of two workspaces over an interval in which both are backlogged
is how much more weighted service one received than the other.  The largest
gap over all parts of such an interval is the range of the difference of
their cumulative service.  So one pass over the history finds it.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from bulrushstream.history.record import (
    BacklogChanged,
    History,
    LoadChanged,
    ServiceReceived,
)
from bulrushstream.history.violation import (
    CheckLimits,
    Violation,
    ViolationKind,
)

# Times are sums of floats, so equal times may differ by rounding errors.
ROUNDING_S: Final = 1e-9

_Pair: TypeAlias = tuple[str, str]


@dataclass(slots=True)
class _Range:
    """Range of the service difference while two workspaces wait."""

    low: float
    high: float
    reported: bool = False  # Whether a violation was reported.


@dataclass(slots=True)
class _ServiceState:
    """The state of the checks for one service."""

    backlogged: set[str] = field(default_factory=set)  # Workspaces.
    # Cumulative weighted service by workspace.
    received: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    ranges: dict[_Pair, _Range] = field(default_factory=dict)
    # None: no idle slot beside waiting requests.
    idle_since_s: float | None = None


def check_shares(history: History, limits: CheckLimits) -> list[Violation]:
    """Return the violations of fairness and utilisation.

    :param history: the records, by time.
    :param limits: the limits to check.
    :returns: the violations, by time.
    """
    services: dict[str, _ServiceState] = defaultdict(_ServiceState)
    violations: list[Violation] = []
    for index, record in enumerate(history):
        if isinstance(record, LoadChanged):
            state = services[record.service]
            violations += _check_idle(state, index, record, limits)
        elif isinstance(record, BacklogChanged):
            _update_backlog(services[record.service], record)
        elif isinstance(record, ServiceReceived):
            state = services[record.service]
            violations += _check_gap(state, index, record, limits)
    end_s = history[-1].at_s if history else 0.0
    for service, state in services.items():
        last = LoadChanged(end_s, service, 0, 0)
        violations += _check_idle(state, len(history), last, limits)
    return violations


def largest_gap(history: History) -> float:
    """Return the largest fairness gap of any pair over any interval.

    :param history: the records, by time.
    :returns: the gap in weighted service units; 0 if no two workspaces
        were backlogged at the same time.
    """
    services: dict[str, _ServiceState] = defaultdict(_ServiceState)
    largest = 0.0
    for record in history:
        if isinstance(record, BacklogChanged):
            _update_backlog(services[record.service], record)
        elif isinstance(record, ServiceReceived):
            for _, span in _add_service(services[record.service], record):
                largest = max(largest, span.high - span.low)
    return largest


def _check_idle(
    state: _ServiceState, index: int, record: LoadChanged, limits: CheckLimits
) -> list[Violation]:
    """Report a slot that idled too long while requests waited."""
    idle = record.free_slots > 0 and record.waiting > 0
    since_s = state.idle_since_s
    if since_s is None:
        state.idle_since_s = record.at_s if idle else None
        return []
    if idle:
        return []
    state.idle_since_s = None
    idle_s = record.at_s - since_s
    if (
        limits.idle_bound_s is None
        or idle_s <= limits.idle_bound_s + ROUNDING_S
    ):
        return []
    kind = ViolationKind.IDLE_SLOT
    text = f"A slot idled for {idle_s:.4f} s while requests waited."
    return [Violation(record.at_s, index, kind, record.service, text)]


def _update_backlog(state: _ServiceState, record: BacklogChanged) -> None:
    """Begin and end the intervals in which two workspaces are backlogged."""
    workspace = record.workspace
    if record.waiting == 0:
        state.backlogged.discard(workspace)
        for pair in [pair for pair in state.ranges if workspace in pair]:
            del state.ranges[pair]
        return
    if workspace in state.backlogged:
        return
    for other in state.backlogged:
        pair = (min(workspace, other), max(workspace, other))
        difference = state.received[pair[0]] - state.received[pair[1]]
        state.ranges[pair] = _Range(difference, difference)
    state.backlogged.add(workspace)


def _add_service(
    state: _ServiceState, record: ServiceReceived
) -> list[tuple[_Pair, _Range]]:
    """Add received service; return the ranges that it changes."""
    state.received[record.workspace] += record.amount
    changed = []
    for pair, span in state.ranges.items():
        if record.workspace not in pair:
            continue
        difference = state.received[pair[0]] - state.received[pair[1]]
        span.low = min(span.low, difference)
        span.high = max(span.high, difference)
        changed.append((pair, span))
    return changed


def _check_gap(
    state: _ServiceState,
    index: int,
    record: ServiceReceived,
    limits: CheckLimits,
) -> list[Violation]:
    """Report pairs whose gap exceeds the bound, once per interval."""
    violations = []
    for pair, span in _add_service(state, record):
        gap = span.high - span.low
        bound = limits.fairness_gap
        if bound is None or gap <= bound or span.reported:
            continue
        span.reported = True
        kind = ViolationKind.UNFAIR
        text = f"The fairness gap is {gap:.4f}; the bound is {bound:.4f}."
        subject = f"{record.service}: {pair[0]}, {pair[1]}"
        violations.append(Violation(record.at_s, index, kind, subject, text))
    return violations
