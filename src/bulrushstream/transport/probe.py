"""Asks an endpoint for its id, on an old connection or a new one.

On a new connection also for a report on itself.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final, TypeAlias, TypeVar

from bulrushstream.coordination.wakefulness import Wakefulness
from bulrushstream.state.call import RawHeaders
from bulrushstream.state.excess import Excess, ExcessReason
from bulrushstream.transport.connection import (
    Connection,
    PendingRequest,
    ResponseFailure,
)
from bulrushstream.transport.upstream import Pool

# Status and headers, that the address refuses connections, or no answer.
ProbeAnswer: TypeAlias = tuple[int, RawHeaders] | ConnectionRefusedError | None


_Answer = TypeVar("_Answer")

# The body is not used, but the connection is free again at its end.
MAX_BODY_BYTES: Final = 65_536


@dataclass(slots=True)
class _ProbeSink:
    """Resolves a future with the head of the response; see `Sink`."""

    pool: Pool
    request: bytes
    future: asyncio.Future[ProbeAnswer]
    pending: PendingRequest | None = None
    body_bytes: int = 0
    ended: bool = False  # Whether the connection is free again, or closed.

    def payload(self) -> bytes | None:
        return self.request

    def head(self, status: int, headers: RawHeaders) -> bool:
        self._resolve((status, headers))
        return True

    def data(self, data: bytes) -> None:
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES and not self.ended:
            self.give_up(ExcessReason.BODY)

    def give_up(self, reason: ExcessReason) -> None:
        """Close the connection, as the body has no end."""
        self.ended = True
        if self.pending is not None:
            self.pending.cancel()
        if self.pool.on_excess is not None:
            address = f"{self.pool.host}:{self.pool.port}"
            self.pool.on_excess(Excess(self.pool.peer, address, reason))

    def end(self, *, framed: bool = True) -> None:
        del framed
        self.ended = True

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        self.ended = True
        if failure is ResponseFailure.REFUSED:
            self._resolve(ConnectionRefusedError(detail))
        else:
            self._resolve(None)

    def _resolve(self, answer: ProbeAnswer) -> None:
        if not self.future.done():
            self.future.set_result(answer)


@dataclass(slots=True)
class _ReportSink:
    """Resolves a future with a report, empty if it is none; see `Sink`."""

    request: bytes
    future: asyncio.Future[bytes | None]
    body: bytearray = field(default_factory=bytearray)

    def payload(self) -> bytes | None:
        return self.request

    def head(self, status: int, headers: RawHeaders) -> bool:
        del headers
        if status != 200:
            # One that is full may tell later.
            self._resolve(None if status == 429 or status >= 500 else b"")
        return True

    def data(self, data: bytes) -> None:
        if len(self.body) > MAX_BODY_BYTES:
            self._resolve(b"")
        else:
            self.body += data

    def end(self, *, framed: bool = True) -> None:
        self._resolve(bytes(self.body) if framed else b"")

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        del failure, detail
        self._resolve(None)

    def _resolve(self, body: bytes | None) -> None:
        if not self.future.done():
            self.future.set_result(body)


async def ask_report(
    pool: Pool,
    request: bytes,
    timeout_s: float,
    wakefulness: Wakefulness | None = None,
) -> bytes | None:
    """Ask an endpoint for a report on itself, on a new connection.

    :param pool: the connections to the endpoint
    :param request: the encoded request
    :param timeout_s: the time limit, in seconds
    :param wakefulness: tells pauses of the process, which do not count
    :returns: the report; empty if the answer is none; None: no answer
    """
    future: asyncio.Future[bytes | None] = (
        asyncio.get_running_loop().create_future()
    )
    sink = _ReportSink(request, future)
    pending = pool.send(b"GET", sink, reuse=False)
    body = None
    try:
        body = await _wait(future, timeout_s, pool, wakefulness)
    except TimeoutError:
        pass
    finally:
        if not body:
            pending.cancel()
    return body


async def ask_identity(
    pool: Pool,
    request: bytes,
    timeout_s: float,
    connection: Connection | None = None,
    wakefulness: Wakefulness | None = None,
) -> ProbeAnswer:
    """Send a probe and return the head of its response.

    :param pool: the connections to the endpoint
    :param request: the encoded probe
    :param timeout_s: the time limit, in seconds
    :param connection: an unused connection of the pool; None: a new one
    :param wakefulness: tells pauses of the process, which do not count
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[ProbeAnswer] = loop.create_future()
    sink = _ProbeSink(pool, request, future)
    if connection is None:
        pending = pool.send(b"GET", sink, reuse=False)
    else:
        pending = pool.send_on(connection, b"GET", sink)
    sink.pending = pending
    try:
        answer = await _wait(future, timeout_s, pool, wakefulness)
    except TimeoutError:
        sink.ended = True
        pending.cancel()
        return None
    except asyncio.CancelledError:
        loop.call_later(timeout_s, _give_up_unless_ended, sink)
        raise
    if not sink.ended:
        # The body may have no end.
        loop.call_later(timeout_s, _give_up_unless_ended, sink)
    return answer


async def _wait(
    future: asyncio.Future[_Answer],
    timeout_s: float,
    pool: Pool,
    wakefulness: Wakefulness | None,
) -> _Answer:
    """Wait for an answer, which may lie unread after a pause.

    :raises TimeoutError: none came within the time, from the end of the last
        pause on
    """
    begun_s, left_s = pool.clock(), timeout_s
    while True:
        await asyncio.wait((future,), timeout=max(0.0, left_s))
        if future.done():
            return future.result()
        now_s = pool.clock()
        awake_since_s = float("-inf")
        if wakefulness is not None:
            awake_since_s = wakefulness.awake_since_s(now_s)
        if awake_since_s <= begun_s:
            raise TimeoutError
        begun_s = awake_since_s
        left_s = begun_s + timeout_s - now_s


def _give_up_unless_ended(sink: _ProbeSink) -> None:
    """Close a probe's connection if its response has not ended."""
    if not sink.ended:
        sink.give_up(ExcessReason.TIME)
