"""Limits and intervals of a router, with their defaults."""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushstream.coordination.budget import BudgetOptions
from bulrushstream.coordination.quarantine import QuarantineOptions


@dataclass(frozen=True, slots=True)
class ClaimOptions:
    """Options for claims of idempotency keys in the log."""

    stream: str = "claims"  # Stream of the log.
    window_s: float = 600.0  # Lifetime of a key; below the log's retention.
    fleet_appends_per_s: float = 200.0  # Limit for all routers together.
    max_body_bytes: int = 2048  # Largest answer stored for repeats.
    # How long a run is tracked after its caller left.
    detached_run_s: float = 300.0


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """Limits and intervals of a router."""

    aging_s: float = 30.0  # Head start of interactive over batch requests.
    affinity_scan: int = 16  # Queued requests searched for a cached prefix.
    affinity_skips: int = 8  # Times that the head of a queue is passed over.
    affinity_memory: int = 4096  # Prefixes remembered per agent.
    max_tracked_bytes: int = 48 << 20  # Memory of all requests.
    backlog_fanout: int = 3  # Agents that get a new backlog at once.
    backlog_interval_s: float = 0.5  # Between flushes of other changes.
    backlog_stale_s: float = 2.0  # Tolerated error of an announced age.
    backlog_refresh_s: float = 2.0  # Time without a pull before a repeat.
    digest_interval_s: float = 1.0  # Between digests of the ledger.
    # Between digests to agents that another router is in charge of.
    backup_digest_interval_s: float = 10.0
    relay_interval_s: float = 2.0  # Between relays to peer routers.
    ack_parts: int = 64  # Unacked parts that trigger an acknowledgement.
    ack_delay_s: float = 1.0  # Greatest delay of an acknowledgement.
    probe_s: float = 2.0  # Time without a part before a resume is sent.
    resume_grace_s: float = 5.0  # Time for an agent to reconnect.
    # How long a retry avoids endpoints where the request failed.
    avoid_endpoint_s: float = 1.0
    # Before a request is screened again after a SUSPECT refusal.
    refuse_pause_s: float = 0.02
    # Attempts proved not to have run before a request fails.
    max_unstarted_attempts: int = 10
    trial_interval_s: float = 0.5  # Between asks for missing grants.
    trial_settle_s: float = 2.0  # From a connection until crashes are known.
    strikes_stream: str = "strikes"  # Stream of the log.
    budget: BudgetOptions = field(default_factory=BudgetOptions)
    quarantine: QuarantineOptions = field(default_factory=QuarantineOptions)
    claims: ClaimOptions = field(default_factory=ClaimOptions)
