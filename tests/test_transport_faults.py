"""Connections of callers whose transports fail amid an answer.

Guards against bytes of an answer that are sent twice, or left out, as memory
runs out after the kernel took a part of them.
"""

from __future__ import annotations

import asyncio
from typing import Any, Final

from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits

REQUEST: Final = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LIMITS: Final = IngressLimits()


class FailingTransport:
    """A transport of which one write fails after some of its bytes."""

    def __init__(self, transport: Any, writes: int) -> None:
        self._transport = transport
        self._writes_left = writes

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._writes_left -= 1
        if self._writes_left == 0:
            self._transport.write(data[:3])
            raise MemoryError
        self._transport.write(data)


class TransportFaultSuite:
    async def test_a_write_fails(self) -> None:
        """Guards against bytes that follow a write that was cut."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)

        def handle(exchange: Exchange) -> None:
            connection: Any = exchange.connection
            transport = connection._transport
            connection._transport = FailingTransport(transport, writes=3)
            writer = exchange.begin(200, [], None)
            for number, piece in enumerate((b"first", b"second", b"third")):
                loop.call_later(0.01 * number, writer.write, piece)
            loop.call_later(0.05, writer.finish)

        received = await self._receive(handle)
        assert received == b"5\r\nfirst\r\n" + b"6\r\n"

    async def _receive(self, handle: Any) -> bytes:
        """Ask for an answer; return what comes of its body."""
        loop = asyncio.get_running_loop()
        ingress = Ingress(handle, LIMITS, loop.time)
        server = await loop.create_server(
            ingress.make_connection, "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        received = bytearray()
        try:
            async with asyncio.timeout(5.0):
                while data := await reader.read(65_536):
                    received += data
        except (ConnectionError, TimeoutError):
            pass
        writer.transport.abort()
        server.close()
        return bytes(received)
