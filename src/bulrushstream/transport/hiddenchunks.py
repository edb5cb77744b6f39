"""Tells a body in chunks whose head does not say so from other bodies.

Such a body is believed to last until its connection ends, and the sizes of
its chunks to be a part of it.  A body that only begins as a chunk does, as a
number in a line does, shows that where its first chunk would end.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

_SIZE_LINE: Final = re.compile(
    rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n]{0,256})?\r\n"
)
_PART_OF_LINE: Final = re.compile(
    rb"[0-9a-fA-F]{1,16}[ \t]*(?:;[^\r\n]{0,256})?\r?\Z"
)

# What may follow the size of the last chunk: an empty line, or trailers.
_END: Final = re.compile(rb"\r\n|[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}:")
_PART_OF_END: Final = re.compile(rb"\r?\Z|[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}\Z")

# Chunks after each of which a size follows, where a body may be a list of
# numbers, each in a line of its own.
MIN_CHUNKS: Final = 8

# Bytes that are held back before a body counts as an ordinary one.
MAX_HELD_BYTES: Final = 262_144


@dataclass(slots=True)
class HiddenChunkFinder:
    """Holds back the beginning of a body that may be in chunks."""

    min_chunks: int  # Chunks that show that the others are chunks, too.
    found: bool = False  # Whether the body is in chunks.
    _held: bytes = b""
    _decided: bool = False
    _chunks: int = 0  # Chunks that are complete in what is held back.
    _end: int = 0  # Where they end.

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that are known to be of an ordinary body.

        :param data: the next bytes that arrived
        """
        if self.found:
            return b""
        if self._decided:
            return data
        self._held += data
        while not self._decided and self._take_chunk():
            pass
        if not self._decided and len(self._held) <= MAX_HELD_BYTES:
            return b""
        self._decided = True
        return b"" if self.found else self._release()

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that are held back."""
        return len(self._held)

    def finish(self, *, doubtful: bool) -> bytes:
        """Return the rest of an ordinary body that has ended.

        :param doubtful: whether a body that began as a chunk does, and ended
            before that shows, counts as one in chunks
        """
        if self._held and _SIZE_LINE.match(self._held):
            shown = self._chunks >= self.min_chunks
            self.found = self.found or shown or doubtful
        return b"" if self.found else self._release()

    def _release(self) -> bytes:
        """Return what is held back, as the body is an ordinary one."""
        held, self._held = self._held, b""
        return held

    def _take_chunk(self) -> bool:
        """Decide, or go on to the next chunk; return whether it is there."""
        held, start = self._held, self._end
        line = _SIZE_LINE.match(held, start)
        if line is None:
            if start < len(held):
                self._decided = not _PART_OF_LINE.match(held, start)
            return False
        size = int(line[1], 16)
        if self._chunks >= self.min_chunks:
            self.found = self._decided = True
        elif not size:
            self.found = _END.match(held, line.end()) is not None
            may_end = _PART_OF_END.match(held, line.end())
            self._decided = self.found or not may_end
        else:
            end = line.end() + size
            rest = held[end : end + 2]
            self._decided = not b"\r\n".startswith(rest)
            if rest == b"\r\n":
                self._chunks += 1
                self._end = end + 2
                return True
        return False
