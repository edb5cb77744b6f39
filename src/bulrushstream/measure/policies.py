"""Simple routing policies to measure the fleet against.

A *baseline* is a router's core without queues per workspace, fair shares or
retries.  Two of them *push*: each request goes to an endpoint at once and
waits there, first in, first out.  The third keeps one queue per service in
order of arrival, from which agents pull.  None of them is for production.
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
# What a queue that is not empty claims to hold, since nobody keeps count.
CLAIMED_COUNT: Final = 1000
PUSHED_LIMIT: Final = 10**6


class Policy(StrEnum):
    """Who decides where a request runs, and when."""

    FAIR_PULL = "fair-pull"  # The fleet's own; no baseline.
    ROUND_ROBIN = "round-robin"  # Push to each endpoint in turn.
    LEAST_OUTSTANDING = "least-outstanding"  # Push by own count.
    ONE_FIFO = "one-fifo"  # Agents pull the oldest request.


BASELINES: Final = (
    Policy.ROUND_ROBIN,
    Policy.LEAST_OUTSTANDING,
    Policy.ONE_FIFO,
)


@dataclass(frozen=True, slots=True)
class _Sent:
    """A request that an agent has."""

    request: Request  # The request.
    agent: InstanceKey  # Who has it.


@dataclass(slots=True)
class BaselineState:
    """A baseline router."""

    me: InstanceInfo  # Who it is.
    policy: Policy  # How it decides.
    rng: Random  # Breaks ties.
    agents: dict[InstanceKey, InstanceInfo] = field(default_factory=dict)
    outstanding: Counter[InstanceKey] = field(default_factory=Counter)
    sent: dict[str, _Sent] = field(default_factory=dict)  # By request.
    queues: dict[str, deque[Request]] = field(
        default_factory=lambda: defaultdict(deque)
    )  # For one FIFO, by service.
    turn: int = 0  # Whose turn it is in round robin.
    sequence: int = 0  # Numbers the backlog messages.


def agent_options(policy: Policy) -> AgentOptions:
    """Return the options of the agents beside a policy's routers.

    :param policy: The policy.
    """
    if policy in (Policy.ROUND_ROBIN, Policy.LEAST_OUTSTANDING):
        return AgentOptions(hold_limit=PUSHED_LIMIT)
    return AgentOptions()


def new_baseline(
    me: InstanceInfo, policy: Policy, rng: Random
) -> BaselineState:
    """Return a baseline router that was just started.

    :param me: Who it is.
    :param policy: One of `BASELINES`.
    :param rng: A seeded generator.
    :returns: The state.
    :raises ValueError: If the policy is not a baseline.
    """
    if policy not in BASELINES:
        raise ValueError(f"{policy} is no baseline")
    return BaselineState(me, policy, rng)


def handle_baseline(
    state: BaselineState, event: Event, now_s: float
) -> list[Effect]:
    """Take in one event, as a router's core does.

    :param state: The router.
    :param event: What happened.
    :param now_s: When.
    :returns: What to do.
    """
    match event:
        case RequestArrived(request):
            return _arrive(state, request, now_s)
        case CallerDisconnected(request_id):
            return _leave(state, request_id)
        case PeerUp(info) if info.role is Role.AGENT:
            state.agents[info.key] = info
            return _tell_backlog(state, now_s)
        case PeerDown(peer):
            return _lose(state, peer)
        case MessageReceived(peer, message):
            return _receive(state, peer, message, now_s)
        case _:
            return []


def _arrive(
    state: BaselineState, request: Request, now_s: float
) -> list[Effect]:
    """Push a request, or queue it."""
    if state.policy is Policy.ONE_FIFO:
        queue = state.queues[request.service]
        queue.append(request)
        first = len(queue) == 1
        return _tell_backlog(state, now_s) if first else []
    agents = sorted(
        key
        for key, info in state.agents.items()
        if info.service == request.service
    )
    if not agents:
        return [FailRequest(request.request_id, EXPIRED.code, Outcome.NOT_RUN)]
    return _dispatch(state, request, _choose(state, agents), 0, now_s)


def _choose(state: BaselineState, agents: list[InstanceKey]) -> InstanceKey:
    """Return the agent that gets the next request."""
    if state.policy is Policy.ROUND_ROBIN:
        state.turn += 1
        return agents[state.turn % len(agents)]
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
    """Send a request to an agent."""
    state.sent[request.request_id] = _Sent(request, agent)
    state.outstanding[agent] += 1
    left_s = max(0.0, request.deadline_s - now_s)
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
        timeout_ms=int(left_s * MS_PER_S),
        cost_hint=request.cost_hint,
        model=request.model,
    )
    return [Send(agent, dispatch)]


def _receive(
    state: BaselineState, peer: InstanceKey, message: Message, now_s: float
) -> list[Effect]:
    """Take in an agent's message."""
    match message:
        case Pull(pull_id):
            return _answer_pull(state, peer, pull_id, now_s)
        case Part():
            return _pass_on(state, peer, message)
        case Refuse(request_id, _, RefuseReason.BUSY) if (
            state.policy is Policy.ONE_FIFO
        ):
            sent = _settle(state, request_id)
            if sent is not None:
                state.queues[sent.request.service].appendleft(sent.request)
            return _tell_backlog(state, now_s)
        case Refuse(request_id):
            if _settle(state, request_id) is None:
                return []
            return [FailRequest(request_id, EXPIRED.code, Outcome.NOT_RUN)]
        case _:
            return []


