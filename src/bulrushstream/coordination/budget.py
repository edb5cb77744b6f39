"""Bounds retries to a share of each workspace's requests.

Every admitted request deposits a part of a retry, and every retry takes a
whole one.  However many attempts fail, the retries of a workspace stay
below a fixed reserve plus that share, so that an overloaded fleet is not
loaded further by its own retries.  The pause before a retry is drawn by
*full jitter*: uniformly between zero and a limit that doubles with each
retry (Marc Brooker, "Exponential Backoff And Jitter", AWS Architecture
Blog, 2015).
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
    """How much may be retried, and when."""

    share: float = 0.1  # Retries per admitted request.
    reserve: float = 10.0  # Retries that a workspace starts with.
    base_s: float = 0.05  # The limit of the first pause.
    cap_s: float = 2.0  # The limit of every pause.


class RetryBudget:
    """The retries that each workspace has left."""

    options: BudgetOptions  # How much may be retried.

    def __init__(self, options: BudgetOptions) -> None:
        self.options = options
        self._left: OrderedDict[str, float] = OrderedDict()

    def deposit(self, workspace: str) -> None:
        """Count an admitted request."""
        left = self.left(workspace) + self.options.share
        self._left[workspace] = min(left, self.options.reserve)
        self._left.move_to_end(workspace)
        if len(self._left) > MAX_WORKSPACES:
            self._left.popitem(last=False)

    def withdraw(self, workspace: str) -> bool:
        """Take one retry; return whether there was one."""
        left = self.left(workspace)
        if left < 1.0:
            return False
        self._left[workspace] = left - 1.0
        return True

    def left(self, workspace: str) -> float:
        """Return how many retries a workspace has left."""
        return self._left.get(workspace, self.options.reserve)


def pause_s(options: BudgetOptions, rng: random.Random, retry: int) -> float:
    """Return how long to wait before a retry.

    :param options: the limits of the pause
    :param rng: the source of the jitter
    :param retry: the number of the retry, from 1
    :returns: the pause, in seconds
    """
    doublings = min(max(retry - 1, 0), MAX_DOUBLINGS)
    limit_s: float = min(options.cap_s, options.base_s * 2.0**doublings)
    return rng.uniform(0.0, limit_s)
