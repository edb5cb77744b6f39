"""Single HTTP calls on pooled connections, awaited whole."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.upstream import Loss, Pool


class CallError(Exception):
    """No answer came; whatever was called may have happened."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int  # The HTTP status.
    headers: RawHeaders  # Its headers.
    body: bytes  # Its body.


@dataclass(slots=True)
class _Collector:
    """Collects one answer."""

    request: bytes  # The request's bytes.
    future: asyncio.Future[Answer]  # Gets the answer.
    status: int = 0
    headers: RawHeaders = field(default_factory=list)
    pieces: list[bytes] = field(default_factory=list)

    def payload(self) -> bytes | None:
        """Return the request's bytes; see `Sink`."""
        return self.request

    def head(self, status: int, headers: RawHeaders) -> bool:
        """Take the head; see `Sink`."""
        self.status = status
        self.headers = headers
        return True

    def data(self, data: bytes) -> None:
        """Take a piece; see `Sink`."""
        self.pieces.append(data)

    def end(self) -> None:
        """Hand the answer over; see `Sink`."""
        if not self.future.done():
            body = b"".join(self.pieces)
            self.future.set_result(Answer(self.status, self.headers, body))

    def lost(self, loss: Loss, detail: str) -> None:
        """Hand the failure over; see `Sink`."""
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
    """Call a server and wait for its whole answer.

    :param pool: the connections to the server
    :param method: the HTTP method
    :param target: the path and query
    :param body: what to send; None: nothing
    :param timeout_s: the longest wait for the whole answer
    :raises CallError: if no whole answer came in time
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
