"""Virtual time: scheduled actions, run in order of time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

Action: TypeAlias = Callable[[], None]


@dataclass(frozen=True, slots=True, order=True)
class _ScheduledAction:
    """An action that is due at a time."""

    at_s: float
    number: int  # Orders actions of the same time as scheduled.
    action: Action = field(compare=False)


@dataclass(slots=True)
class Timeline:
    """A clock that jumps from one scheduled action to the next."""

    now_s: float = 0.0
    steps: int = 0  # Number of actions run.
    _scheduled: list[_ScheduledAction] = field(default_factory=list)  # A heap.
    _last_number: int = 0  # Of the last scheduled action.

    def schedule(self, delay_s: float, action: Action) -> None:
        """Schedule an action after a delay.

        :param delay_s: the delay; negative values count as zero.
        :param action: the action.
        """
        self._last_number += 1
        at_s = self.now_s + max(0.0, delay_s)
        heapq.heappush(
            self._scheduled, _ScheduledAction(at_s, self._last_number, action)
        )

    def run_until(self, end_s: float) -> None:
        """Run every action that is due by a time; set the clock to it.

        :param end_s: the time at which to stop.
        """
        while self._scheduled and self._scheduled[0].at_s <= end_s:
            due = heapq.heappop(self._scheduled)
            self.now_s = due.at_s
            self.steps += 1
            due.action()
        self.now_s = max(self.now_s, end_s)
