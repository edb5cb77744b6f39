"""Single HTTP calls on pooled connections, with complete responses.

A response's body is collected in memory, so who calls sets its limit.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bulrushstream.state.call import RawHeaders
from bulrushstream.state.excess import Excess, ExcessReason
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.connection import ResponseFailure
from bulrushstream.transport.upstream import Pool


class CallError(Exception):
    """No complete response; the call may have had its effect."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response."""

    status: int  # The HTTP status.
    headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class CallLimits:
    """What a call may take."""

    timeout_s: float  # For the whole call.
    body_bytes: int  # Of the response.
    memory: MemoryBudget | None = None  # Limits all calls together.


@dataclass(slots=True)
class _Collector:
    """A sink that collects one response."""

    request: bytes  # The encoded request.
    future: asyncio.Future[Answer]  # Resolves to the response.
    limit_bytes: int  # Of the body.
    keep: Callable[[int], None] | None = None  # Receives the body's size.
    status: int = 0  # 0: no head was received.
    headers: RawHeaders = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    excess: ExcessReason | None = None  # Why the response was given up.

    def payload(self) -> bytes | None:
        """Return the encoded request; see `Sink`."""
        return self.request

    def head(self, status: int, headers: RawHeaders) -> bool:
        """Store the head; see `Sink`."""
        self.status = status
        self.headers = headers
        return True

    def data(self, data: bytes) -> None:
        """Store a piece of the body; see `Sink`."""
        if self.future.done():
            return
        if len(self.body) + len(data) > self.limit_bytes:
            self.give_up(ExcessReason.BODY)
            return
        self.body += data
        if self.keep is not None:
            self.keep(len(self.body))

    def end(self, *, framed: bool = True) -> None:
        """Resolve the future; see `Sink`."""
        if not self.future.done():
            body = bytes(self.body)
            self.future.set_result(Answer(self.status, self.headers, body))

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        """Fail the future; see `Sink`."""
        if not self.future.done():
            self.future.set_exception(CallError(detail))

    def give_up(self, reason: ExcessReason) -> None:
        """Fail the future, and drop what was received.

        :param reason: what exceeded its limit
        """
        if not self.future.done():
            self.excess = reason
            self.body = bytearray()
            why = f"the answer exceeds its limit: {reason.value}"
            self.future.set_exception(CallError(why))


async def call(
    pool: Pool,
    method: str,
    target: str,
    body: bytes | None = None,
    *,
    limits: CallLimits,
) -> Answer:
    """Call a server and wait for its complete response.

    :param pool: the connection pool of the server
    :param method: the HTTP method
    :param target: the path and query
    :param body: the request's body; None: no body
    :param limits: what the call may take
    :raises CallError: if no complete response was received within the limits
    """
    lines = [f"{method} {target} HTTP/1.1", f"host: {pool.host}:{pool.port}"]
    if body is not None:
        lines.append(f"content-length: {len(body)}")
    request = "\r\n".join([*lines, "", ""]).encode() + (body or b"")
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Answer] = loop.create_future()
    collector = _Collector(request, future, limits.body_bytes)
    account = None
    if limits.memory is not None:
        account = limits.memory.open(
            lambda: collector.give_up(ExcessReason.MEMORY)
        )
        collector.keep = account.resize
    pending = pool.send(method.encode(), collector)
    try:
        async with asyncio.timeout(limits.timeout_s):
            return await future
    except TimeoutError:
        if collector.status:
            collector.excess = ExcessReason.TIME
        raise CallError(f"no answer within {limits.timeout_s} s") from None
    finally:
        if account is not None:
            account.resize(0)
        if collector.excess is not None:
            pending.cancel()
            if pool.on_excess is not None:
                address = f"{pool.host}:{pool.port}"
                pool.on_excess(Excess(pool.peer, address, collector.excess))
        elif not future.done() or future.cancelled():
            pending.cancel()
