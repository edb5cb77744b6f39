"""Finds the head of another response within a body without a length.

A faulty peer may write further responses on a connection.  Where a body has a
length or chunks, they come after it.  Otherwise they come within it, at any
byte, and only their heads tell them from the body.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import httptools

from bulrushstream.state.call import RawHeaders

_MARK: Final = b"HTTP/1."
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.[01] [0-9]{3}[ \r]")
_STATUS_SIZE: Final = len("HTTP/1.1 200 ")

# How the line after a status line begins; bytes may be missing at the end.
_TOKEN: Final = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
_NEXT_LINE: Final = re.compile(
    rb"%b{64}|%b{1,63}(?::|\Z)|\r?\n|\r?\Z" % (_TOKEN, _TOKEN)
)

# More bytes than this without the end of a head are no head.
MAX_HEAD_BYTES: Final = 16_384

# The bytes that are parsed in vain before the body counts as a flood of heads,
# and those that each byte of the body adds.
MAX_VAIN_BYTES: Final = 262_144
VAIN_PER_BYTE: Final = 8

# Decides from status and headers whether a head ends the body.
IsExtra = Callable[[int, RawHeaders], bool]


@dataclass(slots=True)
class ExtraAnswerFinder:
    """Passes on a body up to the head of another response."""

    is_extra: IsExtra
    found: bool = False  # Whether another response has begun.
    # Whether the body has more beginnings of heads than are looked at.
    flooded: bool = False
    _held: bytes = b""  # What may be the beginning of a head.
    _head: _Head | None = None  # What is known of it.
    _vain_bytes_left: int = MAX_VAIN_BYTES

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that are known to be of the body.

        :param data: the next bytes that arrived
        """
        if self.found or self.flooded:
            return b""
        if not self._held and _MARK not in data:
            body_size = len(data) - _mark_size_at_end(data)
        else:
            left = min(MAX_VAIN_BYTES, self._vain_bytes_left)
            self._vain_bytes_left = left + VAIN_PER_BYTE * len(data)
            data = self._held + data
            body_size = self._find_head(data)
        self._held = b"" if self.found else data[body_size:]
        return data[:body_size]

    def finish(self) -> bytes | None:
        """Return the rest of the body when the connection has ended.

        :returns: the rest; None: the connection ended within a head
        """
        held, self._held = self._held, b""
        _, line_end, headers = held.partition(b"\r\n")
        return None if line_end and headers else held

    def _find_head(self, data: bytes) -> int:
        """Return where a head begins, or may begin; else the size."""
        start = 0 if self._head is not None else data.find(_MARK)
        while start >= 0:
            head, self._head = self._head or _Head(), None
            parsed_bytes = head.parsed_bytes
            plausible = head.parse(data, start)
            self._vain_bytes_left -= head.parsed_bytes - parsed_bytes
            if plausible and not head.complete:
                self._head = head
                return start
            if plausible and self.is_extra(head.status, head.headers):
                self.found = True
                return start
            if self._vain_bytes_left < 0:
                self.flooded = True
                return start
            start = data.find(_MARK, start + 1)
        return len(data) - _mark_size_at_end(data)


class _Head:
    """A response's head, as far as it has arrived."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: RawHeaders = []
        self.complete = False
        self.parsed_bytes = 0
        self._parser: httptools.HttpResponseParser | None = None

    def parse(self, data: bytes, start: int) -> bool:
        """Parse bytes that have arrived since; return whether they fit.

        :param data: bytes that begin with those that were parsed
        :param start: where the head begins in them
        """
        if self._parser is None:
            line = data[start : start + _STATUS_SIZE]
            padding = b"HTTP/1.1 200 "[len(line) :]
            if not _STATUS_LINE.match(line + padding):
                return False
            if padding:
                return True
            line_end = data.find(b"\n", start, start + MAX_HEAD_BYTES)
            # Much cheaper than the parser, where many such lines come.
            if line_end >= 0 and not _NEXT_LINE.match(data, line_end + 1):
                return False
            self._parser = httptools.HttpResponseParser(self)
        limit = min(len(data), start + MAX_HEAD_BYTES)
        position = start + self.parsed_bytes
        while position < limit and not self.complete:
            # Line by line, as a body that only looks like a head shows soon.
            line_end = data.find(b"\n", position, limit) + 1 or limit
            self.parsed_bytes = line_end - start
            try:
                self._parser.feed_data(data[position:line_end])
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                return False
            position = line_end
        return self.complete or self.parsed_bytes < MAX_HEAD_BYTES

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the status of a complete head; called by the parser."""
        assert self._parser is not None
        self.status = self._parser.get_status_code()
        self.complete = True


def _mark_size_at_end(data: bytes) -> int:
    """Return how many bytes at the end may begin a head."""
    for size in range(min(len(_MARK) - 1, len(data)), 0, -1):
        if data.endswith(_MARK[:size]):
            return size
    return 0
