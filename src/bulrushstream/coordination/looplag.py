"""Whose requests a router turns away while its event loop is behind.

Callers of one workspace may crowd one router, whose processor time then does
not suffice: all requests wait before they are read, also those of others.  A
request that is turned away early costs little, and its caller tries another
router.  So while the loop is behind, the workspaces with the most requests
here are turned away.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.wakefulness import Wakefulness

# How often the lag is measured.
TICK_S: Final = 0.05

# The loop is behind if a timer is later than this.
MAX_LAG_S: Final = 0.15

# Requests are counted in steps of this length; two of them are looked at.
STEP_S: Final = 0.5

# A workspace crowds the router with this share of its requests, if there are
# at least so many.
CROWD_SHARE: Final = 0.3
MIN_REQUESTS: Final = 20


@dataclass(slots=True)
class LoopLag:
    """The lag of one router's event loop, and who uses it."""

    wakefulness: Wakefulness = field(default_factory=Wakefulness)
    lag_s: float = 0.0  # Of the last tick.
    longest_s: float = 0.0  # The longest one since the last report.
    turned_away: int = 0  # Requests, since the last report.
    _step: int = 0
    _counts: dict[str, int] = field(default_factory=dict)  # By workspace.
    _before: dict[str, int] = field(default_factory=dict)  # One step before.

    def tick(self, now_s: float) -> None:
        """Measure the lag; this is due every `TICK_S`.

        :param now_s: the time
        """
        self.lag_s = max(0.0, self.wakefulness.tick(now_s) - TICK_S)
        self.longest_s = max(self.longest_s, self.lag_s)

    def reported(self) -> None:
        """Start a new report."""
        self.longest_s, self.turned_away = 0.0, 0

    def turns_away(self, workspace: str, now_s: float) -> bool:
        """Count a request; return whether it is to be turned away.

        :param workspace: the request's workspace
        :param now_s: the time
        """
        step = int(now_s / STEP_S)
        if step != self._step:
            self._before = self._counts if step == self._step + 1 else {}
            self._counts = {}
            self._step = step
        count = self._counts.get(workspace, 0) + 1
        self._counts[workspace] = count
        # A tick that is overdue shows a lag that is not measured yet.
        unticked_s = self.wakefulness.unticked_s(now_s)
        lag_s = max(self.lag_s, unticked_s - TICK_S)
        if lag_s <= MAX_LAG_S:
            return False
        total = sum(self._counts.values()) + sum(self._before.values())
        count += self._before.get(workspace, 0)
        if count < CROWD_SHARE * max(total, MIN_REQUESTS):
            return False
        self.turned_away += 1
        return True
