"""What happens to a role's core.

A *core* is a state object with one function, ``handle(state, event,
now_s)``, that returns the effects to carry out.  It reads no clock and
opens no socket, so that whoever owns time and the network can drive it: a
daemon, a test, or a program that embeds it.
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
    """A connection to a peer was made and both sides proved themselves."""

    peer: InstanceInfo  # Who is at the other end.


@dataclass(frozen=True, slots=True)
class PeerDown:
    """The connection to a peer broke."""

    peer: InstanceKey  # Who was at the other end.


@dataclass(frozen=True, slots=True)
class Received:
    """A peer's message arrived."""

    peer: InstanceKey  # Who sent it.
    message: Message  # What was sent.


@dataclass(frozen=True, slots=True)
class Ticked:
    """A time came that the core asked to be woken at."""


@dataclass(frozen=True, slots=True)
class Configured:
    """A newer configuration is in force."""

    current: VersionedConfig  # The configuration.


@dataclass(frozen=True, slots=True)
class Listed:
    """The instance list was read; it lags behind."""

    instances: tuple[InstanceInfo, ...]  # Live and leaving ones.


@dataclass(frozen=True, slots=True)
class PeerLeaving:
    """The instance list or a goodbye says that a peer is leaving."""

    peer: InstanceKey  # Who is leaving.


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Membership gave an incarnation up: it will not come back."""

    peer: InstanceKey  # Which incarnation ended.


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This instance is to stop: take no new work, finish what runs."""


@dataclass(frozen=True, slots=True)
class Arrived:
    """A router admitted a caller's request."""

    request: Request  # What the caller asks.


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A router's caller closed its connection."""

    request_id: str  # Whose answer is no longer wanted.


@dataclass(frozen=True, slots=True)
class Pardoned:
    """An operator lifted the quarantine of some requests."""

    fingerprints: tuple[int, ...]  # Which requests.


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream of the platform's log."""

    offset: int  # Its place in the stream.
    body: bytes  # What was appended.


@dataclass(frozen=True, slots=True)
class LogRead:
    """Records of a stream arrived, in order."""

    stream: str  # The stream's name.
    records: tuple[LogRecord, ...]  # The records.
    caught_up: bool  # Whether these reach the stream's end.
    first_offset: int = 0  # The oldest offset that the log still keeps.
    offset: int = -1  # The offset that was read from; -1: not said.


@dataclass(frozen=True, slots=True)
class LogAppended:
    """The log acknowledged an append."""

    token: int  # Which append, as its effect named it.
    offset: int  # The offset of the record.


@dataclass(frozen=True, slots=True)
class LogFailed:
    """An append has no answer; it may have taken effect all the same."""

    token: int  # Which append, as its effect named it.


@dataclass(frozen=True, slots=True)
class RunHead:
    """An endpoint began to answer."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.
    status: int  # The HTTP status.
    headers: Headers  # The headers to pass on.


@dataclass(frozen=True, slots=True)
class RunBody:
    """An endpoint sent a piece of its answer."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.
    data: bytes  # The bytes to pass on.
    tokens: int  # Tokens generated for it; 0 for plain services.


@dataclass(frozen=True, slots=True)
class RunEnd:
    """An endpoint's answer ended, whole or broken."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.
    whole: bool  # Whether the answer is complete.
    started: bool  # False only if the endpoint never saw the request.
    crashed: bool = False  # Whether the endpoint went down under it.
    detail: str = ""  # What went wrong; empty: nothing.


@dataclass(frozen=True, slots=True)
class LoadReported:
    """An endpoint's load report, which lags behind."""

    running: int  # Requests that it works on.
    waiting: int  # Requests that it has queued itself.
    healthy: bool  # Whether it answered at all.


@dataclass(frozen=True, slots=True)
class CacheReported:
    """An engine's prefix cache changed; reports are late, with gaps."""

    sequence: int  # Grows by one per report; a jump is a gap.
    added: tuple[int, ...]  # Prefix digests that it now holds.
    dropped: tuple[int, ...]  # Prefix digests that it dropped.


@dataclass(frozen=True, slots=True)
class HoldingsReported:
    """An engine said what it has loaded."""

    holdings: Holdings  # What it has.


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An engine answered an order, or did not."""

    order: EngineOrder  # Which order.
    answer: OrderAnswer  # What it said.


Event: TypeAlias = (
    PeerUp
    | PeerDown
    | Received
    | Ticked
    | Configured
    | Listed
    | PeerLeaving
    | PeerLost
    | DrainStarted
    | Arrived
    | CallerLeft
    | Pardoned
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
