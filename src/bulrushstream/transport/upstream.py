"""Pooled HTTP client connections, to endpoints and platform services.

A connection carries one request at a time.  A response with the id of
another request is discarded; unexpected bytes close the connection.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final, Protocol

import httptools

from bulrushstream.state.call import RawHeaders
from bulrushstream.state.endpointsigns import ConnectionsSeen

# A healthy endpoint accepts within a few milliseconds; a lost SYN packet is
# retransmitted after one second, which this limit allows for.
CONNECT_TIMEOUT_S: Final = 1.2

# A connection is closed if sent bytes stay unacknowledged for this time.
UNACKNOWLEDGED_MS: Final = 4_000

# How long an idle connection is kept if the peer announces no time-out.
DEFAULT_IDLE_S: Final = 8.0

# An idle connection is closed this long before the peer's time-out.
IDLE_MARGIN_S: Final = 0.5

# A connection that is taken out of use stays open this long, as it may show
# whether its endpoint still runs.
RETIRED_S: Final = 1.0

# How long the ends of connections are remembered, and the spread of those
# that end at the same time.
MAX_ENDED: Final = 1024
ENDED_TOGETHER_S: Final = 0.15

# The spread of those that end at the same moment, with one process.
SAME_MOMENT_S: Final = 0.02

# Limits of a response's head, of the bodies that belong to no request, and of
# the interim responses before a final one.
MAX_HEAD_BYTES: Final = 65_536
MAX_DISCARDED_BYTES: Final = 262_144
MAX_INTERIM: Final = 16

_KEEP_ALIVE: Final = re.compile(rb"timeout=(\d{1,6})")


class ResponseFailure(IntEnum):
    """Why no complete response was received."""

    NOT_SENT = 1  # Not connected; no byte was sent.
    REFUSED = 4  # Connection refused; no byte was sent.
    WITHDRAWN = 2  # The sink returned no payload.
    BROKEN = 3  # Connection lost, or an invalid response.


class Sink(Protocol):
    """Supplies a request and receives its response."""

    def payload(self) -> bytes | None:
        """Return the encoded request; None: do not send it."""

    def head(self, status: int, headers: RawHeaders) -> bool:
        """Handle a head; return whether it belongs to the request."""

    def data(self, data: bytes) -> None:
        """Handle a piece of the response's body."""

    def end(self, *, framed: bool = True) -> None:
        """Handle the end of a complete response.

        :param framed: whether its length was known; otherwise it ended with
            its connection and may be truncated
        """

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        """Handle a failure; no complete response will follow."""


