"""Since when a router's process has run without a pause.

A process that stands still, as it is stopped or its machine is suspended,
hears nothing.  When it goes on, timers run before what has arrived is read.
So nothing is silent or late for what was not heard in a pause, and the time
for it counts from the end of the pause.  The event loop's clock may stop
while the machine is suspended, so that a clock that does not is read, too.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# A gap between two ticks that is longer is a pause; less than any silence
# that means something, and several times the interval of ticks.
PAUSE_S: Final = 0.2


@dataclass(slots=True)
class Wakefulness:
    """When one router's process ticked, and when it last stood still."""

    # The time also while suspended, in seconds; without it no suspension of
    # the machine is found in which the other clock stops.
    boot_clock: Callable[[], float] = lambda: 0.0
    _ticked_s: float = float("inf")  # The last tick; infinity: none yet.
    _awake_since_s: float = float("-inf")  # The end of the last pause.
    # When the process was last known to run, on the other clock.
    _seen_boot_s: float = float("inf")

    def tick(self, now_s: float) -> float:
        """Record that the process runs; this is due often.

        :param now_s: the time
        :returns: the time since the last tick; negative: there was none
        """
        gap_s = self.unticked_s(now_s)
        self.awake_since_s(now_s)
        self._ticked_s, self._seen_boot_s = now_s, self.boot_clock()
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
        gap_s = now_s - max(self._ticked_s, self._awake_since_s)
        if gap_s > PAUSE_S or self.boot_clock() - self._seen_boot_s > PAUSE_S:
            self._awake_since_s = now_s
            self._seen_boot_s = self.boot_clock()
        return self._awake_since_s

    def counts_from_s(self, since_s: float, now_s: float) -> float:
        """Return from when on a silence that began at a time counts.

        :param since_s: when something was last heard, or a wait began
        :param now_s: the time
        """
        return max(since_s, self.awake_since_s(now_s))
