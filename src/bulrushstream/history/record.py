"""The events of a fleet as typed records.

A *history* is the sequence of these records by time.  It is written by a
harness in virtual time or by an end-to-end test with real sockets.  Records
come from callers and endpoints, not from the cores, so that errors in a
core's state cannot hide a violation.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.request import Outcome


@dataclass(frozen=True, slots=True)
class CallSent:
    """A caller sent a request and a router admitted it."""

    at_s: float
    request_id: str
    router: InstanceKey  # The router that has the caller's connection.
    workspace: str
    service: str
    idempotent: bool  # Whether it may run more than once.
    deadline_s: float  # When the caller's timeout ends.
    fingerprint: int = 0  # Digest of workspace, service and body.
    idempotency_key: str = ""  # Empty: none.


@dataclass(frozen=True, slots=True)
class RunStarted:
    """An endpoint received a request and may have run it."""

    at_s: float
    request_id: str
    attempt: int
    agent: InstanceKey  # The endpoint's agent.


@dataclass(frozen=True, slots=True)
class RunBytes:
    """An endpoint sent a chunk of an answer."""

    at_s: float
    request_id: str
    attempt: int
    agent: InstanceKey  # The endpoint's agent.
    data: bytes


@dataclass(frozen=True, slots=True)
class RunEnded:
    """An endpoint ended a run."""

    at_s: float
    request_id: str
    attempt: int
    agent: InstanceKey  # The endpoint's agent.
    complete: bool  # Whether the endpoint sent a complete answer.
    cancelled: bool = False  # Whether the agent cancelled it.


@dataclass(frozen=True, slots=True)
class EndpointCrashed:
    """An endpoint crashed because of a request."""

    at_s: float
    agent: InstanceKey  # The endpoint's agent.
    fingerprint: int  # Of that request.


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """A caller received the head of an answer."""

    at_s: float
    request_id: str
    status: int


@dataclass(frozen=True, slots=True)
class AnswerBytes:
    """A caller received a chunk of an answer."""

    at_s: float
    request_id: str
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnded:
    """A caller received the end of an answer."""

    at_s: float
    request_id: str
    complete: bool  # As reported to the caller.
    outcome: Outcome  # As reported to the caller.


@dataclass(frozen=True, slots=True)
class Refused:
    """A caller received a refusal or a failure in place of an answer."""

    at_s: float
    request_id: str
    code: str  # The stable error code.
    outcome: Outcome  # As reported to the caller.


@dataclass(frozen=True, slots=True)
class CallAborted:
    """A caller disconnected, or its router stopped."""

    at_s: float
    request_id: str


@dataclass(frozen=True, slots=True)
class LeavingAnnounced:
    """The instance list or a goodbye showed that an agent is leaving."""

    at_s: float
    agent: InstanceKey


@dataclass(frozen=True, slots=True)
class Stopped:
    """An instance ended."""

    at_s: float
    instance: InstanceKey
    planned: bool  # Whether it was drained and reported to be idle.


@dataclass(frozen=True, slots=True)
class LoadChanged:
    """Free slots and waiting requests of a service changed."""

    at_s: float
    service: str
    free_slots: int  # Slots that could start a run now.
    waiting: int  # Requests that could start now.


@dataclass(frozen=True, slots=True)
class BacklogChanged:
    """A workspace's waiting requests for a service changed."""

    at_s: float
    service: str
    workspace: str
    waiting: int  # Number in the whole fleet.


@dataclass(frozen=True, slots=True)
class ServiceReceived:
    """A workspace received service."""

    at_s: float
    service: str
    workspace: str
    amount: float  # In service units, divided by the weight.


@dataclass(frozen=True, slots=True)
class VersionApplied:
    """An instance applied a configuration version."""

    at_s: float
    instance: InstanceKey
    version: int


@dataclass(frozen=True, slots=True)
class CoreFailed:
    """A core raised an exception."""

    at_s: float
    instance: InstanceKey
    text: str  # The exception and its place.


Record: TypeAlias = (
    CallSent
    | RunStarted
    | RunBytes
    | RunEnded
    | EndpointCrashed
    | AnswerHead
    | AnswerBytes
    | AnswerEnded
    | Refused
    | CallAborted
    | LeavingAnnounced
    | Stopped
    | LoadChanged
    | BacklogChanged
    | ServiceReceived
    | VersionApplied
    | CoreFailed
)

History: TypeAlias = Sequence[Record]