class Connection(asyncio.Protocol):
    """One connection to a peer."""

    def __init__(self, pool: Pool) -> None:
        """Make a protocol that is not connected yet.

        :param pool: the pool that the connection belongs to
        """
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: Sink | None = None
        self._method = b""
        self._headers: RawHeaders = []
        self._in_head = True
        self._head_bytes = 0  # Received since the head began.
        self._interim_count = 0
        self._discarding = False
        self._discarded_bytes = 0
        self._ends_with_close = False
        self._keep_alive = True
        self._unusable = False
        self.keep_alive_s: float | None = None  # Announced by the peer.
        self.idle_until_s = float("inf")
        self.opened_s = pool.clock()
        self.heard_s = float("-inf")  # When the last bytes arrived.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time-out of unacknowledged bytes; see `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self._unusable or self._transport is None

    @property
    def usable(self) -> bool:
        """Return whether the connection can carry a new request."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._sink is None
            and not self._unusable
        )

    def send(self, method: bytes, payload: bytes, sink: Sink) -> None:
        """Send a request.

        :param method: the HTTP method
        :param payload: the encoded request
        :param sink: receives the response
        """
        assert self._transport is not None
        self._interim_count = self._discarded_bytes = 0
        self._sink = sink
        self._method = method
        self._transport.write(payload)

    def cancel(self) -> None:
        """Abort the connection without a call to the sink."""
        self._sink = None
        self.close()

    def close(self) -> None:
        """Abort the connection."""
        self._unusable = True
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End or fail the current response; see `asyncio.Protocol`."""
        self._transport = None
        sink = self._sink
        # Such an end is a part of the response, and shows nothing else.
        ends_response = (
            sink is not None
            and self._ends_with_close
            and exc is None
            and not self._unusable
        )
        self._pool.remove(
            self,
            ended_by_peer=not self._unusable and not ends_response,
            busy=sink is not None,
        )
        self._sink = None
        if sink is None:
            return
        if ends_response:
            sink.end(framed=False)
        else:
            sink.failed(ResponseFailure.BROKEN, f"connection lost: {exc}")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; see `asyncio.Protocol`."""
        self.heard_s = self._pool.clock()
        if self._sink is None:
            self.close()
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as why:
            self._fail(f"invalid response: {why}")
            return
        if self._unusable:
            self.close()
        elif self._in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._fail("the head is too long")
        elif self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._fail("a response to another request is too long")
        elif self._interim_count > MAX_INTERIM:
            self._fail("too many interim responses")

    def on_message_begin(self) -> None:
        """Start a new response; called by the parser."""
        self._headers = []
        if not self._in_head:
            self._in_head = True
            self._head_bytes = 0
        if self._sink is None:
            self._unusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass a response's head to the sink; called by the parser."""
        self._in_head = False
        sink = self._sink
        if sink is None or self._unusable:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._interim_count += 1
            self._discarding = True
            return
        self._keep_alive = self._parser.should_keep_alive()
        self.keep_alive_s = _keep_alive_s(self._headers)
        self._discarding = not sink.head(status, self._headers)
        self._ends_with_close = not self._discarding and not _is_framed(
            status, self._headers
        )
        if self._method == b"HEAD" and not self._discarding:
            self._unusable = True
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body to the sink; called by the parser."""
        if self._discarding:
            self._discarded_bytes += len(data)
        elif self._sink is not None:
            self._sink.data(data)

    def on_message_complete(self) -> None:
        """Handle the end of a response; called by the parser."""
        if self._discarding:
            self._discarding = False
            return
        if self._sink is not None:
            self._finish()

    def _finish(self) -> None:
        """End the response; return the connection to the pool or close it."""
        sink = self._sink
        self._sink = None
        self._ends_with_close = False
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size()
        if unsent or not self._keep_alive:
            self._unusable = True
        if sink is not None:
            sink.end()
        if self._unusable:
            self.close()
        else:
            self._pool.release(self)

    def _fail(self, why: str) -> None:
        """Report an invalid response and abort the connection."""
        sink = self._sink
        self._sink = None
        self.close()
        if sink is not None:
            sink.failed(ResponseFailure.BROKEN, why)


def _is_framed(status: int, headers: RawHeaders) -> bool:
    """Return whether a response can end before the connection closes."""
    if status in (204, 304):
        return True
    names = {name.lower() for name, _ in headers}
    return b"content-length" in names or b"transfer-encoding" in names


def _keep_alive_s(headers: RawHeaders) -> float | None:
    """Return the idle time-out in a peer's keep-alive header, if any."""
    for name, value in headers:
        if name.lower() == b"keep-alive":
            found = _KEEP_ALIVE.search(value)
            return float(found[1]) if found else None
    return None


@dataclass(slots=True)
class PoolOptions:
    """Limits and time-outs of a pool."""

    max_connections: int = 64  # Open or being opened.
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    idle_s: float = DEFAULT_IDLE_S  # The peer may announce a shorter time.


class PendingRequest:
    """A handle to cancel a request."""

    __slots__ = ("_connection", "_task", "cancelled", "reused")

    def __init__(self) -> None:
        self._connection: Connection | None = None
        self._task: asyncio.Task[None] | None = None
        self.cancelled = False
        self.reused = False  # Whether its connection was used before.

    def cancel(self) -> None:
        """Cancel the request; its sink is not called again."""
        self.cancelled = True
        if self._connection is not None:
            self._connection.cancel()
        elif self._task is not None:
            self._task.cancel()

    def attach_connection(self, connection: Connection) -> None:
        """Set the connection that carries the request.

        :param connection: the connection
        """
        self._connection = connection

    def attach_task(self, task: asyncio.Task[None]) -> None:
        """Set the task that opens the connection.

        :param task: the task
        """
        self._task = task


