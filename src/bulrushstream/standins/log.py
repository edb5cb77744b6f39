"""A stand-in for the platform's append-only log service.

A stream is a sequence of records with offsets from 0.  Records are kept
for a limited time or number, so that the first offset that can still be
read grows.  `POST /streams/{stream}` appends the body and answers with
its offset; `GET /streams/{stream}?offset=&limit=` reads a page.
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
    drop,
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
    """What goes wrong at the log."""

    outage: bool = False  # Whether every call is answered by a 503.
    slow_s: float = 0.0  # Extra time before each call takes effect.
    answer_s: float = 0.0  # Extra time between effect and answer.
    lose_answers: int = 0  # So many appends take effect unanswered.
    lose_appends: int = 0  # So many appends are dropped unanswered.


@dataclass(frozen=True, slots=True)
class LogOptions:
    """How the log behaves."""

    retention_count: int = 0  # Records kept per stream; 0: all.
    retention_s: float = 0.0  # How long records are kept; 0: for ever.
    max_appends_per_s: float = 0.0  # More are refused; 0: no limit.
    faults: LogFaults = LogFaults()  # What goes wrong at first.


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record that the log holds."""

    offset: int  # Its place in the stream.
    at_s: float  # When it was appended.
    body: bytes  # What was appended.


@dataclass(slots=True)
class Stream:
    """One stream's records."""

    next_offset: int = 0  # The next record's offset.
    records: deque[StoredRecord] = field(default_factory=deque)


@dataclass(slots=True)
class LogState:
    """What the log remembers."""

    options: LogOptions  # How it behaves.
    faults: LogFaults  # What goes wrong now.
    now: Callable[[], float]  # The clock of its retention, in seconds.
    streams: dict[str, Stream] = field(default_factory=dict)  # By name.
    lost: int = 0  # Answers lost since the faults were set.
    dropped: int = 0  # Appends dropped since the faults were set.
    appends: int = 0  # Appends that took effect.
    recent: deque[float] = field(default_factory=deque)  # Of one second.


@dataclass(frozen=True, slots=True)
class Log:
    """A log service: an ASGI app and what it remembers."""

    asgi: Litestar  # The app to serve.
    state: LogState  # What tests look at.


def make_log(
    options: LogOptions | None = None,
    now: Callable[[], float] = time.monotonic,
) -> Log:
    """Make a log service.

    :param options: How it behaves; None: the defaults.
    :param now: The clock of its retention, in seconds.
    :returns: The app and its state.
    """
    chosen = options or LogOptions()
    state = LogState(chosen, chosen.faults, now)

    @post("/faults", status_code=200)
    async def set_faults(data: JSONBody[LogFaults]) -> LogFaults:
        state.faults = data
        state.lost = 0
        state.dropped = 0
        return data

    @asgi(STREAMS_PREFIX, is_mount=True, copy_scope=False)
    async def streams(scope: Scope, receive: Receive, send: Send) -> None:
        await _serve_stream(state, scope, receive, send)

    return Log(make_app([set_faults, streams]), state)


def append_record(state: LogState, stream: str, body: bytes) -> int:
    """Append a record.

    :param state: The log.
    :param stream: The stream's name.
    :param body: What to append.
    :returns: The record's offset.
    """
    held = state.streams.setdefault(stream, Stream())
    offset = held.next_offset
    held.records.append(StoredRecord(offset, state.now(), body))
    held.next_offset += 1
    state.appends += 1
    _drop_old(state, held)
    return offset


def _drop_old(state: LogState, stream: Stream) -> None:
    """Drop what retention no longer covers."""
    count = state.options.retention_count
    while count and len(stream.records) > count:
        stream.records.popleft()
    kept_s = state.options.retention_s
    oldest_s = state.now() - kept_s
    while kept_s and stream.records and stream.records[0].at_s < oldest_s:
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
    """Append, and lose the append or its answer if told to."""
    if len(body) > MAX_RECORD_BYTES:
        await send_bytes(send, 413, b"")
        return
    if _over_rate(state):
        await send_bytes(send, 429, b"", [(b"retry-after", b"1")])
        return
    if state.dropped < state.faults.lose_appends:
        state.dropped += 1
        await drop(scope)
        return
    offset = append_record(state, stream, body)
    await asyncio.sleep(state.faults.answer_s)
    if state.lost < state.faults.lose_answers:
        state.lost += 1
        await drop(scope)
        return
    await send_json(send, 200, {"offset": offset})


def _over_rate(state: LogState) -> bool:
    """Return whether one more append would exceed the rate."""
    limit = state.options.max_appends_per_s
    if not limit:
        return False
    now_s = state.now()
    while state.recent and state.recent[0] <= now_s - 1.0:
        state.recent.popleft()
    if len(state.recent) >= limit:
        return True
    state.recent.append(now_s)
    return False


async def _read(
    state: LogState, stream: str, params: dict[str, str], send: Send
) -> None:
    """Answer a page of records from an offset on."""
    try:
        offset = int(params.get("offset", "0"))
        limit = min(int(params.get("limit", DEFAULT_LIMIT)), MAX_LIMIT)
    except ValueError:
        await send_bytes(send, 400, b"")
        return
    held = state.streams.get(stream, Stream())
    _drop_old(state, held)
    page = [
        {
            "offset": record.offset,
            "body": base64.b64encode(record.body).decode(),
        }
        for record in _from_offset(held, offset, limit)
    ]
    first = held.next_offset - len(held.records)
    answer = {"first": first, "next": held.next_offset, "records": page}
    await send_json(send, 200, answer)


def _from_offset(
    stream: Stream, offset: int, limit: int
) -> list[StoredRecord]:
    """Return up to `limit` records from an offset on."""
    first = stream.next_offset - len(stream.records)
    start = max(offset - first, 0)
    end = min(start + limit, len(stream.records))
    return [stream.records[index] for index in range(start, end)]
