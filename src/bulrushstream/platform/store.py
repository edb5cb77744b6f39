"""The client of the platform's store, a log with keyed topics.

Every call is one HTTP request with a timeout.  A call that was not answered
may have taken effect, or may still take effect later.
"""

from __future__ import annotations

import base64
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

import msgspec

from bulrushstream.protocol.keyedstore import (
    Batch,
    KeyedRecord,
    OutOfTurnError,
    StoreError,
    Turn,
)
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.transport.httpcall import Answer, CallError, call
from bulrushstream.transport.upstream import Pool

# The timeout of a call, on top of the time that the store is asked to wait.
CALL_TIMEOUT_S: Final = 1.5

# The status for a read of records that the store has deleted.
TRIMMED_STATUS: Final = 410

# The status for a read of a topic that has no records yet.
NOT_FOUND_STATUS: Final = 404

# The status for an append that has another number than the next one.
OUT_OF_TURN_STATUS: Final = 409

# Reads in a row whose first record was deleted meanwhile.
MAX_TRIMMED_READS: Final = 3

# The topic's end offset and its first offset, which is not used here.
_BATCH_HEAD: Final = struct.Struct("!QQ")
_LENGTH: Final = struct.Struct("!I")


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool = False
    end_offset: int = 0


class _Trimmed(msgspec.Struct, rename="camel"):
    first_offset: int


class _Appended(msgspec.Struct, rename="camel"):
    offset: int
    end_offset: int


@dataclass(slots=True)
class StoreClient:
    """A client of the store, shared by the whole process."""

    pool: Pool  # The connections to the store.
    count_call: Callable[[str, bool], None]  # Receives call name and success.

    async def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return the newest record of each key; see `KeyedStore`.

        The pages are not a consistent snapshot.  The returned offset is the
        end offset of the first page, so that a read from there on returns
        every change made while later pages were read.
        """
        newest: dict[str, bytes] = {}
        end_offset: int | None = None
        after: str | None = None
        while True:
            query: dict[str, Any] = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            answer = await self._call("GET", "log-newest", query)
            page = _decode_json(answer, _Page)
            if end_offset is None:
                end_offset = page.end_offset
            for item in page.items:
                newest[item.key] = _decode_value(item)
            if not page.has_more or not page.items:
                return newest, end_offset
            after = page.items[-1].key

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Batch | None:
        """Return the records from an offset on; see `KeyedStore`."""
        query = {
            "topic": topic,
            "part": 0,
            "from": offset,
            "waitMs": int(wait_s * 1000),
        }
        answer = await self._call(
            "GET", "log-read", query, wait_s=wait_s, accept=(TRIMMED_STATUS,)
        )
        if answer.status == TRIMMED_STATUS:
            return None
        return _decode_batch(answer.body, offset)

    async def read_retained(self, topic: str, part: int, offset: int) -> Batch:
        """Return the records that are still there; see `KeyedStore`."""
        for _ in range(MAX_TRIMMED_READS):
            query = {"topic": topic, "part": part, "from": offset}
            accepted = (TRIMMED_STATUS, NOT_FOUND_STATUS)
            answer = await self._call(
                "GET", "log-read", query, accept=accepted
            )
            if answer.status == NOT_FOUND_STATUS:
                return Batch((), 0, 0, 0)
            if answer.status != TRIMMED_STATUS:
                return _decode_batch(answer.body, offset)
            trimmed: _Trimmed = _decode_json(answer, _Trimmed)
            offset = trimmed.first_offset
        raise StoreError("log-read: the records are deleted while read")

    async def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        part: int = 0,
        turn: Turn | None = None,
    ) -> int:
        """Append a record under a key; see `KeyedStore`."""
        name = key.encode()
        record = bytes((len(name),)) + name + value
        body = _LENGTH.pack(len(record)) + record
        query: dict[str, Any] = {"topic": topic, "part": part}
        accepted: tuple[int, ...] = ()
        if turn is not None:
            query["producer"] = turn.writer
            query["epoch"] = turn.epoch
            query["callSeq"] = turn.number
            accepted = (OUT_OF_TURN_STATUS,)
        answer = await self._call(
            "POST", "log-append", query, body, accept=accepted
        )
        if answer.status == OUT_OF_TURN_STATUS:
            raise OutOfTurnError("log-append: it was not its turn")
        appended: _Appended = _decode_json(answer, _Appended)
        return appended.offset

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
        """Call the store; raise StoreError unless the call succeeded."""
        target = f"/v1/{name}?{urlencode(query)}"
        try:
            answer = await call(
                self.pool,
                method,
                target,
                body,
                timeout_s=wait_s + CALL_TIMEOUT_S,
            )
        except CallError as error:
            # Idle connections to the store may be dead for the same reason.
            self.pool.drop_idle()
            self.count_call(name, False)
            raise StoreError(f"{name}: {error}") from error
        succeeded = answer.status == 200 or answer.status in accept
        self.count_call(name, succeeded)
        if not succeeded:
            raise StoreError(f"{name}: status {answer.status}")
        return answer


def _decode_value(item: _Item) -> bytes:
    """Decode an item's value; empty if it is not valid base64."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return b""


def _decode_record(record: bytes) -> KeyedRecord | None:
    """Decode a record; None if it is malformed."""
    if not record or len(record) < 1 + record[0]:
        return None
    end = 1 + record[0]
    try:
        return KeyedRecord(record[1:end].decode(), record[end:] or None)
    except UnicodeDecodeError:
        return None


def _decode_json(answer: Answer, document_type: type[Any]) -> Any:
    """Decode the JSON body of an answer."""
    try:
        return msgspec.json.decode(answer.body, type=document_type)
    except DECODE_ERRORS as error:
        raise StoreError(f"the answer can not be decoded: {error}") from error


def _decode_batch(body: bytes, offset: int) -> Batch:
    """Decode the records in the body of a read's answer."""
    if len(body) < _BATCH_HEAD.size:
        raise StoreError("the answer is truncated: shorter than its head")
    end_offset, _ = _BATCH_HEAD.unpack_from(body)
    position = _BATCH_HEAD.size
    records = []
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise StoreError(
                "the answer is truncated: it ends within a record"
            )
        records.append(_decode_record(body[position : position + length]))
        position += length
    readable = tuple(record for record in records if record is not None)
    return Batch(
        readable,
        len(records) - len(readable),
        offset + len(records),
        end_offset,
    )
