"""How many requests to keep in flight at a batching engine.

An engine that batches admits what it is sent and queues the rest itself,
where no fair pick is made any more.  The limit therefore grows by one
while the engine runs all that it was sent, and shrinks by what the engine
has queued.  Its load report lags, so after each change reports are ignored
until one can show the change.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SlotLimit:
    """The adapted number of slots of one endpoint."""

    low: int = 1  # The least, `Service.slots`.
    high: int = 1  # The most, `Service.max_slots`.
    limit: int = 1  # Requests in flight at most.
    settled_at_s: float = 0.0  # When reports count again.
    was_full: bool = False  # Whether all slots were used since a report.

    def configure(self, slots: int, max_slots: int) -> None:
        """Set the range.

        :param slots: The least and first limit.
        :param max_slots: The greatest limit; 0 keeps it at `slots`.
        """
        low, high = slots, max(slots, max_slots)
        if (low, high) == (self.low, self.high):
            return
        self.low, self.high = low, high
        self.limit = min(max(self.limit, low), high)

    def use(self, in_flight: int) -> None:
        """Note how many requests are in flight.

        :param in_flight: How many.
        """
        self.was_full = self.was_full or in_flight >= self.limit

    def report(
        self, running: int, waiting: int, now_s: float, lag_s: float
    ) -> None:
        """Adapt the limit to a load report.

        :param running: Requests that the engine works on.
        :param waiting: Requests that it has queued itself.
        :param now_s: When the report arrived.
        :param lag_s: How old a report may be.
        """
        if now_s < self.settled_at_s:
            return
        # An engine that runs fewer than it was sent may be about to queue.
        growing = self.was_full and waiting == 0 and running >= self.limit
        target = self.limit + 1 if growing else self.limit - waiting
        target = min(max(target, self.low), self.high)
        self.was_full = False
        if target != self.limit:
            self.limit = target
            self.settled_at_s = now_s + lag_s
