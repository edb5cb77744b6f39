"""How long a configuration may be trusted without a look at the store.

A router may run a request with a key only while it can prove that the key
was still valid not too long ago.  The *proof* is the time at which a read
that found nothing newer was sent.  A pending read proves nothing.  Times
are on a clock that also counts while the machine is suspended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Covers a clock that runs apart from the operator's, and the rounding of
# ages that peers tell.
MARGIN_S: Final = 0.25

NEVER: Final = float("-inf")


@dataclass(slots=True)
class Freshness:
    """Until when the configuration in force may be used."""

    limit_s: float  # How old a proof may be, as the platform demands.
    proven_s: float = NEVER  # When the last proof's read was sent.

    def prove(self, sent_s: float) -> None:
        """Take a proof.

        :param sent_s: when the read was sent that found nothing newer
        """
        self.proven_s = max(self.proven_s, sent_s)

    def age_s(self, now_s: float) -> float:
        """Return how old the newest proof is.

        :param now_s: the time on the same clock
        """
        return now_s - self.proven_s

    def holds(self, at_s: float) -> bool:
        """Return whether a request that came then may still run.

        :param at_s: when the router had read the request
        """
        return at_s - self.proven_s <= self.limit_s - MARGIN_S
