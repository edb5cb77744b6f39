"""Records the results of requests with idempotency keys.

A caller that repeats such a request gets the recorded result.
"""

from __future__ import annotations

from bulrushstream.coordination.routerstate import (
    Recording,
    RouterState,
    TrackedRequest,
)
from bulrushstream.state.claim import (
    ClaimRecord,
    ResultRecord,
    request_digest,
)
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Outcome


def claim_of(state: RouterState, tracked: TrackedRequest) -> ClaimRecord:
    """Return the record of a request's claim on its idempotency key."""
    return ClaimRecord(
        key=tracked.claim_key,
        claim_id=tracked.claim_id,
        instance=state.me.key.instance,
        incarnation=state.me.key.incarnation,
        request_digest=request_digest(tracked.request),
    )


def record_part(
    state: RouterState, tracked: TrackedRequest, part: Part
) -> None:
    """Add a part of an answer to the recording of a keyed request.

    A recording that exceeds the size limit is dropped.

    :param state: the router
    :param tracked: the request
    :param part: the next part in order
    """
    if not tracked.claim_won:
        return
    if part.kind is PartKind.HEAD:
        tracked.recording = Recording(part.status, part.headers)
        return
    recording = tracked.recording
    if recording is None or part.kind is not PartKind.BODY:
        return
    recording.pieces.append(part.data)
    recording.size_bytes += len(part.data)
    if recording.size_bytes > state.options.claims.max_body_bytes:
        tracked.recording = None


def record_outcome(
    state: RouterState, tracked: TrackedRequest, outcome: Outcome, whole: bool
) -> None:
    """Record the outcome of a keyed request, and its answer if recorded.

    :param state: the router
    :param tracked: a request that has ended
    :param outcome: whether it ran; `NOT_RUN` releases the key
    :param whole: whether its answer is complete
    """
    if not tracked.claim_key:
        return
    _remove_waiting(state, tracked)
    if tracked.claim_won:
        result = _result(tracked, outcome, whole)
        state.claims.apply_result(result)
        state.claim_log.add(result)
    elif tracked.claim_id:
        # If the claim was already sent and wins, its key is released when
        # it is read back, because no request waits for it.
        state.claim_log.discard(claim_of(state, tracked))
    state.keys_to_check.append(tracked.claim_key)


def release_key(state: RouterState, claim: ClaimRecord) -> None:
    """Release a key whose winning claim no request waits for.

    :param state: the router
    :param claim: the claim; no attempt was made for it
    """
    result = ResultRecord(claim.key, claim.claim_id, Outcome.NOT_RUN)
    state.claim_log.add(result)


def _remove_waiting(state: RouterState, tracked: TrackedRequest) -> None:
    waiting = state.requests_by_key.get(tracked.claim_key)
    if waiting is None:
        return
    waiting.pop(tracked.request.request_id, None)
    if not waiting:
        del state.requests_by_key[tracked.claim_key]


def _result(
    tracked: TrackedRequest, outcome: Outcome, whole: bool
) -> ResultRecord:
    recording = tracked.recording
    if not whole or recording is None:
        return ResultRecord(tracked.claim_key, tracked.claim_id, outcome)
    return ResultRecord(
        key=tracked.claim_key,
        claim_id=tracked.claim_id,
        outcome=outcome,
        kept=True,
        status=recording.status,
        headers=recording.headers,
        body=b"".join(recording.pieces),
    )
