"""Turns the parts of an endpoint's answer into the caller's response.

A caller must be able to tell a complete response from a truncated one, and
an executed request from a refused one.  The outcome is known only when the
last part has arrived:

- A short answer that is not streamed is buffered until then, and its head
  carries the outcome in `Bulrushstream-Execution`.
- A long answer is forwarded as it arrives.  Its head says `unknown`, and
  the connection closes before the end of the body if it is truncated.
- Of an event stream, the last event, `data: [DONE]`, is delayed until the
  outcome is known.  It is preceded by a comment, `: bulrushstream-execution
  ran`.  A truncated stream has an `error` event with the problem document
  instead, and the connection closes without the end of the body.

To a caller of HTTP/1.0, only a length shows that an answer is truncated.  All
of its answer is buffered, up to a limit.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any, Final

from bulrushstream import messages
from bulrushstream.coordination.forwarding import NOT_RUN_STATUSES
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.events import split_done
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Headers, Outcome
from bulrushstream.transport.admission import is_forwarded
from bulrushstream.transport.port import (
    AnswerItem,
    AnswerQueue,
    Disconnected,
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

MAX_BUFFERED_BYTES: Final = 256 << 10
MAX_WHOLE_BYTES: Final = 4 << 20  # For callers of HTTP/1.0.
EVENT_STREAM: Final = "text/event-stream"
EXECUTION_COMMENT: Final = b": bulrushstream-execution "
RETRY_AFTER: Final = "retry-after"
_BODILESS: Final = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class ResponseSummary:
    """The response as sent to a caller, for metrics and the router."""

    status: int  # The HTTP status; 0: no head was sent.
    outcome: Outcome  # The outcome that the caller was told.
    complete: bool  # If false, the router must cancel it.
    code: str = ""  # The code of a refusal or failure; empty: none.
    body_bytes: int = 0  # Body bytes sent.


@dataclass(slots=True)
class AnswerState:
    """The progress of one response."""

    request_id: str
    scope: Any  # The ASGI scope of the request.
    send: Any  # The ASGI send function.
    write_timeout_s: float  # For a caller to read buffered bytes.
    head: Part | None = None  # The endpoint's head; None: not yet.
    event_stream: bool = False  # Whether it is an event stream.
    head_sent: bool = False
    buffered: list[bytes] = field(default_factory=list)  # Body not sent yet.
    buffered_bytes: int = 0  # The size of the buffered body.
    sent_bytes: int = 0  # Body bytes sent.

    @property
    def needs_length(self) -> bool:
        """Return whether the caller accepts no chunks."""
        return bool(self.scope.get("http_version") == "1.0")


async def send_answer(
    state: AnswerState, answers: AnswerQueue
) -> ResponseSummary:
    """Send an answer to the caller until it ends.

    :param state: The state of a response that was not begun.
    :param answers: The queue of its parts.
    :returns: A summary of the response.
    """
    try:
        while True:
            item: AnswerItem | None = await answers.next()
            while item is not None:
                summary = await _handle_item(state, item)
                if summary is not None:
                    return summary
                if state.needs_length:
                    answers.hold(state.buffered_bytes)
                item = answers.next_nowait()
            await _flush_events(state)
    except TimeoutError:
        await connection_of(state.scope).abort()
        return _incomplete_response(state)


async def send_problem(
    send: Any,
    problem: bytes,
    headers: RawHeaders,
    status: int,
    close: bool = False,
) -> None:
    """Send a problem document.

    :param send: The ASGI send function.
    :param problem: The encoded document.
    :param headers: The headers of the response.
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


async def _handle_item(
    state: AnswerState, item: AnswerItem
) -> ResponseSummary | None:
    """Handle one queue item; return the summary if it was the last."""
    match item:
        case Reply(part=part):
            return await _handle_part(state, part)
        case FailRequest():
            return await _fail(state, item)
        case Overflowed():
            await connection_of(state.scope).abort()
            return _incomplete_response(state)
        case Disconnected():
            return _incomplete_response(state)


async def _handle_part(
    state: AnswerState, part: Part
) -> ResponseSummary | None:
    """Handle one part; return the summary if it was the last."""
    if part.kind is PartKind.HEAD:
        state.head = part
        state.event_stream = _is_event_stream(part.headers)
        return None
    if part.kind is PartKind.BODY:
        state.buffered.append(part.data)
        state.buffered_bytes += len(part.data)
        if state.needs_length:
            if state.buffered_bytes > MAX_WHOLE_BYTES:
                return await _fail_too_long(state)
        elif (
            not state.event_stream
            and state.buffered_bytes > MAX_BUFFERED_BYTES
        ):
            await _send_buffered(state)
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


