"""Whole answers that the own interface's clients read have limits.

Guards against a log, an instance list or an endpoint whose answer has no
end: clients kept all of it, and as the time limit was for one read, a
trickle never ended.
"""

from __future__ import annotations

import asyncio
import base64
import gzip
import tracemalloc
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import httpx
import msgspec
import pytest

from bulrushstream.commands import operate
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.local.client import call_service
from bulrushstream.protocol.logservice import (
    ListUnavailableError,
    LogAnswerLostError,
    LogUnavailableError,
)
from bulrushstream.state.excess import Excess, ExcessReason, PeerKind
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.state.order import EngineOrder, OrderAnswer, OrderKind
from bulrushstream.transport.endpoint import EndpointRunner, RunnerOptions
from bulrushstream.transport.fetch import ResponseTooLargeError, read_whole
from bulrushstream.transport.instances import InstanceListClient
from bulrushstream.transport.log import MAX_PAGE_BYTES, LogClient
from bulrushstream.transport.orders import read_holdings, send_order
from bulrushstream.transport.reports import (
    UNHEALTHY,
    CacheCursor,
    read_cache,
    read_load,
)

URL = "http://10.0.0.9:8080"
PIECES = {
    "large": (b"x" * 65536, 0.001),
    "small": (b"xx" * 64, 0.0),
    "trickle": (b" ", 0.5),
}


class Server:
    """A fake transport whose answers have no end, or a given body."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.excesses: list[Excess] = []
        self.memory = MemoryBudget(32 * 2**20)
        self.speed = "large"
        self.answer: Callable[[httpx.Request], httpx.Response] | None = None

    def client(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            base_url=URL, transport=httpx.MockTransport(self.handle)
        )

    def handle(self, request: httpx.Request) -> httpx.Response:
        if self.answer is not None:
            return self.answer(request)
        return httpx.Response(200, stream=Endless(self))

    def log(self) -> LogClient:
        client = LogClient(URL, 2.0, self.excesses.append, self.memory)
        client._client = self.client()
        object.__setattr__(client._fetcher, "client", client._client)
        return client

    def list(self) -> InstanceListClient:
        client = InstanceListClient(
            URL, 2.0, self.excesses.append, self.memory
        )
        client._client = self.client()
        object.__setattr__(client._fetcher, "client", client._client)
        return client

    def runner(self) -> EndpointRunner:
        runner = EndpointRunner(
            RunnerOptions(URL, True, on_excess=self.excesses.append)
        )
        runner._client = self.client()
        return runner


async def fails(call: Coroutine[Any, Any, Any], error: type) -> bool:
    with pytest.raises(error):
        await call
    return True


Reader = Callable[[Server], Coroutine[Any, Any, bool]]


async def _load_is_unhealthy(server: Server) -> bool:
    return await read_load(server.runner().client, "/load") == UNHEALTHY


async def _cache_is_empty(server: Server) -> bool:
    client = server.runner().client
    return await read_cache(client, "/cache", CacheCursor()) == []


async def _holdings_are_unknown(server: Server) -> bool:
    return await read_holdings(server.runner().client, "/held") is None


async def _order_fails(server: Server) -> bool:
    client = server.runner().client
    answered = await send_order(
        client,
        "/orders",
        EngineOrder(OrderKind.CHANGE_ROLE, 1, role="prefill"),
    )
    return answered.answer is OrderAnswer.FAILED


READERS: dict[str, tuple[PeerKind, Reader]] = {
    "log read": (
        PeerKind.STORE,
        lambda server: fails(
            server.log().read("s", 0, 1), LogUnavailableError
        ),
    ),
    # The record may have been appended.
    "log append": (
        PeerKind.STORE,
        lambda server: fails(
            server.log().append("s", b"x"), LogAnswerLostError
        ),
    ),
    "instances": (
        PeerKind.STORE,
        lambda server: fails(server.list().list(), ListUnavailableError),
    ),
    "load": (PeerKind.ENDPOINT, _load_is_unhealthy),
    "cache": (PeerKind.ENDPOINT, _cache_is_empty),
    "holdings": (PeerKind.ENDPOINT, _holdings_are_unknown),
    "order": (PeerKind.ENDPOINT, _order_fails),
}


def play(work: Coroutine[Any, Any, None]) -> None:
    async def run() -> None:
        await work
        await asyncio.sleep(0.1)  # httpx's generators end in tasks.

    assert run_virtually(run()) == []


class EndlessAnswerSuite:
    @pytest.mark.parametrize("speed", PIECES)
    @pytest.mark.parametrize("reader", READERS)
    def test_an_answer_without_end_is_given_up(
        self, reader: str, speed: str
    ) -> None:
        async def work() -> None:
            server = Server()
            server.speed = speed
            peer, read = READERS[reader]
            async with asyncio.timeout(20.0):
                assert await read(server)
            assert server.sent_bytes <= MAX_PAGE_BYTES + 65536
            reason = ExcessReason.BODY
            if speed == "trickle":
                reason = ExcessReason.TIME
            assert server.excesses == [Excess(peer, "10.0.0.9:8080", reason)]
            assert server.memory.used_bytes == 0

        play(work())

    @pytest.mark.parametrize("speed", ["large", "trickle"])
    def test_a_command_of_operators_gives_up(
        self, speed: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        server = Server()
        server.speed = speed
        client = server.client()
        monkeypatch.setattr(httpx, "AsyncClient", lambda timeout: client)

        async def work() -> None:
            async with asyncio.timeout(20.0):
                answers = await operate._get_all([URL], "status")
            assert answers == [None]
            assert server.sent_bytes <= MAX_PAGE_BYTES

        play(work())

    def test_many_at_once_share_a_limit(self) -> None:
        async def work() -> None:
            server = Server()
            server.memory.limit_bytes = 2**20
            log = server.log()
            results = await asyncio.gather(
                *(log.read(f"s{i}", 0, 1) for i in range(20)),
                return_exceptions=True,
            )
            assert {type(each) for each in results} == {LogUnavailableError}
            assert server.sent_bytes <= 24 * 2**20
            assert ExcessReason.MEMORY in {
                each.reason for each in server.excesses
            }

        play(work())

    def test_an_encoded_answer_is_not_expanded(self) -> None:
        """Guards against a few bytes that stand for many."""

        async def work() -> None:
            server = Server()
            bomb = gzip.compress(b" " * 2**26)
            server.answer = lambda request: httpx.Response(
                200, headers={"content-encoding": "gzip"}, stream=Once(bomb)
            )
            log = server.log()
            tracemalloc.start()
            with pytest.raises(LogUnavailableError):
                await log.read("s", 0, 1)
            peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            assert peak_bytes <= MAX_PAGE_BYTES

        play(work())

    def test_the_test_client_gives_up(self) -> None:
        async def work() -> None:
            server = Server()
            async with asyncio.timeout(1000.0):
                verdict = await call_service(
                    server.client(), URL, "token", method="GET", path="x"
                )
            assert verdict.problem.startswith("[truncated]")
            assert server.sent_bytes <= 65 * 2**20

        play(work())


class Endless(httpx.AsyncByteStream):
    """A body without end, which counts what is read of it."""

    def __init__(self, server: Server) -> None:
        self.server = server

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        piece, pause_s = PIECES[self.server.speed]
        if self.server.sent_bytes > 2**28:
            raise StopAsyncIteration
        self.server.sent_bytes += len(piece)
        await asyncio.sleep(pause_s)
        return piece


class Once(httpx.AsyncByteStream):
    """A body in one piece, which the response does not decode early."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield self.body


