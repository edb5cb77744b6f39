"""Pooled HTTP connections to endpoints, and to whatever else is called.

A connection carries one request at a time.  Whatever comes on it that is
no answer to that request belongs to nobody: an answer with another
request's id is skipped, and any other byte ends the connection.
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

# How long a connection may take to be made; a sound endpoint's takes a few
# milliseconds, and a lost first packet is sent again after a second.
CONNECT_TIMEOUT_S: Final = 1.2

# Bytes that no peer acknowledges for so long end a connection.
UNACKNOWLEDGED_MS: Final = 4_000

# How long an idle connection is kept if its peer does not say.
DEFAULT_IDLE_S: Final = 8.0

# How much earlier than its peer a connection is given up.
IDLE_MARGIN_S: Final = 0.5

_KEEP_ALIVE: Final = re.compile(rb"timeout=(\d{1,6})")


class Loss(IntEnum):
    """Why no whole answer came."""

    NOT_SENT = 1  # No connection was made; no byte went out.
    REFUSED = 4  # Nothing listens there; no byte went out.
    WITHDRAWN = 2  # The caller decided against it before it was sent.
    BROKEN = 3  # The connection ended, or what came was no answer.


class Sink(Protocol):
    """Who takes an answer."""

    def payload(self) -> bytes | None:
        """Return the request's bytes; None: it is not to be sent."""

    def head(self, status: int, headers: RawHeaders) -> bool:
        """Take an answer's head; return whether it is the right one."""

    def data(self, data: bytes) -> None:
        """Take a piece of the answer's body."""

    def end(self) -> None:
        """Take the answer's end: it is whole."""

    def lost(self, loss: Loss, detail: str) -> None:
        """Hear that no whole answer will come."""


