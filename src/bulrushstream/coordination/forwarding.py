"""What may follow an attempt that failed.

An *attempt* sends a request to one endpoint.  What a caller may be told
follows from how far the attempt came: "not run" is said only if no byte
went out or the endpoint itself said so.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from bulrushstream.state.routes import Route


class Failure(IntEnum):
    """How an attempt failed."""

    NO_ENDPOINT = 1  # No endpoint could be chosen.
    NOT_SENT = 2  # No connection could be made; no byte went out.
    NOT_EXECUTED = 3  # The endpoint said that it did not run it.
    BROKEN = 4  # It was sent, and no whole answer came.
    ERROR = 5  # The endpoint answered with a server error of its own.


class Verdict(IntEnum):
    """What to do about a failed attempt."""

    RETRY = 1  # Send it to another endpoint.
    REFUSE = 2  # Tell the caller that it was not run.
    FAIL = 3  # Tell the caller that it may have run.
    RELAY = 4  # Give the caller the endpoint's own answer.


@dataclass(slots=True)
class Progress:
    """How far a request has come."""

    sends: int = 0  # Attempts of which a byte may have gone out.
    failures: int = 0  # Attempts that failed before a byte went out.
    may_have_run: bool = False  # Whether "not run" can not be said.


# A request looks for an endpoint that can be connected this many times.
MAX_UNSENT: Final = 4


def judge(
    route: Route,
    progress: Progress,
    failure: Failure,
    *,
    time_left: bool,
    take_retry: Callable[[], bool],
) -> Verdict:
    """Return what follows a failed attempt.

    :param route: the request's route
    :param progress: how far it has come, this attempt included
    :param failure: how the attempt failed
    :param time_left: whether another attempt could still be of use
    :param take_retry: takes one from the budget of retries, if there is
        one; asked only if everything else allows a retry
    """
    if failure is Failure.NOT_SENT:
        again = progress.failures < MAX_UNSENT and time_left
        if again and (route.repeatable or not progress.may_have_run):
            return Verdict.RETRY
    elif failure is not Failure.NO_ENDPOINT:
        harmless = route.repeatable or not progress.may_have_run
        more = progress.sends < route.max_attempts
        if harmless and more and time_left and take_retry():
            return Verdict.RETRY
    if failure is Failure.ERROR:
        return Verdict.RELAY
    return Verdict.FAIL if progress.may_have_run else Verdict.REFUSE