async def _finish(
    state: AnswerState, head: Part, end: Part
) -> ResponseSummary:
    """Send the rest of a complete response."""
    if state.event_stream:
        body = _pop_buffered(state)
        comment = EXECUTION_COMMENT + end.outcome.value.encode() + b"\n\n"
        events, done = split_done(body)
        body = events + comment + done
        length = len(body) if state.needs_length else None
        await _send_head(state, head, Outcome.UNKNOWN, length)
        await _send_body(state, body, False)
    elif state.head_sent:
        await _send_body(state, _pop_buffered(state), False)
    else:
        await _send_head(state, head, end.outcome, state.buffered_bytes)
        await _send_body(state, _pop_buffered(state), False)
    return ResponseSummary(
        head.status, end.outcome, True, "", state.sent_bytes
    )


async def _fail(state: AnswerState, fail: FailRequest) -> ResponseSummary:
    """Send a problem document, or truncate a response in progress."""
    notice = notice_of(fail.code)
    problem = encode_problem(
        notice, fail.outcome, state.request_id, fail.detail
    )
    if not state.head_sent:
        headers = problem_headers(
            len(problem), fail.outcome, state.request_id, fail.retry_after_s
        )
        await send_problem(state.send, problem, headers, notice.status)
        return ResponseSummary(notice.status, fail.outcome, True, fail.code)
    if state.event_stream:
        rest, _ = split_done(_pop_buffered(state))
        event = b"event: error\ndata: " + problem + b"\n\n"
        await _send_body(state, rest + event, True)
    await connection_of(state.scope).close()
    status = state.head.status if state.head else 0
    return ResponseSummary(
        status, fail.outcome, True, fail.code, state.sent_bytes
    )


async def _fail_too_long(state: AnswerState) -> ResponseSummary:
    """Send a problem document in place of an answer that needs a length."""
    detail = "the answer is too long for a caller of HTTP/1.0"
    await _fail(
        state,
        FailRequest(
            state.request_id,
            messages.ENDPOINT_LOST.code,
            Outcome.UNKNOWN,
            detail=detail,
        ),
    )
    return _incomplete_response(state)


async def _flush_events(state: AnswerState) -> None:
    """Send the buffered events, except the last one of the stream."""
    if not state.event_stream or state.head is None or state.needs_length:
        return
    await _send_head(state, state.head, Outcome.UNKNOWN, None)
    body, done = split_done(_pop_buffered(state))
    if done:
        state.buffered.append(done)
        state.buffered_bytes = len(done)
    if body:
        await _send_body(state, body, True)


async def _send_buffered(state: AnswerState) -> None:
    """Send the buffered body of an answer that exceeds the buffer."""
    if state.head is not None:
        await _send_head(state, state.head, Outcome.UNKNOWN, None)
        await _send_body(state, _pop_buffered(state), True)


async def _send_head(
    state: AnswerState, head: Part, outcome: Outcome, length: int | None
) -> None:
    """Send the response's head unless it was sent already."""
    if state.head_sent:
        return
    state.head_sent = True
    # The endpoint ran the request; its caller is not to send it again.
    dropped = RETRY_AFTER if head.status in NOT_RUN_STATUSES else ""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in head.headers
        if is_forwarded(name.lower()) and name.lower() != dropped
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
    """Send a piece of the body within the write time-out.

    :raises TimeoutError: If the caller reads too slowly.
    """
    message = {"type": "http.response.body", "body": body, "more_body": more}
    state.sent_bytes += len(body)
    if not connection_of(state.scope).transport.get_write_buffer_size():
        # With an empty write buffer, the call can not block.
        await state.send(message)
        return
    async with asyncio.timeout(state.write_timeout_s):
        await state.send(message)


def _pop_buffered(state: AnswerState) -> bytes:
    """Return the buffered body and clear the buffer."""
    body = b"".join(state.buffered)
    state.buffered.clear()
    state.buffered_bytes = 0
    return body


def _incomplete_response(state: AnswerState) -> ResponseSummary:
    """Return the summary of a response that was given up."""
    status = state.head.status if state.head and state.head_sent else 0
    return ResponseSummary(
        status, Outcome.UNKNOWN, False, "", state.sent_bytes
    )


def _is_event_stream(headers: Headers) -> bool:
    """Return whether the headers announce a server-sent event stream."""
    return any(
        name.lower() == "content-type"
        and value.lower().startswith(EVENT_STREAM)
        for name, value in headers
    )
