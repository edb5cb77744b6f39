"""How callers of soaks read answers."""

from __future__ import annotations

import asyncio

from tests.soakendpoints import READ_BYTES
from tests.streamjudge import Answer

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], answer: Answer
) -> None:
    """Read a body as far as it comes.

    :param reader: the caller's end of the connection
    :param headers: the answer's
    :param answer: receives the body, and whether it looks complete
    """
    if "chunked" in headers.get("transfer-encoding", ""):
        answer.framing = "chunks"
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    elif "content-length" in headers:
        answer.framing = "length"
        size = int(headers["content-length"])
        answer.body = await reader.readexactly(size)
    else:
        answer.framing = "close"
        while data := await reader.read(READ_BYTES):
            answer.body += data
    answer.complete = True
