"""The agent's HTTP client of its endpoint.

A run sends one attempt to the endpoint and yields the answer's parts.
Retries depend on the fields of the final `RunEnd`:

- `started` is false only if no byte of the request can have reached the
  endpoint.
- `complete` is true only if the answer ended properly; a model engine's
  stream ends with `data: [DONE]`.  Another answer whose end only that of its
  connection shows is complete if the endpoint had taken the whole request
  by then, and accepts connections after it: a process that is killed ends
  its connections in the same way.
- `crashed` is true if the answer did not end properly and the endpoint then
  accepted no new connection.

A model engine's broken stream is resumed, once by default, after the
complete events received so far.  Incomplete events are not passed on, so
that no event is duplicated.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any, Final, TypeAlias

import httpx

from bulrushstream.state.event import RunBody, RunEnd, RunHead
from bulrushstream.state.events import (
    END_OVERLAP_BYTES,
    EVENT_END,
    split_done,
)
from bulrushstream.state.excess import OnExcess, PeerKind
from bulrushstream.state.message import Dispatch
from bulrushstream.transport.client import make_client
from bulrushstream.transport.connection import EXIT_S
from bulrushstream.transport.fetch import (
    Fetcher,
    fault_of,
    require_sound_head,
)
from bulrushstream.transport.polling import unconfirmed_bytes

REQUEST_ID_HEADER: Final = "X-Request-Id"
RESUME_HEADER: Final = "X-Resume-Offset"
TOKEN_MARK: Final = b'"content":'
MAX_EVENT_BYTES: Final = 1 << 20
USAGE_TAIL_BYTES: Final = 256
PROBE_TIMEOUT_S: Final = 1.0

# How long an endpoint may take to prove that it outlived an answer's
# connection, and the pause between two questions.
PROOF_S: Final = 2.0
PROOF_PAUSE_S: Final = 0.25

# Statuses of a proxy whose endpoint does not answer.
_PROXY_STATUSES: Final = (502, 503, 504)

# What `httpcore` reports before it closes a response's connection.
_BODY_RECEIVED: Final = "http11.receive_response_body.complete"

_USAGE: Final = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')
_NOT_SENT: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)

RunEvent: TypeAlias = RunHead | RunBody | RunEnd


@dataclass(frozen=True, slots=True)
class RunnerOptions:
    """Settings of a runner."""

    base_url: str  # The endpoint's URL.
    is_model_engine: bool  # Else a plain service.
    max_connections: int = 64  # At least the slots plus the pollers.
    read_timeout_s: float = 120.0  # Longest gap within an answer.
    resume_limit: int = 1  # Resumes per run.
    # What the endpoint answers without running anything; empty: nothing.
    check_path: str = ""
    on_excess: OnExcess | None = None  # Called with reports too large.


@dataclass(slots=True)
class _RunState:
    """The progress of one run."""

    dispatch: Dispatch  # The attempt.
    deadline_s: float  # On the event loop's clock.
    offset: int  # Complete events, including earlier runs.
    head_sent: bool  # Whether RunHead was yielded.
    maybe_started: bool = False  # See RunEnd.started.
    event_stream: bool = False  # Whether it is a model's stream.
    framed: bool = True  # Whether the answer has a length or chunks.
    # The connection of the answer; None: none was received.
    sock: socket.socket | None = None
    # Whether the endpoint had the whole request when the answer ended.
    taken: bool = True
    done_received: bool = False  # Whether the last event was received.
    partial: bytes = b""  # An incomplete event.
    usage_tail: bytes = b""  # The last bytes, to search for usage.
    resume_count: int = field(default=0)


class _LostStreamError(httpx.RemoteProtocolError):
    """The engine no longer has the stream that was to be resumed."""


class EndpointRunner:
    """Runs attempts on one endpoint."""

    _options: RunnerOptions
    _client: httpx.AsyncClient  # The connection pool.

    def __init__(self, options: RunnerOptions) -> None:
        """Make a runner; no connection is opened yet.

        :param options: The settings.
        """
        self._options = options
        self._client = make_client(
            options.base_url, options.read_timeout_s, options.max_connections
        )

    @property
    def client(self) -> Fetcher:
        """Return the client for reports and orders."""
        return Fetcher(
            self._client, PeerKind.ENDPOINT, self._options.on_excess
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        """Run one attempt; closing the generator cancels it.

        :param dispatch: The attempt.
        :param offset: Complete events that an earlier run received; 0: none.
        :returns: A RunHead if one was received, any number of RunBody, and
            a RunEnd.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + dispatch.timeout_ms / 1000
        state = _RunState(dispatch, deadline_s, offset, offset > 0)
        while True:
            try:
                async with contextlib.aclosing(
                    self._run_once(state)
                ) as events:
                    async for event in events:
                        yield event
            except _NOT_SENT as error:
                # If this was a resumption, the endpoint has crashed.
                yield self._end(state, False, True, _reason(error))
                return
            except TimeoutError:
                crashed = await self._is_down()
                yield self._end(state, False, crashed, "deadline passed")
                return
            except httpx.HTTPError as error:
                if self._may_resume(state):
                    continue
                lost = isinstance(error, _LostStreamError)
                crashed = lost or await self._is_down()
                yield self._end(state, False, crashed, _reason(error))
                return
            if not state.event_stream and not state.framed:
                lives = await self._proves_life(state.deadline_s)
                crashed = not lives and await self._is_down()
                whole = lives and state.taken
                yield self._end(state, whole, crashed, "no length")
                return
            if not state.event_stream or state.done_received:
                yield self._end(state, True)
                return
            if not self._may_resume(state):
                crashed = await self._is_down()
                yield self._end(state, False, crashed, "no last event")
                return

    async def _run_once(
        self, state: _RunState
    ) -> AsyncGenerator[RunEvent, None]:
        """Send the request once and yield the parts of the answer."""
        request = self._request(state)
        async with asyncio.timeout_at(state.deadline_s):
            answer = await self._send(state, request)
        try:
            require_sound_head(answer)
            own_id = state.dispatch.request_id
            if answer.headers.get(REQUEST_ID_HEADER, own_id) != own_id:
                raise httpx.RemoteProtocolError("answer to another request")
            if state.resume_count and answer.status_code != 200:
                raise _LostStreamError("nothing to resume")
            head = self._head(state, answer)
            stream = answer.extensions["network_stream"]
            state.sock = stream.get_extra_info("socket")
            if state.resume_count and not state.event_stream:
                raise _LostStreamError("no stream in place of the lost one")
            if not state.head_sent:
                state.head_sent = True
                yield head
            pieces = aiter(answer.aiter_raw())
            while True:
                async with asyncio.timeout_at(state.deadline_s):
                    piece = await anext(pieces, None)
                if piece is None:
                    break
                event = _body_event(
                    state, piece, self._options.is_model_engine
                )
                if event is not None:
                    yield event
            # An incomplete event at the end is dropped.
        finally:
            await answer.aclose()

    async def _send(
        self, state: _RunState, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return when the answer's head has arrived."""
        try:
            answer = await self._client.send(request, stream=True)
        except _NOT_SENT:
            raise
        except (httpx.HTTPError, TimeoutError, asyncio.CancelledError):
            state.maybe_started = True
            raise
        state.maybe_started = True
        return answer

    def _request(self, state: _RunState) -> httpx.Request:
        """Return the HTTP request for an attempt."""
        dispatch = state.dispatch
        headers = list(dispatch.headers)
        if not any(name == "accept-encoding" for name, _ in headers):
            headers.append(("accept-encoding", "identity"))
        headers.append((REQUEST_ID_HEADER, dispatch.request_id))
        if state.offset:
            headers.append((RESUME_HEADER, str(state.offset)))
        state.partial = b""

        async def trace(name: str, info: dict[str, Any]) -> None:
            del info
            if name == _BODY_RECEIVED and state.sock is not None:
                state.taken = not unconfirmed_bytes(state.sock)

        return self._client.build_request(
            dispatch.method,
            self._options.base_url.rstrip("/") + dispatch.path,
            headers=headers,
            content=dispatch.body,
            extensions={"trace": trace},
        )

    def _head(self, state: _RunState, answer: httpx.Response) -> RunHead:
        """Return the RunHead of an answer."""
        kind = answer.headers.get("content-type", "")
        stream = kind.startswith("text/event-stream")
        state.event_stream = self._options.is_model_engine and stream
        state.framed = (
            answer.status_code in (204, 304)
            or state.dispatch.method == "HEAD"
            or "content-length" in answer.headers
            or "transfer-encoding" in answer.headers
        )
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
        """Return whether to resume a broken stream, and count the resume."""
        if (
            not state.event_stream
            or state.resume_count >= self._options.resume_limit
        ):
            return False
        state.resume_count += 1
        return True

    def _end(
        self,
        state: _RunState,
        complete: bool,
        crashed: bool = False,
        detail: str = "",
    ) -> RunEnd:
        """Return the RunEnd of a run."""
        return RunEnd(
            state.dispatch.request_id,
            state.dispatch.attempt,
            complete=complete,
            started=state.maybe_started,
            crashed=crashed and state.maybe_started,
            detail=detail,
        )

    async def _proves_life(self, deadline_s: float) -> bool:
        """Return whether the endpoint answers after its connection ended.

        The kernel ends the connections of a killed process in the same way,
        and a proxy may accept new ones in its place.
        """
        await asyncio.sleep(EXIT_S)
        limit_s = asyncio.get_running_loop().time() + PROOF_S
        path = self._options.check_path
        request = self._client.build_request(
            "GET" if path else "OPTIONS",
            path or "/",
            extensions={} if path else {"target": b"*"},
        )
        try:
            async with asyncio.timeout_at(min(limit_s, deadline_s)):
                while True:
                    try:
                        answer = await self._client.send(request, stream=True)
                    except httpx.ConnectError:
                        return False
                    except httpx.HTTPError:
                        pass
                    else:
                        await answer.aclose()
                        sound = not fault_of(answer)
                        if sound and answer.status_code not in _PROXY_STATUSES:
                            return True
                    await asyncio.sleep(PROOF_PAUSE_S)
        except TimeoutError:
            return False

    async def _is_down(self) -> bool:
        """Return whether the endpoint accepts no connection."""
        url = httpx.URL(self._options.base_url)
        port = url.port or (443 if url.scheme == "https" else 80)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(url.host, port)
        except (OSError, TimeoutError):
            return True
        writer.close()
        return False


def _body_event(state: _RunState, piece: bytes, model: bool) -> RunBody | None:
    """Return the bytes to pass on and their token count, if any."""
    tokens = 0
    if state.event_stream:
        complete = _complete_events(state, piece)
        if not complete:
            return None
        piece = complete
        tokens = piece.count(TOKEN_MARK)
    elif model:
        tokens = _usage_tokens(state, piece)
    dispatch = state.dispatch
    return RunBody(dispatch.request_id, dispatch.attempt, piece, tokens)


def _complete_events(state: _RunState, piece: bytes) -> bytes:
    """Return the complete events, and buffer an incomplete one."""
    received = state.partial + piece
    end = 0
    if state.offset and not state.partial:
        # The rest of the line end before, and empty lines.
        end = len(received) - len(received.lstrip(b"\r\n"))
    searched = max(end, len(state.partial) - END_OVERLAP_BYTES)
    for found in EVENT_END.finditer(received, searched):
        end = found.end()
        state.offset += 1
    complete, state.partial = received[:end], received[end:]
    if not complete and len(state.partial) > MAX_EVENT_BYTES:
        raise httpx.RemoteProtocolError("an event is too large")
    if split_done(complete)[1]:
        state.done_received = True
    return complete


def _usage_tokens(state: _RunState, piece: bytes) -> int:
    """Return the token count if a JSON answer contains it, else 0."""
    text = state.usage_tail + piece
    found = _USAGE.search(text)
    state.usage_tail = b"" if found else text[-USAGE_TAIL_BYTES:]
    return int(found.group(1)) if found else 0


def _reason(error: Exception) -> str:
    """Return an error's type and text, for the log."""
    return f"{type(error).__name__}: {error}"
