"""What happened in a fleet, as a list of typed records.

A *history* is the sequence of these records in the order of their times.
Whoever drives the fleet writes it: a test bench in virtual time, or an
end-to-end test beside real sockets.  Records come from the outer edges,
callers and endpoints, so that a history does not repeat what the cores
believe.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.request import Outcome


@dataclass(frozen=True, slots=True)
class Called:
    """A caller sent a request and a router admitted it."""

    at_s: float  # When.
    request_id: str  # Which request.
    router: InstanceKey  # Who holds the caller's connection.
    workspace: str  # Whose request it is.
    service: str  # Which service is to run it.
    idempotent: bool  # Whether it may run more than once.
    deadline_s: float  # When the caller gives up.
    fingerprint: int = 0  # Digest of workspace, service and body.
    idempotency_key: str = ""  # The caller's key; empty: none.


@dataclass(frozen=True, slots=True)
class RunStarted:
    """An endpoint received a request and may have acted on it."""

    at_s: float  # When.
    request_id: str  # Which request.
    attempt: int  # Which attempt.
    agent: InstanceKey  # The agent beside the endpoint.


@dataclass(frozen=True, slots=True)
class RunBytes:
    """An endpoint sent a piece of an answer."""

    at_s: float  # When.
    request_id: str  # Which request.
    attempt: int  # Which attempt.
    agent: InstanceKey  # The agent beside the endpoint.
    data: bytes  # The bytes.


@dataclass(frozen=True, slots=True)
class RunEnded:
    """An endpoint ended a run."""

    at_s: float  # When.
    request_id: str  # Which request.
    attempt: int  # Which attempt.
    agent: InstanceKey  # The agent beside the endpoint.
    whole: bool  # Whether the endpoint sent the complete answer.
    cancelled: bool = False  # Whether it was asked to stop.


@dataclass(frozen=True, slots=True)
class EndpointCrashed:
    """An endpoint went down because of one request."""

    at_s: float  # When.
    agent: InstanceKey  # The agent beside the endpoint.
    fingerprint: int  # Of the request that caused it.


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """A caller received the head of an answer."""

    at_s: float  # When.
    request_id: str  # Whose answer.
    status: int  # The HTTP status.


@dataclass(frozen=True, slots=True)
class AnswerBytes:
    """A caller received a piece of an answer."""

    at_s: float  # When.
    request_id: str  # Whose answer.
    data: bytes  # The bytes.


@dataclass(frozen=True, slots=True)
class AnswerEnded:
    """A caller received the end of an answer."""

    at_s: float  # When.
    request_id: str  # Whose answer.
    whole: bool  # Whether the caller was told that it is complete.
    outcome: Outcome  # What the caller was told.


@dataclass(frozen=True, slots=True)
class Refused:
    """A caller received a refusal or a failure in place of an answer."""

    at_s: float  # When.
    request_id: str  # Whose request.
    code: str  # The code of the notice.
    outcome: Outcome  # What the caller was told.


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller left, or its connection went down with its router."""

    at_s: float  # When.
    request_id: str  # Whose request.


@dataclass(frozen=True, slots=True)
class LeavingShown:
    """The instance list or a goodbye showed that an agent is leaving."""

    at_s: float  # When.
    agent: InstanceKey  # Who is leaving.


@dataclass(frozen=True, slots=True)
class Stopped:
    """An instance ended."""

    at_s: float  # When.
    instance: InstanceKey  # Which one.
    planned: bool  # Whether it was asked to, and said it was ready.


@dataclass(frozen=True, slots=True)
class Supply:
    """Free slots and waiting requests of a service changed."""

    at_s: float  # When.
    service: str  # Which service.
    free_slots: int  # Slots that could start work now.
    waiting: int  # Requests that could start now.


@dataclass(frozen=True, slots=True)
class Backlogged:
    """A workspace's waiting requests for a service changed."""

    at_s: float  # When.
    service: str  # Which service.
    workspace: str  # Whose requests.
    waiting: int  # How many wait in the whole fleet.


@dataclass(frozen=True, slots=True)
class ServiceGiven:
    """A workspace received service."""

    at_s: float  # When.
    service: str  # Which service.
    workspace: str  # Who received it.
    amount: float  # Service units divided by the workspace's weight.


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """An instance put a configuration in force."""

    at_s: float  # When.
    instance: InstanceKey  # Which start of which instance.
    version: int  # The version.


@dataclass(frozen=True, slots=True)
class CoreFailed:
    """A core raised an exception."""

    at_s: float  # When.
    instance: InstanceKey  # Whose core.
    text: str  # The exception.


Record: TypeAlias = (
    Called
    | RunStarted
    | RunBytes
    | RunEnded
    | EndpointCrashed
    | AnswerHead
    | AnswerBytes
    | AnswerEnded
    | Refused
    | CallerGone
    | LeavingShown
    | Stopped
    | Supply
    | Backlogged
    | ServiceGiven
    | VersionInForce
    | CoreFailed
)

History: TypeAlias = Sequence[Record]
