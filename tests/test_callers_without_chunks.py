"""Callers of HTTP/1.0, at the project's own interface.

Guards against an answer that only the end of its connection ends, as the end
of a killed router looks the same.
"""

from __future__ import annotations

import asyncio
import re

import pytest

from bulrushstream.transport import answering
from tests.builders import chat_body
from tests.fronts import BEARER, FakePort, serve_front
from tests.test_callers import CHAT, EVENTS, answer_items

STREAM = "text/event-stream"
LONG = [bytes(200_000)] * 3


async def ask(chunks: list[bytes], kind: str) -> tuple[bytes, bytes]:
    """Send a request; return the head and the body of the answer."""
    port = FakePort(lambda request: answer_items(chunks, kind))
    body = chat_body("hello", stream=kind == STREAM)
    async with serve_front(port) as (_, server):
        reader, writer = await asyncio.open_connection(
            server.host, server.port
        )
        head = (
            f"POST {CHAT} HTTP/1.0\r\nhost: x\r\n"
            f"authorization: {BEARER['Authorization']}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        answer = await reader.read()
        writer.close()
    found, _, rest = answer.partition(b"\r\n\r\n")
    return found, rest


class WithoutChunksSuite:
    @pytest.mark.parametrize(
        ("chunks", "kind"), [(EVENTS, STREAM), (LONG, "text/plain")]
    )
    async def test_answers_have_a_length(
        self, chunks: list[bytes], kind: str
    ) -> None:
        head, body = await ask(chunks, kind)
        length = re.search(rb"content-length: (\d+)", head)
        assert b" 200 " in head
        assert length is not None
        assert int(length[1]) == len(body)
        assert len(body) >= sum(map(len, chunks))

    async def test_answers_that_are_too_long_are_no_success(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(answering, "MAX_WHOLE_BYTES", 300_000)
        head, _ = await ask(LONG, "text/plain")
        assert b" 502 " in head
        assert b"content-length" in head
