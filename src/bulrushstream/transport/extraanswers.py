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
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}[ \r]")
_STATUS_SIZE: Final = len("HTTP/1.1 200 ")

# More bytes than this without the end of a head are no head.
MAX_HEAD_BYTES: Final = 16_384

# Decides from status and headers whether a head ends the body.
IsExtra = Callable[[int, RawHeaders], bool]


@dataclass(slots=True)
class ExtraAnswerFinder:
    """Passes on a body up to the head of another response."""

    is_extra: IsExtra
    found: bool = False  # Whether another response has begun.
    _held: bytes = b""  # What may be the beginning of a head.

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that are known to be of the body.

        :param data: the next bytes that arrived
        """
        if self.found:
            return b""
        if not self._held and _MARK not in data:
            body_size = len(data) - _mark_size_at_end(data)
        else:
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
        start = data.find(_MARK)
        while start >= 0:
            head = _Head()
            if head.parse(data[start:]):
                if not head.complete:
                    return start
                if self.is_extra(head.status, head.headers):
                    self.found = True
                    return start
            start = data.find(_MARK, start + 1)
        return len(data) - _mark_size_at_end(data)


class _Head:
    """A response's head, as far as it has arrived."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: RawHeaders = []
        self.complete = False

    def parse(self, data: bytes) -> bool:
        """Parse bytes; return whether they begin with a head or a part."""
        line = data[:_STATUS_SIZE]
        if len(line) < _STATUS_SIZE:
            padding = b"HTTP/1.1 200 "[len(line) :]
            return bool(_STATUS_LINE.match(line + padding))
        if not _STATUS_LINE.match(line):
            return False
        end = data.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
        if end < 0 and len(data) >= MAX_HEAD_BYTES:
            return False
        parser = httptools.HttpResponseParser(self)
        try:
            parser.feed_data(data if end < 0 else data[: end + 4])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        self.complete = end >= 0
        if self.complete:
            self.status = parser.get_status_code()
        return True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self.headers.append((name, value))


def _mark_size_at_end(data: bytes) -> int:
    """Return how many bytes at the end may begin a head."""
    for size in range(min(len(_MARK) - 1, len(data)), 0, -1):
        if data.endswith(_MARK[:size]):
            return size
    return 0
