"""A stand-in for the platform's append-only log service.

A stream is a sequence of records with offsets from 0.  Retention by time
or number removes the oldest records, which raises the first readable
offset.  `POST /streams/{stream}` appends the body and returns its offset;
`GET /streams/{stream}?offset=&limit=` reads a page.
"""

from __future__ import annotations

import asyncio
import base64
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from litestar import Litestar, asgi, post
from litestar.params import JSONBody
from litestar.types import Receive, Scope, Send

from bulrushstream.standins.asgi import (
    abort_connection,
    make_app,
    method,
    query,
    raw_path,
    read_body,
    send_bytes,
    send_json,
)

STREAMS_PREFIX: Final = "/streams/"
DEFAULT_LIMIT: Final = 100
MAX_LIMIT: Final = 1000
MAX_RECORD_BYTES: Final = 1 << 20


@dataclass(frozen=True, slots=True)
class LogFaults:
    """Faults of the log."""

    outage: bool = False  # Answers every call with 503.
    slow_s: float = 0.0  # Delay before each call takes effect.
    answer_s: float = 0.0  # Delay between the append and its answer.
    lose_answers: int = 0  # Number of appends done but not answered.
    lose_appends: int = 0  # Number of appends neither done nor answered.


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Options of the log."""

    retention_count: int = 0  # Records kept per stream; 0: all.
    retention_s: float = 0.0  # How long records are kept; 0: no limit.
    max_appends_per_s: float = 0.0  # The rate limit; 0: no limit.
    faults: LogFaults = LogFaults()  # Initial faults.


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record of a stream."""

    offset: int
    at_s: float  # When it was appended.
    body: bytes


@dataclass(slots=True)
class Stream:
    """One stream's records."""

    next_offset: int = 0
    records: deque[StoredRecord] = field(default_factory=deque)


@dataclass(slots=True)
class LogState:
    """The log's state."""

    options: LogOptions
    faults: LogFaults  # Current faults.
    now: Callable[[], float]  # The clock for retention, in seconds.
    streams: dict[str, Stream] = field(default_factory=dict)  # By name.
    lost_answers: int = 0  # Since the faults were set.
    dropped_appends: int = 0  # Since the faults were set.
    appends: int = 0  # Records appended so far.
    # The times of the appends in the last second, for the rate limit.
    recent_appends_s: deque[float] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class Log:
    """A log service: an ASGI app and its state."""

    asgi: Litestar
    state: LogState  # Read by tests.


def make_log(
    options: LogOptions | None = None,
    now: Callable[[], float] = time.monotonic,
) -> Log:
    """Make a log service.

    :param options: The options; None: the defaults.
    :param now: The clock for retention, in seconds.
    :returns: The app and its state.
    """
    chosen = options or LogOptions()
    state = LogState(chosen, chosen.faults, now)

    @post("/faults", status_code=200)
    async def set_faults(data: JSONBody[LogFaults]) -> LogFaults:
        state.faults = data
        state.lost_answers = 0
        state.dropped_appends = 0
        return data

    @asgi(STREAMS_PREFIX, is_mount=True, copy_scope=False)
    async def streams(scope: Scope, receive: Receive, send: Send) -> None:
        await _serve_stream(state, scope, receive, send)

    return Log(make_app([set_faults, streams]), state)


def append_record(state: LogState, stream: str, body: bytes) -> int:
    """Append a record.

    :param state: The log.
    :param stream: The stream's name.
    :param body: The record's body.
    :returns: The record's offset.
    """
    stored = state.streams.setdefault(stream, Stream())
    offset = stored.next_offset
    stored.records.append(StoredRecord(offset, state.now(), body))
    stored.next_offset += 1
    state.appends += 1
    _apply_retention(state, stored)
    return offset


def _apply_retention(state: LogState, stream: Stream) -> None:
    """Remove the records that exceed the retention."""
    count = state.options.retention_count
    while count and len(stream.records) > count:
        stream.records.popleft()
    retention_s = state.options.retention_s
    oldest_s = state.now() - retention_s
    while retention_s and stream.records and stream.records[0].at_s < oldest_s:
        stream.records.popleft()


async def _serve_stream(
    state: LogState, scope: Scope, receive: Receive, send: Send
) -> None:
    """Append to a stream or read a page of it."""
    stream = raw_path(scope).removeprefix(STREAMS_PREFIX).strip("/")
    body = await read_body(receive)
    if state.faults.outage:
        await send_bytes(send, 503, b"")
        return
    await asyncio.sleep(state.faults.slow_s)
    if method(scope) == "POST":
        await _append(state, stream, body, scope, send)
    elif method(scope) == "GET":
        await _read(state, stream, query(scope), send)
    else:
        await send_bytes(send, 405, b"")


async def _append(
    state: LogState, stream: str, body: bytes, scope: Scope, send: Send
) -> None:
    """Append; drop the append or its answer as the faults require."""
    if len(body) > MAX_RECORD_BYTES:
        await send_bytes(send, 413, b"")
        return
    if _over_rate(state):
        await send_bytes(send, 429, b"", [(b"retry-after", b"1")])
        return
    if state.dropped_appends < state.faults.lose_appends:
        state.dropped_appends += 1
        await abort_connection(scope)
        return
    offset = append_record(state, stream, body)
    await asyncio.sleep(state.faults.answer_s)
    if state.lost_answers < state.faults.lose_answers:
        state.lost_answers += 1
        await abort_connection(scope)
        return
    await send_json(send, 200, {"offset": offset})


def _over_rate(state: LogState) -> bool:
    """Return whether one more append would exceed the rate."""
    limit = state.options.max_appends_per_s
    if not limit:
        return False
    now_s = state.now()
    while state.recent_appends_s and state.recent_appends_s[0] <= now_s - 1.0:
        state.recent_appends_s.popleft()
    if len(state.recent_appends_s) >= limit:
        return True
    state.recent_appends_s.append(now_s)
    return False


async def _read(
    state: LogState, stream: str, params: dict[str, str], send: Send
) -> None:
    """Answer with a page of records, starting at an offset."""
    try:
        offset = int(params.get("offset", "0"))
        limit = min(int(params.get("limit", DEFAULT_LIMIT)), MAX_LIMIT)
    except ValueError:
        await send_bytes(send, 400, b"")
        return
    stored = state.streams.get(stream, Stream())
    _apply_retention(state, stored)
    page = [
        {
            "offset": record.offset,
            "body": base64.b64encode(record.body).decode(),
        }
        for record in _records_from(stored, offset, limit)
    ]
    first = stored.next_offset - len(stored.records)
    answer = {"first": first, "next": stored.next_offset, "records": page}
    await send_json(send, 200, answer)


def _records_from(
    stream: Stream, offset: int, limit: int
) -> list[StoredRecord]:
    """Return up to `limit` records, starting at an offset."""
    first = stream.next_offset - len(stream.records)
    start = max(offset - first, 0)
    end = min(start + limit, len(stream.records))
    return [stream.records[index] for index in range(start, end)]
