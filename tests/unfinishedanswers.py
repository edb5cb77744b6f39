"""A process that answers callers until it is killed; prints its port.

The path tells how far it gets: `/part` begins an answer, `/whole` ends it,
and `/large` ends one that its caller does not read at once.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Final

from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits

PIECE: Final = b"a piece of the body"
LARGE_BYTES: Final = 900_000


def answer(exchange: Exchange) -> None:
    writer = exchange.begin(200, [], None)
    large = exchange.target == b"/large"
    writer.write(b"x" * LARGE_BYTES if large else PIECE)
    if exchange.target != b"/part":
        writer.finish()


async def serve() -> None:
    loop = asyncio.get_running_loop()
    ingress = Ingress(answer, IngressLimits(), loop.time)
    server = await loop.create_server(ingress.make_connection, "127.0.0.1", 0)
    # The process, and not the kernel, keeps what the caller does not read.
    server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve())
