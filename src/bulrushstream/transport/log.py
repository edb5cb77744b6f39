"""The client of the platform's append-only log.

A failed append is one of two cases.  Either it certainly had no effect,
because the log was not reached or refused it, or the answer was lost and
the record may have been appended.
"""

from __future__ import annotations

import base64
from typing import Final
from urllib.parse import quote

import httpx
import msgspec

from bulrushstream.protocol.logservice import (
    LogAnswerLostError,
    LogPage,
    LogUnavailableError,
)
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.event import LogRecord
from bulrushstream.state.excess import OnExcess, PeerKind
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.client import make_client
from bulrushstream.transport.fetch import (
    Fetcher,
    FetchLimits,
    ResponseTooLargeError,
)

# The largest record has 8 MiB, and more in base64.
MAX_PAGE_BYTES: Final = 16 * 2**20

# Statuses that guarantee that the call had no effect.
_REFUSED_STATUSES: Final = frozenset({400, 404, 405, 413, 429, 503})
_NOT_SENT: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class _Appended(msgspec.Struct, frozen=True):
    """The answer to an append."""

    offset: int  # The record's offset.


class _Record(msgspec.Struct, frozen=True):
    """One record of a page."""

    offset: int  # The position in the stream.
    body: str  # The appended bytes, in base64.


class _Page(msgspec.Struct, frozen=True):
    """The answer to a read."""

    first: int  # The oldest retained offset.
    next: int  # The offset of the next append.
    records: list[_Record]  # In order.


class LogClient:
    """The platform's log over HTTP."""

    _client: httpx.AsyncClient  # The connection pool.
    _limits: FetchLimits  # Of one call.

    def __init__(
        self,
        base_url: str,
        timeout_s: float = 2.0,
        on_excess: OnExcess | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Make a client; no connection is opened yet.

        :param base_url: The log's URL.
        :param timeout_s: The time-out of one call, in seconds.
        :param on_excess: Called with answers that are too large.
        :param memory: The limit of all answers that are being read.
        """
        self._client = make_client(base_url, timeout_s)
        self._limits = FetchLimits(timeout_s, MAX_PAGE_BYTES)
        self._fetcher = Fetcher(
            self._client, PeerKind.STORE, on_excess, memory
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record.

        :param stream: The stream's name.
        :param body: The record's body.
        :returns: The record's offset.
        :raises LogUnavailableError: If the append certainly had no effect.
        :raises LogAnswerLostError: If the record may have been appended.
        """
        try:
            answer = await self._fetcher.fetch(
                "POST", _path(stream), self._limits, content=body
            )
        except _NOT_SENT as error:
            raise LogUnavailableError(_reason(error)) from error
        except (httpx.HTTPError, TimeoutError) as error:
            raise LogAnswerLostError(_reason(error)) from error
        if answer.status_code in _REFUSED_STATUSES:
            raise LogUnavailableError(f"status {answer.status_code}")
        try:
            return msgspec.json.decode(answer.content, type=_Appended).offset
        except DECODE_ERRORS as error:
            raise LogAnswerLostError(f"status {answer.status_code}") from error

    async def read(self, stream: str, offset: int, limit: int) -> LogPage:
        """Read records in order.

        :param stream: The stream's name.
        :param offset: The first offset to return, if it is still retained.
        :param limit: The largest number of records to return.
        :returns: The records from `offset` or the oldest retained one on.
        :raises LogUnavailableError: If the log did not answer.
        """
        params = {"offset": offset, "limit": limit}
        try:
            answer = await self._fetcher.fetch(
                "GET",
                _path(stream),
                self._limits,
                params=params,
                reported=limit <= 1,
            )
        except ResponseTooLargeError as error:
            if limit <= 1:
                raise LogUnavailableError(_reason(error)) from error
            # Large records fit one by one.
            return await self.read(stream, offset, max(1, limit // 20))
        except (httpx.HTTPError, TimeoutError) as error:
            raise LogUnavailableError(_reason(error)) from error
        if answer.status_code != 200:
            raise LogUnavailableError(f"status {answer.status_code}")
        try:
            return _decode_page(answer.content)
        except (*DECODE_ERRORS, ValueError) as error:
            raise LogUnavailableError(_reason(error)) from error


def _decode_page(body: bytes) -> LogPage:
    """Decode a page.

    :raises msgspec.DecodeError: If the body is no valid page.
    :raises ValueError: If a record is not base64.
    """
    page = msgspec.json.decode(body, type=_Page)
    records = tuple(
        LogRecord(record.offset, base64.b64decode(record.body, validate=True))
        for record in page.records
    )
    return LogPage(records, page.first, page.next)


def _path(stream: str) -> str:
    """Return the path of a stream."""
    return f"/streams/{quote(stream, safe='')}"


def _reason(error: Exception) -> str:
    """Return an error's type and text, for the log."""
    return f"{type(error).__name__}: {error}"
