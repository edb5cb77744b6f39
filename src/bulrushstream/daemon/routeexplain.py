"""Explains where a request would go now, without sending it.

The answer comes from the same decisions as for a caller's request, in the
same order.  Whatever a decision would count or use up is computed on copies,
so that an explanation changes no later decision.  As at each request, crashes
that the router learned of since its last sweep are evaluated, and logged.
"""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING, Final

import msgspec

from bulrushstream import messages
from bulrushstream.coordination.partsuspects import PartVerdict
from bulrushstream.coordination.placement import (
    candidates_of,
    choose_engine,
    choose_plain,
    first_admitted,
    predict,
)
from bulrushstream.coordination.returns import (
    Promise,
    ReturnPromises,
    has_priority,
    returning_share_used,
)
from bulrushstream.coordination.routetable import pick_service
from bulrushstream.daemon import dispatch, safeguards
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.messages import Notice
from bulrushstream.protocol.dialect import HeadError
from bulrushstream.protocol.prompt import fingerprint
from bulrushstream.state.call import Call, Prompt, RawHeaders, part_name
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.explanation import (
    EndpointStatus,
    EnginePrediction,
    Explanation,
    Question,
)
from bulrushstream.state.routes import RequestKind, Route

if TYPE_CHECKING:
    from bulrushstream.coordination.endpointpool import Endpoint
    from bulrushstream.coordination.fairshare import FairShares
    from bulrushstream.daemon.front import Front

NO_ENDPOINT_REASON: Final = "no endpoint accepts requests"


@dataclass(frozen=True, slots=True)
class _Asked:
    """The request as far as it is decided already."""

    call: Call
    route: Route
    service: str
    workspace: str
    now_s: float
    rng: Random  # A copy of the router's.
    shares: FairShares  # A copy that has the request's demand.
    share_used: float
    returns: ReturnPromises  # A copy in which its promise is used up.
    promise: Promise | None
    on_trial: bool  # Whether it shows if parts of its prompt crash endpoints.


def answer_where(front: Front, body: bytes) -> tuple[int, bytes]:
    """Return the status and the JSON that answer an operator's question.

    :param front: the router
    :param body: the JSON of a `Question`
    """
    try:
        question = msgspec.json.decode(body, type=Question)
        explained = explain(front, question)
    except (*DECODE_ERRORS, HeadError, UnicodeError) as error:
        # The reason of an `UnicodeError` does not have the text, which may
        # be a key.
        why = getattr(error, "reason", None) or str(error)
        return 400, msgspec.json.encode({"error": f"bad request: {why}"})
    return 200, msgspec.json.encode(explained)


def explain(front: Front, question: Question) -> Explanation:
    """Return where a request would go now; nothing changes.

    :param front: the router
    :param question: the request
    :raises HeadError: if its head is malformed
    :raises UnicodeError: if its head has characters that HTTP does not allow
    """
    call = front.dialect.decode_call(
        question.method.encode("ascii"),
        question.path.encode("latin-1"),
        _headers(question),
    )
    now_s = front.clock()
    if now_s >= front.refuse_from_s:
        return _refused(messages.DRAINING)
    admitted = front.admit(call, front.boot_clock())
    if isinstance(admitted, Notice):
        return _refused(admitted)
    route, workspace = admitted
    rng = Random()
    rng.setstate(front.rng.getstate())
    service = pick_service(route, rng)
    shares, share_used = deepcopy(front.fleet_state.shares), 0.0
    content = call.target + b"\n" + question.body.encode()
    digest = fingerprint(workspace, "", content)
    if call.prompt is not None and workspace:
        tokens = call.prompt.quota_tokens
        share_used = shares.used_share(workspace, tokens, now_s)
        shares.add_demand(workspace, tokens, now_s)
    returns, promise = front.fleet_state.returns.copied(), None
    if call.prompt is not None:
        promise = returns.take(digest, now_s)
    asked = _Asked(
        call,
        route,
        service,
        workspace,
        now_s,
        rng,
        shares,
        share_used,
        returns,
        promise,
        on_trial=False,
    )
    found = _crash_refusal(front, asked, digest)
    if isinstance(found, _Asked):
        found = _choose(front, found)
    return replace(
        found,
        route=route.name,
        service=service,
        workspace=workspace,
        share_used=share_used,
        notes=_notes(asked),
        endpoints=tuple(
            _describe(front, asked, each)
            for each in front.pool.by_service.get(service, {}).values()
        ),
    )


