"""Announces backlogs to agents, without a message per request.

A queue that becomes non-empty is announced at once to the few agents with
the fewest requests in flight from this router, and to the others if it
stays so until the next flush.  A queue that becomes empty is announced at
once to the agents that take it for non-empty, so that they don't pull for
nothing.  An agent that knows of no backlog announces its free slots and
gets the whole backlog in return, so free slots never wait for a flush.

Agents treat counts as hints, since a pull shows whether there is work.
Other changes are therefore announced only if they are significant: a count
that grew several times over, the first or last interactive request, or an
age that has become wrong.  If no agent pulls for a while, the backlog is
sent again, because a message may have been lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from bulrushstream.coordination.routerstate import (
    AgentView,
    AnnouncedBacklog,
    RouterState,
    Timer,
)
from bulrushstream.state.message import Backlog, BacklogEntry
from bulrushstream.state.queues import QueueKey

NOT_ANNOUNCED: Final = AnnouncedBacklog()
# A count is announced again once it is GROWTH_FACTOR times the announced
# count, or GROWTH_FACTOR * MIN_COUNT if that is more.
GROWTH_FACTOR: Final = 4
MIN_COUNT: Final = 2


def mark_dirty(state: RouterState, key: QueueKey) -> None:
    """Record that a queue has changed since it was announced."""
    state.dirty_queues.add(key)


def publish(state: RouterState, now_s: float) -> None:
    """Announce queues that filled or emptied; schedule other changes.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    emptied: dict[str, list[QueueKey]] = {}
    filled: dict[str, list[QueueKey]] = {}
    for key in sorted(state.dirty_queues):
        if not state.queues.counts(key).total:
            emptied.setdefault(key.service, []).append(key)
            state.dirty_queues.discard(key)
        elif key not in state.announced:
            filled.setdefault(key.service, []).append(key)
    for service, keys in emptied.items():
        _announce_emptied(state, service, keys, now_s)
    for service, keys in filled.items():
        _announce(state, keys, _least_busy(state, service), now_s)
    if state.dirty_queues:
        due_s = now_s + state.options.backlog_interval_s
        state.timers.set_earliest((Timer.BACKLOG, ""), due_s)


