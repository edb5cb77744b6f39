"""Takes a request in, or refuses it because too much waits already.

Memory is bounded.  When it is full, room is made at the expense of the
workspace whose queue is longest for its weight, from the back of that
queue, so that a flood of one workspace costs the others nothing.
"""

from __future__ import annotations

from bulrushstream.coordination import dispatching, settling
from bulrushstream.coordination.routing import RouterState, Timer, Tracked
from bulrushstream.messages import (
    DRAINING,
    EXPIRED,
    MEMORY_FULL,
    QUEUE_FULL,
    SHED,
)
from bulrushstream.state.queues import QueueKey, memory_bytes
from bulrushstream.state.request import Request


def arrive(
    state: RouterState, request: Request, queue_limit: int, now_s: float
) -> None:
    """Take a request in, or refuse it.

    :param state: the router
    :param request: what a caller asks
    :param queue_limit: how many of its workspace and service may wait
    :param now_s: the time on the core's clock
    """
    tracked = Tracked(request)
    state.tracked[request.request_id] = tracked
    key = QueueKey(request.service, request.workspace)
    if state.draining:
        settling.fail(state, tracked, DRAINING, now_s)
    elif now_s >= request.deadline_s:
        settling.fail(state, tracked, EXPIRED, now_s)
    elif state.queues.counts(key).total >= queue_limit:
        settling.fail(state, tracked, QUEUE_FULL, now_s)
    elif not _make_room(state, request, now_s):
        settling.fail(state, tracked, MEMORY_FULL, now_s)
    else:
        state.timers.set(
            (Timer.DEADLINE, request.request_id), request.deadline_s
        )
        dispatching.offer(state, tracked, now_s)


def _make_room(state: RouterState, request: Request, now_s: float) -> bool:
    """Shed requests until a new one fits; return whether it does."""
    size_bytes = memory_bytes(request)
    limit_bytes = state.options.max_waiting_bytes
    mine = QueueKey(request.service, request.workspace)
    while state.queues.size_bytes + size_bytes > limit_bytes:
        victim = _longest(state, mine, size_bytes)
        if victim is None:
            return False
        last = state.queues.last(victim)
        if last is None:
            return False
        tracked = state.tracked[last.request_id]
        settling.fail(state, tracked, SHED, now_s)
    return True


def _longest(
    state: RouterState, mine: QueueKey, size_bytes: int
) -> QueueKey | None:
    """Return the longest queue for its weight; None if it is my own."""

    def length(key: QueueKey) -> float:
        extra = size_bytes if key == mine else 0
        held = state.queues.counts(key).size_bytes + extra
        return held / state.weight(key.workspace)

    keys = sorted({*state.queues.queue_keys(), mine})
    longest = max(keys, key=length)
    return None if longest == mine else longest