def _headers(question: Question) -> RawHeaders:
    """Return the headers of a request, with its host."""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in question.headers.items()
    ]
    if question.host:
        headers.append((b"host", question.host.encode("latin-1")))
    return headers


def _notes(asked: _Asked) -> tuple[str, ...]:
    """Return what the explanation leaves out."""
    notes = []
    if len(asked.route.split) > 1:
        notes.append("the service is drawn by the weights of the route")
    if asked.call.takes_up and asked.route.kind is RequestKind.STREAMING:
        notes.append("it is explained as a new stream, not as resumed")
    return tuple(notes)


def _refused(
    notice: Notice, wait_s: float = 0.0, detail: str = ""
) -> Explanation:
    """Return the explanation of a refusal."""
    reason = f"{notice.text} ({detail})" if detail else notice.text
    return Explanation(False, reason, code=notice.code, wait_s=wait_s)


def _crash_refusal(
    front: Front, asked: _Asked, digest: int
) -> _Asked | Explanation:
    """Return the request if endpoints are not known to crash under it."""
    state, now_s = front.fleet_state, asked.now_s
    if asked.call.prompt is not None and deepcopy(front.loop_lag).turns_away(
        asked.workspace, now_s
    ):
        return _refused(messages.ROUTER_CROWDED)
    if state.suspects and state.suspects.is_refused(
        digest, now_s, state.parts.explained_crashes()
    ):
        return _refused(messages.CRASHES_ENDPOINTS)
    prompt = asked.call.prompt
    parts = prompt.shared_parts if prompt is not None else ()
    judgement = state.parts.judge(parts, now_s)
    detail = f"part {part_name(judgement.part)}"
    if judgement.verdict is PartVerdict.REFUSE:
        return _refused(messages.CRASHES_ENDPOINTS, detail=detail)
    if judgement.verdict is PartVerdict.HOLD:
        wait_s = judgement.due_s - now_s
        return _refused(messages.PART_HELD, wait_s, detail)
    return replace(asked, on_trial=judgement.verdict is PartVerdict.TRY)


def _choose(front: Front, asked: _Asked) -> Explanation:
    """Return which endpoint the request would go to, or the refusal."""
    service, now_s = asked.service, asked.now_s
    usable = front.pool.usable(service, now_s)
    if not usable:
        resting = front.pool.resting(service, now_s)
        if resting:
            wait_s = min(resting.values())
            return _refused(messages.ENDPOINTS_REST, wait_s)
        if front.pool.evacuated_of(service):
            return _refused(messages.ZONES_EVACUATED)
        return _refused(messages.NO_CAPACITY, detail=NO_ENDPOINT_REASON)
    selected = _select(front, asked, usable)
    if isinstance(selected, Refusal):
        return _refused(selected.notice, selected.wait_s)
    prompt = asked.call.prompt
    if prompt is not None and any(each.view for each in selected):
        return _choose_engine(front, asked, prompt, selected)
    zone = front.settings.availability_zone
    plain = choose_plain(selected, zone, asked.rng, now_s)
    if plain is None:
        return _refused(messages.NO_CAPACITY, detail=NO_ENDPOINT_REASON)
    return Explanation(True, "fewest requests", endpoint=plain.name)


def _select(
    front: Front, asked: _Asked, usable: list[Endpoint]
) -> list[Endpoint] | Refusal:
    """Return the endpoints that may get the request now."""
    state, now_s = front.fleet_state, asked.now_s
    if asked.on_trial:
        trials = state.parts.trials
        usable = [
            each for each in usable if not trials.runs_at(each.name, now_s)
        ]
        if not usable:
            return Refusal(messages.PART_HELD)
    cold_s = [state.cold.peek_room_s(each.name, now_s) for each in usable]
    limits_s = [state.limits.peek_room_s(each.name, now_s) for each in usable]
    waits_s = list(map(max, limits_s, cold_s))
    return safeguards.select_by_waits(usable, waits_s, cold_s)