def flush(state: RouterState, now_s: float) -> None:
    """Announce significant changes and repeat counts scheduled for resend.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    changed: dict[str, list[QueueKey]] = {}
    for key in sorted(state.dirty_queues):
        if _is_significant(state, key, now_s):
            changed.setdefault(key.service, []).append(key)
    state.dirty_queues.clear()
    for service, keys in changed.items():
        _announce(state, keys, state.agents_of(service), now_s)
    for view in state.agents.values():
        _resend(state, view, now_s)


def schedule_resend(
    state: RouterState, view: AgentView, key: QueueKey, now_s: float
) -> None:
    """Schedule a count to be repeated to an agent that got no work.

    An agent that got no work takes the queue for empty until it receives
    another count, although requests may still wait.

    :param state: the router
    :param view: the agent
    :param key: the queue
    :param now_s: the time on the core's clock
    """
    view.to_resend.add(key)
    due_s = now_s + state.options.backlog_interval_s
    state.timers.set_earliest((Timer.BACKLOG, ""), due_s)


def send_all(state: RouterState, view: AgentView, now_s: float) -> None:
    """Send one agent the whole backlog of its service.

    :param state: the router
    :param view: the agent
    :param now_s: the time on the core's clock
    """
    service = view.info.service
    keys = sorted(state.queues.service_keys(service))
    _mark_informed(state, view, keys)
    _send(state, view, _entries(state, keys, now_s), full=True)


def refresh(state: RouterState, service: str, now_s: float) -> None:
    """Repeat a service's backlog if no agent has pulled for a while.

    :param state: the router
    :param service: the service
    :param now_s: the time on the core's clock
    """
    if not state.queues.service_count(service):
        return
    wait_s = state.options.backlog_refresh_s
    due_s = state.last_pull_s.get(service, 0.0) + wait_s
    if due_s <= now_s:
        for view in state.agents_of(service):
            if view.connected:
                send_all(state, view, now_s)
        due_s = now_s + wait_s
    state.timers.set((Timer.REFRESH, service), due_s)


def _least_busy(state: RouterState, service: str) -> list[AgentView]:
    """Return the agents with the fewest requests in flight from here."""
    usable = [view for view in state.agents_of(service) if view.usable]
    count = state.options.backlog_fanout
    if len(usable) <= count:
        return usable
    rng = state.rng
    return sorted(usable, key=lambda v: (len(v.in_flight), rng.random()))[
        :count
    ]


def _announce(
    state: RouterState,
    keys: list[QueueKey],
    views: list[AgentView],
    now_s: float,
) -> None:
    """Send agents the counts of queues that are not empty."""
    entries = _entries(state, keys, now_s)
    for key in keys:
        state.announced[key] = _current_backlog(state, key)
    for view in views:
        view.to_resend.difference_update(keys)
        _mark_informed(state, view, keys)
        _send(state, view, entries, full=False)


def _announce_emptied(
    state: RouterState, service: str, keys: list[QueueKey], now_s: float
) -> None:
    """Send zero counts to the agents that take queues for non-empty."""
    entries = _entries(state, keys, now_s)
    informed = {key: state.informed_agents.pop(key, set()) for key in keys}
    for key in keys:
        state.announced.pop(key, None)
    for view in state.agents_of(service):
        view.to_resend.difference_update(keys)
        for_agent = tuple(
            entry
            for key, entry in zip(keys, entries, strict=True)
            if view.info.key in informed[key]
        )
        if for_agent:
            _send(state, view, for_agent, full=False)


def _mark_informed(
    state: RouterState, view: AgentView, keys: Iterable[QueueKey]
) -> None:
    """Record that an agent takes queues for non-empty."""
    if not view.connected:
        return
    for key in keys:
        state.informed_agents.setdefault(key, set()).add(view.info.key)


def _current_backlog(state: RouterState, key: QueueKey) -> AnnouncedBacklog:
    """Return the current state of a queue, as it would be announced."""
    counts = state.queues.counts(key)
    oldest_s = state.queues.head_arrival_s(key) or 0.0
    return AnnouncedBacklog(counts.total, counts.interactive, oldest_s)


def _is_significant(state: RouterState, key: QueueKey, now_s: float) -> bool:
    """Return whether a queue's change should be announced to agents."""
    old = state.announced.get(key, NOT_ANNOUNCED)
    new = _current_backlog(state, key)
    agents = len(state.agents_of(key.service))
    if len(state.informed_agents.get(key, ())) < agents:
        return True
    if bool(old.interactive) != bool(new.interactive):
        return True
    if new.total >= GROWTH_FACTOR * max(old.total, MIN_COUNT):
        return True
    age_s = now_s - new.oldest_s
    error_s = new.oldest_s - old.oldest_s
    return error_s > max(state.options.backlog_stale_s, age_s / 2)


def _resend(state: RouterState, view: AgentView, now_s: float) -> None:
    if not view.to_resend:
        return
    keys = sorted(view.to_resend)
    view.to_resend.clear()
    _mark_informed(state, view, [k for k in keys if k in state.announced])
    _send(state, view, _entries(state, keys, now_s), full=False)


def _send(
    state: RouterState,
    view: AgentView,
    entries: tuple[BacklogEntry, ...],
    full: bool,
) -> None:
    if not view.connected:
        return
    sequence = state.next_sequence()
    state.send(view.info.key, Backlog(sequence, full, entries))


def _entries(
    state: RouterState, keys: Iterable[QueueKey], now_s: float
) -> tuple[BacklogEntry, ...]:
    return tuple(_entry(state, key, now_s) for key in keys)


def _entry(state: RouterState, key: QueueKey, now_s: float) -> BacklogEntry:
    counts = state.queues.counts(key)
    oldest_s = state.queues.head_arrival_s(key)
    age_s = 0.0 if oldest_s is None else max(0.0, now_s - oldest_s)
    return BacklogEntry(
        service=key.service,
        workspace=key.workspace,
        interactive=counts.interactive,
        batch=counts.batch,
        oldest_age_ms=int(age_s * 1000),
    )
