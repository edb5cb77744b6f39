"""Reports an agent's counted service, lifts and cached prefixes to routers.

A report of service carries only entries that changed.  The pause after a
report grows with its size, so that reports use a fixed bandwidth.  Lifts
are sent rarely: agents that see the same backlog set about the same lifts,
and lifts that a router is known to have are not sent again.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination.accrual import accrue, remaining_service
from bulrushstream.coordination.agentstate import (
    NEVER_S,
    AgentState,
    broadcast,
)
from bulrushstream.state.effect import Effect, Send
from bulrushstream.state.event import CacheReported
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Cached, Floor, Served, ServedEntry

# Approximate size of a ledger entry in a frame.
ENTRY_BYTES: Final = 64
# Approximate size of a lift in a frame.
FLOOR_BYTES: Final = 40


def report(state: AgentState, now_s: float) -> list[Effect]:
    """Send changed ledger entries to all routers if a report is due.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The reports; none if nothing is due or changed.
    """
    if now_s < state.next_report_s or not state.routers:
        return []
    accrue(state, now_s)
    entries = _changed_entries(state)
    state.next_report_s = now_s + _pause_s(state, len(entries))
    if not entries:
        return []
    return broadcast(state, Served(state.me.service, state.sequence, entries))


def sync_router(state: AgentState, router: InstanceKey) -> list[Effect]:
    """Send a new router all ledger entries, lifts and cached prefixes.

    :param state: The agent's state.
    :param router: The router that connected.
    :returns: The messages.
    """
    effects: list[Effect] = []
    state.sequence += 1
    entries = _entries(state, sorted(state.shares.served))
    if entries:
        message = Served(state.me.service, state.sequence, entries)
        effects.append(Send(router, message))
    for workspace, lift in sorted(state.shares.lifts.items()):
        floor = Floor(state.me.service, workspace, lift)
        effects.append(Send(router, floor))
    if state.cached_prefixes:
        cached = Cached(
            reset=True, added=tuple(state.cached_prefixes), dropped=()
        )
        effects.append(Send(router, cached))
    return effects


def share_lifts(state: AgentState, now_s: float) -> list[Effect]:
    """Send lifts that routers lack if the interval has passed.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The messages; none if nothing is due.
    """
    if now_s < state.next_lifts_s or not state.routers:
        return []
    effects: list[Effect] = []
    step = state.estimator.cost.value * state.options.lift_requests
    for workspace, lift in state.shares.pending_lifts(step):
        effects += broadcast(state, Floor(state.me.service, workspace, lift))
    pause_s = len(effects) * FLOOR_BYTES / state.options.lift_bytes_per_s
    pause_s = max(pause_s, state.options.lift_interval_s)
    # Random intervals, so that usually one agent sends a lift first and
    # the others then need not send it.
    state.next_lifts_s = now_s + pause_s * state.rng.uniform(0.5, 1.5)
    return effects


def report_due_s(state: AgentState) -> float:
    """Return when the next report is due; NEVER_S if nothing changes.

    :param state: The agent's state.
    """
    if not state.routers:
        return NEVER_S
    if not state.active and not _has_unreported(state):
        return NEVER_S
    return state.next_report_s


def relay_cache(state: AgentState, event: CacheReported) -> list[Effect]:
    """Forward changes of the engine's prefix cache to routers.

    After a gap in the sequence the known prefixes are discarded, since
    changes may have been missed.

    :param state: The agent's state.
    :param event: The engine's report.
    :returns: The messages.
    """
    if event.sequence <= state.cache_sequence:
        return []
    gap = event.sequence != state.cache_sequence + 1
    state.cache_sequence = event.sequence
    if gap:
        state.cached_prefixes.clear()
    for digest in event.dropped:
        state.cached_prefixes.pop(digest, None)
    for digest in event.added:
        state.cached_prefixes[digest] = None
    while len(state.cached_prefixes) > state.options.prefix_limit:
        del state.cached_prefixes[next(iter(state.cached_prefixes))]
    return broadcast(state, Cached(gap, event.added, event.dropped))


def _changed_entries(state: AgentState) -> tuple[ServedEntry, ...]:
    """Return the entries that changed enough since the last report."""
    in_flight = remaining_service(state)
    changed = [
        workspace
        for workspace in state.shares.served
        if _needs_report(state, workspace, in_flight.get(workspace, 0.0))
    ]
    if not changed:
        return ()
    for workspace in changed:
        total = state.shares.served[workspace]
        state.last_reported[workspace] = (total, in_flight.get(workspace, 0.0))
    state.sequence += 1
    return _entries(state, changed)


def _has_unreported(state: AgentState) -> bool:
    """Return whether any counted service is unreported."""
    return any(_needs_report(state, name, 0.0) for name in state.shares.served)


def _needs_report(state: AgentState, workspace: str, in_flight: float) -> bool:
    """Return whether a workspace's entry changed enough to report."""
    total = state.shares.served[workspace]
    last_total, last_in_flight = state.last_reported.get(workspace, (0.0, 0.0))
    if last_in_flight and not in_flight:
        return True
    step = state.estimator.cost.value * state.options.report_step
    change = abs(total - last_total) + abs(in_flight - last_in_flight)
    return change > step / state.weight(workspace)


def _entries(
    state: AgentState, workspaces: list[str]
) -> tuple[ServedEntry, ...]:
    """Return the ledger entries of workspaces.

    The agent's name is left empty, as the receiver knows the sender.
    """
    in_flight = remaining_service(state)
    return tuple(
        ServedEntry(
            agent="",
            incarnation=0,
            workspace=workspace,
            total=state.shares.served[workspace],
            in_flight=in_flight.get(workspace, 0.0),
        )
        for workspace in workspaces
    )


def _pause_s(state: AgentState, entries: int) -> float:
    """Return the pause after a report with this many entries."""
    size_bytes = entries * ENTRY_BYTES * len(state.routers)
    pause_s = size_bytes / state.options.report_bytes_per_s
    pause_s = max(pause_s, state.options.report_interval_s)
    return min(pause_s, state.options.max_report_interval_s)
