"""A stand-in for a model engine.

It batches continuously: up to `slots` requests generate at once, each a
little slower for every other, and more wait in its own queue.  It knows
no priorities.  It streams, resumes a stream by its offset in events,
cancels when the caller leaves, keeps a prefix cache, reports its load
with a lag and takes orders (see `bulrushstream.standins.weights`).
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import msgspec
from litestar import Litestar, asgi, get, post
from litestar.params import JSONBody
from litestar.types import Receive, Scope, Send

from bulrushstream.protocol.prompt import decode_chat, prefix_digest
from bulrushstream.standins.answer import (
    Answer,
    encode_event,
    encode_whole,
    plan_answer,
)
from bulrushstream.standins.asgi import (
    crash,
    header,
    make_app,
    query,
    read_body,
    run_until_left,
    send_bytes,
    send_json,
)
from bulrushstream.standins.cache import (
    PrefixCache,
    clear_cache,
    use_prefix,
    visible_events,
)
from bulrushstream.standins.weights import (
    Holdings,
    HoldingsReport,
    Order,
    OrderAnswer,
    WeightStore,
    give_order,
    report_holdings,
)
from bulrushstream.transport.server import connection_of

CHAT_PATH: Final = "/v1/chat/completions"
EVENTS_PATH: Final = "/cache-events"
ORDERS_PATH: Final = "/orders"
KEPT_ANSWERS: Final = 1000
TOKENS_PER_STEP: Final = 8
RESUME_HEADER: Final = b"x-resume-offset"

_ORDER_STATUS: Final = {
    OrderAnswer.ACCEPTED: 202,
    OrderAnswer.STALE: 409,
    OrderAnswer.BUSY: 429,
}


@dataclass(frozen=True, slots=True)
class EngineFaults:
    """What goes wrong at an engine."""

    crash_marker: str = ""  # A body with this text crashes the engine.
    down_s: float = 1.0  # How long it is down after a crash.
    break_event: int = 0  # Streams break before this event; 0: never.
    breaks: int = 0  # So many streams break; 0: all.
    stall_s: float = 0.0  # Extra time before the first token.
    slow_factor: float = 1.0  # Multiplies all times.
    outage: bool = False  # Whether every call is answered by a 503.
    frozen_load: bool = False  # Whether the load report stands still.


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """How an engine behaves."""

    slots: int = 4  # Requests that generate at once.
    queue_limit: int = 64  # Requests in its own queue.
    models: tuple[str, ...] = ("model",)  # Loaded at the start.
    version: str = "1"  # Their version.
    first_token_s: float = 0.0  # Time before the first token.
    prompt_token_s: float = 0.0  # Time per uncached prompt token.
    token_s: float = 0.0  # Time per token when alone.
    batch_slowdown: float = 0.02  # More time per other request.
    cache_entries: int = 64  # Prefixes that fit into its cache.
    cache_lag_s: float = 0.0  # How late its cache events are.
    cache_gap_rate: float = 0.0  # The share of events that get lost.
    load_lag_s: float = 0.0  # How old its load report is.
    checks_token: bool = True  # Whether it refuses stale orders.
    seed: int = 0  # Decides which events get lost.
    faults: EngineFaults = EngineFaults()  # What goes wrong at first.


@dataclass(frozen=True, slots=True)
class LoadSample:
    """An engine's load at one time."""

    at_s: float  # When.
    running: int  # Requests that generate.
    waiting: int  # Requests in its own queue.


@dataclass(slots=True)
class EngineState:
    """What an engine remembers."""

    options: EngineOptions  # How it behaves.
    faults: EngineFaults  # What goes wrong now.
    now: Callable[[], float]  # The clock of its reports, in seconds.
    slots: asyncio.Semaphore  # Free slots.
    cache: PrefixCache  # Its prefix cache.
    holdings: Holdings  # What it has loaded.
    answers: OrderedDict[str, Answer] = field(default_factory=OrderedDict)
    samples: deque[LoadSample] = field(default_factory=deque)  # Of load.
    running: int = 0  # Requests that generate.
    waiting: int = 0  # Requests in its own queue.
    max_running: int = 0  # The most at once so far.
    started: int = 0  # Requests that began to generate.
    finished: int = 0  # Requests that were generated to their end.
    cancelled: int = 0  # Requests whose caller left.
    resumed: int = 0  # Streams that were resumed.
    broken: int = 0  # Streams broken since the faults were set.
    crashes: int = 0  # Crashes so far.