def _answer_pull(
    state: BaselineState, peer: InstanceKey, pull_id: int, now_s: float
) -> list[Effect]:
    """Hand out the oldest request."""
    effects: list[Effect] = []
    info = state.agents.get(peer)
    queue = state.queues[info.service] if info else deque()
    while queue:
        request = queue.popleft()
        if not queue:
            effects += _tell_backlog(state, now_s)
        if request.deadline_s > now_s:
            sent = _dispatch(state, request, peer, pull_id, now_s)
            return effects + sent
        fail = FailRequest(request.request_id, EXPIRED.code, Outcome.NOT_RUN)
        effects.append(fail)
    return [*effects, Send(peer, NoWork(pull_id))]


def _pass_on(
    state: BaselineState, peer: InstanceKey, part: Part
) -> list[Effect]:
    """Give a part to the caller."""
    if part.request_id not in state.sent:
        return []
    effects: list[Effect] = [Reply(part.request_id, part)]
    if part.kind is PartKind.END:
        _settle(state, part.request_id)
        ack = Ack(part.request_id, part.attempt, part.sequence + 1)
        effects.append(Send(peer, ack))
    return effects


def _settle(state: BaselineState, request_id: str) -> _Sent | None:
    """Forget a request that an agent has."""
    sent = state.sent.pop(request_id, None)
    if sent is not None:
        state.outstanding[sent.agent] -= 1
    return sent


def _leave(state: BaselineState, request_id: str) -> list[Effect]:
    """Cancel the request of a caller that left."""
    sent = _settle(state, request_id)
    if sent is not None:
        return [Send(sent.agent, Cancel(request_id, 1))]
    for service, queue in state.queues.items():
        state.queues[service] = deque(
            request for request in queue if request.request_id != request_id
        )
    return []


def _lose(state: BaselineState, agent: InstanceKey) -> list[Effect]:
    """Fail what an agent had."""
    state.agents.pop(agent, None)
    lost = [name for name, sent in state.sent.items() if sent.agent == agent]
    for request_id in lost:
        _settle(state, request_id)
    return [
        FailRequest(request_id, ENDPOINT_LOST.code, Outcome.UNKNOWN)
        for request_id in lost
    ]


def _tell_backlog(state: BaselineState, now_s: float) -> list[Effect]:
    """Tell agents whether their service's queue is empty."""
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
            batch=CLAIMED_COUNT if queue else 0,
            oldest_age_ms=int((now_s - oldest_s) * MS_PER_S),
        )
        message = Backlog(state.sequence, False, (entry,))
        effects.append(Send(key, message))
    return effects
