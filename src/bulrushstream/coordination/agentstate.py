"""The state and the options of an agent's core.

An agent stands beside one endpoint.  It owns the endpoint's free *slots*,
decides which workspace gets the next one, counts the service that each
received, and knows for every attempt whether the endpoint has seen it.
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
from bulrushstream.state.replay import AttemptKey, AttemptMemory
from bulrushstream.state.run import Run, RunPhase
from bulrushstream.state.share import Shares

NEVER_S: Final = float("inf")


@dataclass(frozen=True, slots=True)
class AgentOptions:
    """Limits and times of an agent's core."""

    tick_s: float = 0.25  # Between checks of timeouts while busy.
    pull_timeout_s: float = 1.0  # Then a pull counts as lost.
    mute_s: float = 0.25  # No pull to a router after it had no work.
    aging_s: float = 10.0  # How much older interactive work counts.
    ahead_ratio: float = 0.005  # Round trip to run time that pulls ahead.
    ahead_backlog: int = 16  # Waiting requests below which none is held.
    idle_delay_s: float = 0.05  # Before free slots are taken back.
    idle_interval_s: float = 0.25  # Between counts of free slots.
    report_interval_s: float = 0.5  # The least time between reports.
    max_report_interval_s: float = 3.0  # The most, when they are long.
    report_bytes_per_s: float = 1000.0  # What reports may use in all.
    report_step: float = 0.05  # Unreported part of an average request.
    lift_interval_s: float = 2.0  # The least time between shared lifts.
    lift_requests: float = 8.0  # Average requests that make a lift news.
    lift_bytes_per_s: float = 200.0  # What shared lifts may use in all.
    settle_s: float = 2.0  # Wait for a first digest before any lift.
    relief_requests: float = 1000.0  # Average requests one may be ahead.
    resume_grace_s: float = 10.0  # Runs wait for a lost router.
    answer_keep_s: float = 30.0  # Ended answers wait for an ack.
    resend_s: float = 1.0  # Then an ended answer's rest is sent again.
    resend_parts: int = 64  # How many parts of it at once.
    replay_limit_bytes: int = 16 * 2**20  # Parts kept for all answers.
    attempt_keep_s: float = 300.0  # Fates of attempts are remembered.
    attempt_limit: int = 2**16  # How many fates are remembered.
    deadline_grace_s: float = 2.0  # After a deadline a run is stopped.
    cancel_grace_s: float = 2.0  # Then a cancelled run counts as over.
    hold_limit: int = 0  # Dispatches held beyond the slots, if pushed.
    load_lag_s: float = 2.0  # How old a load report may be.
    prompt_tokens_per_byte: float = 1 / 32  # Charged for reading a body.
    prefix_limit: int = 512  # Cached prefixes told to a new router.
    breaker: BreakerOptions = field(default_factory=BreakerOptions)


@dataclass(slots=True)
class PendingPull:
    """A pull that was not answered yet."""

    pull_id: int  # Names it among the agent's own.
    router: InstanceKey  # Who was asked.
    workspace: str  # For whose request.
    sent_s: float  # When.
    owed: float  # What the request is expected to use, weighted.
    ahead: bool = False  # Whether its slot is still taken.


