"""The interface between the callers' front and the router core's task.

The front submits a request and reads its answer from a queue per request.
The router's task puts each `Reply` and `FailRequest` effect for the
request into that queue, in the order in which the core returned them.  If
a queue exceeds its limit because the caller reads too slowly, the front
cancels the request, so that no caller can exhaust the router's memory.  All
queues together have a limit, too, at which the largest one ends.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Final, Protocol, TypeAlias

from bulrushstream.coordination.matching import ConfigIndex
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.memorybudget import Account, MemoryBudget
from bulrushstream.state.request import Request

MAX_QUEUED_BYTES: Final = 4 << 20


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class Overflowed:
    """The caller reads its answer too slowly; the queue was cleared."""


AnswerItem: TypeAlias = Reply | FailRequest | Disconnected | Overflowed


class AnswerQueue:
    """The queue of one request's answer."""

    _items: deque[AnswerItem]  # Not read by the front yet.
    _waiter: asyncio.Future[None] | None  # Set while next() waits.
    _queued_bytes: int  # Body bytes in the queue.
    _held_bytes: int  # Body bytes that the front read and still keeps.
    _account: Account  # All of these.
    _max_bytes: int  # The limit of queued body bytes.
    _overflowed: bool  # If set, further items are dropped.

    def __init__(
        self,
        max_bytes: int = MAX_QUEUED_BYTES,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Make an empty queue.

        :param max_bytes: The limit of queued body bytes.
        :param budget: The limit of all queues; None: this one has its own.
        """
        budget = budget or MemoryBudget(2 * max_bytes)
        self._account = budget.open(self._overflow)
        self._held_bytes = 0
        self._items = deque()
        self._waiter = None
        self._queued_bytes = 0
        self._max_bytes = max_bytes
        self._overflowed = False

    def put(self, item: AnswerItem) -> None:
        """Append an item and wake the front.

        :param item: The item.
        """
        if self._overflowed:
            return
        if isinstance(item, Reply):
            self._queued_bytes += len(item.part.data)
        if self._queued_bytes > self._max_bytes:
            self._overflow()
            return
        self._items.append(item)
        self._wake()
        self._count()

    def hold(self, size_bytes: int) -> None:
        """Count bytes that the front read and still keeps.

        :param size_bytes: The number of bytes.
        """
        self._held_bytes = size_bytes
        self._count()

    def close(self) -> None:
        """Drop what is in the queue, and all further items."""
        self._overflowed = True
        self._items.clear()
        self._account.resize(0)

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

    def next_nowait(self) -> AnswerItem | None:
        """Return the next item without waiting.

        :returns: The item; None: the queue is empty.
        """
        return self._pop() if self._items else None

    def _pop(self) -> AnswerItem:
        """Remove and return the oldest item."""
        item = self._items.popleft()
        if isinstance(item, Reply):
            self._queued_bytes -= len(item.part.data)
            self._count()
        return item

    def _overflow(self) -> None:
        """Clear the queue, and tell the front that it overflowed."""
        self.close()
        self._items.append(Overflowed())
        self._wake()

    def _wake(self) -> None:
        """Wake the front if it waits."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _count(self) -> None:
        """Count the bytes; this may end the largest queue."""
        if not self._overflowed:
            self._account.resize(self._queued_bytes + self._held_bytes)


class RouterPort(Protocol):
    """The functions of the router's task that the callers' front uses."""

    def now(self) -> float:
        """Return the router's monotonic time, in seconds."""
        ...

    def config(self) -> ConfigIndex | None:
        """Return the current configuration, or None before the first."""
        ...

    def draining(self) -> bool:
        """Return whether the router refuses new work."""
        ...

    def new_request_id(self) -> str:
        """Return an id that is unique in the fleet and across restarts."""
        ...

    def submit(self, request: Request) -> AnswerQueue:
        """Submit a request to the core.

        :param request: The request.
        :returns: The queue of its answer.
        """
        ...

    def cancel(self, request_id: str) -> None:
        """Report to the core that a caller disconnected.

        Items that are put into the queue after this are not read.

        :param request_id: The request.
        """
        ...
