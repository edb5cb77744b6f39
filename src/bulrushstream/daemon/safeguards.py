"""Refuses requests for the sake of the endpoints.

Some requests may crash endpoints, by what they are or by a part of their
prompts; others exceed the limits that endpoints name.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bulrushstream import messages
from bulrushstream.coordination.crashevidence import BrokenRun
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.partsuspects import PartVerdict
from bulrushstream.messages import Notice
from bulrushstream.state.call import part_name

if TYPE_CHECKING:
    from bulrushstream.coordination.fleetstate import FleetState
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.daemon.front import Front


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and when it may come again."""

    notice: Notice
    part: str = ""  # The part of its prompt that crashes endpoints, if any.
    wait_s: float = 0.0  # Until it may be served; 0: not known.
    final: bool = False  # Whether it can not be served later either.


def crash_refusal(
    state: FleetState, forward: Forward, now_s: float
) -> Refusal | None:
    """Return why a request is refused as endpoints may crash under it.

    :param state: the router's state
    :param forward: the request
    :param now_s: the time
    :returns: the reason; None: it may run
    """
    suspects, parts = state.suspects, state.parts
    if suspects and suspects.is_refused(
        forward.fingerprint, now_s, parts.explained_crashes()
    ):
        return Refusal(messages.CRASHES_ENDPOINTS)
    judgement = parts.judge(forward.shared_parts, now_s)
    name = part_name(judgement.part)
    if judgement.verdict is PartVerdict.REFUSE:
        return Refusal(messages.CRASHES_ENDPOINTS, name)
    if judgement.verdict is PartVerdict.TRY:
        forward.on_trial = True
    # Its own trial is not over while no endpoint has got it.
    own_trial = forward.on_trial and not forward.progress.sends
    if judgement.verdict is PartVerdict.HOLD and not own_trial:
        return Refusal(messages.PART_HELD, name, judgement.due_s - now_s)
    return None


def retry_refusal(front: Front, forward: Forward) -> Refusal | None:
    """Return why a request is not sent again after a failed attempt.

    Runs that are still judged count as crashes if an endpoint crashed under
    such a request before: the next one may be one too many.

    :param front: the router
    :param forward: the request
    :returns: the reason; None: it may run again
    """
    state, now_s = front.fleet_state, front.clock()
    if state.suspects:
        fingerprint = forward.fingerprint
        unjudged = front.crash_watch.unjudged(fingerprint)
        if unjudged and state.suspects.may_reach_limit(
            fingerprint, unjudged, now_s
        ):
            return Refusal(messages.CRASHES_ENDPOINTS)
    return crash_refusal(state, forward, now_s)


def is_watched(state: FleetState, forward: Forward, now_s: float) -> bool:
    """Return whether endpoints may have crashed under such a request.

    :param state: the router's state
    :param forward: the request
    :param now_s: the time
    """
    if forward.on_trial or state.parts.is_watched(forward.shared_parts, now_s):
        return True
    suspects = state.suspects
    return bool(suspects) and suspects.is_watched(forward.fingerprint, now_s)


def select_endpoints(
    state: FleetState,
    endpoints: list[Endpoint],
    now_s: float,
    *,
    on_trial: bool = False,
) -> list[Endpoint] | Refusal:
    """Return the endpoints that may get a request now.

    :param state: the router's state
    :param endpoints: those that accept requests
    :param now_s: the time
    :param on_trial: whether the request is a trial, which must not run
        beside another one
    :returns: some of them; the reason if none may get it
    """
    if on_trial:
        trials = state.parts.trials
        endpoints = [
            each for each in endpoints if not trials.runs_at(each.name, now_s)
        ]
        if not endpoints:
            return Refusal(messages.PART_HELD)
    limits, cold = state.limits, state.cold
    if not (limits or cold) or not endpoints:
        return endpoints
    cold_s = [0.0]
    if cold:
        cold_s = waits_s = [
            cold.room_s(each.name, now_s) for each in endpoints
        ]
    if limits:
        waits_s = [limits.room_s(each.name, now_s) for each in endpoints]
        if cold:
            waits_s = list(map(max, waits_s, cold_s))
    return select_by_waits(endpoints, waits_s, cold_s)


def select_by_waits(
    endpoints: list[Endpoint], waits_s: list[float], cold_s: list[float]
) -> list[Endpoint] | Refusal:
    """Return the endpoints whose limits have room for a request now.

    :param endpoints: those that accept requests, at least one
    :param waits_s: the time until each may get a request; 0: now
    :param cold_s: the part of it that is due to the cold ones
    :returns: some of them; the reason if none may get it
    """
    if min(waits_s) > 0.0:
        notice = messages.LIMITS_REACHED
        if any(cold_s):
            notice = messages.ENDPOINTS_COLD
        return Refusal(notice, wait_s=min(waits_s))
    pairs = zip(endpoints, waits_s, strict=True)
    return [each for each, wait_s in pairs if wait_s <= 0.0]


def count_diverted(
    state: FleetState, endpoints: list[Endpoint], now_s: float
) -> None:
    """Count a request that goes elsewhere as some endpoints are cold.

    :param state: the router's state
    :param endpoints: those that accept requests
    :param now_s: the time
    """
    cold = state.cold
    cold.diverted(
        each.name for each in endpoints if cold.room_s(each.name, now_s)
    )


def endpoint_crashed(
    state: FleetState, endpoint: str, run: BrokenRun, now_s: float
) -> None:
    """Count a crash of an endpoint against a run that broke there.

    :param state: the router's state
    :param endpoint: the endpoint's id
    :param run: the run
    :param now_s: the time
    """
    state.suspects.endpoint_crashed(
        endpoint, run.fingerprint, run.broke_s, now_s
    )
    parts = run.parts if run.had_just_begun else ()
    if parts:
        state.parts.endpoint_crashed(
            endpoint, parts, run.sent_s, run.broke_s, now_s
        )
    state.crash_records.found(
        endpoint, run.broke_s, run.fingerprint, parts, now_s
    )


def request_ran(state: FleetState, attempt: Attempt, now_s: float) -> None:
    """Record what the answer that a caller got shows of its endpoint.

    :param state: the router's state
    :param attempt: the attempt that got the answer
    :param now_s: the time
    """
    forward = attempt.forward
    if attempt.is_proof and state.suspects:
        state.suspects.request_ran(forward.fingerprint, now_s)
    if attempt.proves_parts:
        state.parts.answered(forward.shared_parts, attempt.began_s, now_s)


def end_unknown(
    state: FleetState, endpoint: str, run: BrokenRun, now_s: float
) -> None:
    """Watch a request and its parts: its endpoint may have crashed.

    :param state: the router's state
    :param endpoint: the endpoint's id
    :param run: the run that broke there
    :param now_s: the time
    """
    state.suspects.end_unknown(endpoint, run.fingerprint, run.broke_s, now_s)
    state.parts.end_unknown(endpoint, run.parts, run.broke_s, now_s)
