"""Ends requests whose caller gave up, by deadline or by leaving."""

from __future__ import annotations

from bulrushstream.coordination import settling
from bulrushstream.coordination.routing import Phase, RouterState, Tracked
from bulrushstream.messages import EXPIRED, TIMED_OUT
from bulrushstream.state.message import Cancel
from bulrushstream.state.request import Outcome


def deadline(state: RouterState, request_id: str, now_s: float) -> None:
    """End a request whose deadline has come.

    :param state: the router
    :param request_id: which request
    :param now_s: the time on the core's clock
    """
    tracked = state.tracked.get(request_id)
    if tracked is None:
        return
    if tracked.phase is not Phase.RUNNING:
        notice = TIMED_OUT if tracked.exposed else EXPIRED
        settling.fail(state, tracked, notice, now_s)
        return
    _stop(state, tracked)
    settling.fail(state, tracked, TIMED_OUT, now_s, Outcome.UNKNOWN)


def caller_left(state: RouterState, request_id: str, now_s: float) -> None:
    """Stop the work for a caller that closed its connection.

    :param state: the router
    :param request_id: which request
    :param now_s: the time on the core's clock
    """
    tracked = state.tracked.get(request_id)
    if tracked is None:
        return
    if tracked.phase is Phase.RUNNING:
        _stop(state, tracked)
    state.decide("cancel", "the caller left", tracked, now_s)
    settling.forget(state, tracked)


def _stop(state: RouterState, tracked: Tracked) -> None:
    if tracked.agent is None:
        return
    request_id = tracked.request.request_id
    state.send(tracked.agent, Cancel(request_id, tracked.attempt))
