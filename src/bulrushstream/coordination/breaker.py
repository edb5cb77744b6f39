"""A circuit breaker for one endpoint.

Consecutive failures *open* the breaker: the agent pulls no requests.
After a pause it is *half open* and lets one request through as a probe;
success closes it, failure opens it for a longer pause.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Final

MAX_DOUBLINGS: Final = 16


class BreakerPhase(StrEnum):
    """How many requests may run on an endpoint."""

    CLOSED = "closed"  # As many as there are slots.
    HALF_OPEN = "half-open"  # One, as a probe.
    OPEN = "open"  # None.


@dataclass(frozen=True, slots=True)
class BreakerOptions:
    """When a breaker opens and for how long."""

    failure_limit: int = 3  # Consecutive failures that open it.
    pause_s: float = 1.0  # The first pause before a probe.
    max_pause_s: float = 30.0  # The longest pause.


@dataclass(slots=True)
class Breaker:
    """The state of one breaker."""

    options: BreakerOptions
    failures: int = 0  # Failures since the last success.
    retry_at_s: float = 0.0  # The time of the next probe; set while open.

    def phase(self, now_s: float) -> BreakerPhase:
        """Return the breaker's phase at this time.

        :param now_s: The time.
        """
        if self.failures < self.options.failure_limit:
            return BreakerPhase.CLOSED
        if now_s >= self.retry_at_s:
            return BreakerPhase.HALF_OPEN
        return BreakerPhase.OPEN

    def succeed(self) -> None:
        """Record that the endpoint answered."""
        self.failures = 0

    def fail(self, now_s: float, rng: Random) -> None:
        """Record that the endpoint could not be reached or crashed.

        :param now_s: The time of the failure.
        :param rng: The source of the jitter that spreads many agents'
            probes.
        """
        # Requests that were running when the breaker opened fail for the
        # same reason and must not lengthen the pause.
        if self.phase(now_s) is BreakerPhase.OPEN:
            return
        self.failures += 1
        doublings = self.failures - self.options.failure_limit
        if doublings < 0:
            return
        pause_s = self.options.pause_s * 2 ** min(doublings, MAX_DOUBLINGS)
        pause_s = min(pause_s, self.options.max_pause_s)
        self.retry_at_s = now_s + pause_s * rng.uniform(0.75, 1.25)
