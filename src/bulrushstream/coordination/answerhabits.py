"""What the answers of each service usually tell in their heads.

A head that lacks what nearly all others of its service have may be damaged.
That alone is no fault: it matters only if the body shows it, too.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

# A habit shows in this many answers, and holds for this share of them.
MIN_ANSWERS: Final = 16
USUAL_SHARE: Final = 0.9

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
