"""Recognises requests that return, and tells refused ones when to return.

The decisions are those of `coordination.returns`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bulrushstream.coordination.placement import Prediction
from bulrushstream.coordination.returnplan import ReturnNeed
from bulrushstream.coordination.returns import (
    MAX_PREFILL_TOKENS,
    Promise,
    has_priority,
    returning_share_used,
)
from bulrushstream.metrics import count_returns
from bulrushstream.state.effect import Decision
from bulrushstream.state.returns import ReturnPromise

if TYPE_CHECKING:
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.daemon.front import Front


def remaining_s(front: Front, forward: Forward) -> float:
    """Return the time that a request's caller still waits, in seconds.

    :param front: the router
    :param forward: the request
    """
    if forward.call.timeout_s is not None:
        return forward.call.timeout_s - (front.clock() - forward.arrived_s)
    return forward.deadline_s - front.clock()


def recognise(front: Front, forward: Forward, now_s: float) -> Promise | None:
    """Use up the promise of a request that returns; None: it has none.

    :param front: the router
    :param forward: the request
    :param now_s: the time
    """
    returns = front.fleet_state.returns
    # Without promises, the digest need not be computed.
    if not returns or forward.call.prompt is None:
        return None
    return returns.take(forward.fingerprint, now_s)


def has_priority_now(front: Front, forward: Forward) -> bool:
    """Return whether a request returned and goes before new ones.

    :param front: the router
    :param forward: the request
    """
    if forward.promise is None or not forward.promise.has_priority:
        return False
    return _workspace_has_priority(front, forward)


def _workspace_has_priority(front: Front, forward: Forward) -> bool:
    """Return whether a request's workspace may have priority."""
    stale = front.fleet_state.shares.stale
    return has_priority(forward.share_used, stale=stale)


def promised_wait_s(
    front: Front,
    forward: Forward,
    prediction: Prediction,
    engines: int,
    now_s: float,
) -> float:
    """Return the wait that promises to others mean for a request.

    :param front: the router
    :param forward: the request
    :param prediction: its course on an engine
    :param engines: the engines in use
    :param now_s: the time
    """
    state = front.fleet_state
    if not state.returns:
        return 0.0
    if has_priority_now(front, forward):
        return 0.0
    return state.returns.promised_wait_s(
        forward.service, engines, state.prefill_rate, prediction.wait_s, now_s
    )


def plan_return(
    front: Front,
    forward: Forward,
    prediction: Prediction,
    engines: int,
    shortest_target_s: float,
    *,
    may_reserve: bool,
) -> bool:
    """Set when a refused request is to return; promise it if possible.

    :param front: the router
    :param forward: the request
    :param prediction: its course on the best engine
    :param engines: the engines in use
    :param shortest_target_s: the shortest target of its service's routes
    :param may_reserve: whether prefill may be kept free for it
    :returns: whether it may return at all
    """
    state, now_s = front.fleet_state, front.clock()
    returns = state.returns
    if not returns.acts_for(forward.service):
        return True
    digest = forward.fingerprint
    left_s = remaining_s(front, forward)
    open_until_s = returns.open_until_s(digest, now_s)
    if open_until_s is not None and open_until_s - now_s <= left_s / 3.0:
        # The caller came before its time, or it is another one with the
        # same request; there is one promise for both.
        forward.return_s = open_until_s - now_s
        return True
    first_attempt_s = forward.arrived_s
    if forward.promise is not None:
        first_attempt_s = forward.promise.first_attempt_s
    may_reserve = (
        may_reserve
        and forward.promise is None
        and _workspace_has_priority(front, forward)
    )
    share_used = forward.share_used
    if may_reserve:
        share_used = returning_share_used(share_used)
    need = ReturnNeed(
        forward.service,
        prediction.prefill_tokens,
        prediction.prefill_s,
        prediction.wait_s,
        engines,
        state.prefill_rate,
        forward.route.latency_target_s - (now_s - first_attempt_s),
        left_s,
        shortest_target_s,
        share_used,
    )
    plan = returns.plan(need, now_s, front.rng)
    if plan is None:
        return False
    if forward.promise is not None and not plan.on_time:
        # It had its turn, and would be late.
        return False
    if not may_reserve:
        # Without a reserve they do not push each other: a random time of the
        # usual range spreads their returns.
        return True
    forward.return_s = plan.retry_s
    tokens = min(MAX_PREFILL_TOKENS, max(1, int(prediction.prefill_tokens)))
    returns.promise(
        ReturnPromise(
            digest,
            forward.service,
            now_s - first_attempt_s,
            plan.retry_s,
            tokens if plan.on_time else 0,
            left_s,
        ),
        now_s,
    )
    return True


def report(front: Front) -> None:
    """Count and log refusals and returns since the last call.

    :param front: the router
    """
    told = front.fleet_state.returns.take_report()
    count_returns(front.metrics, told)
    if not told.returns:
        return
    front.observe(
        Decision(
            "returns",
            "refused callers and their returns",
            inputs={
                **{f"refused_{name}": n for name, n in told.refusals.items()},
                **told.returns,
                "open": told.open_promises,
                "kept_share": round(told.kept_share, 2),
            },
        )
    )
