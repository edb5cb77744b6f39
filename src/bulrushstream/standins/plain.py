"""A stand-in for a plain service.

It echoes the request's body for any method and path, and counts the runs
of each request id, so that tests can detect a repeated run.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from litestar import Litestar, asgi, get, post
from litestar.params import JSONBody
from litestar.types import Receive, Scope, Send

from bulrushstream.standins.asgi import (
    abort_connection,
    crash_server,
    header,
    make_app,
    method,
    raw_path,
    read_body,
    send_bytes,
    send_json,
)

RUNS_PREFIX: Final = "/runs/"


@dataclass(frozen=True, slots=True)
class PlainFaults:
    """Faults of a plain service."""

    crash_marker: str = ""  # A body with this text crashes the service.
    down_s: float = 1.0  # Downtime after a crash.
    stall_s: float = 0.0  # Added latency of each call.
    slow_factor: float = 1.0  # Multiplies the time per call.
    outage: bool = False  # Answers every call with 503.
    lose_answers: int = 0  # Number of calls run but not answered.


@dataclass(frozen=True, slots=True)
class PlainOptions:
    """Options of a plain service."""

    slots: int = 4  # Concurrent calls; further calls are queued.
    call_s: float = 0.0  # Time per call.
    faults: PlainFaults = PlainFaults()  # Initial faults.


@dataclass(frozen=True, slots=True)
class PlainLoad:
    """The load that the service reports."""

    running: int  # Calls being processed.
    waiting: int  # Queued calls.


@dataclass(slots=True)
class PlainState:
    """The plain service's state."""

    options: PlainOptions
    faults: PlainFaults  # Current faults.
    slots: asyncio.Semaphore  # Acquired by running calls.
    runs: Counter[str] = field(default_factory=Counter)  # By request id.
    running: int = 0  # Calls being processed.
    waiting: int = 0  # Queued calls.
    max_running: int = 0  # Highest number of concurrent calls so far.
    lost_answers: int = 0  # Answers dropped since the faults were set.


@dataclass(frozen=True, slots=True)
class Plain:
    """A plain service: an ASGI app and its state."""

    asgi: Litestar
    state: PlainState  # Read by tests.


def make_plain(options: PlainOptions | None = None) -> Plain:
    """Make a plain service.

    :param options: The options; None: the defaults.
    :returns: The app and its state.
    """
    chosen = options or PlainOptions()
    state = PlainState(chosen, chosen.faults, asyncio.Semaphore(chosen.slots))

    @post("/faults", status_code=200)
    async def set_faults(data: JSONBody[PlainFaults]) -> PlainFaults:
        state.faults = data
        state.lost_answers = 0
        return data

    @get("/load")
    async def load() -> PlainLoad:
        return PlainLoad(state.running, state.waiting)

    @asgi("/", is_mount=True, copy_scope=False)
    async def call(scope: Scope, receive: Receive, send: Send) -> None:
        path = raw_path(scope)
        if path.startswith(RUNS_PREFIX):
            runs = state.runs[path.removeprefix(RUNS_PREFIX)]
            await send_json(send, 200, {"runs": runs})
            return
        await _answer(state, scope, receive, send)

    return Plain(make_app([set_faults, load, call]), state)


async def _answer(
    state: PlainState, scope: Scope, receive: Receive, send: Send
) -> None:
    """Wait for a slot, then run one call."""
    body = await read_body(receive)
    if state.faults.outage:
        await send_bytes(send, 503, b"")
        return
    state.waiting += 1
    try:
        await state.slots.acquire()
    finally:
        state.waiting -= 1
    state.running += 1
    state.max_running = max(state.max_running, state.running)
    try:
        await _run(state, scope, send, body)
    finally:
        state.running -= 1
        state.slots.release()


async def _run(
    state: PlainState, scope: Scope, send: Send, body: bytes
) -> None:
    """Run one call and echo its body, or inject the configured fault."""
    faults = state.faults
    request_id = header(scope, b"x-request-id")
    state.runs[request_id] += 1
    marker = faults.crash_marker.encode()
    if marker and marker in body:
        await crash_server(scope, faults.down_s)
        return
    time_s = state.options.call_s * faults.slow_factor + faults.stall_s
    await asyncio.sleep(time_s)
    if state.lost_answers < faults.lose_answers:
        state.lost_answers += 1
        await abort_connection(scope)
        return
    headers = [
        (b"content-type", header(scope, b"content-type").encode()),
        (b"x-echo-method", method(scope).encode()),
        (b"x-echo-path", raw_path(scope).encode()),
        (b"x-run", b"%d" % state.runs[request_id]),
    ]
    await send_bytes(send, 200, body, headers)
