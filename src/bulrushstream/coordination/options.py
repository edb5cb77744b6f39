"""The limits and intervals of a router, with their defaults."""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushstream.coordination.budget import BudgetOptions
from bulrushstream.coordination.quarantine import QuarantineOptions


@dataclass(frozen=True, slots=True)
class ClaimOptions:
    """How idempotency keys are claimed in the log."""

    stream: str = "claims"  # The stream of claims.
    window_s: float = 600.0  # How long a key is kept; below retention.
    fleet_appends_per_s: float = 200.0  # All routers' appends together.
    max_body_bytes: int = 2048  # The largest answer kept for repeats.
    linger_s: float = 300.0  # How long a run without a caller is followed.


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """The limits and intervals of a router."""

    aging_s: float = 30.0  # How long batch requests give way.
    affinity_scan: int = 16  # Requests that a warm one is sought among.
    affinity_skips: int = 8  # How often warm requests pass a head.
    affinity_memory: int = 4096  # Prefixes remembered per agent.
    max_tracked_bytes: int = 48 << 20  # Memory of all requests.
    backlog_fanout: int = 3  # Agents told first that a queue filled.
    backlog_interval_s: float = 0.5  # Between lesser changes of counts.
    backlog_stale_s: float = 2.0  # How wrong an age that was told may be.
    backlog_refresh_s: float = 2.0  # Waiting without a pull before a repeat.
    digest_interval_s: float = 1.0  # Between digests of the ledger.
    digest_spare_s: float = 10.0  # The same, from routers not in charge.
    relay_interval_s: float = 2.0  # Between relays to router peers.
    ack_parts: int = 64  # Parts after which they are acknowledged.
    ack_delay_s: float = 1.0  # The longest wait of an acknowledgement.
    probe_s: float = 2.0  # Silence after which an attempt is asked for.
    resume_grace_s: float = 5.0  # How long a broken connection may last.
    avoid_s: float = 1.0  # How long a retry waits for another endpoint.
    refuse_pause_s: float = 0.02  # Before a refused request is offered.
    max_not_run: int = 10  # Attempts that may end before they start.
    trial_interval_s: float = 0.5  # Between asks for a trial's grants.
    trial_settle_s: float = 2.0  # From a connection until crashes are known.
    strikes_stream: str = "strikes"  # The stream of strikes.
    budget: BudgetOptions = field(default_factory=BudgetOptions)
    quarantine: QuarantineOptions = field(default_factory=QuarantineOptions)
    claims: ClaimOptions = field(default_factory=ClaimOptions)
