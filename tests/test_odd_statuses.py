"""Responses whose status does not exist are none, on all paths."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace

import httpx
import pytest

from bulrushstream.state.event import RunEnd
from bulrushstream.state.excess import PeerKind
from bulrushstream.transport.client import make_client
from bulrushstream.transport.endpoint import EndpointRunner, RunnerOptions
from bulrushstream.transport.fetch import Fetcher, FetchLimits
from bulrushstream.transport.httpcall import CallError, CallLimits, call
from bulrushstream.transport.probe import ask_identity, ask_report
from bulrushstream.transport.upstream import Pool
from tests.builders import a_dispatch
from tests.damagedheads import SOUND_ANSWERS, sound
from tests.test_damaged_heads import ask, expect_refused, with_line

# The last ones are interim, and no final one follows.
STATUSES = (
    *("000", "099", "600", "700", "999"),
    *("", "0", "20", "-1", "-12", "1000", "2000", "2 0", "20a"),
    *("100", "101", "102", "199"),
)
PATHS = ("/once/", "/safe/", "/tell/", "/talk/")
ANSWER = b'{"offset": 3}'
GET = b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n"


@contextlib.asynccontextmanager
async def serve_status(status: str) -> AsyncIterator[int]:
    """Answer all requests with a status; yield the port."""
    answer = b"HTTP/1.1 %b Odd\r\nContent-Length: %d\r\n\r\n%b" % (
        status.encode(),
        len(ANSWER),
        ANSWER,
    )

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


class RouterSuite:
    # Guards against a caller that gets such a status, or a success.
    @pytest.mark.parametrize("status", STATUSES)
    @pytest.mark.parametrize("path", PATHS)
    def test_callers_get_none(self, path: str, status: str) -> None:
        answer = sound("length", path.startswith("/t"))(b"q1")
        line = b"HTTP/1.1 %b Odd" % status.encode()
        # The body of an interim one is skipped, and a final one waited for.
        for closes in (True,) if status == "199" else (False, True):
            changed = with_line(answer, b"HTTP/1.1", line)
            expect_refused(path, replace(changed, closes=closes), "length")

    # Guards against such an answer that is passed on within the body of
    # another one, or that makes a part of it look whole.
    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
    @pytest.mark.parametrize("path", PATHS)
    def test_one_within_a_body(self, path: str, status: bytes) -> None:
        own_id = b"q%d" % SOUND_ANSWERS
        answer = sound("close", path.startswith("/t"))(own_id)
        odd = with_line(answer, b"HTTP/1.1", b"HTTP/1.1 %b Odd" % status)
        for part in (answer.body, answer.body[:-2]):
            for closes in (False, True):
                body = part + odd.head + odd.body
                first = replace(answer, body=body, closes=closes)
                expect_refused(path, first, "close")

    # Guards against an interim status that is taken for a final one.
    @pytest.mark.parametrize("path", ["/once/", "/tell/"])
    def test_a_final_one_is_waited_for(self, path: str) -> None:
        answer = sound("length", path.startswith("/t"))(b"q1")
        seen = ask(path, with_line(answer, b"HTTP/1.1", b"HTTP/1.1 199 Odd"))
        assert seen.status == 504


@pytest.mark.parametrize("status", STATUSES)
class ClientSuite:
    # Guards against a run that is complete with such a status.
    async def test_a_run_is_incomplete(self, status: str) -> None:
        async with serve_status(status) as port:
            options = RunnerOptions(f"http://127.0.0.1:{port}", False)
            runner = EndpointRunner(options)
            events = [each async for each in runner.run(a_dispatch(b"x"))]
            await runner.close()
        end = events[-1]
        assert len(events) == 1
        assert isinstance(end, RunEnd)
        assert (end.complete, end.started) == (False, True)

    # Guards against reports and records that such an answer confirms.
    async def test_a_fetch_fails(self, status: str) -> None:
        limits = FetchLimits(4.0, 1_000)
        async with serve_status(status) as port:
            client = make_client(f"http://127.0.0.1:{port}", 4.0)
            fetcher = Fetcher(client, PeerKind.STORE)
            with pytest.raises(httpx.HTTPError):
                await fetcher.fetch("POST", "/", limits, content=b"x")
            await client.aclose()

    # Guards against a call of the store that such an answer confirms.
    async def test_a_call_fails(self, status: str) -> None:
        loop = asyncio.get_running_loop()
        async with serve_status(status) as port:
            pool = Pool("127.0.0.1", port, loop.time)
            with pytest.raises(CallError):
                await call(
                    pool, "POST", "/", b"x", limits=CallLimits(4.0, 1_000)
                )

    # Guards against an endpoint that such an answer proves to be sound.
    async def test_a_probe_fails(self, status: str) -> None:
        loop = asyncio.get_running_loop()
        async with serve_status(status) as port:
            pool = Pool("127.0.0.1", port, loop.time)
            assert await ask_identity(pool, GET, 4.0) is None
            assert await ask_report(pool, GET, 4.0) is None
