"""What callers judge of streams."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise
from typing import Final

from tests.eventshapes import PLAIN, Shape

_LINE_END: Final = re.compile(rb"\r\n|\r")
_EVENT_END: Final = re.compile(rb"\n\n+")
_ID: Final = re.compile(rb"id(?:: ?(.*))?")
_DATA: Final = re.compile(rb"data: ?run (\d+) piece (\d+)")
# A line that is the size of a chunk.  Its end is that of lines of HTTP, unlike
# that of a damaged text.
_CHUNK_SIZE: Final = re.compile(rb"(?:\A|(?<=[\r\n]))[0-9a-fA-F]+(?=\r\n)")
_FRAMING: Final = b"\0framing"
# Lines that an event may have besides its id and its data.
_LAWFUL: Final = re.compile(rb":.*|(?:event|retry|meta|x-weight-versions): .*")


class Fault(StrEnum):
    """What is wrong with a stream."""

    GAP = "gap"
    BACK = "back"  # An id that does not rise.
    JOINED = "joined"  # Two runs are.
    NO_EVENT = "no event"
    TEXT = "text"  # The id is right, and the rest is not.
    VERSION = "version"  # It changes.
    EARLY_END = "early end"  # The stream looks complete.


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong."""

    fault: Fault
    name: str  # Of the request.
    last: int  # The id of the last event before.
    block: bytes = b""  # The event.

    def __str__(self) -> str:
        return (
            f"{self.name}: {self.fault} after {self.last}, {self.block[:60]!r}"
        )


@dataclass(slots=True)
class Answer:
    """An answer as its caller sees it."""

    status: str = ""
    framing: str = ""
    body: bytes = b""
    complete: bool = False  # Whether it looks so.


def split_blocks(body: bytes) -> tuple[list[bytes], bytes]:
    """Return a body's complete events, with LF as line ends, and the rest.

    :param body: the bytes of a stream
    """
    marked = _CHUNK_SIZE.sub(_FRAMING, body)
    *blocks, rest = _EVENT_END.split(_LINE_END.sub(b"\n", marked))
    return [block.lstrip(b"\n") for block in blocks], rest.lstrip(b"\n")


def ids_in(block: bytes) -> list[bytes] | None:
    """Return the ids of an event; None: it is none, but framing.

    :param block: the event
    """
    lines = block.split(b"\n")
    if _FRAMING in lines:
        return None
    found = [_ID.fullmatch(line) for line in lines]
    return [each[1] or b"" for each in found if each]


def is_comment(block: bytes) -> bool:
    """Return whether nothing but comments and such is in an event."""
    return all(_LAWFUL.fullmatch(line) for line in block.split(b"\n"))


def judge(
    name: str,
    answer: Answer,
    events: list[tuple[int, int]],
    resumable: bool,
    last_number: int,
    shape: Shape = PLAIN,
) -> list[Finding]:
    """Add an answer's events; return what is wrong.

    :param name: the request's, for the findings
    :param answer: the answer
    :param events: numbers and runs of the events that its caller has
    :param resumable: whether the stream may go on in another run
    :param last_number: the number of the stream's last event
    :param shape: how its service writes streams
    """
    findings: list[Finding] = []
    blocks, rest = split_blocks(answer.body)
    last, last_run = events[-1] if events else (0, 0)
    for block in blocks:
        if not block or is_comment(block):
            continue
        run, piece = _text_of(block)
        number = piece
        ids = ids_in(block)
        if ids is None or len(ids) != shape.has_ids:
            return [*findings, Finding(Fault.NO_EVENT, name, last, block)]
        if ids:
            if not ids[0].isdigit():
                return [*findings, Finding(Fault.NO_EVENT, name, last, block)]
            number = shape.number_of(int(ids[0]))
            if shape.id_of(number) != int(ids[0]):
                number = 0
        if number != last + 1:
            fault = Fault.GAP if number > last else Fault.BACK
            return [*findings, Finding(fault, name, last, block)]
        if piece != number:
            run = 0
            findings.append(Finding(Fault.TEXT, name, last, block))
        elif last_run and run != last_run and not resumable:
            return [*findings, Finding(Fault.JOINED, name, last, block)]
        last, last_run = number, run or last_run
        events.append((last, last_run))
    if answer.complete and (rest or last != last_number):
        findings.append(Finding(Fault.EARLY_END, name, last, rest))
    return findings


def find_crossing(
    name: str, events: Sequence[tuple[int, int]], versions: Mapping[int, str]
) -> list[Finding]:
    """Return where a stream goes on at another software version.

    :param name: the request's, for the finding
    :param events: numbers and runs of the events that its caller has
    :param versions: the version of each run
    """
    known = [(n, run, versions[run]) for n, run in events if run in versions]
    for before, after in pairwise(known):
        if before[2] != after[2]:
            text = f"run {before[1]} {before[2]}, run {after[1]} {after[2]}"
            return [Finding(Fault.VERSION, name, before[0], text.encode())]
    return []


def _text_of(block: bytes) -> tuple[int, int]:
    """Return an event's run and number in its text; 0, 0: it is damaged."""
    text = 0, 0
    for line in block.split(b"\n"):
        found = _DATA.fullmatch(line)
        if found and not text[0]:
            text = int(found[1]), int(found[2])
        elif not _ID.fullmatch(line) and not _LAWFUL.fullmatch(line):
            return 0, 0
    return text
