"""The messages that instances of the fleet send each other.

Routers queue requests; agents own the slots of an endpoint.  A router sends
agents its *backlog*: how many requests of each workspace wait.  An agent
with a free slot *pulls* one request of a workspace, and the router answers
with a *dispatch* or with *no work*.  An agent that has free slots and knows
of no backlog announces that it is *idle*.  A router may dispatch to an idle
agent without a pull; if the slot is taken by then, the agent *refuses*,
which proves that the request was not run.

An answer is sent as numbered *parts*.  The agent stores parts until the
router has acknowledged them, and after a broken connection the router
resumes from the first part that it lacks.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from bulrushstream.state.request import Headers, Outcome, RequestClass


class PartKind(IntEnum):
    """The content of one part of an answer."""

    HEAD = 1  # Status and headers.
    BODY = 2  # A piece of the body.
    END = 3  # The end of the answer, with the outcome.


class RefuseReason(IntEnum):
    """Why an agent did not start a request; each reason proves not-run."""

    BUSY = 1  # No slot is free.
    DRAINING = 2  # The agent takes no new work.
    STALE = 3  # The dispatch was for another incarnation.
    REVOKED = 4  # It was revoked before the start.
    EXPIRED = 5  # The deadline passed before the start.
    OPEN = 6  # The endpoint's circuit breaker is open.
    LOADING = 7  # The endpoint has not loaded the model yet.
    SUSPECT = 8  # A suspected request must run alone and can not at present.


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a connection, from both sides."""

    instance: str  # The sender's name.
    incarnation: int  # The sender's incarnation.
    role: str  # The sender's role.
    region: str  # The sender's region.
    availability_zone: str  # The sender's availability zone.
    service: str  # The agent's service; empty for a router.
    endpoint: str  # The agent's endpoint; empty for a router.
    nonce: bytes  # Random bytes that the receiver's proof must cover.


@dataclass(frozen=True, slots=True)
class Proof:
    """Proof that the sender holds the fleet's shared secret."""

    mac: bytes  # HMAC over the receiver's nonce and the sender's name.


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent when there was no other message for some time."""


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender takes no new work and will stop."""

    incarnation: int  # The sender's incarnation.


@dataclass(frozen=True, slots=True)
class BacklogEntry:
    """Requests of one workspace and service that wait at the sender."""

    service: str
    workspace: str
    interactive: int  # Number of interactive requests.
    batch: int  # Number of batch requests.
    oldest_age_ms: int  # Age of the oldest request at the time of sending.


@dataclass(frozen=True, slots=True)
class Backlog:
    """Changes of the sender's backlog."""

    sequence: int  # Grows with each message of this sender.
    full: bool  # Whether counts without an entry are zero.
    entries: tuple[BacklogEntry, ...]


@dataclass(frozen=True, slots=True)
class Idle:
    """The number of free slots of an agent that knows of no backlog."""

    sequence: int  # Grows with each message of this sender.
    free_slots: int  # Zero revokes an earlier announcement.


@dataclass(frozen=True, slots=True)
class Pull:
    """An agent asks for one request of a workspace."""

    pull_id: int  # Unique among the agent's pulls.
    service: str  # The agent's service.
    workspace: str  # The workspace whose turn it is.
    ahead: bool = False  # Whether the slot is still occupied.


@dataclass(frozen=True, slots=True)
class NoWork:
    """The answer to a pull if no request of the workspace waits."""

    pull_id: int  # The pull that this answers.


@dataclass(frozen=True, slots=True)
class Dispatch:
    """One attempt of one request, for one incarnation of an agent."""

    request_id: str
    attempt: int  # The first one is 1.
    pull_id: int  # The pull that this answers; 0: none.
    incarnation: int  # The agent's incarnation.
    workspace: str  # The workspace that is charged.
    service: str
    request_class: RequestClass
    idempotent: bool  # Whether it may run more than once.
    alone: bool  # Whether no other request may run at the same time.
    method: str
    path: str  # The path and query.
    headers: Headers
    body: bytes
    stream: bool  # Whether the answer is streamed.
    timeout_ms: int  # Time until the caller's deadline.
    cost_hint: float  # The caller's estimate in service units; 0: none.
    model: str = ""  # The model that must be loaded; empty: any.
    fingerprint: int = 0  # Digest of workspace, service and body.


@dataclass(frozen=True, slots=True)
class Refuse:
    """Proof that an attempt was not started and will never be started."""

    request_id: str
    attempt: int
    reason: RefuseReason


