"""Parses requests, and takes up no offer to speak another protocol.

A caller may offer that in the head of any request, as client libraries do for
HTTP/2.  A server that does not take it up handles the request as any other
(RFC 9110, 7.8).  `httptools` ends such a request at its head, and leaves its
body to the other protocol.  So its head is parsed once more, without the
offer, by another parser that goes on behind it.
"""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Final, Protocol

import httptools

from bulrushstream.state.call import RawHeaders

_CONNECT: Final = b"CONNECT"


class ParserSink(Protocol):
    """Takes what a parser finds; see `httptools.HttpRequestParser`."""

    @property
    def received_head(self) -> tuple[bytes, RawHeaders]:
        """Return the target and the headers of the request being read."""

    def on_message_begin(self) -> None:
        """Start a new request."""

    def on_url(self, url: bytes) -> None:
        """Handle a piece of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or a trailer."""

    def on_headers_complete(self) -> None:
        """Handle the end of a head."""

    def on_body(self, body: bytes) -> None:
        """Handle a piece of a body."""

    def on_chunk_header(self) -> None:
        """Handle the size line of a chunk."""

    def on_chunk_complete(self) -> None:
        """Handle the end of a chunk."""

    def on_message_complete(self) -> None:
        """Handle the end of a request."""


class TunnelError(ValueError):
    """A request for a tunnel, which has no body and needs all that follows."""


class RequestParser:
    """Stands in for `httptools.HttpRequestParser`."""

    def __init__(
        self, sink: ParserSink, *, lenient_data_after_close: bool = False
    ) -> None:
        """Make a parser at the start of a connection.

        :param sink: takes what it finds
        :param lenient_data_after_close: whether bytes behind a request that
            ends the connection are no error
        """
        self._sink = sink
        self._lenient = lenient_data_after_close
        self._offered = False  # Whether a head ended with an offer.
        # Whether that head is parsed once more; the sink has it already.
        self._repeating = False
        self._parser = self._make_parser()

    def feed_data(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        :param data: the bytes
        :raises httptools.HttpParserError: if they are no request, or one for
            a tunnel; its context is what the sink raised, if it did
        """
        rest: bytes | memoryview | None = data
        while rest is not None:
            data, rest = rest, None
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                rest = data[upgrade.args[0] :]
            # Outside the handler, which would be the context of its errors.
            if rest is not None:
                self._repeat_head()

    def get_method(self) -> bytes:
        """Return the method of the request."""
        method: bytes = self._parser.get_method()
        return method

    def get_http_version(self) -> str:
        """Return the version of the request."""
        version: str = self._parser.get_http_version()
        return version

    def should_keep_alive(self) -> bool:
        """Return whether the request leaves the connection open."""
        return bool(self._parser.should_keep_alive())

    def should_upgrade(self) -> bool:
        """Return that no other protocol is spoken."""
        return False

    def close(self) -> None:
        """Drop the parser, which refers to the sink."""
        del self._parser

    def _make_parser(self) -> Any:
        """Return a parser that calls the sink."""
        sink = self._sink
        head: list[Callable[..., None]]
        head = [sink.on_message_begin, sink.on_url, sink.on_header]
        if self._repeating:
            head = [self._unless_repeating(handle) for handle in head]
        # The sink's own methods, as calls between cost time.
        parser = httptools.HttpRequestParser(
            SimpleNamespace(
                on_message_begin=head[0],
                on_url=head[1],
                on_header=head[2],
                on_headers_complete=self._end_head,
                on_body=sink.on_body,
                on_chunk_header=sink.on_chunk_header,
                on_chunk_complete=sink.on_chunk_complete,
                on_message_complete=self._end_request,
            )
        )
        if self._lenient:
            parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def _unless_repeating(
        self, handle: Callable[..., None]
    ) -> Callable[..., None]:
        """Return a handler that leaves out a head that is repeated."""

        def handle_new(*parts: bytes) -> None:
            if not self._repeating:
                handle(*parts)

        return handle_new

    def _end_head(self) -> None:
        """Pass on the end of a head, unless it has to be repeated."""
        if self._parser.should_upgrade():
            if self._parser.get_method() == _CONNECT:
                raise TunnelError
            self._offered = True
            return
        self._repeating = False
        self._sink.on_headers_complete()

    def _end_request(self) -> None:
        """Pass on the end of a request, unless its body is to come."""
        if not self._offered:
            self._sink.on_message_complete()

    def _repeat_head(self) -> None:
        """Parse the head of a request once more, without its offer."""
        target, headers = self._sink.received_head
        version = self._parser.get_http_version().encode()
        method = self._parser.get_method()
        lines = [b"%b %b HTTP/%b" % (method, target, version)]
        lines += [
            name + b": " + value
            for name, value in headers
            if name.lower() != b"upgrade"
        ]
        self._offered, self._repeating = False, True
        self._parser = self._make_parser()
        self._parser.feed_data(b"\r\n".join([*lines, b"", b""]))
