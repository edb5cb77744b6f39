"""Baseline routing policies that the fleet's own policy is compared with.

A *baseline* is a router core without queues per workspace, fair shares or
retries.  Two baselines *push*: they send each request to an agent at once,
where it waits in first-in, first-out order.  The third has one queue per
service in order of arrival, from which agents pull.  Baselines are for
measurements only, not for production.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Final

from bulrushstream.coordination.agentstate import AgentOptions
from bulrushstream.messages import ENDPOINT_LOST, EXPIRED
from bulrushstream.state.effect import Effect, FailRequest, Reply, Send
from bulrushstream.state.event import (
    CallerDisconnected,
    Event,
    MessageReceived,
    PeerDown,
    PeerUp,
    RequestArrived,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import (
    Ack,
    Backlog,
    BacklogEntry,
    Cancel,
    Dispatch,
    Message,
    NoWork,
    Part,
    PartKind,
    Pull,
    Refuse,
    RefuseReason,
)
from bulrushstream.state.request import Outcome, Request

MS_PER_S: Final = 1000.0
# The count announced for a non-empty queue, because a change of its length
# alone is not announced.
ANNOUNCED_COUNT: Final = 1000
PUSH_HOLD_LIMIT: Final = 10**6


class Policy(StrEnum):
    """How requests are assigned to endpoints."""

    FAIR_PULL = "fair-pull"  # The fleet's own policy.
    ROUND_ROBIN = "round-robin"  # Push to each endpoint in turn.
    LEAST_OUTSTANDING = "least-outstanding"  # Push to the fewest in flight.
    ONE_FIFO = "one-fifo"  # Agents pull the oldest request.


BASELINES: Final = (
    Policy.ROUND_ROBIN,
    Policy.LEAST_OUTSTANDING,
    Policy.ONE_FIFO,
)


@dataclass(frozen=True, slots=True)
class _InFlight:
    """A request dispatched to an agent."""

    request: Request
    agent: InstanceKey


@dataclass(slots=True)
class BaselineState:
    """The state of a baseline router."""

    info: InstanceInfo  # The router itself.
    policy: Policy  # One of `BASELINES`.
    rng: Random  # Breaks ties.
    agents: dict[InstanceKey, InstanceInfo] = field(default_factory=dict)
    outstanding: Counter[InstanceKey] = field(default_factory=Counter)
    # By request id.
    in_flight: dict[str, _InFlight] = field(default_factory=dict)
    # By service; used by ONE_FIFO only.
    queues: dict[str, deque[Request]] = field(
        default_factory=lambda: defaultdict(deque)
    )
    round_robin_index: int = 0  # Counts assignments by ROUND_ROBIN.
    sequence: int = 0  # Of the last backlog message.


def agent_options(policy: Policy) -> AgentOptions:
    """Return the options for agents that work with a policy's routers.

    :param policy: The routers' policy.
    """
    if policy in (Policy.ROUND_ROBIN, Policy.LEAST_OUTSTANDING):
        return AgentOptions(hold_limit=PUSH_HOLD_LIMIT)
    return AgentOptions()


def new_baseline(
    info: InstanceInfo, policy: Policy, rng: Random
) -> BaselineState:
    """Return the initial state of a baseline router.

    :param info: The router itself.
    :param policy: One of `BASELINES`.
    :param rng: Breaks ties.
    :returns: The state.
    :raises ValueError: If the policy is not a baseline.
    """
    if policy not in BASELINES:
        raise ValueError(f"policy {policy} is not a baseline")
    return BaselineState(info, policy, rng)


def handle_baseline(
    state: BaselineState, event: Event, now_s: float
) -> list[Effect]:
    """Handle one event, as a router's core does.

    :param state: The router's state.
    :param event: The event.
    :param now_s: The current time.
    :returns: The effects to execute.
    """
    match event:
        case RequestArrived(request):
            return _on_request(state, request, now_s)
        case CallerDisconnected(request_id):
            return _on_caller_disconnected(state, request_id)
        case PeerUp(info) if info.role is Role.AGENT:
            state.agents[info.key] = info
            return _announce_backlog(state, now_s)
        case PeerDown(peer):
            return _on_agent_down(state, peer)
        case MessageReceived(peer, message):
            return _on_message(state, peer, message, now_s)
        case _:
            return []


def _on_request(
    state: BaselineState, request: Request, now_s: float
) -> list[Effect]:
    """Dispatch a new request, or queue it with ONE_FIFO."""
    if state.policy is Policy.ONE_FIFO:
        queue = state.queues[request.service]
        queue.append(request)
        was_empty = len(queue) == 1
        return _announce_backlog(state, now_s) if was_empty else []
    agents = sorted(
        key
        for key, info in state.agents.items()
        if info.service == request.service
    )
    if not agents:
        return [FailRequest(request.request_id, EXPIRED.code, Outcome.NOT_RUN)]
    return _dispatch(state, request, _choose_agent(state, agents), 0, now_s)


def _choose_agent(
    state: BaselineState, agents: list[InstanceKey]
) -> InstanceKey:
    """Return the agent to push the next request to."""
    if state.policy is Policy.ROUND_ROBIN:
        state.round_robin_index += 1
        return agents[state.round_robin_index % len(agents)]
    least = min(state.outstanding[key] for key in agents)
    return state.rng.choice(
        [key for key in agents if state.outstanding[key] == least]
    )


def _dispatch(
    state: BaselineState,
    request: Request,
    agent: InstanceKey,
    pull_id: int,
    now_s: float,
) -> list[Effect]:
    """Dispatch a request to an agent."""
    state.in_flight[request.request_id] = _InFlight(request, agent)
    state.outstanding[agent] += 1
    remaining_s = max(0.0, request.deadline_s - now_s)
    dispatch = Dispatch(
        request_id=request.request_id,
        attempt=1,
        pull_id=pull_id,
        incarnation=agent.incarnation,
        workspace=request.workspace,
        service=request.service,
        request_class=request.request_class,
        idempotent=request.idempotent,
        alone=False,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        stream=request.stream,
        timeout_ms=int(remaining_s * MS_PER_S),
        cost_hint=request.cost_hint,
        model=request.model,
    )
    return [Send(agent, dispatch)]


def _on_message(
    state: BaselineState, peer: InstanceKey, message: Message, now_s: float
) -> list[Effect]:
    """Handle an agent's message."""
    match message:
        case Pull(pull_id):
            return _answer_pull(state, peer, pull_id, now_s)
        case Part():
            return _forward_part(state, peer, message)
        case Refuse(request_id, _, RefuseReason.BUSY) if (
            state.policy is Policy.ONE_FIFO
        ):
            entry = _remove_in_flight(state, request_id)
            if entry is not None:
                state.queues[entry.request.service].appendleft(entry.request)
            return _announce_backlog(state, now_s)
        case Refuse(request_id):
            if _remove_in_flight(state, request_id) is None:
                return []
            return [FailRequest(request_id, EXPIRED.code, Outcome.NOT_RUN)]
        case _:
            return []