class GivenUpSuite:
    async def test_an_answer_that_was_given_up_is_not_empty(self) -> None:
        """Guards against a given-up body that passes for a whole one."""
        memory = MemoryBudget(1_000)
        room_needed = asyncio.Event()

        class Body(httpx.AsyncByteStream):
            async def __aiter__(self) -> AsyncIterator[bytes]:
                yield b"x" * 900
                await room_needed.wait()

        reading = asyncio.ensure_future(
            read_whole(httpx.Response(200, stream=Body()), 5_000, memory)
        )
        await asyncio.sleep(0.01)
        memory.open(lambda: None).resize(500)
        room_needed.set()
        with pytest.raises(ResponseTooLargeError):
            await reading


class LargestAnswerSuite:
    """Guards against limits that honest answers exceed."""

    @pytest.mark.parametrize(
        ("count", "size_bytes"), [(500, 8_000), (500, 200_000), (3, 2**23)]
    )
    def test_a_page_of_large_records(
        self, count: int, size_bytes: int
    ) -> None:
        async def work() -> None:
            server = Server()
            record = base64.b64encode(bytes(size_bytes)).decode()

            def answer(request: httpx.Request) -> httpx.Response:
                offset = int(request.url.params["offset"])
                limit = int(request.url.params["limit"])
                stop = min(count, offset + limit)
                records = [
                    {"offset": i, "body": record} for i in range(offset, stop)
                ]
                page = {"first": 0, "next": count, "records": records}
                body = msgspec.json.encode(page)
                return httpx.Response(200, stream=Once(body))

            server.answer = answer
            page = await server.log().read("s", 0, 500)
            assert page.records
            assert page.end_offset == count
            assert len(page.records[0].body) == size_bytes
            assert server.excesses == []

        play(work())
