"""Since when a router's process has run without a pause.

A process that stands still, as it is stopped or its machine is suspended,
hears nothing.  When it goes on, timers run before what has arrived is read.
So nothing is silent or late for what was not heard in a pause, and the time
for it counts from the end of the pause.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# A gap between two ticks that is longer is a pause; less than any silence
# that means something, and several times the interval of ticks.
PAUSE_S: Final = 0.2


@dataclass(slots=True)
class Wakefulness:
    """When one router's process ticked, and when it last stood still."""

    _ticked_s: float = float("inf")  # The last tick; infinity: none yet.
    _awake_since_s: float = float("-inf")  # The end of the last pause.

    def tick(self, now_s: float) -> float:
        """Record that the process runs; this is due often.

        :param now_s: the time
        :returns: the time since the last tick; negative: there was none
        """
        gap_s = self.unticked_s(now_s)
        self.awake_since_s(now_s)
        self._ticked_s = now_s
        return gap_s

    def unticked_s(self, now_s: float) -> float:
        """Return the time since the last tick; negative: there was none.

        :param now_s: the time
        """
        return now_s - self._ticked_s

    def awake_since_s(self, now_s: float) -> float:
        """Return the end of the last pause; minus infinity: there was none.

        Any timer may be the first to run after it.

        :param now_s: the time
        """
        if now_s - max(self._ticked_s, self._awake_since_s) > PAUSE_S:
            self._awake_since_s = now_s
        return self._awake_since_s

    def counts_from_s(self, since_s: float, now_s: float) -> float:
        """Return from when on a silence that began at a time counts.

        :param since_s: when something was last heard, or a wait began
        :param now_s: the time
        """
        return max(since_s, self.awake_since_s(now_s))
