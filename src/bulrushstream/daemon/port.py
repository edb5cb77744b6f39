"""The callers' front's way to the router core."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Final, TypeAlias

from bulrushstream.coordination.matching import ConfigIndex
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.event import CallerDisconnected, Event, RequestArrived
from bulrushstream.state.message import PartKind
from bulrushstream.state.request import Request
from bulrushstream.transport.port import AnswerQueue

_ID_BYTES: Final = 6

Watched: TypeAlias = Request | Reply | FailRequest | CallerDisconnected


class CallersPort:
    """The answers that callers wait for; a `RouterPort`."""

    index: ConfigIndex | None  # The configuration; None: none yet.
    closed: bool  # Whether no new work is taken.
    watch: Callable[[Watched], None] | None  # Told of all that passes.
    _answers: dict[str, AnswerQueue]  # Callers that wait, by request.
    _prefix: str  # Random, so that no two starts share request ids.
    _count: int  # Requests so far.

    def __init__(
        self, post: Callable[[Event], None], clock: Callable[[], float]
    ) -> None:
        """Make a port that nobody waits at.

        :param post: takes events for the core
        :param clock: the router's monotonic time in seconds
        """
        self.index = None
        self.closed = False
        self.watch = None
        self._post = post
        self._clock = clock
        self._answers = {}
        self._prefix = secrets.token_hex(_ID_BYTES)
        self._count = 0

    @property
    def waiting(self) -> int:
        """Return how many callers wait for the rest of an answer."""
        return len(self._answers)

    def unfinished(self) -> list[str]:
        """Return the requests of callers that wait."""
        return list(self._answers)

    def now(self) -> float:
        """Return the router's monotonic time; see `RouterPort`."""
        return self._clock()

    def config(self) -> ConfigIndex | None:
        """Return the configuration in force; see `RouterPort`."""
        return self.index

    def draining(self) -> bool:
        """Return whether no new work is taken; see `RouterPort`."""
        return self.closed

    def new_request_id(self) -> str:
        """Return a new id; see `RouterPort`."""
        self._count += 1
        return f"{self._prefix}{self._count:08x}"

    def submit(self, request: Request) -> AnswerQueue:
        """Hand a request to the core; see `RouterPort`."""
        if self.watch is not None:
            self.watch(request)
        queue = AnswerQueue()
        self._answers[request.request_id] = queue
        self._post(RequestArrived(request))
        return queue

    def cancel(self, request_id: str) -> None:
        """Tell the core that a caller left; see `RouterPort`."""
        if self._answers.pop(request_id, None) is None:
            return
        left = CallerDisconnected(request_id)
        if self.watch is not None:
            self.watch(left)
        self._post(left)

    def give(self, effect: Reply | FailRequest) -> None:
        """Give a caller the next piece of its answer.

        :param effect: the piece, from the core
        """
        queue = self._answers.get(effect.request_id)
        if queue is None:
            return
        if self.watch is not None:
            self.watch(effect)
        queue.put(effect)
        ended = (
            isinstance(effect, FailRequest) or effect.part.kind is PartKind.END
        )
        if ended:
            del self._answers[effect.request_id]
