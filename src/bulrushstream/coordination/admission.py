"""Admission of requests to a router's queues.

Memory is bounded.  When it is full, requests are shed from the back of the
queue that holds the most bytes relative to its workspace's weight, so that
a flood of one workspace does not affect the others.
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


def admit(state: RouterState, request: Request, now_s: float) -> None:
    """Admit or refuse a new request.

    :param state: the router
    :param request: the request
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
    """Return why a new request is refused; None if it is admitted."""
    if state.draining:
        return DRAINING
    request = tracked.request
    if now_s >= request.deadline_s:
        return EXPIRED
    if state.pending_count(queue_key(tracked)) > state.queue_limit(request):
        return QUEUE_FULL
    if not _shed_until_fits(state, tracked, now_s):
        return MEMORY_FULL
    return None


def _shed_until_fits(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> bool:
    """Shed requests until a new one fits; return whether it does."""
    limit_bytes = state.options.max_tracked_bytes
    while state.tracked_bytes > limit_bytes:
        victim = _longest_queue(state, tracked)
        last = None if victim is None else state.queues.peek_last(victim)
        if last is None:
            return False
        shed = state.tracked[last.request_id]
        settling.fail(state, shed, SHED, now_s)
    return True


def _longest_queue(
    state: RouterState, tracked: TrackedRequest
) -> QueueKey | None:
    """Return the queue with most bytes for its weight.

    None means that it is the request's own queue.
    """
    own_key = queue_key(tracked)

    def length(key: QueueKey) -> float:
        extra_bytes = tracked.size_bytes if key == own_key else 0
        queued_bytes = state.queues.counts(key).size_bytes
        return (queued_bytes + extra_bytes) / state.weight(key.workspace)

    keys = sorted({*state.queues.queue_keys(), own_key})
    longest = max(keys, key=length)
    return None if longest == own_key else longest
