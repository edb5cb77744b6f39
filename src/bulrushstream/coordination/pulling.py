"""Asking routers for work, and saying when there is room but no work.

A free slot is filled by a *pull*: one request of the workspace that has
received the least.  When a round trip to a router is not small against a
run, the agent pulls *ahead* of the end of a run, so that the slot is never
empty for a round trip.  It does so only beside a deep backlog, since what
it holds could otherwise run elsewhere, and gives back what it holds when
nothing else waits.  With room and no known backlog it announces how
many slots are free instead.
"""

from __future__ import annotations

import math

from bulrushstream.coordination.accrual import accrue, owed
from bulrushstream.coordination.agentstate import (
    AgentState,
    PendingPull,
)
from bulrushstream.coordination.breaker import BreakerPhase
from bulrushstream.coordination.pick import (
    least_served,
    lift_returning,
    most_urgent,
    relieve,
)
from bulrushstream.state.effect import Decision, Effect, Send
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Backlog, Idle, NoWork, Pull
from bulrushstream.state.request import RequestClass


def learn_backlog(
    state: AgentState, router: InstanceKey, message: Backlog, now_s: float
) -> None:
    """Take in what waits at a router; lift workspaces that came back.

    :param state: The agent's state.
    :param router: Who says it.
    :param message: What waits.
    :param now_s: When it arrived.
    """
    returning = state.backlogs.update(router, message, now_s)
    state.came_back = state.came_back or bool(returning)
    settled = state.shares.informed or now_s >= state.settled_at_s
    if returning and settled:
        accrue(state, now_s)
        lift_returning(state.shares, returning, state.backlogs.workspaces())


def no_work(
    state: AgentState, router: InstanceKey, message: NoWork, now_s: float
) -> None:
    """Note that a router had nothing for a pull.

    :param state: The agent's state.
    :param router: Who says it.
    :param message: Which pull.
    :param now_s: When it arrived.
    """
    pull = state.pulls.pop(message.pull_id, None)
    if pull is None:
        return
    state.round_trip.add(now_s - pull.sent_s)
    waiting = state.backlogs.find(router, pull.workspace)
    if waiting is not None:
        waiting.answer()
        waiting.muted_until_s = now_s + state.options.mute_s


def capacity_ahead(state: AgentState, now_s: float) -> int:
    """Return how many requests to hold beside those in the slots.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: Enough to cover a round trip; 0 if that is too short to
        matter or not known yet.
    """
    if state.breaker.phase(now_s) is not BreakerPhase.CLOSED:
        return 0
    if not state.round_trip.count or not state.estimator.run_s.value:
        return 0
    ratio = state.round_trip.value / state.estimator.run_s.value
    if ratio <= state.options.ahead_ratio:
        return 0
    return min(math.ceil(state.slots.limit * ratio), state.slots.limit)


def free_slots(state: AgentState, now_s: float) -> int:
    """Return how many slots are neither used nor asked for.

    :param state: The agent's state.
    :param now_s: The time.
    """
    taken = len(state.active) + len(state.pulls)
    return max(0, state.capacity(now_s) - taken)


def fill(state: AgentState, now_s: float) -> list[Effect]:
    """Pull work for every slot that is free or soon will be.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The pulls, each with its decision.
    """
    limit = state.capacity(now_s)
    if not limit or state.alone():
        return []
    ahead = capacity_ahead(state, now_s)
    if ahead and state.backlogs.total() >= state.options.ahead_backlog:
        # A workspace that came back need not wait behind what is held.
        limit += ahead + state.came_back
    state.came_back = False
    room = limit - len(state.active) - len(state.pulls)
    if room <= 0:
        return []
    charged = _charged(state, now_s)
    effects: list[Effect] = []
    while room > 0 and charged:
        workspace = least_served(state.me.key.instance, charged)
        if workspace is None:
            break
        router = most_urgent(
            state.backlogs.holders(workspace, now_s), state.options.aging_s
        )
        if router is None:
            del charged[workspace]
            continue
        counter = charged[workspace]
        pull = _note_pull(state, router, workspace, now_s)
        charged[workspace] += pull.owed
        effects += _pull_effects(state, pull, counter)
        room -= 1
    return effects


