"""Ways in which an endpoint that lives on spoils a stream: bytes to bytes."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Final

FOREIGN_BYTES: Final = 60_000
BREAK_SHARE: Final = 0.5  # Of the answers that may break off.
_OTHER_BYTES: Final = b"aq7 :,;x0\n\r"


class Framing(StrEnum):
    """How an answer tells where its body ends."""

    CHUNKS = "chunks"
    LENGTH = "length"
    CLOSE = "close"


class Spoiling(StrEnum):
    """What is wrong with an answer."""

    HEAD_BYTE = "head_byte"  # A byte of the head is another one.
    FRAMING_NAME = "framing_name"  # So is one of the framing header's name.
    LENGTH = "length"  # The length is wrong.
    CHUNK_SIZE = "chunk_size"
    LAST_CHUNK = "last_chunk"  # It comes early; the rest follows.
    LAST_CHUNK_REST = "last_chunk_rest"  # So, and the rest at once.
    LAST_CHUNK_END = "last_chunk_end"  # So, and the connection ends.
    LOST = "lost"  # An event is.
    TWICE = "twice"
    SWAPPED = "swapped"  # Two events are.
    LATE = "late"  # An event comes with the next one.
    ID_DIGIT = "id_digit"
    HALF = "half"  # The second half of an event is left out.
    BYTE = "byte"  # Any byte is another one.
    REMOVED_BYTE = "removed_byte"
    REPEATED_BYTE = "repeated_byte"
    FOREIGN = "foreign"  # Bytes that are none of it replace an event's rest.


OF_CHUNKS: Final = (
    Spoiling.CHUNK_SIZE,
    Spoiling.LAST_CHUNK,
    Spoiling.LAST_CHUNK_REST,
    Spoiling.LAST_CHUNK_END,
)


class End(StrEnum):
    """What follows an answer's bytes."""

    NONE = "none"
    CLOSED = "closed"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class WrittenAnswer:
    """What an endpoint writes: a head, then a piece for each event."""

    pieces: tuple[bytes, ...]
    end: End


def framing_for(kind: Spoiling, rng: Random) -> Framing:
    """Return a framing in which an answer can be spoiled in this way."""
    if kind in OF_CHUNKS:
        return Framing.CHUNKS
    if kind is Spoiling.LENGTH:
        return Framing.LENGTH
    framings = [Framing.CHUNKS, Framing.CHUNKS, Framing.LENGTH, Framing.CLOSE]
    if kind is Spoiling.FRAMING_NAME:
        framings.pop()
    return rng.choice(framings)


def framing_header(framing: Framing, events: Sequence[bytes]) -> bytes:
    """Return the header line that tells the framing of these events."""
    if framing is Framing.CHUNKS:
        return b"Transfer-Encoding: chunked\r\n"
    if framing is Framing.LENGTH:
        return b"Content-Length: %d\r\n" % sum(map(len, events))
    return b"Connection: close\r\n"


def encode_answer(
    head: bytes, events: Sequence[bytes], framing: Framing
) -> WrittenAnswer:
    """Return an answer as it should be.

    :param head: the head, with the header that tells the framing
    :param events: the encoded events
    :param framing: the framing
    """
    if framing is not Framing.CHUNKS:
        end = End.CLOSED if framing is Framing.CLOSE else End.NONE
        return WrittenAnswer((head, *events), end)
    chunks = [b"%x\r\n%b\r\n" % (len(each), each) for each in events]
    return WrittenAnswer((head, *chunks, b"0\r\n\r\n"), End.NONE)


