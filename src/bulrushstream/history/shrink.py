"""Shrink a failing plan by leaving out parts that do not matter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Final, Generic, TypeVar

from bulrushstream.history.plan import Conditions, Plan
from bulrushstream.history.routingplan import RoutingPlan

MAX_TRIALS: Final = 300  # Limits the time that shrinking takes.

_Item = TypeVar("_Item")
_Plan = TypeVar("_Plan")


def shrink(
    plan: Plan, fails: Callable[[Plan], bool], max_trials: int = MAX_TRIALS
) -> Plan:
    """Return a smaller plan that still fails.

    Calls and faults are left out in halves, then quarters, down to single
    ones (delta debugging; Zeller and Hildebrandt, 2002, the complement
    step).  Message and log errors are left out if the plan still fails.

    :param plan: a plan that fails.
    :param fails: whether a plan still fails in the same way.
    :param max_trials: the maximum number of plans to try.
    :returns: the smallest failing plan that was found.
    """
    budget = _TrialBudget(fails, max_trials)
    without_errors = replace(plan, conditions=Conditions())
    if budget.fails(without_errors):
        plan = without_errors
    faults = _reduce(
        plan.faults, lambda rest: budget.fails(replace(plan, faults=rest))
    )
    plan = replace(plan, faults=faults)
    calls = _reduce(
        plan.calls, lambda rest: budget.fails(replace(plan, calls=rest))
    )
    return replace(plan, calls=calls)


def shrink_routing(
    plan: RoutingPlan,
    fails: Callable[[RoutingPlan], bool],
    max_trials: int = MAX_TRIALS,
) -> RoutingPlan:
    """Return a smaller plan of front-end routers that still fails.

    :param plan: a plan that fails.
    :param fails: whether a plan still fails in the same way.
    :param max_trials: the maximum number of plans to try.
    :returns: the smallest failing plan that was found.
    """
    budget = _TrialBudget(fails, max_trials)
    faults = _reduce(
        plan.faults, lambda rest: budget.fails(replace(plan, faults=rest))
    )
    plan = replace(plan, faults=faults)
    requests = _reduce(
        plan.requests, lambda rest: budget.fails(replace(plan, requests=rest))
    )
    return replace(plan, requests=requests)


class _TrialBudget(Generic[_Plan]):
    """Runs a limited number of trials; further plans count as passing."""

    remaining_trials: int
    _fails: Callable[[_Plan], bool]  # Runs one trial.

    def __init__(self, fails: Callable[[_Plan], bool], trials: int) -> None:
        """Start with the maximum number of trials."""
        self._fails = fails
        self.remaining_trials = trials

    def fails(self, plan: _Plan) -> bool:
        """Return whether a plan fails; False if no trials remain."""
        if self.remaining_trials == 0:
            return False
        self.remaining_trials -= 1
        return self._fails(plan)


def _reduce(
    items: tuple[_Item, ...], fails: Callable[[tuple[_Item, ...]], bool]
) -> tuple[_Item, ...]:
    """Return a smaller selection of items that still fails."""
    size = max(1, len(items) // 2)
    while items:
        start = 0
        while start < len(items):
            rest = items[:start] + items[start + size :]
            if fails(rest):
                items = rest
            else:
                start += size
        if size == 1:
            break
        size //= 2
    return items
