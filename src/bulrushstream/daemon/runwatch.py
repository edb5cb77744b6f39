"""Tells a router's `CrashWatch` of runs that broke or went silent."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from bulrushstream.coordination.crashevidence import BrokenRun
from bulrushstream.state.call import part_name
from bulrushstream.state.endpointsigns import Sign

if TYPE_CHECKING:
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.daemon.front import Front

# A cancelled run whose endpoint was silent for this long may have lost it,
# and so may one in flight after the second figure.
MIN_SILENCE_S: Final = 0.25
LONG_SILENCE_S: Final = 0.8


def run_broken(
    attempt: Attempt, detail: str, broke_s: float | None = None
) -> None:
    """Handle a connection that ended while a request was in flight.

    :param attempt: the attempt
    :param detail: how the connection ended
    :param broke_s: when it ended; None: now
    """
    if broke_s is None:
        broke_s = attempt.front.clock()
    # If the endpoint crashed, its idle connections are dead too.
    attempt.pool.retire_idle()
    _watch(attempt, _describe_run(attempt, broke_s), detail)


def run_unframed(attempt: Attempt) -> None:
    """Handle an answer without a length that ended with its connection.

    :param attempt: the attempt
    """
    _watch_passively(attempt)


def run_cancelled(attempt: Attempt) -> None:
    """Handle an attempt that the router ends without an answer.

    :param attempt: the attempt
    """
    if not attempt.sent_s:
        return
    if attempt.front.clock() - _heard_s(attempt) >= MIN_SILENCE_S:
        _watch_silent(attempt)
    elif attempt.forward.shared_parts:
        _watch_passively(attempt)


def watch_silent_runs(front: Front) -> None:
    """Watch the runs whose endpoints have been silent for long.

    :param front: the router
    """
    now_s = front.clock()
    for forward in front.forwards:
        attempt = forward.attempt
        if attempt is None or forward.done:
            continue
        if not attempt.in_flight or not attempt.sent_s:
            continue
        limit_s = LONG_SILENCE_S
        if attempt.last_heard_s == attempt.sent_s:
            limit_s = max(limit_s, forward.route.latency_target_s)
        heard_s = front.wakefulness.counts_from_s(attempt.last_heard_s, now_s)
        if now_s - heard_s <= limit_s:
            continue
        if not attempt.pool.is_heard(attempt.sent_s, now_s - LONG_SILENCE_S):
            _watch_silent(attempt)


def endpoint_removed(front: Front, endpoint: str) -> None:
    """Handle an endpoint that the endpoint list dropped.

    :param front: the router
    :param endpoint: the endpoint's id
    """
    watch_silent_runs(front)
    front.crash_watch.add_sign(endpoint, Sign.REMOVED)


def process_replaced(front: Front, endpoint: str) -> None:
    """Handle an id under which the endpoint list names another process.

    :param front: the router
    :param endpoint: the id
    """
    watch_silent_runs(front)
    front.crash_watch.process_replaced(endpoint)


def _watch_passively(attempt: Attempt) -> None:
    """Watch a run by what is seen of its endpoint anyway."""
    run = _describe_run(attempt, attempt.front.clock())
    attempt.front.crash_watch.add(
        attempt.endpoint, attempt.pool, replace(run, passive=True)
    )


def _watch_silent(attempt: Attempt) -> None:
    """Watch a run whose endpoint is silent, once for each silence."""
    if _read_s(attempt) <= attempt.silent_since_s:
        return
    attempt.silent_since_s = at_s = _heard_s(attempt)
    # The verdict takes time, in which such a request may come again.
    run = _describe_run(attempt, at_s, silent=True)
    attempt.front.end_unknown(attempt.endpoint.name, run)
    _watch(attempt, run, "silent")


def _heard_s(attempt: Attempt) -> float:
    """Return since when the process that runs a request may be silent.

    It could not be heard before the end of a pause.
    """
    front = attempt.front
    return front.wakefulness.counts_from_s(_read_s(attempt), front.clock())


def _read_s(attempt: Attempt) -> float:
    """Return when bytes of the process that runs a request were last read.

    Connections that were opened after the request was sent may lead to
    another process.
    """
    return max(attempt.last_heard_s, attempt.pool.heard_s(attempt.sent_s))


def _describe_run(
    attempt: Attempt, broke_s: float, *, silent: bool = False
) -> BrokenRun:
    """Return the run of an attempt."""
    forward = attempt.forward
    return BrokenRun(
        forward.call.request_id,
        forward.fingerprint,
        broke_s,
        silent,
        attempt.unproven_connection,
        attempt.progress,
        forward.shared_parts,
        attempt.sent_s,
        attempt.began_s,
    )


def _watch(attempt: Attempt, run: BrokenRun, detail: str) -> None:
    """Log a run that broke or went silent, and have it judged."""
    front, endpoint = attempt.front, attempt.endpoint
    front.log_decision(
        "run_broken",
        detail,
        attempt.forward,
        endpoint=endpoint.name,
        inputs={
            "fingerprint": run.fingerprint,
            "parts": ",".join(map(part_name, run.parts)),
            "answer": run.progress.value,
            "reused": int(run.unproven_connection),
        },
    )
    front.crash_watch.add(endpoint, attempt.pool, run)
