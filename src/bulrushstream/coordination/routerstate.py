"""State of the router core: requests, agents and peer routers.

A request is *tracked* from its arrival until it has ended for good.  An
*attempt* is one dispatch of it to one agent.  Once an attempt may have been
started, the request's outcome can no longer be reported as not-run.
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
from bulrushstream.state.answer import AnswerAssembler
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
    """The purpose of a router's timer."""

    DEADLINE = 1  # A request's deadline passes.
    BACKLOG = 2  # Deferred backlog changes are sent.
    REFRESH = 3  # A backlog is sent again if no agent pulls.
    ACK = 4  # A delayed acknowledgement is sent.
    PROBE = 5  # An attempt without recent parts is resumed.
    GRACE = 6  # An agent did not reconnect in time.
    RETRY = 7  # A request may be dispatched again.
    DIGEST = 8  # Ledger digests are sent to agents.
    RELAY = 9  # Ledger entries are relayed to peer routers.
    CLAIMS = 10  # Claims are appended to the log.
    STRIKES = 11  # Strikes are appended to the log.
    TRIAL = 12  # Missing trial grants are requested again.


TimerKey: TypeAlias = tuple[Timer, str]


class Phase(IntEnum):
    """How far a tracked request has got."""

    HELD = 1  # Waits for a condition before it is queued.
    QUEUED = 2  # In its queue.
    IN_FLIGHT = 3  # An attempt is at an agent.


@dataclass(slots=True)
class Recording:
    """A copy of an answer, replayed when an idempotency key is reused."""

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    pieces: list[bytes] = field(default_factory=list)
    size_bytes: int = 0  # Size of the body.


@dataclass(slots=True)
class TrackedRequest:
    """A request and the state of its attempts."""

    request: Request
    size_bytes: int = 0  # Estimated memory use.
    phase: Phase = Phase.HELD
    attempt: int = 0  # Number of the latest attempt; 0: none.
    agent: InstanceKey | None = None  # Agent of the current attempt.
    last_activity_s: float = 0.0  # Latest part or probe.
    answer: AnswerAssembler = field(
        default_factory=AnswerAssembler
    )  # Parts received.
    unsent_head: Part | None = None  # Withheld until the body starts.
    head_sent: bool = False  # Whether the caller got the head.
    maybe_started: bool = False  # Whether any attempt may have started.
    response_ended: bool = False  # Nothing more is sent to the caller.
    revoke_sent: bool = False  # Revoked after its caller left.
    unstarted_attempts: int = 0  # Attempts proved not to have started.
    retries: int = 0  # Retries charged to the budget.
    failed_endpoints: set[str] = field(default_factory=set)
    avoid_until_s: float = 0.0  # Avoid failed endpoints until then.
    alone: bool = False  # Whether it must run alone on its endpoint.
    claim_key: str = ""  # Digest of the idempotency key; empty: none.
    claim_id: str = ""  # Id of its claim on the key; empty: none.
    claim_won: bool = False
    recording: Recording | None = None  # None: answer not stored.

    @property
    def outcome(self) -> Outcome:
        """Return the outcome when no attempt is in flight."""
        return Outcome.UNKNOWN if self.maybe_started else Outcome.NOT_RUN


@dataclass(slots=True)
class AgentView:
    """One incarnation of an agent, as the router sees it."""

    info: InstanceInfo
    connected: bool = True
    connected_since_s: float = 0.0
    leaving: bool = False  # Whether it takes no new work.
    free_slots: int = 0  # Announced slots that are not used yet.
    idle_sequence: int = 0  # Sequence of the latest announcement.
    in_flight: set[str] = field(default_factory=set)  # Request ids.
    # Requests whose attempts here timed out while it was disconnected.
    abandoned: list[TrackedRequest] = field(default_factory=list)
    # Digests of prefixes in its engine's cache, oldest first.
    cached_prefixes: dict[int, None] = field(default_factory=dict)
    # Queues whose counts are repeated to it, as it got no work from them.
    to_resend: set[QueueKey] = field(default_factory=set)
    # Ledger entries as last sent to it, by workspace.
    sent_entries: dict[str, DigestEntry] = field(default_factory=dict)
    sent_revision: int = NO_REVISION  # Ledger revision of the last digest.
    unsent_lifts: set[str] = field(default_factory=set)  # Workspaces.

    @property
    def usable(self) -> bool:
        """Return whether new work may be dispatched to it."""
        return self.connected and not self.leaving


@dataclass(frozen=True, slots=True)
class AnnouncedBacklog:
    """The state of a queue as last announced to agents."""

    total: int = 0  # Waiting requests.
    interactive: int = 0  # Interactive ones among them.
    oldest_s: float = 0.0  # Arrival of the oldest, on the router's clock.


