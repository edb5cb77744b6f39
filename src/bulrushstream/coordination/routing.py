"""What a router knows: its options, requests, agents and peers.

A request is *tracked* from its arrival until nothing more can become of
it.  Its *attempt* is one dispatch to one agent.  A request is *exposed*
once an attempt of it may have been started, after which it can no longer
be called not-run.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final, TypeAlias

from bulrushstream.state.answer import Answer
from bulrushstream.state.config import EMPTY_CONFIG, Rule, VersionedConfig
from bulrushstream.state.effect import Decision, Effect, Send
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import Message, Part
from bulrushstream.state.queues import QueueKey, QueueTable
from bulrushstream.state.request import Outcome, Request
from bulrushstream.state.timers import Timers

MIN_WEIGHT: Final = 1e-6
DEFAULT_QUEUE_LIMIT: Final = 1000


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """The limits and intervals of a router."""

    aging_s: float = 30.0  # How long batch requests give way.
    affinity_scan: int = 16  # Requests that a warm one is sought among.
    affinity_skips: int = 8  # How often warm requests pass a head.
    affinity_memory: int = 4096  # Prefixes remembered per agent.
    max_waiting_bytes: int = 48 << 20  # Memory of waiting requests.
    backlog_interval_s: float = 0.5  # Between lesser changes of counts.
    backlog_refresh_s: float = 2.0  # Waiting without a pull before a repeat.
    ack_parts: int = 16  # Parts after which they are acknowledged.
    ack_delay_s: float = 0.05  # The longest wait of an acknowledgement.
    probe_s: float = 2.0  # Silence after which an attempt is asked for.
    resume_grace_s: float = 5.0  # How long a broken connection may last.
    avoid_s: float = 1.0  # How long a retry waits for another endpoint.
    refuse_pause_s: float = 0.02  # Before a refused request is offered.


class Timer(IntEnum):
    """What a timer of a router is for."""

    DEADLINE = 1  # A request's caller gives up.
    BACKLOG = 2  # Lesser changes of the backlog are sent.
    REFRESH = 3  # A service's backlog is repeated if nobody pulls.
    ACK = 4  # An attempt's parts are acknowledged.
    PROBE = 5  # A silent attempt is asked for.
    GRACE = 6  # A broken connection has lasted too long.
    RETRY = 7  # A request may be offered again.


TimerKey: TypeAlias = tuple[Timer, str]


class Phase(IntEnum):
    """Where a tracked request is."""

    HELD = 1  # Something must happen before it may queue.
    WAITING = 2  # It is in a queue.
    RUNNING = 3  # An attempt of it is out.


@dataclass(slots=True)
class Tracked:
    """A request and what has become of it so far."""

    request: Request  # What the caller asked.
    phase: Phase = Phase.HELD  # Where it is.
    attempt: int = 0  # The number of the last attempt.
    agent: InstanceKey | None = None  # Where the last attempt went.
    dispatched_s: float = 0.0  # When the last attempt went out.
    heard_s: float = 0.0  # When the last part or probe was.
    answer: Answer = field(default_factory=Answer)  # Its parts.
    head: Part | None = None  # A head not yet given to the caller.
    given: bool = False  # Whether the caller has the head.
    exposed: bool = False  # Whether an attempt may have been started.
    answered: bool = False  # Whether the caller has its last word.
    retries: int = 0  # Attempts that were counted as retries.
    tried: set[str] = field(default_factory=set)  # Failed endpoints.
    avoid_until_s: float = 0.0  # Until when `tried` are passed over.
    alone: bool = False  # Whether nothing else may run beside it.

    @property
    def outcome(self) -> Outcome:
        """Return what can be said of it now that no attempt is out."""
        return Outcome.UNKNOWN if self.exposed else Outcome.NOT_RUN


@dataclass(slots=True)
class AgentView:
    """What the router knows of one start of an agent."""

    info: InstanceInfo  # Who it is.
    connected: bool = True  # Whether there is a connection.
    leaving: bool = False  # Whether it takes no new work.
    free_slots: int = 0  # Slots that it announced and nobody took.
    idle_sequence: int = 0  # The last announcement's number.
    running: set[str] = field(default_factory=set)  # Requests there.
    prefixes: dict[int, None] = field(default_factory=dict)  # Cached.
    missed: set[QueueKey] = field(default_factory=set)  # To tell anew.

    @property
    def usable(self) -> bool:
        """Return whether new work may go there."""
        return self.connected and not self.leaving


@dataclass(slots=True)
class RouterState:
    """Everything that one router knows."""

    me: InstanceInfo  # Who this router is.
    options: RouterOptions  # Its limits and intervals.
    rng: random.Random  # The source of all randomness.
    queues: QueueTable  # The requests that wait.
    config: VersionedConfig = EMPTY_CONFIG  # What is in force.
    draining: bool = False  # Whether it takes no new requests.
    goodbye_sent: bool = False  # Whether its peers know that it leaves.
    sequence: int = 0  # The number of the last message.
    tracked: dict[str, Tracked] = field(default_factory=dict)
    agents: dict[InstanceKey, AgentView] = field(default_factory=dict)
    by_service: dict[str, list[AgentView]] = field(default_factory=dict)
    weights: dict[str, float] = field(default_factory=dict)  # By workspace.
    limits: dict[str, int] = field(default_factory=dict)  # By rule's name.
    routers: dict[InstanceKey, InstanceInfo] = field(default_factory=dict)
    timers: Timers[TimerKey] = field(default_factory=Timers)
    told: dict[QueueKey, int] = field(default_factory=dict)  # Last counts.
    dirty: set[QueueKey] = field(default_factory=set)  # Changed counts.
    pulled_s: dict[str, float] = field(default_factory=dict)  # By service.
    out: deque[Effect] = field(default_factory=deque)  # Effects to hand out.

    @property
    def idle(self) -> bool:
        """Return whether no caller waits for anything here."""
        return not self.tracked

    def send(self, peer: InstanceKey, message: Message) -> None:
        """Send a message to a peer."""
        self.out.append(Send(peer, message))

    def next_sequence(self) -> int:
        """Return a number greater than all before."""
        self.sequence += 1
        return self.sequence

    def agents_of(self, service: str) -> list[AgentView]:
        """Return the agents of a service, also those not reachable."""
        return self.by_service.get(service, [])

    def add_agent(self, view: AgentView) -> None:
        """Take up an agent that was not known."""
        self.agents[view.info.key] = view
        self.by_service.setdefault(view.info.service, []).append(view)

    def remove_agent(self, key: InstanceKey) -> AgentView | None:
        """Forget an agent; return what was known of it."""
        view = self.agents.pop(key, None)
        if view is not None:
            self.by_service[view.info.service].remove(view)
        return view

    def configure(self, current: VersionedConfig) -> None:
        """Take up a newer configuration."""
        self.config = current
        config = current.config
        self.weights = {each.name: each.weight for each in config.workspaces}
        services = {each.name: each.queue_limit for each in config.services}
        self.limits = {
            rule.name: _queue_limit(rule, services) for rule in config.rules
        }

    def weight(self, workspace: str) -> float:
        """Return a workspace's weight; one if it has none."""
        return max(self.weights.get(workspace, 1.0), MIN_WEIGHT)

    def queue_limit(self, request: Request) -> int:
        """Return how many requests like this one may wait."""
        return self.limits.get(request.rule, DEFAULT_QUEUE_LIMIT)

    def decide(
        self,
        kind: str,
        reason: str,
        tracked: Tracked,
        now_s: float,
        endpoint: str = "",
        outcome: str = "",
    ) -> None:
        """Record a routing decision about a request.

        :param kind: what was decided
        :param reason: why
        :param tracked: which request it is about
        :param now_s: the time on the core's clock
        :param endpoint: where the request goes; empty: nowhere
        :param outcome: the outcome; empty: not settled
        """
        request = tracked.request
        self.out.append(
            Decision(
                kind=kind,
                reason=reason,
                request_id=request.request_id,
                workspace=request.workspace,
                service=request.service,
                rule=request.rule,
                request_class=request.request_class.value,
                endpoint=endpoint,
                attempt=tracked.attempt,
                waited_s=max(0.0, now_s - request.arrived_s),
                outcome=outcome,
            )
        )


def _queue_limit(rule: Rule, services: dict[str, int]) -> int:
    if rule.then.queue_limit is not None:
        return rule.then.queue_limit
    return services.get(rule.then.service, DEFAULT_QUEUE_LIMIT)


def endpoint_of(view: AgentView) -> str:
    """Return the name that decisions give an agent's endpoint."""
    return view.info.endpoint or view.info.key.instance
