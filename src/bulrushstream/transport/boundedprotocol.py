"""uvicorn's HTTP protocol with limits on connections and requests.

All bytes of a request that are not its body have one limit.  A request that
is refused gets its answer after those that came before it; then its
connection ends, also if the peer goes on writing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, cast

import uvicorn
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)
from uvicorn.server import ServerState

from bulrushstream.messages import BAD_REQUEST, TOO_MANY_CONNECTIONS, Notice
from bulrushstream.state.call import RawHeaders
from bulrushstream.state.excess import Excess, ExcessReason, OnExcess, PeerKind
from bulrushstream.transport.problem import encode_problem, problem_headers
from bulrushstream.transport.requestparser import RequestParser
from bulrushstream.transport.requestreader import (
    CHUNK_FRAMING_BYTES,
    MAX_HEADERS,
    SPARE_BYTES,
)

# Requests of one connection that wait behind the one being answered.
MAX_PIPELINED: Final = 16

# How long, and how much, a peer may write after its request was refused.
LINGER_S: Final = 2.0
MAX_DROPPED_BYTES: Final = 1 << 20


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server."""

    max_connections: int = 1024  # Open connections.
    max_header_bytes: int = 32768  # Request line and headers together.
    header_timeout_s: float = 10.0  # To receive the head of a request.
    idle_timeout_s: float = 75.0  # Between two requests.


class _RefusedError(Exception):
    """Raised in parser callbacks once a request was refused."""


