"""Callers that send requests without end, and others that don't."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from itertools import chain, cycle, islice, repeat
from typing import Any, Final

from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.state.excess import ExcessReason

READ_BYTES: Final = 262_144  # What the event loop reads at once.
CHUNKED: Final = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE: Final = b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
LAST: Final = CHUNKED + b"1\r\nx\r\n0\r\n"

# The beginning, what follows without end, and the expected status.
ENDLESS: Final = {
    "head": (b"GET /a HTTP/1.1\r\nx: ", b"x", 431),
    "headers": (b"GET /a HTTP/1.1\r\n", b"x:\r\n", 431),
    "url": (b"GET /", b"x", 431),
    "lines": (b"", b"\r\n", 431),
    "size": (CHUNKED, b"0", 400),
    "extension": (CHUNKED + b"1;", b"x", 400),
    "later extension": (CHUNKED + b"1\r\nx\r\n1;", b"x", 400),
    "trailer": (LAST + b"x: ", b"x", 431),
    "trailers": (LAST, b"x:\r\n", 431),
    "body": (CHUNKED, b"400\r\n%b\r\n" % (b"x" * 1024), 413),
    "tiny chunks": (CHUNKED, b"1\r\nx\r\n", 413),
    "behind another": (WHOLE + LAST + b"x: ", b"x", 200),
}
MAX_BODY_BYTES: Final = 10_000
REASONS: Final = {
    "head": ExcessReason.HEAD,
    "headers": ExcessReason.HEADERS,
    "url": ExcessReason.HEAD,
    "lines": ExcessReason.HEAD,
    "trailers": ExcessReason.HEADERS,
    "body": ExcessReason.BODY,
    "tiny chunks": ExcessReason.BODY,
}


HONEST: Final = {
    "long body": [
        b"POST /a HTTP/1.1\r\nContent-Length: 4194304\r\n\r\n",
        *[b"x" * READ_BYTES] * 16,
    ],
    "short chunks": [
        CHUNKED,
        *[b"64\r\n%b\r\n" % (b"x" * 100)] * 10_000,
        b"0\r\n\r\n",
    ],
    "tiny chunks": [CHUNKED, b"1\r\nx\r\n" * 100_000, b"0\r\n\r\n"],
    "trailers": [LAST + b"name: %b\r\n" % (b"x" * 100) * 20 + b"\r\n"],
    "extensions": [CHUNKED, b"1;name=value\r\nx\r\n" * 500 + b"0\r\n\r\n"],
    "largest head": [
        b"GET /a HTTP/1.1\r\n",
        *[b"x: %b\r\n" % (b"x" * 100)] * 150,
        b"\r\n",
    ],
    "expects": [
        b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\n"
        b"Content-Length: 2\r\n\r\n",
        b"hi",
    ],
    "pipelined": [WHOLE * 16],
    "pipelined, long": [
        b"POST /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536
    ]
    * 16,
}


class CallerTransport(asyncio.Transport):
    """A caller's connection, of which the router reads while it wants."""

    def __init__(self, connection: asyncio.Protocol) -> None:
        super().__init__({"peername": ("192.0.2.7", 40000)})
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self.answer = b""
        self.read_bytes = 0
        self.paused = self.ended = self.closed = False
        connection.connection_made(self)

    async def send(self, pieces: Iterable[bytes], pause_s: float = 0) -> None:
        """Send pieces for as long as they are read."""
        for piece in pieces:
            while self.paused and not self.closed:
                await asyncio.sleep(0.001)
            if self.closed:
                return
            self.read_bytes += len(piece)
            self._connection.data_received(piece)
            await asyncio.sleep(pause_s)

    @property
    def statuses(self) -> list[int]:
        heads = self.answer.split(b"HTTP/1.1 ")[1:]
        return [int(head[:3]) for head in heads]

    def write(self, data: Any) -> None:
        assert not self.ended
        self.answer += data

    def write_eof(self) -> None:
        self.ended = True

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: all bytes are written at once."""

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if not self._loop.is_closed():
                self._loop.call_soon(self._connection.connection_lost, None)

    abort = close


def play(case: Callable[[], Coroutine[Any, Any, None]]) -> None:
    assert run_virtually(case()) == []


def pieces(start: bytes, repeated: bytes, size: int) -> Iterable[bytes]:
    """Return very many bytes in pieces of a size."""
    if size == 1:
        units = chain(start, cycle(repeated))
        return (bytes([each]) for each in islice(units, 100_000))
    block = repeated * (size // len(repeated))
    return chain([start + block], repeat(block, 2_500_000 // len(block)))
