"""The agent's client of the endpoint that it stands beside.

A run passes one attempt to the endpoint and yields what comes of it.  Its
end must be truthful, since retries depend on it:

- `started` is false only if no byte of the request can have arrived.
- `whole` is true only if the answer came to its end; a stream of a model
  engine ends with `data: [DONE]`.
- `crashed` is true if the connection broke and the endpoint then refused
  a new one.

A model engine's stream that breaks is resumed once, at the number of whole
events that came; an incomplete event is held back, so that none doubles.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Final, TypeAlias

import httpx

from bulrushstream.state.event import RunBody, RunEnd, RunHead
from bulrushstream.state.message import Dispatch
from bulrushstream.transport.client import make_client

REQUEST_ID_HEADER: Final = "X-Request-Id"
RESUME_HEADER: Final = "X-Resume-Offset"
EVENT_END: Final = b"\n\n"
DONE_EVENT: Final = b"data: [DONE]\n\n"
TOKEN_MARK: Final = b'"content":'
MAX_EVENT_BYTES: Final = 1 << 20
USAGE_TAIL_BYTES: Final = 256
PROBE_TIMEOUT_S: Final = 1.0

_USAGE: Final = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')
_NOT_SENT: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)

RunEvent: TypeAlias = RunHead | RunBody | RunEnd


@dataclass(frozen=True, slots=True)
class RunnerOptions:
    """How the runner treats its endpoint."""

    base_url: str  # Where the endpoint listens.
    model: bool  # Whether it is a model engine.
    max_connections: int = 64  # At least the slots and what polls.
    read_timeout_s: float = 120.0  # The longest silence of an answer.
    resume_limit: int = 1  # How often a broken stream is resumed.


@dataclass(slots=True)
class _RunState:
    """How far one run has come."""

    dispatch: Dispatch  # What is run.
    deadline_s: float  # On the event loop's clock.
    offset: int  # Whole events that came, with earlier runs'.
    head_given: bool  # Whether the head was given on.
    sent: bool = False  # Whether the endpoint may have seen it.
    events: bool = False  # Whether the answer is a model's stream.
    done: bool = False  # Whether the stream's last event came.
    partial: bytes = b""  # An event whose end has not come.
    tail: bytes = b""  # The last bytes, where usage may stand.
    resumes: int = field(default=0)  # How often it was resumed.


class _LostStreamError(httpx.RemoteProtocolError):
    """An engine no longer knows a stream that it was generating."""


class EndpointRunner:
    """Runs attempts at one endpoint."""

    _options: RunnerOptions  # How it treats the endpoint.
    _client: httpx.AsyncClient  # The connections.

    def __init__(self, options: RunnerOptions) -> None:
        """Make a runner; no connection is opened yet.

        :param options: How it treats the endpoint.
        """
        self._options = options
        self._client = make_client(
            options.base_url, options.read_timeout_s, options.max_connections
        )

    @property
    def client(self) -> httpx.AsyncClient:
        """Return the HTTP client, for reports and orders."""
        return self._client

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        """Run one attempt; closing the iterator cancels it.

        :param dispatch: The attempt.
        :param offset: Whole events that an earlier run had; 0: none.
        :returns: A head, any number of pieces, and an end.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + dispatch.timeout_ms / 1000
        state = _RunState(dispatch, deadline_s, offset, offset > 0)
        while True:
            try:
                async with contextlib.aclosing(self._once(state)) as events:
                    async for event in events:
                        yield event
            except _NOT_SENT as error:
                # A refusal after a break says that the endpoint went down.
                yield self._end(state, False, True, _reason(error))
                return
            except TimeoutError:
                yield self._end(state, False, detail="deadline passed")
                return
            except httpx.HTTPError as error:
                if self._may_resume(state):
                    continue
                lost = isinstance(error, _LostStreamError)
                crashed = lost or await self._is_down()
                yield self._end(state, False, crashed, _reason(error))
                return
            if not state.events or state.done:
                yield self._end(state, True)
                return
            if not self._may_resume(state):
                yield self._end(state, False, detail="no last event")
                return

    async def _once(self, state: _RunState) -> AsyncGenerator[RunEvent, None]:
        """Send the request once and yield what comes back."""
        request = self._request(state)
        async with asyncio.timeout_at(state.deadline_s):
            answer = await self._send(state, request)
        try:
            if state.resumes and answer.status_code != 200:
                raise _LostStreamError("nothing to resume")
            head = self._head(state, answer)
            if not state.head_given:
                state.head_given = True
                yield head
            pieces = aiter(answer.aiter_raw())
            while True:
                async with asyncio.timeout_at(state.deadline_s):
                    piece = await anext(pieces, None)
                if piece is None:
                    break
                event = _take_piece(state, piece, self._options.model)
                if event is not None:
                    yield event
            # What is left without an event's end is no whole event.
        finally:
            await answer.aclose()

    async def _send(
        self, state: _RunState, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and wait for the head of its answer."""
        try:
            answer = await self._client.send(request, stream=True)
        except _NOT_SENT:
            raise
        except (httpx.HTTPError, TimeoutError, asyncio.CancelledError):
            state.sent = True
            raise
        state.sent = True
        return answer

    def _request(self, state: _RunState) -> httpx.Request:
        """Return the HTTP request of an attempt."""
        dispatch = state.dispatch
        headers = list(dispatch.headers)
        if not any(name == "accept-encoding" for name, _ in headers):
            headers.append(("accept-encoding", "identity"))
        headers.append((REQUEST_ID_HEADER, dispatch.request_id))
        if state.offset:
            headers.append((RESUME_HEADER, str(state.offset)))
        state.partial = b""
        return self._client.build_request(
            dispatch.method,
            self._options.base_url.rstrip("/") + dispatch.path,
            headers=headers,
            content=dispatch.body,
        )

    def _head(self, state: _RunState, answer: httpx.Response) -> RunHead:
        """Return the head of an answer."""
        kind = answer.headers.get("content-type", "")
        stream = kind.startswith("text/event-stream")
        state.events = self._options.model and stream
        headers = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in answer.headers.raw
        )
        dispatch = state.dispatch
        return RunHead(
            dispatch.request_id,
            dispatch.attempt,
            answer.status_code,
            headers,
        )

    def _may_resume(self, state: _RunState) -> bool:
        """Return whether to resume a broken stream, and count it."""
        if not state.events or state.resumes >= self._options.resume_limit:
            return False
        state.resumes += 1
        return True

    def _end(
        self,
        state: _RunState,
        whole: bool,
        crashed: bool = False,
        detail: str = "",
    ) -> RunEnd:
        """Return the end of a run."""
        return RunEnd(
            state.dispatch.request_id,
            state.dispatch.attempt,
            complete=whole,
            started=state.sent,
            crashed=crashed and state.sent,
            detail=detail,
        )

    async def _is_down(self) -> bool:
        """Return whether the endpoint refuses connections."""
        url = httpx.URL(self._options.base_url)
        port = url.port or (443 if url.scheme == "https" else 80)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(url.host, port)
        except (OSError, TimeoutError):
            return True
        writer.close()
        return False


def _take_piece(state: _RunState, piece: bytes, model: bool) -> RunBody | None:
    """Return the bytes to give on, with their tokens."""
    tokens = 0
    if state.events:
        whole = _whole_events(state, piece)
        if not whole:
            return None
        piece = whole
        tokens = piece.count(TOKEN_MARK)
    elif model:
        tokens = _usage_tokens(state, piece)
    dispatch = state.dispatch
    return RunBody(dispatch.request_id, dispatch.attempt, piece, tokens)


def _whole_events(state: _RunState, piece: bytes) -> bytes:
    """Return the whole events that have come, and keep the rest."""
    held = state.partial + piece
    end = held.rfind(EVENT_END)
    if end < 0:
        state.partial = held
        if len(held) > MAX_EVENT_BYTES:
            raise httpx.RemoteProtocolError("an event is too large")
        return b""
    end += len(EVENT_END)
    whole, state.partial = held[:end], held[end:]
    state.offset += whole.count(EVENT_END)
    state.done = state.done or whole.endswith(DONE_EVENT)
    return whole


def _usage_tokens(state: _RunState, piece: bytes) -> int:
    """Return the token count when a JSON answer states it."""
    seen = state.tail + piece
    found = _USAGE.search(seen)
    state.tail = b"" if found else seen[-USAGE_TAIL_BYTES:]
    return int(found.group(1)) if found else 0


def _reason(error: Exception) -> str:
    """Return what went wrong, for a log line."""
    return f"{type(error).__name__}: {error}"
