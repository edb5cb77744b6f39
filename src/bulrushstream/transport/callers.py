"""A router's HTTP front for callers.

Model calls are sent to `POST /v1/chat/completions`, calls of plain
services use any method under `/services/{service}/`.  The front reads and
admits a request (see `bulrushstream.transport.admission`), submits it to
the task that runs the router core (`bulrushstream.transport.port`) and
sends the response (`bulrushstream.transport.answering`).
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
    ResponseSummary,
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
from bulrushstream.transport.port import AnswerQueue, Disconnected, RouterPort
from bulrushstream.transport.problem import encode_problem, problem_headers


@dataclass(frozen=True, slots=True)
class Exchange:
    """One caller's request and the summary of its response."""

    request: Request | None  # None: refused by the front.
    sent: ResponseSummary
    duration_s: float  # From the complete request to the end of the response.


@dataclass(frozen=True, slots=True)
class CallersOptions:
    """Settings of the callers' front."""

    body_limits: BodyLimits = field(default_factory=BodyLimits)
    write_timeout_s: float = 30.0  # For a caller to read a write.
    observe: Callable[[Exchange], None] | None = None  # Called after each.


@dataclass(slots=True)
class CallersState:
    """State of the callers' front."""

    port: RouterPort  # The router.
    options: CallersOptions
    reading: ReadingState = field(default_factory=ReadingState)
    open_requests: int = 0  # Submitted and not yet answered.


@dataclass(frozen=True, slots=True)
class Callers:
    """The callers' front: an ASGI app and its state."""

    asgi: Litestar  # The app to serve.
    state: CallersState  # Read by metrics.


def make_callers(
    port: RouterPort, options: CallersOptions | None = None
) -> Callers:
    """Make the callers' front of a router.

    :param port: The router.
    :param options: Settings of the front; None: the defaults.
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
            sent = await _forward(state, request, scope, receive, send)
            _observe(state, request, sent, started_s)
        case Result(error=refusal):
            sent = await _refuse(refusal, send)
            _observe(state, None, sent, started_s)


async def _admit(
    state: CallersState, scope: Any, receive: Any
) -> Result[Request, Refusal] | None:
    """Read and admit a request; None: the caller disconnected."""
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
    return incoming.bind(lambda request: admit(caller, request, state.port))


async def _forward(
    state: CallersState, request: Request, scope: Any, receive: Any, send: Any
) -> ResponseSummary:
    """Submit a request to the router and send its response."""
    answers = state.port.submit(request)
    answer = AnswerState(
        request.request_id, scope, send, state.options.write_timeout_s
    )
    watcher = asyncio.ensure_future(_watch_disconnect(receive, answers))
    state.open_requests += 1
    sent = None
    try:
        sent = await send_answer(answer, answers)
        return sent
    finally:
        state.open_requests -= 1
        watcher.cancel()
        answers.close()
        if sent is None or not sent.complete:
            state.port.cancel(request.request_id)


async def _watch_disconnect(receive: Any, answers: AnswerQueue) -> None:
    """Put `Disconnected` in the queue when the caller disconnects."""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            answers.put(Disconnected())
            return


async def _refuse(refusal: Refusal, send: Any) -> ResponseSummary:
    """Send the problem document of a refusal."""
    notice = refusal.notice
    problem = encode_problem(notice, detail=refusal.detail or notice.text)
    headers = problem_headers(
        len(problem), retry_after_s=refusal.retry_after_s
    )
    if notice.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    await send_problem(send, problem, headers, notice.status, refusal.close)
    return ResponseSummary(notice.status, Outcome.NOT_RUN, True, notice.code)


def _observe(
    state: CallersState,
    request: Request | None,
    sent: ResponseSummary,
    started_s: float,
) -> None:
    """Report an exchange to the observer, if any."""
    if state.options.observe is not None:
        duration_s = state.port.now() - started_s
        state.options.observe(Exchange(request, sent, duration_s))