def _answer_pull(
    state: BaselineState, peer: InstanceKey, pull_id: int, now_s: float
) -> list[Effect]:
    """Dispatch the oldest request; fail those past their deadline."""
    effects: list[Effect] = []
    info = state.agents.get(peer)
    queue = state.queues[info.service] if info else deque()
    while queue:
        request = queue.popleft()
        if not queue:
            effects += _announce_backlog(state, now_s)
        if request.deadline_s > now_s:
            dispatch = _dispatch(state, request, peer, pull_id, now_s)
            return effects + dispatch
        fail = FailRequest(request.request_id, EXPIRED.code, Outcome.NOT_RUN)
        effects.append(fail)
    return [*effects, Send(peer, NoWork(pull_id))]


def _forward_part(
    state: BaselineState, peer: InstanceKey, part: Part
) -> list[Effect]:
    """Forward a part to the caller; acknowledge the last one."""
    if part.request_id not in state.in_flight:
        return []
    effects: list[Effect] = [Reply(part.request_id, part)]
    if part.kind is PartKind.END:
        _remove_in_flight(state, part.request_id)
        ack = Ack(part.request_id, part.attempt, part.sequence + 1)
        effects.append(Send(peer, ack))
    return effects


def _remove_in_flight(
    state: BaselineState, request_id: str
) -> _InFlight | None:
    """Remove a request from those in flight and return it."""
    entry = state.in_flight.pop(request_id, None)
    if entry is not None:
        state.outstanding[entry.agent] -= 1
    return entry


def _on_caller_disconnected(
    state: BaselineState, request_id: str
) -> list[Effect]:
    """Cancel the request of a caller that disconnected."""
    entry = _remove_in_flight(state, request_id)
    if entry is not None:
        return [Send(entry.agent, Cancel(request_id, 1))]
    for service, queue in state.queues.items():
        state.queues[service] = deque(
            request for request in queue if request.request_id != request_id
        )
    return []


def _on_agent_down(state: BaselineState, agent: InstanceKey) -> list[Effect]:
    """Fail all requests in flight at a lost agent."""
    state.agents.pop(agent, None)
    lost_ids = [
        request_id
        for request_id, entry in state.in_flight.items()
        if entry.agent == agent
    ]
    for request_id in lost_ids:
        _remove_in_flight(state, request_id)
    return [
        FailRequest(request_id, ENDPOINT_LOST.code, Outcome.UNKNOWN)
        for request_id in lost_ids
    ]


def _announce_backlog(state: BaselineState, now_s: float) -> list[Effect]:
    """Announce to agents whether their service's queue is empty."""
    if state.policy is not Policy.ONE_FIFO:
        return []
    state.sequence += 1
    effects: list[Effect] = []
    for key, info in state.agents.items():
        queue = state.queues[info.service]
        oldest_s = queue[0].arrived_s if queue else now_s
        entry = BacklogEntry(
            service=info.service,
            workspace="",
            interactive=0,
            batch=ANNOUNCED_COUNT if queue else 0,
            oldest_age_ms=int((now_s - oldest_s) * MS_PER_S),
        )
        message = Backlog(state.sequence, False, (entry,))
        effects.append(Send(key, message))
    return effects
