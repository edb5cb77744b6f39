"""The client of the platform's store, a log with keyed topics.

Every call is one HTTP request with a timeout.  A call that was not answered
may have taken effect, or may still take effect later.
"""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
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
from bulrushstream.state.excess import Excess, ExcessReason
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.httpcall import (
    Answer,
    CallError,
    CallLimits,
    call,
)
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

# Smallest limit of an answer.  A page has 1 MB of values, in base64, and 500
# keys; a single record may have more.
MIN_ANSWER_BYTES: Final = 4 * 2**20

# What a page's entry takes besides its key and value.
ENTRY_BYTES: Final = 200

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


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What is accepted of the store.

    A table is read whole.  Its limit serves many thousands of endpoints and
    routes, which have some hundred bytes each.
    """

    answer_bytes: int = MIN_ANSWER_BYTES  # Of one call.
    table_bytes: int = 16 * 2**20  # Of all keys and values of a topic.
    table_s: float = 60.0  # For all pages of a topic.


@dataclass(slots=True)
class StoreClient:
    """A client of the store, shared by the whole process."""

    pool: Pool  # The connections to the store.
    count_call: Callable[[str, bool], None]  # Receives call name and success.
    limits: StoreLimits = field(default_factory=StoreLimits)
    memory: MemoryBudget | None = None  # For answers that are being read.

    async def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return the newest record of each key; see `KeyedStore`.

        The pages are not a consistent snapshot.  The returned offset is the
        end offset of the first page, so that a read from there on returns
        every change made while later pages were read.
        """
        table = _Table(self.limits.table_bytes)
        account = None
        if self.memory is not None:
            account = self.memory.open(
                lambda: table.give_up(ExcessReason.MEMORY)
            )
        end_offset: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": 0}
        try:
            async with asyncio.timeout(self.limits.table_s):
                while True:
                    answer = await self._call("GET", "log-newest", query)
                    page = _decode_json(answer, _Page)
                    if end_offset is None:
                        end_offset = page.end_offset
                    table.add(page)
                    if account is not None:
                        account.resize(table.size_bytes)
                    if table.excess is not None:
                        break
                    if not page.has_more or not page.items:
                        return table.newest, end_offset
                    query["after"] = page.items[-1].key
        except TimeoutError:
            table.give_up(ExcessReason.TIME)
        finally:
            if account is not None:
                account.resize(0)
        self._report_excess(table.excess or ExcessReason.BODY)
        raise StoreError(f"log-newest: {topic} has too much")

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
                limits=CallLimits(
                    wait_s + CALL_TIMEOUT_S,
                    self.limits.answer_bytes,
                    self.memory,
                ),
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

    def _report_excess(self, reason: ExcessReason) -> None:
        """Report that the store sent too much; drop its connections."""
        pool = self.pool
        pool.drop_idle()
        if pool.on_excess is not None:
            address = f"{pool.host}:{pool.port}"
            pool.on_excess(Excess(pool.peer, address, reason))


@dataclass(slots=True)
class _Table:
    """The newest records of a topic, while its pages are read."""

    limit_bytes: int
    newest: dict[str, bytes] = field(default_factory=dict)
    size_bytes: int = 0
    excess: ExcessReason | None = None  # Why it was given up.

    def add(self, page: _Page) -> None:
        """Add a page's records.

        Keys are in order, so a further page without a new key shows that
        there would be no end.
        """
        count = len(self.newest)
        for item in page.items:
            value = _decode_value(item)
            known = self.newest.get(item.key)
            self.newest[item.key] = value
            self.size_bytes += len(value)
            if known is None:
                self.size_bytes += len(item.key) + ENTRY_BYTES
            else:
                self.size_bytes -= len(known)
        endless = page.has_more and len(self.newest) == count
        if self.size_bytes > self.limit_bytes or (endless and page.items):
            self.give_up(ExcessReason.BODY)

    def give_up(self, reason: ExcessReason) -> None:
        """Drop what was read."""
        self.excess = reason
        self.newest = {}
        self.size_bytes = 0


def _decode_value(item: _Item) -> bytes:
    """Decode an item's value; empty if it is not valid base64."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return b""


def _decode_record(record: bytes, offset: int) -> KeyedRecord | None:
    """Decode a record; None if it is malformed."""
    if not record or len(record) < 1 + record[0]:
        return None
    end = 1 + record[0]
    try:
        return KeyedRecord(
            record[1:end].decode(), record[end:] or None, offset
        )
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
    records: list[KeyedRecord | None] = []
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise StoreError(
                "the answer is truncated: it ends within a record"
            )
        record = body[position : position + length]
        records.append(_decode_record(record, offset + len(records)))
        position += length
    readable = tuple(record for record in records if record is not None)
    return Batch(
        readable,
        len(records) - len(readable),
        offset + len(records),
        end_offset,
    )
