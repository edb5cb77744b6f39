"""Asks the kernel what became of a connection that the loop did not read yet.

A loop that is behind reads bytes, and the peer's end, seconds late.
"""

from __future__ import annotations

import asyncio
import select
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
