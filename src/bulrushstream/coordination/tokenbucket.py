"""A token bucket that several routers take tokens from.

Each router keeps its own copy and counts the requests of all routers that it
knows of.  What routers take at the same moment leaves a debt, which later
tokens make up for.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """The tokens that are left, at a time."""

    level: float  # Tokens; negative: debt.
    filled_s: float  # The time of `level`.

    def fill(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Add the tokens since the bucket was last filled.

        :param rate_per_s: the tokens a second
        :param capacity: the largest number of tokens
        :param now_s: the time
        """
        elapsed_s = max(0.0, now_s - self.filled_s)
        tokens = elapsed_s * rate_per_s
        self.level = min(capacity, self.level + tokens)
        self.filled_s = now_s

    def take(self, max_debt: float) -> None:
        """Take a token, also if there is none.

        :param max_debt: the largest debt
        """
        self.level = max(-max_debt, self.level - 1.0)

    def missing(self, needed: float) -> float:
        """Return how many tokens are missing; 0 or below: none.

        :param needed: the tokens that are needed
        """
        return needed - self.level
