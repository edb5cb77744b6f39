"""State and options of the agent core.

An agent runs beside one endpoint.  It manages the endpoint's free *slots*,
picks the workspace that gets the next one, counts the service that each
workspace received, and tracks for every attempt whether the endpoint has
received it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Final

from bulrushstream.coordination.breaker import (
    Breaker,
    BreakerOptions,
    BreakerPhase,
)
from bulrushstream.coordination.estimate import Average, Estimator
from bulrushstream.coordination.slots import SlotLimit
from bulrushstream.state.backlog import Backlogs
from bulrushstream.state.config import Service, ServiceUnit
from bulrushstream.state.effect import Effect, Send
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import Message, Strike
from bulrushstream.state.replay import AttemptKey, OutcomeCache
from bulrushstream.state.run import Run, RunPhase
from bulrushstream.state.share import ServiceCounters

NEVER_S: Final = float("inf")


@dataclass(frozen=True, slots=True)
class AgentOptions:
    """Limits and intervals of the agent core."""

    tick_s: float = 0.25  # Between timeout checks while busy.
    pull_timeout_s: float = 1.0  # An unanswered pull then counts as lost.
    mute_s: float = 0.25  # Time without pulls to a router without work.
    aging_s: float = 10.0  # Head start of interactive work.
    # Pull ahead if a round trip takes more than this share of a run.
    pull_ahead_ratio: float = 0.005
    pull_ahead_backlog: int = 16  # Least backlog for pulling ahead.
    idle_delay_s: float = 0.05  # Before an announcement is withdrawn.
    idle_interval_s: float = 0.25  # Between changes of announced slots.
    report_interval_s: float = 0.5  # Least time between reports.
    max_report_interval_s: float = 3.0  # Most time, after large reports.
    report_bytes_per_s: float = 1000.0  # Bandwidth of all reports.
    # Change worth a report, as a fraction of an average request's cost.
    report_step: float = 0.05
    lift_interval_s: float = 2.0  # Least time between shared lifts.
    # Change of a lift worth sharing, in average requests.
    lift_requests: float = 8.0
    lift_bytes_per_s: float = 200.0  # Bandwidth of all shared lifts.
    lift_settle_s: float = 2.0  # Wait for a first digest before any lift.
    # How far a workspace's counter may be ahead, in average requests.
    relief_requests: float = 1000.0
    resume_grace_s: float = 10.0  # Runs wait for a disconnected router.
    answer_retention_s: float = 30.0  # Ended answers wait for an ack.
    resend_s: float = 1.0  # Between resends of an ended answer's parts.
    resend_parts: int = 64  # Parts resent at once.
    replay_limit_bytes: int = 16 * 2**20  # Unacked parts of all answers.
    attempt_retention_s: float = 300.0  # How long outcomes are remembered.
    attempt_limit: int = 2**16  # Outcomes remembered at most.
    deadline_grace_s: float = 2.0  # From a deadline to stopping the run.
    cancel_grace_s: float = 2.0  # Before a cancelled run counts as ended.
    hold_limit: int = 0  # Pushed dispatches held beyond the slots.
    load_lag_s: float = 2.0  # Greatest age of a load report.
    prompt_tokens_per_byte: float = 1 / 32  # Charge for reading a body.
    prefix_limit: int = 512  # Cached prefixes sent to a new router.
    breaker: BreakerOptions = field(default_factory=BreakerOptions)


@dataclass(slots=True)
class PendingPull:
    """A pull that was not answered yet."""

    pull_id: int  # Unique for this incarnation of the agent.
    router: InstanceKey
    workspace: str
    sent_s: float
    expected_cost: float  # Of the request, in weighted units.
    ahead: bool = False  # Whether its slot is still in use.


@dataclass(slots=True)
class AgentState:
    """State of one agent core."""

    me: InstanceInfo  # This agent.
    options: AgentOptions
    rng: Random  # Seeded; the only source of randomness.
    shares: ServiceCounters  # Service that workspaces received.
    backlogs: Backlogs  # Requests that wait at the routers.
    past_attempts: OutcomeCache  # Outcomes of ended attempts.
    breaker: Breaker  # Circuit breaker of the endpoint.
    estimator: Estimator = field(default_factory=Estimator)
    slots: SlotLimit = field(default_factory=SlotLimit)
    round_trip: Average = field(default_factory=Average)  # Of pulls, in s.
    service: Service | None = None  # None until configured.
    weights: dict[str, float] = field(default_factory=dict)
    routers: dict[InstanceKey, InstanceInfo] = field(default_factory=dict)
    # Routers that were reported lost while their connection is open.
    lost_but_connected: set[InstanceKey] = field(default_factory=set)
    # All runs, including ended ones with unacked parts.
    runs: dict[AttemptKey, Run] = field(default_factory=dict)
    # Held and running ones.
    active: dict[AttemptKey, Run] = field(default_factory=dict)
    pulls: dict[int, PendingPull] = field(default_factory=dict)
    loaded_models: frozenset[str] | None = None  # None: any.
    # Digests of prefixes in the engine's cache, oldest first.
    cached_prefixes: dict[int, None] = field(default_factory=dict)
    cache_sequence: int = 0  # Sequence of the latest cache report.
    replay_bytes: int = 0  # Size of all unacked parts.
    draining: bool = False  # Whether it takes no new work.
    # Whether a workspace returned from idle since the last pull.
    workspace_returned: bool = False
    next_pull_id: int = 1
    strikes: list[tuple[Strike, float]] = field(default_factory=list)
    crashes: int = 0  # Endpoint crashes during a run.
    last_crash_s: float = -NEVER_S
    sequence: int = 0  # Latest sequence number used.
    # Free slots as each router counts them after the last announcement.
    announced_slots: dict[InstanceKey, int] = field(default_factory=dict)
    idle_at_s: float = 0.0  # Not read by any module.
    # Since when a router's count differs from the free slots.
    unannounced_since_s: float | None = None
    # Total and in-flight service of the last report, by workspace.
    last_reported: dict[str, tuple[float, float]] = field(default_factory=dict)
    next_report_s: float = 0.0  # Earliest time of the next report.
    next_lifts_s: float = 0.0  # Earliest time of the next shared lifts.
    # When lifts are set even if no router has sent a digest.
    lift_without_digest_s: float = NEVER_S
    wake_at_s: float = NEVER_S  # Time of the requested tick.
    timeouts_checked_s: float = 0.0

    @property
    def running_count(self) -> int:
        """Return how many requests run at the endpoint."""
        return sum(
            run.phase is RunPhase.RUNNING for run in self.active.values()
        )

    @property
    def idle(self) -> bool:
        """Return whether a draining agent may exit."""
        return not self.runs

    def weight(self, workspace: str) -> float:
        """Return the weight of a workspace; 1 if none is configured.

        :param workspace: The workspace.
        """
        return self.weights.get(workspace, 1.0)

    def counts_tokens(self) -> bool:
        """Return whether service is counted in tokens, not in seconds."""
        unit = self.service.unit if self.service else ServiceUnit.SECONDS
        return unit is ServiceUnit.TOKENS

    def capacity(self, now_s: float) -> int:
        """Return how many requests may run at the endpoint now.

        A half-open breaker admits one.

        :param now_s: The time.
        """
        phase = self.breaker.phase(now_s)
        if self.draining or self.service is None:
            return 0
        if self.loaded_models is not None and not self.loaded_models:
            return 0
        if phase is BreakerPhase.CLOSED:
            return self.slots.limit
        return 1 if phase is BreakerPhase.HALF_OPEN else 0

    def has_exclusive(self) -> bool:
        """Return whether a held or running request must run alone."""
        return any(run.dispatch.alone for run in self.active.values())


def broadcast(state: AgentState, message: Message) -> list[Effect]:
    """Send a message to every connected router.

    :param state: The agent's state.
    :param message: The message.
    :returns: The effects.
    """
    return [Send(router, message) for router in state.routers]


def new_agent(
    me: InstanceInfo, options: AgentOptions, rng: Random, now_s: float
) -> AgentState:
    """Return the initial state of an agent.

    :param me: The agent's instance; its service is its endpoint's.
    :param options: Its limits and intervals.
    :param rng: A seeded generator that nothing else uses.
    :param now_s: The time on the core's clock.
    :returns: The state; no work is accepted until it is configured.
    """
    return AgentState(
        me=me,
        options=options,
        rng=rng,
        shares=ServiceCounters(),
        backlogs=Backlogs(me.service),
        past_attempts=OutcomeCache(
            options.attempt_retention_s, options.attempt_limit
        ),
        breaker=Breaker(options.breaker),
        timeouts_checked_s=now_s,
    )
