"""A request whose caller has left is not passed on to an endpoint.

Guards against a router that is behind: it reads a caller's request, and only
much later that the caller has closed the connection.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum, auto

import pytest

from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits
from tests.crashfleets import CrashFleet
from tests.crashplans import CrashPlan
from tests.simulatedcallers import Caller, an_exchange
from tests.virtualnetwork import ONE_WAY_S

REQUEST = b"POST /a/ HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhi"


@dataclass
class Received:
    """What a router's handler knew of each request as it got it."""

    gone: list[bool] = field(default_factory=list)
    exchanges: list[Exchange] = field(default_factory=list)

    def handle(self, exchange: Exchange) -> None:
        self.gone.append(exchange.is_caller_gone())
        self.exchanges.append(exchange)


@asynccontextmanager
async def listening() -> AsyncIterator[tuple[Received, int]]:
    """Listen for callers; yield what is received, and the port."""
    loop = asyncio.get_running_loop()
    received = Received()
    ingress = Ingress(received.handle, IngressLimits(), loop.time)
    server = await loop.create_server(ingress.make_connection, "127.0.0.1", 0)
    try:
        yield received, server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for connection in list(ingress.connections):
            connection.abort()


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0)


def leave_by_close(caller: socket.socket) -> None:
    caller.close()


def leave_by_reset(caller: socket.socket) -> None:
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.close()


class CallersWhoLeftSuite:
    @pytest.mark.parametrize("leave", (leave_by_close, leave_by_reset))
    async def test_a_close_that_was_not_read_is_known(
        self, leave: Callable[[socket.socket], None]
    ) -> None:
        async with listening() as (received, port):
            # The event loop stands still until the caller has left.
            caller = socket.create_connection(("127.0.0.1", port))
            caller.sendall(REQUEST)
            await wait_for(lambda: bool(received.gone))
            assert received.gone == [False]
            exchange = received.exchanges[0]
            assert not exchange.is_caller_gone()
            leave(caller)
            assert exchange.is_caller_gone()

    async def test_a_request_that_is_read_after_its_caller_left(self) -> None:
        async with listening() as (received, port):
            caller = socket.create_connection(("127.0.0.1", port))
            caller.sendall(REQUEST)
            leave_by_close(caller)
            await wait_for(lambda: bool(received.gone))
            assert received.gone == [True]

    async def test_pipelined_requests_and_waiting_callers_are_there(
        self,
    ) -> None:
        async with listening() as (received, port):
            caller = socket.create_connection(("127.0.0.1", port))
            caller.sendall(REQUEST + REQUEST)
            await wait_for(lambda: bool(received.gone))
            assert not received.exchanges[0].is_caller_gone()
            caller.close()


class Stage(Enum):
    """What a request waits for as its caller leaves."""

    ROUTER = auto()  # The router stands still before it reads the request.
    CONNECTION = auto()  # A connection to the endpoint takes long.
    REFUSED = auto()  # Endpoints refuse connections.
    BROKEN = auto()  # The endpoint breaks the answer off.
    SILENT = auto()  # The endpoint does not answer; another one may.
    ORIGIN = auto()  # The version of a stream that is taken up.


BODIES = {Stage.BROKEN: b"lost", Stage.SILENT: b"crash unheard"}
SEND_S = 2.0


class LeaverFleet(CrashFleet):
    """Routers of which one gets a request whose caller leaves.

    The router does not read that the caller has left until a second later.
    """

    def __init__(self, stage: Stage, path: str, left_after_s: float) -> None:
        super().__init__(CrashPlan(background_per_s=0.1, end_s=8.0))
        self.stage = stage
        self.path = path
        self.left_s = SEND_S + left_after_s

    def schedule(self) -> None:
        super().schedule()
        self.loop.call_later(SEND_S, self._send_leaver)

    def _send_leaver(self) -> None:
        loop = self.loop
        caller = Caller()
        body = BODIES.get(self.stage, b"sound")
        exchange = an_exchange(caller, "leaver", self.path, body)
        self.requests["leaver"] = (0, b"leaver")
        exchange.arrived_s = loop.time()
        front = self.routers[0].front
        if self.stage is Stage.ORIGIN:
            front.streams.history.told(("llm",), "another router")
            exchange.headers += [(b"Last-Event-Id", b"2"), (b"Resumes", b"q")]
        elif self.stage is Stage.REFUSED:
            loop.listeners.clear()
        elif self.stage is Stage.CONNECTION:
            listeners = dict(loop.listeners)
            loop.listeners.clear()
            loop.call_later(0.5, loop.listeners.update, listeners)

        def leave() -> None:
            caller.gone = True

        def read_close() -> None:
            if not exchange.ended and exchange.on_disconnect is not None:
                exchange.on_disconnect()

        loop.call_later(self.left_s - SEND_S, leave)
        loop.call_later(self.left_s - SEND_S + 1.0, read_close)
        stalled_s = 0.5 if self.stage is Stage.ROUTER else 0.0
        loop.call_later(stalled_s, front.handle, exchange)


class StageSuite:
    """A caller leaves while its request waits, and that is read late."""

    @pytest.mark.parametrize("stage", Stage)
    @pytest.mark.parametrize("path", ("/talk/", "/safe/"))
    @pytest.mark.parametrize("left_after_s", (0.0, 0.01, 0.1, 0.4, 0.8))
    def test_nothing_is_sent_after_the_caller_left(
        self, stage: Stage, path: str, left_after_s: float
    ) -> None:
        fleet = LeaverFleet(stage, path, left_after_s)
        history = fleet.run()
        late = [
            sent
            for sent in history.sent[b"leaver"]
            if sent.at_s > fleet.left_s + 2 * ONE_WAY_S
        ]
        assert late == []
        front = fleet.routers[0].front
        assert {each.call.request_id for each in front.forwards} == set()
