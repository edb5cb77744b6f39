"""The HTTP server stops without cutting answers, and crashes on demand."""

from __future__ import annotations

import asyncio
from typing import Any

import httpx
import pytest

from bulrushstream.transport.server import Server, ServerLimits, serve


class SlowApp:
    """An app whose answer ends only when it is told to."""

    def __init__(self) -> None:
        self.began = asyncio.Event()
        self.may_end = asyncio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await receive()
        await send(
            {"type": "http.response.start", "status": 200, "headers": []}
        )
        await send(
            {"type": "http.response.body", "body": b"a", "more_body": True}
        )
        self.began.set()
        await self.may_end.wait()
        await send({"type": "http.response.body", "body": b"b"})


async def start(app: Any) -> Server:
    server = Server(app, "127.0.0.1", 0, ServerLimits())
    await server.start()
    return server


class ServerSuite:
    async def test_stop_waits_for_running_answers(self) -> None:
        app = SlowApp()
        server = await start(app)
        async with httpx.AsyncClient(verify=False) as client:
            call = asyncio.ensure_future(client.get(server.url))
            await app.began.wait()
            stop = asyncio.ensure_future(server.stop(grace_s=60.0))
            await asyncio.sleep(0)
            with pytest.raises(httpx.ConnectError):
                await client.get(server.url)
            app.may_end.set()
            answer = await call
            await stop
        assert answer.content == b"ab"
        assert server.open_connections == 0

    async def test_stop_cuts_what_outlasts_its_grace(self) -> None:
        app = SlowApp()
        server = await start(app)
        async with httpx.AsyncClient(verify=False) as client:
            call = asyncio.ensure_future(client.get(server.url))
            await app.began.wait()
            await server.stop(grace_s=0.0)
            with pytest.raises(httpx.HTTPError):
                await call

    async def test_crash_refuses_and_comes_back_on_its_port(self) -> None:
        app = SlowApp()
        app.may_end.set()
        server = await start(app)
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

    async def test_taken_port_is_told(self) -> None:
        async with serve(SlowApp()) as server:
            other = Server(SlowApp(), "127.0.0.1", server.port, server.limits)
            with pytest.raises(OSError, match="in use"):
                await other.start()
