"""Effects that the core of a role requests.

The daemon that drives a core executes its effects in order.  No effect
returns a result; results arrive later as events.
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
    """Send a message to a peer; it is dropped if there is no connection."""

    peer: InstanceKey
    message: Message


@dataclass(frozen=True, slots=True)
class Reply:
    """Send a caller the next part of its answer, in order."""

    request_id: str
    part: Part  # HEAD is the first kind of part, END the last.


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Refuse or fail a caller's request; no more effects for it follow."""

    request_id: str
    code: str  # The code of a notice in `bulrushstream.messages`.
    outcome: Outcome  # Whether an endpoint ran it.
    retry_after_s: float = 0.0  # When the caller may retry; 0: not given.
    detail: str = ""  # Details of the failure; empty: none.


@dataclass(frozen=True, slots=True)
class AppendLog:
    """Append a record to a stream of the platform's log."""

    stream: str  # The stream's name.
    token: int  # Identifies the append in LogAppended and LogFailed.
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Set the position from which a stream is read.

    Without this effect a stream is read from its beginning.
    """

    stream: str  # The stream's name.
    offset: int  # The next offset to read.


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Put a configuration in force in all cores of this instance."""

    config: VersionedConfig  # Never a lower version than before.


@dataclass(frozen=True, slots=True)
class NotifyCores:
    """Pass an event to this instance's other cores."""

    event: PeerLeaving | PeerLost


@dataclass(frozen=True, slots=True)
class SetPeers:
    """Replace the set of peers to keep connections to."""

    peers: tuple[InstanceInfo, ...]  # Sorted by name.


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to this agent's endpoint and report its answer."""

    order: EngineOrder


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send a request to this agent's endpoint."""

    dispatch: Dispatch  # The attempt to run.


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Cancel an attempt at this agent's endpoint."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send the core a TimerFired event; the earliest pending time counts."""

    at_s: float  # On the core's clock.


@dataclass(frozen=True, slots=True)
class Decision:
    """One routing or placement decision, for the log."""

    kind: str  # Such as dispatch, refuse, retry, pull, order.
    reason: str
    request_id: str = ""  # Empty: none; so for the other names.
    workspace: str = ""
    service: str = ""
    rule: str = ""  # The rule that matched.
    request_class: str = ""
    endpoint: str = ""  # The endpoint or agent.
    attempt: int = 0  # 0: none.
    waited_s: float = 0.0  # How long the request waited.
    outcome: str = ""  # Empty: not known yet.
    inputs: Mapping[str, float | int | str] = field(default_factory=dict)


Effect: TypeAlias = (
    Send
    | Reply
    | FailRequest
    | AppendLog
    | ReadLog
    | ApplyConfig
    | NotifyCores
    | SetPeers
    | SendOrder
    | StartRun
    | CancelRun
    | WakeAt
    | Decision
)
