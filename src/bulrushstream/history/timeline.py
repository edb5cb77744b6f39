"""Virtual time: actions that are due at times, run in their order."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

Action: TypeAlias = Callable[[], None]


@dataclass(frozen=True, slots=True, order=True)
class _Due:
    """One action that waits for its time."""

    at_s: float  # When it is due.
    number: int  # Keeps actions of one time in the order of their calls.
    action: Action = field(compare=False)  # What to do.


@dataclass(slots=True)
class Timeline:
    """A clock that moves only from one due action to the next."""

    now_s: float = 0.0  # The time.
    steps: int = 0  # How many actions were run.
    _due: list[_Due] = field(default_factory=list)  # A heap.
    _number: int = 0  # The number of the last action.

    def after(self, delay_s: float, action: Action) -> None:
        """Run an action when a delay has passed.

        :param delay_s: the delay; below zero counts as zero.
        :param action: what to do.
        """
        self._number += 1
        at_s = self.now_s + max(0.0, delay_s)
        heapq.heappush(self._due, _Due(at_s, self._number, action))

    def run_until(self, end_s: float) -> None:
        """Run every action that is due by a time, then stand there.

        :param end_s: where to stop.
        """
        while self._due and self._due[0].at_s <= end_s:
            due = heapq.heappop(self._due)
            self.now_s = due.at_s
            self.steps += 1
            due.action()
        self.now_s = max(self.now_s, end_s)
