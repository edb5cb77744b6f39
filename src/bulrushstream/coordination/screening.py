"""Decides whether a request may queue now, must wait, or is refused.

Every request is screened before each attempt, also before a retry, because
the strikes against its fingerprint may have changed.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination import dispatching, gating, settling
from bulrushstream.coordination.routerstate import (
    Phase,
    RouterState,
    TrackedRequest,
)
from bulrushstream.messages import QUARANTINED

ISOLATION_STRIKES: Final = 2


def screen_ready(state: RouterState, now_s: float) -> None:
    """Screen every request that was marked ready.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    while state.to_screen:
        tracked = state.tracked.get(state.to_screen.popleft())
        if tracked is not None and tracked.phase is Phase.HELD:
            _screen(state, tracked, now_s)


def _screen(state: RouterState, tracked: TrackedRequest, now_s: float) -> None:
    fingerprint = tracked.request.fingerprint
    if not fingerprint:
        dispatching.dispatch_or_queue(state, tracked, now_s)
        return
    if not state.strikes_known:
        # A router that has just started does not know yet whether the
        # fingerprint has strikes.
        state.awaiting_strikes.append(tracked.request.request_id)
        return
    if state.quarantine.is_refused(fingerprint, now_s):
        ends_s = state.quarantine.remaining_s(fingerprint, now_s)
        settling.fail(state, tracked, QUARANTINED, now_s, retry_after_s=ends_s)
        return
    if _may_run(state, tracked, now_s):
        gating.enter(state, tracked)
        dispatching.dispatch_or_queue(state, tracked, now_s)
    else:
        gating.hold(state, tracked)


def _may_run(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> bool:
    fingerprint = tracked.request.fingerprint
    strikes = state.quarantine.count(fingerprint, now_s)
    tracked.alone = strikes >= ISOLATION_STRIKES
    if strikes:
        return gating.request_grants(state, tracked, now_s)
    if state.quarantine.is_proven(fingerprint, now_s):
        return True
    return gating.is_free(state, tracked)
