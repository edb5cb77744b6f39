"""Learns how the whole streams of a service end.

Streams of one kind may all have the same last id, as models write up to the
limit of their callers, or the same last event, which tells that nothing
follows.  Where that was so often enough, another end is *odd*: the stream may
have been cut, even if its framing is good.  Where ends vary, none is odd.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, TypeGuard

# So many more ends of a kind must have been alike than others, which count
# several times.  Each odd one that was whole multiplies the number for its
# kind.
MIN_ALIKE: Final = 8
MAX_ALIKE: Final = 65_536
OTHER_COST: Final = 3
REFUTED_FACTOR: Final = 4

# The same where an odd end loses the stream, as its endpoint is distrusted and
# no other may be asked.
MIN_ALIKE_FOR_GOOD: Final = 32

# The kinds of streams that are remembered, the last ones.
MAX_KINDS: Final = 512

# Longer last events are not compared.
MAX_EVENT_BYTES: Final = 512

_ID: Final = re.compile(rb"(?:\A|(?<=[\r\n]))id(?::[^\r\n]*)?(?:[\r\n]+|\Z)")
_EVENT_START: Final = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)+")


class EndKind(Enum):
    """What the end of a stream tells of it."""

    UNKNOWN = 1  # Ends of such streams vary, or are not known.
    USUAL = 2
    ODD = 3


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """The end of one stream."""

    service: str
    output_limit: int  # Of tokens, as its caller names it; 0: none.
    last_id: int | None
    last_event: bytes  # Without its id; empty: not compared.


@dataclass(slots=True)
class _Habit:
    """What most of the last ends of a kind had in common."""

    value: int | bytes | None
    score: int = 0
    needed: int = MIN_ALIKE

    def is_known(self, *, resumable: bool, distrusted: bool) -> bool:
        """Return whether enough were alike.

        :param resumable: whether an odd end can be checked
        :param distrusted: whether its endpoint spoiled an answer lately
        """
        if resumable:
            return self.score >= self.needed
        # A wrong doubt costs a sound endpoint's stream but a short wait.
        return self.score >= (
            self.needed_for_good if distrusted else MIN_ALIKE
        )

    @property
    def needed_for_good(self) -> int:
        """Return how many must be alike where an odd end is not believed."""
        return max(self.needed, MIN_ALIKE_FOR_GOOD)

    def add(self, value: int | bytes | None) -> None:
        """Record another end.

        :param value: what it has
        """
        if value == self.value:
            most = 2 * self.needed_for_good
            self.score = min(self.score + 1, most)
        elif self.score >= OTHER_COST:
            self.score -= OTHER_COST
        else:
            self.value, self.score = value, 1

    def refute(self) -> None:
        """Learn for longer, as an odd end turned out to be whole."""
        self.needed = min(REFUTED_FACTOR * self.needed, MAX_ALIKE)
        self.score = 0


@dataclass(slots=True)
class StreamEnds:
    """The ends of whole streams, by service."""

    # By service and output limit those of last ids, and by service alone
    # those of last events.
    _habits: OrderedDict[tuple[str, int | None], _Habit] = field(
        default_factory=OrderedDict
    )

    def kind_of(
        self,
        end: StreamEnd,
        *,
        resumable: bool = True,
        distrusted: bool = False,
    ) -> EndKind:
        """Return what the end of a stream tells of it.

        :param end: the end
        :param resumable: whether another attempt can check an odd end
        :param distrusted: whether its endpoint spoiled an answer lately
        """

        def is_known(habit: _Habit | None) -> TypeGuard[_Habit]:
            return habit is not None and habit.is_known(
                resumable=resumable, distrusted=distrusted
            )

        ids = self._habits.get((end.service, end.output_limit))
        if is_known(ids) and ids.value is not None:
            usual = ids.value == end.last_id
            return EndKind.USUAL if usual else EndKind.ODD
        events = self._habits.get((end.service, None))
        if not is_known(events) or not events.value:
            return EndKind.UNKNOWN
        # All events of a service may be the same, so that one tells nothing.
        odd = end.last_event and events.value != end.last_event
        return EndKind.ODD if odd else EndKind.UNKNOWN

    def add_whole(self, end: StreamEnd, *, checked: bool = False) -> None:
        """Record the end of a stream that is taken for whole.

        :param end: the end
        :param checked: whether another attempt at it had nothing to add
        """
        odd = checked and self.kind_of(end) is EndKind.ODD
        self._add((end.service, end.output_limit), end.last_id, odd)
        self._add((end.service, None), end.last_event, odd)

    def add_broken(self, end: StreamEnd) -> None:
        """Record an odd end that was not believed, and may yet be whole.

        Otherwise a service whose streams became shorter would lose them all.

        :param end: the end
        """
        for key, value in (
            ((end.service, end.output_limit), end.last_id),
            ((end.service, None), end.last_event),
        ):
            habit = self._habits.get(key)
            if habit is not None and habit.value != value:
                habit.score = max(0, habit.score - OTHER_COST)

    def _add(
        self,
        key: tuple[str, int | None],
        value: int | bytes | None,
        odd: bool,
    ) -> None:
        """Record an end of a kind.

        :param key: the kind
        :param value: what the end has
        :param odd: whether it is whole though it did not seem so
        """
        found = self._habits.get(key)
        if found is None:
            found = self._habits[key] = _Habit(value)
            if len(self._habits) > MAX_KINDS:
                self._habits.popitem(last=False)
        self._habits.move_to_end(key)
        known = found.score >= found.needed
        if odd and known and found.value != value:
            found.refute()
        found.add(value)


def last_event(events: bytes) -> bytes:
    """Return the last one of some events without its id.

    :param events: complete events
    :returns: the event; empty if it is too long
    """
    tail = events[-2 * MAX_EVENT_BYTES :].rstrip(b"\r\n")
    starts = [each.end() for each in _EVENT_START.finditer(tail)]
    start = starts[-1] if starts else 0
    if len(tail) - start > MAX_EVENT_BYTES:
        return b""
    return _ID.sub(b"", tail[start:])
