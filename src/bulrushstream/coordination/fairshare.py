"""Fair shares of the engines' throughput, from demand and grants.

What all workspaces were granted in a sliding window is the throughput that
there was.  Every workspace is entitled to its demand in the window up to a
common level, and the level is as high as that throughput allows: *max-min
fairness* (Bertsekas and Gallager, "Data Networks", 1992).  A request that
its workspace's share covers is *within share*; the rest is *surplus* and
is served from capacity that no request within its share needs.

Surplus is bounded: over the fairness window, a workspace that is kept
waiting gets at least about half of its demand or of what any other one is
granted, whichever is less.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Final

# While another workspace is kept waiting, a workspace may be granted at most
# this many times what that one was granted.  The platform's rule allows
# twice as much.
MAX_GRANT_RATIO: Final = 1.6

# The same for a router that does not know what its peers grant now, and so
# can not tell whether there is a surplus.
STALE_GRANT_RATIO: Final = 1.0

# The length of the fairness window.  The platform's rule is about six
# seconds; it is met if it holds in each part of them.
FAIRNESS_WINDOW_S: Final = 2.0

# A workspace is kept waiting if it had unmet demand within this time.
RECENT_S: Final = 1.0

# The windows slide by this time.
STEP_S: Final = 0.5

# The demand of one workspace is compared with the grants of another second
# by second.
STEPS_PER_SECOND: Final = 2

# Fewer tokens than this are a rounding error.
MIN_TOKENS: Final = 0.5

# The level and the workspaces that are kept waiting are recalculated at most
# this often.
REFRESH_INTERVAL_S: Final = 0.1


def fair_share_level(demands: Iterable[float], capacity: float) -> float:
    """Return the level up to which every workspace's demand is met.

    :param demands: the demand of each workspace
    :param capacity: the capacity for all of them
    :returns: the level; infinite if all demands fit
    """
    remaining = capacity
    ascending = sorted(demands)
    for index, amount in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if amount > level:
            return level
        remaining -= amount
    return float("inf")


@dataclass(slots=True)
class _Step:
    """Demand and grants in one step of the windows, in tokens."""

    number: int  # The step's start, in units of `STEP_S`.
    demand: dict[str, float] = field(default_factory=dict)
    granted: dict[str, float] = field(default_factory=dict)
    largest: float = 0.0  # The largest request at this router.


@dataclass(slots=True)
class FairShares:
    """Demand and grants of each workspace in the windows, in tokens."""

    window_s: float  # The window of the level.
    # Demand and grants in the window of the level.
    demand: dict[str, float] = field(default_factory=dict)
    granted: dict[str, float] = field(default_factory=dict)
    stale: bool = False  # Whether most peers' usage is extrapolated.
    level: float = float("inf")  # The fair-share level at the last refresh.
    # Grants in the fairness window and name of each workspace that is kept
    # waiting, least served first.
    waiting: tuple[tuple[float, str], ...] = ()
    _steps: deque[_Step] = field(default_factory=deque)
    _refreshed_s: float = float("-inf")
    _largest: float = 0.0  # The largest request here in the window.
    # Demand within `RECENT_S`, at the last refresh.
    _recent_demand: dict[str, float] = field(default_factory=dict)

    def add_demand(
        self,
        workspace: str,
        tokens: float,
        now_s: float,
        since_s: float | None = None,
    ) -> None:
        """Count the demand of requests, whether served or refused.

        :param workspace: the workspace's name
        :param tokens: the requests' quota tokens; negative: a correction
        :param now_s: the time
        :param since_s: the tokens are spread from then on; None: now
        """
        for step, part in self._spread(tokens, now_s, since_s):
            if since_s is None:
                step.largest = max(step.largest, tokens)
            _add(step.demand, workspace, part)
            if self._in_level_window(step):
                _add(self.demand, workspace, part)

    def add_grant(
        self,
        workspace: str,
        tokens: float,
        now_s: float,
        since_s: float | None = None,
    ) -> None:
        """Count requests that were sent to an engine.

        :param workspace: the workspace's name
        :param tokens: the requests' quota tokens; negative: a correction
        :param now_s: the time
        :param since_s: the tokens are spread from then on; None: now
        """
        for step, part in self._spread(tokens, now_s, since_s):
            _add(step.granted, workspace, part)
            if self._in_level_window(step):
                _add(self.granted, workspace, part)

    def used_share(self, workspace: str, tokens: float, now_s: float) -> float:
        """Return the used part of a share if one more request is granted.

        :param workspace: the workspace's name
        :param tokens: the quota tokens of that request
        :param now_s: the time
        :returns: 0 without grants, 1 at the share's limit, more beyond it
        """
        self._refresh(now_s)
        granted = self.granted.get(workspace, 0.0)
        if granted <= 0 or self.level <= 0:
            # Nothing was granted to anybody at the last refresh.
            return 0.0
        return (granted + tokens) / self.level

    def must_yield(
        self,
        workspace: str,
        tokens: float,
        now_s: float,
        spare_tokens_per_s: float = 0.0,
    ) -> bool:
        """Return whether a workspace must leave an engine to others.

        It need not if idle engines suffice for the others, too.

        :param workspace: the workspace's name
        :param tokens: the quota tokens of one more request
        :param now_s: the time
        :param spare_tokens_per_s: what the engines can do that would have
            nothing to do beside this request, in quota tokens per second
        """
        self._refresh(now_s)
        total = tokens + self._granted_lately(workspace)
        ratio = STALE_GRANT_RATIO if self.stale else MAX_GRANT_RATIO
        largest = max(self._largest, tokens)
        needed_per_s = 0.0
        for granted, name in self.waiting:
            tolerated = ratio * (granted + largest)
            if tolerated >= total:
                return False
            if name == workspace:
                continue
            if self._matched_demand(name, workspace, tokens) > tolerated:
                # Grants that were taken back count as unmet, too.
                recent = self._recent_demand.get(name, 0.0)
                needed_per_s += recent / RECENT_S
                if needed_per_s > spare_tokens_per_s:
                    return True
        return False

    def _matched_demand(self, name: str, other: str, tokens: float) -> float:
        """Return a workspace's demand up to the grants of another one.

        The lesser amount is taken second by second.

        :param name: the workspace whose demand counts
        :param other: the workspace whose grants count
        :param tokens: what the other one is to be granted now
        """
        total = 0.0
        demand, granted = 0.0, tokens
        for step in self._fairness_steps():
            demand += step.demand.get(name, 0.0)
            granted += step.granted.get(other, 0.0)
            if step.number % STEPS_PER_SECOND == 0:
                total += min(demand, granted)
                demand = granted = 0.0
        return total + min(demand, granted)

    def _granted_lately(self, workspace: str) -> float:
        """Return a workspace's grants in the fairness window."""
        return sum(
            step.granted.get(workspace, 0.0) for step in self._fairness_steps()
        )

    def _fairness_steps(self) -> Iterator[_Step]:
        """Return the steps of the fairness window, newest first."""
        count = 1 + round(FAIRNESS_WINDOW_S / STEP_S)
        return islice(reversed(self._steps), count)

    def _refresh(self, now_s: float) -> None:
        """Recalculate the level and who is kept waiting, if it is due."""
        self._advance(now_s)
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return
        self._refreshed_s = now_s
        self.level = fair_share_level(
            self.demand.values(), sum(self.granted.values())
        )
        self._largest = max(step.largest for step in self._fairness_steps())
        recent_count = 1 + round(RECENT_S / STEP_S)
        unmet: dict[str, float] = {}
        demand: dict[str, float] = {}
        for step in islice(reversed(self._steps), recent_count):
            for name, tokens in step.demand.items():
                demand[name] = demand.get(name, 0.0) + tokens
                unmet[name] = unmet.get(name, 0.0) + tokens
            for name, tokens in step.granted.items():
                unmet[name] = unmet.get(name, 0.0) - tokens
        self._recent_demand = demand
        self.waiting = tuple(
            sorted(
                (self._granted_lately(name), name)
                for name, tokens in unmet.items()
                if tokens >= MIN_TOKENS
            )
        )

    def _advance(self, now_s: float) -> None:
        """Begin the current step and drop those that left the windows."""
        number = int(now_s // STEP_S)
        steps = self._steps
        if steps and steps[-1].number >= number:
            return
        oldest = number - round(max(FAIRNESS_WINDOW_S, self.window_s) / STEP_S)
        first = max(oldest, steps[-1].number + 1) if steps else oldest
        steps.extend(_Step(each) for each in range(first, number + 1))
        while steps[0].number < oldest:
            steps.popleft()
        self.demand, self.granted = {}, {}
        for step in steps:
            if self._in_level_window(step):
                for name, tokens in step.demand.items():
                    _add(self.demand, name, tokens)
                for name, tokens in step.granted.items():
                    _add(self.granted, name, tokens)

    def _in_level_window(self, step: _Step) -> bool:
        """Return whether a step is in the window of the level."""
        age = self._steps[-1].number - step.number
        return age * STEP_S < self.window_s

    def _spread(
        self, tokens: float, now_s: float, since_s: float | None
    ) -> list[tuple[_Step, float]]:
        """Divide tokens among the steps from a time until now.

        What falls before the oldest step is left out.
        """
        self._advance(now_s)
        current = self._steps[-1]
        if since_s is None or since_s >= current.number * STEP_S:
            return [(current, tokens)]
        length_s = now_s - since_s
        parts = []
        end_s = now_s
        for step in reversed(self._steps):
            begin_s = max(since_s, step.number * STEP_S)
            if end_s > begin_s:
                parts.append((step, tokens * (end_s - begin_s) / length_s))
            if begin_s <= since_s:
                break
            end_s = begin_s
        return parts


def _add(totals: dict[str, float], workspace: str, amount: float) -> None:
    """Add an amount to a workspace's total; a total of 0 is removed."""
    total = totals.get(workspace, 0.0) + amount
    if abs(total) >= MIN_TOKENS:
        totals[workspace] = total
    else:
        totals.pop(workspace, None)
