"""Pulls work from routers, and announces free slots if there is none.

A *pull* asks a router for one request of the workspace that has received
the least service.  If a round trip to a router is not short compared to a
run, the agent pulls *ahead*, before a run ends, so that its slot is not
empty for a round trip.  It does so only with a long backlog, since a held
request could otherwise run at another agent, and refuses held requests
once no backlog is left.  An agent with free slots that knows of no backlog
announces the number of free slots instead.
"""

from __future__ import annotations

import math

from bulrushstream.coordination.accrual import accrue, remaining_service
from bulrushstream.coordination.agentstate import (
    AgentState,
    PendingPull,
)
from bulrushstream.coordination.breaker import BreakerPhase
from bulrushstream.coordination.pick import (
    bound_lead,
    least_served,
    lift_returning,
    most_urgent,
)
from bulrushstream.state.effect import Decision, Effect, Send
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Backlog, Idle, NoWork, Pull
from bulrushstream.state.request import RequestClass


def update_backlog(
    state: AgentState, router: InstanceKey, message: Backlog, now_s: float
) -> None:
    """Update a router's backlog; lift workspaces that returned from idle.

    :param state: The agent's state.
    :param router: The sender.
    :param message: The backlog.
    :param now_s: When it arrived.
    """
    returning = state.backlogs.update(router, message, now_s)
    state.workspace_returned = state.workspace_returned or bool(returning)
    may_lift = state.shares.informed or now_s >= state.lift_without_digest_s
    if returning and may_lift:
        accrue(state, now_s)
        lift_returning(state.shares, returning, state.backlogs.workspaces())


def handle_no_work(
    state: AgentState, router: InstanceKey, message: NoWork, now_s: float
) -> None:
    """Settle a pull without work; mute the workspace at that router.

    :param state: The agent's state.
    :param router: The sender.
    :param message: The pull.
    :param now_s: When it arrived.
    """
    pull = state.pulls.pop(message.pull_id, None)
    if pull is None:
        return
    state.round_trip.add(now_s - pull.sent_s)
    waiting = state.backlogs.find(router, pull.workspace)
    if waiting is not None:
        waiting.pull_done()
        waiting.muted_until_s = now_s + state.options.mute_s


def pull_ahead_limit(state: AgentState, now_s: float) -> int:
    """Return how many requests to hold in addition to the slots.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: Enough to cover a round trip; 0 if the round trip is
        negligible or not measured yet.
    """
    if state.breaker.phase(now_s) is not BreakerPhase.CLOSED:
        return 0
    if not state.round_trip.count or not state.estimator.run_s.value:
        return 0
    ratio = state.round_trip.value / state.estimator.run_s.value
    if ratio <= state.options.pull_ahead_ratio:
        return 0
    return min(math.ceil(state.slots.limit * ratio), state.slots.limit)


def free_slots(state: AgentState, now_s: float) -> int:
    """Return how many slots are neither used nor reserved by a pull.

    :param state: The agent's state.
    :param now_s: The time.
    """
    taken = len(state.active) + len(state.pulls)
    return max(0, state.capacity(now_s) - taken)


def pull_work(state: AgentState, now_s: float) -> list[Effect]:
    """Pull work for every slot that is free or will be free soon.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The pulls, each with its decision.
    """
    limit = state.capacity(now_s)
    if not limit or state.has_exclusive():
        return []
    ahead = pull_ahead_limit(state, now_s)
    if (
        ahead
        and state.backlogs.total_waiting() >= state.options.pull_ahead_backlog
    ):
        # One extra, so that a workspace that returned from idle does not
        # wait behind the held requests.
        limit += ahead + state.workspace_returned
    state.workspace_returned = False
    unfilled = limit - len(state.active) - len(state.pulls)
    if unfilled <= 0:
        return []
    counters = _charged_counters(state, now_s)
    effects: list[Effect] = []
    while unfilled > 0 and counters:
        workspace = least_served(state.me.key.instance, counters)
        if workspace is None:
            break
        router = most_urgent(
            state.backlogs.pull_candidates(workspace, now_s),
            state.options.aging_s,
        )
        if router is None:
            del counters[workspace]
            continue
        counter = counters[workspace]
        pull = _register_pull(state, router, workspace, now_s)
        counters[workspace] += pull.expected_cost
        effects += _pull_effects(state, pull, counter)
        unfilled -= 1
    return effects


