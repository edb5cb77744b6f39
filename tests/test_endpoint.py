"""The agent's client of its endpoint tells the truth about each fault."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from bulrushstream.standins.answer import expected_text
from bulrushstream.standins.engine import (
    EngineFaults,
    EngineOptions,
    make_engine,
)
from bulrushstream.standins.plain import (
    PlainFaults,
    PlainOptions,
    make_plain,
)
from bulrushstream.state.event import (
    CacheReported,
    LoadReported,
    RunBody,
    RunEnd,
    RunHead,
)
from bulrushstream.state.message import Dispatch
from bulrushstream.transport.endpoint import (
    EndpointRunner,
    RunEvent,
    RunnerOptions,
)
from bulrushstream.transport.reports import (
    CacheCursor,
    read_cache,
    read_load,
)
from bulrushstream.transport.server import serve
from tests.builders import a_dispatch, chat_body


@contextlib.asynccontextmanager
async def runner_of(
    app: Any, model: bool = True, resume_limit: int = 1
) -> AsyncIterator[EndpointRunner]:
    """Serve a stand-in and yield a runner for it."""
    async with serve(app.asgi) as server:
        options = RunnerOptions(server.url, model, resume_limit=resume_limit)
        runner = EndpointRunner(options)
        try:
            yield runner
        finally:
            await runner.close()


async def run(runner: EndpointRunner, dispatch: Dispatch) -> list[RunEvent]:
    return [event async for event in runner.run(dispatch)]


def engine_with(**faults: Any) -> Any:
    return make_engine(EngineOptions(faults=EngineFaults(**faults)))


def end_of(events: list[RunEvent]) -> RunEnd:
    end = events[-1]
    assert isinstance(end, RunEnd)
    return end


def body_of(events: list[RunEvent]) -> bytes:
    return b"".join(e.data for e in events if isinstance(e, RunBody))


def tokens_of(events: list[RunEvent]) -> int:
    return sum(e.tokens for e in events if isinstance(e, RunBody))


STREAM = chat_body("nonce [tokens=6]", stream=True)


class RunSuite:
    async def test_whole_answer_counts_tokens(self) -> None:
        async with runner_of(make_engine()) as runner:
            events = await run(runner, a_dispatch(chat_body("a [tokens=9]")))
        head = events[0]
        assert isinstance(head, RunHead) and head.status == 200
        assert end_of(events) == RunEnd("q1", 1, complete=True, started=True)
        assert expected_text("a [tokens=9]").encode() in body_of(events)
        assert tokens_of(events) == 9

    async def test_stream_counts_tokens(self) -> None:
        async with runner_of(make_engine()) as runner:
            events = await run(runner, a_dispatch(STREAM, stream=True))
        assert end_of(events).complete
        assert tokens_of(events) == 6
        assert body_of(events).count(b"\n\n") == 8

    async def test_broken_stream_is_resumed_without_a_seam(self) -> None:
        async with runner_of(make_engine()) as runner:
            whole = await run(runner, a_dispatch(STREAM, stream=True))
        engine = engine_with(break_event=3, breaks=1)
        async with runner_of(engine) as runner:
            events = await run(runner, a_dispatch(STREAM, stream=True))
        assert end_of(events).complete
        assert body_of(events) == body_of(whole)
        assert sum(isinstance(e, RunHead) for e in events) == 1
        assert engine.state.resumed == 1

    async def test_stream_that_breaks_again_is_not_whole(self) -> None:
        async with runner_of(engine_with(break_event=3)) as runner:
            events = await run(runner, a_dispatch(STREAM, stream=True))
        end = end_of(events)
        assert (end.complete, end.started, end.crashed) == (False, True, False)
        assert body_of(events).count(b"\n\n") == 3

    async def test_crash_is_told(self) -> None:
        engine = engine_with(crash_marker="boom", down_s=60.0)
        async with runner_of(engine) as runner:
            events = await run(runner, a_dispatch(chat_body("boom")))
        end = end_of(events)
        assert (end.complete, end.started, end.crashed) == (False, True, True)

    async def test_crash_by_another_request_is_told(self) -> None:
        options = EngineOptions(
            token_s=0.01,
            faults=EngineFaults(crash_marker="boom", down_s=60.0),
        )
        engine = make_engine(options)
        body = chat_body("innocent [tokens=10000]", stream=True)
        async with runner_of(engine) as runner:
            events = runner.run(a_dispatch(body, stream=True))
            first = [await anext(events), await anext(events)]
            marked = a_dispatch(chat_body("boom"), request_id="q2")
            await run(runner, marked)
            rest = [event async for event in events]
        end = end_of(first + rest)
        assert (end.complete, end.started, end.crashed) == (False, True, True)

    async def test_refused_connection_started_nothing(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            options = RunnerOptions(f"http://127.0.0.1:{port}", True)
            runner = EndpointRunner(options)
            events = await run(runner, a_dispatch(STREAM))
            await runner.close()
        end = end_of(events)
        assert len(events) == 1
        assert (end.started, end.crashed) == (False, False)

    async def test_lost_answer_may_have_run(self) -> None:
        plain = make_plain(PlainOptions(faults=PlainFaults(lose_answers=1)))
        async with runner_of(plain, model=False) as runner:
            events = await run(runner, a_dispatch(b"x", path="/tickets"))
        end = end_of(events)
        assert (end.complete, end.started, end.crashed) == (False, True, False)
        assert plain.state.runs["q1"] == 1

    async def test_deadline_ends_a_stall(self) -> None:
        async with runner_of(engine_with(stall_s=60.0)) as runner:
            dispatch = a_dispatch(STREAM, stream=True, timeout_ms=50)
            events = await run(runner, dispatch)
        end = end_of(events)
        assert (end.complete, end.started) == (False, True)
        assert "deadline" in end.detail

    async def test_plain_call_passes_method_path_and_body(self) -> None:
        async with runner_of(make_plain(), model=False) as runner:
            dispatch = a_dispatch(b"ink", method="PUT", path="/a%20b/c?d=1")
            events = await run(runner, dispatch)
        head = events[0]
        assert isinstance(head, RunHead)
        headers = dict(head.headers)
        assert headers["x-echo-method"] == "PUT"
        assert headers["x-echo-path"] == "/a%20b/c"
        assert body_of(events) == b"ink"
        assert tokens_of(events) == 0

    async def test_closing_a_run_cancels_it(self) -> None:
        engine = make_engine(EngineOptions(token_s=0.01))
        body = chat_body("long [tokens=100000]", stream=True)
        async with runner_of(engine) as runner:
            events = runner.run(a_dispatch(body, stream=True))
            await anext(events)
            await events.aclose()
            while engine.state.running:
                await asyncio.sleep(0)
        assert engine.state.cancelled == 1
        assert engine.state.finished == 0


class ReportSuite:
    async def test_load_and_silence(self) -> None:
        engine = make_engine()
        async with runner_of(engine) as runner:
            load = await read_load(runner.client, "/load")
            missing = await read_load(runner.client, "/none")
        assert load == LoadReported(0, 0, True)
        assert not missing.healthy

    async def test_cache_events_and_restart(self) -> None:
        engine = make_engine(EngineOptions(cache_entries=1))
        reader = CacheCursor()
        async with runner_of(engine) as runner:
            for message in ("a", "b"):
                await run(runner, a_dispatch(chat_body(message)))
            path = "/cache-events"
            seen = await read_cache(runner.client, path, reader)
            again = await read_cache(runner.client, path, reader)
            engine.state.cache.sequence = 0
            restart = await read_cache(runner.client, path, reader)
        assert [event.sequence for event in seen] == [1, 2]
        assert seen[1].dropped == seen[0].added
        assert again == []
        assert restart == [CacheReported(0, (), ())]


@pytest.mark.parametrize("split", range(1, 12))
async def test_an_event_in_two_pieces_is_given_on_once(split: int) -> None:
    event = b'data: {"a":1}\n\n'

    async def app(scope: Any, receive: Any, send: Any) -> None:
        await receive()
        kind = (b"content-type", b"text/event-stream")
        await send(
            {"type": "http.response.start", "status": 200, "headers": [kind]}
        )
        for piece in (event[:split], event[split:], b"data: [DONE]\n\n"):
            await send(
                {
                    "type": "http.response.body",
                    "body": piece,
                    "more_body": True,
                }
            )
            await asyncio.sleep(0)
        await send({"type": "http.response.body", "body": b""})

    class App:
        asgi = staticmethod(app)

    async with runner_of(App()) as runner:
        events = await run(runner, a_dispatch(STREAM, stream=True))
    pieces = [e.data for e in events if isinstance(e, RunBody)]
    assert b"".join(pieces) == event + b"data: [DONE]\n\n"
    assert all(piece.endswith(b"\n\n") for piece in pieces)
