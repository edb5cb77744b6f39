"""Max-min fair shares of the fleet's throughput in a sliding window.

In each window, every workspace is entitled to its demand up to a common
level, and the level is as high as the fleet's throughput allows: *max-min
fairness* (Bertsekas and Gallager, "Data Networks", 1992).  A request that
its workspace's share covers is *within share*; the rest is *surplus* and
is served from capacity that no request within its share needs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

# While another workspace is underserved, a workspace may be granted at most
# this many times the larger of the share and that workspace's grant.  The
# platform's rule allows twice as much.
MAX_SURPLUS_RATIO: Final = 1.8

# A workspace that was granted less than this part of its demand counts as
# underserved, by the platform's rule.
UNMET_DEMAND_SHARE: Final = 0.5

# The number of steps in which the window slides.
WINDOW_STEPS: Final = 8


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
    """Demand and grants in one step of the window, in tokens."""

    start_s: float
    demand: dict[str, float] = field(default_factory=dict)
    granted: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class FairShares:
    """Demand and grants of each workspace in the window, in tokens."""

    window_s: float
    tokens_per_s: float = 0.0  # The fleet's throughput; 0: unknown.
    slack_tokens: float = 0.0  # Capacity of a window beyond throughput.
    demand: dict[str, float] = field(default_factory=dict)
    granted: dict[str, float] = field(default_factory=dict)
    level: float = float("inf")  # The fair-share level at the last step.
    # Grant and name of the two least served workspaces that demand more
    # than their share and have unmet demand, least served first.
    underserved: tuple[tuple[float, str], ...] = ()
    _steps: deque[_Step] = field(default_factory=deque)

    def add_demand(self, workspace: str, tokens: float, now_s: float) -> None:
        """Count the demand of a request, whether it is served or refused.

        :param workspace: the workspace's name
        :param tokens: the request's quota tokens
        :param now_s: the time
        """
        _add(self.demand, self._current_step(now_s).demand, workspace, tokens)

    def add_grant(self, workspace: str, tokens: float, now_s: float) -> None:
        """Count a request that was sent to an engine.

        :param workspace: the workspace's name
        :param tokens: the request's quota tokens
        :param now_s: the time
        """
        _add(
            self.granted, self._current_step(now_s).granted, workspace, tokens
        )

    def used_share(self, workspace: str, tokens: float, now_s: float) -> float:
        """Return the used part of a share if one more request is granted.

        :param workspace: the workspace's name
        :param tokens: the quota tokens of that request
        :param now_s: the time
        :returns: 0 without grants, 1 at the share's limit, more beyond it
        """
        if self.tokens_per_s <= 0:
            return 0.0
        self._current_step(now_s)
        granted = self.granted.get(workspace, 0.0)
        if granted <= 0:
            return 0.0
        return (granted + tokens) / self.level

    def must_yield(self, workspace: str, tokens: float, now_s: float) -> bool:
        """Return whether a workspace must leave the surplus to others.

        :param workspace: the workspace's name
        :param tokens: the quota tokens of one more request
        :param now_s: the time
        """
        self._current_step(now_s)
        granted = self.granted.get(workspace, 0.0) + tokens
        others = [
            least for least, name in self.underserved if name != workspace
        ]
        if granted <= self.level or not others:
            return False
        return granted > MAX_SURPLUS_RATIO * max(self.level, others[0])

    def _current_step(self, now_s: float) -> _Step:
        """Return the current step; begin a new one if it is over."""
        length_s = self.window_s / WINDOW_STEPS
        if self._steps and now_s - self._steps[-1].start_s < length_s:
            return self._steps[-1]
        while self._steps and self._steps[0].start_s < now_s - self.window_s:
            old = self._steps.popleft()
            _subtract(self.demand, old.demand)
            _subtract(self.granted, old.granted)
        self.level = fair_share_level(
            self.demand.values(),
            self.tokens_per_s * self.window_s + self.slack_tokens,
        )
        unmet = [
            (granted, name)
            for name, demand in self.demand.items()
            if demand > self.level
            and (granted := self.granted.get(name, 0.0))
            < UNMET_DEMAND_SHARE * demand
        ]
        self.underserved = tuple(sorted(unmet)[:2])
        self._steps.append(_Step(now_s))
        return self._steps[-1]


def _add(
    totals: dict[str, float],
    step_totals: dict[str, float],
    workspace: str,
    amount: float,
) -> None:
    """Add an amount to a step and to the window's totals."""
    step_totals[workspace] = step_totals.get(workspace, 0.0) + amount
    totals[workspace] = totals.get(workspace, 0.0) + amount


def _subtract(totals: dict[str, float], step_totals: dict[str, float]) -> None:
    """Subtract a step's amounts from the window's totals."""
    for workspace, amount in step_totals.items():
        remaining = totals.get(workspace, 0.0) - amount
        if remaining <= 0.5:
            totals.pop(workspace, None)
        else:
            totals[workspace] = remaining
