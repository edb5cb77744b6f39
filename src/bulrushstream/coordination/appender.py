"""Appends records to one stream of the log in groups.

While an append is under way, new records gather and then go out together
(*group commit*), so the rate of appends does not grow with the rate of
records.  An append whose answer is lost is made again with the same
records; whoever reads them must therefore take a record that stands twice
for one.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

RecordT = TypeVar("RecordT")


@dataclass(frozen=True, slots=True)
class AppenderOptions:
    """The limits of appending to one stream."""

    interval_s: float = 0.0  # The least time between two appends.
    max_records: int = 256  # The most records in one append.
    max_waiting: int = 10_000  # The most records that wait.
    retry_base_s: float = 0.1  # The first limit of the retry pause.
    retry_cap_s: float = 5.0  # The last limit of the retry pause.


class Appender(Generic[RecordT]):
    """Records on their way to a stream."""

    options: AppenderOptions  # The limits.
    token: int | None  # The append that is under way.
    failures: int  # Appends that failed since one succeeded.

    def __init__(self, options: AppenderOptions) -> None:
        self.options = options
        self.token = None
        self.failures = 0
        self._waiting: deque[RecordT] = deque()
        self._sent: tuple[RecordT, ...] = ()
        self._next_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._sent)

    def add(self, record: RecordT) -> bool:
        """Add a record; return whether there was room for it."""
        if len(self) >= self.options.max_waiting:
            return False
        self._waiting.append(record)
        return True

    def discard(self, record: RecordT) -> bool:
        """Take a record back; return whether it was never sent."""
        if record not in self._waiting:
            return False
        self._waiting.remove(record)
        return True

    def due_s(self) -> float | None:
        """Return when the next append may go out; None if none waits."""
        if not (self._waiting or self._sent) or self.token is not None:
            return None
        return self._next_s

    def take(
        self, token: int, now_s: float, interval_s: float
    ) -> tuple[RecordT, ...]:
        """Start the next append.

        :param token: names the append
        :param now_s: the time on the core's clock
        :param interval_s: the least time to the append after it
        :returns: its records; empty if none may go out now
        """
        due_s = self.due_s()
        if due_s is None or due_s > now_s:
            return ()
        if not self._sent:
            count = min(len(self._waiting), self.options.max_records)
            self._sent = tuple(self._waiting.popleft() for _ in range(count))
        self.token = token
        self._next_s = now_s + max(interval_s, self.options.interval_s)
        return self._sent

    def appended(self, token: int) -> None:
        """Note that an append was acknowledged."""
        if token != self.token:
            return
        self.token = None
        self.failures = 0
        self._sent = ()

    def failed(self, token: int, rng: random.Random, now_s: float) -> None:
        """Note that an append has no answer, and make it again later.

        :param token: names the append
        :param rng: the source of the jitter
        :param now_s: the time on the core's clock
        """
        if token != self.token:
            return
        self.token = None
        self.failures += 1
        doublings = min(self.failures - 1, 16)
        limit_s = self.options.retry_base_s * 2.0**doublings
        pause_s = rng.uniform(0.0, min(limit_s, self.options.retry_cap_s))
        self._next_s = max(self._next_s, now_s + pause_s)
