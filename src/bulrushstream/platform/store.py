"""The client of the platform's store, a log with keyed topics.

Every call is one HTTP request with a time limit.  A call without an answer
may have been carried out, or may still be.
"""

from __future__ import annotations

import base64
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import urlencode

import msgspec

from bulrushstream.transport.httpcall import Answer, CallFailed, call
from bulrushstream.transport.upstream import Pool

# How long a call may take beyond what it asks the store to wait.
CALL_TIMEOUT_S: Final = 1.5

_POSITIONS: Final = struct.Struct("!QQ")
_LENGTH: Final = struct.Struct("!I")


class StoreRefused(Exception):
    """The store did not do what it was asked, and said so."""

    def __init__(self, status: int, body: bytes) -> None:
        """Make the refusal.

        :param status: the HTTP status
        :param body: what the store said
        """
        super().__init__(f"status {status}")
        self.status = status
        self.body = body


StoreFailure: Final = (CallFailed, StoreRefused)


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool = False
    end_offset: int = 0


class _Appended(msgspec.Struct, rename="camel"):
    offset: int
    end_offset: int


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic."""

    key: str  # What it is about.
    value: bytes | None  # Its content; None: the key was dropped.


@dataclass(frozen=True, slots=True)
class Batch:
    """What one read returned."""

    records: tuple[bytes, ...]  # In order.
    next_offset: int  # Where to read on.
    end_offset: int  # The partition's end when it was read.


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The records that were asked for have been deleted."""


@dataclass(slots=True)
class StoreClient:
    """The one client of the store in a process."""

    pool: Pool  # The connections to the store.
    count: Callable[[str, bool], None]  # Takes a call's name and success.
    calls: int = 0  # Calls so far.
    _waiting: dict[str, int] = field(default_factory=dict)

    async def newest(
        self, topic: str
    ) -> tuple[dict[str, bytes], int]:
        """Return the newest record of each key, and the offset after them.

        The pages are no snapshot: what changes meanwhile is read again by
        whoever reads on from the first page's end.

        :param topic: a keyed topic
        :raises CallFailed: if the store did not answer
        :raises StoreRefused: if the store refused
        """
        found: dict[str, bytes] = {}
        end_offset: int | None = None
        after: str | None = None
        while True:
            query: dict[str, Any] = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            answer = await self._call("GET", "log-newest", query)
            page = _decode(answer, _Page)
            if end_offset is None:
                end_offset = page.end_offset
            for item in page.items:
                found[item.key] = base64.b64decode(item.value)
            if not page.has_more or not page.items:
                return found, end_offset
            after = page.items[-1].key

    async def read(
        self, topic: str, offset: int, wait_s: float, part: int = 0
    ) -> Batch | Trimmed:
        """Return the records from an offset on; wait for the first one.

        :param topic: the topic
        :param offset: where to read
        :param wait_s: how long the store waits for a record
        :param part: the partition
        :raises CallFailed: if the store did not answer
        :raises StoreRefused: if the store refused
        """
        query = {
            "topic": topic,
            "part": part,
            "from": offset,
            "waitMs": int(wait_s * 1000),
        }
        answer = await self._call(
            "GET", "log-read", query, wait_s=wait_s, accept=(410,)
        )
        if answer.status == 410:
            return Trimmed()
        return _batch(answer.body, offset)

    async def append_keyed(self, topic: str, key: str, value: bytes) -> int:
        """Append a record under a key; return its offset.

        :param topic: a keyed topic of the system's own
        :param key: at most 255 bytes
        :param value: the content; empty: the key is dropped
        :raises CallFailed: if the store did not answer
        :raises StoreRefused: if the store refused
        """
        name = key.encode()
        record = bytes((len(name),)) + name + value
        body = _LENGTH.pack(len(record)) + record
        answer = await self._call(
            "POST", "log-append", {"topic": topic, "part": 0}, body
        )
        return _decode(answer, _Appended).offset

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any],
        body: bytes | None = None,
        *,
        wait_s: float = 0.0,
        accept: tuple[int, ...] = (),
    ) -> Answer:
        """Call the store; raise unless it did what it was asked."""
        self.calls += 1
        target = f"/v1/{name}?{urlencode(query)}"
        try:
            answer = await call(
                self.pool,
                method,
                target,
                body,
                timeout_s=wait_s + CALL_TIMEOUT_S,
            )
        except CallFailed:
            # Other connections to the store may be as silent as this one.
            self.pool.drop_idle()
            self.count(name, False)
            raise
        good = answer.status == 200 or answer.status in accept
        self.count(name, good)
        if not good:
            raise StoreRefused(answer.status, answer.body)
        return answer


def split_keyed(record: bytes) -> KeyedRecord:
    """Return what a record of a keyed topic holds.

    :param record: the record's bytes
    :raises ValueError: if it is no such record
    """
    if not record or len(record) < 1 + record[0]:
        raise ValueError("the record is shorter than its key")
    end = 1 + record[0]
    value = record[end:]
    return KeyedRecord(record[1:end].decode(), value or None)


def _decode(answer: Answer, kind: type[Any]) -> Any:
    """Return an answer's document."""
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as error:
        raise CallFailed(f"not an answer of the store: {error}") from error


def _batch(body: bytes, offset: int) -> Batch:
    """Return the records of a read's body."""
    if len(body) < _POSITIONS.size:
        raise CallFailed("the answer is shorter than its head")
    end_offset, _ = _POSITIONS.unpack_from(body)
    place = _POSITIONS.size
    records = []
    while place + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, place)
        place += _LENGTH.size
        if place + length > len(body):
            raise CallFailed("the answer ends within a record")
        records.append(body[place : place + length])
        place += length
    return Batch(tuple(records), offset + len(records), end_offset)
