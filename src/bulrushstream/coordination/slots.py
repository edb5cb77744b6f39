"""Adapts the number of requests in flight at a batching engine.

A batching engine accepts every request and queues those that it can not
run yet, and its queue is not fair between workspaces.  The limit therefore
grows by one while the engine runs all requests in flight, and shrinks by
the number of requests in the engine's queue.  Load reports lag, so after a
change reports are ignored until they can reflect it.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SlotLimit:
    """The adaptive number of slots of one endpoint."""

    min_limit: int = 1  # `Service.slots`.
    max_limit: int = 1  # `Service.max_slots`.
    limit: int = 1  # Requests in flight at most.
    ignore_until_s: float = 0.0  # Reports before then are ignored.
    was_full: bool = False  # Whether the limit was reached since a report.

    def configure(self, slots: int, max_slots: int) -> None:
        """Set the range of the limit.

        :param slots: The minimum, which is also the initial limit.
        :param max_slots: The maximum; 0: the same as `slots`.
        """
        low, high = slots, max(slots, max_slots)
        if (low, high) == (self.min_limit, self.max_limit):
            return
        self.min_limit, self.max_limit = low, high
        self.limit = min(max(self.limit, low), high)

    def record_in_flight(self, in_flight: int) -> None:
        """Record the number of requests in flight.

        :param in_flight: The number.
        """
        self.was_full = self.was_full or in_flight >= self.limit

    def adapt(
        self, running: int, waiting: int, now_s: float, lag_s: float
    ) -> None:
        """Adapt the limit to a load report.

        :param running: Requests that the engine runs.
        :param waiting: Requests in the engine's own queue.
        :param now_s: When the report arrived.
        :param lag_s: Greatest age of a report.
        """
        if now_s < self.ignore_until_s:
            return
        # An engine that runs fewer requests than the limit may be about to
        # queue some, so the limit does not grow then.
        growing = self.was_full and waiting == 0 and running >= self.limit
        target = self.limit + 1 if growing else self.limit - waiting
        target = min(max(target, self.min_limit), self.max_limit)
        self.was_full = False
        if target != self.limit:
            self.limit = target
            self.ignore_until_s = now_s + lag_s
