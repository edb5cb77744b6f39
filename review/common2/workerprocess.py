"""A worker as a process of its own, so that it can be killed.

`python3 workerprocess.py NAME` prints its port and the requests that it runs.
What a request asks for stands in its query: `size` of the body, `framed` 0
for one that ends with its connection, `first` bytes that are written at once,
and `rest_s` until the others are.
"""

from __future__ import annotations

import asyncio
import sys
from urllib.parse import parse_qs, urlsplit

from smallfleet import Got, head, own_answer, read_request


def body_of(request_id: str, size: int) -> bytes:
    """Return the body that belongs to a request.

    :param request_id: its id
    :param size: the body's size
    """
    text = f"{request_id} of {size};"
    return (text * (size // len(text) + 1))[:size].encode()


async def answer(got: Got, writer: asyncio.StreamWriter) -> bool:
    """Answer a request; return whether the connection is kept.

    :param got: the request
    :param writer: its connection
    """
    values = parse_qs(urlsplit(got.path).query)
    query = {name: each[0] for name, each in values.items()}
    size = int(query["size"])
    framed = query.get("framed", "1") == "1"
    first = int(query.get("first", size))
    body = body_of(got.id, size)
    extra = [] if framed else [("Connection", "close")]
    length = size if framed else None
    writer.write(head(200, got, extra=extra, length=length) + body[:first])
    if first < size:
        await asyncio.sleep(float(query["rest_s"]))
        writer.write(body[first:])
    await writer.drain()
    return framed


async def main(name: str) -> None:
    """Serve until the process is killed.

    :param name: the worker's id
    """

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (got := await read_request(reader)) is not None:
                own = own_answer(name, got)
                if own is not None:
                    writer.write(own)
                    continue
                print(f"run {got.id}", flush=True)
                if not await answer(got, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", 0)
    print(f"port {server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
