"""A queue of timers, the earliest first.

Each timer has a key.  Setting a key again moves its timer.  The old entry
stays in the heap and is dropped when it reaches the top.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)


class Timers(Generic[KeyT]):
    """Pending timers by key."""

    def __init__(self) -> None:
        self._due: dict[KeyT, float] = {}
        self._heap: list[tuple[float, int, KeyT]] = []
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._due)

    def set(self, key: KeyT, at_s: float) -> None:
        """Set a key's timer, replacing an earlier setting."""
        if self._due.get(key) == at_s:
            return
        self._due[key] = at_s
        self._push_count += 1
        heapq.heappush(self._heap, (at_s, self._push_count, key))

    def set_earliest(self, key: KeyT, at_s: float) -> None:
        """Set a key's timer unless it is already due earlier."""
        if self._due.get(key, at_s) >= at_s:
            self.set(key, at_s)

    def cancel(self, key: KeyT) -> None:
        """Remove a key's timer, if there is one."""
        self._due.pop(key, None)

    def pop_due(self, now_s: float) -> KeyT | None:
        """Remove the earliest timer that is due and return its key.

        :param now_s: the current time, on the clock of the timers
        :returns: the key, or None if no timer is due
        """
        while (at_s := self.next_s()) is not None and at_s <= now_s:
            key = heapq.heappop(self._heap)[2]
            del self._due[key]
            return key
        return None

    def next_s(self) -> float | None:
        """Return when the earliest timer is due; None if there is none."""
        while self._heap:
            at_s, _, key = self._heap[0]
            if self._due.get(key) == at_s:
                return at_s
            heapq.heappop(self._heap)
        return None
