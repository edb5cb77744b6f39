"""HTTP calls whose whole responses are read, within limits."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any, Final

import httpx

from bulrushstream.state.excess import (
    Excess,
    ExcessReason,
    OnExcess,
    PeerKind,
)
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.framing import head_fault

# Headers that do not describe a body that was read without decoding it.
_BODY_HEADERS: Final = (
    "content-encoding",
    "content-length",
    "transfer-encoding",
)


class ResponseTooLargeError(httpx.RemoteProtocolError):
    """A response was given up as it exceeded its limit."""

    def __init__(self, reason: ExcessReason) -> None:
        """Create the error.

        :param reason: what exceeded its limit
        """
        super().__init__(f"the response exceeds its limit: {reason.value}")
        self.reason = reason


@dataclass(frozen=True, slots=True)
class FetchLimits:
    """What a call may take."""

    timeout_s: float  # For the whole call.
    body_bytes: int  # Of the response.


@dataclass(slots=True)
class _Body:
    """The body of a response that is being read."""

    limit_bytes: int
    pieces: bytearray = field(default_factory=bytearray)
    excess: ExcessReason | None = None  # Why it was given up.

    def add(self, piece: bytes) -> None:
        """Add a piece, or give up."""
        if len(self.pieces) + len(piece) > self.limit_bytes:
            self.give_up(ExcessReason.BODY)
        else:
            self.pieces += piece

    def give_up(self, reason: ExcessReason) -> None:
        """Drop what was read."""
        self.excess = reason
        self.pieces = bytearray()


def fault_of(answer: httpx.Response) -> str:
    """Return why a response's head is none; empty: it is one.

    The client library takes statuses that do not exist.

    :param answer: a response whose head was received
    """
    return head_fault(answer.status_code, answer.headers.raw)


def require_sound_head(answer: httpx.Response) -> None:
    """Refuse a response with a faulty head.

    :param answer: a response whose head was received
    :raises httpx.RemoteProtocolError: if its head has a fault
    """
    fault = fault_of(answer)
    if fault:
        raise httpx.RemoteProtocolError(fault)


async def read_whole(
    answer: httpx.Response,
    limit_bytes: int,
    memory: MemoryBudget | None = None,
) -> httpx.Response:
    """Return a response with its body.

    :param answer: a response whose head was received
    :param limit_bytes: the limit of its body
    :param memory: the limit of all bodies that are being read
    :raises ResponseTooLargeError: if a limit is exceeded
    """
    body = _Body(limit_bytes)
    account = None
    if memory is not None:
        account = memory.open(lambda: body.give_up(ExcessReason.MEMORY))
    try:
        async for piece in answer.aiter_raw():
            body.add(piece)
            if account is not None:
                account.resize(len(body.pieces))
            if body.excess is not None:
                break
        if body.excess is not None:
            raise ResponseTooLargeError(body.excess)
    finally:
        if account is not None:
            account.resize(0)
    headers = answer.headers.copy()
    for name in _BODY_HEADERS:
        headers.pop(name, None)
    return httpx.Response(
        answer.status_code,
        headers=headers,
        content=bytes(body.pieces),
        request=answer.request,
    )


@dataclass(frozen=True, slots=True)
class Fetcher:
    """Reads whole responses of one kind of peer."""

    client: httpx.AsyncClient
    peer: PeerKind
    on_excess: OnExcess | None = None
    memory: MemoryBudget | None = None  # Limits all calls together.

    async def fetch(
        self,
        method: str,
        url: str,
        limits: FetchLimits,
        *,
        content: bytes | None = None,
        params: dict[str, Any] | None = None,
        reported: bool = True,
    ) -> httpx.Response:
        """Make a call and return its whole response.

        :param method: the HTTP method
        :param url: the URL, or the path at the client's server
        :param limits: what the call may take
        :param content: the request's body; None: no body
        :param params: the query; None: as in the URL
        :param reported: whether a body over the limit is reported
        :raises httpx.HTTPError: if no response was received within the limits
        :raises TimeoutError: if it took too long
        """
        request = self.client.build_request(
            method, url, content=content, params=params
        )
        return await self.send(request, limits, reported=reported)

    async def send(
        self,
        request: httpx.Request,
        limits: FetchLimits,
        *,
        reported: bool = True,
    ) -> httpx.Response:
        """Send a request and return its whole response; see `fetch`.

        :param request: the request
        :param limits: what the call may take
        :param reported: whether a body over the limit is reported
        """
        # A few encoded bytes may stand for many.
        request.headers["accept-encoding"] = "identity"
        answer = None
        try:
            async with asyncio.timeout(limits.timeout_s):
                answer = await self.client.send(request, stream=True)
                require_sound_head(answer)
                return await read_whole(answer, limits.body_bytes, self.memory)
        except ResponseTooLargeError as error:
            if reported:
                self._report(request, error.reason)
            raise
        except TimeoutError:
            if answer is not None:
                self._report(request, ExcessReason.TIME)
            raise
        finally:
            if answer is not None:
                await answer.aclose()

    def _report(self, request: httpx.Request, reason: ExcessReason) -> None:
        """Report a response that was given up."""
        if self.on_excess is not None:
            address = request.url.netloc.decode("ascii")
            self.on_excess(Excess(self.peer, address, reason))
