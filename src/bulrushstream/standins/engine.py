"""A stand-in for a model engine.

It uses continuous batching: up to `slots` requests are generated
concurrently, each slowed down by the others, and further requests wait in
a queue without priorities.  It streams answers, resumes a stream at an
event offset, cancels when the caller disconnects, keeps a prefix cache,
reports its load with a delay and accepts orders (see
`bulrushstream.standins.weights`).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from litestar import Litestar, asgi, get, post
from litestar.params import JSONBody
from litestar.types import Receive, Scope, Send

from bulrushstream.protocol.prompt import decode_chat, prefix_digest
from bulrushstream.standins.answer import plan_answer
from bulrushstream.standins.asgi import (
    header,
    make_app,
    query,
    read_body,
    run_until_disconnect,
    send_json,
)
from bulrushstream.standins.batch import EngineFaults as EngineFaults
from bulrushstream.standins.batch import EngineOptions as EngineOptions
from bulrushstream.standins.batch import EngineState as EngineState
from bulrushstream.standins.batch import LoadSample as LoadSample
from bulrushstream.standins.batch import make_state
from bulrushstream.standins.batch import report_load as report_load
from bulrushstream.standins.cache import visible_events
from bulrushstream.standins.generation import Job, run_job
from bulrushstream.standins.weights import (
    HoldingsReport,
    WeightStore,
    handle_order,
    report_holdings,
)
from bulrushstream.state.order import EngineOrder, OrderAnswer

CHAT_PATH: Final = "/v1/chat/completions"
EVENTS_PATH: Final = "/cache-events"
ORDERS_PATH: Final = "/orders"
RESUME_HEADER: Final = b"x-resume-offset"

_ORDER_STATUS: Final = {
    OrderAnswer.ACCEPTED: 202,
    OrderAnswer.STALE: 409,
    OrderAnswer.BUSY: 429,
}


@dataclass(frozen=True, slots=True)
class Engine:
    """A model engine: an ASGI app and its state."""

    asgi: Litestar
    state: EngineState  # Read by tests.


def make_engine(
    options: EngineOptions | None = None,
    store: WeightStore | None = None,
    now: Callable[[], float] = time.monotonic,
) -> Engine:
    """Make a model engine.

    :param options: The options; None: the defaults.
    :param store: A weight store shared with other engines; None: a new
        one.
    :param now: The clock for reports, in seconds.
    :returns: The app and its state.
    """
    state = make_state(options or EngineOptions(), store, now)

    @post("/faults", status_code=200)
    async def set_faults(data: JSONBody[EngineFaults]) -> EngineFaults:
        state.faults = data
        state.broken_streams = 0
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
        visible = visible_events(state.cache, after)
        last = state.cache.sequence
        await send_json(send, 200, {"last": last, "events": visible})

    @asgi(ORDERS_PATH, copy_scope=False)
    async def orders(scope: Scope, receive: Receive, send: Send) -> None:
        await _handle_order(state, receive, send)

    @asgi(CHAT_PATH, copy_scope=False)
    async def chat(scope: Scope, receive: Receive, send: Send) -> None:
        await _chat(state, scope, receive, send)

    handlers = [set_faults, load, models, events, orders, chat]
    return Engine(make_app(handlers), state)


async def _handle_order(
    state: EngineState, receive: Receive, send: Send
) -> None:
    """Handle one order."""
    try:
        order = msgspec.json.decode(await read_body(receive), type=EngineOrder)
    except msgspec.DecodeError as error:
        await send_json(send, 400, {"error": str(error)})
        return
    answer = handle_order(state.holdings, order)
    report = {
        "answer": answer.value,
        "highest_token": state.holdings.highest_token,
    }
    await send_json(send, _ORDER_STATUS[answer], report)


async def _chat(
    state: EngineState, scope: Scope, receive: Receive, send: Send
) -> None:
    """Handle one chat-completions request."""
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
        generation = run_job(state, job, scope, send)
        if not await run_until_disconnect(receive, generation):
            state.cancelled += 1
