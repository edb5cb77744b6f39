"""Appends records to one stream of the log in batches.

While an append is in flight, new records are queued and then appended
together (*group commit*), so the rate of appends does not grow with the
rate of records.  An append that fails or is not answered is retried with
the same records.  Records can therefore appear twice in the stream, and
readers must ignore duplicates.
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

    interval_s: float = 0.0  # Minimum, between two appends.
    max_records: int = 256  # Per append.
    max_waiting: int = 10_000  # Queued and in-flight records.
    retry_base_s: float = 0.1  # Upper bound of the first backoff.
    retry_cap_s: float = 5.0  # Upper bound of all backoffs.


class Appender(Generic[RecordT]):
    """The queue of records to append to one stream."""

    options: AppenderOptions
    token: int | None  # Of the append in flight.
    failures: int  # Failed appends in a row.

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
        """Queue a record; return False if the queue is full."""
        if len(self) >= self.options.max_waiting:
            return False
        self._waiting.append(record)
        return True

    def discard(self, record: RecordT) -> bool:
        """Remove a queued record; return False if it was sent before."""
        if record not in self._waiting:
            return False
        self._waiting.remove(record)
        return True

    def due_s(self) -> float | None:
        """Return when the next append may start; None if none is due."""
        if not (self._waiting or self._sent) or self.token is not None:
            return None
        return self._next_s

    def start_append(
        self, token: int, now_s: float, interval_s: float
    ) -> tuple[RecordT, ...]:
        """Start the next append.

        :param token: identifies the append
        :param now_s: the time on the core's clock
        :param interval_s: the minimum time until the following append
        :returns: its records; empty if no append may start now
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
        """Drop the records of an append that was acknowledged."""
        if token != self.token:
            return
        self.token = None
        self.failures = 0
        self._sent = ()

    def failed(self, token: int, rng: random.Random, now_s: float) -> None:
        """Schedule the retry of an append that failed or was not answered.

        :param token: identifies the append
        :param rng: for the jitter of the backoff
        :param now_s: the time on the core's clock
        """
        if token != self.token:
            return
        self.token = None
        self.failures += 1
        doublings = min(self.failures - 1, 16)
        limit_s = self.options.retry_base_s * 2.0**doublings
        backoff_s = rng.uniform(0.0, min(limit_s, self.options.retry_cap_s))
        self._next_s = max(self._next_s, now_s + backoff_s)
