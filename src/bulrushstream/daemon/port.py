"""Connects the callers' HTTP server with the router core."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Final, TypeAlias

from bulrushstream.coordination.matching import ConfigIndex
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.event import CallerDisconnected, Event, RequestArrived
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.state.message import PartKind
from bulrushstream.state.request import Request
from bulrushstream.transport.port import AnswerQueue

_ID_BYTES: Final = 6

# Limit of the bytes of answers that callers have not read yet.
MAX_ANSWERS_BYTES: Final = 64 << 20

PortEvent: TypeAlias = Request | Reply | FailRequest | CallerDisconnected


class CallersPort:
    """Submits requests to the core, and queues its answers; a `RouterPort`."""

    index: ConfigIndex | None  # The current configuration; None: none yet.
    closed: bool  # Whether new requests are refused.
    # Called with each request, answer part, failure and cancellation.
    on_event: Callable[[PortEvent], None] | None
    _queues: dict[str, AnswerQueue]  # Unfinished answers, by request id.
    _answers: MemoryBudget  # The bytes in all queues.
    _prefix: str  # Random, so that request ids differ between restarts.
    _request_count: int  # Requests so far.

    def __init__(
        self, post: Callable[[Event], None], clock: Callable[[], float]
    ) -> None:
        """Create a port without requests.

        :param post: posts an event to the core
        :param clock: the router's monotonic time in seconds
        """
        self.index = None
        self.closed = False
        self.on_event = None
        self._post = post
        self._clock = clock
        self._queues = {}
        self._answers = MemoryBudget(MAX_ANSWERS_BYTES)
        self._prefix = secrets.token_hex(_ID_BYTES)
        self._request_count = 0

    @property
    def waiting(self) -> int:
        """Return the number of unfinished answers."""
        return len(self._queues)

    def unfinished(self) -> list[str]:
        """Return the ids of requests with an unfinished answer."""
        return list(self._queues)

    def now(self) -> float:
        """Return the router's monotonic time; see `RouterPort`."""
        return self._clock()

    def config(self) -> ConfigIndex | None:
        """Return the current configuration; see `RouterPort`."""
        return self.index

    def draining(self) -> bool:
        """Return whether new requests are refused; see `RouterPort`."""
        return self.closed

    def new_request_id(self) -> str:
        """Return a new id; see `RouterPort`."""
        self._request_count += 1
        return f"{self._prefix}{self._request_count:08x}"

    def submit(self, request: Request) -> AnswerQueue:
        """Submit a request to the core; see `RouterPort`."""
        if self.on_event is not None:
            self.on_event(request)
        queue = AnswerQueue(budget=self._answers)
        self._queues[request.request_id] = queue
        self._post(RequestArrived(request))
        return queue

    def cancel(self, request_id: str) -> None:
        """Inform the core that a caller disconnected; see `RouterPort`."""
        if self._queues.pop(request_id, None) is None:
            return
        event = CallerDisconnected(request_id)
        if self.on_event is not None:
            self.on_event(event)
        self._post(event)

    def deliver(self, effect: Reply | FailRequest) -> None:
        """Queue the next part of an answer for its caller.

        :param effect: the part, from the core
        """
        queue = self._queues.get(effect.request_id)
        if queue is None:
            return
        if self.on_event is not None:
            self.on_event(effect)
        queue.put(effect)
        ended = (
            isinstance(effect, FailRequest) or effect.part.kind is PartKind.END
        )
        if ended:
            del self._queues[effect.request_id]
