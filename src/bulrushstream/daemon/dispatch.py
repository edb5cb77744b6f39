"""Chooses the endpoint of each attempt, and when a refused caller returns."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from bulrushstream import messages
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.placement import (
    EngineChoice,
    Prediction,
    candidates_of,
    choose_engine,
    choose_plain,
    first_admitted,
)
from bulrushstream.coordination.returns import returning_share_used
from bulrushstream.daemon import (
    evacuating,
    processproofs,
    returning,
    safeguards,
    takeups,
)
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.state.call import Prompt

if TYPE_CHECKING:
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.daemon.front import Front

# Bounds of a refused caller's retry-after time, as fractions of its latency
# target: long enough for a queue to change, short enough that the answer
# can still meet the target.
RETRY_TARGET_FRACTIONS: Final = (0.2, 0.5)

# Callers obey a retry-after time of up to this fraction of their remaining
# time.
MAX_RETRY_FRACTION: Final = 1.0 / 3.0

# This part of the engines is left idle for bursts: only beyond it a request
# may go before those that wait for their share.
MIN_IDLE_FRACTION: Final = 0.2

# Why a request may not go to an engine now.
LATE_REASON: Final = "predicted first token misses the latency target"
YIELD_REASON: Final = "workspace over its share, and others are waiting"


def choose_endpoint(
    front: Front, forward: Forward
) -> tuple[Endpoint, int] | Refusal | None:
    """Choose an endpoint and start an attempt there.

    :param front: the router
    :param forward: the request
    :returns: the endpoint and the attempt's number; None if no endpoint
        accepts requests; the reason if the request is refused
    """
    now_s = front.clock()
    check = forward.end_check
    tried = forward.tried if check is None else check.tried
    usable = takeups.usable(forward, tried)
    if not usable and forward.route.repeatable:
        usable = takeups.usable(forward)
    if not usable:
        refusal = _rest_refusal(front, forward, now_s) or evacuating.refusal(
            front, forward
        )
        if refusal is not None:
            return refusal
    if not usable and forward.version is not None:
        return takeups.version_gone(forward)
    selected = safeguards.select_endpoints(
        front.fleet_state, usable, now_s, on_trial=forward.on_trial
    )
    if isinstance(selected, Refusal):
        if selected.notice is messages.LIMITS_REACHED:
            front.fleet_state.limits.refused(each.name for each in usable)
        elif selected.notice is messages.ENDPOINTS_COLD:
            front.fleet_state.cold.refused(each.name for each in usable)
        return selected
    if front.fleet_state.cold and len(selected) < len(usable):
        safeguards.count_diverted(front.fleet_state, usable, now_s)
    usable = selected
    prompt = forward.call.prompt
    if prompt is None or not any(each.view for each in usable):
        zone = front.settings.availability_zone
        plain = choose_plain(usable, zone, front.rng, now_s)
        if plain is None:
            return None
        return plain, _record_attempt(front, forward, plain, None, now_s)
    choice = choose_engine(
        usable,
        prompt,
        front.fleet_state.prefill_rate,
        now_s,
        front.fleet_state.prompt_mixes.preference(forward.service),
    )
    if choice is None:
        return None
    spare = spare_engines(choice, len(usable))
    prediction, reason = _admitted(
        front,
        forward,
        prompt,
        choice,
        spare,
        len(usable),
        now_s,
        reads_anew=may_read_anew(choice, len(usable)),
    )
    if reason:
        return _refuse_admission(
            front, forward, prediction, reason, len(usable)
        )
    number = _record_attempt(
        front, forward, prediction.endpoint, prediction, now_s
    )
    return prediction.endpoint, number


def spare_engines(choice: EngineChoice, engines: int) -> float:
    """Return the idle engines beyond those left for bursts.

    :param choice: the best engines
    :param engines: the engines in use
    """
    return choice.idle_engines - MIN_IDLE_FRACTION * engines


def may_read_anew(choice: EngineChoice, engines: int) -> bool:
    """Return whether a request may go to an idle engine that keeps less of it.

    A few engines are idle by chance also in overload.

    :param choice: the best engines
    :param engines: the engines in use
    """
    return choice.idle_engines >= math.sqrt(engines)


def _rest_refusal(
    front: Front, forward: Forward, now_s: float
) -> Refusal | None:
    """Return the refusal of a request that all endpoints' rest turns away."""
    resting = front.pool.resting(forward.service, now_s, forward.version)
    if not resting:
        return None
    for name in resting:
        front.fleet_state.notices.turned_away(name)
    return Refusal(messages.ENDPOINTS_REST, wait_s=min(resting.values()))


