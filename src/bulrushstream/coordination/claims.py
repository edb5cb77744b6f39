"""Claims on idempotency keys: a keyed request runs at most once.

Each router appends a claim to the log, and the first claim on a key wins.
A request whose own claim wins runs.  If another claim wins, the caller
gets that request's answer or outcome once it is available.  While the log
can not be reached, keyed requests wait until their deadline and are then
refused.
"""

from __future__ import annotations

from bulrushstream.coordination import recording, settling
from bulrushstream.coordination.routerstate import RouterState, TrackedRequest
from bulrushstream.messages import (
    KEY_ANSWER_LOST,
    KEY_OUTCOME_UNKNOWN,
    KEY_REUSED,
    LOG_DOWN,
)
from bulrushstream.state.claim import (
    ClaimBatch,
    ClaimEntry,
    ClaimRecord,
    ResultRecord,
    claim_key,
    decode_batch,
    request_digest,
)
from bulrushstream.state.effect import Reply
from bulrushstream.state.event import LogRecord
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Outcome, Request


def is_keyed(request: Request) -> bool:
    """Return whether a request must claim its key before it runs.

    Requests that are idempotent by themselves need no claim.
    """
    return bool(request.idempotency_key) and not request.idempotent


def start(state: RouterState, tracked: TrackedRequest, now_s: float) -> None:
    """Register a keyed request, and claim its key if the key is free.

    :param state: the router
    :param tracked: the request
    :param now_s: the time on the core's clock
    """
    tracked.claim_key = claim_key(tracked.request)
    waiting = state.requests_by_key.setdefault(tracked.claim_key, {})
    waiting[tracked.request.request_id] = None
    _advance(state, tracked, now_s)


def advance_changed_keys(state: RouterState, now_s: float) -> None:
    """Advance the waiting requests of every key that changed.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    while state.keys_to_check:
        key = state.keys_to_check.popleft()
        for request_id in list(state.requests_by_key.get(key, ())):
            tracked = state.tracked.get(request_id)
            if tracked is not None:
                _advance(state, tracked, now_s)


def apply_records(
    state: RouterState,
    records: tuple[LogRecord, ...],
    caught_up: bool,
    now_s: float,
) -> None:
    """Apply records of the log's stream of claims.

    :param state: the router
    :param records: the records, in order
    :param caught_up: whether these reach the end of the stream
    :param now_s: the time on the core's clock
    """
    for record in records:
        batch = decode_batch(record.body)
        if batch is None or record.offset < state.claims.next_offset:
            continue
        won = state.claims.apply_batch(record.offset, batch, now_s)
        _settle_own_claims(state, batch, won)
    if caught_up and not state.claims_read:
        state.claims_read = True
        state.keys_to_check.extend(state.requests_by_key)


def router_lost(state: RouterState) -> None:
    """Recheck all keys, because the lost router may hold some of them."""
    state.keys_to_check.extend(state.requests_by_key)


def other_holder(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> ClaimEntry | None:
    """Return the claim of another request that holds a request's key.

    :param state: the router
    :param tracked: a keyed request
    :param now_s: the time on the core's clock
    :returns: the claim; None if the key is free or the request's own claim
        holds it
    """
    entry = state.claims.get_at(tracked.claim_key, now_s)
    if entry is None or entry.record.claim_id == tracked.claim_id:
        return None
    return entry


def _settle_own_claims(
    state: RouterState, batch: ClaimBatch, won: list[ClaimRecord]
) -> None:
    """Handle this router's claims in a batch, whether they won or lost."""
    for claim in batch.claims:
        state.keys_to_check.append(claim.key)
        if _is_own(state, claim) and claim in won:
            if _owner(state, claim) is None:
                recording.release_key(state, claim)
        elif _is_own(state, claim):
            _handle_lost_claim(state, claim)
    state.keys_to_check.extend(result.key for result in batch.results)


def _is_own(state: RouterState, claim: ClaimRecord) -> bool:
    key = state.me.key
    return (claim.instance, claim.incarnation) == (
        key.instance,
        key.incarnation,
    )


def _owner(state: RouterState, claim: ClaimRecord) -> TrackedRequest | None:
    """Return the request that one of this router's claims was made for."""
    for request_id in state.requests_by_key.get(claim.key, ()):
        tracked = state.tracked[request_id]
        if tracked.claim_id == claim.claim_id:
            return tracked
    return None


def _handle_lost_claim(state: RouterState, claim: ClaimRecord) -> None:
    """Clear a lost claim, so that the request can claim the key again."""
    entry = state.claims.get(claim.key)
    if entry is not None and entry.record.claim_id == claim.claim_id:
        return  # A repeated record of the claim that won.
    tracked = _owner(state, claim)
    if tracked is not None and not tracked.claim_won:
        tracked.claim_id = ""


def _advance(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> None:
    if tracked.claim_won or not state.claims_read:
        return
    entry = state.claims.get_at(tracked.claim_key, now_s)
    if entry is None:
        _claim(state, tracked, now_s)
    elif entry.record.claim_id == tracked.claim_id:
        tracked.claim_won = True
        state.to_screen.append(tracked.request.request_id)
    elif entry.record.request_digest != request_digest(tracked.request):
        settling.fail(state, tracked, KEY_REUSED, now_s)
    elif entry.result is not None:
        _replay_result(state, tracked, entry.result, now_s)
    elif _is_lost(state, entry.record):
        settling.fail(
            state, tracked, KEY_OUTCOME_UNKNOWN, now_s, Outcome.UNKNOWN
        )


def _claim(state: RouterState, tracked: TrackedRequest, now_s: float) -> None:
    """Append a claim, unless another request here has one in flight."""
    for request_id in state.requests_by_key[tracked.claim_key]:
        if state.tracked[request_id].claim_id:
            return
    number = state.next_sequence()
    key = state.me.key
    tracked.claim_id = f"{key.instance}/{key.incarnation}/{number}"
    if not state.claim_log.add(recording.claim_of(state, tracked)):
        tracked.claim_id = ""
        settling.fail(state, tracked, LOG_DOWN, now_s)


def _is_lost(state: RouterState, claim: ClaimRecord) -> bool:
    """Return whether the claim's router has restarted or is lost."""
    if InstanceKey(claim.instance, claim.incarnation) in state.lost_routers:
        return True
    known = [state.me.key, *state.routers]
    return any(
        key.instance == claim.instance and key.incarnation > claim.incarnation
        for key in known
    )


def _replay_result(
    state: RouterState,
    tracked: TrackedRequest,
    result: ResultRecord,
    now_s: float,
) -> None:
    """Reply with the answer or the outcome of an earlier request."""
    if not result.kept:
        ran = result.outcome is Outcome.RAN
        notice = KEY_ANSWER_LOST if ran else KEY_OUTCOME_UNKNOWN
        settling.fail(state, tracked, notice, now_s, result.outcome)
        return
    request_id = tracked.request.request_id
    head = Part(
        request_id=request_id,
        attempt=0,
        sequence=0,
        kind=PartKind.HEAD,
        status=result.status,
        headers=result.headers,
    )
    body = Part(request_id, 0, 1, PartKind.BODY, data=result.body)
    end = Part(
        request_id=request_id,
        attempt=0,
        sequence=2,
        kind=PartKind.END,
        outcome=result.outcome,
        whole=True,
    )
    state.effects.append(Reply(request_id, head))
    if result.body:
        state.effects.append(Reply(request_id, body))
    settling.finish(state, tracked, end, now_s)
