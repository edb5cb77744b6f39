"""Gives a caller the last word on its request, and forgets the request.

Every way in which a request can end goes through here, so that it ends
once and with an outcome that is true: not-run only if no attempt of it can
have been started.
"""

from __future__ import annotations

from bulrushstream.coordination import dispatching
from bulrushstream.coordination.routing import (
    Phase,
    RouterState,
    Timer,
    Tracked,
    endpoint_of,
)
from bulrushstream.messages import Notice
from bulrushstream.state.effect import Fail, Reply
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Outcome


def fail(
    state: RouterState,
    tracked: Tracked,
    notice: Notice,
    now_s: float,
    outcome: Outcome | None = None,
    detail: str = "",
) -> None:
    """End a request without a whole answer.

    A caller that already has part of the answer gets an end that says
    that the answer is not whole.

    :param state: the router
    :param tracked: the request
    :param notice: why it ends
    :param now_s: the time on the core's clock
    :param outcome: the outcome; None: what its attempts allow to say
    :param detail: more on what went wrong
    """
    if outcome is None:
        outcome = tracked.outcome
    if not tracked.answered:
        _give_failure(state, tracked, notice, outcome, detail)
        state.decide(
            "refuse" if outcome is Outcome.NOT_RUN else "fail",
            notice.code,
            tracked,
            now_s,
            _where(state, tracked),
            outcome.value,
        )
    forget(state, tracked)


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
        state.decide(
            "finish",
            "whole answer",
            tracked,
            now_s,
            _where(state, tracked),
            part.outcome.value,
        )
    forget(state, tracked)


def give(state: RouterState, tracked: Tracked, part: Part) -> None:
    """Give a caller a part, with the head before the first other one.

    :param state: the router
    :param tracked: the request
    :param part: a part in order
    """
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


def forget(state: RouterState, tracked: Tracked) -> None:
    """Drop all that is known of a request.

    :param state: the router
    :param tracked: the request
    """
    request_id = tracked.request.request_id
    dispatching.withdraw(state, tracked)
    release(state, tracked)
    for timer in (Timer.DEADLINE, Timer.RETRY):
        state.timers.cancel((timer, request_id))
    tracked.answered = True
    state.tracked.pop(request_id, None)


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
    for timer in (Timer.ACK, Timer.PROBE, Timer.GRACE):
        state.timers.cancel((timer, request_id))
    tracked.agent = None
    tracked.head = None
    tracked.phase = Phase.HELD


def _give_failure(
    state: RouterState,
    tracked: Tracked,
    notice: Notice,
    outcome: Outcome,
    detail: str,
) -> None:
    request_id = tracked.request.request_id
    tracked.answered = True
    if tracked.given:
        end = Part(
            request_id=request_id,
            attempt=tracked.attempt,
            sequence=tracked.answer.next_sequence,
            kind=PartKind.END,
            outcome=outcome,
            whole=False,
            detail=detail or notice.text,
        )
        state.out.append(Reply(request_id, end))
        return
    state.out.append(Fail(request_id, notice.code, outcome, 0.0, detail))


def _where(state: RouterState, tracked: Tracked) -> str:
    if tracked.agent is None:
        return ""
    view = state.agents.get(tracked.agent)
    return "" if view is None else endpoint_of(view)
