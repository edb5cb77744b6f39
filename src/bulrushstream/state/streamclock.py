"""A clock shared by all readers of a log stream.

Each record carries the time at which it was appended.  The stream's time is
the latest time of any of its records.  Between records, a reader's estimate
advances with the reader's own clock, and it is never behind a record that
was read.  So no wall clock is needed, and no estimate runs faster than real
time.  For a reader that has read no record, the stream's time starts at 0
when the reader first uses the clock.
"""

from __future__ import annotations


class StreamClock:
    """One reader's estimate of a stream's time."""

    time_ms: int  # The latest time of a record.

    def __init__(self) -> None:
        self.time_ms = 0
        self._offset_ms: int | None = None

    def observe(self, at_ms: int, now_s: float) -> None:
        """Advance the clock to the time of a record.

        :param at_ms: the record's time
        :param now_s: when it was read, on the reader's own clock
        """
        self.time_ms = max(self.time_ms, at_ms)
        offset_ms = self._offset(now_s)
        self._offset_ms = max(offset_ms, at_ms - int(now_s * 1000))

    def now_ms(self, now_s: float) -> int:
        """Return the estimate of the stream's time.

        :param now_s: the time on the reader's own clock
        :returns: the stream's time, in milliseconds
        """
        return max(self.time_ms, int(now_s * 1000) + self._offset(now_s))

    def _offset(self, now_s: float) -> int:
        """Return the stream's time minus the reader's, in milliseconds."""
        if self._offset_ms is None:
            self._offset_ms = -int(now_s * 1000)
        return self._offset_ms
