"""What a role's core wants done.

The daemon that drives a core carries these out in order.  None of them
answers at once: whatever comes of one arrives later as an event.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from bulrushstream.state.config import VersionedConfig
from bulrushstream.state.event import PeerLeaving, PeerLost
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import Dispatch, Message, Part
from bulrushstream.state.order import EngineOrder
from bulrushstream.state.request import Outcome


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; dropped if there is no connection."""

    peer: InstanceKey  # To whom.
    message: Message  # What.


@dataclass(frozen=True, slots=True)
class Reply:
    """Give a caller the next part of its answer, in order."""

    request_id: str  # Whose answer.
    part: Part  # The part; a head comes first, an end last.


@dataclass(frozen=True, slots=True)
class Fail:
    """Refuse or fail a caller's request; nothing follows it."""

    request_id: str  # Whose request.
    code: str  # The code of a notice in `bulrushstream.messages`.
    outcome: Outcome  # Whether an endpoint ran it.
    retry_after_s: float = 0.0  # When to come back; 0: not said.
    detail: str = ""  # More on what went wrong; empty: nothing.


@dataclass(frozen=True, slots=True)
class AppendLog:
    """Append a record to a stream of the platform's log."""

    stream: str  # The stream's name.
    token: int  # Names the append in the event that answers it.
    body: bytes  # What to append.


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read a stream from here on, in place of where it was read before.

    A stream that no effect names is read from its beginning.
    """

    stream: str  # The stream's name.
    offset: int  # The next offset to read.


@dataclass(frozen=True, slots=True)
class Apply:
    """Put a configuration in force in every core of this instance."""

    current: VersionedConfig  # The configuration; never a lower version.


@dataclass(frozen=True, slots=True)
class Tell:
    """Hand an event to this instance's other cores."""

    event: PeerLeaving | PeerLost  # The event.


@dataclass(frozen=True, slots=True)
class Dial:
    """Keep connections to these peers, in place of those named before."""

    peers: tuple[InstanceInfo, ...]  # By name.


@dataclass(frozen=True, slots=True)
class GiveOrder:
    """Give an order to this agent's endpoint, and report its answer."""

    order: EngineOrder  # The order, with its fencing token.


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send a request to this agent's endpoint."""

    dispatch: Dispatch  # The attempt to run.


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Stop an attempt at this agent's endpoint."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Hand the core a tick at this time; the earliest one counts."""

    at_s: float  # On the core's clock.


@dataclass(frozen=True, slots=True)
class Decision:
    """One routing or placement decision, for the log."""

    kind: str  # Such as dispatch, refuse, retry, pull, order.
    reason: str  # Why it was taken.
    request_id: str = ""  # Which request; empty: none.
    workspace: str = ""  # Whose request; empty: none.
    service: str = ""  # Which service; empty: none.
    rule: str = ""  # The rule that matched; empty: none.
    request_class: str = ""  # The request's class; empty: none.
    endpoint: str = ""  # The endpoint or agent; empty: none.
    attempt: int = 0  # Which attempt; 0: none.
    waited_s: float = 0.0  # How long the request waited.
    outcome: str = ""  # The outcome, if it is settled.
    inputs: Mapping[str, float | int | str] = field(default_factory=dict)


Effect: TypeAlias = (
    Send
    | Reply
    | Fail
    | AppendLog
    | ReadLog
    | Apply
    | Tell
    | Dial
    | GiveOrder
    | StartRun
    | CancelRun
    | WakeAt
    | Decision
)
