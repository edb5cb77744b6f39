"""Parses the requests of one caller's connection, within limits.

All bytes of a request that are not body data have one limit: its head, the
lines between requests, sizes and extensions of chunks, and trailers.
"""

from __future__ import annotations

from typing import Final, Generic, Protocol, TypeVar

import httptools

from bulrushstream.state.call import RawHeaders
from bulrushstream.state.excess import ExcessReason
from bulrushstream.transport.requestparser import RequestParser

# Limit of a request's headers and trailers.
MAX_HEADERS: Final = 256

# What a request may have beside a head of the largest size.
SPARE_BYTES: Final = 4_096

# Size line and end of an ordinary chunk, which do not count.
CHUNK_FRAMING_BYTES: Final = 16

# What a header takes in memory beside its bytes.
HEADER_OVERHEAD_BYTES: Final = 128


class Request:
    """One request, complete or not."""

    __slots__ = (
        "accepts_chunked",
        "body",
        "head_bytes",
        "headers",
        "keep_alive",
        "method",
        "target",
    )

    def __init__(self) -> None:
        """Make a request of which nothing has been received yet."""
        self.method = b""
        self.target = b""
        self.headers: RawHeaders = []
        self.body: bytes = b""
        self.keep_alive = True
        self.accepts_chunked = True  # Not so for HTTP/1.0.
        self.head_bytes = 0  # In memory; known once the head is complete.


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


AnyRequest = TypeVar("AnyRequest", bound=Request)


class RequestSink(Protocol[AnyRequest]):
    """Takes requests; its methods may raise `RejectedError`."""

    def new_request(self) -> AnyRequest:
        """Return a request of which nothing has been received yet."""

    def head_received(self, request: AnyRequest) -> None:
        """Handle a request whose head is complete."""

    def body_received(self, size_bytes: int) -> None:
        """Count a piece of a body before it is kept."""

    def request_received(self, request: AnyRequest) -> None:
        """Handle a complete request."""

    @property
    def max_head_bytes(self) -> int:
        """Return the limit of a head's bytes."""


class RequestReader(Generic[AnyRequest]):
    """Parses the requests of one connection."""

    __slots__ = (
        "_begun_now",
        "_chunk_begun",
        "_fed_bytes",
        "_first_piece",
        "_header_count",
        "_parser",
        "_request",
        "_rest",
        "_sink",
        "_uncounted_bytes",
        "body_bytes",
        "framing_bytes",
        "in_head",
    )

    def __init__(self, sink: RequestSink[AnyRequest]) -> None:
        """Make a reader at the start of a connection.

        :param sink: takes the requests
        """
        self._sink = sink
        self._parser = RequestParser(self)
        self._request: AnyRequest | None = None
        self._first_piece = b""  # Of the body; often all of it.
        self._rest = bytearray()
        self._header_count = 0
        self._begun_now = False  # Whether the request began in this read.
        self._fed_bytes = 0  # Of this read, without its whole requests.
        # What the request may have of a read that another one ended in.
        self._uncounted_bytes = 0
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
        """Return the bytes of the incomplete request, or more."""
        if self._request is None:
            return self.framing_bytes
        return (
            self.framing_bytes
            + self.body_bytes
            + self._uncounted_bytes
            + self._header_count * HEADER_OVERHEAD_BYTES
        )

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        :param data: the bytes
        :raises RejectedError: if a request is not accepted
        """
        self.framing_bytes += len(data)
        self._fed_bytes = len(data)
        self._begun_now = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, RejectedError):
                raise cause from None
            raise RejectedError(400) from error
        except httptools.HttpParserError:
            raise RejectedError(400) from None
        if self.framing_bytes > self._sink.max_head_bytes + SPARE_BYTES:
            if self.in_head:
                raise RejectedError(431, ExcessReason.HEAD)
            status = 431 if self._chunk_begun else 400
            raise RejectedError(status, ExcessReason.FRAMING)

    def discard(self) -> None:
        """Drop the incomplete request; nothing may be fed afterwards."""
        self._request = None
        self._first_piece = b""
        self._rest.clear()
        self.body_bytes = self.framing_bytes = 0

    # --- Called by the parser.

    @property
    def received_head(self) -> tuple[bytes, RawHeaders]:
        """Return the target and the headers of the request being read."""
        request = self._request
        return (request.target, request.headers) if request else (b"", [])

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = self._sink.new_request()
        self._header_count = 0
        self._begun_now = True

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
        size = len(request.target) + sum(
            len(name) + len(value) + 4 for name, value in request.headers
        )
        if size > self._sink.max_head_bytes:
            raise RejectedError(431, ExcessReason.HEAD)
        overhead_bytes = len(request.headers) * HEADER_OVERHEAD_BYTES
        request.head_bytes = size + overhead_bytes
        self._sink.head_received(request)

    def on_chunk_header(self) -> None:
        """Do not count the ordinary part of a chunk's framing."""
        self._chunk_begun = True
        self.framing_bytes -= min(CHUNK_FRAMING_BYTES, self.framing_bytes)

    def on_chunk_complete(self) -> None:
        """Expect another chunk."""
        self._chunk_begun = False

    def on_body(self, data: bytes) -> None:
        """Store a piece of the body."""
        size = len(data)
        self.framing_bytes -= min(size, self.framing_bytes)
        self.body_bytes += size
        self._sink.body_received(size)
        if self._first_piece:
            self._rest += data
        else:
            self._first_piece = data

    def on_message_complete(self) -> None:
        """Pass on a complete request."""
        request = self._request
        if request is None:
            return
        request.body = self._first_piece
        if self._rest:
            request.body += self._rest
        if self._begun_now:
            self._fed_bytes -= self._whole_bytes(request)
        self.discard()
        self._uncounted_bytes = max(0, self._fed_bytes)
        self.in_head = True
        self._sink.request_received(request)

    @staticmethod
    def _whole_bytes(request: Request) -> int:
        """Return the least number of bytes that a request was sent in."""
        overhead_bytes = len(request.headers) * (HEADER_OVERHEAD_BYTES + 1)
        return request.head_bytes - overhead_bytes + len(request.body)
