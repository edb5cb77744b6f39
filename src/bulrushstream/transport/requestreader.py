"""Parses the requests of one caller's connection, within limits.

All bytes of a request that are not body data have one limit: its head, the
lines between requests, sizes and extensions of chunks, and trailers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, Protocol

import httptools

from bulrushstream.state.call import RawHeaders
from bulrushstream.state.excess import ExcessReason

# Limit of a request's headers and trailers.
MAX_HEADERS: Final = 256

# What a request may have beside a head of the largest size.
SPARE_BYTES: Final = 4_096

# Size line and end of an ordinary chunk, which do not count.
CHUNK_FRAMING_BYTES: Final = 16

# Pieces of a body that are kept apart.
MAX_PIECES: Final = 1_024


@dataclass(slots=True)
class Request:
    """One request, complete or not."""

    method: bytes = b""
    target: bytes = b""
    headers: RawHeaders = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    accepts_chunked: bool = True  # Not so for HTTP/1.0.
    head_bytes: int = 0  # Known once the head is complete.


class RejectedError(Exception):
    """A request that is not accepted; nothing is read after it."""

    def __init__(
        self, status: int, reason: ExcessReason | None = None
    ) -> None:
        """Make the error.

        :param status: the HTTP status of the response
        :param reason: what exceeded its limit; None: it was invalid
        """
        super().__init__(status)
        self.status = status
        self.reason = reason


class RequestSink(Protocol):
    """Takes requests; its methods may raise `RejectedError`."""

    def head_received(self, request: Request) -> None:
        """Handle a request whose head is complete."""

    def body_received(self, size_bytes: int) -> None:
        """Count a piece of a body before it is kept."""

    def request_received(self, request: Request) -> None:
        """Handle a complete request."""

    @property
    def max_head_bytes(self) -> int:
        """Return the limit of a head's bytes."""


class RequestReader:
    """Parses the requests of one connection."""

    __slots__ = (
        "_chunk_begun",
        "_gathered",
        "_header_count",
        "_parser",
        "_pieces",
        "_request",
        "_sink",
        "body_bytes",
        "framing_bytes",
        "in_head",
    )

    def __init__(self, sink: RequestSink) -> None:
        """Make a reader at the start of a connection.

        :param sink: takes the requests
        """
        self._sink = sink
        self._parser = httptools.HttpRequestParser(self)
        self._request: Request | None = None
        self._pieces: list[bytes] = []
        self._gathered = bytearray()  # Of the body, before the pieces.
        self._header_count = 0
        self._chunk_begun = False  # Whether a chunk's size line is complete.
        self.body_bytes = 0  # Received of the body.
        self.framing_bytes = 0  # Received of the request, beside its body.
        self.in_head = True

    @property
    def receiving(self) -> bool:
        """Return whether a part of a request has arrived."""
        return self._request is not None or self.framing_bytes > 0

    @property
    def kept_bytes(self) -> int:
        """Return the bytes of the incomplete request."""
        return self.framing_bytes + self.body_bytes

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        :param data: the bytes
        :raises RejectedError: if a request is not accepted
        """
        self.framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, RejectedError):
                raise cause from None
            raise RejectedError(400) from error
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            raise RejectedError(400) from None
        if self.framing_bytes > self._sink.max_head_bytes + SPARE_BYTES:
            if self.in_head:
                raise RejectedError(431, ExcessReason.HEAD)
            status = 431 if self._chunk_begun else 400
            raise RejectedError(status, ExcessReason.FRAMING)

    def discard(self) -> None:
        """Drop the incomplete request; nothing may be fed afterwards."""
        self._request = None
        self._pieces = []
        self._gathered = bytearray()
        self.body_bytes = self.framing_bytes = 0

    # --- Called by the parser.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = Request()
        self._header_count = 0

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        if self._request is not None:
            self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or drop a trailer."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise RejectedError(431, ExcessReason.HEADERS)
        if self._request is not None and self.in_head:
            self._request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head of a request."""
        request = self._request
        if request is None:
            return
        self.in_head = False
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        request.accepts_chunked = self._parser.get_http_version() != "1.0"
        request.head_bytes = len(request.target) + sum(
            len(name) + len(value) + 4 for name, value in request.headers
        )
        if request.head_bytes > self._sink.max_head_bytes:
            raise RejectedError(431, ExcessReason.HEAD)
        self._sink.head_received(request)

    def on_chunk_header(self) -> None:
        """Do not count the ordinary part of a chunk's framing."""
        self._chunk_begun = True
        self._discount(CHUNK_FRAMING_BYTES)

    def on_chunk_complete(self) -> None:
        """Expect another chunk."""
        self._chunk_begun = False

    def on_body(self, data: bytes) -> None:
        """Store a piece of the body."""
        size = len(data)
        self._discount(size)
        self.body_bytes += size
        self._sink.body_received(size)
        self._pieces.append(data)
        if len(self._pieces) >= MAX_PIECES:
            self._gathered += b"".join(self._pieces)
            self._pieces.clear()

    def on_message_complete(self) -> None:
        """Pass on a complete request."""
        request, pieces = self._request, self._pieces
        if request is None:
            return
        if self._gathered:
            pieces.insert(0, bytes(self._gathered))
        request.body = b"".join(pieces)
        self.discard()
        self.in_head = True
        self._sink.request_received(request)

    def _discount(self, size_bytes: int) -> None:
        """Subtract bytes that are no framing, or ordinary framing."""
        self.framing_bytes = max(0, self.framing_bytes - size_bytes)
