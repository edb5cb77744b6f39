"""The value that the endpoints of a service usually show.

Each endpoint votes for its own most frequent value, unless it often shows
others, so that one that errs does not decide for a service.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

MAX_ENDPOINTS: Final = 64
MAX_VALUES: Final = 16  # Of one endpoint; further ones count as `_OTHER`.
MAX_COUNT: Final = 1024  # From here on, older counts weigh half.
_OTHER: Final = -1

# So many refusals without a usual value between them show that an endpoint
# has changed.
CHANGED_AFTER: Final = 3
MAX_REFUSED: Final = 512  # Endpoints whose refusals are counted.


@dataclass(slots=True)
class UsualValues:
    """How often each endpoint of a service showed each value."""

    min_count: int  # An endpoint that showed fewer values has no vote.
    # An endpoint is regular if this many usual values follow each other one,
    # beyond the first ones.
    usual_per_other: int
    free_others: int
    _counts: dict[str, dict[int, int]] = field(default_factory=dict)
    _refused: dict[str, int] = field(default_factory=dict)  # In a row.

    def count(self, endpoint: str, value: int, times: int = 1) -> None:
        """Take note of a value that fits, or of one if none is known.

        :param endpoint: the endpoint that showed it
        :param value: the value
        :param times: how often
        """
        self._refused.pop(endpoint, None)
        self._add(endpoint, value, times)

    def refused(self, endpoint: str, value: int) -> None:
        """Take note of a value that does not fit.

        :param endpoint: the endpoint that showed it
        :param value: the value
        """
        in_row = self._refused.get(endpoint, 0) + 1
        self._refused[endpoint] = in_row
        if len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        if in_row >= CHANGED_AFTER:
            self._counts.pop(endpoint, None)
            self._add(endpoint, value, max(in_row, self.min_count))
        else:
            self._add(endpoint, value, 1)

    def confirmed(self, endpoint: str, value: int) -> None:
        """Take note that a value which seemed not to fit is right.

        :param endpoint: an endpoint that showed it
        :param value: the value
        """
        usual = max(self._counts.get(endpoint, {}).values(), default=0)
        self._add(endpoint, value, usual // 4 + 1)

    def usual(self) -> tuple[int | None, int]:
        """Return the usual value, if any, and how often it was shown."""
        votes: Counter[int] = Counter()
        times: Counter[int] = Counter()
        voters = 0
        for counts in self._counts.values():
            total = sum(counts.values())
            if total < self.min_count:
                continue
            voters += 1
            value = max(counts, key=counts.__getitem__)
            if value != _OTHER and self._is_regular(counts[value], total):
                votes[value] += 1
                times[value] += counts[value]
        best = votes.most_common(2)
        if not best or best[0][1] * 2 < voters:
            return None, 0
        if len(best) > 1 and best[0][1] == best[1][1]:
            return None, 0
        return best[0][0], times[best[0][0]]

    def _is_regular(self, usual: int, total: int) -> bool:
        """Return whether an endpoint's values are mostly the same."""
        others = total - usual
        per_other = self.usual_per_other
        limit = usual + self.free_others * per_other
        return others * 4 <= usual and others * per_other <= limit

    def _add(self, endpoint: str, value: int, times: int) -> None:
        counts = self._counts.get(endpoint)
        if counts is None:
            if len(self._counts) >= MAX_ENDPOINTS:
                del self._counts[next(iter(self._counts))]
            counts = self._counts[endpoint] = {}
        if value not in counts and len(counts) >= MAX_VALUES:
            value = _OTHER
        counts[value] = counts.get(value, 0) + times
        if counts[value] > MAX_COUNT:
            for each in list(counts):
                counts[each] = (counts[each] + 1) // 2
