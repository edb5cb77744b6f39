"""Waiting requests, one queue per service and workspace.

A queue is ordered by *rank*: the arrival time, plus a constant handicap for
batch requests.  A batch request that has waited longer than the handicap is
served before an interactive one that has just arrived (*aging*).  Since the
rank of a request never changes, queues need no re-sorting as time passes.

A fit function rates how well each of the first few requests suits the agent
that asks for work.  A request with a better fit may overtake others of the
same class, but the head of a queue is overtaken only a bounded number of
times.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Final, TypeAlias

from sortedcontainers import SortedDict

from bulrushstream.state.request import Request, RequestClass

ENTRY_OVERHEAD_BYTES: Final = 1024


class Fit(IntEnum):
    """How well a request suits the agent that would run it."""

    WARM = 0  # The agent's cache holds the request's prefix.
    NEUTRAL = 1  # The agent may run it.
    AVOID = 2  # The agent must not run it at present.


FitFunction: TypeAlias = Callable[[Request], Fit]
Rank: TypeAlias = tuple[float, int]


@dataclass(frozen=True, slots=True, order=True)
class QueueKey:
    """Identifies one queue."""

    service: str
    workspace: str


@dataclass(frozen=True, slots=True)
class QueueCounts:
    """Number and size of the requests in one queue."""

    interactive: int = 0
    batch: int = 0
    size_bytes: int = 0  # Estimated memory use, see `memory_bytes`.

    @property
    def total(self) -> int:
        """Return the number of waiting requests."""
        return self.interactive + self.batch


EMPTY_COUNTS: Final = QueueCounts()


def neutral_fit(request: Request) -> Fit:
    """Rate every request as neutral."""
    del request
    return Fit.NEUTRAL


def memory_bytes(request: Request) -> int:
    """Return an estimate of the memory that a waiting request takes."""
    headers = sum(len(name) + len(text) for name, text in request.headers)
    return ENTRY_OVERHEAD_BYTES + len(request.body) + headers


class _Entry:
    """One waiting request."""

    request: Request
    rank: Rank
    skips: int  # How often it was overtaken while at the head.

    __slots__ = ("rank", "request", "skips")

    def __init__(self, request: Request, rank: Rank) -> None:
        self.request = request
        self.rank = rank
        self.skips = 0


class _Queue:
    """The requests of one service and workspace."""

    entries: SortedDict[Rank, _Entry]
    interactive: int  # Number of interactive requests among them.
    size_bytes: int  # Estimated memory use.

    __slots__ = ("entries", "interactive", "size_bytes")

    def __init__(self) -> None:
        self.entries = SortedDict()
        self.interactive = 0
        self.size_bytes = 0

    def adjust_counts(self, request: Request, sign: int) -> None:
        """Add a request to the counts (sign 1) or subtract it (sign -1)."""
        if request.request_class is RequestClass.INTERACTIVE:
            self.interactive += sign
        self.size_bytes += sign * memory_bytes(request)


class QueueTable:
    """All waiting requests of a router."""

    aging_s: float  # The handicap of batch requests.
    scan_limit: int  # Number of requests searched for a better fit.
    max_skips: int  # How often the head may be overtaken.
    size_bytes: int  # Estimated memory use of all waiting requests.

    def __init__(
        self, aging_s: float = 30.0, scan_limit: int = 16, max_skips: int = 8
    ) -> None:
        self.aging_s = aging_s
        self.scan_limit = scan_limit
        self.max_skips = max_skips
        self.size_bytes = 0
        self._queues: dict[QueueKey, _Queue] = {}
        self._locations: dict[str, tuple[QueueKey, Rank]] = {}
        self._push_count = 0
        self._service_counts: dict[str, int] = {}
        self._service_keys: dict[str, dict[QueueKey, None]] = {}

    def __len__(self) -> int:
        return len(self._locations)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._locations

    def push(self, request: Request) -> None:
        """Insert a request by its rank.

        A request that is requeued after a refused dispatch keeps its arrival
        time and so returns to its former position.

        :param request: a request that is not in the table
        """
        key = QueueKey(request.service, request.workspace)
        rank = self._rank(request)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue()
            self._service_keys.setdefault(key.service, {})[key] = None
        queue.entries[rank] = _Entry(request, rank)
        queue.adjust_counts(request, 1)
        self._locations[request.request_id] = (key, rank)
        self.size_bytes += memory_bytes(request)
        waiting = self._service_counts.get(request.service, 0)
        self._service_counts[request.service] = waiting + 1

    def pop(
        self, key: QueueKey, fit: FitFunction = neutral_fit
    ) -> Request | None:
        """Remove and return the next request of a queue.

        :param key: the queue
        :param fit: rates how well a request suits the agent
        :returns: the request, or None if none is suitable
        """
        queue = self._queues.get(key)
        if queue is None:
            return None
        entry = self._select(queue, fit)
        if entry is None:
            return None
        return self.remove(entry.request.request_id)

    def remove(self, request_id: str) -> Request | None:
        """Remove a request from its queue.

        :param request_id: the request
        :returns: the request, or None if it is not in the table
        """
        location = self._locations.pop(request_id, None)
        if location is None:
            return None
        key, rank = location
        queue = self._queues[key]
        entry: _Entry = queue.entries.pop(rank)
        request = entry.request
        queue.adjust_counts(request, -1)
        if not queue.entries:
            del self._queues[key]
            del self._service_keys[key.service][key]
        self.size_bytes -= memory_bytes(request)
        self._service_counts[key.service] -= 1
        return request

    def counts(self, key: QueueKey) -> QueueCounts:
        """Return number and size of the requests in a queue."""
        queue = self._queues.get(key)
        if queue is None:
            return EMPTY_COUNTS
        batch = len(queue.entries) - queue.interactive
        return QueueCounts(queue.interactive, batch, queue.size_bytes)

    def service_count(self, service: str) -> int:
        """Return the number of waiting requests of a service."""
        return self._service_counts.get(service, 0)

    def queue_keys(self) -> Iterator[QueueKey]:
        """Return the keys of all queues; none of them is empty."""
        return iter(self._queues)

    def service_keys(self, service: str) -> Iterator[QueueKey]:
        """Return the keys of a service's queues; none of them is empty."""
        return iter(self._service_keys.get(service, ()))

    def head_arrival_s(self, key: QueueKey) -> float | None:
        """Return the arrival time of a queue's head; None if it is empty."""
        queue = self._queues.get(key)
        if queue is None:
            return None
        return _entry_at(queue, 0).request.arrived_s

    def peek_last(self, key: QueueKey) -> Request | None:
        """Return the request with the highest rank, which is served last."""
        queue = self._queues.get(key)
        if queue is None:
            return None
        return _entry_at(queue, -1).request

    def _rank(self, request: Request) -> Rank:
        self._push_count += 1
        if request.request_class is RequestClass.INTERACTIVE:
            return (request.arrived_s, self._push_count)
        return (request.arrived_s + self.aging_s, self._push_count)

    def _select(self, queue: _Queue, fit: FitFunction) -> _Entry | None:
        head = _entry_at(queue, 0)
        head_fit = fit(head.request)
        if head_fit is Fit.WARM:
            return head
        if head_fit is Fit.NEUTRAL and head.skips >= self.max_skips:
            return head
        chosen = _best_entry(queue, fit, head, self.scan_limit)
        if chosen is not None and chosen is not head:
            head.skips += 1
        return chosen


def _entry_at(queue: _Queue, index: int) -> _Entry:
    """Return the entry at an index of a non-empty queue."""
    entry: _Entry = queue.entries.peekitem(index)[1]
    return entry


def _best_entry(
    queue: _Queue, fit: FitFunction, head: _Entry, scan_limit: int
) -> _Entry | None:
    """Return the entry with the best fit among the first `scan_limit` ones.

    None is returned if all of them are to be avoided.
    """
    best: _Entry | None = None
    best_fit = Fit.AVOID
    for rank in queue.entries.islice(0, scan_limit):
        entry: _Entry = queue.entries[rank]
        # A warm request of another class must not overtake the head; it is
        # chosen only if the head is to be avoided.
        same_class = entry.request.request_class is head.request.request_class
        entry_fit = fit(entry.request)
        if entry_fit is Fit.WARM and not same_class:
            entry_fit = Fit.NEUTRAL
        if entry_fit < best_fit:
            best, best_fit = entry, entry_fit
    return best
