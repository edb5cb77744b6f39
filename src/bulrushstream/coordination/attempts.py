"""Follows each attempt from its dispatch to its end.

An attempt ends by the end of its answer, by a proof that it was never
started, or by the loss of its agent.  Only proved not-run attempts and
idempotent requests of which the caller has seen nothing go back to the
queue.
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
from bulrushstream.coordination.routing import (
    AgentView,
    Phase,
    RouterState,
    Timer,
    Tracked,
    endpoint_of,
)
from bulrushstream.messages import (
    ENDPOINT_LOST,
    EXPIRED,
    QUARANTINED,
    RETRIES_SPENT,
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

MAX_GIVEN_UP: Final = 64


def part(
    state: RouterState, peer: InstanceKey, message: Part, now_s: float
) -> None:
    """Take a part of an answer and give on what is in order.

    :param state: the router
    :param peer: the agent that sent it
    :param message: the part
    :param now_s: the time on the core's clock
    """
    tracked = _out(state, peer, message.request_id, message.attempt)
    if tracked is None:
        _dismiss(state, peer, message)
        return
    if message.kind is not PartKind.END:
        tracked.exposed = True
    tracked.heard_s = now_s
    state.ahead.pop(message.request_id, None)
    for ready in tracked.answer.accept(message):
        if ready.kind is PartKind.END:
            _acknowledge(state, tracked)
            _end(state, tracked, ready, now_s)
            return
        settling.give(state, tracked, ready)
    if tracked.answer.unacked >= state.options.ack_parts:
        _acknowledge(state, tracked)
    elif tracked.answer.unacked:
        ack_s = now_s + state.options.ack_delay_s
        state.timers.set_sooner((Timer.ACK, message.request_id), ack_s)


def refuse(
    state: RouterState, peer: InstanceKey, message: Refuse, now_s: float
) -> None:
    """Put a request back whose attempt was proved not to be started.

    :param state: the router
    :param peer: the agent that refused it
    :param message: its refusal
    :param now_s: the time on the core's clock
    """
    view = state.agents.get(peer)
    if view is not None:
        if message.reason is RefuseReason.BUSY:
            # Its announcement is out of date; it will announce anew.
            view.free_slots = 0
        elif message.reason is RefuseReason.DRAINING:
            view.leaving = True
    tracked = _out(state, peer, message.request_id, message.attempt)
    if tracked is None:
        return
    where = "" if view is None else endpoint_of(view)
    settling.release(state, tracked)
    if tracked.answered:
        settling.forget(state, tracked, tracked.outcome, now_s)
        return
    if message.reason is RefuseReason.EXPIRED:
        settling.fail(state, tracked, EXPIRED, now_s)
        return
    state.decide("requeue", message.reason.name, tracked, now_s, where)
    if message.reason not in (RefuseReason.BUSY, RefuseReason.REVOKED):
        tracked.tried.add(where)
        tracked.avoid_until_s = now_s + state.options.avoid_s
    if message.reason is RefuseReason.SUSPECT:
        due_s = now_s + state.options.refuse_pause_s
        state.timers.set((Timer.RETRY, message.request_id), due_s)
        return
    state.ready.append(message.request_id)


def gone(
    state: RouterState, peer: InstanceKey, message: Gone, now_s: float
) -> None:
    """Settle an attempt that an agent can not resume or revoke.

    :param state: the router
    :param peer: the agent
    :param message: what it knows of the attempt
    :param now_s: the time on the core's clock
    """
    tracked = _out(state, peer, message.request_id, message.attempt)
    if tracked is None:
        return
    if tracked.revoked and message.outcome is not Outcome.NOT_RUN:
        return  # It was started and runs on without its caller.
    if recall.is_too_late(state, message):
        return
    _broken(state, tracked, message.outcome, "the answer is gone", now_s)


def probe(state: RouterState, request_id: str, now_s: float) -> None:
    """Ask for an attempt that was silent for a while.

    :param state: the router
    :param request_id: which request
    :param now_s: the time on the core's clock
    """
    tracked = state.tracked.get(request_id)
    if tracked is None or tracked.phase is not Phase.RUNNING:
        return
    due_s = tracked.heard_s + state.options.probe_s
    if due_s <= now_s:
        tracked.heard_s = now_s
        due_s = now_s + state.options.probe_s
        _resume(state, tracked)
    state.timers.set((Timer.PROBE, request_id), due_s)


def acknowledge(state: RouterState, request_id: str) -> None:
    """Tell an agent which parts it need not keep.

    :param state: the router
    :param request_id: which request
    """
    tracked = state.tracked.get(request_id)
    if tracked is not None and tracked.phase is Phase.RUNNING:
        _acknowledge(state, tracked)


def agent_up(state: RouterState, info: InstanceInfo, now_s: float) -> None:
    """Take up a connection to an agent, and its running attempts.

    :param state: the router
    :param info: the agent
    :param now_s: the time on the core's clock
    """
    _lose_older(state, info.key, now_s)
    view = state.agents.get(info.key)
    if view is None:
        view = AgentView(info)
        state.add_agent(view)
    view.connected = True
    view.since_s = now_s
    view.given_up.clear()
    view.leaving = view.leaving or info.leaving
    view.free_slots = 0
    backlogs.tell_all(state, view, now_s)
    hub.agent_up(state, view)
    for request_id in sorted(view.running):
        state.timers.cancel((Timer.GRACE, request_id))
        _resume(state, state.tracked[request_id])


def agent_down(state: RouterState, key: InstanceKey, now_s: float) -> None:
    """Note that the connection to an agent broke.

    Its attempts are kept for a while, because the agent may be back.

    :param state: the router
    :param key: the agent
    :param now_s: the time on the core's clock
    """
    view = state.agents.get(key)
    if view is None or not view.connected:
        return
    view.connected = False
    view.free_slots = 0
    for request_id in sorted(view.running):
        grace_s = now_s + state.options.resume_grace_s
        state.timers.set((Timer.GRACE, request_id), grace_s)


def agent_lost(state: RouterState, key: InstanceKey, now_s: float) -> None:
    """Settle all attempts at an agent that will not come back.

    :param state: the router
    :param key: the agent
    :param now_s: the time on the core's clock
    """
    view = state.remove_agent(key)
    if view is None:
        return
    hub.agent_over(state, view.info)
    for request_id in sorted(view.running):
        tracked = state.tracked[request_id]
        verdicts.strike_lost(state, tracked, view, now_s)
        _broken(state, tracked, Outcome.UNKNOWN, "the agent is lost", now_s)
    for tracked in view.given_up:
        fingerprint = tracked.request.fingerprint
        if not state.quarantine.is_proven(fingerprint, now_s):
            verdicts.strike_lost(state, tracked, view, now_s)


def out_of_grace(state: RouterState, request_id: str, now_s: float) -> None:
    """Settle an attempt whose agent did not come back in time.

    :param state: the router
    :param request_id: which request
    :param now_s: the time on the core's clock
    """
    tracked = state.tracked.get(request_id)
    if tracked is None or tracked.phase is not Phase.RUNNING:
        return
    view = None if tracked.agent is None else state.agents.get(tracked.agent)
    if view is not None and len(view.given_up) < MAX_GIVEN_UP:
        # If the agent is lost after all, its endpoint may have crashed.
        view.given_up.append(tracked)
    _broken(state, tracked, Outcome.UNKNOWN, "the agent is silent", now_s)


def _lose_older(state: RouterState, key: InstanceKey, now_s: float) -> None:
    """Give up earlier incarnations of an agent."""
    for other in sorted(state.agents):
        same = other.instance == key.instance
        if same and other.incarnation < key.incarnation:
            agent_lost(state, other, now_s)


def _out(
    state: RouterState, peer: InstanceKey, request_id: str, attempt: int
) -> Tracked | None:
    """Return the request if this very attempt of it is out."""
    tracked = state.tracked.get(request_id)
    if tracked is None or tracked.phase is not Phase.RUNNING:
        return None
    if tracked.agent != peer or tracked.attempt != attempt:
        return None
    return tracked


def _dismiss(state: RouterState, peer: InstanceKey, message: Part) -> None:
    """Let an agent drop an answer that nobody waits for."""
    if message.kind is PartKind.END:
        done = message.sequence + 1
        state.send(peer, Ack(message.request_id, message.attempt, done))
    elif message.kind is PartKind.HEAD:
        state.send(peer, Cancel(message.request_id, message.attempt))


def _acknowledge(state: RouterState, tracked: Tracked) -> None:
    if tracked.agent is None or not tracked.answer.unacked:
        return
    request_id = tracked.request.request_id
    done = tracked.answer.next_sequence
    tracked.answer.acked_sequence = done
    state.timers.cancel((Timer.ACK, request_id))
    state.send(tracked.agent, Ack(request_id, tracked.attempt, done))


def _resume(state: RouterState, tracked: Tracked) -> None:
    if tracked.agent is None:
        return
    request_id = tracked.request.request_id
    missing = tracked.answer.next_sequence
    state.send(tracked.agent, Resume(request_id, tracked.attempt, missing))


def _end(
    state: RouterState, tracked: Tracked, end: Part, now_s: float
) -> None:
    if end.whole:
        verdicts.prove(state, tracked, now_s)
        settling.finish(state, tracked, end, now_s)
        return
    view = None if tracked.agent is None else state.agents.get(tracked.agent)
    if end.crashed and view is not None:
        verdicts.strike(state, tracked, view, end.crash, now_s)
    _broken(state, tracked, end.outcome, end.detail, now_s)


def _broken(
    state: RouterState,
    tracked: Tracked,
    outcome: Outcome,
    why: str,
    now_s: float,
) -> None:
    """Settle an attempt that failed: retry it if that is allowed."""
    view = None if tracked.agent is None else state.agents.get(tracked.agent)
    if outcome is not Outcome.NOT_RUN:
        tracked.exposed = True
    if view is not None:
        tracked.tried.add(endpoint_of(view))
        tracked.avoid_until_s = now_s + state.options.avoid_s
    if tracked.answered:
        settling.forget(state, tracked, tracked.outcome, now_s)
        return
    notice = _why_no_retry(state, tracked, outcome, now_s)
    if notice is not None:
        settled = Outcome.RAN if outcome is Outcome.RAN else None
        settling.fail(state, tracked, notice, now_s, settled, why)
        return
    settling.release(state, tracked)
    number = tracked.unstarted + tracked.retries
    pause = pause_s(state.options.budget, state.rng, number)
    state.decide("retry", why, tracked, now_s)
    retry = (Timer.RETRY, tracked.request.request_id)
    state.timers.set(retry, now_s + pause)


def _why_no_retry(
    state: RouterState, tracked: Tracked, outcome: Outcome, now_s: float
) -> Notice | None:
    """Return why a request is not tried again; None if it is, and count."""
    request = tracked.request
    if tracked.given or now_s >= request.deadline_s:
        return ENDPOINT_LOST
    if state.quarantine.is_refused(request.fingerprint, now_s):
        return QUARANTINED
    if outcome is Outcome.NOT_RUN:
        tracked.unstarted += 1
        if tracked.unstarted > state.options.max_not_run:
            return RETRIES_SPENT
        return None
    if not request.idempotent:
        return ENDPOINT_LOST
    if tracked.retries >= request.retry_limit:
        return RETRIES_SPENT if tracked.retries else ENDPOINT_LOST
    if not state.budget.withdraw(request.workspace):
        return RETRIES_SPENT
    tracked.retries += 1
    return None
