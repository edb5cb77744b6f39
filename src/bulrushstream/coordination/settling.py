"""Gives a caller the last word on its request, and forgets the request.

Every way in which a request can end goes through here, so that it ends
once and with an outcome that is true: not-run only if no attempt of it can
have been started.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination import dispatching, gating, recall, recording
from bulrushstream.coordination.routing import (
    Phase,
    RouterState,
    Timer,
    Tracked,
    endpoint_of,
    queue_key,
)
from bulrushstream.messages import (
    DRAINING,
    EXPIRED,
    KEY_PENDING,
    LOG_DOWN,
    MEMORY_FULL,
    QUEUE_FULL,
    RETRIES_SPENT,
    SHED,
    Notice,
)
from bulrushstream.state.effect import Fail, Reply
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Outcome

# Refusals after which the queue's drain rate tells when to come back.
OVERLOAD: Final = frozenset({QUEUE_FULL, MEMORY_FULL, SHED, EXPIRED})
# Refusals that another router, or a moment's wait, may turn.
PASSING: Final = frozenset({DRAINING, LOG_DOWN, KEY_PENDING, RETRIES_SPENT})
PASSING_S: Final = 1.0


def fail(
    state: RouterState,
    tracked: Tracked,
    notice: Notice,
    now_s: float,
    outcome: Outcome | None = None,
    detail: str = "",
    retry_after_s: float | None = None,
) -> None:
    """End a request without a whole answer.

    :param state: the router
    :param tracked: the request
    :param notice: why it ends
    :param now_s: the time on the core's clock
    :param outcome: the outcome; None: what its attempts allow to say
    :param detail: more on what went wrong
    :param retry_after_s: when to come back; None: what the notice implies
    """
    if outcome is None:
        outcome = tracked.outcome
    if retry_after_s is None:
        retry_after_s = _retry_after_s(state, tracked, notice, now_s)
    give_up(state, tracked, notice, now_s, outcome, detail, retry_after_s)
    forget(state, tracked, outcome, now_s)


def give_up(
    state: RouterState,
    tracked: Tracked,
    notice: Notice,
    now_s: float,
    outcome: Outcome,
    detail: str = "",
    retry_after_s: float = 0.0,
) -> None:
    """Give a caller its last word, and keep the request.

    A caller that already has part of the answer gets an end that says
    that the answer is not whole.

    :param state: the router
    :param tracked: the request
    :param notice: why it ends
    :param now_s: the time on the core's clock
    :param outcome: the outcome
    :param detail: more on what went wrong
    :param retry_after_s: when to come back; 0: not said
    """
    if tracked.answered:
        return
    tracked.answered = True
    request_id = tracked.request.request_id
    if tracked.given:
        end = _cut(tracked, outcome, detail or notice.text)
        state.out.append(Reply(request_id, end))
    else:
        state.out.append(
            Fail(request_id, notice.code, outcome, retry_after_s, detail)
        )
    kind = "refuse" if outcome is Outcome.NOT_RUN else "fail"
    where = _where(state, tracked)
    state.decide(kind, notice.code, tracked, now_s, where, outcome.value)


def finish(
    state: RouterState, tracked: Tracked, part: Part, now_s: float
) -> None:
    """End a request with the end of a whole answer.

    :param state: the router
    :param tracked: the request
    :param part: the end
    :param now_s: the time on the core's clock
    """
    if not tracked.answered:
        give(state, tracked, part)
        where = _where(state, tracked)
        outcome = part.outcome.value
        state.decide("finish", "whole", tracked, now_s, where, outcome)
    forget(state, tracked, part.outcome, now_s, whole=True)


def give(state: RouterState, tracked: Tracked, part: Part) -> None:
    """Give a caller a part, with the head before the first other one.

    :param state: the router
    :param tracked: the request
    :param part: a part in order
    """
    recording.note(state, tracked, part)
    if tracked.answered:
        return
    request_id = tracked.request.request_id
    if part.kind is PartKind.HEAD:
        # Kept back, so that an attempt that fails right after its head
        # can still be retried unseen.
        tracked.head = part
        return
    if tracked.head is not None:
        state.out.append(Reply(request_id, tracked.head))
        tracked.head = None
        tracked.given = True
    state.out.append(Reply(request_id, part))


def forget(
    state: RouterState,
    tracked: Tracked,
    outcome: Outcome,
    now_s: float,
    whole: bool = False,
) -> None:
    """Drop all that is known of a request.

    :param state: the router
    :param tracked: the request
    :param outcome: what became of it, for callers that repeat its key
    :param now_s: the time on the core's clock
    :param whole: whether its answer is complete
    """
    request_id = tracked.request.request_id
    dispatching.withdraw(state, tracked)
    release(state, tracked)
    for timer in (Timer.DEADLINE, Timer.RETRY):
        state.timers.cancel((timer, request_id))
    tracked.answered = True
    state.untrack(tracked)
    recording.end(state, tracked, outcome, whole)
    gating.drop(state, tracked, now_s)


def release(state: RouterState, tracked: Tracked) -> None:
    """Note that no attempt of a request is out any more.

    :param state: the router
    :param tracked: the request
    """
    request_id = tracked.request.request_id
    if tracked.agent is not None:
        view = state.agents.get(tracked.agent)
        if view is not None:
            view.running.discard(request_id)
    recall.forget(state, request_id)
    for timer in (Timer.ACK, Timer.PROBE, Timer.GRACE):
        state.timers.cancel((timer, request_id))
    tracked.agent = None
    tracked.head = None
    state.move(tracked, Phase.HELD)
    gating.leave(state, tracked)


def _cut(tracked: Tracked, outcome: Outcome, detail: str) -> Part:
    """Return an end that says that the answer is not whole."""
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
    state: RouterState, tracked: Tracked, notice: Notice, now_s: float
) -> float:
    if notice in PASSING:
        return PASSING_S
    if notice not in OVERLOAD:
        return 0.0
    key = queue_key(tracked)
    waiting = state.waiting(key)
    return state.drain.retry_after_s(key, waiting, state.rng, now_s)


def _where(state: RouterState, tracked: Tracked) -> str:
    if tracked.agent is None:
        return ""
    view = state.agents.get(tracked.agent)
    return "" if view is None else endpoint_of(view)
