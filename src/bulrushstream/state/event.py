"""Events that the core of a role handles.

A *core* is a state object with one function, ``handle(state, event,
now_s)``, that returns the effects to execute.  It reads no clock and opens
no socket, so a daemon, a test or a program that embeds it can drive it with
its own clock and network.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from bulrushstream.state.config import VersionedConfig
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import Message
from bulrushstream.state.order import EngineOrder, Holdings, OrderAnswer
from bulrushstream.state.request import Headers, Request


@dataclass(frozen=True, slots=True)
class PeerUp:
    """A connection to a peer was made and both sides are authenticated."""

    peer: InstanceInfo


@dataclass(frozen=True, slots=True)
class PeerDown:
    """The connection to a peer broke."""

    peer: InstanceKey


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A peer's message arrived."""

    peer: InstanceKey  # The sender.
    message: Message


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A time that the core requested with WakeAt has come."""


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration is in force."""

    config: VersionedConfig


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's instance list was read; it may be out of date."""

    instances: tuple[InstanceInfo, ...]  # Live and leaving instances.


@dataclass(frozen=True, slots=True)
class PeerLeaving:
    """A peer is leaving, according to the instance list or its goodbye."""

    peer: InstanceKey


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Membership declared that an incarnation has ended for good."""

    peer: InstanceKey


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This instance must stop: take no new work, finish running requests."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A router admitted a caller's request."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A router's caller closed its connection."""

    request_id: str  # The request whose answer is no longer needed.


@dataclass(frozen=True, slots=True)
class QuarantineLifted:
    """An operator lifted the quarantine of some requests."""

    fingerprints: tuple[int, ...]  # Digests of the requests.


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream of the platform's log."""

    offset: int  # Its position in the stream.
    body: bytes


@dataclass(frozen=True, slots=True)
class LogRead:
    """Records of a stream arrived, in order."""

    stream: str  # The stream's name.
    records: tuple[LogRecord, ...]
    caught_up: bool  # Whether the records reach the stream's end.
    first_offset: int = 0  # The oldest offset that the log still stores.
    offset: int = -1  # The offset that was read from; -1: unknown.


@dataclass(frozen=True, slots=True)
class LogAppended:
    """The log acknowledged an append."""

    token: int  # The token of the AppendLog effect.
    offset: int  # The offset of the record.


@dataclass(frozen=True, slots=True)
class LogFailed:
    """An append got no answer; the record may be in the log nevertheless."""

    token: int  # The token of the AppendLog effect.


@dataclass(frozen=True, slots=True)
class RunHead:
    """The head of an endpoint's answer arrived."""

    request_id: str
    attempt: int
    status: int  # The HTTP status.
    headers: Headers  # The headers to forward.


@dataclass(frozen=True, slots=True)
class RunBody:
    """A piece of an endpoint's answer arrived."""

    request_id: str
    attempt: int
    data: bytes  # The bytes to forward.
    tokens: int  # Tokens generated for it; 0 for plain services.


@dataclass(frozen=True, slots=True)
class RunEnd:
    """An endpoint's answer ended, complete or broken off."""

    request_id: str
    attempt: int
    complete: bool
    started: bool  # False only if the endpoint never got the request.
    crashed: bool = False  # Whether the endpoint crashed during the run.
    detail: str = ""  # What went wrong; empty: nothing.


@dataclass(frozen=True, slots=True)
class LoadReported:
    """An endpoint's load report, which may be out of date."""

    running: int  # Requests that it is processing.
    waiting: int  # Requests in its own queue.
    healthy: bool  # Whether it answered at all.


@dataclass(frozen=True, slots=True)
class CacheReported:
    """An engine's prefix cache changed; reports may be late or missing."""

    sequence: int  # Grows by one per report; a larger step is a gap.
    added: tuple[int, ...]  # Digests of prefixes that it now holds.
    dropped: tuple[int, ...]  # Digests of prefixes that it dropped.


@dataclass(frozen=True, slots=True)
class HoldingsReported:
    """An engine reported what it has loaded."""

    holdings: Holdings


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An engine answered an order, or failed to answer it."""

    order: EngineOrder
    answer: OrderAnswer


Event: TypeAlias = (
    PeerUp
    | PeerDown
    | MessageReceived
    | TimerFired
    | ConfigChanged
    | InstancesListed
    | PeerLeaving
    | PeerLost
    | DrainStarted
    | RequestArrived
    | CallerDisconnected
    | QuarantineLifted
    | LogRead
    | LogAppended
    | LogFailed
    | RunHead
    | RunBody
    | RunEnd
    | LoadReported
    | CacheReported
    | HoldingsReported
    | OrderAnswered
)
