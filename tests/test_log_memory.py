"""The log of a process that has no memory for a line.

Guards against a process that ends, or writes no more lines, as the event loop
logs an error while memory has run out.
"""

from __future__ import annotations

import logging
import os
from typing import Any

from bulrushstream.logs import BoundedHandler


class Buffer(bytearray):
    """A buffer for which there is no memory at times."""

    fails = True

    def __iadd__(self, data: Any) -> Buffer:  # type: ignore[misc]
        self._check()
        super().__iadd__(data)
        return self

    def __getitem__(self, key: Any) -> Any:
        self._check()
        return super().__getitem__(key)

    def _check(self) -> None:
        if self.fails:
            raise MemoryError


class LogMemorySuite:
    def test_lines_are_dropped_until_there_is_memory(self) -> None:
        """Guards against an error where errors are logged."""
        reading, writing = os.pipe()
        handler = BoundedHandler(writing)
        handler.setFormatter(logging.Formatter("%(message)s"))
        buffer = Buffer(b"a line before\n")
        handler._buffer = buffer
        record = logging.makeLogRecord({"msg": "a line"})
        handler.emit(record)
        handler.flush()
        assert handler.dropped == 1
        buffer.fails = False
        handler.emit(record)
        handler.flush()
        written = os.read(reading, 65_536)
        os.close(reading)
        os.close(writing)
        assert written == (
            b'a line before\n{"event":"lines_dropped","count":1}\na line\n'
        )
