"""A stand-in for a plain service.

It answers any method and path with the request's body, and counts how
often it ran each request id, so that a test can see a second run.
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
    crash,
    drop,
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
    """What goes wrong at a plain service."""

    crash_marker: str = ""  # A body with this text crashes the service.
    down_s: float = 1.0  # How long it is down after a crash.
    stall_s: float = 0.0  # Extra time before a call is answered.
    slow_factor: float = 1.0  # Multiplies the time per call.
    outage: bool = False  # Whether every call is answered by a 503.
    lose_answers: int = 0  # So many calls run, but lose their answer.


@dataclass(frozen=True, slots=True)
class PlainOptions:
    """How a plain service behaves."""

    slots: int = 4  # Calls at once; others wait in its own queue.
    call_s: float = 0.0  # Time per call.
    faults: PlainFaults = PlainFaults()  # What goes wrong at first.


@dataclass(frozen=True, slots=True)
class PlainLoad:
    """What the service reports of its load."""

    running: int  # Calls that it works on.
    waiting: int  # Calls in its own queue.


@dataclass(slots=True)
class PlainState:
    """What a plain service remembers."""

    options: PlainOptions  # How it behaves.
    faults: PlainFaults  # What goes wrong now.
    slots: asyncio.Semaphore  # Free slots.
    runs: Counter[str] = field(default_factory=Counter)  # By request id.
    running: int = 0  # Calls that it works on.
    waiting: int = 0  # Calls in its own queue.
    max_running: int = 0  # The most calls at once so far.
    lost_answers: int = 0  # Answers that were lost on purpose.


@dataclass(frozen=True, slots=True)
class Plain:
    """A plain service: an ASGI app and what it remembers."""

    asgi: Litestar  # The app to serve.
    state: PlainState  # What tests look at.


def make_plain(options: PlainOptions | None = None) -> Plain:
    """Make a plain service.

    :param options: How it behaves; None: the defaults.
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
    """Run one call in a slot and echo its body."""
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
    """Do the work of one call and answer it."""
    faults = state.faults
    request_id = header(scope, b"x-request-id")
    state.runs[request_id] += 1
    marker = faults.crash_marker.encode()
    if marker and marker in body:
        await crash(scope, faults.down_s)
        return
    time_s = state.options.call_s * faults.slow_factor + faults.stall_s
    await asyncio.sleep(time_s)
    if state.lost_answers < faults.lose_answers:
        state.lost_answers += 1
        await drop(scope)
        return
    headers = [
        (b"content-type", header(scope, b"content-type").encode()),
        (b"x-echo-method", method(scope).encode()),
        (b"x-echo-path", raw_path(scope).encode()),
        (b"x-run", b"%d" % state.runs[request_id]),
    ]
    await send_bytes(send, 200, body, headers)
