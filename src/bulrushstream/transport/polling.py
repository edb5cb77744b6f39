"""Asks the kernel what became of a connection that the loop did not read yet.

A loop that is behind reads bytes, and the peer's end, seconds late.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from typing import Final

# What the kernel reports of a connection that the peer has closed.
CLOSED_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR

# The same of one with unread bytes, or that has ended.
UNREAD_EVENTS: Final = select.POLLIN


def has_events(transport: asyncio.BaseTransport, events: int) -> bool:
    """Return whether the kernel reports any of some events.

    :param transport: the connection; one without a socket has no events
    :param events: a mask of the events; errors always count
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poller = select.poll()
    poller.register(sock, events)
    return bool(poller.poll(0))


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer's kernel has not confirmed.

    :param transport: the connection; one without a socket has only bytes
        that the kernel did not take
    """
    kept_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    return kept_bytes + (unconfirmed_bytes(sock) if sock is not None else 0)


def unconfirmed_bytes(sock: socket.socket) -> int:
    """Return how many bytes the kernel keeps until the peer's confirms them.

    The end of a connection confirms all that came before it.

    :param sock: the connection's socket
    """
    size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return int(struct.unpack("i", size)[0])
