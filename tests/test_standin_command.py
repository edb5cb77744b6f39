"""The stand-in command serves until it receives a signal."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from bulrushstream.commands.standin import serve_until_stopped
from bulrushstream.standins.plain import make_plain


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
async def test_stops_at_a_signal(
    number: int, capsys: pytest.CaptureFixture[str]
) -> None:
    app = make_plain().asgi
    task = asyncio.ensure_future(
        serve_until_stopped("service", app, "127.0.0.1", 0)
    )
    printed = ""
    while "listens at http://127.0.0.1:" not in printed:
        await asyncio.sleep(0)
        printed += capsys.readouterr().out
    os.kill(os.getpid(), number)
    await task