def announce(state: AgentState, now_s: float) -> list[Effect]:
    """Tell routers how many slots are free beside no known backlog.

    Room is announced at once; room that is gone only after a moment, since
    short requests give it back.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The announcements.
    """
    free = 0 if _work_known(state, now_s) else free_slots(state, now_s)
    if state.alone():
        free = 0
    stale = [r for r in state.routers if state.idle_told.get(r, 0) != free]
    if not stale:
        state.idle_was_s = None
        return []
    first = [r for r in stale if not state.idle_told.get(r, 0)]
    if free and first:
        return _tell_idle(state, first, free, now_s)
    if state.idle_was_s is None:
        state.idle_was_s = now_s
    interval_s = state.options.idle_interval_s
    delay_s = interval_s if free else state.options.idle_delay_s
    if now_s - state.idle_was_s < delay_s:
        return []
    return _tell_idle(state, stale, free, now_s)


def _tell_idle(
    state: AgentState, routers: list[InstanceKey], free: int, now_s: float
) -> list[Effect]:
    """Send the number of free slots to routers."""
    state.idle_was_s = None
    state.sequence += 1
    message = Idle(state.sequence, free)
    for router in routers:
        state.idle_told[router] = free
    return [Send(router, message) for router in routers]


def _work_known(state: AgentState, now_s: float) -> bool:
    """Return whether any router may have work."""
    return any(
        waiting.count and now_s >= waiting.muted_until_s
        for workspace in state.backlogs.workspaces()
        for _, waiting in state.backlogs.all_holders(workspace)
    )


def _charged(state: AgentState, now_s: float) -> dict[str, float]:
    """Return counters with what is in flight, for what can be pulled."""
    accrue(state, now_s)
    candidates = [
        workspace
        for workspace in state.backlogs.workspaces()
        if any(state.backlogs.holders(workspace, now_s))
    ]
    usual = state.estimator.cost.value * state.options.relief_requests
    if usual:
        limits = {w: usual / state.weight(w) for w in candidates}
        relieve(state.shares, candidates, limits)
    here = owed(state)
    for pull in state.pulls.values():
        here[pull.workspace] = here.get(pull.workspace, 0.0) + pull.owed
    return {
        workspace: state.shares.charged(workspace, here.get(workspace, 0.0))
        for workspace in candidates
    }


def _note_pull(
    state: AgentState, router: InstanceKey, workspace: str, now_s: float
) -> PendingPull:
    """Remember a pull that is about to be sent."""
    waiting = state.backlogs.find(router, workspace)
    urgent = waiting is not None and waiting.interactive > 0
    request_class = RequestClass.INTERACTIVE if urgent else RequestClass.BATCH
    estimate = state.estimator.estimate(workspace, request_class)
    pull = PendingPull(
        pull_id=state.next_pull,
        router=router,
        workspace=workspace,
        sent_s=now_s,
        owed=estimate / state.weight(workspace),
    )
    taken = len(state.active) + len(state.pulls)
    pull.ahead = taken >= state.capacity(now_s)
    state.pulls[pull.pull_id] = pull
    state.next_pull += 1
    # A router takes a pull for the end of an announcement.
    state.idle_told[router] = 0
    if waiting is not None:
        waiting.asked += 1
    return pull


def _pull_effects(
    state: AgentState, pull: PendingPull, counter: float
) -> list[Effect]:
    """Return the message of a pull and its decision."""
    message = Pull(pull.pull_id, state.me.service, pull.workspace, pull.ahead)
    decision = Decision(
        kind="pull",
        reason=f"least served: {counter:.6g}",
        workspace=pull.workspace,
        service=state.me.service,
        endpoint=state.me.endpoint,
    )
    return [Send(pull.router, message), decision]
