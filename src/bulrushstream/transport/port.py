"""How the callers' front talks with the task that owns the router core.

The front submits a request and reads its answer from a queue of its own.
The router's task puts each `Reply` and `Fail` effect for the request into
that queue, in the order in which the core gave them.  A queue that grows
beyond its limit belongs to a caller that reads too slowly; the front then
gives the request up, so that no caller can hold the router's memory.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Final, Protocol, TypeAlias

from bulrushstream.coordination.matching import ConfigIndex
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.request import Request

MAX_QUEUED_BYTES: Final = 4 << 20


@dataclass(frozen=True, slots=True)
class Gone:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class Overflowed:
    """The caller reads more slowly than its answer comes."""


AnswerItem: TypeAlias = Reply | FailRequest | Gone | Overflowed


class AnswerQueue:
    """One request's answer on its way to the caller."""

    _items: deque[AnswerItem]  # What the front has not read yet.
    _waiter: asyncio.Future[None] | None  # Set while the front waits.
    _queued_bytes: int  # Body bytes in the queue.
    _max_bytes: int  # The most body bytes that it may hold.
    _overflowed: bool  # Whether it held too much; nothing more enters.

    def __init__(self, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        """Make an empty queue.

        :param max_bytes: The most body bytes that may wait.
        """
        self._items = deque()
        self._waiter = None
        self._queued_bytes = 0
        self._max_bytes = max_bytes
        self._overflowed = False

    def put(self, item: AnswerItem) -> None:
        """Add the next item and wake the front.

        :param item: The item.
        """
        if self._overflowed:
            return
        if isinstance(item, Reply):
            self._queued_bytes += len(item.part.data)
        if self._queued_bytes > self._max_bytes:
            self._overflowed = True
            self._items.clear()
            item = Overflowed()
        self._items.append(item)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def next(self) -> AnswerItem:
        """Wait for the next item; only one task may wait.

        :returns: The item.
        """
        while not self._items:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._pop()

    def next_now(self) -> AnswerItem | None:
        """Return the next item if it is there already.

        :returns: The item, or None.
        """
        return self._pop() if self._items else None

    def _pop(self) -> AnswerItem:
        """Take the oldest item."""
        item = self._items.popleft()
        if isinstance(item, Reply):
            self._queued_bytes -= len(item.part.data)
        return item


class RouterPort(Protocol):
    """What the callers' front needs of the router's task."""

    def now(self) -> float:
        """Return the router's monotonic time, in seconds."""
        ...

    def config(self) -> ConfigIndex | None:
        """Return the configuration in force, or None before the first."""
        ...

    def draining(self) -> bool:
        """Return whether the router takes no new work."""
        ...

    def new_request_id(self) -> str:
        """Return an id that is unique in the fleet and over restarts."""
        ...

    def submit(self, request: Request) -> AnswerQueue:
        """Hand a request to the core.

        :param request: The request.
        :returns: Where its answer will come.
        """
        ...

    def cancel(self, request_id: str) -> None:
        """Tell the core that a caller left.

        Nothing that is put into the request's queue after this is read.

        :param request_id: The request.
        """
        ...
