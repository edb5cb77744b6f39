"""Takes a request in, or refuses it because too much waits already.

Memory is bounded.  When it is full, room is made at the expense of the
workspace whose queue is longest for its weight, from the back of that
queue, so that a flood of one workspace costs the others nothing.
"""

from __future__ import annotations

from bulrushstream.coordination import claims, settling
from bulrushstream.coordination.routerstate import (
    RouterState,
    Timer,
    TrackedRequest,
    queue_key,
)
from bulrushstream.messages import (
    DRAINING,
    EXPIRED,
    MEMORY_FULL,
    QUEUE_FULL,
    SHED,
    Notice,
)
from bulrushstream.state.queues import QueueKey
from bulrushstream.state.request import Request


def arrive(state: RouterState, request: Request, now_s: float) -> None:
    """Take a request in, or refuse it.

    :param state: the router
    :param request: what a caller asks
    :param now_s: the time on the core's clock
    """
    if request.request_id in state.tracked:
        return
    tracked = state.track(request)
    notice = _refusal(state, tracked, now_s)
    if notice is not None:
        settling.fail(state, tracked, notice, now_s)
        return
    deadline = (Timer.DEADLINE, request.request_id)
    state.timers.set(deadline, request.deadline_s)
    state.budget.deposit(request.workspace)
    if claims.is_keyed(request):
        claims.start(state, tracked, now_s)
    else:
        state.to_screen.append(request.request_id)


def _refusal(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> Notice | None:
    """Return why a new request can not be taken in; None if it can."""
    if state.draining:
        return DRAINING
    request = tracked.request
    if now_s >= request.deadline_s:
        return EXPIRED
    if state.pending_count(queue_key(tracked)) > state.queue_limit(request):
        return QUEUE_FULL
    if not _make_room(state, tracked, now_s):
        return MEMORY_FULL
    return None


def _make_room(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> bool:
    """Shed requests until a new one fits; return whether it does."""
    limit_bytes = state.options.max_tracked_bytes
    while state.tracked_bytes > limit_bytes:
        victim = _longest(state, tracked)
        last = None if victim is None else state.queues.peek_last(victim)
        if last is None:
            return False
        shed = state.tracked[last.request_id]
        settling.fail(state, shed, SHED, now_s)
    return True


def _longest(state: RouterState, tracked: TrackedRequest) -> QueueKey | None:
    """Return the longest queue for its weight; None if it is my own."""
    mine = queue_key(tracked)

    def length(key: QueueKey) -> float:
        extra_bytes = tracked.size_bytes if key == mine else 0
        queued_bytes = state.queues.counts(key).size_bytes
        return (queued_bytes + extra_bytes) / state.weight(key.workspace)

    keys = sorted({*state.queues.queue_keys(), mine})
    longest = max(keys, key=length)
    return None if longest == mine else longest