@dataclass(slots=True)
class RouterView:
    """One incarnation of a peer router, as this router sees it."""

    info: InstanceInfo
    connected: bool = True
    agents: frozenset[str] = frozenset()  # Agents connected to it.
    # Revision of each service's ledger that was last relayed to it.
    relayed_revisions: dict[str, int] = field(default_factory=dict)
    sent_agents: frozenset[str] = frozenset()  # Our agents, as last sent.
    agents_sent_s: float = float("-inf")  # When they were sent.


@dataclass(slots=True)
class Trial:
    """A suspected request that needs a grant from every peer router."""

    request_id: str
    ask_numbers: dict[InstanceKey, int] = field(default_factory=dict)
    granted_by: set[InstanceKey] = field(default_factory=set)


@dataclass(slots=True)
class Gate:
    """The requests of one fingerprint."""

    active: set[str] = field(default_factory=set)  # Queued or in flight.
    held: dict[str, None] = field(default_factory=dict)  # In arrival order.
    trial: Trial | None = None  # The next to run if suspected.
    # Number of each peer's trial ask that was not granted yet.
    pending_asks: dict[InstanceKey, int] = field(default_factory=dict)


@dataclass(slots=True)
class RouterState:
    """State of one router core."""

    me: InstanceInfo  # This router.
    started_s: float
    options: RouterOptions
    rng: random.Random  # Seeded; the only source of randomness.
    queues: QueueTable
    budget: RetryBudget
    quarantine: Quarantine  # Fingerprints that crashed endpoints.
    claims: ClaimTable  # Idempotency keys in use.
    claim_log: Appender[ClaimRecord | ResultRecord]  # Records to append.
    strike_log: Appender[StrikeRecord | int]  # Strikes; int: a pardon.
    drain_rate: DrainRate = field(default_factory=DrainRate)  # Of the queues.
    config: VersionedConfig = EMPTY_CONFIG
    draining: bool = False  # Whether new requests are refused.
    goodbye_sent: bool = False  # Whether peers were notified of the drain.
    sequence: int = 0  # Latest sequence number used.
    claims_read: bool = False  # Whether the claims stream has been read.
    strikes_known: bool = False  # Learned from the log or a peer.
    # Requests that are not screened until the strikes are known.
    awaiting_strikes: list[str] = field(default_factory=list)
    tracked: dict[str, TrackedRequest] = field(default_factory=dict)
    tracked_bytes: int = 0  # Estimated memory of all requests.
    # How many requests are in Phase.HELD; no zeros.
    held_counts: dict[QueueKey, int] = field(default_factory=dict)
    # Requests whose conditions to run are to be checked.
    to_screen: deque[str] = field(default_factory=deque)
    gates: dict[int, Gate] = field(default_factory=dict)  # By fingerprint.
    requests_by_key: dict[str, dict[str, None]] = field(default_factory=dict)
    # Idempotency keys whose claims have changed.
    keys_to_check: deque[str] = field(default_factory=deque)
    agents: dict[InstanceKey, AgentView] = field(default_factory=dict)
    agents_by_service: dict[str, list[AgentView]] = field(default_factory=dict)
    routers: dict[InstanceKey, RouterView] = field(default_factory=dict)
    lost_routers: dict[InstanceKey, None] = field(default_factory=dict)
    ledgers: dict[str, Ledger] = field(default_factory=dict)  # By service.
    lifts: dict[QueueKey, float] = field(default_factory=dict)  # Weighted.
    weights: dict[str, float] = field(default_factory=dict)
    queue_limits: dict[str, int] = field(default_factory=dict)  # By rule.
    wake_at_s: float = float("-inf")  # Time of the requested tick.
    timers: Timers[TimerKey] = field(default_factory=Timers)
    announced: dict[QueueKey, AnnouncedBacklog] = field(default_factory=dict)
    # Agents whose last count of a queue was not zero.
    informed_agents: dict[QueueKey, set[InstanceKey]] = field(
        default_factory=dict
    )
    dirty_queues: set[QueueKey] = field(default_factory=set)  # Counts changed.
    last_pull_s: dict[str, float] = field(default_factory=dict)  # By service.
    # Requests that an agent pulled ahead and has not started, as far as known.
    pulled_ahead: dict[str, None] = field(default_factory=dict)
    # Requests among those that were revoked so that another agent runs them.
    recalled: set[str] = field(default_factory=set)
    # Effects that `handle` returns after the current event.
    effects: deque[Effect] = field(default_factory=deque)

    @property
    def idle(self) -> bool:
        """Return whether the router can stop without losing anything."""
        unwritten = len(self.claim_log) and not self.claim_log.failures
        return (
            not self.tracked
            and not unwritten
            and not self._has_unshared_strikes
        )

    @property
    def _has_unshared_strikes(self) -> bool:
        """Return whether stopping the router now would lose strikes."""
        if not len(self.strike_log):
            return False
        if not self.strike_log.failures:
            return True
        # The log is unavailable; connected peers hold the strikes too.
        return not any(view.connected for view in self.routers.values())

    def send(self, peer: InstanceKey, message: Message) -> None:
        """Send a message to a peer."""
        self.effects.append(Send(peer, message))

    def next_sequence(self) -> int:
        """Return a sequence number greater than all earlier ones."""
        self.sequence += 1
        return self.sequence

    def track(self, request: Request) -> TrackedRequest:
        """Start to track a request."""
        tracked = TrackedRequest(request, memory_bytes(request))
        self.tracked[request.request_id] = tracked
        self.tracked_bytes += tracked.size_bytes
        self._count_held(tracked, 1)
        return tracked

    def untrack(self, tracked: TrackedRequest) -> None:
        """Stop tracking a request."""
        if self.tracked.pop(tracked.request.request_id, None) is None:
            return
        self.tracked_bytes -= tracked.size_bytes
        if tracked.phase is Phase.HELD:
            self._count_held(tracked, -1)

    def set_phase(self, tracked: TrackedRequest, phase: Phase) -> None:
        """Change a request's phase and update the held counts."""
        held = int(phase is Phase.HELD) - int(tracked.phase is Phase.HELD)
        tracked.phase = phase
        if held:
            self._count_held(tracked, held)

    def pending_count(self, key: QueueKey) -> int:
        """Return how many requests of a queue are queued or held."""
        return self.queues.counts(key).total + self.held_counts.get(key, 0)

    def agents_of(self, service: str) -> list[AgentView]:
        """Return the agents of a service, disconnected ones included."""
        return self.agents_by_service.get(service, [])

    def add_agent(self, view: AgentView) -> None:
        """Register an agent."""
        self.agents[view.info.key] = view
        self.agents_by_service.setdefault(view.info.service, []).append(view)

    def remove_agent(self, key: InstanceKey) -> AgentView | None:
        """Unregister an agent and return its view, if it had one."""
        view = self.agents.pop(key, None)
        if view is not None:
            self.agents_by_service[view.info.service].remove(view)
        return view

    def configure(self, current: VersionedConfig) -> None:
        """Apply a configuration version."""
        self.config = current
        config = current.config
        self.weights = {each.name: each.weight for each in config.workspaces}
        services = {each.name: each.queue_limit for each in config.services}
        self.queue_limits = {
            rule.name: _queue_limit(rule, services) for rule in config.rules
        }

    def weight(self, workspace: str) -> float:
        """Return a workspace's weight; 1 if none is configured."""
        return max(self.weights.get(workspace, 1.0), MIN_WEIGHT)

    def queue_limit(self, request: Request) -> int:
        """Return the queue limit of the rule that matched a request."""
        return self.queue_limits.get(request.rule, DEFAULT_QUEUE_LIMIT)

    def record_decision(
        self,
        kind: str,
        reason: str,
        tracked: TrackedRequest,
        now_s: float,
        endpoint: str = "",
        outcome: str = "",
    ) -> None:
        """Record a routing decision about a request.

        :param kind: the kind of decision
        :param reason: the reason
        :param tracked: the request
        :param now_s: the time on the core's clock
        :param endpoint: the endpoint involved; empty: none
        :param outcome: the outcome; empty: not known yet
        """
        request = tracked.request
        self.effects.append(
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

    def _count_held(self, tracked: TrackedRequest, change: int) -> None:
        key = queue_key(tracked)
        count = self.held_counts.get(key, 0) + change
        if count:
            self.held_counts[key] = count
        else:
            self.held_counts.pop(key, None)


def queue_key(tracked: TrackedRequest) -> QueueKey:
    """Return the queue that a request belongs to."""
    request = tracked.request
    return QueueKey(request.service, request.workspace)


def endpoint_name(view: AgentView) -> str:
    """Return an agent's endpoint as named in decisions."""
    return view.info.endpoint or view.info.key.instance


def _queue_limit(rule: Rule, services: dict[str, int]) -> int:
    if rule.then.queue_limit is not None:
        return rule.then.queue_limit
    return services.get(rule.then.service, DEFAULT_QUEUE_LIMIT)