def spoil(
    kind: Spoiling,
    head: bytes,
    events: Sequence[bytes],
    framing: Framing,
    rng: Random,
) -> WrittenAnswer:
    """Return an answer that is spoiled at a random place.

    :param kind: how it is spoiled
    :param head: the head, with the header that tells the framing
    :param events: the encoded events
    :param framing: the framing
    :param rng: draws the place, and whether the answer breaks off after it
    """
    at = rng.randrange(len(events)) if events else 0
    pieces = _spoil_events(kind, list(events), at, rng)
    if framing is Framing.CHUNKS:
        pieces = [b"%x\r\n%b\r\n" % (len(p), p) if p else b"" for p in pieces]
        if kind in OF_CHUNKS and pieces:
            pieces[at] = _spoil_chunk(kind, events[at], pieces[at], rng)
        pieces.append(b"0\r\n\r\n")
    pieces.insert(0, _spoil_head(kind, head, framing, rng))
    at += 1
    if kind in (Spoiling.BYTE, Spoiling.REMOVED_BYTE, Spoiling.REPEATED_BYTE):
        sizes = [len(piece) for piece in pieces]
        at = rng.choices(range(len(pieces)), weights=sizes)[0]
        pieces[at] = _spoil_byte(kind, pieces[at], rng)
    end = End.CLOSED if framing is Framing.CLOSE else End.NONE
    if kind is Spoiling.LAST_CHUNK_END:
        return WrittenAnswer(tuple(pieces[: at + 1]), End.CLOSED)
    if rng.random() < BREAK_SHARE and at < len(pieces) - 1:
        stop = rng.randint(at + 1, len(pieces) - 1)
        end = End.RESET
        if framing is not Framing.CLOSE and rng.random() < 0.5:
            end = End.CLOSED
        pieces = pieces[:stop]
    return WrittenAnswer(tuple(pieces), end)


def _spoil_events(
    kind: Spoiling, events: list[bytes], at: int, rng: Random
) -> list[bytes]:
    """Return the pieces of a body, one for each event."""
    if not events:
        return events
    if kind is Spoiling.LOST:
        events[at] = b""
    elif kind is Spoiling.TWICE:
        events[at] *= 2
    elif kind is Spoiling.FOREIGN:
        begin = events[at][: rng.choice((0, 0, len(events[at]) // 2))]
        events[at] = begin + rng.randbytes(FOREIGN_BYTES)
    elif kind is Spoiling.HALF:
        events[at] = events[at][: len(events[at]) // 2]
    elif kind is Spoiling.ID_DIGIT:
        number = re.compile(rb"(?<=id: )\d+")
        change = rng.choice((1, 5, 10, -1))
        events[at] = number.sub(
            lambda found: b"%d" % max(0, int(found[0]) + change), events[at], 1
        )
    elif kind in (Spoiling.SWAPPED, Spoiling.LATE):
        kept, events[at] = events[at], b""
        if at + 1 < len(events):
            next_one = events[at + 1]
            swapped = kind is Spoiling.SWAPPED
            events[at + 1] = next_one + kept if swapped else kept + next_one
    return events


def _spoil_chunk(
    kind: Spoiling, event: bytes, chunk: bytes, rng: Random
) -> bytes:
    if kind is Spoiling.CHUNK_SIZE:
        size = max(0, len(event) + rng.choice((-16, -1, 1, 16, 256)))
        return b"%x\r\n%b\r\n" % (size, event)
    if kind is Spoiling.LAST_CHUNK_REST:
        return b"0\r\n\r\n" + chunk
    return b"0\r\n\r\n"


def _spoil_head(
    kind: Spoiling, head: bytes, framing: Framing, rng: Random
) -> bytes:
    if kind is Spoiling.HEAD_BYTE:
        return _spoil_byte(Spoiling.BYTE, head, rng)
    if kind is Spoiling.FRAMING_NAME:
        name = b"Transfer-Encoding"
        if framing is Framing.LENGTH:
            name = b"Content-Length"
        at = head.index(name) + rng.randrange(len(name))
        return head[:at] + b"q" + head[at + 1 :]
    if kind is Spoiling.LENGTH:
        change = rng.choice((-40, -3, 5, 400))
        return re.sub(
            rb"(?<=Content-Length: )\d+",
            lambda found: b"%d" % max(0, int(found[0]) + change),
            head,
        )
    return head


def _spoil_byte(kind: Spoiling, data: bytes, rng: Random) -> bytes:
    if not data:
        return data
    at = rng.randrange(len(data))
    new = data[at : at + 1] * 2
    if kind is Spoiling.REMOVED_BYTE:
        new = b""
    elif kind is Spoiling.BYTE:
        others = [byte for byte in _OTHER_BYTES if byte != data[at]]
        new = bytes([rng.choice(others)])
    return data[:at] + new + data[at + 1 :]
