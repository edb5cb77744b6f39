"""Times at which something is due, the earliest first.

Each timer has a key.  Setting a key again moves its timer; stale heap
entries are dropped when they come up.
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
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._due)

    def set(self, key: KeyT, at_s: float) -> None:
        """Let a key be due at a time, and at no other."""
        if self._due.get(key) == at_s:
            return
        self._due[key] = at_s
        self._pushed += 1
        heapq.heappush(self._heap, (at_s, self._pushed, key))

    def set_sooner(self, key: KeyT, at_s: float) -> None:
        """Let a key be due at a time unless it is due earlier."""
        if self._due.get(key, at_s) >= at_s:
            self.set(key, at_s)

    def cancel(self, key: KeyT) -> None:
        """Forget a key."""
        self._due.pop(key, None)

    def pop_due(self, now_s: float) -> KeyT | None:
        """Take one key that is due.

        :param now_s: the time on the same clock
        :returns: a key, or None if none is due
        """
        while (at_s := self.next_s()) is not None and at_s <= now_s:
            key = heapq.heappop(self._heap)[2]
            del self._due[key]
            return key
        return None

    def next_s(self) -> float | None:
        """Return when the earliest timer is due."""
        while self._heap:
            at_s, _, key = self._heap[0]
            if self._due.get(key) == at_s:
                return at_s
            heapq.heappop(self._heap)
        return None
