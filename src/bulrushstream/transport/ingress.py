"""HTTP/1.1 server side of callers' connections, with streamed responses.

Each connection reads requests (see `requestreader`) and passes one *exchange*
at a time to a handler (see `exchange`).  Only headers that HTTP itself defines
are interpreted here.

A caller that sends too much, or no whole request in time, gets an error
status; then its connection ends, also if the caller goes on writing.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from bulrushstream.state.excess import (
    Excess,
    ExcessReason,
    OnExcess,
    PeerKind,
)
from bulrushstream.state.memorybudget import Account, MemoryBudget
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.polling import (
    CLOSED_EVENTS,
    UNREAD_EVENTS,
    has_events,
)
from bulrushstream.transport.requestreader import (
    RejectedError,
    RequestReader,
)

# Limit of pipelined requests queued behind the one being answered.
MAX_PIPELINED: Final = 16

# Received bytes that are parsed before other connections get their turn.
SLICE_BYTES: Final = 32_768

# Bytes and time after a rejected request in which the caller may still write,
# as a connection that ends with unread bytes is reset and the answer lost.
MAX_DROPPED_BYTES: Final = 1_048_576
LINGER_S: Final = 2.0

# Whoever writes a long body waits if more response bytes than this are unread,
# until the transport reports that the caller has read most of them.
FULL_BYTES: Final = 262_144

# Fewer unread bytes than this are not accounted for.
MIN_COUNTED_BYTES: Final = 16_384

# The socket options with which a connection is reset when it is closed, also
# by the end of the process, and closed in order.
RESET_LINGER: Final = struct.pack("ii", 1, 0)
ORDERLY_LINGER: Final = struct.pack("ii", 0, 0)

# Limit of the bytes of waiting requests, unless they share one with others.
MAX_WAITING_BYTES: Final = 64 * 2**20

# Idle connections that are looked at for each new one over the limit.
MAX_IDLE_CHECKED: Final = 8


@dataclass(slots=True)
class IngressLimits:
    """Size and time limits of requests; may change at any time."""

    header_bytes: int = 16_384  # Request line and headers.
    body_bytes: int = 4 * 2**20  # One request body.
    header_timeout_s: float = 3.0  # To receive a complete head.
    idle_timeout_s: float = 15.0  # For an idle connection.
    connections: int = 3_000  # Open connections.
    buffered_bytes: int = 48 * 2**20  # All request bodies.
    # The connection is aborted if more response bytes are unread.
    unread_bytes: int = 2**20


Handler = Callable[[Exchange], None]


@dataclass(slots=True)
class Ingress:
    """State shared by all connections of one listening address."""

    handle: Handler  # Called with each received request.
    limits: IngressLimits
    clock: Callable[[], float]  # Returns the time in seconds.
    # The bytes of requests that are incomplete or wait, beside others.
    memory: MemoryBudget = field(
        default_factory=lambda: MemoryBudget(MAX_WAITING_BYTES)
    )
    peer: PeerKind = PeerKind.CALLER  # Who connects.
    on_excess: OnExcess = lambda _: None
    connections: set[ClientConnection] = field(default_factory=set)
    # Those with bytes of requests that no handler has yet.
    waiting: set[ClientConnection] = field(default_factory=set)
    # Those without a request, in the order in which they became so.
    idle: dict[ClientConnection, None] = field(default_factory=dict)
    closing: bool = False  # Whether to close after a response.
    buffered_bytes: int = 0  # Received body bytes, complete or not.
    # Connections closed to make room, and refused for want of it.
    closed_count: int = 0
    refused_count: int = 0

    def make_connection(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(self)

    def make_room(self) -> bool:
        """Close a connection without a request if there are too many.

        Callers keep connections that they may never use again, and those
        that come later would find no way in.

        :returns: whether there is room for one more connection
        """
        if len(self.connections) < self.limits.connections:
            return True
        for connection in list(islice(self.idle, MAX_IDLE_CHECKED)):
            if connection.close_if_unused():
                self.closed_count += 1
                return True
        self.refused_count += 1
        return False

    def make_body_room(self, asking: ClientConnection) -> None:
        """Reject the largest waiting requests if there are too many bytes.

        Among requests of much the same size, the newest one goes.

        :param asking: the connection that received another piece of a body
        :raises RejectedError: if its own request goes
        """
        while self.buffered_bytes > self.limits.buffered_bytes:
            largest = max(
                self.waiting,
                key=lambda each: each.counted_bytes,
                default=asking,
            )
            small = largest.counted_bytes <= 2 * asking.kept_bytes
            if largest is asking or small:
                raise RejectedError(503, ExcessReason.MEMORY)
            largest.end_for_memory()

    def close_idle(self) -> None:
        """Close all connections without a request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def receiving(self) -> bool:
        """Return whether a part of a request has arrived anywhere."""
        return any(each.receiving for each in self.connections)

    @property
    def unsent(self) -> bool:
        """Return whether a caller has not taken all bytes of its responses."""
        return any(each.unsent for each in self.connections)

    def refuse_incomplete(self) -> None:
        """Refuse the requests of which only a part has arrived."""
        for connection in list(self.connections):
            if connection.receiving:
                connection.refuse_incomplete()


class ClientConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, ingress: Ingress) -> None:
        """Make a protocol that is not connected yet.

        :param ingress: the state shared by all connections
        """
        self._ingress = ingress
        self._transport: asyncio.Transport | None = None
        self._reader: RequestReader[Exchange] = RequestReader(self)
        self._unparsed: memoryview | None = None  # Received, for later turns.
        self._account = ingress.memory.open(self.end_for_memory)
        self._buffered_bytes = 0
        self._dropped_bytes = 0  # Received after a rejected request.
        self._current: Exchange | None = None
        self._pipelined: deque[Exchange] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._rejected = False
        # Whether only the connection's end ends the response.
        self._resets = False
        self._finished = False  # Whether that response was finished.
        self._cut = False  # Whether bytes of a response were dropped.
        self._unread: Account | None = None  # Of unread bytes, if many.
        self._unread_counted = 0  # When they were last counted.
        self._full = False  # Whether the caller has much to read first.
        self._lingers = False  # Whether it has ended but is still read.
        self.closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; see `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # What is counted is reported once the caller has read it.
        transport.set_write_buffer_limits(high=MIN_COUNTED_BYTES)
        ingress = self._ingress
        if not ingress.make_room():
            transport.abort()
            return
        ingress.connections.add(self)
        ingress.idle[self] = None
        self.closing = ingress.closing
        self._set_timer(ingress.limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the caller disconnected; see `asyncio.Protocol`."""
        if exc is None:
            self._allow_orderly_end()
        self._transport = None
        self._ingress.connections.discard(self)
        self._ingress.idle.pop(self, None)
        self._release(self._buffered_bytes)
        self._unparsed = None
        self._ingress.waiting.discard(self)
        self._account.resize(0)
        self._clear_timer()
        self._release_unread()
        self._notify_disconnect()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        if self._full and self._current is not None:
            # It may never read what it has not read yet.
            self._cut_off()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; see `asyncio.Protocol`."""
        if self._rejected:
            self._drop(len(data))
            return
        self._ingress.idle.pop(self, None)
        if len(data) > SLICE_BYTES and self._transport is not None:
            self._unparsed = memoryview(data)
            self._transport.pause_reading()
            self._parse_slice()
        else:
            self._parse(data)

    @property
    def max_head_bytes(self) -> int:
        """Return the limit of a head's bytes; see `RequestSink`."""
        return self._ingress.limits.header_bytes

    def new_request(self) -> Exchange:
        """Return an exchange for the next request; see `RequestSink`."""
        return Exchange(self)

    def head_received(self, request: Exchange) -> None:
        """Check the head of a request; see `RequestSink`."""
        for name, value in request.headers:
            self._check_header(name.lower(), value)
        if self._current is None:
            self._set_timer(self._ingress.limits.idle_timeout_s)

    def body_received(self, size_bytes: int) -> None:
        """Count a piece of a body; see `RequestSink`."""
        ingress = self._ingress
        self._buffered_bytes += size_bytes
        ingress.buffered_bytes += size_bytes
        if self._reader.body_bytes > ingress.limits.body_bytes:
            raise RejectedError(413, ExcessReason.BODY)
        if ingress.buffered_bytes > ingress.limits.buffered_bytes:
            ingress.make_body_room(self)

    def request_received(self, request: Exchange) -> None:
        """Queue a complete request; see `RequestSink`."""
        if len(self._pipelined) >= MAX_PIPELINED:
            self._release(len(request.body))
            raise RejectedError(400, ExcessReason.PIPELINED)
        request.arrived_s = self._ingress.clock()
        self._pipelined.append(request)

    def write(self, data: bytes) -> None:
        """Write bytes to the caller if it is still connected.

        :param data: the bytes
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            self._cut = True
            return
        try:
            transport.write(data)
        except Exception:
            # A part of it may have been sent, and nothing may follow that.
            self._cut_off()
            raise
        unread_bytes = transport.get_write_buffer_size()
        if unread_bytes > MIN_COUNTED_BYTES:
            self._count_unread(unread_bytes)

    def _count_unread(self, unread_bytes: int) -> None:
        """Handle response bytes that the caller has not read yet."""
        if unread_bytes > self._ingress.limits.unread_bytes:
            self._cut_off()
            return
        if unread_bytes > FULL_BYTES:
            self._full = True
            if self._current is not None:
                self._current.full = True
        if self._unread is None:
            self._unread = self._ingress.memory.open(self._end_unread)
        self._unread_counted = unread_bytes
        self._unread.resize(unread_bytes)

    def _release_unread(self) -> None:
        """Record that the caller has read most bytes, or will not."""
        unread, self._unread = self._unread, None
        if unread is not None:
            unread.resize(0)

    def _end_unread(self) -> None:
        """Abort the connection, as the process keeps too many bytes.

        The caller may have read most of them since they were counted.
        """
        transport, unread = self._transport, self._unread
        if transport is None or unread is None:
            return
        unread_bytes = transport.get_write_buffer_size()
        if unread_bytes < self._unread_counted / 2:
            self._count_unread(unread_bytes)
            return
        host, port = (transport.get_extra_info("peername") or ("", 0))[:2]
        self._ingress.on_excess(
            Excess(self._ingress.peer, f"{host}:{port}", ExcessReason.MEMORY)
        )
        self._cut_off()

    def exchange_finished(self, exchange: Exchange) -> None:
        """Begin the next request after a response has ended.

        :param exchange: the request that was answered
        """
        if self._current is not exchange:
            return
        self._current = None
        self._finished = self._resets
        self._release(len(exchange.body))
        if self._rejected and not (exchange.keep_alive or self._resets):
            self._linger()
        elif not exchange.keep_alive:
            self._close()
        elif self._pipelined:
            self._begin_next()
        else:
            self._set_timer(self._ingress.limits.idle_timeout_s)
            if not self.receiving:
                self._ingress.idle[self] = None

    def has_peer_closed(self) -> bool:
        """Return whether the peer closed, even if that was not read yet."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return True
        return has_events(transport, CLOSED_EVENTS)

    def abort(self) -> None:
        """Abort the connection."""
        self._current = None
        self._cut_off()

    def reset_unless_finished(self) -> None:
        """Let the caller see a reset unless the response is finished.

        The kernel sends it, whatever ends the connection.
        """
        self._set_linger(RESET_LINGER)
        self._resets = True

    def resume_writing(self) -> None:
        """Go on with what waited; see `asyncio.BaseProtocol`."""
        self._full = False
        self._release_unread()
        exchange = self._current
        if exchange is not None and exchange.full:
            exchange.full = False
            if exchange.on_room is not None:
                exchange.on_room()

    def close_if_unused(self) -> bool:
        """Close the connection if no bytes of a request have arrived.

        :returns: whether it was closed
        """
        transport = self._transport
        if transport is None or has_events(transport, UNREAD_EVENTS):
            return False
        self._ingress.idle.pop(self, None)
        self._ingress.connections.discard(self)
        self._close()
        return True

    def close_if_idle(self) -> None:
        """Close the connection if it has no request, else after the response.

        A partly received request counts, too.
        """
        self.closing = True
        transport = self._transport
        if transport is None or self._current is not None or self.receiving:
            return
        # What the loop has not read yet is answered first.
        if not has_events(transport, UNREAD_EVENTS):
            self._close()

    @property
    def _ending(self) -> bool:
        """Return whether nothing more can be answered."""
        transport = self._transport
        return transport is None or transport.is_closing() or self._lingers

    @property
    def has_waiting(self) -> bool:
        """Return whether whole requests wait behind the current one."""
        return bool(self._pipelined)

    @property
    def unsent(self) -> bool:
        """Return whether the kernel has not taken all bytes yet."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def receiving(self) -> bool:
        """Return whether a part of a request has arrived."""
        return self._reader.receiving or self._unparsed is not None

    @property
    def kept_bytes(self) -> int:
        """Return the bytes of requests that no handler has yet."""
        kept = self._reader.kept_bytes
        if self._unparsed is not None:
            kept += len(self._unparsed)
        for exchange in self._pipelined:
            kept += exchange.head_bytes + len(exchange.body)
        return kept

    @property
    def counted_bytes(self) -> int:
        """Return what the memory budget has of these bytes."""
        return self._account.size_bytes

    def end_for_memory(self) -> None:
        """Reject the requests that no handler has yet; answer the other."""
        for exchange in self._pipelined:
            self._release(len(exchange.body))
        self._pipelined.clear()
        self._reject(503, ExcessReason.MEMORY)

    def refuse_incomplete(self) -> None:
        """Refuse the request of which a part has arrived, and close."""
        self._reject(503)

    def _begin_next(self) -> None:
        """Pass the next queued request to the handler if none is active."""
        if self._current is not None or not self._pipelined or self._ending:
            return
        exchange = self._pipelined.popleft()
        self._clear_timer()
        self._current = exchange
        if self._account.size_bytes:
            self._count_kept()
        exchange.full = self._full
        self._ingress.handle(exchange)

    def _parse_slice(self) -> None:
        """Parse a part of the bytes of a large read."""
        data, transport = self._unparsed, self._transport
        if transport is None or transport.is_closing():
            self._unparsed = None
            return
        if data is not None:
            self._unparsed = data[SLICE_BYTES:] or None
            self._parse(data[:SLICE_BYTES])
        if self._unparsed is not None:
            asyncio.get_running_loop().call_soon(self._parse_slice)
        else:
            transport.resume_reading()

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse received bytes, and begin the next request."""
        reader = self._reader
        begins = reader.in_head and not reader.framing_bytes
        if begins and self._current is None:
            self._set_timer(self._ingress.limits.header_timeout_s)
        try:
            reader.feed(data)
        except RejectedError as error:
            self._reject(error.status, error.reason)
        self._begin_next()
        if (
            self._pipelined
            or self._account.size_bytes
            or reader.kept_bytes
            or self._unparsed is not None
        ):
            self._count_kept()

    def _count_kept(self) -> None:
        """Count the bytes of requests that no handler has yet."""
        kept_bytes = self.kept_bytes
        if kept_bytes:
            self._ingress.waiting.add(self)
        else:
            self._ingress.waiting.discard(self)
        if kept_bytes != self._account.size_bytes:
            self._account.resize(kept_bytes)

    def _drop(self, size_bytes: int) -> None:
        """Drop bytes after a rejected request, up to a limit."""
        self._dropped_bytes += size_bytes
        if self._dropped_bytes <= MAX_DROPPED_BYTES:
            return
        if self._current is None:
            self._close()
        elif self._transport is not None:
            self._transport.pause_reading()

    def _linger(self) -> None:
        """Close once the caller has had time to read the answer."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self._close()
            return
        transport.write_eof()
        self._lingers = True
        self._set_timer(LINGER_S)

    def _check_header(self, name: bytes, value: bytes) -> None:
        """Check content-length and answer an expect header."""
        if name == b"content-length":
            too_long = len(value) > 12
            if too_long or int(value) > self._ingress.limits.body_bytes:
                raise RejectedError(413, ExcessReason.BODY)
            return
        waits = name == b"expect" and value.lower() == b"100-continue"
        if waits and self._current is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, status: int, reason: ExcessReason | None = None) -> None:
        """Respond with an error status and close; parse nothing more."""
        if reason is not None and not self._rejected:
            self._report(reason)
        self._rejected = True
        self._release(self._reader.body_bytes)
        self._reader.discard()
        self._unparsed = None
        self._count_kept()
        # Whole requests that came before are still answered.
        if self._pipelined:
            self._pipelined[-1].keep_alive = False
            return
        if self._current is not None:
            self._current.keep_alive = False
            return
        if self._ending:
            return
        refusal = Exchange(self)
        refusal.keep_alive = False
        self._current = refusal
        refusal.answer(status, [])

    def _report(self, reason: ExcessReason) -> None:
        """Report that the caller sent too much."""
        ingress, transport = self._ingress, self._transport
        peer = transport and transport.get_extra_info("peername")
        address = f"{peer[0]}:{peer[1]}" if peer else ""
        ingress.on_excess(Excess(ingress.peer, address, reason))

    def _set_timer(self, delay_s: float) -> None:
        """Start the timer for a head or an idle connection."""
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._expire)

    def _clear_timer(self) -> None:
        """Cancel the timer, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        """Close an idle connection, or reject an incomplete request."""
        self._timer = None
        if self._current is not None:
            return
        if self.receiving:
            self._reject(408, ExcessReason.TIME)
        else:
            self._close()

    def _close(self) -> None:
        """Close the connection after all buffered bytes are written."""
        self._clear_timer()
        transport = self._transport
        if transport is None:
            return
        if not (transport.is_closing() or transport.get_write_buffer_size()):
            self._allow_orderly_end()
        transport.close()

    def _allow_orderly_end(self) -> None:
        """Let a whole response end in order; the kernel has all its bytes."""
        if self._finished and not self._cut:
            self._set_linger(ORDERLY_LINGER)

    def _cut_off(self) -> None:
        """Abort the connection, dropping what the kernel does not have."""
        self._cut = True
        if self._transport is not None:
            self._transport.abort()

    def _set_linger(self, option: bytes) -> None:
        """Set how the socket is closed."""
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def _release(self, size_bytes: int) -> None:
        """Subtract released body bytes from the totals."""
        self._buffered_bytes -= size_bytes
        self._ingress.buffered_bytes -= size_bytes

    def _notify_disconnect(self) -> None:
        """End the active exchange and call its disconnect callback."""
        exchange = self._current
        self._current = None
        self._pipelined.clear()
        if exchange is not None and not exchange.ended:
            exchange.ended = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()
