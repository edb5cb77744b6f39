"""The core of an agent: events in, effects out.

See `bulrushstream.coordination.agentstate` for what an agent is.  After
every event the agent starts what it holds, pulls for free slots, announces
room, and reports service, each if there is cause.

When a router's connection breaks, its backlog no longer counts at once;
its running requests go on and wait for the router to resume them.  If it
stays away, requests that were not started are dropped with a tombstone and
idempotent runs are stopped, as the router may have them run elsewhere.
Other runs go on to their end, since stopping one half way helps nobody.
"""

from __future__ import annotations

from itertools import islice

from bulrushstream.coordination.agentstate import (
    NEVER_S,
    AgentOptions,
    AgentState,
    new_agent,
    tell,
)
from bulrushstream.coordination.crashes import retell
from bulrushstream.coordination.intake import (
    accept,
    cancel,
    give_all_back,
    give_back,
    give_back_spare,
    resume,
    revoke,
    start_held,
)
from bulrushstream.coordination.pulling import (
    announce,
    fill,
    learn_backlog,
    no_work,
)
from bulrushstream.coordination.reporting import (
    greet,
    relay_cache,
    report,
    report_due_s,
    share_lifts,
)
from bulrushstream.coordination.running import (
    abandon,
    acknowledge,
    body,
    end,
    forget,
    head,
    stop,
)
from bulrushstream.state.config import VersionedConfig
from bulrushstream.state.effect import Effect, Send, WakeAt
from bulrushstream.state.event import (
    CacheReported,
    Configured,
    DrainStarted,
    Event,
    LoadReported,
    PeerDown,
    PeerLost,
    PeerUp,
    Received,
    RunBody,
    RunEnd,
    RunHead,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import (
    Ack,
    Backlog,
    Cancel,
    Digest,
    Dispatch,
    Floor,
    Goodbye,
    Message,
    NoWork,
    RefuseReason,
    Resume,
    Revoke,
)
from bulrushstream.state.run import Run, RunPhase

__all__ = ["AgentOptions", "AgentState", "handle", "new_agent"]


def handle(state: AgentState, event: Event, now_s: float) -> list[Effect]:
    """Take in one event.

    :param state: The agent's state, which is changed.
    :param event: What happened.
    :param now_s: When, on the core's clock; it never goes back.
    :returns: What to do, in order.
    """
    effects = _apply(state, event, now_s)
    if _is_quiet(event):
        return effects
    if now_s - state.checked_s >= state.options.tick_s:
        effects += _check_times(state, now_s)
    effects += start_held(state, now_s)
    effects += give_back_spare(state, now_s)
    effects += fill(state, now_s)
    effects += announce(state, now_s)
    effects += report(state, now_s)
    effects += share_lifts(state, now_s)
    effects += _wake(state, now_s)
    return effects


def _is_quiet(event: Event) -> bool:
    """Return whether an event can free no slot and bring no work.

    Most events are pieces of answers, so that their path has to be short;
    what else is due waits for the next tick.
    """
    match event:
        case RunBody() | RunHead() | Received(_, Ack() | Digest() | Floor()):
            return True
        case _:
            return False


def _apply(state: AgentState, event: Event, now_s: float) -> list[Effect]:
    """Do what an event itself asks for."""
    match event:
        case Received(peer, message):
            return _receive(state, peer, message, now_s)
        case RunBody():
            return body(state, event)
        case RunHead():
            return head(state, event)
        case RunEnd():
            return end(state, event, now_s)
        case LoadReported():
            _take_load(state, event, now_s)
        case CacheReported():
            return relay_cache(state, event)
        case PeerUp(info) if info.role is Role.ROUTER:
            return _connect(state, info, now_s)
        case PeerDown(peer):
            return _disconnect(state, peer, now_s)
        case PeerLost(peer):
            if peer not in state.routers:
                return _lose(state, peer, now_s)
            # A standing connection is the better sign; if the router is
            # gone, its end follows.
            state.given_up.add(peer)
        case Configured(current):
            _configure(state, current)
        case DrainStarted():
            return _drain(state, now_s)
        case _:
            pass
    return []


def _receive(
    state: AgentState, peer: InstanceKey, message: Message, now_s: float
) -> list[Effect]:
    """Take in a router's message."""
    match message:
        case Dispatch():
            return accept(state, peer, message, now_s)
        case Ack(request_id, attempt, next_sequence):
            acknowledge(state, (request_id, attempt), next_sequence)
        case NoWork():
            no_work(state, peer, message, now_s)
        case Backlog():
            if peer in state.routers:
                learn_backlog(state, peer, message, now_s)
        case Digest(service) if service == state.me.service:
            state.shares.take_digest(peer, message)
        case Floor(service, workspace, floor):
            if service == state.me.service:
                state.shares.raise_lift(workspace, floor)
        case Resume():
            return resume(state, peer, message, now_s)
        case Revoke():
            return revoke(state, peer, message, now_s)
        case Cancel():
            return cancel(state, message, now_s)
        case _:
            pass
    return []


def _connect(
    state: AgentState, info: InstanceInfo, now_s: float
) -> list[Effect]:
    """Start with a router from nothing; it sends everything anew."""
    effects: list[Effect] = []
    for key in [*state.routers, *_orphaning(state)]:
        older = key.incarnation < info.key.incarnation
        if key.instance == info.key.instance and older:
            effects += _lose(state, key, now_s)
    _forget_router(state, info.key, now_s)
    state.routers[info.key] = info
    state.settled_at_s = min(
        state.settled_at_s, now_s + state.options.settle_s
    )
    if state.draining:
        effects.append(Send(info.key, Goodbye(state.me.key.incarnation)))
    effects += greet(state, info.key)
    return effects + retell(state, info.key, now_s)


def _orphaning(state: AgentState) -> set[InstanceKey]:
    """Return the routers whose runs wait to be resumed."""
    waiting = state.runs.values()
    return {run.router for run in waiting if run.orphaned_s is not None}


def _forget_router(
    state: AgentState, router: InstanceKey, now_s: float
) -> None:
    """Drop what belongs to a connection."""
    state.routers.pop(router, None)
    state.given_up.discard(router)
    state.idle_told.pop(router, None)
    state.backlogs.drop(router)
    state.shares.silence(router)
    for pull in [p for p in state.pulls.values() if p.router == router]:
        del state.pulls[pull.pull_id]
    for run in state.runs.values():
        if run.router == router and run.orphaned_s is None:
            run.orphaned_s = now_s


def _disconnect(
    state: AgentState, router: InstanceKey, now_s: float
) -> list[Effect]:
    """Note that a router's connection broke."""
    if router not in state.routers:
        return []
    if router in state.given_up:
        return _lose(state, router, now_s)
    _forget_router(state, router, now_s)
    return []


def _lose(
    state: AgentState, router: InstanceKey, now_s: float
) -> list[Effect]:
    """Note that a router will not come back."""
    _forget_router(state, router, now_s)
    state.shares.drop_source(router)
    effects: list[Effect] = []
    for run in list(state.runs.values()):
        if run.router == router:
            effects += _strand(state, run, now_s)
    return effects


def _strand(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Settle a run whose router stayed away."""
    if run.phase is RunPhase.HELD:
        return give_back(state, run, RefuseReason.REVOKED, now_s)
    if run.phase is RunPhase.RUNNING and run.dispatch.idempotent:
        return stop(run, now_s)
    if run.phase is RunPhase.ENDED and run.router not in state.routers:
        # Nobody will acknowledge it; a drain need not wait for that.
        forget(state, run)
    return []


def _configure(state: AgentState, current: VersionedConfig) -> None:
    """Take over the service's limits and the workspaces' weights."""
    config = current.config
    state.weights = {w.name: w.weight for w in config.workspaces}
    for service in config.services:
        if service.name == state.me.service:
            state.service = service
            state.slots.configure(service.slots, service.max_slots)


def _drain(state: AgentState, now_s: float) -> list[Effect]:
    """Take no new work, give back what was not started."""
    if state.draining:
        return []
    state.draining = True
    effects = tell(state, Goodbye(state.me.key.incarnation))
    return effects + give_all_back(state, RefuseReason.DRAINING, now_s)


def _take_load(state: AgentState, event: LoadReported, now_s: float) -> None:
    """Adapt to the endpoint's load report."""
    if not event.healthy:
        # Runs tell more than a report; it counts only beside none.
        if not state.active:
            state.breaker.fail(now_s, state.rng)
        return
    state.slots.report(
        event.running, event.waiting, now_s, state.options.load_lag_s
    )


def _check_times(state: AgentState, now_s: float) -> list[Effect]:
    """Act on everything that has taken too long."""
    state.checked_s = now_s
    _expire_pulls(state, now_s)
    effects: list[Effect] = []
    for run in list(state.runs.values()):
        effects += _check_run(state, run, now_s)
    return effects


def _expire_pulls(state: AgentState, now_s: float) -> None:
    """Count pulls without an answer as lost."""
    limit_s = now_s - state.options.pull_timeout_s
    for pull in [p for p in state.pulls.values() if p.sent_s <= limit_s]:
        del state.pulls[pull.pull_id]
        waiting = state.backlogs.find(pull.router, pull.workspace)
        if waiting is not None:
            waiting.answer()


def _check_run(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Act on one run that has taken too long."""
    options = state.options
    if run.phase is RunPhase.ENDED:
        return _check_ended(state, run, now_s)
    if run.phase is RunPhase.HELD and now_s >= run.deadline_s:
        return give_back(state, run, RefuseReason.EXPIRED, now_s)
    if run.cancelled_s is not None:
        if now_s - run.cancelled_s >= options.cancel_grace_s:
            return abandon(state, run, now_s)
        return []
    if now_s >= run.deadline_s + options.deadline_grace_s:
        return stop(run, now_s)
    away_s = now_s - (now_s if run.orphaned_s is None else run.orphaned_s)
    if away_s >= options.resume_grace_s:
        return _strand(state, run, now_s)
    return []


def _check_ended(state: AgentState, run: Run, now_s: float) -> list[Effect]:
    """Forget an answer that nobody fetches, or send its rest again.

    The first parts that lack an acknowledgement go, since the router may
    wait for one of them; its next acknowledgement shows what is left.
    """
    options = state.options
    since_s = now_s - run.ended_s
    away = run.orphaned_s is not None
    hurried = state.draining and away
    keep_s = options.resume_grace_s if hurried else options.answer_keep_s
    if since_s >= keep_s:
        forget(state, run)
        return []
    if away or now_s - max(run.ended_s, run.resent_s) < options.resend_s:
        return []
    run.resent_s = now_s
    parts = islice(run.buffer.parts, options.resend_parts)
    return [Send(run.router, part) for part in parts]


def _wake(state: AgentState, now_s: float) -> list[Effect]:
    """Ask for the next tick, unless an earlier one was asked for."""
    times = [report_due_s(state)]
    if state.runs or state.pulls or any(state.backlogs.workspaces()):
        times.append(now_s + state.options.tick_s)
    if state.idle_was_s is not None:
        times.append(now_s + state.options.idle_delay_s)
    if now_s < state.breaker.retry_at_s:
        times.append(state.breaker.retry_at_s)
    at_s = max(min(times), now_s + state.options.idle_delay_s)
    if state.wake_at_s <= now_s:
        state.wake_at_s = NEVER_S
    if at_s >= state.wake_at_s:
        return []
    state.wake_at_s = at_s
    return [WakeAt(at_s)]
