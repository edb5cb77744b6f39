"""Heads of answers that may be damaged, and the bodies that show it.

A head is in doubt if it lacks what those of its service usually have, or if
it denies a body that it announces.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from bulrushstream.coordination.answerhabits import Trait
from bulrushstream.state.routes import RequestKind
from bulrushstream.transport.framing import Framing, announces_body

if TYPE_CHECKING:
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.state.call import AnswerHead, RawHeaders

# The start of a body in which a line of an event is looked for.
START_BYTES: Final = 4_096
_EVENT_LINE: Final = re.compile(rb"(?:\A|(?<=[\r\n]))(?:id|data):")


@dataclass(frozen=True, slots=True)
class HeadDoubts:
    """Why a head may be damaged."""

    lacking: frozenset[Trait] = frozenset()  # What it lacks and others have.
    fault: str = ""  # Why it is damaged in any case; empty: it may not be.
    # Whether its stream has no framing, unlike others of its endpoint.
    lacks_stream_framing: bool = False

    @property
    def of_framing(self) -> bool:
        """Return whether the body may be framed though the head is not."""
        framing = {Trait.STREAM_FRAMING, Trait.BODY_FRAMING}
        return not framing.isdisjoint(self.lacking)

    def is_stream(self, body: list[bytes]) -> bool:
        """Return whether a body is a stream though its head denies it.

        :param body: the pieces that have arrived
        """
        if Trait.STREAM_TYPE not in self.lacking:
            return False
        if sum(map(len, body[:-1])) >= START_BYTES:
            return False  # It was looked at.
        return bool(_EVENT_LINE.search(b"".join(body), 0, START_BYTES))


NO_DOUBTS: Final = HeadDoubts()


def examine(
    attempt: Attempt,
    head: AnswerHead,
    headers: RawHeaders,
    framing: Framing,
) -> HeadDoubts:
    """Return the doubts of a head, and take note of what it has.

    :param attempt: the attempt that it answers
    :param head: the head
    :param headers: its headers as received
    :param framing: how the end of its body is shown
    """
    call, route = attempt.forward.call, attempt.forward.route
    if call.method == b"HEAD":
        return NO_DOUBTS
    if framing is Framing.NO_BODY:
        asked = any(name[:3].lower() == b"if-" for name, _ in call.headers)
        if head.status == 304 and not asked and announces_body(headers):
            return HeadDoubts(fault="status 304 that was not asked for")
        return NO_DOUBTS
    traits = {
        Trait.STREAM_FRAMING
        if head.event_stream
        else Trait.BODY_FRAMING: framing is not Framing.CLOSE
    }
    if route.kind is RequestKind.STREAMING and head.status == 200:
        traits[Trait.STREAM_TYPE] = head.event_stream
    habits = attempt.front.answer_habits
    service = attempt.endpoint.entry.service
    lacking = frozenset(
        trait
        for trait, present in traits.items()
        if habits.observe(service, trait, present=present)
    )
    lacks_framing = (
        head.event_stream
        and head.status == 200
        and attempt.front.framing_habits.observe(
            service,
            route.name,
            attempt.endpoint.name,
            framed=framing is not Framing.CLOSE,
        )
    )
    if not lacking and not lacks_framing:
        return NO_DOUBTS
    return HeadDoubts(lacking, lacks_stream_framing=lacks_framing)
