"""Ends requests whose deadline passed or whose caller disconnected.

A run that holds an idempotency key is not stopped, because its caller can
repeat the request to get the result.  It continues without its caller for
a limited time, and its result is recorded when it ends.
"""

from __future__ import annotations

from bulrushstream.coordination import claims, settling
from bulrushstream.coordination.routerstate import (
    Phase,
    RouterState,
    Timer,
    TrackedRequest,
)
from bulrushstream.messages import EXPIRED, KEY_PENDING, LOG_DOWN, TIMED_OUT
from bulrushstream.state.message import Cancel, Revoke
from bulrushstream.state.request import Outcome


def deadline(state: RouterState, request_id: str, now_s: float) -> None:
    """End a request whose deadline has passed.

    :param state: the router
    :param request_id: identifies the request
    :param now_s: the time on the core's clock
    """
    tracked = state.tracked.get(request_id)
    if tracked is None:
        return
    if tracked.phase is not Phase.IN_FLIGHT:
        _expire(state, tracked, now_s)
    elif tracked.response_ended:
        settling.forget(state, tracked, Outcome.UNKNOWN, now_s)
    elif tracked.claim_won:
        settling.end_response(
            state, tracked, TIMED_OUT, now_s, Outcome.UNKNOWN
        )
        _finish_without_caller(state, tracked, now_s)
    else:
        _cancel(state, tracked)
        settling.fail(state, tracked, TIMED_OUT, now_s, Outcome.UNKNOWN)


def caller_left(state: RouterState, request_id: str, now_s: float) -> None:
    """End a request whose caller closed its connection.

    :param state: the router
    :param request_id: identifies the request
    :param now_s: the time on the core's clock
    """
    tracked = state.tracked.get(request_id)
    if tracked is None or tracked.response_ended:
        return
    state.record_decision("cancel", "caller disconnected", tracked, now_s)
    tracked.response_ended = True
    if tracked.phase is not Phase.IN_FLIGHT:
        settling.forget(state, tracked, tracked.outcome, now_s)
    elif tracked.claim_won:
        _finish_without_caller(state, tracked, now_s)
    else:
        _cancel(state, tracked)
        settling.forget(state, tracked, Outcome.UNKNOWN, now_s)


def _expire(state: RouterState, tracked: TrackedRequest, now_s: float) -> None:
    """Fail a request that has no attempt in flight."""
    if tracked.maybe_started:
        settling.fail(state, tracked, TIMED_OUT, now_s)
    elif not tracked.claim_key or tracked.claim_won:
        settling.fail(state, tracked, EXPIRED, now_s)
    elif claims.other_holder(state, tracked, now_s) is not None:
        # Another request holds the key and may have run or may still run.
        settling.fail(state, tracked, KEY_PENDING, now_s, Outcome.UNKNOWN)
    else:
        settling.fail(state, tracked, LOG_DOWN, now_s)


def _finish_without_caller(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> None:
    """Let a run finish without its caller; revoke it if not started."""
    request_id = tracked.request.request_id
    if tracked.agent is not None:
        tracked.revoke_sent = True
        state.send(tracked.agent, Revoke(request_id, tracked.attempt))
    end_s = now_s + state.options.claims.detached_run_s
    state.timers.set((Timer.DEADLINE, request_id), end_s)


def _cancel(state: RouterState, tracked: TrackedRequest) -> None:
    if tracked.agent is None:
        return
    request_id = tracked.request.request_id
    state.send(tracked.agent, Cancel(request_id, tracked.attempt))
