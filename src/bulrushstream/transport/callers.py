"""The callers' HTTP front of a router.

Model calls come as `POST /v1/chat/completions`, calls of plain services
as any method under `/services/{service}/`.  The front reads and admits a
request (see `bulrushstream.transport.admission`), hands it to the task
that owns the router core (`bulrushstream.transport.port`) and passes the
answer on (`bulrushstream.transport.answering`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Result
from litestar import Litestar, asgi
from litestar.types import Receive, Scope, Send

from bulrushstream.state.request import Outcome, Request
from bulrushstream.transport.admission import admit, identify
from bulrushstream.transport.answering import (
    AnswerState,
    Sent,
    send_answer,
    send_problem,
)
from bulrushstream.transport.incoming import (
    BodyLimits,
    ReadingState,
    Refusal,
    decode_headers,
    read_incoming,
)
from bulrushstream.transport.port import AnswerQueue, Gone, RouterPort
from bulrushstream.transport.problem import encode_problem, problem_headers


@dataclass(frozen=True, slots=True)
class Exchange:
    """One caller's request and what it was given."""

    request: Request | None  # None: it was refused at the front.
    sent: Sent  # What the caller was given.
    duration_s: float  # From the whole request to the answer's end.


@dataclass(frozen=True, slots=True)
class CallersOptions:
    """How the callers' front behaves."""

    body_limits: BodyLimits = field(default_factory=BodyLimits)
    write_timeout_s: float = 30.0  # For a caller that reads slowly.
    observe: Callable[[Exchange], None] | None = None  # Told of each.


@dataclass(slots=True)
class CallersState:
    """What the callers' front remembers."""

    port: RouterPort  # The router.
    options: CallersOptions  # How the front behaves.
    reading: ReadingState = field(default_factory=ReadingState)
    open_requests: int = 0  # Requests that are being answered.


@dataclass(frozen=True, slots=True)
class Callers:
    """The callers' front: an ASGI app and what it remembers."""

    asgi: Litestar  # The app to serve.
    state: CallersState  # What metrics look at.


def make_callers(
    port: RouterPort, options: CallersOptions | None = None
) -> Callers:
    """Make the callers' front of a router.

    :param port: The router.
    :param options: How the front behaves; None: the defaults.
    :returns: The app and its state.
    """
    state = CallersState(port, options or CallersOptions())

    @asgi("/", is_mount=True, copy_scope=False)
    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        await _serve(state, scope, receive, send)

    app = Litestar(
        route_handlers=[serve], openapi_config=None, logging_config=None
    )
    return Callers(app, state)


async def _serve(
    state: CallersState, scope: Any, receive: Any, send: Any
) -> None:
    """Answer one request of a caller."""
    admitted = await _admit(state, scope, receive)
    if admitted is None:
        return
    started_s = state.port.now()
    match admitted:
        case Result(tag="ok", ok=request):
            sent = await _route(state, request, scope, receive, send)
            _observe(state, request, sent, started_s)
        case Result(error=refusal):
            sent = await _refuse(refusal, send)
            _observe(state, None, sent, started_s)


async def _admit(
    state: CallersState, scope: Any, receive: Any
) -> Result[Request, Refusal] | None:
    """Read and admit a request; None: the caller left."""
    headers = decode_headers(scope)
    identified = identify(headers, state.port)
    if identified.is_error():
        return Error(identified.error)
    caller = identified.ok
    limits = state.options.body_limits
    incoming = await read_incoming(
        scope, headers, receive, limits, state.reading
    )
    if incoming is None:
        return None
    return incoming.bind(lambda whole: admit(caller, whole, state.port))


async def _route(
    state: CallersState, request: Request, scope: Any, receive: Any, send: Any
) -> Sent:
    """Hand a request to the router and pass its answer on."""
    answers = state.port.submit(request)
    answer = AnswerState(
        request.request_id, scope, send, state.options.write_timeout_s
    )
    left = asyncio.ensure_future(_watch(receive, answers))
    state.open_requests += 1
    sent = None
    try:
        sent = await send_answer(answer, answers)
        return sent
    finally:
        state.open_requests -= 1
        left.cancel()
        if sent is None or not sent.complete:
            state.port.cancel(request.request_id)


async def _watch(receive: Any, answers: AnswerQueue) -> None:
    """Tell the answer's queue when the caller leaves."""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            answers.put(Gone())
            return


async def _refuse(refusal: Refusal, send: Any) -> Sent:
    """Refuse a request at the front."""
    notice = refusal.notice
    problem = encode_problem(notice, detail=refusal.detail or notice.text)
    headers = problem_headers(
        len(problem), retry_after_s=refusal.retry_after_s
    )
    if notice.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    await send_problem(send, problem, headers, notice.status, refusal.close)
    return Sent(notice.status, Outcome.NOT_RUN, True, notice.code)


def _observe(
    state: CallersState, request: Request | None, sent: Sent, started_s: float
) -> None:
    """Tell the observer of an exchange."""
    if state.options.observe is not None:
        duration_s = state.port.now() - started_s
        state.options.observe(Exchange(request, sent, duration_s))
