"""A circuit breaker for one endpoint.

Failures in a row *open* the breaker: the agent takes no work.  After a
pause it is *half open* and lets one request through as a probe; success
closes it, failure opens it for a longer pause.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Final

MAX_DOUBLINGS: Final = 16


class BreakerPhase(StrEnum):
    """Whether an endpoint takes requests."""

    CLOSED = "closed"  # As many as there are slots.
    HALF_OPEN = "half-open"  # One, as a probe.
    OPEN = "open"  # None.


@dataclass(frozen=True, slots=True)
class BreakerOptions:
    """When a breaker opens and for how long."""

    failure_limit: int = 3  # Failures in a row that open it.
    pause_s: float = 1.0  # The first pause before a probe.
    max_pause_s: float = 30.0  # The longest pause.


@dataclass(slots=True)
class Breaker:
    """The state of one breaker."""

    options: BreakerOptions  # Its limits.
    failures: int = 0  # Failures since the last success.
    retry_at_s: float = 0.0  # When a probe may go; set while open.

    def phase(self, now_s: float) -> BreakerPhase:
        """Return whether the endpoint takes requests at this time.

        :param now_s: The time.
        """
        if self.failures < self.options.failure_limit:
            return BreakerPhase.CLOSED
        if now_s >= self.retry_at_s:
            return BreakerPhase.HALF_OPEN
        return BreakerPhase.OPEN

    def succeed(self) -> None:
        """Note that the endpoint answered."""
        self.failures = 0

    def fail(self, now_s: float, rng: Random) -> None:
        """Note that the endpoint could not be reached or went down.

        :param now_s: The time of the failure.
        :param rng: Spreads the probes of many agents.
        """
        # Failures of requests that were running when it opened tell
        # nothing new and must not lengthen the pause.
        if self.phase(now_s) is BreakerPhase.OPEN:
            return
        self.failures += 1
        over = self.failures - self.options.failure_limit
        if over < 0:
            return
        pause_s = self.options.pause_s * 2 ** min(over, MAX_DOUBLINGS)
        pause_s = min(pause_s, self.options.max_pause_s)
        self.retry_at_s = now_s + pause_s * rng.uniform(0.75, 1.25)
