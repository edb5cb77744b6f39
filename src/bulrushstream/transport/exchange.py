"""One request of a caller, and the methods to answer it."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.requestreader import Request

if TYPE_CHECKING:
    from bulrushstream.transport.ingress import ClientConnection

_REASONS: Final = {each.value: each.phrase.encode() for each in HTTPStatus}


class BodyWriter:
    """Writes and ends the body of one response.

    Only who began the response has it, so that no other can add to it.
    """

    __slots__ = ("_exchange",)

    def __init__(self, exchange: Exchange) -> None:
        """Make the writer of a response whose head was written.

        :param exchange: the request
        """
        self._exchange = exchange

    def write(self, data: bytes) -> None:
        """Write a piece of the body.

        :param data: the piece
        """
        exchange = self._exchange
        if exchange.ended or exchange.bodyless or not data:
            return
        exchange.sent_bytes += len(data)
        if exchange.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        exchange.connection.write(data)

    def finish(self) -> None:
        """End a complete response."""
        exchange = self._exchange
        if exchange.ended:
            return
        if exchange.chunked:
            exchange.connection.write(b"0\r\n\r\n")
        exchange.ended = True
        exchange.connection.exchange_finished(exchange)


class Exchange(Request):
    """One request of a caller, and its response."""

    __slots__ = (
        "arrived_s",
        "bodyless",
        "chunked",
        "connection",
        "ended",
        "full",
        "on_disconnect",
        "on_room",
        "sent_bytes",
        "started",
    )

    def __init__(self, connection: ClientConnection) -> None:
        """Make an exchange whose request has not been received yet.

        :param connection: the caller's connection
        """
        super().__init__()
        self.connection = connection
        self.arrived_s = 0.0
        self.started = False  # Whether the head was written.
        self.sent_bytes = 0  # Written of the body.
        self.chunked = False  # Whether chunked encoding is used.
        self.bodyless = False  # Whether HTTP forbids a body.
        self.ended = False  # Whether the response has ended.
        self.full = False  # Whether the caller has much to read first.
        self.on_room: Callable[[], None] | None = None  # It is not any more.
        self.on_disconnect: Callable[[], None] | None = None

    def answer(
        self, status: int, headers: RawHeaders, body: bytes = b""
    ) -> None:
        """Write a complete response.

        :param status: the HTTP status
        :param headers: headers without content-length, transfer-encoding
            and connection
        :param body: the complete body
        """
        if self.started:
            # Another response has begun.
            self.abort()
            return
        if self.ended:
            return
        self.started = True
        length = b"content-length: %d\r\n" % len(body)
        if self.method == b"HEAD" or status in (204, 304):
            body = b""
        self.sent_bytes = len(body)
        self.connection.write(self._head(status, headers, length) + body)
        self.ended = True
        self.connection.exchange_finished(self)

    def begin(
        self, status: int, headers: RawHeaders, length: int | None
    ) -> BodyWriter:
        """Write a response's head; the body follows in pieces.

        A body of unknown length is sent in chunks, as the end of a killed
        process closes its connections in order.  To callers that accept no
        chunks, any end but that of a whole response is a reset.

        :param status: the HTTP status
        :param headers: headers without content-length, transfer-encoding
            and connection
        :param length: the body's length in bytes; None: unknown
        :returns: the writer of the body
        """
        if self.started:
            # Another response has begun.
            self.abort()
        if self.ended:
            return BodyWriter(self)
        self.started = True
        self.bodyless = self.method == b"HEAD" or status in (204, 304)
        until_close = length is None and not self.accepts_chunked
        if length is not None:
            framing = b"content-length: %d\r\n" % length
        elif not until_close:
            self.chunked = not self.bodyless
            framing = b"transfer-encoding: chunked\r\n"
        else:
            self.keep_alive = False
            framing = b""
            if not self.bodyless:
                self.connection.reset_unless_finished()
        self.connection.write(self._head(status, headers, framing))
        return BodyWriter(self)

    def is_caller_gone(self) -> bool:
        """Return whether the caller closed, even if that was not read yet."""
        return self.ended or self.connection.has_peer_closed()

    def abort(self) -> None:
        """Abort the connection, so that the response is seen as truncated."""
        if self.ended:
            return
        self.ended = True
        self.connection.abort()

    def _head(self, status: int, headers: RawHeaders, framing: bytes) -> bytes:
        """Return the encoded head of a response."""
        if self.connection.closing and not self.connection.has_waiting:
            self.keep_alive = False
        reason = _REASONS.get(status, b"Unknown")
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines += [b"%b: %b\r\n" % pair for pair in headers]
        lines.append(framing)
        if not self.keep_alive:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)
