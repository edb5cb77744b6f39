"""Tells agents how much waits here, without a message per request.

A count that becomes zero, or stops to be zero, is told at once; other
changes are gathered for an interval.  A queue from which nobody pulls for
a while is told again, because a message may be lost.
"""

from __future__ import annotations

from collections.abc import Iterable

from bulrushstream.coordination.routing import AgentView, RouterState, Timer
from bulrushstream.state.message import Backlog, BacklogEntry
from bulrushstream.state.queues import QueueKey


def touch(state: RouterState, key: QueueKey) -> None:
    """Note that a queue has changed."""
    state.dirty.add(key)


def publish(state: RouterState, now_s: float) -> None:
    """Tell agents at once which queues became empty or filled.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    if not state.dirty:
        return
    urgent: dict[str, list[QueueKey]] = {}
    for key in sorted(state.dirty):
        count = state.queues.counts(key).total
        told = state.told.get(key, 0)
        if count == told:
            state.dirty.discard(key)
        elif bool(count) != bool(told):
            urgent.setdefault(key.service, []).append(key)
    for service, keys in urgent.items():
        _tell(state, service, keys, now_s)
    if state.dirty:
        due_s = now_s + state.options.backlog_interval_s
        state.timers.set_sooner((Timer.BACKLOG, ""), due_s)


def flush(state: RouterState, now_s: float) -> None:
    """Tell agents all changes, and those that missed something.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    changed: dict[str, list[QueueKey]] = {}
    for key in sorted(state.dirty):
        changed.setdefault(key.service, []).append(key)
    for service, keys in changed.items():
        _tell(state, service, keys, now_s)
    for view in state.agents.values():
        _tell_missed(state, view, now_s)


def miss(
    state: RouterState, view: AgentView, key: QueueKey, now_s: float
) -> None:
    """Note that an agent got nothing of a queue that is not empty.

    The agent takes the queue for empty from then on, so it is told again.

    :param state: the router
    :param view: the agent
    :param key: the queue
    :param now_s: the time on the core's clock
    """
    view.missed.add(key)
    due_s = now_s + state.options.backlog_interval_s
    state.timers.set_sooner((Timer.BACKLOG, ""), due_s)


def tell_all(state: RouterState, view: AgentView, now_s: float) -> None:
    """Tell one agent the whole backlog of its service.

    :param state: the router
    :param view: the agent
    :param now_s: the time on the core's clock
    """
    service = view.info.service
    keys = sorted(
        key for key in state.queues.queue_keys() if key.service == service
    )
    _send(state, view, _entries(state, keys, now_s), full=True)


def refresh(state: RouterState, service: str, now_s: float) -> None:
    """Repeat a service's backlog if nobody has pulled for a while.

    :param state: the router
    :param service: which service
    :param now_s: the time on the core's clock
    """
    if not state.queues.service_count(service):
        return
    wait_s = state.options.backlog_refresh_s
    due_s = state.pulled_s.get(service, 0.0) + wait_s
    if due_s <= now_s:
        for view in state.agents_of(service):
            if view.connected:
                tell_all(state, view, now_s)
        due_s = now_s + wait_s
    state.timers.set((Timer.REFRESH, service), due_s)


def _tell(
    state: RouterState, service: str, keys: list[QueueKey], now_s: float
) -> None:
    entries = _entries(state, keys, now_s)
    for entry in entries:
        key = QueueKey(entry.service, entry.workspace)
        state.dirty.discard(key)
        count = entry.interactive + entry.batch
        if count:
            state.told[key] = count
        else:
            state.told.pop(key, None)
    for view in state.agents_of(service):
        view.missed.difference_update(keys)
        _send(state, view, entries, full=False)


def _tell_missed(state: RouterState, view: AgentView, now_s: float) -> None:
    if not view.missed:
        return
    keys = sorted(view.missed)
    view.missed.clear()
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
    oldest_s = state.queues.oldest_arrival_s(key)
    age_s = 0.0 if oldest_s is None else max(0.0, now_s - oldest_s)
    return BacklogEntry(
        service=key.service,
        workspace=key.workspace,
        interactive=counts.interactive,
        batch=counts.batch,
        oldest_age_ms=int(age_s * 1000),
    )