@dataclass(frozen=True, slots=True)
class Engine:
    """A model engine: an ASGI app and what it remembers."""

    asgi: Litestar  # The app to serve.
    state: EngineState  # What tests look at.


def make_engine(
    options: EngineOptions | None = None,
    store: WeightStore | None = None,
    now: Callable[[], float] = time.monotonic,
) -> Engine:
    """Make a model engine.

    :param options: How it behaves; None: the defaults.
    :param store: The weight store that it shares; None: its own.
    :param now: The clock of its reports, in seconds.
    :returns: The app and its state.
    """
    state = _make_state(options or EngineOptions(), store, now)

    @post("/faults", status_code=200)
    async def set_faults(data: JSONBody[EngineFaults]) -> EngineFaults:
        state.faults = data
        state.broken = 0
        return data

    @get("/load")
    async def load() -> LoadSample:
        return report_load(state)

    @get("/models")
    async def models() -> HoldingsReport:
        return report_holdings(state.holdings)

    @asgi(EVENTS_PATH, copy_scope=False)
    async def events(scope: Scope, receive: Receive, send: Send) -> None:
        after = int(query(scope).get("after", "0"))
        found = visible_events(state.cache, after)
        last = state.cache.sequence
        await send_json(send, 200, {"last": last, "events": found})

    @asgi(ORDERS_PATH, copy_scope=False)
    async def orders(scope: Scope, receive: Receive, send: Send) -> None:
        await _take_order(state, receive, send)

    @asgi(CHAT_PATH, copy_scope=False)
    async def chat(scope: Scope, receive: Receive, send: Send) -> None:
        await _chat(state, scope, receive, send)

    handlers = [set_faults, load, models, events, orders, chat]
    return Engine(make_app(handlers), state)


def report_load(state: EngineState) -> LoadSample:
    """Return the load as it was some time ago.

    :param state: The engine.
    :returns: The newest sample that is old enough.
    """
    if not state.faults.frozen_load:
        until_s = state.now() - state.options.load_lag_s
        while len(state.samples) > 1 and state.samples[1].at_s <= until_s:
            state.samples.popleft()
    return state.samples[0]


def _make_state(
    options: EngineOptions,
    store: WeightStore | None,
    now: Callable[[], float],
) -> EngineState:
    """Return the state of a fresh engine."""
    cache = PrefixCache(
        options.cache_entries,
        options.cache_lag_s,
        options.cache_gap_rate,
        random.Random(options.seed),
        now,
    )
    models = dict.fromkeys(options.models, options.version)
    holdings = Holdings(store or WeightStore(), options.checks_token, models)
    state = EngineState(
        options,
        options.faults,
        now,
        asyncio.Semaphore(options.slots),
        cache,
        holdings,
    )
    state.samples.append(LoadSample(now(), 0, 0))
    return state


async def _take_order(
    state: EngineState, receive: Receive, send: Send
) -> None:
    """Answer one order."""
    try:
        order = msgspec.json.decode(await read_body(receive), type=Order)
    except msgspec.DecodeError as error:
        await send_json(send, 400, {"error": str(error)})
        return
    answer = give_order(state.holdings, order)
    report = {
        "answer": answer.value,
        "highest_token": state.holdings.highest_token,
    }
    await send_json(send, _ORDER_STATUS[answer], report)


async def _chat(
    state: EngineState, scope: Scope, receive: Receive, send: Send
) -> None:
    """Answer one chat-completions request."""
    body = await read_body(receive)
    chat = decode_chat(body)
    request_id = header(scope, b"x-request-id")
    answer = plan_answer(chat, request_id) if chat else None
    if state.faults.outage:
        await send_json(send, 503, {"error": "outage"})
    elif chat is None or answer is None:
        await send_json(send, 400, {"error": "malformed body"})
    elif chat.model not in state.holdings.models:
        await send_json(send, 404, {"error": "model not loaded"})
    elif state.waiting >= state.options.queue_limit:
        await send_json(send, 503, {"error": "queue full"})
    else:
        job = Job(
            answer,
            request_id,
            chat.stream,
            header(scope, RESUME_HEADER),
            prefix_digest(chat),
            bool(state.faults.crash_marker)
            and state.faults.crash_marker.encode() in body,
        )
        work = _wait_and_run(state, job, scope, send)
        if not await run_until_left(receive, work):
            state.cancelled += 1


