"""What an agent remembers of attempts, so that none runs twice.

A *part buffer* keeps the parts of one answer until the router has
acknowledged them.  The *attempt memory* keeps the fate of attempts that
are over: a *tombstone* for one that was not run and never will be, else the
outcome.  A message that names a remembered attempt, late or doubled, gets
the same answer again and starts nothing.
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
    """The parts of one answer that were not acknowledged yet."""

    first: int = 0  # The number of the first part that is kept.
    next: int = 0  # The number that the next part gets.
    size_bytes: int = 0  # What the kept parts take.
    parts: deque[Part] = field(default_factory=deque)  # In order.

    def add(self, part: Part) -> None:
        """Keep the next part.

        :param part: The part.
        """
        self.parts.append(part)
        self.next += 1
        self.size_bytes += _size_bytes(part)

    def acknowledge(self, next_sequence: int) -> None:
        """Forget the parts before a number.

        :param next_sequence: The first part that is not had yet.
        """
        while self.parts and self.first < next_sequence:
            self.size_bytes -= _size_bytes(self.parts.popleft())
            self.first += 1

    def clear(self) -> None:
        """Forget every part, so that the answer can not be resumed."""
        self.acknowledge(self.next)

    def after(self, next_sequence: int) -> tuple[Part, ...] | None:
        """Return the parts from a number on; None if some are gone.

        :param next_sequence: The first part that is not had yet.
        """
        if next_sequence < self.first:
            return None
        skip = next_sequence - self.first
        return tuple(self.parts)[skip:]


def _size_bytes(part: Part) -> int:
    """Return about what a part takes in memory."""
    return PART_OVERHEAD_BYTES + len(part.data)


class AttemptMemory:
    """The fates of attempts that are over, bounded in time and number.

    The bound in number is for memory only; it is to be far above what the
    endpoint can run within the bound in time.
    """

    __slots__ = ("_fates", "_keep_s", "_limit")

    # Outcome and end of its keeping time, oldest first.
    _fates: OrderedDict[AttemptKey, tuple[Outcome, float]]
    # How long a fate is kept, in seconds.
    _keep_s: float
    # How many fates are kept.
    _limit: int

    def __init__(self, keep_s: float, limit: int) -> None:
        self._fates = OrderedDict()
        self._keep_s = keep_s
        self._limit = limit

    def __len__(self) -> int:
        return len(self._fates)

    def put(self, key: AttemptKey, outcome: Outcome, now_s: float) -> None:
        """Remember a fate; `Outcome.NOT_RUN` is a tombstone.

        :param key: Which attempt.
        :param outcome: What became of it; the first one stands.
        :param now_s: When.
        """
        self._expire(now_s)
        self._fates.setdefault(key, (outcome, now_s + self._keep_s))

    def get(self, key: AttemptKey) -> Outcome | None:
        """Return the fate of an attempt, if it is remembered.

        :param key: Which attempt.
        """
        fate = self._fates.get(key)
        return None if fate is None else fate[0]

    def _expire(self, now_s: float) -> None:
        """Forget fates whose time is over, and the oldest if full."""
        while self._fates:
            _, until_s = next(iter(self._fates.values()))
            if until_s > now_s and len(self._fates) < self._limit:
                return
            self._fates.popitem(last=False)