@dataclass(slots=True)
class Pool:
    """The connections to one address."""

    host: str  # The IP address.
    port: int
    clock: Callable[[], float]  # Returns the time in seconds.
    options: PoolOptions = field(default_factory=PoolOptions)
    on_connect: Callable[[], None] | None = None  # For metrics.
    _idle: deque[Connection] = field(default_factory=deque)
    _retired: deque[Connection] = field(default_factory=deque)
    _all: set[Connection] = field(default_factory=set)
    _connecting: int = 0  # Connections being opened.
    # When each connection that the peer ended was opened and ended, and
    # whether it carried a request.
    _ended: deque[tuple[float, float, bool]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED)
    )

    def send(
        self,
        method: bytes,
        sink: Sink,
        *,
        fresh: bool = False,
        reuse: bool = True,
    ) -> PendingRequest:
        """Send a request on an idle connection or a new one.

        :param method: the HTTP method
        :param sink: supplies the request and receives the response
        :param fresh: whether an idle connection must have been used within
            the first half of its idle time; otherwise open a new one
        :param reuse: whether an idle connection may be used at all
        :returns: a handle to cancel the request
        """
        pending = PendingRequest()
        connection = self._pop_idle(fresh) if reuse else None
        if connection is not None:
            pending.reused = True
            self._send_on(connection, method, sink, pending)
            return pending
        if len(self._all) + self._connecting >= self.options.max_connections:
            loop = asyncio.get_running_loop()
            loop.call_soon(
                _fail_unless_cancelled,
                pending,
                sink,
                "connection pool exhausted",
            )
            return pending
        task = asyncio.get_running_loop().create_task(
            self._connect(method, sink, pending)
        )
        pending.attach_task(task)
        return pending

    def send_on(
        self, connection: Connection, method: bytes, sink: Sink
    ) -> PendingRequest:
        """Send a request on a connection that carries none.

        :param connection: a connection from `pop_witness`
        :param method: the HTTP method
        :param sink: supplies the request and receives the response
        :returns: a handle to cancel the request
        """
        pending = PendingRequest()
        pending.reused = True
        self._send_on(connection, method, sink, pending)
        return pending

    def pop_witness(self, opened_before_s: float) -> Connection | None:
        """Take an idle or retired connection that was opened before a time.

        :param opened_before_s: the time
        :returns: the connection; None: there is none
        """
        for queue in (self._retired, self._idle):
            for connection in queue:
                old = connection.opened_s < opened_before_s
                if old and connection.usable:
                    queue.remove(connection)
                    return connection
        return None

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after a response.

        :param connection: the connection
        """
        idle_s = self.options.idle_s
        if connection.keep_alive_s is not None:
            idle_s = min(idle_s, connection.keep_alive_s - IDLE_MARGIN_S)
        connection.idle_until_s = self.clock() + idle_s
        self._idle.append(connection)

    def remove(
        self,
        connection: Connection,
        *,
        ended_by_peer: bool = False,
        busy: bool = False,
    ) -> None:
        """Remove a closed connection.

        :param connection: the connection
        :param ended_by_peer: whether the peer closed or reset it
        :param busy: whether it carried a request
        """
        self._all.discard(connection)
        for queue in (self._idle, self._retired):
            if connection in queue:
                queue.remove(connection)
        if ended_by_peer:
            self._ended.append((connection.opened_s, self.clock(), busy))

    def seen(self, at_s: float) -> ConnectionsSeen:
        """Return what became of the connections that were open at a time.

        :param at_s: the time, not long ago
        """
        still_open = [
            each
            for each in self._all
            if each.opened_s < at_s and not each.is_closed
        ]
        ended = [
            (ended_s, busy)
            for opened_s, ended_s, busy in self._ended
            if opened_s < at_s and ended_s >= at_s - ENDED_TOGETHER_S
        ]
        return ConnectionsSeen(
            ended=len(ended),
            open=len(still_open),
            heard=any(
                each.heard_s > at_s + ENDED_TOGETHER_S for each in still_open
            ),
            ended_busy=sum(busy for _, busy in ended),
            ended_at_once=sum(
                abs(ended_s - at_s) <= SAME_MOMENT_S for ended_s, _ in ended
            ),
        )

    def is_heard(self, opened_by_s: float, since_s: float) -> bool:
        """Return whether bytes came lately on a connection opened by a time.

        :param opened_by_s: the time by which it was opened
        :param since_s: the time since which bytes count
        """
        return any(
            each.heard_s >= since_s and each.opened_s <= opened_by_s
            for each in self._all
        )

    def heard_s(self, opened_by_s: float) -> float:
        """Return when bytes last came on a connection opened by a time.

        :param opened_by_s: the time
        :returns: the time of the bytes; minus infinity: none came
        """
        return max(
            (
                each.heard_s
                for each in self._all
                if each.opened_s <= opened_by_s
            ),
            default=float("-inf"),
        )

    def add_idle(self) -> None:
        """Open one more connection, which is idle at first."""
        if len(self._all) + self._connecting < self.options.max_connections:
            asyncio.get_running_loop().create_task(self._open_idle())

    def retire_idle(self) -> None:
        """Take all idle connections out of use; close them a little later.

        Until then they show whether the peer still runs.
        """
        close_s = self.clock() + RETIRED_S
        for connection in self._idle:
            connection.idle_until_s = close_s
        self._retired.extend(self._idle)
        self._idle.clear()

    def drop_idle(self) -> None:
        """Close all idle and retired connections."""
        for queue in (self._idle, self._retired):
            while queue:
                queue.popleft().close()

    def expire_idle(self) -> None:
        """Close the idle connections whose idle time has passed."""
        now_s = self.clock()
        for queue in (self._idle, self._retired):
            while queue and queue[0].idle_until_s <= now_s:
                queue.popleft().close()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._all):
            connection.close()
        self._idle.clear()
        self._retired.clear()

    def _pop_idle(self, fresh: bool) -> Connection | None:
        """Return a usable idle connection, or None."""
        now_s = self.clock()
        while self._idle:
            connection = self._idle.pop()
            remaining_s = connection.idle_until_s - now_s
            if fresh and remaining_s < self.options.idle_s / 2:
                self._idle.append(connection)
                return None
            if connection.usable and remaining_s > 0:
                return connection
            connection.close()
        return None

    async def _connect(
        self, method: bytes, sink: Sink, pending: PendingRequest
    ) -> None:
        """Open a connection and send a request on it."""
        loop = asyncio.get_running_loop()
        self._connecting += 1
        try:
            async with asyncio.timeout(self.options.connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(self), self.host, self.port
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            failure = (
                ResponseFailure.REFUSED
                if refused
                else ResponseFailure.NOT_SENT
            )
            if not pending.cancelled:
                sink.failed(failure, f"{type(error).__name__}: {error}")
            return
        finally:
            self._connecting -= 1
        self._all.add(connection)
        if self.on_connect is not None:
            self.on_connect()
        if pending.cancelled:
            self.release(connection)
            return
        self._send_on(connection, method, sink, pending)

    async def _open_idle(self) -> None:
        """Open a connection and keep it idle."""
        loop = asyncio.get_running_loop()
        self._connecting += 1
        try:
            async with asyncio.timeout(self.options.connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(self), self.host, self.port
                )
        except (OSError, TimeoutError):
            return
        finally:
            self._connecting -= 1
        self._all.add(connection)
        if self.on_connect is not None:
            self.on_connect()
        self.release(connection)

    def _send_on(
        self,
        connection: Connection,
        method: bytes,
        sink: Sink,
        pending: PendingRequest,
    ) -> None:
        """Send a request on a connection unless the sink withdraws it."""
        payload = sink.payload()
        if payload is None:
            self.release(connection)
            sink.failed(
                ResponseFailure.WITHDRAWN, "withdrawn before it was sent"
            )
            return
        pending.attach_connection(connection)
        connection.send(method, payload, sink)


def _fail_unless_cancelled(
    pending: PendingRequest, sink: Sink, why: str
) -> None:
    """Report to a sink that its request was not sent."""
    if not pending.cancelled:
        sink.failed(ResponseFailure.NOT_SENT, why)