@dataclass(frozen=True, slots=True)
class Part:
    """One numbered part of an answer."""

    request_id: str
    attempt: int
    sequence: int  # The part's number, from 0.
    kind: PartKind
    status: int = 0  # HEAD: the HTTP status.
    headers: Headers = ()  # HEAD: the headers.
    data: bytes = b""  # BODY: the bytes.
    outcome: Outcome = Outcome.UNKNOWN  # END: the outcome.
    whole: bool = False  # END: whether the endpoint's answer is complete.
    crashed: bool = False  # END: whether the endpoint crashed meanwhile.
    detail: str = ""  # END: what went wrong; empty: nothing.
    crash: int = 0  # END: number of the endpoint's crash; 0: none.


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledge all parts of an answer before a sequence number."""

    request_id: str
    attempt: int
    next_sequence: int  # The first part that the router lacks.


@dataclass(frozen=True, slots=True)
class Resume:
    """Request an answer's remaining parts after a broken connection."""

    request_id: str
    attempt: int
    next_sequence: int  # The first part that the router lacks.


@dataclass(frozen=True, slots=True)
class Revoke:
    """Ask an agent not to start an attempt; answered by Refuse or Gone."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Gone:
    """The agent can not resume or revoke an attempt."""

    request_id: str
    attempt: int
    outcome: Outcome  # NOT_RUN only if it was not and will not be started.


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop an attempt at the endpoint, as the caller disconnected."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ServedEntry:
    """Service that one agent incarnation gave to one workspace."""

    agent: str  # The agent's name; empty: the sender.
    incarnation: int  # The agent's incarnation.
    workspace: str
    total: float  # Weighted units in this incarnation; never decreases.
    in_flight: float  # Weighted units that running requests may still add.
    sequence: int = 0  # Sequence number of the agent's report.
    folded: bool = False  # Whether this sums all incarnations up to this one.


@dataclass(frozen=True, slots=True)
class Served:
    """Changes of the service ledger, from agents and between routers."""

    service: str  # The ledger's service.
    sequence: int  # Grows with each message of this sender.
    entries: tuple[ServedEntry, ...]
    heard: tuple[str, ...] = ()  # Agents that report directly to the router.


@dataclass(frozen=True, slots=True)
class DigestEntry:
    """A workspace's service at all agents except the receiver."""

    workspace: str
    total: float  # Sum of the totals known to the sender.
    in_flight: float  # Sum of the in-flight estimates known to the sender.
    floor: float  # The lift: weighted units added to the total.


@dataclass(frozen=True, slots=True)
class Digest:
    """A router's service ledger, without the receiver's own cells."""

    service: str  # The ledger's service.
    sequence: int  # Grows with each message of this sender.
    entries: tuple[DigestEntry, ...]


@dataclass(frozen=True, slots=True)
class Floor:
    """The lift of a workspace that was idle; merged by maximum."""

    service: str  # The ledger's service.
    workspace: str  # The lifted workspace.
    floor: float  # Weighted units added to its total from now on.


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """A configuration version for peers that may lack it."""

    version: int
    digest: str  # Digest of the body.
    body: bytes  # Canonical JSON; empty: only announces the version.


@dataclass(frozen=True, slots=True)
class ConfigFetch:
    """Ask a peer for its configuration if it is newer."""

    version: int  # The sender's version.


@dataclass(frozen=True, slots=True)
class Strike:
    """A crash of an endpoint while it ran a request."""

    fingerprint: int  # Digest of the request.
    strike_id: str  # Identifies the crash, so that copies count once.
    alone: bool  # Whether no other request was running.
    age_ms: int  # Time since the crash.


@dataclass(frozen=True, slots=True)
class Strikes:
    """Crashes known to the sender, and quarantines lifted by operators."""

    strikes: tuple[Strike, ...]
    pardons: tuple[int, ...] = ()  # Fingerprints with a lifted quarantine.


@dataclass(frozen=True, slots=True)
class Cached:
    """Changes of the prefixes in an engine's cache."""

    reset: bool  # Whether all earlier prefixes were dropped.
    added: tuple[int, ...]  # Digests of prefixes that the cache now holds.
    dropped: tuple[int, ...]  # Digests of prefixes that were dropped.


@dataclass(frozen=True, slots=True)
class TrialAsk:
    """Ask a router to run no request with a suspected fingerprint."""

    fingerprint: int  # Digest of the suspected requests.
    number: int  # Unique among the sender's asks.
    strikes: tuple[Strike, ...]  # Crashes of them known to the sender.


@dataclass(frozen=True, slots=True)
class TrialGrant:
    """The sender runs no such request until it is granted a trial itself."""

    fingerprint: int  # Digest of the suspected requests.
    number: int  # The ask that this answers.
    strikes: tuple[Strike, ...]  # Crashes of them known to the sender.


Message: TypeAlias = (
    Hello
    | Proof
    | Heartbeat
    | Goodbye
    | Backlog
    | Idle
    | Pull
    | NoWork
    | Dispatch
    | Refuse
    | Part
    | Ack
    | Resume
    | Revoke
    | Gone
    | Cancel
    | Served
    | Digest
    | Floor
    | ConfigPush
    | ConfigFetch
    | Strikes
    | Cached
    | TrialAsk
    | TrialGrant
)
