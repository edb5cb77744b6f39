"""From the parts of an answer to the caller's HTTP response.

A caller must be able to tell a whole answer from a truncated one, and a
run from a refusal.  The outcome is known only when the last part came:

- A short answer that is not streamed is held back until then, and its
  head carries the outcome in `Bulrushstream-Execution`.
- A long one is passed on as it comes.  Its head says `unknown`, and the
  connection closes before the end of the body if it is truncated.
- A stream of events holds its last event, `data: [DONE]`, back until the
  outcome is known.  Before it comes a comment, `: bulrushstream-execution
  ran`.  A truncated stream has an `error` event with the problem document
  instead, and the connection closes without the body's end.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any, Final

from bulrushstream import messages
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Headers, Outcome
from bulrushstream.transport.admission import is_passed_on
from bulrushstream.transport.port import (
    AnswerItem,
    AnswerQueue,
    Gone,
    Overflowed,
)
from bulrushstream.transport.problem import (
    EXECUTION_HEADER,
    REQUEST_ID_HEADER,
    RawHeaders,
    encode_problem,
    notice_of,
    problem_headers,
)
from bulrushstream.transport.server import connection_of

HELD_BYTES: Final = 256 << 10
DONE_EVENT: Final = b"data: [DONE]\n\n"
EVENT_STREAM: Final = "text/event-stream"
EXECUTION_COMMENT: Final = b": bulrushstream-execution "
_BODILESS: Final = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class Sent:
    """What a caller was given, for metrics and for the router."""

    status: int  # The HTTP status; 0: none was sent.
    outcome: Outcome  # Whether an endpoint ran it, as the caller knows.
    complete: bool  # Whether nothing is left for the router to do.
    code: str = ""  # The code of a refusal or failure; empty: none.
    body_bytes: int = 0  # How much of the body was sent.


@dataclass(slots=True)
class AnswerState:
    """How far one answer has come."""

    request_id: str  # Whose answer it is.
    scope: Any  # The ASGI scope of the request.
    send: Any  # The ASGI send function.
    write_timeout_s: float  # How long a caller may take to read.
    head: Part | None = None  # The endpoint's head, once it came.
    events: bool = False  # Whether the answer is a stream of events.
    started: bool = False  # Whether the head was sent.
    held: list[bytes] = field(default_factory=list)  # Not sent yet.
    held_bytes: int = 0  # The length of what is held.
    sent_bytes: int = 0  # The length of what was sent.


async def send_answer(state: AnswerState, answers: AnswerQueue) -> Sent:
    """Pass an answer on until it ends.

    :param state: The answer, of which nothing was sent yet.
    :param answers: Where its parts come from.
    :returns: What the caller was given.
    """
    try:
        while True:
            item: AnswerItem | None = await answers.next()
            while item is not None:
                sent = await _take(state, item)
                if sent is not None:
                    return sent
                item = answers.next_now()
            await _flush_events(state)
    except TimeoutError:
        await connection_of(state.scope).abort()
        return _incomplete(state)


async def send_problem(
    send: Any,
    problem: bytes,
    headers: RawHeaders,
    status: int,
    close: bool = False,
) -> None:
    """Send a problem document.

    :param send: The ASGI send function.
    :param problem: The document.
    :param headers: Its headers.
    :param status: The HTTP status.
    :param close: Whether to close the connection afterwards.
    """
    if close:
        headers = [*headers, (b"connection", b"close")]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send(
        {"type": "http.response.body", "body": problem, "more_body": False}
    )


async def _take(state: AnswerState, item: AnswerItem) -> Sent | None:
    """Pass one item on; return what was sent if it was the last."""
    match item:
        case Reply(part=part):
            return await _take_part(state, part)
        case FailRequest():
            return await _fail(state, item)
        case Overflowed():
            await connection_of(state.scope).abort()
            return _incomplete(state)
        case Gone():
            return _incomplete(state)


async def _take_part(state: AnswerState, part: Part) -> Sent | None:
    """Pass one part of an answer on."""
    if part.kind is PartKind.HEAD:
        state.head = part
        state.events = _is_event_stream(part.headers)
        return None
    if part.kind is PartKind.BODY:
        state.held.append(part.data)
        state.held_bytes += len(part.data)
        if not state.events and state.held_bytes > HELD_BYTES:
            await _send_held(state)
        return None
    if part.whole and state.head is not None:
        return await _finish(state, state.head, part)
    fail = FailRequest(
        state.request_id,
        messages.ENDPOINT_LOST.code,
        part.outcome,
        detail=part.detail,
    )
    return await _fail(state, fail)


async def _finish(state: AnswerState, head: Part, end: Part) -> Sent:
    """Send what is left of a whole answer."""
    if state.events:
        body = _pop_held(state)
        comment = EXECUTION_COMMENT + end.outcome.value.encode() + b"\n\n"
        ends = body.endswith(DONE_EVENT)
        body = body.removesuffix(DONE_EVENT) + comment
        await _start(state, head, Outcome.UNKNOWN, None)
        await _send_body(state, body + (DONE_EVENT if ends else b""), False)
    elif state.started:
        await _send_body(state, _pop_held(state), False)
    else:
        await _start(state, head, end.outcome, state.held_bytes)
        await _send_body(state, _pop_held(state), False)
    return Sent(head.status, end.outcome, True, "", state.sent_bytes)


async def _fail(state: AnswerState, fail: FailRequest) -> Sent:
    """Send a failure, or truncate what was begun."""
    notice = notice_of(fail.code)
    problem = encode_problem(
        notice, fail.outcome, state.request_id, fail.detail
    )
    if not state.started:
        headers = problem_headers(
            len(problem), fail.outcome, state.request_id, fail.retry_after_s
        )
        await send_problem(state.send, problem, headers, notice.status)
        return Sent(notice.status, fail.outcome, True, fail.code)
    if state.events:
        rest = _pop_held(state).removesuffix(DONE_EVENT)
        event = b"event: error\ndata: " + problem + b"\n\n"
        await _send_body(state, rest + event, True)
    await connection_of(state.scope).close()
    status = state.head.status if state.head else 0
    return Sent(status, fail.outcome, True, fail.code, state.sent_bytes)


async def _flush_events(state: AnswerState) -> None:
    """Send the events that came, but hold the last one back."""
    if not state.events or state.head is None:
        return
    await _start(state, state.head, Outcome.UNKNOWN, None)
    body = _pop_held(state)
    if body.endswith(DONE_EVENT):
        body = body.removesuffix(DONE_EVENT)
        state.held.append(DONE_EVENT)
        state.held_bytes = len(DONE_EVENT)
    if body:
        await _send_body(state, body, True)


async def _send_held(state: AnswerState) -> None:
    """Send what is held of an answer that is too long to hold."""
    if state.head is not None:
        await _start(state, state.head, Outcome.UNKNOWN, None)
        await _send_body(state, _pop_held(state), True)


async def _start(
    state: AnswerState, head: Part, outcome: Outcome, length: int | None
) -> None:
    """Send the response's head unless it was sent."""
    if state.started:
        return
    state.started = True
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in head.headers
        if is_passed_on(name.lower())
    ]
    headers.append((REQUEST_ID_HEADER, state.request_id.encode()))
    headers.append((EXECUTION_HEADER, outcome.value.encode()))
    if length is not None and head.status not in _BODILESS:
        headers.append((b"content-length", b"%d" % length))
    await state.send(
        {
            "type": "http.response.start",
            "status": head.status,
            "headers": headers,
        }
    )


async def _send_body(state: AnswerState, body: bytes, more: bool) -> None:
    """Send a piece of the body, in time."""
    message = {"type": "http.response.body", "body": body, "more_body": more}
    state.sent_bytes += len(body)
    if not connection_of(state.scope).transport.get_write_buffer_size():
        # Nothing waits to be read by the caller, so this can not block.
        await state.send(message)
        return
    async with asyncio.timeout(state.write_timeout_s):
        await state.send(message)


def _pop_held(state: AnswerState) -> bytes:
    """Return what is held, and hold nothing any more."""
    body = b"".join(state.held)
    state.held.clear()
    state.held_bytes = 0
    return body


def _incomplete(state: AnswerState) -> Sent:
    """Return what a caller got that left or was left."""
    status = state.head.status if state.head and state.started else 0
    return Sent(status, Outcome.UNKNOWN, False, "", state.sent_bytes)


def _is_event_stream(headers: Headers) -> bool:
    """Return whether an answer is a stream of server-sent events."""
    return any(
        name.lower() == "content-type"
        and value.lower().startswith(EVENT_STREAM)
        for name, value in headers
    )
