"""Simulated servers whose responses have no end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from tests.virtualnetwork import Listener, NetworkLoop, Transport

OK: Final = b"HTTP/1.1 200 OK\r\n"
CHUNKED: Final = OK + b"transfer-encoding: chunked\r\n\r\n"


class Flow(StrEnum):
    """How the bytes of a response without end come."""

    LENGTH = "length"
    CHUNKS = "chunks"
    SMALL_CHUNKS = "small chunks"
    CLOSE = "close"
    TRICKLE = "trickle"


_HEADS: Final = {
    Flow.LENGTH: OK + b"content-length: 999999999999\r\n\r\n",
    Flow.CLOSE: OK + b"\r\n",
}
_PIECES: Final = {
    Flow.CHUNKS: b"10000\r\n" + b"x" * 65536 + b"\r\n",
    Flow.SMALL_CHUNKS: b"2\r\nxx\r\n" * 8192,
    Flow.TRICKLE: b"1\r\nx\r\n",
}


@dataclass(slots=True)
class Flood:
    """One connection of a server that answers without end."""

    loop: NetworkLoop
    transport: Transport
    flow: Flow
    count_sent: Callable[[int], None]
    open: bool = True

    def received(self, data: bytes) -> None:
        del data
        self.transport.send(_HEADS.get(self.flow, CHUNKED))
        self._send()

    def closed(self) -> None:
        self.open = False

    def _send(self) -> None:
        if not self.open:
            return
        piece = _PIECES.get(self.flow, b"x" * 65536)
        self.transport.send(piece)
        self.count_sent(len(piece))
        pause_s = 0.02 if self.flow is Flow.TRICKLE else 0.001
        self.loop.call_later(pause_s, self._send)


@dataclass(slots=True)
class Scripted:
    """One connection of a server that computes each response's body."""

    transport: Transport
    answer: Callable[[str], bytes]  # Receives the target.

    def received(self, data: bytes) -> None:
        body = self.answer(data.split(b" ", 2)[1].decode())
        head = OK + b"content-length: %d\r\n\r\n" % len(body)
        self.transport.send(head + body)

    def closed(self) -> None:
        pass


def flooding(
    loop: NetworkLoop, flow: Flow, count_sent: Callable[[int], None]
) -> Listener:
    """Return a server that answers every request without end."""
    return lambda transport: Flood(loop, transport, flow, count_sent)


def scripted(answer: Callable[[str], bytes]) -> Listener:
    """Return a server that answers every request with a body."""
    return lambda transport: Scripted(transport, answer)
