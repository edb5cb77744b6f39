"""Heads of answers that may be damaged, and the bodies that show it.

A head is in doubt if it lacks what those of its service usually have.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from bulrushstream.coordination.answerhabits import Trait
from bulrushstream.transport.framing import Framing

if TYPE_CHECKING:
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.state.call import AnswerHead


@dataclass(frozen=True, slots=True)
class HeadDoubts:
    """Why a head may be damaged."""

    lacking: frozenset[Trait] = frozenset()  # What it lacks and others have.

    @property
    def of_framing(self) -> bool:
        """Return whether the body may be framed though the head is not."""
        framing = {Trait.STREAM_FRAMING, Trait.BODY_FRAMING}
        return not framing.isdisjoint(self.lacking)


NO_DOUBTS: Final = HeadDoubts()


def examine(
    attempt: Attempt, head: AnswerHead, framing: Framing
) -> HeadDoubts:
    """Return the doubts of a head, and take note of what it has.

    :param attempt: the attempt that it answers
    :param head: the head
    :param framing: how the end of its body is shown
    """
    if attempt.forward.call.method == b"HEAD" or framing is Framing.NO_BODY:
        return NO_DOUBTS
    trait = Trait.BODY_FRAMING
    if head.event_stream:
        trait = Trait.STREAM_FRAMING
    lacks = attempt.front.answer_habits.observe(
        attempt.endpoint.entry.service,
        trait,
        present=framing is not Framing.CLOSE,
    )
    return HeadDoubts(frozenset((trait,))) if lacks else NO_DOUBTS
