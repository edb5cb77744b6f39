"""Decides whether a failed attempt is retried, and what the caller gets.

An *attempt* sends a request to one endpoint.  The caller gets "not run"
only if no byte of any attempt may have been sent, or the endpoint itself
reported that it did not run the request.

Some statuses promise the same.  An endpoint that answers with one, but does
not report that, may have run the request.  A caller who must not repeat it
would take the status for the promise, and gets another one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from bulrushstream.state.call import AnswerHead
from bulrushstream.state.routes import RequestKind, Route


class Failure(IntEnum):
    """How an attempt failed."""

    NO_ENDPOINT = 1  # No endpoint was available.
    NOT_SENT = 2  # No connection could be made; no byte was sent.
    NOT_EXECUTED = 3  # The endpoint reported that it did not run it.
    BROKEN = 4  # It was sent, and no complete answer arrived.
    ERROR = 5  # The endpoint answered with a server error.
    FALSE_REFUSAL = 6  # See `is_false_refusal`.


class RetryDecision(IntEnum):
    """What follows a failed attempt."""

    RETRY = 1  # Send the request to another endpoint.
    REFUSE = 2  # The caller's error says that it was not run.
    FAIL = 3  # The caller's error says that it may have run.
    RELAY = 4  # Pass the endpoint's error on to the caller.


# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Progress:
    """The attempts of one request so far."""

    sends: int = 0  # Attempts of which a byte may have been sent.
    unsent: int = 0  # Attempts that failed before a byte was sent.
    may_have_run: bool = False  # Whether "not run" may be false.


# A repeatable request without an answer is retried at another endpoint after
# its latency target times this factor, but not before the minimum.
OVERDUE_TARGET_FACTOR: Final = 3.0
MIN_OVERDUE_S: Final = 0.3

# A resumable stream without a new event is resumed at another endpoint after
# the route's target gap between events times this factor, but not before the
# minimum.
OVERDUE_GAP_FACTOR: Final = 5.0
MIN_STREAM_OVERDUE_S: Final = 1.0

# A request is refused after this many attempts without a connection.
MAX_UNSENT: Final = 4


def decide_retry(
    route: Route,
    progress: Progress,
    failure: Failure,
    *,
    time_left: bool,
    acquire_retry: Callable[[], bool],
) -> RetryDecision:
    """Return what follows a failed attempt.

    :param route: the request's route
    :param progress: the request's attempts, this one included
    :param failure: how the attempt failed
    :param time_left: whether another attempt could end before the deadline
    :param acquire_retry: uses one retry of the quota and returns whether
        one was available; called only if everything else allows a retry
    """
    if failure is Failure.NOT_SENT:
        again = progress.unsent < MAX_UNSENT and time_left
        if again and (route.repeatable or not progress.may_have_run):
            return RetryDecision.RETRY
    elif failure is not Failure.NO_ENDPOINT:
        safe = route.repeatable or not progress.may_have_run
        attempts_left = progress.sends < route.max_attempts
        if safe and attempts_left and time_left and acquire_retry():
            return RetryDecision.RETRY
    if failure is Failure.ERROR:
        return RetryDecision.RELAY
    return (
        RetryDecision.FAIL if progress.may_have_run else RetryDecision.REFUSE
    )


def is_false_refusal(route: Route, head: AnswerHead) -> bool:
    """Return whether an answer's status promises too much to be passed on.

    :param route: the request's route
    :param head: the head of an endpoint's answer
    """
    return (
        head.status in NOT_RUN_STATUSES
        and not head.not_executed
        and not route.repeatable
    )


def overdue_delay_s(route: Route, *, stream_begun: bool) -> float:
    """Return after which time without progress an endpoint is overdue.

    :param route: the request's route, which permits repeats
    :param stream_begun: whether events of its stream have arrived
    """
    if route.kind is not RequestKind.STREAMING:
        return max(
            MIN_OVERDUE_S, OVERDUE_TARGET_FACTOR * route.latency_target_s
        )
    delay_s = max(
        MIN_STREAM_OVERDUE_S, OVERDUE_GAP_FACTOR * route.max_event_gap_s
    )
    return delay_s if stream_begun else delay_s + route.latency_target_s
