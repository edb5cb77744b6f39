"""Tells a router's `CrashWatch` of runs that broke or went silent."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from bulrushstream.coordination.crashevidence import BrokenRun
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.state.call import part_name
from bulrushstream.state.endpointsigns import Sign

if TYPE_CHECKING:
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.daemon.front import Front

# A cancelled run whose endpoint was silent for this long may have lost it,
# and so may one in flight after the second figure.
MIN_SILENCE_S: Final = 0.25
LONG_SILENCE_S: Final = 0.8


def run_broken(
    front: Front, forward: Forward, endpoint: Endpoint, detail: str
) -> None:
    """Handle a connection that ended while a request was in flight.

    :param front: the router
    :param forward: the request
    :param endpoint: where it was sent
    :param detail: how the connection ended
    """
    # If the endpoint crashed, its idle connections are dead too.
    forward.pool.retire_idle()
    run = _describe_run(forward, front.clock())
    _watch(front, forward, endpoint, run, detail)


def run_unframed(front: Front, forward: Forward, endpoint: Endpoint) -> None:
    """Handle an answer without a length that ended with its connection.

    :param front: the router
    :param forward: the request
    :param endpoint: where it was sent
    """
    _watch_passively(front, forward, endpoint)


def run_cancelled(front: Front, forward: Forward, endpoint: Endpoint) -> None:
    """Handle an attempt that the router ends without an answer.

    :param front: the router
    :param forward: the request
    :param endpoint: where it was sent
    """
    if not forward.sent_s:
        return
    now_s = front.clock()
    if now_s - _heard_s(forward) >= MIN_SILENCE_S:
        _watch_silent(front, forward, endpoint)
    elif forward.shared_parts:
        _watch_passively(front, forward, endpoint)


def watch_silent_runs(front: Front) -> None:
    """Watch the runs whose endpoints have been silent for long.

    :param front: the router
    """
    now_s = front.clock()
    for forward in front.forwards:
        endpoint = forward.endpoint
        if endpoint is None or forward.done:
            continue
        limit_s = LONG_SILENCE_S
        if forward.last_heard_s == forward.sent_s:
            limit_s = max(limit_s, forward.route.latency_target_s)
        if now_s - forward.last_heard_s <= limit_s:
            continue
        if not forward.pool.is_heard(forward.sent_s, now_s - LONG_SILENCE_S):
            _watch_silent(front, forward, endpoint)


def endpoint_removed(front: Front, endpoint: str) -> None:
    """Handle an endpoint that the endpoint list dropped.

    :param front: the router
    :param endpoint: the endpoint's id
    """
    watch_silent_runs(front)
    front.crash_watch.add_sign(endpoint, Sign.REMOVED)


def _watch_passively(
    front: Front, forward: Forward, endpoint: Endpoint
) -> None:
    """Watch a run by what is seen of its endpoint anyway."""
    run = _describe_run(forward, front.clock())
    front.crash_watch.add(endpoint, forward.pool, replace(run, passive=True))


def _watch_silent(front: Front, forward: Forward, endpoint: Endpoint) -> None:
    """Watch a run whose endpoint is silent, once for each silence."""
    at_s = _heard_s(forward)
    if at_s <= forward.silent_since_s:
        return
    forward.silent_since_s = at_s
    # The verdict takes time, in which such a request may come again.
    run = _describe_run(forward, at_s, silent=True)
    front.end_unknown(endpoint.name, run)
    _watch(front, forward, endpoint, run, "silent")


def _heard_s(forward: Forward) -> float:
    """Return when the process that runs a request was last heard.

    Connections that were opened after the request was sent may lead to
    another process.
    """
    return max(forward.last_heard_s, forward.pool.heard_s(forward.sent_s))


def _describe_run(
    forward: Forward, broke_s: float, *, silent: bool = False
) -> BrokenRun:
    """Return the run of a request's current attempt."""
    return BrokenRun(
        forward.call.request_id,
        forward.fingerprint,
        broke_s,
        silent,
        forward.unproven_connection,
        forward.answer_progress,
        forward.shared_parts,
        forward.sent_s,
        forward.began_s,
    )


def _watch(
    front: Front,
    forward: Forward,
    endpoint: Endpoint,
    run: BrokenRun,
    detail: str,
) -> None:
    """Log a run that broke or went silent, and have it judged."""
    front.log_decision(
        "run_broken",
        detail,
        forward,
        endpoint=endpoint.name,
        inputs={
            "fingerprint": run.fingerprint,
            "parts": ",".join(map(part_name, run.parts)),
            "answer": run.progress.value,
            "reused": int(run.unproven_connection),
        },
    )
    front.crash_watch.add(endpoint, forward.pool, run)
