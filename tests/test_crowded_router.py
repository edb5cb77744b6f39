"""Callers find a way into a router that many others use."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.transport.ingress import (
    ClientConnection,
    Exchange,
    Ingress,
    IngressLimits,
)

REQUEST = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """The router's end of a caller's connection."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""
        self.closed = False

    def write(self, data: Any) -> None:
        self.data += data

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True


class Crowd:
    """A router's callers and their connections."""

    def __init__(self, limit: int) -> None:
        loop = asyncio.get_running_loop()
        self.waiting: list[Exchange] = []
        self.ingress = Ingress(
            self.waiting.append, IngressLimits(connections=limit), loop.time
        )

    def connect(self) -> tuple[ClientConnection, FakeTransport]:
        connection = self.ingress.make_connection()
        transport = FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    def answer_all(self) -> None:
        for exchange in self.waiting:
            exchange.answer(429, [])
        self.waiting.clear()


class KeptConnectionsSuite:
    """Callers that keep their connections after an answer.

    Guards against a router that resets new connections since one workspace's
    callers keep as many as it may have, without a request on them.
    """

    @pytest.mark.parametrize("per_caller", [1, 3])
    def test_new_callers_are_served_beside_kept_connections(
        self, per_caller: int
    ) -> None:
        async def play() -> None:
            crowd = Crowd(limit=20)
            kept = [crowd.connect() for _ in range(20)]
            for _ in range(per_caller):
                for connection, _ in kept:
                    connection.data_received(REQUEST)
                crowd.answer_all()
            for _ in range(20):
                connection, transport = crowd.connect()
                connection.data_received(REQUEST)
                crowd.answer_all()
                assert transport.data.startswith(b"HTTP/1.1 429")
                assert not transport.closed
            assert all(transport.closed for _, transport in kept)
            assert len(crowd.ingress.connections) == 20

        assert run_virtually(play()) == []

    def test_requests_keep_their_connections(self) -> None:
        async def play() -> None:
            crowd = Crowd(limit=4)
            busy = [crowd.connect() for _ in range(3)]
            for connection, _ in busy:
                connection.data_received(REQUEST)
            half, half_transport = crowd.connect()
            half.data_received(REQUEST[:9])
            _, refused = crowd.connect()
            assert refused.closed
            half.data_received(REQUEST[9:])
            crowd.answer_all()
            for transport in [*(each[1] for each in busy), half_transport]:
                assert transport.data.startswith(b"HTTP/1.1 429")
                assert not transport.closed

        assert run_virtually(play()) == []
