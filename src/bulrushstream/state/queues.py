"""Waiting requests, one queue per service and workspace.

A queue is ordered by *rank*: the time of arrival, plus a handicap for
batch requests.  The rank of a request never changes, so a batch request
that has waited for the handicap goes before an interactive one that only
just arrived (*aging*), and nothing has to be sorted again as time passes.

Whoever takes a request tells how well each of the first few suits it (its
*fit*).  A request with a better fit may pass others of the same class, but
the head of the queue is passed only a bounded number of times.
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
    NEUTRAL = 1  # Nothing speaks for or against the agent.
    AVOID = 2  # The request is not for this agent now.


FitFunction: TypeAlias = Callable[[Request], Fit]
Rank: TypeAlias = tuple[float, int]


@dataclass(frozen=True, slots=True, order=True)
class QueueKey:
    """Names one queue."""

    service: str  # The service that the requests are for.
    workspace: str  # Whose requests they are.


@dataclass(frozen=True, slots=True)
class QueueCounts:
    """How much waits in one queue."""

    interactive: int = 0  # Waiting interactive requests.
    batch: int = 0  # Waiting batch requests.
    size_bytes: int = 0  # Memory that the requests take.

    @property
    def total(self) -> int:
        """Return how many requests wait."""
        return self.interactive + self.batch


EMPTY_COUNTS: Final = QueueCounts()


def fits_all(request: Request) -> Fit:
    """Return the same fit for every request."""
    del request
    return Fit.NEUTRAL


def memory_bytes(request: Request) -> int:
    """Return the memory that a waiting request is taken to hold."""
    headers = sum(len(name) + len(text) for name, text in request.headers)
    return ENTRY_OVERHEAD_BYTES + len(request.body) + headers


class _Entry:
    """One waiting request."""

    request: Request  # What waits.
    rank: Rank  # Its place in the queue.
    skips: int  # How often others passed it while it was the head.

    __slots__ = ("rank", "request", "skips")

    def __init__(self, request: Request, rank: Rank) -> None:
        self.request = request
        self.rank = rank
        self.skips = 0


class _Queue:
    """The requests of one service and workspace."""

    entries: SortedDict[Rank, _Entry]  # All requests by rank.
    interactive: int  # How many of them are interactive.
    size_bytes: int  # Memory that they take.

    __slots__ = ("entries", "interactive", "size_bytes")

    def __init__(self) -> None:
        self.entries = SortedDict()
        self.interactive = 0
        self.size_bytes = 0

    def count(self, request: Request, sign: int) -> None:
        """Add a request to the counts, or take it off."""
        if request.request_class is RequestClass.INTERACTIVE:
            self.interactive += sign
        self.size_bytes += sign * memory_bytes(request)


class QueueTable:
    """All waiting requests of a router."""

    aging_s: float  # The handicap of batch requests.
    scan: int  # How many requests a better fit is sought among.
    max_skips: int  # How often the head may be passed.
    size_bytes: int  # Memory that all waiting requests take.

    def __init__(
        self, aging_s: float = 30.0, scan: int = 16, max_skips: int = 8
    ) -> None:
        self.aging_s = aging_s
        self.scan = scan
        self.max_skips = max_skips
        self.size_bytes = 0
        self._queues: dict[QueueKey, _Queue] = {}
        self._places: dict[str, tuple[QueueKey, Rank]] = {}
        self._pushed = 0
        self._service_counts: dict[str, int] = {}
        self._service_keys: dict[str, dict[QueueKey, None]] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._places

    def push(self, request: Request) -> None:
        """Add a request at the place that its arrival gives it.

        A request that comes back after a refused dispatch keeps its time
        of arrival and so goes back to where it was taken from.

        :param request: what is to wait; not in the table yet
        """
        key = QueueKey(request.service, request.workspace)
        rank = self._rank(request)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue()
            self._service_keys.setdefault(key.service, {})[key] = None
        queue.entries[rank] = _Entry(request, rank)
        queue.count(request, 1)
        self._places[request.request_id] = (key, rank)
        self.size_bytes += memory_bytes(request)
        waiting = self._service_counts.get(request.service, 0)
        self._service_counts[request.service] = waiting + 1

    def pop(
        self, key: QueueKey, fit: FitFunction = fits_all
    ) -> Request | None:
        """Take the request of a queue that is next.

        :param key: which queue
        :param fit: how well a request suits whoever takes it
        :returns: the request, or None if none suits
        """
        queue = self._queues.get(key)
        if queue is None:
            return None
        entry = self._choose(queue, fit)
        if entry is None:
            return None
        return self.remove(entry.request.request_id)

    def remove(self, request_id: str) -> Request | None:
        """Take a request out wherever it is.

        :param request_id: which request
        :returns: the request, or None if it does not wait here
        """
        place = self._places.pop(request_id, None)
        if place is None:
            return None
        key, rank = place
        queue = self._queues[key]
        entry: _Entry = queue.entries.pop(rank)
        request = entry.request
        queue.count(request, -1)
        if not queue.entries:
            del self._queues[key]
            del self._service_keys[key.service][key]
        self.size_bytes -= memory_bytes(request)
        self._service_counts[key.service] -= 1
        return request

    def counts(self, key: QueueKey) -> QueueCounts:
        """Return how much waits in a queue."""
        queue = self._queues.get(key)
        if queue is None:
            return EMPTY_COUNTS
        batch = len(queue.entries) - queue.interactive
        return QueueCounts(queue.interactive, batch, queue.size_bytes)

    def service_count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return self._service_counts.get(service, 0)

    def queue_keys(self) -> Iterator[QueueKey]:
        """Return the queues in which something waits."""
        return iter(self._queues)

    def service_keys(self, service: str) -> Iterator[QueueKey]:
        """Return the queues of a service in which something waits."""
        return iter(self._service_keys.get(service, ()))

    def oldest_arrival_s(self, key: QueueKey) -> float | None:
        """Return when the head of a queue arrived; None if it is empty."""
        queue = self._queues.get(key)
        if queue is None:
            return None
        return _item(queue, 0).request.arrived_s

    def last(self, key: QueueKey) -> Request | None:
        """Return the request that would be served last."""
        queue = self._queues.get(key)
        if queue is None:
            return None
        return _item(queue, -1).request

    def _rank(self, request: Request) -> Rank:
        self._pushed += 1
        if request.request_class is RequestClass.INTERACTIVE:
            return (request.arrived_s, self._pushed)
        return (request.arrived_s + self.aging_s, self._pushed)

    def _choose(self, queue: _Queue, fit: FitFunction) -> _Entry | None:
        head = _item(queue, 0)
        head_fit = fit(head.request)
        if head_fit is Fit.WARM:
            return head
        if head_fit is Fit.NEUTRAL and head.skips >= self.max_skips:
            return head
        chosen = _best(queue, fit, head, self.scan)
        if chosen is not None and chosen is not head:
            head.skips += 1
        return chosen


def _item(queue: _Queue, index: int) -> _Entry:
    """Return the entry at an index of a queue that is not empty."""
    entry: _Entry = queue.entries.peekitem(index)[1]
    return entry


def _best(
    queue: _Queue, fit: FitFunction, head: _Entry, scan: int
) -> _Entry | None:
    """Return the entry with the best fit among the first few."""
    best: _Entry | None = None
    best_fit = Fit.AVOID
    for rank in queue.entries.islice(0, scan):
        entry: _Entry = queue.entries[rank]
        # Only a head that must not run here lets another class pass.
        same = entry.request.request_class is head.request.request_class
        entry_fit = fit(entry.request)
        if entry_fit is Fit.WARM and not same:
            entry_fit = Fit.NEUTRAL
        if entry_fit < best_fit:
            best, best_fit = entry, entry_fit
    return best
