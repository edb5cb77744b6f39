"""Check the fairness gap and that no slot idles while work waits.

The *gap* of two workspaces over an interval in which both are backlogged
is how much more weighted service one received than the other.  The largest
gap over all parts of such an interval is the range of the difference of
their cumulative service, so that one walk through the history finds it.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from bulrushstream.history.record import (
    Backlogged,
    History,
    ServiceGiven,
    Supply,
)
from bulrushstream.history.violation import (
    CheckLimits,
    Violation,
    ViolationKind,
)

# Times are sums of floating point numbers, so equal ones differ a little.
ROUNDING_S: Final = 1e-9

_Pair: TypeAlias = tuple[str, str]


@dataclass(slots=True)
class _Range:
    """The range of two workspaces' difference while both wait."""

    low: float  # The smallest difference so far.
    high: float  # The largest difference so far.
    reported: bool = False  # Whether this interval was reported.


@dataclass(slots=True)
class _Service:
    """What the checks keep of one service."""

    backlogged: set[str] = field(default_factory=set)  # Who waits.
    given: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )  # Cumulative weighted service by workspace.
    ranges: dict[_Pair, _Range] = field(default_factory=dict)
    idle_since_s: float | None = None  # Since when a slot idles.


def check_shares(history: History, limits: CheckLimits) -> list[Violation]:
    """Return the violations of fairness and of utilisation.

    :param history: the records, in the order of their times.
    :param limits: the bounds to keep.
    :returns: the violations, by time.
    """
    services: dict[str, _Service] = defaultdict(_Service)
    violations: list[Violation] = []
    for index, record in enumerate(history):
        if isinstance(record, Supply):
            state = services[record.service]
            violations += _check_idle(state, index, record, limits)
        elif isinstance(record, Backlogged):
            _change_backlog(services[record.service], record)
        elif isinstance(record, ServiceGiven):
            state = services[record.service]
            violations += _check_gap(state, index, record, limits)
    end_s = history[-1].at_s if history else 0.0
    for service, state in services.items():
        last = Supply(end_s, service, 0, 0)
        violations += _check_idle(state, len(history), last, limits)
    return violations


def largest_gap(history: History) -> float:
    """Return the largest fairness gap of any pair over any interval.

    :param history: the records, in the order of their times.
    :returns: the gap in weighted service units; 0 if no two workspaces
        were ever backlogged together.
    """
    services: dict[str, _Service] = defaultdict(_Service)
    largest = 0.0
    for record in history:
        if isinstance(record, Backlogged):
            _change_backlog(services[record.service], record)
        elif isinstance(record, ServiceGiven):
            for _, span in _widen(services[record.service], record):
                largest = max(largest, span.high - span.low)
    return largest


def _check_idle(
    state: _Service, index: int, record: Supply, limits: CheckLimits
) -> list[Violation]:
    """Report a slot that idled beside waiting work for too long."""
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
    text = f"A slot idled for {idle_s:.4f} s while work waited."
    return [Violation(record.at_s, index, kind, record.service, text)]


def _change_backlog(state: _Service, record: Backlogged) -> None:
    """Begin and end the intervals in which two workspaces wait."""
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
        difference = state.given[pair[0]] - state.given[pair[1]]
        state.ranges[pair] = _Range(difference, difference)
    state.backlogged.add(workspace)


def _widen(
    state: _Service, record: ServiceGiven
) -> list[tuple[_Pair, _Range]]:
    """Take service into account; return the ranges that it touched."""
    state.given[record.workspace] += record.amount
    touched = []
    for pair, span in state.ranges.items():
        if record.workspace not in pair:
            continue
        difference = state.given[pair[0]] - state.given[pair[1]]
        span.low = min(span.low, difference)
        span.high = max(span.high, difference)
        touched.append((pair, span))
    return touched


def _check_gap(
    state: _Service, index: int, record: ServiceGiven, limits: CheckLimits
) -> list[Violation]:
    """Report pairs whose gap grew above the bound, once an interval."""
    violations = []
    for pair, span in _widen(state, record):
        gap = span.high - span.low
        bound = limits.fairness_gap
        if bound is None or gap <= bound or span.reported:
            continue
        span.reported = True
        kind = ViolationKind.UNFAIR
        text = f"The gap is {gap:.4f}; the bound is {bound:.4f}."
        subject = f"{record.service}: {pair[0]}, {pair[1]}"
        violations.append(Violation(record.at_s, index, kind, subject, text))
    return violations
