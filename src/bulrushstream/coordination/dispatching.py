"""Hands waiting requests to agents, each attempt to one agent only.

An agent that pulls a workspace gets the request of it that is next.  An
agent that announced free slots gets a fresh request at once, if nothing
else waits for its service.
"""

from __future__ import annotations

from bulrushstream.coordination import backlogs, recall
from bulrushstream.coordination.routing import (
    AgentView,
    Phase,
    RouterState,
    Timer,
    Tracked,
    endpoint_of,
    queue_key,
)
from bulrushstream.state.answer import Answer
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Cached, Dispatch, Idle, NoWork, Pull
from bulrushstream.state.queues import Fit, FitFunction, QueueKey
from bulrushstream.state.request import Request


def offer(state: RouterState, tracked: Tracked, now_s: float) -> None:
    """Let a request run: at once on an idle agent, or from its queue.

    :param state: the router
    :param tracked: a request that is neither queued nor out
    :param now_s: the time on the core's clock
    """
    request = tracked.request
    if not state.queues.service_count(request.service):
        view = _pick_idle(state, tracked, now_s)
        if view is not None:
            view.free_slots -= 1
            _dispatch(state, tracked, view, 0, "idle agent", now_s)
            return
    state.move(tracked, Phase.WAITING)
    state.queues.push(request)
    backlogs.touch(state, queue_key(tracked))
    refresh_s = now_s + state.options.backlog_refresh_s
    state.timers.set_sooner((Timer.REFRESH, request.service), refresh_s)


def withdraw(state: RouterState, tracked: Tracked) -> None:
    """Take a request out of its queue if it is in one."""
    request = tracked.request
    if state.queues.remove(request.request_id) is not None:
        backlogs.touch(state, queue_key(tracked))


def pull(
    state: RouterState, peer: InstanceKey, message: Pull, now_s: float
) -> None:
    """Answer an agent's pull with a dispatch or with no work.

    :param state: the router
    :param peer: the agent
    :param message: what it asks for
    :param now_s: the time on the core's clock
    """
    view = state.agents.get(peer)
    if view is None or not view.connected:
        return
    state.pulled_s[message.service] = now_s
    # An agent that pulls has taken its announcement back.
    view.free_slots = 0
    key = QueueKey(message.service, message.workspace)
    request = None
    if not view.leaving:
        request = state.queues.pop(key, _fit(state, view, now_s))
    if request is None:
        state.send(peer, NoWork(message.pull_id))
        backlogs.miss(state, view, key, now_s)
        return
    backlogs.touch(state, key)
    tracked = state.tracked[request.request_id]
    _dispatch(state, tracked, view, message.pull_id, "pulled", now_s)
    if message.ahead:
        state.ahead[request.request_id] = None


def idle(
    state: RouterState, peer: InstanceKey, message: Idle, now_s: float
) -> None:
    """Note how many slots an agent has free.

    :param state: the router
    :param peer: the agent
    :param message: its announcement
    :param now_s: the time on the core's clock
    """
    view = state.agents.get(peer)
    if view is None or message.sequence <= view.idle_sequence:
        return
    view.idle_sequence = message.sequence
    view.free_slots = message.free_slots
    if message.free_slots and state.queues.service_count(view.info.service):
        # It does not know of the backlog; the message may be lost.
        backlogs.tell_all(state, view, now_s)
    recall.recall(state, view)


def cached(state: RouterState, peer: InstanceKey, message: Cached) -> None:
    """Note which prefixes an agent's engine holds.

    :param state: the router
    :param peer: the agent
    :param message: what its cache gained or lost
    """
    view = state.agents.get(peer)
    if view is None:
        return
    if message.reset:
        view.prefixes.clear()
    for digest in message.dropped:
        view.prefixes.pop(digest, None)
    for digest in message.added:
        _remember_prefix(state, view, digest)


def _dispatch(
    state: RouterState,
    tracked: Tracked,
    view: AgentView,
    pull_id: int,
    reason: str,
    now_s: float,
) -> None:
    request = tracked.request
    state.move(tracked, Phase.RUNNING)
    state.drain.note(queue_key(tracked), now_s)
    tracked.attempt += 1
    tracked.agent = view.info.key
    tracked.answer = Answer()
    tracked.head = None
    tracked.heard_s = now_s
    view.running.add(request.request_id)
    _remember_prefix(state, view, request.prefix_digest)
    probe_s = now_s + state.options.probe_s
    state.timers.set((Timer.PROBE, request.request_id), probe_s)
    state.send(view.info.key, _message(tracked, view, pull_id, now_s))
    state.decide("dispatch", reason, tracked, now_s, endpoint_of(view))


def _message(
    tracked: Tracked, view: AgentView, pull_id: int, now_s: float
) -> Dispatch:
    request = tracked.request
    left_s = max(0.0, request.deadline_s - now_s)
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
        timeout_ms=max(1, int(left_s * 1000)),
        cost_hint=request.cost_hint,
        model=request.model,
        fingerprint=request.fingerprint,
    )


def _pick_idle(
    state: RouterState, tracked: Tracked, now_s: float
) -> AgentView | None:
    """Return an idle agent: warm, near, then with the most free slots."""
    request = tracked.request
    candidates = [
        view
        for view in state.agents_of(request.service)
        if view.usable and view.free_slots > 0
    ]
    if not candidates:
        return None
    fits = {
        view.info.key: _fit(state, view, now_s)(request) for view in candidates
    }
    zone = state.me.availability_zone

    def preference(view: AgentView) -> tuple[int, bool, int, float]:
        far = view.info.availability_zone != zone
        spread = state.rng.random()
        return (fits[view.info.key], far, -view.free_slots, spread)

    best = min(candidates, key=preference)
    return None if fits[best.info.key] is Fit.AVOID else best


def _fit(state: RouterState, view: AgentView, now_s: float) -> FitFunction:
    """Return how requests suit an agent."""

    def fit(request: Request) -> Fit:
        if not _may_go(state, view, request, now_s):
            return Fit.AVOID
        if request.prefix_digest and request.prefix_digest in view.prefixes:
            return Fit.WARM
        return Fit.NEUTRAL

    return fit


def _may_go(
    state: RouterState, view: AgentView, request: Request, now_s: float
) -> bool:
    """Return whether a request need not seek another endpoint first."""
    tracked = state.tracked[request.request_id]
    if not tracked.tried or now_s >= tracked.avoid_until_s:
        return True
    if endpoint_of(view) not in tracked.tried:
        return True
    others = state.agents_of(request.service)
    return not any(
        other.usable and endpoint_of(other) not in tracked.tried
        for other in others
    )


def _remember_prefix(state: RouterState, view: AgentView, digest: int) -> None:
    if not digest:
        return
    view.prefixes.pop(digest, None)
    view.prefixes[digest] = None
    if len(view.prefixes) > state.options.affinity_memory:
        del view.prefixes[next(iter(view.prefixes))]
