"""Connections of callers whose transports fail amid an answer.

Guards against bytes of an answer that are sent twice, or left out, as memory
runs out after the kernel took a part of them.
"""

from __future__ import annotations

import asyncio
import socket
import tracemalloc
from typing import Any, Final

from bulrushstream.transport.callbackfaults import end_failed_connection
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits
from bulrushstream.transport.udp import open_udp

REQUEST: Final = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
# More than the kernel's buffers take.
PIECE: Final = b"".join(b"%08d" % number for number in range(1_000_000))
LIMITS: Final = IngressLimits(unread_bytes=len(PIECE))


class FailingBuffer(bytearray):
    """A buffer that can't be cut once, as a shorter one needs memory."""

    failed = False

    def __delitem__(self, key: Any) -> None:
        if not self.failed:
            self.failed = True
            raise MemoryError
        super().__delitem__(key)


def fail_buffer(transport: Any) -> FailingBuffer:
    """Make the transport's buffer fail; return it."""
    transport._buffer = FailingBuffer(transport._buffer)
    buffer: FailingBuffer = transport._buffer
    return buffer


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
    async def test_sent_bytes_can_not_be_removed(self) -> None:
        """Guards against bytes that are sent twice."""
        loop = asyncio.get_running_loop()
        # As the router's process does.
        loop.set_exception_handler(end_failed_connection)
        buffers = []

        def handle(exchange: Exchange) -> None:
            writer = exchange.begin(200, [], None)
            writer.write(PIECE)
            buffers.append(fail_buffer(exchange.connection._transport))
            writer.finish()

        received = await self._receive(handle)
        assert buffers[0].failed
        written = b"%x\r\n%b\r\n0\r\n\r\n" % (len(PIECE), PIECE)
        assert len(received) < len(written)
        assert written.startswith(received)

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


class Datagrams:
    """Keeps what arrives; see `udp.DatagramReceiver`."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.received.append(data)

    def error_received(self, exc: Exception) -> None:
        raise exc


class DatagramSuite:
    async def test_reading_needs_little_memory(self) -> None:
        """Guards against a loop that spins as it can't read a datagram."""
        receiver = Datagrams()
        port = open_udp("127.0.0.1", 0, receiver)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"an update", port._sock.getsockname())
        tracemalloc.start()
        port._read()
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        port.close()
        assert receiver.received == [b"an update"]
        assert peak_bytes < 8_192