def _choose_engine(
    front: Front, asked: _Asked, prompt: Prompt, engines: list[Endpoint]
) -> Explanation:
    """Return which engine the request would go to, or the refusal."""
    state, now_s, route = front.fleet_state, asked.now_s, asked.route
    preference = state.prompt_mixes.preference(asked.service)
    choice = choose_engine(
        engines, prompt, state.prefill_rate, now_s, preference
    )
    if choice is None:
        return _refused(messages.NO_CAPACITY, detail=NO_ENDPOINT_REASON)
    count, share_used, promise = len(engines), asked.share_used, asked.promise
    first_attempt_s = promise.first_attempt_s if promise else now_s
    returns_first = (
        promise is not None
        and promise.has_priority
        and has_priority(share_used, stale=asked.shares.stale)
    )
    if returns_first:
        share_used = returning_share_used(share_used)
    shortest_s = route.latency_target_s
    if front.table is not None:
        shortest_s = front.table.shortest_latency_target_s.get(
            asked.service, shortest_s
        )
    admitted = first_admitted(
        candidates_of(
            choice, may_read_anew=dispatch.may_read_anew(choice, count)
        ),
        route.latency_target_s - (now_s - first_attempt_s),
        shortest_s,
        share_used,
        lambda each: (
            0.0
            if returns_first
            else asked.returns.promised_wait_s(
                asked.service, count, state.prefill_rate, each.wait_s, now_s
            )
        ),
    )
    reason = ""
    if admitted is None:
        reason = dispatch.LATE_REASON
    elif asked.shares.must_yield(
        asked.workspace,
        prompt.quota_tokens,
        now_s,
        state.spare_tokens_per_s(dispatch.spare_engines(choice, count)),
    ):
        reason = dispatch.YIELD_REASON
    if admitted is None or reason:
        exceeded = asked.share_used > 1.0
        notice = messages.SHARE_EXCEEDED if exceeded else messages.NO_CAPACITY
        return _refused(notice, detail=reason)
    return Explanation(
        True, "least predicted time", endpoint=admitted.endpoint.name
    )


def _describe(
    front: Front, asked: _Asked, endpoint: Endpoint
) -> EndpointStatus:
    """Return an endpoint of the service, and why it is no candidate."""
    state, now_s, name = front.fleet_state, asked.now_s, endpoint.name
    cold_wait_s = state.cold.peek_room_s(name, now_s)
    limit_wait_s = state.limits.peek_room_s(name, now_s)
    cold_s = state.cold.cold_left_s(name, now_s)
    preference = state.prompt_mixes.preference(asked.service)
    prefers = ""
    if preference is not None:
        prefers = "long" if name in preference.long_engines else "short"
    excluded = _exclusions(front, asked, endpoint)
    if cold_wait_s:
        excluded.append(
            f"cold for {cold_s:.3f} s, no token for {cold_wait_s:.3f} s"
        )
    if limit_wait_s:
        excluded.append(f"its limit has no room for {limit_wait_s:.3f} s")
    predicted, prompt, view = None, asked.call.prompt, endpoint.view
    if prompt is not None and view is not None:
        rate = state.prefill_rate
        found = predict(endpoint, view, prompt, rate, now_s)
        cost_s = 0.0
        if preference is not None:
            cost_s = preference.cost_s(name, found.prefill_tokens / rate)
        predicted = EnginePrediction(
            found.wait_s,
            found.prefill_s,
            found.prefill_tokens,
            found.cached_tokens,
            found.has_capacity,
            cost_s,
        )
    return EndpointStatus(
        name,
        endpoint.entry.availability_zone,
        endpoint.entry.version,
        tuple(excluded),
        endpoint.outstanding,
        endpoint.speed.factor(now_s),
        cold_s,
        cold_wait_s,
        dict(state.limits.known()).get(name),
        limit_wait_s,
        prefers,
        predicted,
    )


def _exclusions(front: Front, asked: _Asked, endpoint: Endpoint) -> list[str]:
    """Return why an endpoint does not accept requests."""
    pool, now_s = front.pool, asked.now_s
    excluded = []
    if pool.is_leaving(endpoint):
        excluded.append("it leaves")
    rest_s = front.fleet_state.notices.rest_left_s(endpoint.name, now_s)
    if rest_s:
        excluded.append(f"it rests for {rest_s:.3f} s")
    if endpoint.entry.availability_zone in pool.evacuated:
        excluded.append("its zone is evacuated")
    # If all of a service are to be avoided, none is.
    avoided = endpoint not in pool.usable(asked.service, now_s)
    if avoided and endpoint.avoid_until_s > now_s:
        avoid_s = endpoint.avoid_until_s - now_s
        excluded.append(f"ejected or unreachable, for {avoid_s:.3f} s")
    return excluded
