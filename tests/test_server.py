"""The HTTP server: graceful stop, forced stop, simulated crash."""

from __future__ import annotations

import asyncio
from typing import Any

import httpx
import pytest

from bulrushstream.transport.server import Server, ServerLimits, serve


class PausedApp:
    """An app that finishes its answer when `may_end` is set."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.may_end = asyncio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await receive()
        await send(
            {"type": "http.response.start", "status": 200, "headers": []}
        )
        await send(
            {"type": "http.response.body", "body": b"a", "more_body": True}
        )
        self.started.set()
        await self.may_end.wait()
        await send({"type": "http.response.body", "body": b"b"})


async def start_server(app: Any) -> Server:
    server = Server(app, "127.0.0.1", 0, ServerLimits())
    await server.start()
    return server


class ServerSuite:
    async def test_stop_waits_for_running_answers(self) -> None:
        app = PausedApp()
        server = await start_server(app)
        async with httpx.AsyncClient(verify=False) as client:
            call = asyncio.ensure_future(client.get(server.url))
            await app.started.wait()
            stop = asyncio.ensure_future(server.stop(grace_s=60.0))
            await asyncio.sleep(0)
            with pytest.raises(httpx.ConnectError):
                await client.get(server.url)
            app.may_end.set()
            answer = await call
            await stop
        assert answer.content == b"ab"
        assert server.open_connections == 0

    async def test_stop_aborts_answers_after_the_grace_period(self) -> None:
        app = PausedApp()
        server = await start_server(app)
        async with httpx.AsyncClient(verify=False) as client:
            call = asyncio.ensure_future(client.get(server.url))
            await app.started.wait()
            await server.stop(grace_s=0.0)
            with pytest.raises(httpx.HTTPError):
                await call

    async def test_crashed_server_listens_again_on_its_port(self) -> None:
        app = PausedApp()
        app.may_end.set()
        server = await start_server(app)
        port = server.port
        server.crash(down_s=0.0)
        async with httpx.AsyncClient(verify=False) as client:
            with pytest.raises(httpx.ConnectError):
                await client.get(server.url)
            while not server.listening:
                await asyncio.sleep(0)
            answer = await client.get(server.url)
        assert (answer.content, server.port) == (b"ab", port)
        await server.stop()

    async def test_port_in_use_raises_an_error(self) -> None:
        async with serve(PausedApp()) as server:
            other = Server(
                PausedApp(), "127.0.0.1", server.port, server.limits
            )
            with pytest.raises(OSError, match="in use"):
                await other.start()
