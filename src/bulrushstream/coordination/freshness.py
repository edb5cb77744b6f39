"""Limits the age of a configuration that authenticates requests.

A router may run a request with an API key only if the store recently
confirmed that the router's configuration, and so the key, is still valid.
A *confirmation* is a completed read of the store that found nothing newer;
it counts from the time at which the read was sent, and a pending read does
not count.  All times are on a clock that also advances while the machine is
suspended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Covers clock drift relative to the operator's clock, and the rounding of
# the ages that peers report.
MARGIN_S: Final = 0.25

NEVER: Final = float("-inf")


@dataclass(slots=True)
class Freshness:
    """The age of the current configuration's latest confirmation."""

    max_age_s: float  # Of a confirmation; a limit set by the platform.
    confirmed_s: float = NEVER  # When the confirming read was sent.

    def confirm(self, sent_s: float) -> None:
        """Record a confirmation.

        :param sent_s: when the read that found nothing newer was sent
        """
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the latest confirmation.

        :param now_s: the time on the same clock
        """
        return now_s - self.confirmed_s

    def is_fresh_at(self, at_s: float) -> bool:
        """Return whether a request that was read at a given time may run.

        :param at_s: when the router had read the request
        """
        return at_s - self.confirmed_s <= self.max_age_s - MARGIN_S
