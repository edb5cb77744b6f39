"""The agent's endpoint client reports each kind of fault correctly."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from dataclasses import replace
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
from tests.eventstreams import LINE_ENDS


@contextlib.asynccontextmanager
async def serve_with_runner(
    app: Any, model: bool = True, resume_limit: int = 1
) -> AsyncIterator[EndpointRunner]:
    """Serve a stand-in endpoint and yield a runner for it."""
    async with serve(app.asgi) as server:
        options = RunnerOptions(server.url, model, resume_limit=resume_limit)
        runner = EndpointRunner(options)
        try:
            yield runner
        finally:
            await runner.close()


async def collect_run(
    runner: EndpointRunner, dispatch: Dispatch
) -> list[RunEvent]:
    return [event async for event in runner.run(dispatch)]


def make_faulty_engine(**faults: Any) -> Any:
    return make_engine(EngineOptions(faults=EngineFaults(**faults)))


def run_end(events: list[RunEvent]) -> RunEnd:
    end = events[-1]
    assert isinstance(end, RunEnd)
    return end


def body_of(events: list[RunEvent]) -> bytes:
    return b"".join(e.data for e in events if isinstance(e, RunBody))


def tokens_of(events: list[RunEvent]) -> int:
    return sum(e.tokens for e in events if isinstance(e, RunBody))


STREAM = chat_body("nonce [tokens=6]", stream=True)


class RunSuite:
    async def test_complete_answer_counts_tokens(self) -> None:
        async with serve_with_runner(make_engine()) as runner:
            events = await collect_run(
                runner, a_dispatch(chat_body("a [tokens=9]"))
            )
        head = events[0]
        assert isinstance(head, RunHead) and head.status == 200
        assert run_end(events) == RunEnd("q1", 1, complete=True, started=True)
        assert expected_text("a [tokens=9]").encode() in body_of(events)
        assert tokens_of(events) == 9

    async def test_stream_counts_tokens(self) -> None:
        async with serve_with_runner(make_engine()) as runner:
            events = await collect_run(runner, a_dispatch(STREAM, stream=True))
        assert run_end(events).complete
        assert tokens_of(events) == 6
        assert body_of(events).count(b"\n\n") == 8

    async def test_broken_stream_is_resumed_without_gap_or_overlap(
        self,
    ) -> None:
        async with serve_with_runner(make_engine()) as runner:
            expected = await collect_run(
                runner, a_dispatch(STREAM, stream=True)
            )
        engine = make_faulty_engine(break_event=3, breaks=1)
        async with serve_with_runner(engine) as runner:
            events = await collect_run(runner, a_dispatch(STREAM, stream=True))
        assert run_end(events).complete
        assert body_of(events) == body_of(expected)
        assert sum(isinstance(e, RunHead) for e in events) == 1
        assert engine.state.resumed == 1

    async def test_stream_that_breaks_again_is_incomplete(self) -> None:
        async with serve_with_runner(
            make_faulty_engine(break_event=3)
        ) as runner:
            events = await collect_run(runner, a_dispatch(STREAM, stream=True))
        end = run_end(events)
        assert (end.complete, end.started, end.crashed) == (False, True, False)
        assert body_of(events).count(b"\n\n") == 3

    async def test_crash_is_reported(self) -> None:
        engine = make_faulty_engine(crash_marker="boom", down_s=60.0)
        async with serve_with_runner(engine) as runner:
            events = await collect_run(runner, a_dispatch(chat_body("boom")))
        end = run_end(events)
        assert (end.complete, end.started, end.crashed) == (False, True, True)

    async def test_crash_caused_by_another_request_is_reported(self) -> None:
        options = EngineOptions(
            token_s=0.01,
            faults=EngineFaults(crash_marker="boom", down_s=60.0),
        )
        engine = make_engine(options)
        body = chat_body("innocent [tokens=10000]", stream=True)
        async with serve_with_runner(engine) as runner:
            events = runner.run(a_dispatch(body, stream=True))
            first = [await anext(events), await anext(events)]
            crashing = a_dispatch(chat_body("boom"), request_id="q2")
            await collect_run(runner, crashing)
            rest = [event async for event in events]
        end = run_end(first + rest)
        assert (end.complete, end.started, end.crashed) == (False, True, True)

    @pytest.mark.parametrize("closes", (True, False))
    async def test_crash_is_reported_without_a_broken_connection(
        self, closes: bool
    ) -> None:
        """Guards against crashes after the head that go uncounted."""
        writers = []

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writers.append(writer)
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                b"connection: close\r\n\r\ndata: {}\n\n"
            )
            server.close()
            if closes:
                writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        options = RunnerOptions(
            f"http://127.0.0.1:{port}", True, resume_limit=0
        )
        runner = EndpointRunner(options)
        dispatch = a_dispatch(STREAM, stream=True, timeout_ms=500)
        events = await collect_run(runner, dispatch)
        await runner.close()
        for writer in writers:
            writer.close()
        end = run_end(events)
        assert (end.complete, end.started, end.crashed) == (False, True, True)

    @pytest.mark.parametrize("check_path", ("", "/load"))
    @pytest.mark.parametrize(
        "after",
        (
            "lives",
            "refuses",
            "closes",
            "mute",
            "502 Bad",
            "503 No",
            "504 Late",
        ),
    )
    async def test_an_answer_that_only_its_connection_ends(
        self, after: str, check_path: str
    ) -> None:
        """Guards against a killed endpoint whose answer looks whole.

        A proxy may accept connections in its place.
        """
        lines: list[bytes] = []
        writers = []

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            if lines and after == "closes":
                writer.close()
                return
            lines.append(await reader.readuntil(b"\r\n\r\n"))
            ended = len(lines) > 1 and after != "lives"
            if ended and after == "mute":
                return
            status = after.encode() if ended else b"200 OK"
            writer.write(b"HTTP/1.1 %b\r\n\r\nthe body" % status)
            if after == "refuses":
                server.close()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        runner = EndpointRunner(
            RunnerOptions(
                f"http://127.0.0.1:{port}", False, check_path=check_path
            )
        )
        dispatch = a_dispatch(STREAM, timeout_ms=700)
        events = await collect_run(runner, dispatch)
        await runner.close()
        server.close()
        for writer in writers:
            writer.close()
        end = run_end(events)
        expected = (after == "lives", after == "refuses")
        assert (end.complete, end.crashed) == expected
        if after == "lives":
            asked = f"GET {check_path} " if check_path else "OPTIONS * "
            assert lines[1].startswith(asked.encode())

    async def test_refused_connection_is_not_started(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            options = RunnerOptions(f"http://127.0.0.1:{port}", True)
            runner = EndpointRunner(options)
            events = await collect_run(runner, a_dispatch(STREAM))
            await runner.close()
        end = run_end(events)
        assert len(events) == 1
        assert (end.started, end.crashed) == (False, False)

    async def test_lost_answer_is_reported_as_started(self) -> None:
        plain = make_plain(PlainOptions(faults=PlainFaults(lose_answers=1)))
        async with serve_with_runner(plain, model=False) as runner:
            events = await collect_run(
                runner, a_dispatch(b"x", path="/tickets")
            )
        end = run_end(events)
        assert (end.complete, end.started, end.crashed) == (False, True, False)
        assert plain.state.runs["q1"] == 1

    async def test_deadline_ends_a_stalled_run(self) -> None:
        async with serve_with_runner(
            make_faulty_engine(stall_s=60.0)
        ) as runner:
            dispatch = a_dispatch(STREAM, stream=True, timeout_ms=50)
            events = await collect_run(runner, dispatch)
        end = run_end(events)
        assert (end.complete, end.started) == (False, True)
        assert "deadline" in end.detail

    async def test_plain_call_passes_method_path_and_body(self) -> None:
        async with serve_with_runner(make_plain(), model=False) as runner:
            dispatch = a_dispatch(b"ink", method="PUT", path="/a%20b/c?d=1")
            events = await collect_run(runner, dispatch)
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
        async with serve_with_runner(engine) as runner:
            events = runner.run(a_dispatch(body, stream=True))
            await anext(events)
            await events.aclose()
            while engine.state.running:
                await asyncio.sleep(0)
        assert engine.state.cancelled == 1
        assert engine.state.finished == 0


class ReportSuite:
    async def test_load_report_and_missing_report(self) -> None:
        engine = make_engine()
        async with serve_with_runner(engine) as runner:
            load = await read_load(runner.client, "/load")
            missing = await read_load(runner.client, "/none")
        assert load == LoadReported(0, 0, True)
        assert not missing.healthy

    async def test_cache_events_and_restart(self) -> None:
        engine = make_engine(EngineOptions(cache_entries=1))
        reader = CacheCursor()
        async with serve_with_runner(engine) as runner:
            for message in ("a", "b"):
                await collect_run(runner, a_dispatch(chat_body(message)))
            path = "/cache-events"
            first = await read_cache(runner.client, path, reader)
            second = await read_cache(runner.client, path, reader)
            engine.state.cache.sequence = 0
            after_restart = await read_cache(runner.client, path, reader)
        assert [event.sequence for event in first] == [1, 2]
        assert first[1].dropped == first[0].added
        assert second == []
        assert after_restart == [CacheReported(0, (), ())]


@pytest.mark.parametrize("end", LINE_ENDS)
@pytest.mark.parametrize("split", range(1, 12))
async def test_an_event_split_over_two_chunks_is_forwarded_once(
    split: int, end: bytes
) -> None:
    """Guards against streams that break as their lines end with CR."""
    event = b'data: {"a":1}' + 2 * end
    done = b"data: [DONE]" + 2 * end

    async def app(scope: Any, receive: Any, send: Any) -> None:
        await receive()
        kind = (b"content-type", b"text/event-stream")
        await send(
            {"type": "http.response.start", "status": 200, "headers": [kind]}
        )
        for chunk in (event[:split], event[split:], done):
            await send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
            await asyncio.sleep(0)
        await send({"type": "http.response.body", "body": b""})

    class App:
        asgi = staticmethod(app)

    async with serve_with_runner(App()) as runner:
        events = await collect_run(runner, a_dispatch(STREAM, stream=True))
    chunks = [e.data for e in events if isinstance(e, RunBody)]
    assert run_end(events).complete
    assert b"".join(chunks) == event + done
    assert all(chunk.endswith(2 * end) for chunk in chunks)


Answers = list[bytes]


@contextlib.asynccontextmanager
async def serve_bytes(answers: Answers) -> AsyncIterator[EndpointRunner]:
    """Answer requests with given bytes; an empty piece ends a connection."""
    waiting = list(answers)

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while waiting:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2]
                await reader.readexactly(int(length.split(b"\r\n")[0]))
                writer.write(waiting.pop(0))
                if not waiting[0]:
                    waiting.pop(0)
                    break
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    runner = EndpointRunner(RunnerOptions(f"http://127.0.0.1:{port}", True))
    try:
        yield runner
    finally:
        await runner.close()
        server.close()
        await server.wait_closed()
        await asyncio.sleep(0.01)


def an_answer(request_id: bytes, body: bytes, status: bytes = b"200") -> bytes:
    return (
        b"HTTP/1.1 %b x\r\nX-Request-Id: %b\r\nContent-Length: %d\r\n\r\n%b"
        % (status, request_id, len(body), body)
    )


class ForeignAnswerSuite:
    """Answers that belong to no run, or are no part of its stream."""

    async def test_a_refusal_that_comes_again_is_not_taken(self) -> None:
        """Guards against an untrue answer to the next request."""
        refusal = an_answer(b"q1", b"full", b"503")
        answers = [refusal, refusal + an_answer(b"q2", b"{}"), b"", b""]
        async with serve_bytes(answers) as runner:
            first = await collect_run(runner, a_dispatch(chat_body("a")))
            second = await collect_run(
                runner, replace(a_dispatch(chat_body("b")), request_id="q2")
            )
        assert run_end(first).complete
        end = run_end(second)
        assert (end.complete, end.started) == (False, True)
        assert not [event for event in second if isinstance(event, RunHead)]

    @pytest.mark.parametrize("status", (b"200", b"404", b"500"))
    async def test_a_broken_stream_holds_no_other_answer(
        self, status: bytes
    ) -> None:
        """Guards against a text in the middle of a stream that looks whole."""
        event = b'data: {"choices":[]}\n\n'
        stream = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n"
            % (len(event), event)
        )
        other = an_answer(b"q1", b"an error\n\n", status)
        async with serve_bytes([stream, b"", other, b"", b""]) as runner:
            events = await collect_run(runner, a_dispatch(STREAM, stream=True))
        assert body_of(events) == event
        assert not run_end(events).complete
