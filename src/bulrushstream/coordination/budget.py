"""Retry budget: bounds retries to a share of each workspace's requests.

Every admitted request deposits a fraction of a retry, and every retry
withdraws a whole one.  However many attempts fail, the retries of a
workspace stay below a fixed reserve plus that share of its requests, so
that an overloaded fleet is not loaded further by its own retries.  The
backoff before a retry uses *full jitter*: it is drawn uniformly between
zero and a limit that doubles with each retry (Marc Brooker, "Exponential
Backoff And Jitter", AWS Architecture Blog, 2015).
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

MAX_WORKSPACES: Final = 10_000
MAX_DOUBLINGS: Final = 16


@dataclass(frozen=True, slots=True)
class BudgetOptions:
    """Limits of retries and of the backoff before them."""

    share: float = 0.1  # Retries per admitted request.
    reserve: float = 10.0  # The initial and largest balance, in retries.
    base_s: float = 0.05  # The limit of the first pause.
    cap_s: float = 2.0  # The limit of every pause.


class RetryBudget:
    """The remaining retries of each workspace."""

    options: BudgetOptions

    def __init__(self, options: BudgetOptions) -> None:
        self.options = options
        self._remaining: OrderedDict[str, float] = OrderedDict()

    def deposit(self, workspace: str) -> None:
        """Count an admitted request."""
        remaining = self.remaining(workspace) + self.options.share
        self._remaining[workspace] = min(remaining, self.options.reserve)
        self._remaining.move_to_end(workspace)
        if len(self._remaining) > MAX_WORKSPACES:
            self._remaining.popitem(last=False)

    def withdraw(self, workspace: str) -> bool:
        """Withdraw one retry; return whether one was available."""
        remaining = self.remaining(workspace)
        if remaining < 1.0:
            return False
        self._remaining[workspace] = remaining - 1.0
        return True

    def remaining(self, workspace: str) -> float:
        """Return the remaining retries of a workspace."""
        return self._remaining.get(workspace, self.options.reserve)


def pause_s(options: BudgetOptions, rng: random.Random, retry: int) -> float:
    """Return the pause before a retry.

    :param options: the limits of the pause
    :param rng: the source of the jitter
    :param retry: the number of the retry, from 1
    :returns: the pause, in seconds
    """
    doublings = min(max(retry - 1, 0), MAX_DOUBLINGS)
    limit_s: float = min(options.cap_s, options.base_s * 2.0**doublings)
    return rng.uniform(0.0, limit_s)