@dataclass(frozen=True, slots=True)
class Job:
    """One request on its way through an engine."""

    answer: Answer  # What it will be answered.
    request_id: str  # Its id, by which its stream may be resumed.
    stream: bool  # Whether the answer is streamed.
    resume: str  # The event to resume at; empty: from the start.
    prefix: int  # Digest of the prompt's beginning.
    crashes: bool  # Whether it crashes the engine.


async def _wait_and_run(
    state: EngineState, job: Job, scope: Scope, send: Send
) -> None:
    """Wait for a slot, then generate."""
    state.waiting += 1
    _sample(state)
    try:
        await state.slots.acquire()
    finally:
        state.waiting -= 1
    state.running += 1
    state.max_running = max(state.max_running, state.running)
    _sample(state)
    try:
        await _run(state, job, scope, send)
    finally:
        state.running -= 1
        state.slots.release()
        _sample(state)


async def _run(state: EngineState, job: Job, scope: Scope, send: Send) -> None:
    """Generate an answer, or go wrong as told."""
    offset = 0
    if job.resume:
        if job.request_id not in state.answers:
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
    await _generate(state, job.answer.count)
    state.finished += 1
    kind = (b"content-type", b"application/json")
    await send_bytes(send, 200, encode_whole(job.answer), [kind])


async def _crash(state: EngineState, scope: Scope) -> None:
    """Lose everything and be down for a time."""
    state.crashes += 1
    state.answers.clear()
    clear_cache(state.cache)
    await crash(scope, state.faults.down_s)


def _first_token_s(state: EngineState, job: Job, offset: int) -> float:
    """Return the time to the first token, in seconds."""
    cached = use_prefix(state.cache, job.prefix)
    options = state.options
    tokens = 0 if cached or offset else job.answer.prompt_tokens
    time_s = options.first_token_s + tokens * options.prompt_token_s
    return time_s * state.faults.slow_factor + state.faults.stall_s


def _token_s(state: EngineState) -> float:
    """Return the time per token in the batch as it is now, in seconds."""
    others = max(state.running - 1, 0)
    factor = 1.0 + state.options.batch_slowdown * others
    return state.options.token_s * factor * state.faults.slow_factor


async def _generate(state: EngineState, tokens: int) -> None:
    """Take the time of generating tokens that are not streamed."""
    while tokens > 0:
        step = min(tokens, TOKENS_PER_STEP)
        await asyncio.sleep(step * _token_s(state))
        tokens -= step


async def _stream(
    state: EngineState, job: Job, offset: int, scope: Scope, send: Send
) -> None:
    """Send an answer event by event."""
    _keep_answer(state, job)
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
    for index in range(offset, job.answer.events):
        if _breaks_here(state, index):
            await connection_of(scope).close()
            return
        due_s += _token_s(state) if index < job.answer.count else 0.0
        await asyncio.sleep(max(due_s - loop.time(), 0.0))
        await _send_event(send, encode_event(job.answer, index))
    state.answers.pop(job.request_id, None)
    state.finished += 1
    await send({"type": "http.response.body", "body": b"", "more_body": False})


def _keep_answer(state: EngineState, job: Job) -> None:
    """Keep an answer so that its stream can be resumed."""
    state.answers[job.request_id] = job.answer
    if len(state.answers) > KEPT_ANSWERS:
        state.answers.popitem(last=False)


def _breaks_here(state: EngineState, index: int) -> bool:
    """Return whether a stream is to break before an event."""
    faults = state.faults
    if not faults.break_event or index != faults.break_event:
        return False
    if faults.breaks and state.broken >= faults.breaks:
        return False
    state.broken += 1
    return True


async def _send_event(send: Send, event: bytes) -> None:
    """Send one piece of a streamed body."""
    await send(
        {"type": "http.response.body", "body": event, "more_body": True}
    )


def _sample(state: EngineState) -> None:
    """Note the load for later reports."""
    sample = LoadSample(state.now(), state.running, state.waiting)
    state.samples.append(sample)
    if not state.faults.frozen_load:
        report_load(state)