def _admitted(
    front: Front,
    forward: Forward,
    prompt: Prompt,
    choice: EngineChoice,
    spare: float,
    engines: int,
    now_s: float,
    *,
    reads_anew: bool,
) -> tuple[Prediction, str]:
    """Return the engine for a request, and why it may not go there now.

    The reason is empty if it may.  A request that was already sent once is
    not refused any more.

    :param spare: idle engines beyond those left for bursts
    :param engines: the engines in use
    :param reads_anew: whether it may go to an idle engine that keeps less of
        its prompt
    """
    best = choice.best
    if forward.progress.sends or forward.exchange.started:
        return best, ""
    first_attempt_s, share_used = forward.arrived_s, forward.share_used
    if forward.promise is not None:
        first_attempt_s = forward.promise.first_attempt_s
    if returning.has_priority_now(front, forward):
        share_used = returning_share_used(share_used)
    target_left_s = forward.route.latency_target_s - (now_s - first_attempt_s)
    latency_target_s = _shortest_target_s(front, forward)
    if takeups.is_restricted(forward):
        for each in candidates_of(choice, may_read_anew=False):
            if each.wait_s <= latency_target_s:
                return each, ""
        return best, LATE_REASON
    candidates = candidates_of(choice, may_read_anew=reads_anew)
    admitted = first_admitted(
        candidates,
        target_left_s,
        latency_target_s,
        share_used,
        lambda each: returning.promised_wait_s(
            front, forward, each, engines, now_s
        ),
    )
    if admitted is None:
        if front.fleet_state.returns.acts_for(forward.service):
            # The time to return follows from the least wait.
            best = min(candidates, key=lambda each: each.first_token_s)
        return best, LATE_REASON
    if front.fleet_state.must_yield(forward.workspace, prompt, spare, now_s):
        return admitted, YIELD_REASON
    return admitted, ""


def _shortest_target_s(front: Front, forward: Forward) -> float:
    """Return the shortest latency target of a request's service."""
    latency_target_s = forward.route.latency_target_s
    if front.table is None:
        return latency_target_s
    return front.table.shortest_latency_target_s.get(
        forward.service, latency_target_s
    )


def _refuse_admission(
    front: Front,
    forward: Forward,
    prediction: Prediction,
    reason: str,
    engines: int,
) -> Refusal:
    """Log the refusal of a request by admission; return it."""
    front.log_decision(
        "shed",
        reason,
        forward,
        endpoint=prediction.endpoint.name,
        inputs={
            **_prediction_inputs(prediction),
            "share_used": round(forward.share_used, 3),
        },
    )
    may_return = takeups.is_restricted(forward) or returning.plan_return(
        front,
        forward,
        prediction,
        engines,
        _shortest_target_s(front, forward),
        may_reserve=reason != YIELD_REASON,
    )
    front.fleet_state.returns.refused(
        _refusal_name(forward, reason, may_return=may_return)
    )
    exceeded = forward.share_used > 1.0
    notice = messages.SHARE_EXCEEDED if exceeded else messages.NO_CAPACITY
    return Refusal(notice, final=not may_return)


def _refusal_name(forward: Forward, reason: str, *, may_return: bool) -> str:
    """Return a refusal's reason as a label of metrics."""
    if not may_return:
        return "hopeless"
    if reason == YIELD_REASON:
        return "others_wait"
    return "share_used" if forward.share_used > 1.0 else "no_capacity"


def _record_attempt(
    front: Front,
    forward: Forward,
    endpoint: Endpoint,
    prediction: Prediction | None,
    now_s: float,
) -> int:
    """Record an attempt, inform the peers, and return its number."""
    prompt = forward.call.prompt if prediction is not None else None
    number = front.fleet_state.place(
        endpoint, prompt, forward.workspace, now_s, forward.deadline_s
    )
    front.fleet_state.parts.placed(endpoint.name, forward.shared_parts, now_s)
    inputs: dict[str, float | int | str] = {}
    if prediction is not None:
        inputs = _prediction_inputs(prediction)
    if forward.resumes:
        inputs["after_event"] = forward.splitter.last_id or 0
        inputs["first_request"] = forward.call.first_request_id
        inputs["list_age_s"] = processproofs.list_age_s(front)
    if endpoint.entry.version:
        inputs["version"] = endpoint.entry.version
    front.log_decision(
        "dispatch",
        "least predicted time" if prediction else "fewest requests",
        forward,
        endpoint=endpoint.name,
        attempt=forward.progress.sends + 1,
        inputs=inputs,
    )
    return number


def has_alternative(
    front: Front, forward: Forward, endpoint: Endpoint
) -> bool:
    """Return whether an untried endpoint could run the request.

    :param front: the router
    :param forward: the request
    :param endpoint: where it was sent last
    """
    tried = {*forward.tried, endpoint.name}
    now_s = front.clock()
    usable = takeups.usable(forward, tried)
    selected = safeguards.select_endpoints(front.fleet_state, usable, now_s)
    return bool(selected) and not isinstance(selected, Refusal)


def retry_after_s(front: Front, forward: Forward, wait_s: float) -> float:
    """Return the retry-after time of a refused request, in seconds.

    :param front: the router
    :param forward: the request
    :param wait_s: the time until it may be served; 0: not known
    """
    if forward.return_s:
        return forward.return_s
    remaining_s = returning.remaining_s(front, forward)
    # Spread randomly, so that refused callers do not return in a wave.
    retry_s = forward.route.latency_target_s * front.rng.uniform(
        *RETRY_TARGET_FRACTIONS
    )
    if wait_s:
        return wait_s + retry_s
    return max(0.01, min(retry_s, remaining_s * MAX_RETRY_FRACTION))


def _prediction_inputs(
    prediction: Prediction,
) -> dict[str, float | int | str]:
    """Return a prediction as inputs of a logged decision."""
    return {
        "wait_s": round(prediction.wait_s, 4),
        "read_s": round(prediction.prefill_s, 4),
        "read_tokens": int(prediction.prefill_tokens),
        "kept_tokens": prediction.cached_tokens,
        "room": int(prediction.has_capacity),
    }
