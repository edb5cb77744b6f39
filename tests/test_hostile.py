"""Callers that send malformed, endless or too much input."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from functools import partial

import pytest
import pytest_asyncio

from tests.deployments import (
    Deployment,
    deploy,
    read_response,
    request_bytes,
    send_request,
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
    await deployment.wait_until_ready(1)
    yield deployment
    await deployment.stop()


async def send_until_closed(deployment: Deployment, raw: bytes) -> bytes:
    """Send bytes; return all that arrives until the router closes."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", deployment.port
    )
    writer.write(raw)
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    return answer


class CallerSuite:
    async def test_an_incomplete_head_times_out(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.header_timeout_s = 0.1
        answer = await send_until_closed(
            fleet, b"GET /safe/x HTTP/1.1\r\nHost: a\r\n"
        )
        assert answer.startswith(b"HTTP/1.1 408")

    async def test_an_incomplete_body_times_out(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.idle_timeout_s = 0.1
        head = request_bytes(
            "/once/x", method="POST", headers="Content-Length: 9"
        )
        answer = await send_until_closed(fleet, head + b"abc")
        assert answer.startswith(b"HTTP/1.1 408")
        assert not fleet.workers["d-1"].received

    async def test_an_idle_connection_is_closed(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.idle_timeout_s = 0.1
        assert await send_until_closed(fleet, request_bytes("/safe/x")) != b""

    async def test_a_chunked_body_above_the_limit_is_refused(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.body_bytes = 1000
        head = request_bytes(
            "/once/x",
            method="POST",
            headers="Transfer-Encoding: chunked",
        )
        chunk = b"64\r\n" + b"a" * 100 + b"\r\n"
        answer = await send_until_closed(fleet, head + chunk * 50)
        assert answer.startswith(b"HTTP/1.1 413")
        assert not fleet.workers["d-1"].received

    @pytest.mark.parametrize(
        ("flood", "status", "reason"),
        [
            (b"0\r\nx: " + b"x" * 700_000, b"431", "framing"),
            (b"0\r\n" + b"xy: z\r\n" * 100_000, b"431", "headers"),
            (b"1;" + b"x" * 700_000, b"400", "framing"),
            (b"3e8\r\n%b\r\n" % (b"x" * 1000) * 700, b"413", "body"),
        ],
    )
    @pytest.mark.parametrize("listener", [0, 1, 2])
    async def test_who_sends_too_much_gets_an_answer_and_is_counted(
        self,
        fleet: Deployment,
        listener: int,
        flood: bytes,
        status: bytes,
        reason: str,
    ) -> None:
        """Guards against a reset that takes the answer with it."""
        front = fleet.process.front
        front.limits.body_bytes = 1000
        head = request_bytes(
            "/once/x",
            method="POST",
            headers="Transfer-Encoding: chunked",
        )
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fleet.process.ports[listener]
        )
        # Those of the service port have the default limit.
        large = listener > 0 and reason == "body"
        writer.write(head + flood * (7 if large else 1))
        try:
            async with asyncio.timeout(5):
                answer = await reader.read()
        finally:
            writer.transport.abort()
        assert answer.startswith(b"HTTP/1.1 " + status)
        peer = "operator" if listener else "caller"
        counter = front.metrics.excess.labels(peer, reason)
        assert counter._value.get() == 1
        await fleet.wait_until(lambda: front.memory.used_bytes == 0)

    @pytest.mark.parametrize(
        "raw",
        [
            request_bytes("/safe/x", headers="X-A: b\r\n X-Tenant: other"),
            request_bytes("/safe/x", headers="X-Tenant : other"),
            request_bytes("/safe/x", headers="X-A: b\rX-Tenant: other"),
            request_bytes("/safe/x", headers="X-A: b\nX-Tenant: other"),
            request_bytes("/safe/x", headers="Transfer-Encoding: xchunked"),
            request_bytes(
                "/safe/x", headers="Transfer-Encoding: chunked, identity"
            ),
            request_bytes("/safe/x", headers="Content-Length: +3", body=""),
            request_bytes("/safe/x", headers="Content-Length: 0x3", body=""),
            request_bytes("/safe/x", headers="Authorization: Bearer other"),
            request_bytes("/safe/x", headers="Host: other.example"),
            request_bytes("http://other.example/safe/x"),
            request_bytes("/safe/x y"),
            request_bytes("/safe/x").replace(b"HTTP/1.1", b"HTTP/3.7"),
        ],
    )
    async def test_requests_that_parsers_read_differently_are_refused(
        self, fleet: Deployment, raw: bytes
    ) -> None:
        answer = await send_until_closed(fleet, raw)
        assert answer.startswith(b"HTTP/1.1 400")
        assert not fleet.workers["d-1"].received

    async def test_a_request_inside_a_body_is_not_run(
        self, fleet: Deployment
    ) -> None:
        inner = request_bytes("/once/x", "smuggled", method="POST").decode()
        raw = request_bytes("/once/x", "outer", method="POST", body=inner)
        status, _, _ = await send_request(fleet, raw)
        assert status == 200
        assert list(fleet.workers["d-1"].runs) == ["outer"]
        assert fleet.workers["d-1"].received[0][3] == inner.encode()

    async def test_connections_above_the_limit_are_closed(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.connections = 3
        writers = []
        for _ in range(3):
            _, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
            writer.write(b"GET /safe/x")
            writers.append(writer)
        ingress = fleet.process.front.ingress
        await fleet.wait_until(
            lambda: sum(each.receiving for each in ingress.connections) == 3
        )
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await send_request(fleet, request_bytes("/safe/x"))
        for writer in writers:
            writer.close()
        await fleet.wait_until(lambda: not ingress.connections)
        status, _, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert status == 200

    async def test_idle_connections_make_room_within_the_limit(
        self, fleet: Deployment
    ) -> None:
        fleet.process.front.limits.connections = 3
        ingress = fleet.process.front.ingress
        callers = []
        for count in range(1, 4):
            callers.append(
                await asyncio.open_connection("127.0.0.1", fleet.port)
            )
            await fleet.wait_until(
                partial(lambda n: len(ingress.connections) == n, count)
            )
        status, _, _ = await send_request(fleet, request_bytes("/safe/x"))
        assert status == 200
        async with asyncio.timeout(5):
            assert await callers[0][0].read() == b""
        assert len(ingress.connections) <= 3
        assert not callers[1][0].at_eof()
        for _, writer in callers:
            writer.close()

    async def test_a_caller_that_does_not_read_delays_no_other(
        self, fleet: Deployment
    ) -> None:
        _, stalled_writer = await asyncio.open_connection(
            "127.0.0.1", fleet.port
        )
        stalled_writer.write(request_bytes("/safe/x", "lazy") * 8)
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
        writer.write(request_bytes("/safe/x"))
        status, _, _ = await read_response(reader)
        assert status == 200
        stalled_writer.close()
        writer.close()
