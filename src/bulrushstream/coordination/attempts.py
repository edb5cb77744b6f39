"""Tracks each attempt from its dispatch to its end.

An attempt ends with the end of its answer, with a proof that it was never
started, or with the loss of its agent.  A request is queued again only if
the caller has received nothing of an answer, and either the attempt is
proved not to have run or the request is idempotent.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination import (
    backlogs,
    hub,
    recall,
    settling,
    verdicts,
)
from bulrushstream.coordination.budget import pause_s
from bulrushstream.coordination.routerstate import (
    AgentView,
    Phase,
    RouterState,
    Timer,
    TrackedRequest,
    endpoint_name,
)
from bulrushstream.messages import (
    ENDPOINT_LOST,
    EXPIRED,
    QUARANTINED,
    RETRIES_EXHAUSTED,
    Notice,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import (
    Ack,
    Cancel,
    Gone,
    Part,
    PartKind,
    Refuse,
    RefuseReason,
    Resume,
)
from bulrushstream.state.request import Outcome

MAX_ABANDONED: Final = 64


def handle_part(
    state: RouterState, peer: InstanceKey, message: Part, now_s: float
) -> None:
    """Receive a part of an answer and forward all parts that are in order.

    :param state: the router
    :param peer: the agent that sent it
    :param message: the part
    :param now_s: the time on the core's clock
    """
    tracked = _find_attempt(state, peer, message.request_id, message.attempt)
    if tracked is None:
        _discard_part(state, peer, message)
        return
    if message.kind is not PartKind.END:
        tracked.maybe_started = True
    tracked.last_activity_s = now_s
    state.pulled_ahead.pop(message.request_id, None)
    for ready in tracked.answer.add(message):
        if ready.kind is PartKind.END:
            _send_ack(state, tracked)
            _handle_end(state, tracked, ready, now_s)
            return
        settling.send_part(state, tracked, ready)
    if tracked.answer.unacked >= state.options.ack_parts:
        _send_ack(state, tracked)
    elif tracked.answer.unacked:
        ack_s = now_s + state.options.ack_delay_s
        state.timers.set_earliest((Timer.ACK, message.request_id), ack_s)


def handle_refusal(
    state: RouterState, peer: InstanceKey, message: Refuse, now_s: float
) -> None:
    """Requeue a request whose attempt was refused, so never started.

    A request that has expired fails instead.

    :param state: the router
    :param peer: the agent that refused it
    :param message: the refusal
    :param now_s: the time on the core's clock
    """
    view = state.agents.get(peer)
    if view is not None:
        if message.reason is RefuseReason.BUSY:
            # The announced slots are out of date; the agent sends new ones.
            view.free_slots = 0
        elif message.reason is RefuseReason.DRAINING:
            view.leaving = True
    tracked = _find_attempt(state, peer, message.request_id, message.attempt)
    if tracked is None:
        return
    endpoint = "" if view is None else endpoint_name(view)
    settling.release_attempt(state, tracked)
    if tracked.response_ended:
        settling.forget(state, tracked, tracked.outcome, now_s)
        return
    if message.reason is RefuseReason.EXPIRED:
        settling.fail(state, tracked, EXPIRED, now_s)
        return
    state.record_decision(
        "requeue", message.reason.name, tracked, now_s, endpoint
    )
    if message.reason not in (RefuseReason.BUSY, RefuseReason.REVOKED):
        tracked.failed_endpoints.add(endpoint)
        tracked.avoid_until_s = now_s + state.options.avoid_endpoint_s
    if message.reason is RefuseReason.SUSPECT:
        due_s = now_s + state.options.refuse_pause_s
        state.timers.set((Timer.RETRY, message.request_id), due_s)
        return
    state.to_screen.append(message.request_id)


def handle_gone(
    state: RouterState, peer: InstanceKey, message: Gone, now_s: float
) -> None:
    """Settle an attempt that an agent can not resume or revoke.

    :param state: the router
    :param peer: the agent
    :param message: the attempt's outcome at the agent
    :param now_s: the time on the core's clock
    """
    tracked = _find_attempt(state, peer, message.request_id, message.attempt)
    if tracked is None:
        return
    if tracked.revoke_sent and message.outcome is not Outcome.NOT_RUN:
        return  # It had started and continues without its caller.
    if recall.handle_late_recall(state, message):
        return
    _handle_failure(
        state, tracked, message.outcome, "the answer is gone", now_s
    )


def probe_silent(state: RouterState, request_id: str, now_s: float) -> None:
    """Ask an agent to resume an attempt that sent no parts for a while.

    :param state: the router
    :param request_id: the request
    :param now_s: the time on the core's clock
    """
    tracked = state.tracked.get(request_id)
    if tracked is None or tracked.phase is not Phase.IN_FLIGHT:
        return
    due_s = tracked.last_activity_s + state.options.probe_s
    if due_s <= now_s:
        tracked.last_activity_s = now_s
        due_s = now_s + state.options.probe_s
        _send_resume(state, tracked)
    state.timers.set((Timer.PROBE, request_id), due_s)


def acknowledge(state: RouterState, request_id: str) -> None:
    """Acknowledge the parts received so far, so that the agent drops them.

    :param state: the router
    :param request_id: the request
    """
    tracked = state.tracked.get(request_id)
    if tracked is not None and tracked.phase is Phase.IN_FLIGHT:
        _send_ack(state, tracked)


def agent_up(state: RouterState, info: InstanceInfo, now_s: float) -> None:
    """Handle a new connection to an agent and resume its attempts.

    Earlier incarnations of the agent are lost with it.

    :param state: the router
    :param info: the agent
    :param now_s: the time on the core's clock
    """
    _drop_older_incarnations(state, info.key, now_s)
    view = state.agents.get(info.key)
    if view is None:
        view = AgentView(info)
        state.add_agent(view)
    view.connected = True
    view.connected_since_s = now_s
    view.abandoned.clear()
    view.leaving = view.leaving or info.leaving
    view.free_slots = 0
    backlogs.send_all(state, view, now_s)
    hub.sync_agent(state, view)
    for request_id in sorted(view.in_flight):
        state.timers.cancel((Timer.GRACE, request_id))
        _send_resume(state, state.tracked[request_id])


def agent_down(state: RouterState, key: InstanceKey, now_s: float) -> None:
    """Handle the loss of the connection to an agent.

    Its attempts wait for `resume_grace_s`, since it may reconnect.

    :param state: the router
    :param key: the agent
    :param now_s: the time on the core's clock
    """
    view = state.agents.get(key)
    if view is None or not view.connected:
        return
    view.connected = False
    view.free_slots = 0
    for request_id in sorted(view.in_flight):
        grace_s = now_s + state.options.resume_grace_s
        state.timers.set((Timer.GRACE, request_id), grace_s)


def agent_lost(state: RouterState, key: InstanceKey, now_s: float) -> None:
    """Settle all attempts at an agent that will not reconnect.

    Requests that ran there get a strike, as one may have crashed it.

    :param state: the router
    :param key: the agent
    :param now_s: the time on the core's clock
    """
    view = state.remove_agent(key)
    if view is None:
        return
    hub.fold_incarnation(state, view.info)
    for request_id in sorted(view.in_flight):
        tracked = state.tracked[request_id]
        verdicts.strike_agent_lost(state, tracked, view, now_s)
        _handle_failure(
            state, tracked, Outcome.UNKNOWN, "the agent is lost", now_s
        )
    for tracked in view.abandoned:
        fingerprint = tracked.request.fingerprint
        if not state.quarantine.is_proven(fingerprint, now_s):
            verdicts.strike_agent_lost(state, tracked, view, now_s)


def resume_timed_out(
    state: RouterState, request_id: str, now_s: float
) -> None:
    """Settle an attempt whose agent did not reconnect in time.

    :param state: the router
    :param request_id: the request
    :param now_s: the time on the core's clock
    """
    tracked = state.tracked.get(request_id)
    if tracked is None or tracked.phase is not Phase.IN_FLIGHT:
        return
    view = None if tracked.agent is None else state.agents.get(tracked.agent)
    if view is not None and len(view.abandoned) < MAX_ABANDONED:
        # If the agent turns out to be lost, this request gets a strike too.
        view.abandoned.append(tracked)
    _handle_failure(
        state, tracked, Outcome.UNKNOWN, "the agent is silent", now_s
    )


def _drop_older_incarnations(
    state: RouterState, key: InstanceKey, now_s: float
) -> None:
    """Handle earlier incarnations of an agent as lost."""
    for other in sorted(state.agents):
        same_instance = other.instance == key.instance
        if same_instance and other.incarnation < key.incarnation:
            agent_lost(state, other, now_s)


def _find_attempt(
    state: RouterState, peer: InstanceKey, request_id: str, attempt: int
) -> TrackedRequest | None:
    """Return the request if this attempt of it is in flight at this peer."""
    tracked = state.tracked.get(request_id)
    if tracked is None or tracked.phase is not Phase.IN_FLIGHT:
        return None
    if tracked.agent != peer or tracked.attempt != attempt:
        return None
    return tracked


def _discard_part(
    state: RouterState, peer: InstanceKey, message: Part
) -> None:
    """Tell an agent to drop an answer that no request waits for."""
    if message.kind is PartKind.END:
        next_sequence = message.sequence + 1
        state.send(
            peer, Ack(message.request_id, message.attempt, next_sequence)
        )
    elif message.kind is PartKind.HEAD:
        state.send(peer, Cancel(message.request_id, message.attempt))


def _send_ack(state: RouterState, tracked: TrackedRequest) -> None:
    if tracked.agent is None or not tracked.answer.unacked:
        return
    request_id = tracked.request.request_id
    next_sequence = tracked.answer.next_sequence
    tracked.answer.acked_sequence = next_sequence
    state.timers.cancel((Timer.ACK, request_id))
    state.send(tracked.agent, Ack(request_id, tracked.attempt, next_sequence))


def _send_resume(state: RouterState, tracked: TrackedRequest) -> None:
    if tracked.agent is None:
        return
    request_id = tracked.request.request_id
    next_sequence = tracked.answer.next_sequence
    state.send(
        tracked.agent, Resume(request_id, tracked.attempt, next_sequence)
    )


def _handle_end(
    state: RouterState, tracked: TrackedRequest, end: Part, now_s: float
) -> None:
    if end.whole:
        verdicts.mark_proven(state, tracked, now_s)
        settling.finish(state, tracked, end, now_s)
        return
    view = None if tracked.agent is None else state.agents.get(tracked.agent)
    if end.crashed and view is not None:
        verdicts.strike(state, tracked, view, end.crash, now_s)
    _handle_failure(state, tracked, end.outcome, end.detail, now_s)


def _handle_failure(
    state: RouterState,
    tracked: TrackedRequest,
    outcome: Outcome,
    reason: str,
    now_s: float,
) -> None:
    """Settle a failed attempt: retry the request or fail it."""
    view = None if tracked.agent is None else state.agents.get(tracked.agent)
    if outcome is not Outcome.NOT_RUN:
        tracked.maybe_started = True
    if view is not None:
        tracked.failed_endpoints.add(endpoint_name(view))
        tracked.avoid_until_s = now_s + state.options.avoid_endpoint_s
    if tracked.response_ended:
        settling.forget(state, tracked, tracked.outcome, now_s)
        return
    notice = _charge_retry(state, tracked, outcome, now_s)
    if notice is not None:
        final_outcome = Outcome.RAN if outcome is Outcome.RAN else None
        settling.fail(state, tracked, notice, now_s, final_outcome, reason)
        return
    settling.release_attempt(state, tracked)
    number = tracked.unstarted_attempts + tracked.retries
    pause = pause_s(state.options.budget, state.rng, number)
    state.record_decision("retry", reason, tracked, now_s)
    retry = (Timer.RETRY, tracked.request.request_id)
    state.timers.set(retry, now_s + pause)


def _charge_retry(
    state: RouterState, tracked: TrackedRequest, outcome: Outcome, now_s: float
) -> Notice | None:
    """Count a retry, or return why the request may not be retried.

    :returns: None if the request is retried
    """
    request = tracked.request
    if tracked.head_sent or now_s >= request.deadline_s:
        return ENDPOINT_LOST
    if state.quarantine.is_refused(request.fingerprint, now_s):
        return QUARANTINED
    if outcome is Outcome.NOT_RUN:
        tracked.unstarted_attempts += 1
        if tracked.unstarted_attempts > state.options.max_unstarted_attempts:
            return RETRIES_EXHAUSTED
        return None
    if not request.idempotent:
        return ENDPOINT_LOST
    if tracked.retries >= request.retry_limit:
        return RETRIES_EXHAUSTED if tracked.retries else ENDPOINT_LOST
    if not state.budget.withdraw(request.workspace):
        return RETRIES_EXHAUSTED
    tracked.retries += 1
    return None
