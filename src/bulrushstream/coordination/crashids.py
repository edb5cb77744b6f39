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

# The limit of endpoints; the oldest are forgotten.
MAX_ENDPOINTS: Final = 4096


@dataclass(slots=True)
class CrashIds:
    """The times of the known crashes, by endpoint."""

    _times_s: OrderedDict[str, list[float]] = field(
        default_factory=OrderedDict
    )

    def identify(self, endpoint: str, at_s: float) -> str:
        """Return the id of a crash, which is the same for all its reports.

        :param endpoint: the endpoint's id
        :param at_s: when it crashed
        """
        times_s = self._times_s.setdefault(endpoint, [])
        self._times_s.move_to_end(endpoint)
        for number, other_s in enumerate(times_s):
            if abs(other_s - at_s) < SAME_CRASH_S:
                return f"{endpoint}#{number}"
        times_s.append(at_s)
        if len(self._times_s) > MAX_ENDPOINTS:
            self._times_s.popitem(last=False)
        return f"{endpoint}#{len(times_s) - 1}"

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