class Connection(asyncio.Protocol):
    """One connection to a peer."""

    def __init__(self, pool: Pool) -> None:
        """Make a protocol that is not connected yet.

        :param pool: where it belongs
        """
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: Sink | None = None
        self._method = b""
        self._headers: RawHeaders = []
        self._head_bytes = 0
        self._skipping = False
        self._until_end = False
        self._keep_alive = True
        self._spoilt = False
        self.keep_s: float | None = None  # As the peer last said.
        self.idle_until_s = float("inf")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection over; see `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )

    @property
    def usable(self) -> bool:
        """Return whether a request may be sent on it."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._sink is None
            and not self._spoilt
        )

    def send(self, method: bytes, payload: bytes, sink: Sink) -> None:
        """Send a request.

        :param method: its HTTP method
        :param payload: its bytes
        :param sink: takes the answer
        """
        assert self._transport is not None
        self._sink = sink
        self._method = method
        self._transport.write(payload)

    def cancel(self) -> None:
        """Give the answer up and drop the connection."""
        self._sink = None
        self.close()

    def close(self) -> None:
        """Drop the connection at once."""
        self._spoilt = True
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer that was under way; see `asyncio.Protocol`."""
        self._transport = None
        self._pool.forget(self)
        sink = self._sink
        self._sink = None
        if sink is None:
            return
        if self._until_end and exc is None and not self._spoilt:
            sink.end()
        else:
            sink.lost(Loss.BROKEN, f"connection ended: {exc}")

    def data_received(self, data: bytes) -> None:
        """Parse what came; see `asyncio.Protocol`."""
        if self._sink is None:
            self.close()
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as why:
            self._break(f"not an answer: {why}")
            return
        if self._spoilt:
            self.close()

    def on_message_begin(self) -> None:
        """Begin an answer; called by the parser."""
        self._headers = []
        self._head_bytes = 0
        if self._sink is None:
            self._spoilt = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take an answer's head; called by the parser."""
        sink = self._sink
        if sink is None or self._spoilt:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._skipping = True
            return
        self._keep_alive = self._parser.should_keep_alive()
        self.keep_s = _keep_alive_s(self._headers)
        self._skipping = not sink.head(status, self._headers)
        self._until_end = not self._skipping and not _is_framed(
            status, self._headers
        )
        if self._method == b"HEAD" and not self._skipping:
            self._spoilt = True
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Take a piece of a body; called by the parser."""
        if self._sink is not None and not self._skipping:
            self._sink.data(data)

    def on_message_complete(self) -> None:
        """Take an answer's end; called by the parser."""
        if self._skipping:
            self._skipping = False
            return
        if self._sink is not None:
            self._finish()

    def _finish(self) -> None:
        """Hand the end on, and the connection back."""
        sink = self._sink
        self._sink = None
        self._until_end = False
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size()
        if unsent or not self._keep_alive:
            self._spoilt = True
        if sink is not None:
            sink.end()
        if self._spoilt:
            self.close()
        else:
            self._pool.give_back(self)

    def _break(self, why: str) -> None:
        """Tell that what came is no answer, and drop the connection."""
        sink = self._sink
        self._sink = None
        self.close()
        if sink is not None:
            sink.lost(Loss.BROKEN, why)


def _is_framed(status: int, headers: RawHeaders) -> bool:
    """Return whether an answer's end shows without the connection's."""
    if status in (204, 304):
        return True
    names = {name.lower() for name, _ in headers}
    return b"content-length" in names or b"transfer-encoding" in names


def _keep_alive_s(headers: RawHeaders) -> float | None:
    """Return how long a peer says that it keeps idle connections."""
    for name, value in headers:
        if name.lower() == b"keep-alive":
            found = _KEEP_ALIVE.search(value)
            return float(found[1]) if found else None
    return None


@dataclass(slots=True)
class PoolOptions:
    """How a pool keeps its connections."""

    max_connections: int = 64  # Connections at once.
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    idle_s: float = DEFAULT_IDLE_S  # Unless the peer says another time.


class Pending:
    """A request that waits for its connection or its answer."""

    __slots__ = ("_connection", "_task", "cancelled")

    def __init__(self) -> None:
        self._connection: Connection | None = None
        self._task: asyncio.Task[None] | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Give the request up; its sink hears nothing more."""
        self.cancelled = True
        if self._connection is not None:
            self._connection.cancel()
        elif self._task is not None:
            self._task.cancel()

    def attach(self, connection: Connection) -> None:
        """Note the connection that carries the request.

        :param connection: the connection
        """
        self._connection = connection

    def wait_for(self, task: asyncio.Task[None]) -> None:
        """Note the task that makes the connection.

        :param task: the task
        """
        self._task = task


@dataclass(slots=True)
class Pool:
    """The connections to one address."""

    host: str  # The IP number.
    port: int  # The port.
    clock: Callable[[], float]  # The time in seconds.
    options: PoolOptions = field(default_factory=PoolOptions)
    on_connect: Callable[[], None] | None = None  # For metrics.
    _idle: deque[Connection] = field(default_factory=deque)
    _all: set[Connection] = field(default_factory=set)
    _connecting: int = 0  # Connections that are being made.

    def send(
        self, method: bytes, sink: Sink, *, fresh: bool = False
    ) -> Pending:
        """Send a request on an idle connection or a new one.

        :param method: the HTTP method
        :param sink: gives the request's bytes and takes the answer
        :param fresh: whether only a connection used just now will do
        :returns: a handle to give the request up
        """
        pending = Pending()
        connection = self._take_idle(fresh)
        if connection is not None:
            self._send_on(connection, method, sink, pending)
            return pending
        if len(self._all) + self._connecting >= self.options.max_connections:
            loop = asyncio.get_running_loop()
            loop.call_soon(
                _tell_unless_cancelled, pending, sink, "no connection left"
            )
            return pending
        task = asyncio.get_running_loop().create_task(
            self._connect(method, sink, pending)
        )
        pending.wait_for(task)
        return pending

    def give_back(self, connection: Connection) -> None:
        """Keep a connection whose answer has ended.

        :param connection: the connection
        """
        idle_s = self.options.idle_s
        if connection.keep_s is not None:
            idle_s = min(idle_s, connection.keep_s - IDLE_MARGIN_S)
        connection.idle_until_s = self.clock() + idle_s
        self._idle.append(connection)

    def forget(self, connection: Connection) -> None:
        """Forget a connection that has ended.

        :param connection: the connection
        """
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def drop_idle(self) -> None:
        """Close every connection that carries nothing."""
        while self._idle:
            self._idle.popleft().close()

    def expire_idle(self) -> None:
        """Close the connections that were idle for long enough."""
        now_s = self.clock()
        while self._idle and self._idle[0].idle_until_s <= now_s:
            self._idle.popleft().close()

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._all):
            connection.close()
        self._idle.clear()

    def _take_idle(self, fresh: bool) -> Connection | None:
        """Return a connection that can be used; None if there is none."""
        now_s = self.clock()
        while self._idle:
            connection = self._idle.pop()
            left_s = connection.idle_until_s - now_s
            if fresh and left_s < self.options.idle_s / 2:
                self._idle.append(connection)
                return None
            if connection.usable and left_s > 0:
                return connection
            connection.close()
        return None

    async def _connect(
        self, method: bytes, sink: Sink, pending: Pending
    ) -> None:
        """Make a connection and send a request on it."""
        loop = asyncio.get_running_loop()
        self._connecting += 1
        try:
            async with asyncio.timeout(self.options.connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(self), self.host, self.port
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            loss = Loss.REFUSED if refused else Loss.NOT_SENT
            if not pending.cancelled:
                sink.lost(loss, f"{type(error).__name__}: {error}")
            return
        finally:
            self._connecting -= 1
        self._all.add(connection)
        if self.on_connect is not None:
            self.on_connect()
        if pending.cancelled:
            self.give_back(connection)
            return
        self._send_on(connection, method, sink, pending)

    def _send_on(
        self,
        connection: Connection,
        method: bytes,
        sink: Sink,
        pending: Pending,
    ) -> None:
        """Send a request on a connection, if it is still wanted."""
        payload = sink.payload()
        if payload is None:
            self.give_back(connection)
            sink.lost(Loss.WITHDRAWN, "not to be sent any more")
            return
        pending.attach(connection)
        connection.send(method, payload, sink)


def _tell_unless_cancelled(pending: Pending, sink: Sink, why: str) -> None:
    """Tell a sink that its request was not sent."""
    if not pending.cancelled:
        sink.lost(Loss.NOT_SENT, why)
