"""One attempt of a request at an agent."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Dispatch
from bulrushstream.state.replay import AttemptKey, PartBuffer
from bulrushstream.state.request import Outcome


class RunPhase(StrEnum):
    """How far an attempt has come."""

    HELD = "held"  # Waits in the agent; the endpoint has not seen it.
    RUNNING = "running"  # At the endpoint.
    ENDED = "ended"  # Over; its parts wait to be acknowledged.


@dataclass(slots=True)
class Run:
    """One attempt that an agent accepted."""

    dispatch: Dispatch  # What to run.
    router: InstanceKey  # Who gets the parts.
    deadline_s: float  # When its caller gives up.
    weight: float  # Its workspace's weight when it was accepted.
    estimate: float  # What it is expected to cost, in service units.
    phase: RunPhase = RunPhase.HELD
    started_s: float = 0.0  # When the endpoint got it.
    accrued_s: float = 0.0  # Up to when its seconds were counted.
    cost: float = 0.0  # What it used so far, in service units.
    ended_s: float = 0.0  # When it ended.
    resent_s: float = 0.0  # When its rest was last sent again.
    outcome: Outcome = Outcome.UNKNOWN  # Its outcome once it ended.
    cancelled_s: float | None = None  # When it was told to stop.
    orphaned_s: float | None = None  # Since when its router is away.
    resumable: bool = True  # Whether all parts since an ack are kept.
    buffer: PartBuffer = field(default_factory=PartBuffer)

    @property
    def key(self) -> AttemptKey:
        """Return what names the attempt."""
        return self.dispatch.request_id, self.dispatch.attempt

    @property
    def owed(self) -> float:
        """Return the weighted service that it is still expected to use."""
        return max(0.0, self.estimate - self.cost) / self.weight
