"""What callers judge of the streams of `tests.soakendpoints`."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from tests.soakendpoints import EVENTS

_LINE_END: Final = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT: Final = re.compile(
    rb"id: (\d+)%b" % _LINE_END + rb"data: run (\d+)%b{2}" % _LINE_END
)
_EVENT_BEGIN: Final = re.compile(rb"(?:(?!\n\n|\r\r|\r\n\r).)*", re.DOTALL)


@dataclass(slots=True)
class Answer:
    """An answer as its caller sees it."""

    status: str = ""
    framing: str = ""
    body: bytes = b""
    complete: bool = False  # Whether it looks so.


def judge(
    name: str,
    answer: Answer,
    events: list[tuple[int, int]],
    resumable: bool,
) -> str:
    """Add an answer's events; return what is wrong, or nothing.

    :param name: the request's, for the findings
    :param answer: the answer
    :param events: ids and runs of the events that its caller has
    :param resumable: whether the stream may go on in another run
    """
    position = 0
    while found := _EVENT.match(answer.body, position):
        position = found.end()
        number, run = int(found[1]), int(found[2])
        last, last_run = events[-1] if events else (0, run)
        if number != last + 1:
            return f"{name}: {number} after {last}"
        if run != last_run and not resumable:
            return f"{name}: run {run} after run {last_run}"
        events.append((number, run))
    rest = answer.body[position:]
    last = events[-1][0] if events else 0
    if not _EVENT_BEGIN.fullmatch(rest):
        return f"{name}: not an event {rest[:60]!r}"
    if answer.complete and (rest or last != EVENTS):
        return f"{name}: complete at {last}, {rest[:60]!r}"
    return ""
