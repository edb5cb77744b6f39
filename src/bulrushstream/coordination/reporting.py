"""What an agent tells routers of the service that it gave.

Reports carry only what changed.  The next one waits the longer, the larger
the last one was, so that they use a fixed part of the network at any size.
Lifts travel seldom: agents that see the same backlog set about the same
lifts, and those that a router is known to have are not sent again.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.coordination.accrual import accrue, owed
from bulrushstream.coordination.agentstate import NEVER_S, AgentState, tell
from bulrushstream.state.effect import Effect, Send
from bulrushstream.state.event import CacheReported
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Cached, Floor, Served, ServedEntry

# About what one entry takes in a frame.
ENTRY_BYTES: Final = 64
# About what one lift takes in a frame.
FLOOR_BYTES: Final = 40


def report(state: AgentState, now_s: float) -> list[Effect]:
    """Send changes of the ledger to all routers, if it is time.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The reports, or nothing.
    """
    if now_s < state.report_at_s or not state.routers:
        return []
    accrue(state, now_s)
    entries = _changes(state)
    state.report_at_s = now_s + _pause_s(state, len(entries))
    if not entries:
        return []
    return tell(state, Served(state.me.service, state.sequence, entries))


def greet(state: AgentState, router: InstanceKey) -> list[Effect]:
    """Send a new router everything that this agent counted.

    :param state: The agent's state.
    :param router: Who connected.
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
    if state.prefixes:
        cached = Cached(reset=True, added=tuple(state.prefixes), dropped=())
        effects.append(Send(router, cached))
    return effects


def share_lifts(state: AgentState, now_s: float) -> list[Effect]:
    """Send lifts that routers lack, if it is time.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The messages, or nothing.
    """
    if now_s < state.lift_at_s or not state.routers:
        return []
    effects: list[Effect] = []
    step = state.estimator.cost.value * state.options.lift_requests
    for workspace, lift in state.shares.news(step):
        effects += tell(state, Floor(state.me.service, workspace, lift))
    pause_s = len(effects) * FLOOR_BYTES / state.options.lift_bytes_per_s
    pause_s = max(pause_s, state.options.lift_interval_s)
    # Agents take turns by chance, so that one of them tells the others.
    state.lift_at_s = now_s + pause_s * state.rng.uniform(0.5, 1.5)
    return effects


def report_due_s(state: AgentState) -> float:
    """Return when the next report is due; never, if nothing changes.

    :param state: The agent's state.
    """
    if not state.routers:
        return NEVER_S
    if not state.active and not _pending(state):
        return NEVER_S
    return state.report_at_s


def relay_cache(state: AgentState, event: CacheReported) -> list[Effect]:
    """Tell routers how the engine's prefix cache changed.

    After a gap nothing that was known before can be relied on.

    :param state: The agent's state.
    :param event: The engine's report.
    :returns: The messages.
    """
    if event.sequence <= state.cache_sequence:
        return []
    gap = event.sequence != state.cache_sequence + 1
    state.cache_sequence = event.sequence
    if gap:
        state.prefixes.clear()
    for digest in event.dropped:
        state.prefixes.pop(digest, None)
    for digest in event.added:
        state.prefixes[digest] = None
    while len(state.prefixes) > state.options.prefix_limit:
        del state.prefixes[next(iter(state.prefixes))]
    return tell(state, Cached(gap, event.added, event.dropped))


def _changes(state: AgentState) -> tuple[ServedEntry, ...]:
    """Return the entries that changed enough since the last report."""
    here = owed(state)
    changed = [
        workspace
        for workspace in state.shares.served
        if _moved(state, workspace, here.get(workspace, 0.0))
    ]
    if not changed:
        return ()
    for workspace in changed:
        total = state.shares.served[workspace]
        state.reported[workspace] = (total, here.get(workspace, 0.0))
    state.sequence += 1
    return _entries(state, changed)


def _pending(state: AgentState) -> bool:
    """Return whether anything was counted that no report carried yet."""
    return any(_moved(state, name, 0.0) for name in state.shares.served)


def _moved(state: AgentState, workspace: str, owes: float) -> bool:
    """Return whether a workspace's entry changed enough to report."""
    total = state.shares.served[workspace]
    total_was, owed_was = state.reported.get(workspace, (0.0, 0.0))
    if owed_was and not owes:
        return True
    step = state.estimator.cost.value * state.options.report_step
    moved = abs(total - total_was) + abs(owes - owed_was)
    return moved > step / state.weight(workspace)


def _entries(
    state: AgentState, workspaces: list[str]
) -> tuple[ServedEntry, ...]:
    """Return the ledger entries of workspaces.

    They name no agent: the receiver knows who sent them.
    """
    here = owed(state)
    return tuple(
        ServedEntry(
            agent="",
            incarnation=0,
            workspace=workspace,
            total=state.shares.served[workspace],
            in_flight=here.get(workspace, 0.0),
        )
        for workspace in workspaces
    )


def _pause_s(state: AgentState, entries: int) -> float:
    """Return how long to wait after a report of this many entries."""
    size_bytes = entries * ENTRY_BYTES * len(state.routers)
    pause_s = size_bytes / state.options.report_bytes_per_s
    pause_s = max(pause_s, state.options.report_interval_s)
    return min(pause_s, state.options.max_report_interval_s)