def announce_free_slots(state: AgentState, now_s: float) -> list[Effect]:
    """Announce the number of free slots to routers; 0 with a backlog.

    The first free slots are announced at once.  A withdrawal is delayed,
    since slots used by short requests are soon free again.

    :param state: The agent's state.
    :param now_s: The time.
    :returns: The announcements.
    """
    free = 0 if _work_known(state, now_s) else free_slots(state, now_s)
    if state.has_exclusive():
        free = 0
    stale = [
        r for r in state.routers if state.announced_slots.get(r, 0) != free
    ]
    if not stale:
        state.unannounced_since_s = None
        return []
    unaware = [r for r in stale if not state.announced_slots.get(r, 0)]
    if free and unaware:
        return _send_idle(state, unaware, free, now_s)
    if state.unannounced_since_s is None:
        state.unannounced_since_s = now_s
    interval_s = state.options.idle_interval_s
    delay_s = interval_s if free else state.options.idle_delay_s
    if now_s - state.unannounced_since_s < delay_s:
        return []
    return _send_idle(state, stale, free, now_s)


def _send_idle(
    state: AgentState, routers: list[InstanceKey], free: int, now_s: float
) -> list[Effect]:
    """Send routers the number of free slots."""
    state.unannounced_since_s = None
    state.sequence += 1
    message = Idle(state.sequence, free)
    for router in routers:
        state.announced_slots[router] = free
    return [Send(router, message) for router in routers]


def _work_known(state: AgentState, now_s: float) -> bool:
    """Return whether any router has an unmuted backlog."""
    return any(
        waiting.total and now_s >= waiting.muted_until_s
        for workspace in state.backlogs.workspaces()
        for _, waiting in state.backlogs.routers_with_work(workspace)
    )


def _charged_counters(state: AgentState, now_s: float) -> dict[str, float]:
    """Return the service counters of workspaces that can be pulled.

    They include the expected cost of accepted requests and open pulls.
    """
    accrue(state, now_s)
    candidates = [
        workspace
        for workspace in state.backlogs.workspaces()
        if any(state.backlogs.pull_candidates(workspace, now_s))
    ]
    max_lead = state.estimator.cost.value * state.options.relief_requests
    if max_lead:
        limits = {w: max_lead / state.weight(w) for w in candidates}
        bound_lead(state.shares, candidates, limits)
    expected = remaining_service(state)
    for pull in state.pulls.values():
        expected[pull.workspace] = (
            expected.get(pull.workspace, 0.0) + pull.expected_cost
        )
    return {
        workspace: state.shares.with_in_flight(
            workspace, expected.get(workspace, 0.0)
        )
        for workspace in candidates
    }


def _register_pull(
    state: AgentState, router: InstanceKey, workspace: str, now_s: float
) -> PendingPull:
    """Record a pull that is about to be sent."""
    waiting = state.backlogs.find(router, workspace)
    urgent = waiting is not None and waiting.interactive > 0
    request_class = RequestClass.INTERACTIVE if urgent else RequestClass.BATCH
    estimate = state.estimator.estimate(workspace, request_class)
    pull = PendingPull(
        pull_id=state.next_pull_id,
        router=router,
        workspace=workspace,
        sent_s=now_s,
        expected_cost=estimate / state.weight(workspace),
    )
    taken = len(state.active) + len(state.pulls)
    pull.ahead = taken >= state.capacity(now_s)
    state.pulls[pull.pull_id] = pull
    state.next_pull_id += 1
    # On a pull the router sets the announced slots to zero.
    state.announced_slots[router] = 0
    if waiting is not None:
        waiting.pending_pulls += 1
    return pull


def _pull_effects(
    state: AgentState, pull: PendingPull, counter: float
) -> list[Effect]:
    """Return the effects that send a pull and log its decision."""
    message = Pull(pull.pull_id, state.me.service, pull.workspace, pull.ahead)
    decision = Decision(
        kind="pull",
        reason=f"least served: {counter:.6g}",
        workspace=pull.workspace,
        service=state.me.service,
        endpoint=state.me.endpoint,
    )
    return [Send(pull.router, message), decision]
