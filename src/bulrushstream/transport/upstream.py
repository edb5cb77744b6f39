"""Pools of HTTP client connections, to endpoints and platform services."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.endpointsigns import ConnectionsSeen
from bulrushstream.state.excess import (
    Excess,
    ExcessReason,
    OnExcess,
    PeerKind,
)
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.connection import (
    Connection,
    PendingRequest,
    ResponseFailure,
    Sink,
)
from bulrushstream.transport.readturns import ReadTurns
from bulrushstream.transport.witnesses import (
    USED_UP_S,
    UnframedAnswers,
    Witnesses,
)

# A healthy endpoint accepts within a few milliseconds; a lost SYN packet is
# retransmitted after one second, which this limit allows for.
CONNECT_TIMEOUT_S: Final = 1.2

# How long an idle connection is kept if the peer announces no time-out.
DEFAULT_IDLE_S: Final = 8.0

# An idle connection is closed this long before the peer's time-out.
IDLE_MARGIN_S: Final = 0.5

# A connection that is taken out of use stays open this long, as it may show
# whether its endpoint still runs.
RETIRED_S: Final = 1.0

# The number of ends of connections that are remembered, and the spread of
# those that end at the same time.
MAX_ENDED: Final = 1024
ENDED_TOGETHER_S: Final = 0.15

# The spread of those that end at the same moment, with one process.
SAME_MOMENT_S: Final = 0.02


@dataclass(slots=True)
class PoolOptions:
    """Limits and time-outs of a pool."""

    max_connections: int = 64  # Open or being opened.
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    idle_s: float = DEFAULT_IDLE_S  # The peer may announce a shorter time.
    # Whether idle connections may be kept back for probes.
    keeps_witnesses: bool = True


@dataclass(slots=True)
class Pool:
    """The connections to one address."""

    host: str  # The IP address.
    port: int
    clock: Callable[[], float]  # Returns the time in seconds.
    options: PoolOptions = field(default_factory=PoolOptions)
    on_connect: Callable[[], None] | None = None  # For metrics.
    # When the last of the requests was sent that the peer itself answered.
    answered_s: float = float("-inf")
    # When bytes last followed a response that begin no other.
    spoiled_s: float = float("-inf")
    on_excess: OnExcess | None = None
    peer: PeerKind = PeerKind.ENDPOINT  # Who is at the address.
    memory: MemoryBudget | None = None  # Of all that the process keeps.
    turns: ReadTurns = field(default_factory=ReadTurns)
    # Shared with the pools of equivalent peers.
    unframed: UnframedAnswers = field(default_factory=UnframedAnswers)
    _idle: deque[Connection] = field(default_factory=deque)
    _retired: deque[Connection] = field(default_factory=deque)
    _all: set[Connection] = field(default_factory=set)
    _connecting: int = 0  # Connections being opened.
    _winds_down: bool = False  # Whether it ends with the last request.
    _witnesses: Witnesses = field(init=False)
    # When closed connections were opened, since when they led to the process,
    # and when the last request was sent on each that the peer itself answered.
    _answered: deque[tuple[float, float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED)
    )
    # When each connection that the peer ended was opened and ended, and
    # whether it carried a request.
    _ended: deque[tuple[float, float, bool]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED)
    )
    # Since when each that may have ended with the process led to it, and when
    # it ended.
    _led: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED)
    )

    def __post_init__(self) -> None:
        """Keep no connections yet."""
        self._witnesses = Witnesses(self.clock, self.unframed)

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
        self._keep_witnesses()
        connection = self._pop_idle(fresh) if reuse else None
        if connection is None and reuse and self._is_full:
            connection = self._pop_kept(fresh)
        if connection is not None:
            pending.reused = True
            self._send_on(connection, method, sink, pending)
            return pending
        if self._is_full:
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

    def pop_witness(
        self, opened_by_s: float, *, proven: bool = False
    ) -> Connection | None:
        """Take a connection without a request that was opened by a time.

        :param opened_by_s: the time
        :param proven: whether it must have led to the process by then
        :returns: the connection; None: there is none
        """
        for queue in (self._retired, self._witnesses.idle, self._idle):
            for connection in queue:
                old = connection.since_s(proven) <= opened_by_s
                if not old or not connection.usable:
                    continue
                if not connection.has_unread_bytes():
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
        if connection.is_witness and self._witnesses.missing > 0:
            self._witnesses.keep(connection)
            return
        connection.is_witness = False
        self._idle.append(connection)
        self._end_soon_if_due()

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
        for queue in (self._idle, self._retired, self._witnesses.idle):
            if connection in queue:
                queue.remove(connection)
        if connection.answered_s > float("-inf"):
            self._record_answered(connection)
        if self._witnesses.is_used_up(connection, ended_by_peer):
            # It ended with the answer, and shows nothing of the process.
            self._keep_witnesses()
        elif ended_by_peer:
            self._ended.append((connection.opened_s, self.clock(), busy))
            # One without a request may have ended because of its answer.
            if busy or self.clock() - connection.heard_s >= USED_UP_S:
                self._led.append((connection.since_s(True), self.clock()))
        self._end_soon_if_due()

    def exceeded(self, reason: ExcessReason) -> None:
        """Report a connection that ends as its peer sent too much.

        :param reason: what it sent
        """
        if self.on_excess is not None:
            self.on_excess(
                Excess(self.peer, f"{self.host}:{self.port}", reason)
            )

    def spoiled(self) -> None:
        """Record bytes that follow a response and begin no other."""
        self.spoiled_s = self.clock()

    def seen(self, at_s: float) -> ConnectionsSeen:
        """Return what became of the connections that were open at a time.

        :param at_s: the time, not long ago
        """
        still_open = [
            each
            for each in self._all
            if each.opened_s < at_s
            and not each.is_closed
            and not each.paused  # Its end would not show.
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
                each.heard_s > at_s + ENDED_TOGETHER_S
                and each.resumed_s < at_s
                for each in still_open
            ),
            ended_busy=sum(busy for _, busy in ended),
            ended_at_once=sum(
                abs(ended_s - at_s) <= SAME_MOMENT_S for ended_s, _ in ended
            ),
        )

    def record_answer(
        self, sent_s: float, connection: Connection | None = None
    ) -> None:
        """Record that the peer itself answered a request.

        :param sent_s: when the request was sent
        :param connection: what it was sent on; None: not known
        """
        self.answered_s = max(self.answered_s, sent_s)
        if connection is None:
            return
        connection.answered_s = sent_s
        connection.first_answer_s = min(
            connection.first_answer_s, self.clock()
        )
        if connection not in self._all:
            self._record_answered(connection)

    def _record_answered(self, connection: Connection) -> None:
        """Remember a closed connection that carried an answer."""
        self._answered.append(
            (
                connection.opened_s,
                connection.since_s(True),
                connection.answered_s,
            )
        )

    def outlived(
        self, opened_by_s: float, closed_s: float, *, proven: bool = False
    ) -> bool:
        """Return whether an older connection has carried a newer answer.

        :param opened_by_s: the time by which it was opened
        :param closed_s: the time since which the request was sent
        :param proven: whether it must have led to the process by then
        """
        return any(
            (led_s if proven else opened_s) <= opened_by_s
            and answered_s > closed_s
            for opened_s, led_s, answered_s in self._answered
        ) or any(
            each.since_s(proven) <= opened_by_s and each.answered_s > closed_s
            for each in self._all
        )

    def has_opened_by(
        self, opened_by_s: float, *, proven: bool = False
    ) -> bool:
        """Return whether a connection is open that was opened by a time.

        :param opened_by_s: the time
        :param proven: whether it must have led to the process by then
        """
        return any(
            each.since_s(proven) <= opened_by_s and not each.is_closed
            for each in self._all
        )

    def is_still_led(self, led_by_s: float) -> bool:
        """Return whether one that led to a process by a time shows no end.

        :param led_by_s: the time
        """
        return any(
            each.since_s(True) <= led_by_s
            and not (each.is_closed or each.paused or each.has_unread_bytes())
            for each in self._all
        )

    def lost_proven(self, led_by_s: float, since_s: float) -> bool:
        """Return whether the peer ended one that had led to the process.

        :param led_by_s: the time by which it had
        :param since_s: the time since which it may have ended
        """
        return any(
            led_s <= led_by_s and ended_s >= since_s
            for led_s, ended_s in self._led
        )

    @property
    def idle_ended_s(self) -> float:
        """Return when the peer last ended one that carried no request."""
        return max(
            (ended_s for _, ended_s, busy in self._ended if not busy),
            default=float("-inf"),
        )

    @property
    def last_ended_s(self) -> float:
        """Return when the peer last ended a connection; -infinity: never."""
        return self._ended[-1][1] if self._ended else float("-inf")

    def is_heard(self, opened_by_s: float, since_s: float) -> bool:
        """Return whether bytes came lately on a connection opened by a time.

        :param opened_by_s: the time by which it was opened
        :param since_s: the time since which bytes count
        """
        return any(
            each.heard_s >= since_s and each.opened_s <= opened_by_s
            for each in self._all
        )

    @property
    def is_busy(self) -> bool:
        """Return whether any connection carries a request."""
        return len(self._all) > len(self._idle) + len(self._retired) + len(
            self._witnesses.idle
        )

    def watch_bytes(self, since_s: float) -> None:
        """Find out when the peer wrote; see `goes_on`.

        :param since_s: the time that matters
        """
        for each in self._all:
            each.watch_bytes(since_s)

    def goes_on(
        self, opened_by_s: float, since_s: float, *, proven: bool = False
    ) -> bool:
        """Return whether the peer wrote to an older connection, as watched.

        :param opened_by_s: the time by which it was opened
        :param since_s: the time since which it wrote, and `EXIT_S` more
        :param proven: whether it must have led to the process by then
        """
        return any(
            each.wrote_s >= since_s and each.since_s(proven) <= opened_by_s
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

    def expect_unframed(self) -> None:
        """Keep witnesses for a time, as an answer without a length began."""
        self.unframed.began_s = self.clock()
        self._keep_witnesses()

    @property
    def _is_full(self) -> bool:
        """Return whether no further connection may be opened."""
        open_count = len(self._all) + self._connecting
        return open_count >= self.options.max_connections

    def _keep_witnesses(self) -> None:
        """Keep back enough idle connections for probes."""
        witnesses = self._witnesses
        if not self.options.keeps_witnesses:
            return
        while witnesses.missing > 0:
            idle = self._pop_idle(fresh=False)
            if idle is not None:
                witnesses.keep(idle)
                continue
            opened = len(self._all) + self._connecting + witnesses.opening
            if opened >= self.options.max_connections - 1:
                return
            witnesses.opening += 1
            asyncio.get_running_loop().create_task(self._open_witness())

    async def _open_witness(self) -> None:
        """Open a connection and keep it back for probes."""
        try:
            connection = await self._open()
        except (OSError, TimeoutError):
            return
        finally:
            self._witnesses.opening -= 1
        connection.is_witness = True
        self.release(connection)

    def add_idle(self) -> None:
        """Open one more connection, which is idle at first."""
        if not self._is_full:
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
        """Close all connections without a request, and keep no others."""
        self._witnesses.closed = True
        for queue in (self._idle, self._retired, self._witnesses.idle):
            while queue:
                queue.popleft().close()

    def wind_down(self) -> None:
        """Close all connections as soon as they carry no request.

        Until then, and for a moment longer, one that carries none stays open:
        it may have to prove that the peer lives on.
        """
        queues = self._idle, self._retired, self._witnesses.idle
        idle = [each for queue in queues for each in queue]
        kept = idle if self.is_busy else []
        kept = sorted(kept, key=lambda each: each.opened_s)[:1]
        self._winds_down = True
        for queue in queues:
            for connection in kept:
                if connection in queue:
                    queue.remove(connection)
        self.drop_idle()
        self._retired.extend(kept)

    def _end_soon_if_due(self) -> None:
        """Close what is left of a pool that winds down, a moment later."""
        if self._winds_down and self._all and not self.is_busy:
            loop = asyncio.get_running_loop()
            loop.call_later(RETIRED_S, self._end_if_idle)

    def _end_if_idle(self) -> None:
        """Close what is left of a pool that winds down."""
        if not self.is_busy:
            self.close()

    def expire_idle(self) -> None:
        """Close the idle connections whose idle time has passed."""
        now_s, busy = self.clock(), self.is_busy
        for queue in (self._idle, self._retired, self._witnesses.idle):
            while queue and queue[0].idle_until_s <= now_s:
                connection = queue.popleft()
                connection.is_witness = False
                connection.close()
        if busy:
            self._keep_witnesses()

    def close(self) -> None:
        """Close all connections."""
        self._witnesses.closed = True
        for connection in list(self._all):
            connection.close()
        self._idle.clear()
        self._retired.clear()
        self._witnesses.idle.clear()

    def _pop_idle(self, fresh: bool) -> Connection | None:
        """Return a usable idle connection, or None."""
        now_s = self.clock()
        while self._idle:
            connection = self._idle.pop()
            remaining_s = connection.idle_until_s - now_s
            if fresh and remaining_s < self.options.idle_s / 2:
                self._idle.append(connection)
                return None
            if not connection.usable or remaining_s <= 0:
                connection.close()
            # What came before a request was sent does not answer it; the loop
            # will read it and close the connection.
            elif not connection.has_unread_bytes():
                return connection
        return None

    def _pop_kept(self, fresh: bool) -> Connection | None:
        """Return a connection that was kept for probes, or None."""
        if not self._witnesses.idle:
            return None
        witness = self._witnesses.idle.pop()
        witness.is_witness = False
        self._idle.append(witness)
        return self._pop_idle(fresh)

    async def _connect(
        self, method: bytes, sink: Sink, pending: PendingRequest
    ) -> None:
        """Open a connection and send a request on it."""
        try:
            connection = await self._open()
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
        if pending.cancelled:
            self.release(connection)
            return
        self._send_on(connection, method, sink, pending)

    async def _open_idle(self) -> None:
        """Open a connection and keep it idle."""
        with suppress(OSError, TimeoutError):
            self.release(await self._open())

    async def _open(self) -> Connection:
        """Open a connection.

        :returns: the connection
        :raises OSError: if it is refused or fails
        :raises TimeoutError: if it takes too long
        """
        loop = asyncio.get_running_loop()
        self._connecting += 1
        try:
            async with asyncio.timeout(self.options.connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(self), self.host, self.port
                )
        finally:
            self._connecting -= 1
        self._all.add(connection)
        if self.on_connect is not None:
            self.on_connect()
        return connection

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