class BoundedProtocol(HttpToolsProtocol):
    """uvicorn's HTTP protocol with limits on connections and requests."""

    limits: ServerLimits
    _on_headers: Callable[[BoundedProtocol], None]
    _peer: PeerKind  # Who connects.
    _on_excess: OnExcess
    _framing_bytes: int  # Received of a request, beside its body.
    _header_count: int  # Headers and trailers of a request.
    _in_head: bool  # Whether no complete head was received.
    _begun: bool  # Whether a part of a request was received.
    _in_trailers: bool  # Whether the chunk that has begun may be the last.
    _previous: RequestResponseCycle | None  # The request before this one.
    _timer: asyncio.TimerHandle | None  # Limits the time for a part.
    _refused: bool  # Whether what is received is dropped.
    _dropped_bytes: int
    _own_parser: RequestParser  # In place of uvicorn's.

    def __init__(
        self,
        config: uvicorn.Config,
        state: ServerState,
        limits: ServerLimits,
        on_headers: Callable[[BoundedProtocol], None],
        peer: PeerKind,
        on_excess: OnExcess,
    ) -> None:
        """Make a protocol that is not connected yet.

        :param config: uvicorn's settings with the app
        :param state: the server's connections and tasks
        :param limits: the server's limits
        :param on_headers: adds to the scope of a request
        :param peer: who connects
        :param on_excess: logs and counts a peer that sends too much
        """
        super().__init__(config, state, {})
        self._own_parser = RequestParser(self, lenient_data_after_close=True)
        self.parser = cast(Any, self._own_parser)
        self.limits = limits
        self._on_headers = on_headers
        self._peer = peer
        self._on_excess = on_excess
        self._framing_bytes = self._header_count = self._dropped_bytes = 0
        self._in_head = True
        self._begun = self._in_trailers = self._refused = False
        self._previous = None
        self._timer = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start the head's timer, or refuse a connection over the limit."""
        super().connection_made(transport)
        if len(self.connections) > self.limits.max_connections:
            self._refuse(TOO_MANY_CONNECTIONS, 503)
            transport.close()
            return
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer, and drop the parser."""
        self._stop_timer()
        super().connection_lost(exc)
        self._own_parser.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse a request that exceeds a limit."""
        if self.transport.is_closing():
            return
        if self._refused:
            self._dropped_bytes += len(data)
            if self._dropped_bytes <= MAX_DROPPED_BYTES:
                return
            if self._is_answered():
                self.transport.abort()
            else:
                self.flow.pause_reading()
            return
        self._framing_bytes += len(data)
        super().data_received(data)
        if self._refused or not self._framing_bytes:
            return
        limit_bytes = self.limits.max_header_bytes
        if self._in_head and self._framing_bytes > limit_bytes:
            self._refuse_head(ExcessReason.HEAD)
        elif self._framing_bytes > limit_bytes + SPARE_BYTES:
            self._refuse_framing()
        elif not self._begun and self._timer is None and self._is_answered():
            # Bytes between requests belong to the next head.
            self._start_timer()

    @property
    def received_head(self) -> tuple[bytes, RawHeaders]:
        """Return the target and the headers of the request being read."""
        return self.url, self.headers

    def on_message_begin(self) -> None:
        """Start the timer for a head."""
        super().on_message_begin()
        self._begun = self._in_head = True
        self._header_count = 0
        self._start_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or drop a trailer."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._refuse_head(ExcessReason.HEADERS)
            raise _RefusedError
        if self._in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the head's size and pass the request to the app."""
        self._stop_timer()
        size_bytes = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        if size_bytes > self.limits.max_header_bytes:
            self._refuse_head(ExcessReason.HEAD)
            raise _RefusedError
        if len(self.pipeline) >= MAX_PIPELINED:
            why = f"more than {MAX_PIPELINED} requests wait"
            self._refuse(BAD_REQUEST, 400, why, ExcessReason.PIPELINED)
            raise _RefusedError
        self._in_head = False
        self._previous = self.cycle
        self._on_headers(self)
        super().on_headers_complete()

    def on_chunk_header(self) -> None:
        """Do not count the ordinary part of a chunk's framing."""
        self._in_trailers = True
        self._framing_bytes -= min(CHUNK_FRAMING_BYTES, self._framing_bytes)

    def on_chunk_complete(self) -> None:
        """Expect another chunk."""
        self._in_trailers = False

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body to the app."""
        self._framing_bytes -= min(len(body), self._framing_bytes)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect another request."""
        self._framing_bytes = 0
        self._begun = False
        self._in_head = True
        self._stop_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Limit the time for the rest of a request that was answered."""
        super().on_response_complete()
        if self._begun and self._timer is None and self._is_answered():
            self._start_timer()

    def send_400_response(self, msg: str) -> None:
        """Refuse invalid HTTP with a problem document."""
        if not (self._refused or self.transport.is_closing()):
            self._refuse(BAD_REQUEST, 400, why=msg)

    def _is_answered(self) -> bool:
        """Return whether no request with a complete head is unanswered."""
        cycle = self.cycle
        return cycle is None or cycle.response_complete

    def _start_timer(self) -> None:
        """Start to wait for a part of a request."""
        self._stop_timer()
        self._timer = self.loop.call_later(
            self.limits.header_timeout_s, self._close_on_timeout
        )

    def _stop_timer(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_on_timeout(self) -> None:
        """Close a connection whose request was not received in time."""
        self._timer = None
        if not (self._in_head or self._is_answered()):
            return
        if self._framing_bytes or self._begun:
            self._report(ExcessReason.TIME)
        self.transport.close()

    def _refuse_head(self, reason: ExcessReason) -> None:
        """Refuse a head, or trailers, that are too large."""
        why = f"the head exceeds {self.limits.max_header_bytes} bytes"
        if reason is ExcessReason.HEADERS:
            why = f"more than {MAX_HEADERS} headers"
        self._refuse(BAD_REQUEST, 431, why, reason)

    def _refuse_framing(self) -> None:
        """Refuse what surrounds a body and is too large."""
        status = 431 if self._in_trailers else 400
        why = "too much around the body"
        self._refuse(BAD_REQUEST, status, why, ExcessReason.FRAMING)

    def _refuse(
        self,
        notice: Notice,
        status: int,
        why: str = "",
        reason: ExcessReason | None = None,
    ) -> None:
        """Refuse a request, and close after the answers before it."""
        self._refused = True
        self._stop_timer()
        if reason is not None:
            self._report(reason)
        own = None if self._in_head else self.cycle
        before = self.cycle if self._in_head else self._previous
        if before is not None and not before.response_complete:
            before.keep_alive = False
            self.cycle = before
            if own is not None and self.pipeline:
                self.pipeline.popleft()
            return
        if own is not None:
            own.disconnected = True
            own.message_event.set()
        if own is None or not own.response_started:
            self._write_problem(notice, status, why)
        elif not own.response_complete:
            self.transport.close()
            return
        # A close with unread bytes would reset the connection, and the peer
        # lose the answer.
        self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)

    def _write_problem(self, notice: Notice, status: int, why: str) -> None:
        """Write a problem document."""
        body = encode_problem(notice, status=status, why=why)
        head = [b"HTTP/1.1 %d Refused\r\n" % status]
        for name, value in problem_headers(len(body)):
            head.append(name + b": " + value + b"\r\n")
        head.append(b"connection: close\r\n\r\n")
        self.transport.write(b"".join(head) + body)

    def _report(self, reason: ExcessReason) -> None:
        """Report that the peer sent too much."""
        address = f"{self.client[0]}:{self.client[1]}" if self.client else ""
        self._on_excess(Excess(self._peer, address, reason))