@dataclass(slots=True)
class AgentState:
    """Everything that one agent's core knows."""

    me: InstanceInfo  # Who this agent is.
    options: AgentOptions  # Its limits and times.
    rng: Random  # Seeded; the only source of chance.
    shares: Shares  # Service that workspaces received.
    backlogs: Backlogs  # What waits at the routers.
    memory: AttemptMemory  # Fates of attempts that are over.
    breaker: Breaker  # Whether the endpoint takes requests.
    estimator: Estimator = field(default_factory=Estimator)
    slots: SlotLimit = field(default_factory=SlotLimit)
    round_trip: Average = field(default_factory=Average)  # Of pulls, s.
    service: Service | None = None  # None until configured.
    weights: dict[str, float] = field(default_factory=dict)
    routers: dict[InstanceKey, InstanceInfo] = field(default_factory=dict)
    given_up: set[InstanceKey] = field(default_factory=set)  # Yet here.
    runs: dict[AttemptKey, Run] = field(default_factory=dict)
    active: dict[AttemptKey, Run] = field(default_factory=dict)
    pulls: dict[int, PendingPull] = field(default_factory=dict)
    loaded: frozenset[str] | None = None  # Models; None: any.
    prefixes: dict[int, None] = field(default_factory=dict)  # Cached ones.
    cache_sequence: int = 0  # The number of the latest cache report.
    replay_bytes: int = 0  # What all kept parts take.
    draining: bool = False  # Whether it takes no new work.
    came_back: bool = False  # Whether a workspace has since the last pull.
    next_pull: int = 1  # Names the next pull.
    strikes: list[tuple[Strike, float]] = field(default_factory=list)
    crashes: int = 0  # How often the endpoint went down under a run.
    crashed_s: float = -NEVER_S  # When it last did.
    sequence: int = 0  # Numbers backlog-like announcements.
    idle_told: dict[InstanceKey, int] = field(default_factory=dict)
    idle_at_s: float = 0.0  # When a changed count may be announced.
    idle_was_s: float | None = None  # Since when a count is unannounced.
    reported: dict[str, tuple[float, float]] = field(default_factory=dict)
    report_at_s: float = 0.0  # When the next report may go.
    lift_at_s: float = 0.0  # When the next lifts may go.
    settled_at_s: float = NEVER_S  # When lifts are set without a digest.
    wake_at_s: float = NEVER_S  # The tick that was asked for.
    checked_s: float = 0.0  # When timeouts were last checked.

    @property
    def running(self) -> int:
        """Return how many requests the endpoint works on."""
        return sum(
            run.phase is RunPhase.RUNNING for run in self.active.values()
        )

    @property
    def idle(self) -> bool:
        """Return whether a draining agent may exit."""
        return not self.runs

    def weight(self, workspace: str) -> float:
        """Return the weight of a workspace; 1 if it is not known.

        :param workspace: Whose.
        """
        return self.weights.get(workspace, 1.0)

    def counts_tokens(self) -> bool:
        """Return whether service is counted in tokens."""
        unit = self.service.unit if self.service else ServiceUnit.SECONDS
        return unit is ServiceUnit.TOKENS

    def capacity(self, now_s: float) -> int:
        """Return how many requests may be at the endpoint now.

        :param now_s: The time.
        """
        phase = self.breaker.phase(now_s)
        if self.draining or self.service is None:
            return 0
        if self.loaded is not None and not self.loaded:
            return 0
        if phase is BreakerPhase.CLOSED:
            return self.slots.limit
        return 1 if phase is BreakerPhase.HALF_OPEN else 0

    def alone(self) -> bool:
        """Return whether a request is here that must run alone."""
        return any(run.dispatch.alone for run in self.active.values())


def tell(state: AgentState, message: Message) -> list[Effect]:
    """Send a message to every connected router.

    :param state: The agent's state.
    :param message: What it says.
    :returns: What to do.
    """
    return [Send(router, message) for router in state.routers]


def new_agent(
    me: InstanceInfo, options: AgentOptions, rng: Random, now_s: float
) -> AgentState:
    """Return the state of an agent that was just started.

    :param me: Who the agent is; its service is that of its endpoint.
    :param options: Its limits and times.
    :param rng: A seeded generator that nothing else uses.
    :param now_s: The time on the core's clock.
    :returns: The state; it takes no work until it is configured.
    """
    return AgentState(
        me=me,
        options=options,
        rng=rng,
        shares=Shares(),
        backlogs=Backlogs(me.service),
        memory=AttemptMemory(options.attempt_keep_s, options.attempt_limit),
        breaker=Breaker(options.breaker),
        checked_s=now_s,
    )
