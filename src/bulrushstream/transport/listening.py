"""Listening sockets that do not hold up the event loop.

In each iteration, an event loop accepts as many connections as its queue of
connections may hold, before it turns to any other socket.  When many callers
connect at once, an iteration then takes seconds.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

# Connections accepted in one iteration of the event loop.
ACCEPTS_PER_ITERATION: Final = 16

# Connections that the kernel queues.
QUEUED_CONNECTIONS: Final = 1024


async def open_listener(
    loop: asyncio.AbstractEventLoop,
    make_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
) -> asyncio.Server:
    """Listen for connections.

    :param loop: the event loop
    :param make_protocol: returns the protocol of a new connection
    :param host: the IP address to listen on
    :param port: the port to listen on; 0: any
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        server = await loop.create_server(
            make_protocol, sock=sock, backlog=ACCEPTS_PER_ITERATION
        )
    except OSError:
        sock.close()
        raise
    # The event loop uses one number for both limits.
    sock.listen(QUEUED_CONNECTIONS)
    return server
