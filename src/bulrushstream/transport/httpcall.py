"""Single HTTP calls on pooled connections, with complete responses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from bulrushstream.state.call import RawHeaders
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


@dataclass(slots=True)
class _Collector:
    """A sink that collects one response."""

    request: bytes  # The encoded request.
    future: asyncio.Future[Answer]  # Resolves to the response.
    status: int = 0
    headers: RawHeaders = field(default_factory=list)
    pieces: list[bytes] = field(default_factory=list)

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
        self.pieces.append(data)

    def end(self, *, framed: bool = True) -> None:
        """Resolve the future; see `Sink`."""
        if not self.future.done():
            body = b"".join(self.pieces)
            self.future.set_result(Answer(self.status, self.headers, body))

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        """Fail the future; see `Sink`."""
        if not self.future.done():
            self.future.set_exception(CallError(detail))


async def call(
    pool: Pool,
    method: str,
    target: str,
    body: bytes | None = None,
    *,
    timeout_s: float,
) -> Answer:
    """Call a server and wait for its complete response.

    :param pool: the connection pool of the server
    :param method: the HTTP method
    :param target: the path and query
    :param body: the request's body; None: no body
    :param timeout_s: the time limit of the whole call, in seconds
    :raises CallError: if no complete response was received in time
    """
    lines = [f"{method} {target} HTTP/1.1", f"host: {pool.host}:{pool.port}"]
    if body is not None:
        lines.append(f"content-length: {len(body)}")
    request = "\r\n".join([*lines, "", ""]).encode() + (body or b"")
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Answer] = loop.create_future()
    pending = pool.send(method.encode(), _Collector(request, future))
    try:
        async with asyncio.timeout(timeout_s):
            return await future
    except TimeoutError:
        raise CallError(f"no answer within {timeout_s} s") from None
    finally:
        if not future.done() or future.cancelled():
            pending.cancel()
