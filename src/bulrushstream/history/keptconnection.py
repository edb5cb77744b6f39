"""A connection that a simulated endpoint kept after it refused a request.

The router's end runs the real code on the bytes that the endpoint writes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from bulrushstream.state.excess import ExcessReason
from bulrushstream.transport.connection import Connection, Sink
from bulrushstream.transport.readturns import ReadTurns


class KeptTransport(asyncio.Transport):
    """Takes the bytes that the router writes."""

    def __init__(self) -> None:
        super().__init__()
        self.closed = False

    def write(self, data: Any) -> None:
        """Do nothing: the endpoint knows the request already."""

    def abort(self) -> None:
        """Close the connection."""
        self.closed = True

    def is_closing(self) -> bool:
        """Return whether the router closed the connection."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not written yet."""
        return 0


class KeptConnection:
    """The connection; it owns itself, as it is not used again."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Open the connection.

        :param clock: the time in seconds
        """
        self.clock = clock
        self.turns = ReadTurns()
        self.memory = None
        self._transport = KeptTransport()
        self._connection = Connection(self)
        self._connection.connection_made(self._transport)

    def send(self, payload: bytes, sink: Sink) -> None:
        """Send the router's request.

        :param payload: the encoded request
        :param sink: receives the response
        """
        self._connection.send(b"POST", payload, sink)

    def receive(self, data: bytes) -> None:
        """Deliver bytes that the endpoint wrote.

        :param data: the bytes
        """
        if not self._transport.closed:
            self._connection.data_received(data)

    def cancel(self) -> None:
        """Close the connection without a call to the sink."""
        self._connection.cancel()

    def spoiled(self) -> None:
        """Do nothing; see `ConnectionOwner`."""

    def release(self, connection: Connection) -> None:
        """Handle the end of a response; see `ConnectionOwner`."""
        connection.close()

    def remove(
        self, connection: Connection, *, ended_by_peer: bool, busy: bool
    ) -> None:
        """Handle the end of the connection; see `ConnectionOwner`."""
        del connection, ended_by_peer, busy

    def exceeded(self, reason: ExcessReason) -> None:
        """Do nothing: the end of the connection is enough."""
        del reason


def encode_response(
    status: int, headers: list[tuple[bytes, bytes]], chunks: list[bytes]
) -> bytes:
    """Return a response with a chunked body.

    :param status: the HTTP status
    :param headers: the headers but for those of the body
    :param chunks: the pieces of the body
    """
    lines = [b"HTTP/1.1 %d Any" % status]
    lines += [b"%b: %b" % pair for pair in headers]
    lines += [b"transfer-encoding: chunked", b"", b""]
    body = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in chunks)
    return b"\r\n".join(lines) + body + b"0\r\n\r\n"
