"""Callers, endpoints and store records that mean harm."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests.deployments import (
    Deployment,
    ask,
    deploy,
    read_answer,
    request,
    wire_config,
    wire_route,
)

CONFIG = wire_config(
    wire_route("/safe/", "desk", "idempotent"),
    wire_route("/once/", "desk", "non_idempotent", maxAttempts=1),
)


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[Deployment]:
    """Return a router with one worker."""
    deployment = await deploy(CONFIG)
    await deployment.add("d-1")
    await deployment.until_ready(1)
    yield deployment
    await deployment.stop()


async def closes(deployment: Deployment, raw: bytes) -> bytes:
    """Send bytes; return what came until the router closed."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", deployment.port
    )
    writer.write(raw)
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    return answer


class CallerSuite:
    async def test_a_head_that_never_ends_is_given_up(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.header_timeout_s = 0.1
        answer = await closes(fleet, b"GET /safe/x HTTP/1.1\r\nHost: a\r\n")
        assert answer.startswith(b"HTTP/1.1 408")

    async def test_a_body_that_never_ends_is_given_up(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.idle_timeout_s = 0.1
        head = request("/once/x", method="POST", more="Content-Length: 9")
        answer = await closes(fleet, head + b"abc")
        assert answer.startswith(b"HTTP/1.1 408")
        assert not fleet.workers["d-1"].received

    async def test_a_silent_connection_is_closed(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.idle_timeout_s = 0.1
        assert await closes(fleet, request("/safe/x")) != b""

    async def test_endless_chunks_are_bounded(self, fleet: Deployment) -> None:
        fleet.process.front.limits.body_bytes = 1000
        head = request(
            "/once/x", method="POST", more="Transfer-Encoding: chunked"
        )
        chunk = b"64\r\n" + b"a" * 100 + b"\r\n"
        answer = await closes(fleet, head + chunk * 50)
        assert answer.startswith(b"HTTP/1.1 413")
        assert not fleet.workers["d-1"].received

    @pytest.mark.parametrize(
        "raw",
        [
            request("/safe/x", more="X-A: b\r\n X-Tenant: other"),
            request("/safe/x", more="X-Tenant : other"),
            request("/safe/x", more="X-A: b\rX-Tenant: other"),
            request("/safe/x", more="X-A: b\nX-Tenant: other"),
            request("/safe/x", more="Transfer-Encoding: xchunked"),
            request("/safe/x", more="Transfer-Encoding: chunked, identity"),
            request("/safe/x", more="Content-Length: +3", body=""),
            request("/safe/x", more="Content-Length: 0x3", body=""),
            request("/safe/x", more="Authorization: Bearer other"),
            request("/safe/x", more="Host: other.example"),
            request("http://other.example/safe/x"),
            request("/safe/x y"),
            request("/safe/x").replace(b"HTTP/1.1", b"HTTP/3.7"),
        ],
    )
    async def test_what_two_readers_could_read_differently_is_refused(
        self, fleet: Deployment, raw: bytes
    ) -> None:
        answer = await closes(fleet, raw)
        assert answer.startswith(b"HTTP/1.1 400")
        assert not fleet.workers["d-1"].received

    async def test_nothing_is_smuggled_behind_a_body(
        self, fleet: Deployment
    ) -> None:
        inner = request("/once/x", "smuggled", method="POST").decode()
        raw = request("/once/x", "outer", method="POST", body=inner)
        status, _, _ = await ask(fleet, raw)
        assert status == 200
        assert list(fleet.workers["d-1"].runs) == ["outer"]
        assert fleet.workers["d-1"].received[0][3] == inner.encode()

    async def test_too_many_connections_are_turned_away(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.connections = 3
        writers = []
        for _ in range(3):
            _, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
            writers.append(writer)
        ingress = fleet.process.front.ingress
        await fleet.until(lambda: len(ingress.connections) == 3)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await ask(fleet, request("/safe/x"))
        for writer in writers:
            writer.close()
        await fleet.until(lambda: not ingress.connections)
        status, _, _ = await ask(fleet, request("/safe/x"))
        assert status == 200

    async def test_a_caller_that_does_not_read_holds_nobody_up(
        self, fleet: Deployment
    ) -> None:
        _, lazy = await asyncio.open_connection("127.0.0.1", fleet.port)
        lazy.write(request("/safe/x", "lazy") * 8)
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
        writer.write(request("/safe/x"))
        status, _, _ = await read_answer(reader)
        assert status == 200
        lazy.close()
        writer.close()
