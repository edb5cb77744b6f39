"""Dispatches queued requests to agents.

An agent that pulls for a workspace gets that workspace's next request.  A
new request goes straight to an agent that announced free slots, if nothing
else is queued for its service.
"""

from __future__ import annotations

from bulrushstream.coordination import backlogs, recall
from bulrushstream.coordination.routerstate import (
    AgentView,
    Phase,
    RouterState,
    Timer,
    TrackedRequest,
    endpoint_name,
    queue_key,
)
from bulrushstream.state.answer import AnswerAssembler
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Cached, Dispatch, Idle, NoWork, Pull
from bulrushstream.state.queues import Fit, FitFunction, QueueKey
from bulrushstream.state.request import Request


def dispatch_or_queue(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> None:
    """Dispatch a request to an idle agent, or else queue it.

    :param state: the router
    :param tracked: a request that is neither queued nor in flight
    :param now_s: the time on the core's clock
    """
    request = tracked.request
    if not state.queues.service_count(request.service):
        view = _pick_idle(state, tracked, now_s)
        if view is not None:
            view.free_slots -= 1
            _dispatch(state, tracked, view, 0, "idle agent", now_s)
            return
    state.set_phase(tracked, Phase.QUEUED)
    state.queues.push(request)
    backlogs.mark_dirty(state, queue_key(tracked))
    refresh_s = now_s + state.options.backlog_refresh_s
    state.timers.set_earliest((Timer.REFRESH, request.service), refresh_s)


def dequeue(state: RouterState, tracked: TrackedRequest) -> None:
    """Remove a request from its queue if it is queued."""
    request = tracked.request
    if state.queues.remove(request.request_id) is not None:
        backlogs.mark_dirty(state, queue_key(tracked))


def handle_pull(
    state: RouterState, peer: InstanceKey, message: Pull, now_s: float
) -> None:
    """Answer an agent's pull with a dispatch or with no work.

    :param state: the router
    :param peer: the agent
    :param message: the pull
    :param now_s: the time on the core's clock
    """
    view = state.agents.get(peer)
    if view is None or not view.connected:
        return
    state.last_pull_s[message.service] = now_s
    # A pull withdraws the agent's announcement of free slots.
    view.free_slots = 0
    key = QueueKey(message.service, message.workspace)
    request = None
    if not view.leaving:
        request = state.queues.pop(key, _fit_for(state, view, now_s))
    if request is None:
        state.send(peer, NoWork(message.pull_id))
        backlogs.schedule_resend(state, view, key, now_s)
        return
    backlogs.mark_dirty(state, key)
    tracked = state.tracked[request.request_id]
    _dispatch(state, tracked, view, message.pull_id, "pulled", now_s)
    if message.ahead:
        state.pulled_ahead[request.request_id] = None


def handle_idle(
    state: RouterState, peer: InstanceKey, message: Idle, now_s: float
) -> None:
    """Record how many free slots an agent announced.

    :param state: the router
    :param peer: the agent
    :param message: the announcement
    :param now_s: the time on the core's clock
    """
    view = state.agents.get(peer)
    if view is None or message.sequence <= view.idle_sequence:
        return
    view.idle_sequence = message.sequence
    view.free_slots = message.free_slots
    if message.free_slots and state.queues.service_count(view.info.service):
        # Agents announce free slots only if they know of no backlog, so a
        # backlog message may have been lost.
        backlogs.send_all(state, view, now_s)
    recall.recall(state, view)


def handle_cached(
    state: RouterState, peer: InstanceKey, message: Cached
) -> None:
    """Record a change of the prefix cache of an agent's engine.

    :param state: the router
    :param peer: the agent
    :param message: digests that were added and dropped
    """
    view = state.agents.get(peer)
    if view is None:
        return
    if message.reset:
        view.cached_prefixes.clear()
    for digest in message.dropped:
        view.cached_prefixes.pop(digest, None)
    for digest in message.added:
        _remember_prefix(state, view, digest)


def _dispatch(
    state: RouterState,
    tracked: TrackedRequest,
    view: AgentView,
    pull_id: int,
    reason: str,
    now_s: float,
) -> None:
    request = tracked.request
    state.set_phase(tracked, Phase.IN_FLIGHT)
    state.drain_rate.record_departure(queue_key(tracked), now_s)
    tracked.attempt += 1
    tracked.agent = view.info.key
    tracked.answer = AnswerAssembler()
    tracked.unsent_head = None
    tracked.last_activity_s = now_s
    view.in_flight.add(request.request_id)
    _remember_prefix(state, view, request.prefix_digest)
    probe_s = now_s + state.options.probe_s
    state.timers.set((Timer.PROBE, request.request_id), probe_s)
    state.send(view.info.key, _dispatch_message(tracked, view, pull_id, now_s))
    state.record_decision(
        "dispatch", reason, tracked, now_s, endpoint_name(view)
    )


def _dispatch_message(
    tracked: TrackedRequest, view: AgentView, pull_id: int, now_s: float
) -> Dispatch:
    request = tracked.request
    remaining_s = max(0.0, request.deadline_s - now_s)
    return Dispatch(
        request_id=request.request_id,
        attempt=tracked.attempt,
        pull_id=pull_id,
        incarnation=view.info.key.incarnation,
        workspace=request.workspace,
        service=request.service,
        request_class=request.request_class,
        idempotent=request.idempotent,
        alone=tracked.alone,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        stream=request.stream,
        timeout_ms=max(1, int(remaining_s * 1000)),
        cost_hint=request.cost_hint,
        model=request.model,
        fingerprint=request.fingerprint,
    )


def _pick_idle(
    state: RouterState, tracked: TrackedRequest, now_s: float
) -> AgentView | None:
    """Return the best idle agent for a request, if there is one.

    Agents with a cached prefix come first, then those in the router's
    availability zone, then those with the most free slots.
    """
    request = tracked.request
    candidates = [
        view
        for view in state.agents_of(request.service)
        if view.usable and view.free_slots > 0
    ]
    if not candidates:
        return None
    fits = {
        view.info.key: _fit_for(state, view, now_s)(request)
        for view in candidates
    }
    zone = state.me.availability_zone

    def preference(view: AgentView) -> tuple[int, bool, int, float]:
        far = view.info.availability_zone != zone
        tie_break = state.rng.random()
        return (fits[view.info.key], far, -view.free_slots, tie_break)

    best = min(candidates, key=preference)
    return None if fits[best.info.key] is Fit.AVOID else best


def _fit_for(state: RouterState, view: AgentView, now_s: float) -> FitFunction:
    """Return a function that rates how well a request suits an agent."""

    def fit(request: Request) -> Fit:
        if not _may_use(state, view, request, now_s):
            return Fit.AVOID
        if (
            request.prefix_digest
            and request.prefix_digest in view.cached_prefixes
        ):
            return Fit.WARM
        return Fit.NEUTRAL

    return fit


def _may_use(
    state: RouterState, view: AgentView, request: Request, now_s: float
) -> bool:
    """Return whether an agent may get a request.

    A request that failed at an endpoint avoids it for a time if another
    one is usable.
    """
    tracked = state.tracked[request.request_id]
    if not tracked.failed_endpoints or now_s >= tracked.avoid_until_s:
        return True
    if endpoint_name(view) not in tracked.failed_endpoints:
        return True
    others = state.agents_of(request.service)
    return not any(
        other.usable and endpoint_name(other) not in tracked.failed_endpoints
        for other in others
    )


def _remember_prefix(state: RouterState, view: AgentView, digest: int) -> None:
    if not digest:
        return
    view.cached_prefixes.pop(digest, None)
    view.cached_prefixes[digest] = None
    if len(view.cached_prefixes) > state.options.affinity_memory:
        del view.cached_prefixes[next(iter(view.cached_prefixes))]
