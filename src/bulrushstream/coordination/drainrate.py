"""Drain rates of queues, and the Retry-After of refused callers.

The rate of a queue is an exponentially weighted average of its departures.
A refused caller should retry after the time in which the queue drains at
that rate, with jitter so that the callers do not all return at once.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from typing import Final

from bulrushstream.state.queues import QueueKey

MAX_QUEUES: Final = 10_000
TIME_CONSTANT_S: Final = 10.0
MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0
JITTER: Final = 0.2


class DrainRate:
    """The departures per second of each queue."""

    def __init__(self) -> None:
        # Rate and time of the last departure.
        self._rates: OrderedDict[QueueKey, tuple[float, float]] = OrderedDict()

    def record_departure(self, key: QueueKey, now_s: float) -> None:
        """Count one departure from a queue.

        :param key: the queue
        :param now_s: the time on the core's clock
        """
        rate = self.rate(key, now_s) + 1.0 / TIME_CONSTANT_S
        self._rates[key] = (rate, now_s)
        self._rates.move_to_end(key)
        if len(self._rates) > MAX_QUEUES:
            self._rates.popitem(last=False)

    def rate(self, key: QueueKey, now_s: float) -> float:
        """Return the departures per second of a queue."""
        rate, updated_s = self._rates.get(key, (0.0, now_s))
        return rate * math.exp((updated_s - now_s) / TIME_CONSTANT_S)

    def retry_after_s(
        self, key: QueueKey, waiting: int, rng: random.Random, now_s: float
    ) -> float:
        """Return the time after which a refused caller should retry.

        :param key: the queue that refused it
        :param waiting: the number of requests in that queue
        :param rng: the source of the jitter
        :param now_s: the time on the core's clock
        :returns: the time from now, in seconds
        """
        rate = self.rate(key, now_s)
        if rate * MAX_RETRY_AFTER_S <= waiting:
            wait_s = MAX_RETRY_AFTER_S if waiting else MIN_RETRY_AFTER_S
        else:
            wait_s = waiting / rate if rate else MIN_RETRY_AFTER_S
        wait_s *= 1.0 + rng.uniform(0.0, JITTER)
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
