"""What a run of the harness does: calls, faults and their times.

A *plan* is plain data, so that a failing run can be repeated from its seed
and made smaller by leaving calls and faults out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from bulrushstream.state.request import RequestClass


class RunFault(StrEnum):
    """What goes wrong at an endpoint that runs a call."""

    NONE = "none"
    CRASH = "crash"  # The endpoint goes down with all its runs.
    BREAK = "break"  # The stream breaks off half-way.
    REFUSE = "refuse"  # The first attempt's connection is refused.


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One request of one caller."""

    at_s: float  # When it is sent.
    request_id: str  # Unique in the plan.
    router: int  # Which router; the next live one if it is down.
    workspace: str  # Whose request it is.
    idempotent: bool = False  # Whether it may run more than once.
    interactive: bool = False  # Its class.
    run_s: float = 0.1  # How long an endpoint needs.
    pieces: int = 3  # How many pieces the answer has.
    timeout_s: float = 20.0  # How long the caller waits.
    leaves_s: float | None = None  # After how long the caller leaves.
    key: str = ""  # The idempotency key; empty: none.
    body: bytes = b""  # Callers that send one body again crash alike.
    fault: RunFault = RunFault.NONE  # What goes wrong at the endpoint.
    retry_limit: int = 3  # Attempts after the first.

    @property
    def request_class(self) -> RequestClass:
        """Return the class as the cores name it."""
        if self.interactive:
            return RequestClass.INTERACTIVE
        return RequestClass.BATCH


@dataclass(frozen=True, slots=True)
class Crash:
    """An instance ends at once and starts again with no state."""

    at_s: float  # When.
    instance: str  # Which one.
    down_s: float  # How long until it starts again.


@dataclass(frozen=True, slots=True)
class Pause:
    """An instance stands still; what reaches it waits."""

    at_s: float  # When.
    instance: str  # Which one.
    for_s: float  # How long.


@dataclass(frozen=True, slots=True)
class Cut:
    """Connections from one instance break and can not be made for a while.

    With no other instance named, all connections of the instance break.
    """

    at_s: float  # When.
    instance: str  # One side.
    other: str  # The other side; empty: everybody.
    for_s: float  # How long until they can be made again.


@dataclass(frozen=True, slots=True)
class LogOutage:
    """The platform's log neither appends nor reads."""

    at_s: float  # When.
    for_s: float  # How long.


@dataclass(frozen=True, slots=True)
class Drain:
    """An instance is asked to stop and starts again once it has ended."""

    at_s: float  # When.
    instance: str  # Which one.


Fault: TypeAlias = Crash | Pause | Cut | LogOutage | Drain


@dataclass(frozen=True, slots=True)
class Weather:
    """How badly messages and the log behave until faults end."""

    delay_s: float = 0.001  # The usual one-way delay.
    jitter_s: float = 0.002  # Added at random, uniformly.
    loss: float = 0.0  # The part of messages that is lost.
    doubled: float = 0.0  # The part that arrives twice.
    reordered: float = 0.0  # The part that others may overtake.
    strays: float = 0.0  # Messages that outlive their connection.
    log_delay_s: float = 0.02  # The log's delay.
    log_lost_answers: float = 0.0  # Appends whose answer is lost.
    false_losses: bool = False  # Whether live peers are given up.


@dataclass(frozen=True, slots=True)
class Plan:
    """One whole run."""

    seed: int  # Of the harness's own choices.
    routers: int = 2  # How many routers.
    agents: int = 3  # How many agents, one endpoint each.
    slots: int = 2  # Slots of each endpoint.
    workspaces: tuple[str, ...] = ("w1", "w2", "w3")  # Of equal weight.
    calls: tuple[PlannedCall, ...] = ()  # What callers send.
    faults: tuple[Fault, ...] = ()  # What fails.
    weather: Weather = Weather()  # Until faults end.
    calm_s: float = 15.0  # When faults end.
    end_s: float = 45.0  # When the run ends.
    sure_s: float | None = None  # Calls from then on must succeed.
    fairness_gap: float | None = None  # Checked if given.
    idle_bound_s: float | None = None  # Checked after faults if given.
