"""Generation of one answer by the model stand-in, streamed or not."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

from litestar.types import Scope, Send

from bulrushstream.standins.answer import (
    Answer,
    encode_completion,
    encode_event,
)
from bulrushstream.standins.asgi import crash_server, send_bytes, send_json
from bulrushstream.standins.batch import EngineState, record_load
from bulrushstream.standins.cache import clear_cache, use_prefix
from bulrushstream.standins.weights import reset_holdings
from bulrushstream.transport.server import connection_of

MAX_RESUMABLE_ANSWERS: Final = 1000
TOKENS_PER_STEP: Final = 8


@dataclass(frozen=True, slots=True)
class Job:
    """One request to an engine."""

    answer: Answer  # The planned answer.
    request_id: str  # Identifies a stream to resume.
    stream: bool  # Whether the answer is streamed.
    resume: str  # Index of the event to resume at; empty: no resume.
    prefix: int  # Digest of the prompt's prefix.
    crashes: bool  # Whether it crashes the engine.


async def run_job(
    state: EngineState, job: Job, scope: Scope, send: Send
) -> None:
    """Wait for a slot, then generate an answer.

    :param state: The engine.
    :param job: The request.
    :param scope: The ASGI scope of the request.
    :param send: The ASGI send function.
    """
    state.waiting += 1
    record_load(state)
    try:
        await state.slots.acquire()
    finally:
        state.waiting -= 1
    state.running += 1
    state.max_running = max(state.max_running, state.running)
    record_load(state)
    try:
        await _run(state, job, scope, send)
    finally:
        state.running -= 1
        state.slots.release()
        record_load(state)


async def _run(state: EngineState, job: Job, scope: Scope, send: Send) -> None:
    """Generate an answer, or inject the configured fault."""
    offset = 0
    if job.resume:
        if job.request_id not in state.resumable_answers:
            await send_json(send, 404, {"error": "nothing to resume"})
            return
        offset = int(job.resume)
        state.resumed += 1
    state.started += 1
    if job.crashes:
        await _crash(state, scope)
        return
    await asyncio.sleep(_first_token_s(state, job, offset))
    if job.stream:
        await _stream(state, job, offset, scope, send)
        return
    await _generate(state, job.answer.token_count)
    state.finished += 1
    kind = (b"content-type", b"application/json")
    await send_bytes(send, 200, encode_completion(job.answer), [kind])


async def _crash(state: EngineState, scope: Scope) -> None:
    """Lose all state and refuse connections while down."""
    state.crashes += 1
    state.resumable_answers.clear()
    clear_cache(state.cache)
    models = dict.fromkeys(state.options.models, state.options.version)
    reset_holdings(state.holdings, models)
    await crash_server(scope, state.faults.down_s)


def _first_token_s(state: EngineState, job: Job, offset: int) -> float:
    """Return the time to the first token, in seconds."""
    cached = use_prefix(state.cache, job.prefix)
    options = state.options
    tokens = 0 if cached or offset else job.answer.prompt_tokens
    time_s = options.first_token_s + tokens * options.prompt_token_s
    return time_s * state.faults.slow_factor + state.faults.stall_s


def _token_s(state: EngineState) -> float:
    """Return the time per token at the current batch size, in seconds."""
    others = max(state.running - 1, 0)
    factor = 1.0 + state.options.batch_slowdown * others
    return state.options.token_s * factor * state.faults.slow_factor


async def _generate(state: EngineState, tokens: int) -> None:
    """Wait as long as generating unstreamed tokens takes."""
    while tokens > 0:
        step = min(tokens, TOKENS_PER_STEP)
        await asyncio.sleep(step * _token_s(state))
        tokens -= step


async def _stream(
    state: EngineState, job: Job, offset: int, scope: Scope, send: Send
) -> None:
    """Send an answer as server-sent events."""
    _store_resumable(state, job)
    kind = (b"content-type", b"text/event-stream; charset=utf-8")
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [kind, (b"cache-control", b"no-store")],
        }
    )
    loop = asyncio.get_running_loop()
    due_s = loop.time()
    for index in range(offset, job.answer.event_count):
        if _breaks_before(state, index):
            await connection_of(scope).close()
            return
        due_s += _token_s(state) if index < job.answer.token_count else 0.0
        await asyncio.sleep(max(due_s - loop.time(), 0.0))
        await _send_event(send, encode_event(job.answer, index))
    state.resumable_answers.pop(job.request_id, None)
    state.finished += 1
    await send({"type": "http.response.body", "body": b"", "more_body": False})


def _store_resumable(state: EngineState, job: Job) -> None:
    """Store an answer so that its stream can be resumed."""
    state.resumable_answers[job.request_id] = job.answer
    if len(state.resumable_answers) > MAX_RESUMABLE_ANSWERS:
        state.resumable_answers.popitem(last=False)


def _breaks_before(state: EngineState, index: int) -> bool:
    """Return whether to break a stream before an event, and count it."""
    faults = state.faults
    if not faults.break_event or index != faults.break_event:
        return False
    if faults.breaks and state.broken_streams >= faults.breaks:
        return False
    state.broken_streams += 1
    return True


async def _send_event(send: Send, event: bytes) -> None:
    """Send one event of a streamed body."""
    await send(
        {"type": "http.response.body", "body": event, "more_body": True}
    )
