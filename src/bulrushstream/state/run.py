"""One attempt of a request at an agent."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Dispatch
from bulrushstream.state.replay import AttemptKey, PartBuffer
from bulrushstream.state.request import Outcome


class RunPhase(StrEnum):
    """The phase of an attempt."""

    HELD = "held"  # Accepted by the agent, not sent to the endpoint.
    RUNNING = "running"  # Sent to the endpoint.
    ENDED = "ended"  # Finished; some parts may be unacknowledged.


@dataclass(slots=True)
class Run:
    """One attempt that an agent accepted."""

    dispatch: Dispatch
    router: InstanceKey  # The router that receives the parts.
    deadline_s: float  # When the caller stops waiting.
    weight: float  # The workspace's weight when it was accepted.
    estimate: float  # Expected cost in service units.
    phase: RunPhase = RunPhase.HELD
    started_s: float = 0.0  # When it was sent to the endpoint.
    accounted_until_s: float = 0.0  # Its run time is charged up to here.
    cost: float = 0.0  # Charged so far, in service units.
    ended_s: float = 0.0
    last_resend_s: float = 0.0  # When unacknowledged parts were last resent.
    outcome: Outcome = Outcome.UNKNOWN  # Set when it ends.
    cancelled_s: float | None = None  # When it was cancelled.
    orphaned_since_s: float | None = None  # When its router disconnected.
    resumable: bool = True  # Whether all unacknowledged parts are stored.
    buffer: PartBuffer = field(default_factory=PartBuffer)

    @property
    def key(self) -> AttemptKey:
        """Return the attempt's request id and number."""
        return self.dispatch.request_id, self.dispatch.attempt

    @property
    def remaining_service(self) -> float:
        """Return the weighted service that the run may still add."""
        return max(0.0, self.estimate - self.cost) / self.weight
