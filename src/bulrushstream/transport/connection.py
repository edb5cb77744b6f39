"""One HTTP client connection, and what it tells who sends a request.

A connection carries one request at a time.  A response with the id of
another request is discarded; unexpected bytes close the connection.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable
from enum import IntEnum, StrEnum
from typing import Final, Protocol, TypeAlias

import httptools

from bulrushstream.state.call import RawHeaders
from bulrushstream.state.excess import ExcessReason
from bulrushstream.state.memorybudget import Account, MemoryBudget
from bulrushstream.transport.framing import (
    FALSE_END,
    NEXT_CHUNK,
    Framing,
    framing_of,
    head_fault,
)
from bulrushstream.transport.polling import (
    CLOSED_EVENTS,
    UNREAD_EVENTS,
    has_events,
    unsent_bytes,
)
from bulrushstream.transport.readturns import ReadTurns

# A connection is closed if sent bytes stay unacknowledged for this time.
UNACKNOWLEDGED_MS: Final = 4_000

# Limits of the bytes that are not passed on: of heads, trailers and chunks'
# framing, and of these together with responses to other requests.
MAX_HEAD_BYTES: Final = 65_536
MAX_DISCARDED_BYTES: Final = 262_144

# Limits of a response's headers and trailers, of interim responses before a
# final one, and of responses to other requests.
MAX_HEADERS: Final = 512
MAX_INTERIM: Final = 16
MAX_DISCARDED: Final = 16

# Bytes that are read in one turn of the event loop, so that a connection on
# which much arrives leaves time for the others.
MAX_TURN_BYTES: Final = 16_384

# All connections share it: the loop fills it and has it parsed in one step.
_BUFFER: Final = memoryview(bytearray(MAX_TURN_BYTES))

# Fewer bytes than this of what is not passed on are not accounted for.
MIN_COUNTED_BYTES: Final = 8_192

# The ends of a process's connections, and the last bytes on them, arrive
# within this time.
EXIT_S: Final = 0.05

# A proxy or a kernel that accepts a connection leads it to a process within
# this time.
LEAD_S: Final = 0.25

# Each byte of a body allows for this many bytes of framing.
FRAMING_PER_BYTE: Final = 32

# Requests of one connection that are remembered after their responses.
MAX_ANSWERED: Final = 8

# How a response begins, and how many bytes may precede it.
_HTTP: Final = b"HTTP/"
_MAX_BLANK: Final = 16

_KEEP_ALIVE: Final = re.compile(rb"timeout=(\d{1,6})")


class ResponseFailure(IntEnum):
    """Why no complete response was received."""

    NOT_SENT = 1  # Not connected; no byte was sent.
    REFUSED = 4  # Connection refused; no byte was sent.
    WITHDRAWN = 2  # The sink returned no payload.
    BROKEN = 3  # Connection lost, or an invalid response.


class Following(StrEnum):
    """What follows a complete response on its connection."""

    BYTES = "bytes"  # They may be its rest.
    CLOSE = "close"  # The peer closed it without having announced that.
    # Another response, bytes that can not be its rest, or an end that this
    # side or the response announced.
    UNRELATED = "unrelated"


FollowingHandler: TypeAlias = Callable[[Following], None]


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


class ConnectionOwner(Protocol):
    """Keeps connections and is told when they are idle or lost."""

    @property
    def clock(self) -> Callable[[], float]:
        """Return the clock, which returns the time in seconds."""

    @property
    def memory(self) -> MemoryBudget | None:
        """Return the limit of the bytes that the process keeps, if any."""

    @property
    def turns(self) -> ReadTurns:
        """Return the turns of connections on which much arrives."""

    def exceeded(self, reason: ExcessReason) -> None:
        """Handle a connection that ends as its peer sent too much."""

    def spoiled(self) -> None:
        """Handle bytes that follow a response and begin no other."""

    def release(self, connection: Connection) -> None:
        """Handle the end of a request; the connection is idle."""

    def remove(
        self, connection: Connection, *, ended_by_peer: bool, busy: bool
    ) -> None:
        """Handle the end of a connection."""


class Connection(asyncio.BufferedProtocol):
    """One connection to a peer."""

    def __init__(self, owner: ConnectionOwner) -> None:
        """Make a protocol that is not connected yet.

        :param owner: the pool that the connection belongs to
        """
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        # Bytes behind a response that ends the connection are looked at, too.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._sink: Sink | None = None
        self._method = b""
        self._headers: RawHeaders = []
        self._in_head = True
        # Received for the request and not passed on, less an allowance.
        self._overhead_bytes = 0
        self._account: Account | None = None  # Of the same bytes, if many.
        self._header_count = 0
        self._interim_count = 0
        self._discarding = False
        self._discarded_count = 0
        self._excess: ExcessReason | None = None
        self._fault = ""  # Why a head is not used; empty: it is.
        self._framing = Framing.LENGTH  # Of the last response.
        # Whether the response has ended amid the bytes that are parsed.
        self._complete = False
        # Whether more was read together with the end of the response.
        self.has_bytes_behind = False
        # Is told what follows the last response; None: nobody is.
        self._on_following: FollowingHandler | None = None
        self._reserved = False  # Whether it is kept from other requests.
        self._ends_with_close = False
        self._ends_early = False  # Whether it ended amid the request.
        self._keep_alive = True
        self._used_up = False  # Whether it carries no further request.
        self._unusable = False
        self.invalid = False  # Whether what came is no response.
        self.is_witness = False  # Whether it carries nothing but probes.
        self.paused = False  # Whether nothing is read until it resumes.
        # When that last ended; what is read then may have come long before.
        self.resumed_s = float("-inf")
        self._waits = False  # Whether nothing is read until its turn.
        self.keep_alive_s: float | None = None  # Announced by the peer.
        self.idle_until_s = float("inf")
        self.opened_s = owner.clock()
        self.heard_s = float("-inf")  # When the last bytes arrived.
        # When the last request was sent on it that the peer itself answered.
        self.answered_s = float("-inf")
        # When the peer itself first answered one on it; infinity: never.
        self.first_answer_s = float("inf")
        # When it was last found read empty, if no bytes came since; the last
        # such time before bytes that did, and when these came.
        self._empty_s = float("-inf")
        self._renewed_s = float("-inf")
        self._renewed_heard_s = float("-inf")
        # The peer wrote to it later than `EXIT_S` before this time.
        self.wrote_s = float("-inf")
        # The ids of requests that were answered on it, the last ones.
        self.answered_ids: deque[str] = deque(maxlen=MAX_ANSWERED)

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

    def since_s(self, proven: bool) -> float:
        """Return since when it leads to the peer's process at its other end.

        What accepted it, as a proxy or a kernel's backlog, may have led it
        there later than it was opened.

        :param proven: whether that must be known, by an answer or by its age
        """
        if not proven:
            return self.opened_s
        return min(self.first_answer_s, self.opened_s + LEAD_S)

    def has_unread_bytes(self) -> bool:
        """Return whether anything came that the loop has not read yet.

        That also holds for the peer's end of the connection.
        """
        transport = self._transport
        return transport is not None and has_events(transport, UNREAD_EVENTS)

    def watch_bytes(self, since_s: float) -> None:
        """Find out when the peer wrote; see `wrote_s`.

        Bytes of a body are newer than a time at which there were none to
        read.  If they were sent again, as some got lost, then the end of a
        process that ended is right behind them.  It has to be called
        repeatedly.

        :param since_s: the time that matters; nothing is done once the peer
            is known to have written later
        """
        if self.wrote_s >= since_s or self.paused or self._waits:
            return
        now_s = self._owner.clock()
        if self._renewed_s > self.wrote_s:
            if now_s < self._renewed_heard_s + EXIT_S:
                return
            resumed = self.resumed_s > self._renewed_s
            if not resumed and not self._has_ended():
                self.wrote_s = self._renewed_s
            self._renewed_s = float("-inf")
        # A head may be that of a proxy.
        amid_body = self._sink and not self._in_head and not self._discarding
        known_s = max(self._empty_s, self.wrote_s)
        if amid_body and known_s < since_s and not self.has_unread_bytes():
            self._empty_s = now_s

    def _has_ended(self) -> bool:
        """Return whether the peer's end has arrived, read or not."""
        transport = self._transport
        return transport is None or has_events(transport, CLOSED_EVENTS)

    def send(self, method: bytes, payload: bytes, sink: Sink) -> None:
        """Send a request.

        :param method: the HTTP method
        :param payload: the encoded request
        :param sink: receives the response
        """
        assert self._transport is not None
        self._overhead_bytes = 0
        self._interim_count = self._discarded_count = 0
        self._complete = self.has_bytes_behind = False
        self._on_following = None
        self._in_head = True
        self._sink = sink
        self._method = method
        self._transport.write(payload)

    def watch_following(
        self, handler: FollowingHandler, *, reserve: bool
    ) -> None:
        """Report what follows the response that just ended, once at most.

        It ends with the next request.  Called by the sink's `end`.

        :param handler: is told what follows
        :param reserve: whether the connection takes no other request until
            `stop_watching`
        """
        self._on_following = handler
        self._reserved = reserve

    def stop_watching(self, handler: FollowingHandler) -> None:
        """Report nothing more, and allow requests on the connection.

        :param handler: that of the watch; nothing is done if it has ended
        """
        if self._on_following != handler:
            return
        self._on_following = None
        if self._reserved:
            self._reserved = False
            self._leave_response()

    def _report_following(self, following: Following) -> None:
        """Tell what follows the last response to whoever wants to know."""
        handler, self._on_following = self._on_following, None
        self._reserved = False
        if handler is not None:
            handler(following)

    def pause_reading(self) -> None:
        """Read no more until `resume_reading` or the end of the response."""
        if self._transport is not None and not self.paused:
            self.paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on if reading was paused."""
        if self._transport is not None and self.paused:
            self.paused = False
            self.resumed_s = self._owner.clock()
            if not self._waits:
                self._transport.resume_reading()

    def _wait_for_turn(self) -> None:
        """Let others read first, as more may have arrived already."""
        if self._transport is not None and not self._waits:
            self._waits = True
            self._transport.pause_reading()
            self._owner.turns.wait(self._read_on)

    def _read_on(self) -> None:
        """Read on after waiting for a turn."""
        self._waits = False
        if self._transport is not None and not self.paused:
            self._transport.resume_reading()

    def cancel(self) -> None:
        """Abort the connection without a call to the sink."""
        self._sink = None
        self.close()

    def close(self) -> None:
        """Abort the connection."""
        self._unusable = True
        self._release_memory()
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        """Look at what the peer has not got; see `asyncio.BufferedProtocol`.

        A response that ends with its connection may be cut if the peer
        ended that before it had the whole request.
        """
        transport = self._transport
        if transport is None:
            return False
        if self._ends_with_close:
            self._ends_early = unsent_bytes(transport) > 0
        if transport.get_write_buffer_size():
            # It would wait until the peer takes the rest of the request.
            transport.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End or fail the current response; see `asyncio.Protocol`."""
        self._transport = None
        self._release_memory()
        sink = self._sink
        # Such an end is a part of the response, and shows nothing else.
        ends_response = (
            sink is not None
            and self._ends_with_close
            and not self._ends_early
            and exc is None
            and not self._unusable
        )
        self._owner.remove(
            self,
            ended_by_peer=not self._unusable and not ends_response,
            busy=sink is not None,
        )
        self._sink = None
        if sink is None:
            self._report_following(
                Following.UNRELATED if self._unusable else Following.CLOSE
            )
        elif ends_response:
            sink.end(framed=False)
        else:
            why = "request not taken" if self._ends_early else exc
            sink.failed(ResponseFailure.BROKEN, f"connection lost: {why}")

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where bytes go; see `asyncio.BufferedProtocol`."""
        del sizehint
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; see `asyncio.BufferedProtocol`."""
        self.data_received(_BUFFER[:nbytes])
        if nbytes == MAX_TURN_BYTES:
            self._wait_for_turn()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        :param data: the bytes
        """
        self.heard_s = self._owner.clock()
        if self._empty_s > self._renewed_s:
            self._renewed_s = self._empty_s
            self._renewed_heard_s = self.heard_s
            self._empty_s = float("-inf")
        if self._sink is None:
            begin = bytes(data[:_MAX_BLANK]).lstrip(b"\r\n")[: len(_HTTP)]
            following = Following.UNRELATED
            if not _HTTP.startswith(begin):
                self._owner.spoiled()
                chunks = self._framing is Framing.CHUNKS
                if not chunks or NEXT_CHUNK.match(data):
                    following = Following.BYTES
            self.close()
            self._report_following(following)
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as why:
            self._end_invalid(why, data)
            return
        if self._complete and self._sink is not None:
            self._finish()
        elif self._unusable:
            self.close()
        elif self._overhead_bytes > MIN_COUNTED_BYTES:
            self._check_overhead()
        elif self._account is not None:
            self._release_memory()

    def _end_invalid(self, why: Exception, data: bytes | memoryview) -> None:
        """Handle bytes that the parser does not take.

        Behind a whole response they are another one, belong to none, or show
        that it was not whole: those behind a last chunk do so if a chunk
        begins there.

        :param why: the parser's reason
        :param data: the bytes that were parsed
        """
        if self._complete and self._sink is not None:
            begins_response = self._headers or isinstance(
                why, httptools.HttpParserInvalidStatusError
            )
            self._unusable = self.has_bytes_behind = True
            is_whole = begins_response or (
                self._framing is Framing.CHUNKS
                and not FALSE_END.search(bytes(data))
            )
            if self._excess is not None or is_whole:
                self._finish()
            else:
                self._fail("bytes behind the response that begin none")
        elif self._excess is not None:
            self._end_exceeded(self._excess)
        else:
            if self._sink is None and not self._headers:
                self._owner.spoiled()
            self._fail(f"invalid response: {self._fault or why}")

    def on_message_begin(self) -> None:
        """Start a new response; called by the parser."""
        self._headers = []
        self._header_count = 0
        self._in_head = True
        if self._sink is None or self._complete:
            self._unusable = self.has_bytes_behind = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or count a trailer; called by the parser."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._stop_parsing(ExcessReason.HEADERS)
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass a response's head to the sink; called by the parser."""
        self._in_head = False
        sink = self._sink
        if sink is None or self._unusable:
            return
        status = self._parser.get_status_code()
        self._fault = head_fault(status, self._headers)
        if self._fault:
            raise _InvalidHeadError
        if status < 200:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM:
                self._stop_parsing(ExcessReason.INTERIM)
            self._discarding = True
            return
        self._keep_alive = self._parser.should_keep_alive()
        self.keep_alive_s = _keep_alive_s(self._headers)
        self._discarding = not sink.head(status, self._headers)
        if self._discarding:
            self._discarded_count += 1
            if self._discarded_count > MAX_DISCARDED:
                self._stop_parsing(ExcessReason.EXTRA)
        self._framing = framing_of(status, self._headers)
        self._ends_with_close = (
            not self._discarding and self._framing is Framing.CLOSE
        )
        if self._method == b"HEAD" and not self._discarding:
            self._unusable = True
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body to the sink; called by the parser."""
        if self._discarding or self._complete:
            return
        spared = len(data) * (1 + FRAMING_PER_BYTE)
        self._overhead_bytes = max(0, self._overhead_bytes - spared)
        if self._sink is not None:
            self._sink.data(data)

    def on_message_complete(self) -> None:
        """Handle the end of a response; called by the parser."""
        if self._complete:
            return
        if self._discarding:
            self._discarding = False
            if self._parser.get_status_code() >= 200:
                # More such responses may come.
                self._used_up = True
            return
        # What follows in the same read may show that it is not whole.
        self._complete = self._sink is not None

    def _finish(self) -> None:
        """End the response; return the connection to the pool or close it."""
        sink = self._sink
        self._sink = None
        self._ends_with_close = False
        self._release_memory()
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size()
        if unsent or not self._keep_alive or self._used_up:
            self._unusable = True
        if sink is not None:
            sink.end()
        if self._reserved:
            self.resume_reading()
        else:
            self._leave_response()

    def _leave_response(self) -> None:
        """Return the connection to the pool after a response, or close it."""
        if self.is_closed:
            self.close()
        else:
            self.resume_reading()
            self._owner.release(self)

    def _check_overhead(self) -> None:
        """Count what was not passed on; end the connection if too much."""
        if self._sink is None:
            return
        limit_bytes = MAX_HEAD_BYTES
        if self._discarded_count:
            limit_bytes = MAX_DISCARDED_BYTES
        if self._overhead_bytes > limit_bytes:
            self._end_exceeded(self._overhead_reason())
            return
        memory = self._owner.memory
        if memory is not None:
            if self._account is None:
                self._account = memory.open(self._end_for_memory)
            self._account.resize(self._overhead_bytes)

    def _overhead_reason(self) -> ExcessReason:
        """Return what most of the bytes are that are not passed on."""
        if self._discarded_count:
            return ExcessReason.EXTRA
        if not self._in_head:
            return ExcessReason.FRAMING
        if self._interim_count:
            return ExcessReason.INTERIM
        return ExcessReason.HEAD

    def _end_for_memory(self) -> None:
        """End the connection, as the process keeps too many bytes."""
        if self._sink is not None:
            self._end_exceeded(ExcessReason.MEMORY)

    def _release_memory(self) -> None:
        """Record that no bytes are kept any more."""
        account, self._account = self._account, None
        if account is not None:
            account.resize(0)

    def _stop_parsing(self, reason: ExcessReason) -> None:
        """Make the parser stop amid the bytes that it was fed."""
        self._excess = reason
        raise _ExcessError

    def _end_exceeded(self, reason: ExcessReason) -> None:
        """End the connection, whose peer sent too much."""
        self._owner.exceeded(reason)
        self._fail(f"it sent too much: {reason.value}")

    def _fail(self, why: str) -> None:
        """Report an invalid response and abort the connection."""
        self.invalid = True
        sink = self._sink
        self._sink = None
        self.close()
        if sink is not None:
            sink.failed(ResponseFailure.BROKEN, why)


class _ExcessError(Exception):
    """Raised in parser callbacks to stop the parser."""


class _InvalidHeadError(Exception):
    """Raised in parser callbacks as a head is not used."""


def _keep_alive_s(headers: RawHeaders) -> float | None:
    """Return the idle time-out in a peer's keep-alive header, if any."""
    for name, value in headers:
        if name.lower() == b"keep-alive":
            found = _KEEP_ALIVE.search(value)
            return float(found[1]) if found else None
    return None


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

    def pause_reading(self) -> None:
        """Read nothing of the response until `resume_reading`."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_reading(self) -> None:
        """Read on if reading was paused."""
        if self._connection is not None:
            self._connection.resume_reading()

    @property
    def connection(self) -> Connection | None:
        """Return the connection that carries the request, if any yet."""
        return self._connection

    def record_answer(self, request_id: str) -> None:
        """Record that the response to a request has begun.

        :param request_id: the request's id
        """
        if self._connection is not None:
            self._connection.answered_ids.append(request_id)

    def has_answered(self, request_id: str) -> bool:
        """Return whether the connection carried a response to a request.

        :param request_id: the request's id
        """
        connection = self._connection
        return connection is not None and request_id in connection.answered_ids

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
