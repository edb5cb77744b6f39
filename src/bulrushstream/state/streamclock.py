"""The time of a log stream, as every reader of it can tell.

Records carry the time at which they were appended, on a clock that all
readers share: the latest time that any record of the stream carries.  A
reader's estimate of it runs on with its own clock and never falls behind
what it has read, so no wall clock is needed and no reader's estimate runs
faster than time does.  For a reader that has read nothing the stream's
time begins when it first asks.
"""

from __future__ import annotations


class StreamClock:
    """One reader's view of a stream's time."""

    time_ms: int  # The latest time that a record carried.

    def __init__(self) -> None:
        self.time_ms = 0
        self._ahead_ms: int | None = None

    def read(self, at_ms: int, now_s: float) -> None:
        """Take the time of a record.

        :param at_ms: the time that the record carries
        :param now_s: when it was read, on the reader's own clock
        """
        self.time_ms = max(self.time_ms, at_ms)
        ahead_ms = self._ahead(now_s)
        self._ahead_ms = max(ahead_ms, at_ms - int(now_s * 1000))

    def now_ms(self, now_s: float) -> int:
        """Return the estimate of the stream's time.

        :param now_s: the time on the reader's own clock
        :returns: the stream's time, in milliseconds
        """
        return max(self.time_ms, int(now_s * 1000) + self._ahead(now_s))

    def _ahead(self, now_s: float) -> int:
        """Return by how much the stream's time is ahead of the reader's."""
        if self._ahead_ms is None:
            self._ahead_ms = -int(now_s * 1000)
        return self._ahead_ms
