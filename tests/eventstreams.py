"""Event streams whose lines end in each way that the standard allows."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from random import Random
from typing import Final

LINE_ENDS: Final = (b"\n", b"\r\n", b"\r")
_TEXTS: Final = (
    (b"data: x id: 9",),
    (b"x-weight-versions: 1", b"data:"),
    (b": comment", b"data: id: 3", b"data: idle"),
    (b"event: m", b"data"),
)


@dataclass(frozen=True, slots=True)
class Stream:
    """An encoded stream."""

    data: bytes
    # For each event, the sizes at which it is complete and over (bytes).
    ends: tuple[tuple[int, int], ...]

    def passed_on(self, size: int) -> bytes:
        """Return what is passed on of the first bytes.

        :param size: their number
        """
        whole = [min(size, over) for done, over in self.ends if done <= size]
        return self.data[: max(whole, default=0)]


def encode(
    ids: range, ends: tuple[bytes, ...], seed: int, *, bom: bool = False
) -> Stream:
    """Return a stream of events.

    :param ids: their ids
    :param ends: how lines may end
    :param seed: draws the lines and how each ends
    :param bom: whether a byte order mark precedes them
    """
    rng = Random(seed)
    data = bytearray(b"\xef\xbb\xbf" if bom else b"")
    events = []
    for number in ids:
        lines = list(rng.choice(_TEXTS))
        colon = rng.choice((b"id: %d", b"id:%d"))
        lines.insert(rng.randrange(len(lines) + 1), colon % number)
        for line in lines:
            data += line + rng.choice(ends)
        # A line feed would be part of the line end before.
        may_end = [e for e in ends if e != b"\n" or data[-1:] != b"\r"]
        last = rng.choice(may_end)
        data += last
        events.append((len(data) - len(last) + 1, len(data)))
    return Stream(bytes(data), tuple(events))


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    """Return data cut at the given positions, modulo its length.

    :param data: the data
    :param cuts: the positions
    """
    positions = sorted(
        {0, len(data), *(cut % (len(data) + 1) for cut in cuts)}
    )
    return [data[a:b] for a, b in itertools.pairwise(positions)]
