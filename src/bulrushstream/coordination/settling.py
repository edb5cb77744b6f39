"""Ends requests: sends the final response and drops the request's state.

Every request ends through this module, so that it ends once and with a
correct outcome: not-run only if none of its attempts can have started.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination import dispatching, gating, recall, recording
from bulrushstream.coordination.routerstate import (
    Phase,
    RouterState,
    Timer,
    TrackedRequest,
    endpoint_name,
    queue_key,
)
from bulrushstream.messages import (
    DRAINING,
    EXPIRED,
    KEY_PENDING,
    LOG_DOWN,
    MEMORY_FULL,
    QUEUE_FULL,
    RETRIES_EXHAUSTED,
    SHED,
    Notice,
)
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Outcome

# Refusals whose Retry-After is estimated from the queue's drain rate.
OVERLOAD: Final = frozenset({QUEUE_FULL, MEMORY_FULL, SHED, EXPIRED})
# Refusals that a retry soon, or at another router, may avoid.
TRANSIENT: Final = frozenset(
    {DRAINING, LOG_DOWN, KEY_PENDING, RETRIES_EXHAUSTED}
)
TRANSIENT_RETRY_S: Final = 1.0


def fail(
    state: RouterState,
    tracked: TrackedRequest,
    notice: Notice,
    now_s: float,
    outcome: Outcome | None = None,
    detail: str = "",
    retry_after_s: float | None = None,
) -> None:
    """End a request without a complete answer and drop it.

    :param state: the router
    :param tracked: the request
    :param notice: why it ends
    :param now_s: the time on the core's clock
    :param outcome: the outcome; None: as known from its attempts
    :param detail: further details of the failure
    :param retry_after_s: when to retry; None: derived from the notice
    """
    if outcome is None:
        outcome = tracked.outcome
    if retry_after_s is None:
        retry_after_s = _retry_after_s(state, tracked, notice, now_s)
    end_response(state, tracked, notice, now_s, outcome, detail, retry_after_s)
    forget(state, tracked, outcome, now_s)


def end_response(
    state: RouterState,
    tracked: TrackedRequest,
    notice: Notice,
    now_s: float,
    outcome: Outcome,
    detail: str = "",
    retry_after_s: float = 0.0,
) -> None:
    """End the response to a caller, but keep tracking the request.

    A caller that already has a part of the answer gets an end part that
    marks the answer as incomplete.

    :param state: the router
    :param tracked: the request
    :param notice: why it ends
    :param now_s: the time on the core's clock
    :param outcome: the outcome
    :param detail: further details of the failure
    :param retry_after_s: when to retry; 0: unspecified
    """
    if tracked.response_ended:
        return
    tracked.response_ended = True
    request_id = tracked.request.request_id
    if tracked.head_sent:
        end = _truncated_end(tracked, outcome, detail or notice.text)
        state.effects.append(Reply(request_id, end))
    else:
        state.effects.append(
            FailRequest(
                request_id, notice.code, outcome, retry_after_s, detail
            )
        )
    kind = "refuse" if outcome is Outcome.NOT_RUN else "fail"
    endpoint = _endpoint_name(state, tracked)
    state.record_decision(
        kind, notice.code, tracked, now_s, endpoint, outcome.value
    )


def finish(
    state: RouterState, tracked: TrackedRequest, part: Part, now_s: float
) -> None:
    """End a request whose answer is complete.

    :param state: the router
    :param tracked: the request
    :param part: the end part
    :param now_s: the time on the core's clock
    """
    if not tracked.response_ended:
        send_part(state, tracked, part)
        endpoint = _endpoint_name(state, tracked)
        outcome = part.outcome.value
        state.record_decision(
            "finish", "whole", tracked, now_s, endpoint, outcome
        )
    forget(state, tracked, part.outcome, now_s, whole=True)


def send_part(state: RouterState, tracked: TrackedRequest, part: Part) -> None:
    """Send a caller the next part of its answer.

    :param state: the router
    :param tracked: the request
    :param part: the next part in order
    """
    recording.record_part(state, tracked, part)
    if tracked.response_ended:
        return
    request_id = tracked.request.request_id
    if part.kind is PartKind.HEAD:
        # The head is withheld until another part follows, so that an
        # attempt that fails right after its head can still be retried.
        tracked.unsent_head = part
        return
    if tracked.unsent_head is not None:
        state.effects.append(Reply(request_id, tracked.unsent_head))
        tracked.unsent_head = None
        tracked.head_sent = True
    state.effects.append(Reply(request_id, part))


def forget(
    state: RouterState,
    tracked: TrackedRequest,
    outcome: Outcome,
    now_s: float,
    whole: bool = False,
) -> None:
    """Drop all state of a request and record the outcome for its key.

    :param state: the router
    :param tracked: the request
    :param outcome: the outcome, for callers that reuse its idempotency key
    :param now_s: the time on the core's clock
    :param whole: whether its answer is complete
    """
    request_id = tracked.request.request_id
    dispatching.dequeue(state, tracked)
    release_attempt(state, tracked)
    for timer in (Timer.DEADLINE, Timer.RETRY):
        state.timers.cancel((timer, request_id))
    tracked.response_ended = True
    state.untrack(tracked)
    recording.record_outcome(state, tracked, outcome, whole)
    gating.drop(state, tracked, now_s)


def release_attempt(state: RouterState, tracked: TrackedRequest) -> None:
    """Detach a request from its attempt, which is no longer in flight.

    :param state: the router
    :param tracked: the request
    """
    request_id = tracked.request.request_id
    if tracked.agent is not None:
        view = state.agents.get(tracked.agent)
        if view is not None:
            view.in_flight.discard(request_id)
    recall.forget(state, request_id)
    for timer in (Timer.ACK, Timer.PROBE, Timer.GRACE):
        state.timers.cancel((timer, request_id))
    tracked.agent = None
    tracked.unsent_head = None
    state.set_phase(tracked, Phase.HELD)
    gating.leave(state, tracked)


def _truncated_end(
    tracked: TrackedRequest, outcome: Outcome, detail: str
) -> Part:
    """Return an end part that marks the answer as incomplete."""
    return Part(
        request_id=tracked.request.request_id,
        attempt=tracked.attempt,
        sequence=tracked.answer.next_sequence,
        kind=PartKind.END,
        outcome=outcome,
        whole=False,
        detail=detail,
    )


def _retry_after_s(
    state: RouterState, tracked: TrackedRequest, notice: Notice, now_s: float
) -> float:
    if notice in TRANSIENT:
        return TRANSIENT_RETRY_S
    if notice not in OVERLOAD:
        return 0.0
    key = queue_key(tracked)
    waiting = state.pending_count(key)
    return state.drain_rate.retry_after_s(key, waiting, state.rng, now_s)


def _endpoint_name(state: RouterState, tracked: TrackedRequest) -> str:
    if tracked.agent is None:
        return ""
    view = state.agents.get(tracked.agent)
    return "" if view is None else endpoint_name(view)
