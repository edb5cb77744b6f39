"""Connections that are kept back to prove that an endpoint lives."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import pytest

from bulrushstream.daemon import platformupdates, processproofs
from bulrushstream.state.routes import EndpointEntry
from bulrushstream.transport.connection import ResponseFailure
from bulrushstream.transport.probe import ask_identity
from bulrushstream.transport.upstream import Pool, PoolOptions
from tests.test_repeated_refusals import start_router
from tests.virtualnetwork import NetworkLoop, Transport, run_in_network

ADDRESS: Final = ("10.1.0.1", 80)
REQUEST: Final = b"GET / HTTP/1.1\r\n\r\n"
ANSWER: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
LIMIT: Final = 8  # Connections.


class _Serving:
    """A server's end of a connection; it answers, unless it is silent."""

    def __init__(self, transport: Transport, silent: bool) -> None:
        self._transport = transport
        self._silent = silent

    def received(self, data: bytes) -> None:
        if data and not self._silent:
            self._transport.send(ANSWER)

    def closed(self) -> None:
        pass


class _Request:
    """A request; records its failure."""

    def __init__(self) -> None:
        self.failure: ResponseFailure | None = None

    def payload(self) -> bytes:
        return REQUEST

    def head(self, *head: object) -> bool:
        return True

    def data(self, data: bytes) -> None:
        pass

    def end(self, *, framed: bool = True) -> None:
        pass

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        self.failure = failure


def play(
    work: Callable[[NetworkLoop], Awaitable[None]], *, silent: bool = False
) -> list[float]:
    """Do work on a network; return when connections were opened.

    :param work: the work
    :param silent: whether the server answers nothing
    """
    opened_s: list[float] = []

    async def run(loop: NetworkLoop) -> None:
        def accept(transport: Transport) -> _Serving:
            opened_s.append(loop.time())
            return _Serving(transport, silent)

        loop.listeners[ADDRESS] = accept
        await work(loop)

    assert run_in_network(run) == []
    return opened_s


class WitnessSuite:
    # An idle connection that its router closed counted as one that the
    # endpoint closes after each answer.
    def test_one_is_kept_at_a_time(self) -> None:
        async def work(loop: NetworkLoop) -> None:
            pool = Pool(*ADDRESS, loop.time)
            pool.expect_unframed()
            await asyncio.sleep(0.1)
            witness, sent_s = pool.pop_witness(loop.time()), loop.time()
            assert witness is not None
            await ask_identity(pool, REQUEST, 1.0, witness)
            pool.record_answer(sent_s, witness)
            idle_s = pool.options.idle_s
            for _ in range(20):
                pool.expect_unframed()
                pool.expire_idle()
                await asyncio.sleep(idle_s / 10)
            pool.close()

        assert len(play(work)) <= 3

    # A request was refused while a connection was kept back.
    def test_a_full_pool_has_all_its_connections(self) -> None:
        requests = [_Request() for _ in range(LIMIT)]

        async def work(loop: NetworkLoop) -> None:
            options = PoolOptions(max_connections=LIMIT)
            pool = Pool(*ADDRESS, loop.time, options=options)
            pool.expect_unframed()
            for request in requests:
                await asyncio.sleep(0.1)
                pool.send(b"GET", request)
            await asyncio.sleep(0.1)
            assert [each.failure for each in requests] == [None] * LIMIT
            pool.close()

        assert len(play(work, silent=True)) == LIMIT

    # Each sweep opened another one.
    def test_an_endpoint_that_resets_them_gets_few(self) -> None:
        opened_s: list[float] = []

        async def work(loop: NetworkLoop) -> None:
            def accept(transport: Transport) -> _Serving:
                opened_s.append(loop.time())
                transport.end(ConnectionResetError())
                return _Serving(transport, silent=True)

            loop.listeners[ADDRESS] = accept
            pool = Pool(*ADDRESS, loop.time)
            for _ in range(100):
                pool.expect_unframed()
                pool.expire_idle()
                await asyncio.sleep(0.1)
            pool.close()

        play(work)
        assert 2 <= len(opened_s) <= 6

    @pytest.mark.parametrize("broken", [False, True])
    def test_an_endpoint_that_goes_keeps_none(self, broken: bool) -> None:
        """Guards against connections that are never closed."""

        async def work(loop: NetworkLoop) -> None:
            transports: list[Transport] = []

            def accept(transport: Transport) -> _Serving:
                transports.append(transport)
                return _Serving(transport, silent=True)

            loop.listeners[ADDRESS] = accept
            pool = Pool(*ADDRESS, loop.time)
            for _ in range(3):
                pool.add_idle()
            await asyncio.sleep(0.1)
            pool.send(b"GET", _Request())
            pool.wind_down()
            await asyncio.sleep(5.0)
            still_open = [each for each in transports if not each.is_closing()]
            assert len(still_open) == 2
            busy = transports[-1]
            if broken:
                busy.end(ConnectionResetError())
            else:
                busy.send(ANSWER)
            await asyncio.sleep(0.9)
            assert not all(each.is_closing() for each in transports)
            await asyncio.sleep(0.2)
            assert all(each.is_closing() for each in transports)

        play(work)

    # What broke there late made a new pool, which kept one for good.
    def test_a_removed_endpoint_gets_none(self) -> None:
        removed_s: list[float] = []

        async def work(loop: NetworkLoop) -> None:
            front = start_router(loop).front
            entry = EndpointEntry("e-1", "llm", *ADDRESS, "z", 64)
            platformupdates.apply_entry(front, entry)
            endpoint = front.pool.by_name["e-1"]
            front.connections.pool_for(endpoint).expect_unframed()
            await asyncio.sleep(0.1)
            platformupdates.remove_endpoint(front, "e-1")
            removed_s.append(loop.time())
            processproofs.connection_broke(front, endpoint)
            for _ in range(10):
                front.connections.expire_idle()
                await asyncio.sleep(0.5)

        assert max(play(work)) < removed_s[0]
