"""Endpoints of soaks end as processes do.

Guards against an ended endpoint that still answers on a connection, which
looks like a proof that it lives, and streams that look whole for that.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from tests.soakendpoints import HOST_IP, Endpoint, Runs


class EndedEndpointSuite:
    @pytest.mark.parametrize("turns", range(8))
    async def test_it_answers_nothing(self, turns: int) -> None:
        """Guards against connections that were just accepted."""
        endpoint = Endpoint("e-1", 1, Runs(1))
        await endpoint.start()
        loop = asyncio.get_running_loop()
        with socket.create_connection((HOST_IP, endpoint.port)) as caller:
            caller.setblocking(False)
            # The endpoint accepts the connection in these turns of the loop.
            for _ in range(turns):
                await asyncio.sleep(0)
            endpoint.end()
            answer = b""
            with contextlib.suppress(ConnectionError, TimeoutError):
                caller.send(b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
                async with asyncio.timeout(0.3):
                    answer = await loop.sock_recv(caller, 65_536)
        assert answer == b""
