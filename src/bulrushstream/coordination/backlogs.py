"""Tells agents how much waits here, without a message per request.

That a queue filled is told at once to a few agents, those that run least
for this router; the others are told if it lasts.
That it emptied is told at once to those who know of it, so that nobody
asks in vain.  An agent that knows of no backlog announces its free slots
and is told everything, so a slot that is free never waits for this.
Agents take counts for hints and ask whether there is work, so lesser
changes are told only if they matter: a count that grew manifold, a class
that came or went, an age that has become wrong.  A queue from which nobody
pulls for a while is told again, because a message may be lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from bulrushstream.coordination.routing import (
    AgentView,
    RouterState,
    Timer,
    Told,
)
from bulrushstream.state.message import Backlog, BacklogEntry
from bulrushstream.state.queues import QueueKey

NOTHING_TOLD: Final = Told()
# A count is told again when it is this many times what was told, and at
# least this many times a small count.
GROWTH: Final = 4
SMALL: Final = 2


def touch(state: RouterState, key: QueueKey) -> None:
    """Note that a queue has changed."""
    state.dirty.add(key)


def publish(state: RouterState, now_s: float) -> None:
    """See to it that agents are told what has changed.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    emptied: dict[str, list[QueueKey]] = {}
    filled: dict[str, list[QueueKey]] = {}
    for key in sorted(state.dirty):
        if not state.queues.counts(key).total:
            emptied.setdefault(key.service, []).append(key)
            state.dirty.discard(key)
        elif key not in state.told:
            filled.setdefault(key.service, []).append(key)
    for service, keys in emptied.items():
        _tell_emptied(state, service, keys, now_s)
    for service, keys in filled.items():
        _tell(state, keys, _first_ones(state, service), now_s)
    if state.dirty:
        due_s = now_s + state.options.backlog_interval_s
        state.timers.set_sooner((Timer.BACKLOG, ""), due_s)


def flush(state: RouterState, now_s: float) -> None:
    """Tell agents the changes that matter, and what some of them missed.

    :param state: the router
    :param now_s: the time on the core's clock
    """
    changed: dict[str, list[QueueKey]] = {}
    for key in sorted(state.dirty):
        if _matters(state, key, now_s):
            changed.setdefault(key.service, []).append(key)
    state.dirty.clear()
    for service, keys in changed.items():
        _tell(state, keys, state.agents_of(service), now_s)
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
    keys = sorted(state.queues.service_keys(service))
    _note_knowing(state, view, keys)
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


def _first_ones(state: RouterState, service: str) -> list[AgentView]:
    """Return the few agents that run least for this router."""
    usable = [view for view in state.agents_of(service) if view.usable]
    count = state.options.backlog_fanout
    if len(usable) <= count:
        return usable
    rng = state.rng
    return sorted(usable, key=lambda v: (len(v.running), rng.random()))[:count]


def _tell(
    state: RouterState,
    keys: list[QueueKey],
    views: list[AgentView],
    now_s: float,
) -> None:
    """Tell agents of queues in which something waits."""
    entries = _entries(state, keys, now_s)
    for key in keys:
        state.told[key] = _told(state, key)
    for view in views:
        view.missed.difference_update(keys)
        _note_knowing(state, view, keys)
        _send(state, view, entries, full=False)


def _tell_emptied(
    state: RouterState, service: str, keys: list[QueueKey], now_s: float
) -> None:
    """Tell the agents that know of queues that these are empty now."""
    entries = _entries(state, keys, now_s)
    knowing = {key: state.knowing.pop(key, set()) for key in keys}
    for key in keys:
        state.told.pop(key, None)
    for view in state.agents_of(service):
        view.missed.difference_update(keys)
        theirs = tuple(
            entry
            for key, entry in zip(keys, entries, strict=True)
            if view.info.key in knowing[key]
        )
        if theirs:
            _send(state, view, theirs, full=False)


def _note_knowing(
    state: RouterState, view: AgentView, keys: Iterable[QueueKey]
) -> None:
    """Note that an agent takes queues for filled."""
    if not view.connected:
        return
    for key in keys:
        state.knowing.setdefault(key, set()).add(view.info.key)


def _told(state: RouterState, key: QueueKey) -> Told:
    """Return what there is to tell of a queue now."""
    counts = state.queues.counts(key)
    oldest_s = state.queues.oldest_arrival_s(key) or 0.0
    return Told(counts.total, counts.interactive, oldest_s)


def _matters(state: RouterState, key: QueueKey, now_s: float) -> bool:
    """Return whether agents should be told of a queue again."""
    old = state.told.get(key, NOTHING_TOLD)
    new = _told(state, key)
    agents = len(state.agents_of(key.service))
    if len(state.knowing.get(key, ())) < agents:
        return True
    if bool(old.interactive) != bool(new.interactive):
        return True
    if new.total >= GROWTH * max(old.total, SMALL):
        return True
    age_s = now_s - new.oldest_s
    wrong_s = new.oldest_s - old.oldest_s
    return wrong_s > max(state.options.backlog_stale_s, age_s / 2)


def _tell_missed(state: RouterState, view: AgentView, now_s: float) -> None:
    if not view.missed:
        return
    keys = sorted(view.missed)
    view.missed.clear()
    _note_knowing(state, view, [k for k in keys if k in state.told])
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
