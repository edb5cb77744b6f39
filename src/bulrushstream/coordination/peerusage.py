"""What a peer's callers requested and were granted, from its running totals.

A router reports *totals* since it began to count, not increments.  The next
report of a total makes up for all reports that were lost.  What was added
since the report before it is spread over the time in between.  A peer that
is not heard is assumed to go on as before, until the next report corrects
that: missing reports are no sign that a peer's callers ask for less.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.peerupdate import WorkspaceTotals

# The time over which the rates of a peer's totals are measured.
RATE_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class UsageChange:
    """Quota tokens by which the totals of a workspace grew."""

    workspace: str
    requested_tokens: float  # Negative: a correction.
    granted_tokens: float  # Negative: a correction.
    since_s: float  # They grew at some time since then.


@dataclass(slots=True)
class _Counted:
    """The totals of one workspace that are counted so far."""

    requested: float = 0.0
    granted: float = 0.0
    # Since when they are assumed; None: they were reported.
    assumed_since_s: float | None = None
    # The totals at the last measurement of the rates.
    measured_requested: float = 0.0
    measured_granted: float = 0.0
    measured_s: float = 0.0
    requested_per_s: float = 0.0
    granted_per_s: float = 0.0


@dataclass(slots=True)
class PeerUsage:
    """The totals that one incarnation of a peer reported."""

    counted_until_s: float  # Until when changes are counted or assumed.
    _counted: dict[str, _Counted] = field(default_factory=dict)

    def receive(
        self, totals: Iterable[WorkspaceTotals], now_s: float
    ) -> list[UsageChange]:
        """Record reported totals and return the changes.

        :param totals: the totals of some workspaces
        :param now_s: the time
        """
        changes = []
        for each in totals:
            counted = self._counted.get(each.workspace)
            if counted is None:
                first_s = now_s - each.counted_s
                counted = _Counted(assumed_since_s=first_s, measured_s=first_s)
                self._counted[each.workspace] = counted
            since_s = counted.assumed_since_s
            changes.append(
                UsageChange(
                    each.workspace,
                    each.requested_tokens - counted.requested,
                    each.granted_tokens - counted.granted,
                    self.counted_until_s if since_s is None else since_s,
                )
            )
            counted.requested = each.requested_tokens
            counted.granted = each.granted_tokens
            counted.assumed_since_s = None
            _measure_rates(counted, now_s)
        self.counted_until_s = now_s
        return changes

    def extrapolate(self, now_s: float) -> list[UsageChange]:
        """Assume that the totals grew as before; return the changes.

        :param now_s: the time
        """
        since_s = self.counted_until_s
        self.counted_until_s = now_s
        changes = []
        for workspace, counted in self._counted.items():
            change = UsageChange(
                workspace,
                counted.requested_per_s * (now_s - since_s),
                counted.granted_per_s * (now_s - since_s),
                since_s,
            )
            if change.requested_tokens or change.granted_tokens:
                counted.requested += change.requested_tokens
                counted.granted += change.granted_tokens
                if counted.assumed_since_s is None:
                    counted.assumed_since_s = since_s
                changes.append(change)
        return changes


def _measure_rates(counted: _Counted, now_s: float) -> None:
    """Update the rates of totals if the last measurement is old enough."""
    elapsed_s = now_s - counted.measured_s
    if elapsed_s < RATE_INTERVAL_S:
        return
    requested = counted.requested - counted.measured_requested
    granted = counted.granted - counted.measured_granted
    counted.requested_per_s = max(0.0, requested / elapsed_s)
    counted.granted_per_s = max(0.0, granted / elapsed_s)
    counted.measured_requested = counted.requested
    counted.measured_granted = counted.granted
    counted.measured_s = now_s
