"""What the answers of each service usually tell in their heads.

A head that lacks what nearly all others of its service have may be damaged.
That alone is no fault: it matters only if the body shows it, too.

A stream whose head tells no framing ends with its connection, as one that is
cut does.  Its end is doubtful at an endpoint whose streams have a framing.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

# A habit shows in this many answers, and holds for this share of them.
MIN_ANSWERS: Final = 16
USUAL_SHARE: Final = 0.9

# A framing is usual once so many more streams had one than had none, each of
# which counts several times.  So it is where fewer than one in 33 has none:
# endpoints spoil some 2 in 100 answers.  Of endpoints that leave it out in one
# of ten streams, hardly any passes for one that does not.
MIN_FRAMED: Final = 96
MAX_FRAMED: Final = 256
UNFRAMED_COST: Final = 32

# An endpoint of which none of so many streams had a framing never writes one.
MIN_UNFRAMED: Final = 4

# Routes, and endpoints on them, that are remembered.
MAX_GROUPS: Final = 4_096

# The weight of one of many answers in the moving average of the share.
GAIN: Final = 1 / 64


class Trait(StrEnum):
    """What a head may tell."""

    STREAM_FRAMING = "the framing of an event stream"
    BODY_FRAMING = "the framing of another body"
    STREAM_TYPE = "an event stream"  # Of successes where streams are due.


@dataclass(slots=True)
class _Habit:
    """How often the answers of a service have a trait."""

    answers: int = 0
    share: float = 0.0


@dataclass(slots=True)
class AnswerHabits:
    """The habits of all services."""

    _habits: dict[tuple[str, Trait], _Habit] = field(default_factory=dict)

    def observe(self, service: str, trait: Trait, *, present: bool) -> bool:
        """Record an answer; return whether it lacks a usual trait.

        :param service: the service's name
        :param trait: a trait
        :param present: whether the answer has it
        """
        habit = self._habits.setdefault((service, trait), _Habit())
        usual = habit.answers >= MIN_ANSWERS and habit.share >= USUAL_SHARE
        habit.answers += 1
        gain = max(1 / habit.answers, GAIN)
        habit.share += gain * (present - habit.share)
        return usual and not present


@dataclass(slots=True)
class _FramingHabit:
    """How often streams have a framing."""

    framed: int = 0
    unframed: int = 0
    score: int = 0

    def add(self, *, framed: bool) -> None:
        """Record a stream."""
        if framed:
            self.framed += 1
            self.score = min(self.score + 1, MAX_FRAMED)
        else:
            self.unframed += 1
            self.score = max(self.score - UNFRAMED_COST, 0)

    @property
    def is_usual(self) -> bool:
        """Return whether streams have a framing, but for a few."""
        return self.score >= MIN_FRAMED

    @property
    def is_known(self) -> bool:
        """Return whether the streams tell if a framing is usual."""
        never = not self.framed and self.unframed >= MIN_UNFRAMED
        return never or self.framed + self.unframed >= MIN_FRAMED


@dataclass(slots=True)
class FramingHabits:
    """Whether streams have a framing.

    The handlers of different routes may write streams in different ways, and
    one endpoint in another way than others.  The narrowest group of streams
    of which enough is known tells what is usual.
    """

    _services: dict[str, _FramingHabit] = field(default_factory=dict)
    # By service and route, and by these and the endpoint.
    _routes: OrderedDict[tuple[str, ...], _FramingHabit] = field(
        default_factory=OrderedDict
    )

    def observe(
        self, service: str, route: str, endpoint: str, *, framed: bool
    ) -> bool:
        """Record a stream; return whether it lacks a usual framing.

        :param service: the service's name
        :param route: the route's name
        :param endpoint: the endpoint that writes it
        :param framed: whether its head tells a framing
        """
        groups = [
            self._group(service, route, endpoint),
            self._group(service, route),
            self._services.setdefault(service, _FramingHabit()),
        ]
        decides = next((each for each in groups if each.is_known), groups[-1])
        usual = decides.is_usual
        for each in groups:
            each.add(framed=framed)
        return usual and not framed

    def _group(self, *key: str) -> _FramingHabit:
        """Return what is known of some streams, as the last ones in use."""
        habit = self._routes.setdefault(key, _FramingHabit())
        self._routes.move_to_end(key)
        if len(self._routes) > MAX_GROUPS:
            self._routes.popitem(last=False)
        return habit
