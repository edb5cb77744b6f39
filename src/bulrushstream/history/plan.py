"""Plans of harness runs: calls, faults and their times.

A *plan* is plain data, so that a failing run can be repeated from its seed
and shrunk by leaving calls and faults out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from bulrushstream.state.request import RequestClass


class RunFault(StrEnum):
    """A fault of the endpoint that runs a call."""

    NONE = "none"
    CRASH = "crash"  # The endpoint crashes and ends all its runs.
    BREAK = "break"  # The answer breaks off half-way.
    REFUSE = "refuse"  # The first attempt's connection is refused.


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One request of a caller."""

    at_s: float  # When it is sent, in virtual time.
    request_id: str  # Unique in the plan.
    router: int  # The router's number; the next live one if it is down.
    workspace: str
    idempotent: bool = False  # Whether it may run more than once.
    interactive: bool = False  # False: of the batch class.
    run_s: float = 0.1  # Run time at the endpoint.
    chunks: int = 3  # Chunks of the answer.
    timeout_s: float = 20.0  # The caller's timeout.
    disconnects_after_s: float | None = None  # After sending; None: never.
    key: str = ""  # The idempotency key; empty: none.
    body: bytes = b""  # Calls with the same body share a fingerprint.
    fault: RunFault = RunFault.NONE
    retry_limit: int = 3  # Attempts after the first.

    @property
    def request_class(self) -> RequestClass:
        """Return the request class."""
        if self.interactive:
            return RequestClass.INTERACTIVE
        return RequestClass.BATCH


@dataclass(frozen=True, slots=True)
class Crash:
    """An instance crashes and starts again without any state."""

    at_s: float  # In virtual time.
    instance: str
    down_s: float  # Until it starts again.


@dataclass(frozen=True, slots=True)
class Pause:
    """An instance stops running for a time; events for it are queued."""

    at_s: float  # In virtual time.
    instance: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class ConnectionCut:
    """Connections of one instance break and are blocked for a time."""

    at_s: float  # In virtual time.
    instance: str
    other: str  # The other instance; empty: all connections break.
    duration_s: float  # Until they can be opened again.


@dataclass(frozen=True, slots=True)
class LogOutage:
    """The platform's log fails appends and reads for a time."""

    at_s: float  # In virtual time.
    duration_s: float


@dataclass(frozen=True, slots=True)
class Drain:
    """An instance drains, stops when it is idle and starts again."""

    at_s: float  # In virtual time.
    instance: str


Fault: TypeAlias = Crash | Pause | ConnectionCut | LogOutage | Drain


@dataclass(frozen=True, slots=True)
class Conditions:
    """Delays and error rates of messages and the log until faults end."""

    delay_s: float = 0.001  # One-way delay without jitter.
    jitter_s: float = 0.002  # Maximum of the uniform extra delay.
    loss: float = 0.0  # Share of messages that is lost.
    duplicated: float = 0.0  # Share that arrives twice.
    reordered: float = 0.0  # Share that others may overtake.
    stale_delivery: float = 0.0  # Share that outlives its connection.
    log_delay_s: float = 0.02  # Delay of the log.
    log_lost_replies: float = 0.0  # Share of appends.
    false_losses: bool = False  # Live peers are reported lost.


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of one run."""

    seed: int  # Seeds the harness's own choices.
    routers: int = 2
    agents: int = 3  # With one endpoint each.
    slots: int = 2  # Slots of each endpoint.
    workspaces: tuple[str, ...] = ("w1", "w2", "w3")  # Equal weights.
    calls: tuple[PlannedCall, ...] = ()
    faults: tuple[Fault, ...] = ()
    conditions: Conditions = Conditions()  # Until faults_end_s.
    faults_end_s: float = 15.0  # In virtual time.
    end_s: float = 45.0  # End of the run.
    # Calls from then on must succeed; None: not checked.
    must_succeed_from_s: float | None = None
    fairness_gap: float | None = None  # None: not checked.
    # Checked after faults have ended; None: not checked.
    idle_bound_s: float | None = None
