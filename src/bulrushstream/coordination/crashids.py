"""Numbers the crashes of each endpoint, so that each counts once.

Several routers report one crash, at about the same time.  An endpoint that
comes back under the same id may crash again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

# Reports of an endpoint's crash within this time are about the same one.
SAME_CRASH_S: Final = 1.5

# The same where one of the times is a time of day, as clocks differ.
SAME_RECORDED_CRASH_S: Final = 30.0

# The limit of endpoints; the oldest are forgotten.
MAX_ENDPOINTS: Final = 4096


def split_id(crash_id: str) -> tuple[str, int]:
    """Return the endpoint of a crash, and its number there.

    :param crash_id: the id of the crash
    """
    endpoint, _, number = crash_id.rpartition("#")
    return endpoint, int(number)


@dataclass(slots=True)
class CrashIds:
    """The times of the known crashes, by endpoint."""

    _times_s: OrderedDict[str, list[float]] = field(
        default_factory=OrderedDict
    )
    # The ids of crashes whose times were read from the store.
    _recorded: set[str] = field(default_factory=set)

    def identify(self, endpoint: str, at_s: float) -> str:
        """Return the id of a crash, which is the same for all its reports.

        :param endpoint: the endpoint's id
        :param at_s: when it crashed
        """
        times_s = self._times_s.setdefault(endpoint, [])
        self._times_s.move_to_end(endpoint)
        for number, other_s in enumerate(times_s):
            crash_id = f"{endpoint}#{number}"
            limit_s = SAME_CRASH_S
            if crash_id in self._recorded:
                limit_s = SAME_RECORDED_CRASH_S
            if abs(other_s - at_s) < limit_s:
                return crash_id
        times_s.append(at_s)
        self._forget_oldest()
        return f"{endpoint}#{len(times_s) - 1}"

    def restore(self, endpoint: str, number: int, at_s: float) -> str:
        """Return the id of a crash that was read from the store.

        :param endpoint: the endpoint's id
        :param number: among the crashes under this id, from 0
        :param at_s: when it crashed, by a time of day
        """
        times_s = self._times_s.setdefault(endpoint, [])
        self._times_s.move_to_end(endpoint)
        # Crashes in between were read of nobody.
        number = min(number, len(times_s))
        crash_id = f"{endpoint}#{number}"
        if number == len(times_s):
            times_s.append(at_s)
            self._recorded.add(crash_id)
            self._forget_oldest()
        return crash_id

    def _forget_oldest(self) -> None:
        """Forget the crashes of an endpoint if there are too many."""
        if len(self._times_s) > MAX_ENDPOINTS:
            endpoint, times_s = self._times_s.popitem(last=False)
            for number in range(len(times_s)):
                self._recorded.discard(f"{endpoint}#{number}")

    def count_between(self, begin_s: float, end_s: float) -> int:
        """Return the number of crashes of all endpoints in an interval.

        :param begin_s: its begin
        :param end_s: its end
        """
        return sum(
            begin_s <= at_s <= end_s
            for times_s in self._times_s.values()
            for at_s in times_s
        )
