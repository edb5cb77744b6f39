"""What a router knows: its requests, agents and peers.

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

from bulrushstream.coordination.appender import Appender
from bulrushstream.coordination.budget import RetryBudget
from bulrushstream.coordination.drainrate import DrainRate
from bulrushstream.coordination.options import RouterOptions
from bulrushstream.coordination.quarantine import Quarantine, StrikeRecord
from bulrushstream.state.answer import Answer
from bulrushstream.state.claim import ClaimRecord, ClaimTable, ResultRecord
from bulrushstream.state.config import EMPTY_CONFIG, Rule, VersionedConfig
from bulrushstream.state.effect import Decision, Effect, Send
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.ledger import NO_REVISION, Ledger
from bulrushstream.state.message import DigestEntry, Message, Part
from bulrushstream.state.queues import QueueKey, QueueTable, memory_bytes
from bulrushstream.state.request import Outcome, Request
from bulrushstream.state.timers import Timers

MIN_WEIGHT: Final = 1e-6
DEFAULT_QUEUE_LIMIT: Final = 1000


class Timer(IntEnum):
    """What a timer of a router is for."""

    DEADLINE = 1  # A request's caller gives up.
    BACKLOG = 2  # Lesser changes of the backlog are sent.
    REFRESH = 3  # A service's backlog is repeated if nobody pulls.
    ACK = 4  # An attempt's parts are acknowledged.
    PROBE = 5  # A silent attempt is asked for.
    GRACE = 6  # A broken connection has lasted too long.
    RETRY = 7  # A request may be offered again.
    DIGEST = 8  # Agents are told the fleet's ledger.
    RELAY = 9  # Router peers are told of agents that they do not hear.
    CLAIMS = 10  # Claims are appended to the log.
    STRIKES = 11  # Strikes are appended to the log.
    TRIAL = 12  # Router peers are asked again for their grants.


TimerKey: TypeAlias = tuple[Timer, str]


class Phase(IntEnum):
    """Where a tracked request is."""

    HELD = 1  # Something must happen before it may queue.
    WAITING = 2  # It is in a queue.
    RUNNING = 3  # An attempt of it is out.


@dataclass(slots=True)
class Recording:
    """A copy of an answer, for callers that repeat a keyed request."""

    status: int = 0  # The HTTP status.
    headers: tuple[tuple[str, str], ...] = ()  # The headers.
    pieces: list[bytes] = field(default_factory=list)  # The body.
    size_bytes: int = 0  # The size of the body.


@dataclass(slots=True)
class Tracked:
    """A request and what has become of it so far."""

    request: Request  # What the caller asked.
    size_bytes: int = 0  # Memory that it is taken to hold.
    phase: Phase = Phase.HELD  # Where it is.
    attempt: int = 0  # The number of the last attempt.
    agent: InstanceKey | None = None  # Where the last attempt went.
    heard_s: float = 0.0  # When the last part or probe was.
    answer: Answer = field(default_factory=Answer)  # Its parts.
    head: Part | None = None  # A head not yet given to the caller.
    given: bool = False  # Whether the caller has the head.
    exposed: bool = False  # Whether an attempt may have been started.
    answered: bool = False  # Whether the caller has its last word.
    revoked: bool = False  # Whether it may run on without its caller.
    unstarted: int = 0  # Attempts that ended before they started.
    retries: int = 0  # Attempts that were counted as retries.
    tried: set[str] = field(default_factory=set)  # Failed endpoints.
    avoid_until_s: float = 0.0  # Until when `tried` are passed over.
    alone: bool = False  # Whether nothing else may run beside it.
    claim_key: str = ""  # The idempotency key's digest; empty: none.
    claim_id: str = ""  # Its own claim; empty: none.
    claim_won: bool = False  # Whether its own claim holds the key.
    recording: Recording | None = None  # Its answer, while it may be kept.

    @property
    def outcome(self) -> Outcome:
        """Return what can be said of it when no attempt is out."""
        return Outcome.UNKNOWN if self.exposed else Outcome.NOT_RUN


@dataclass(slots=True)
class AgentView:
    """What the router knows of one start of an agent."""

    info: InstanceInfo  # Who it is.
    connected: bool = True  # Whether there is a connection.
    since_s: float = 0.0  # Since when there is one.
    leaving: bool = False  # Whether it takes no new work.
    free_slots: int = 0  # Slots that it announced and nobody took.
    idle_sequence: int = 0  # The last announcement's number.
    running: set[str] = field(default_factory=set)  # Requests there.
    given_up: list[Tracked] = field(default_factory=list)  # While away.
    prefixes: dict[int, None] = field(default_factory=dict)  # Cached.
    missed: set[QueueKey] = field(default_factory=set)  # To tell anew.
    told: dict[str, DigestEntry] = field(default_factory=dict)  # Ledger.
    told_revision: int = NO_REVISION  # The ledger's when it was told.
    lifted: set[str] = field(default_factory=set)  # Lifts to tell it.

    @property
    def usable(self) -> bool:
        """Return whether new work may go there."""
        return self.connected and not self.leaving


@dataclass(frozen=True, slots=True)
class Told:
    """What agents were told of a queue."""

    total: int = 0  # How many requests waited.
    interactive: int = 0  # How many of them were interactive.
    oldest_s: float = 0.0  # When the head arrived, on the router's clock.


@dataclass(slots=True)
class RouterView:
    """What the router knows of one start of another router."""

    info: InstanceInfo  # Who it is.
    connected: bool = True  # Whether there is a connection.
    heard: frozenset[str] = frozenset()  # Agents that it hears itself.
    told: dict[str, int] = field(default_factory=dict)  # Revisions.
    told_heard: frozenset[str] = frozenset()  # What it knows of us.
    told_s: float = float("-inf")  # When it was told that.


@dataclass(slots=True)
class Trial:
    """A suspected request that asks for the consent of all routers."""

    request_id: str  # The request that is to run.
    asked: dict[InstanceKey, int] = field(default_factory=dict)
    granted: set[InstanceKey] = field(default_factory=set)


@dataclass(slots=True)
class Gate:
    """The requests of one fingerprint."""

    active: set[str] = field(default_factory=set)  # Queued or out.
    held: dict[str, None] = field(default_factory=dict)  # Waiting for them.
    trial: Trial | None = None  # The one that may run if suspected.
    asks: dict[InstanceKey, int] = field(default_factory=dict)  # Open.


@dataclass(slots=True)
class RouterState:
    """Everything that one router knows."""

    me: InstanceInfo  # Who this router is.
    started_s: float  # When it started.
    options: RouterOptions  # Its limits and intervals.
    rng: random.Random  # The source of all randomness.
    queues: QueueTable  # The requests that wait.
    budget: RetryBudget  # What may be retried.
    quarantine: Quarantine  # Requests that crashed endpoints.
    claims: ClaimTable  # Idempotency keys that are held.
    claim_log: Appender[ClaimRecord | ResultRecord]  # Own records.
    strike_log: Appender[StrikeRecord | int]  # Own strikes and pardons.
    drain: DrainRate = field(default_factory=DrainRate)  # Departures.
    config: VersionedConfig = EMPTY_CONFIG  # What is in force.
    draining: bool = False  # Whether it takes no new requests.
    goodbye_sent: bool = False  # Whether its peers know that it leaves.
    sequence: int = 0  # The last number that was given out.
    claims_read: bool = False  # Whether the stream of claims was read.
    strikes_known: bool = False  # Whether the fleet's strikes are known.
    unscreened: list[str] = field(default_factory=list)  # Wait for them.
    tracked: dict[str, Tracked] = field(default_factory=dict)
    tracked_bytes: int = 0  # Memory that all of them take.
    held: dict[QueueKey, int] = field(default_factory=dict)  # Not queued.
    ready: deque[str] = field(default_factory=deque)  # To be looked at.
    gates: dict[int, Gate] = field(default_factory=dict)  # By fingerprint.
    keyed: dict[str, dict[str, None]] = field(default_factory=dict)
    rekey: deque[str] = field(default_factory=deque)  # Keys to look at.
    agents: dict[InstanceKey, AgentView] = field(default_factory=dict)
    by_service: dict[str, list[AgentView]] = field(default_factory=dict)
    routers: dict[InstanceKey, RouterView] = field(default_factory=dict)
    lost: dict[InstanceKey, None] = field(default_factory=dict)  # Routers.
    ledgers: dict[str, Ledger] = field(default_factory=dict)  # By service.
    floors: dict[QueueKey, float] = field(default_factory=dict)  # Lifts.
    weights: dict[str, float] = field(default_factory=dict)  # By workspace.
    limits: dict[str, int] = field(default_factory=dict)  # By rule's name.
    wake_s: float = float("-inf")  # The tick that was asked for.
    timers: Timers[TimerKey] = field(default_factory=Timers)
    told: dict[QueueKey, Told] = field(default_factory=dict)  # Backlog.
    # Agents that take a queue for filled.
    knowing: dict[QueueKey, set[InstanceKey]] = field(default_factory=dict)
    dirty: set[QueueKey] = field(default_factory=set)  # Changed counts.
    pulled_s: dict[str, float] = field(default_factory=dict)  # By service.
    ahead: dict[str, None] = field(default_factory=dict)  # Not started.
    recalled: set[str] = field(default_factory=set)  # Asked back.
    out: deque[Effect] = field(default_factory=deque)  # Effects to hand out.

    @property
    def idle(self) -> bool:
        """Return whether the router can stop without harm to anyone."""
        unwritten = len(self.claim_log) and not self.claim_log.failures
        return not self.tracked and not unwritten and not self._untold

    @property
    def _untold(self) -> bool:
        """Return whether strikes would be lost if the router stopped."""
        if not len(self.strike_log):
            return False
        if not self.strike_log.failures:
            return True
        # The log is out; a peer that was told remembers them as well.
        return not any(view.connected for view in self.routers.values())

    def send(self, peer: InstanceKey, message: Message) -> None:
        """Send a message to a peer."""
        self.out.append(Send(peer, message))

    def next_sequence(self) -> int:
        """Return a number greater than all before."""
        self.sequence += 1
        return self.sequence

    def track(self, request: Request) -> Tracked:
        """Take up a request that has arrived."""
        tracked = Tracked(request, memory_bytes(request))
        self.tracked[request.request_id] = tracked
        self.tracked_bytes += tracked.size_bytes
        self._count_held(tracked, 1)
        return tracked

    def untrack(self, tracked: Tracked) -> None:
        """Forget a request."""
        if self.tracked.pop(tracked.request.request_id, None) is None:
            return
        self.tracked_bytes -= tracked.size_bytes
        if tracked.phase is Phase.HELD:
            self._count_held(tracked, -1)

    def move(self, tracked: Tracked, phase: Phase) -> None:
        """Note that a request is somewhere else now."""
        held = int(phase is Phase.HELD) - int(tracked.phase is Phase.HELD)
        tracked.phase = phase
        if held:
            self._count_held(tracked, held)

    def waiting(self, key: QueueKey) -> int:
        """Return how many requests of a queue are not out."""
        return self.queues.counts(key).total + self.held.get(key, 0)

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

    def _count_held(self, tracked: Tracked, change: int) -> None:
        key = queue_key(tracked)
        count = self.held.get(key, 0) + change
        if count:
            self.held[key] = count
        else:
            self.held.pop(key, None)


def queue_key(tracked: Tracked) -> QueueKey:
    """Return the queue that a request belongs to."""
    request = tracked.request
    return QueueKey(request.service, request.workspace)


def endpoint_of(view: AgentView) -> str:
    """Return the name that decisions give an agent's endpoint."""
    return view.info.endpoint or view.info.key.instance


def _queue_limit(rule: Rule, services: dict[str, int]) -> int:
    if rule.then.queue_limit is not None:
        return rule.then.queue_limit
    return services.get(rule.then.service, DEFAULT_QUEUE_LIMIT)
