"""An agent's records of attempts, which prevent running one twice.

A *part buffer* stores the parts of one answer until the router has
acknowledged them.  The *outcome cache* stores the outcome of finished
attempts, or a *tombstone* for an attempt that was not run and must never be
started.  A late or duplicate message about a cached attempt gets the same
reply again and starts nothing.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from bulrushstream.state.message import Part
from bulrushstream.state.request import Outcome

PART_OVERHEAD_BYTES: Final = 128

# Request id and attempt number.
AttemptKey: TypeAlias = tuple[str, int]


@dataclass(slots=True)
class PartBuffer:
    """The unacknowledged parts of one answer."""

    first_sequence: int = 0  # Sequence number of the first stored part.
    next_sequence: int = 0  # Sequence number of the next part.
    size_bytes: int = 0  # Estimated memory use of the stored parts.
    parts: deque[Part] = field(default_factory=deque)  # In order.

    def add(self, part: Part) -> None:
        """Append the next part.

        :param part: The part.
        """
        self.parts.append(part)
        self.next_sequence += 1
        self.size_bytes += _size_bytes(part)

    def acknowledge(self, next_sequence: int) -> None:
        """Drop the parts before a sequence number.

        :param next_sequence: The first part that the router lacks.
        """
        while self.parts and self.first_sequence < next_sequence:
            self.size_bytes -= _size_bytes(self.parts.popleft())
            self.first_sequence += 1

    def clear(self) -> None:
        """Drop all parts; the answer can no longer be resumed."""
        self.acknowledge(self.next_sequence)

    def parts_from(self, next_sequence: int) -> tuple[Part, ...] | None:
        """Return the parts from a sequence number on.

        :param next_sequence: The first part that the router lacks.
        :returns: The parts; None if some of them were dropped.
        """
        if next_sequence < self.first_sequence:
            return None
        skipped = next_sequence - self.first_sequence
        return tuple(self.parts)[skipped:]


def _size_bytes(part: Part) -> int:
    """Return an estimate of a part's memory use."""
    return PART_OVERHEAD_BYTES + len(part.data)


class OutcomeCache:
    """Outcomes of finished attempts, bounded in age and number.

    The limit on the number only bounds memory.  It must be far above the
    number of attempts that the endpoint can run within the retention time.
    """

    __slots__ = ("_limit", "_outcomes", "_retention_s")

    # Outcome and expiry time, oldest first.
    _outcomes: OrderedDict[AttemptKey, tuple[Outcome, float]]
    _retention_s: float
    # The largest number of outcomes.
    _limit: int

    def __init__(self, keep_s: float, limit: int) -> None:
        self._outcomes = OrderedDict()
        self._retention_s = keep_s
        self._limit = limit

    def __len__(self) -> int:
        return len(self._outcomes)

    def put(self, key: AttemptKey, outcome: Outcome, now_s: float) -> None:
        """Store an outcome unless the attempt already has one.

        :param key: The attempt.
        :param outcome: The outcome; `Outcome.NOT_RUN` is a tombstone.
        :param now_s: The current time.
        """
        self._evict(now_s)
        self._outcomes.setdefault(key, (outcome, now_s + self._retention_s))

    def get(self, key: AttemptKey) -> Outcome | None:
        """Return the outcome of an attempt; None if it is not stored.

        :param key: The attempt.
        """
        entry = self._outcomes.get(key)
        return None if entry is None else entry[0]

    def _evict(self, now_s: float) -> None:
        """Evict expired outcomes, and the oldest ones at the limit."""
        while self._outcomes:
            _, expires_s = next(iter(self._outcomes.values()))
            if expires_s > now_s and len(self._outcomes) < self._limit:
                return
            self._outcomes.popitem(last=False)
