"""The messages that instances of the fleet send each other.

Routers hold waiting requests; agents hold free slots.  A router tells
agents its *backlog*: how many requests of each workspace wait.  An agent
with a free slot *pulls* one request of a workspace, and the router answers
with a *dispatch* or with *no work*.  An agent that has free slots and knows
of no backlog says that it is *idle*; a router may dispatch to an idle agent
without a pull, and an agent whose slot is gone by then *refuses*, which
proves that the request was not run.

Answers travel as numbered *parts*.  The router acknowledges them, the
agent keeps those not yet acknowledged, and after a broken connection the
router resumes from the first part that it misses.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from bulrushstream.state.request import Headers, Outcome, RequestClass


class PartKind(IntEnum):
    """What one part of an answer holds."""

    HEAD = 1  # Status and headers.
    BODY = 2  # A piece of the body.
    END = 3  # The end, with the outcome.


class RefuseReason(IntEnum):
    """Why an agent did not start a request; each proves not-run."""

    BUSY = 1  # No slot is free.
    DRAINING = 2  # The agent takes no new work.
    STALE = 3  # The dispatch was meant for another incarnation.
    REVOKED = 4  # A revoke came before the start.
    EXPIRED = 5  # The deadline passed before the start.
    OPEN = 6  # The endpoint's circuit breaker is open.
    LOADING = 7  # The endpoint has not loaded the model yet.
    SUSPECT = 8  # A suspected request must run alone, and can not now.


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a connection, from both sides."""

    instance: str  # The sender's name.
    incarnation: int  # The sender's incarnation.
    role: str  # The sender's role.
    region: str  # The sender's region.
    availability_zone: str  # The sender's availability zone.
    service: str  # An agent's service, else empty.
    endpoint: str  # An agent's endpoint, else empty.
    nonce: bytes  # Random bytes that the receiver's proof must cover.


@dataclass(frozen=True, slots=True)
class Proof:
    """Proof that the sender holds the fleet's shared secret."""

    mac: bytes  # HMAC over the receiver's nonce and the sender's name.


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life from a sender that had nothing else to say."""


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender takes no new work and will stop."""

    incarnation: int  # The sender's incarnation.


@dataclass(frozen=True, slots=True)
class BacklogEntry:
    """How much of one workspace waits at the sender for one service."""

    service: str  # The service that the requests are for.
    workspace: str  # Whose requests they are.
    interactive: int  # Waiting interactive requests.
    batch: int  # Waiting batch requests.
    oldest_age_ms: int  # Age of the oldest one when this was sent.


@dataclass(frozen=True, slots=True)
class Backlog:
    """Changes of the sender's backlog."""

    sequence: int  # Grows with each message of this sender.
    full: bool  # Whether entries not named are zero.
    entries: tuple[BacklogEntry, ...]


@dataclass(frozen=True, slots=True)
class Idle:
    """How many slots the agent has free beside no known backlog."""

    sequence: int  # Grows with each message of this sender.
    free_slots: int  # Zero takes an earlier announcement back.


@dataclass(frozen=True, slots=True)
class Pull:
    """An agent asks for one request of a workspace."""

    pull_id: int  # Names this pull among the agent's own.
    service: str  # The agent's service.
    workspace: str  # The workspace that is next.
    ahead: bool = False  # Whether its slot is still taken.


@dataclass(frozen=True, slots=True)
class NoWork:
    """The answer to a pull when nothing of the workspace waits."""

    pull_id: int  # The pull that this answers.


@dataclass(frozen=True, slots=True)
class Dispatch:
    """One attempt of one request, for one incarnation of an agent."""

    request_id: str  # Which request.
    attempt: int  # Which attempt, from 1.
    pull_id: int  # The pull that this answers; 0: none.
    incarnation: int  # The agent's incarnation that this is meant for.
    workspace: str  # Whose share pays for it.
    service: str  # Which service runs it.
    request_class: RequestClass  # How urgent it is.
    idempotent: bool  # Whether it may run more than once.
    alone: bool  # Whether nothing else may run beside it.
    method: str  # The HTTP method.
    path: str  # The path and query.
    headers: Headers  # The headers.
    body: bytes  # The body.
    stream: bool  # Whether the answer is streamed.
    timeout_ms: int  # Time to the caller's deadline.
    cost_hint: float  # The caller's guess in service units; 0: none.
    model: str = ""  # The model that must be loaded; empty: any.
    fingerprint: int = 0  # Digest of workspace, service and body.


@dataclass(frozen=True, slots=True)
class Refuse:
    """Proof that an attempt was not started and never will be."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.
    reason: RefuseReason  # Why.


@dataclass(frozen=True, slots=True)
class Part:
    """One numbered part of an answer."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.
    sequence: int  # The part's number, from 0.
    kind: PartKind  # What it holds.
    status: int = 0  # HEAD: the HTTP status.
    headers: Headers = ()  # HEAD: the headers.
    data: bytes = b""  # BODY: the bytes.
    outcome: Outcome = Outcome.UNKNOWN  # END: the outcome.
    whole: bool = False  # END: whether the endpoint's answer is complete.
    crashed: bool = False  # END: whether the endpoint crashed under it.
    detail: str = ""  # END: what went wrong; empty: nothing.
    crash: int = 0  # END: which crash of the agent's endpoint; 0: none.


@dataclass(frozen=True, slots=True)
class Ack:
    """The router has every part before this number."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.
    next_sequence: int  # The first part that it does not have.


@dataclass(frozen=True, slots=True)
class Resume:
    """Ask for an answer's parts again after a broken connection."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.
    next_sequence: int  # The first part that the sender does not have.


@dataclass(frozen=True, slots=True)
class Revoke:
    """Ask that an attempt be not started; answered by Refuse or Gone."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.


@dataclass(frozen=True, slots=True)
class Gone:
    """The agent can not resume or revoke an attempt."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.
    outcome: Outcome  # NOT_RUN only if it never was and never will be.


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller left: stop the attempt at the endpoint."""

    request_id: str  # Which request.
    attempt: int  # Which attempt.


@dataclass(frozen=True, slots=True)
class ServedEntry:
    """What one start of one agent has served to one workspace."""

    agent: str  # The agent's name; empty: the sender's own entry.
    incarnation: int  # The agent's incarnation.
    workspace: str  # Who received the service.
    total: float  # Weighted units since the incarnation began; grows.
    in_flight: float  # Weighted units that running requests still owe.
    sequence: int = 0  # The agent's report that this is from.
    folded: bool = False  # Whether it sums all incarnations up to this.


@dataclass(frozen=True, slots=True)
class Served:
    """Changes of the service ledger, from agents and between routers."""

    service: str  # The service whose ledger this is.
    sequence: int  # Grows with each message of this sender.
    entries: tuple[ServedEntry, ...]
    heard: tuple[str, ...] = ()  # Agents that a router hears itself.


@dataclass(frozen=True, slots=True)
class DigestEntry:
    """A workspace's service at every agent but the receiver."""

    workspace: str  # Who received the service.
    total: float  # Sum of the totals that the sender knows.
    in_flight: float  # Sum of the estimates that the sender knows.
    floor: float  # Its lift: weighted units added to its total.


@dataclass(frozen=True, slots=True)
class Digest:
    """The fleet's ledger as a router knows it, without the receiver's."""

    service: str  # The service whose ledger this is.
    sequence: int  # Grows with each message of this sender.
    entries: tuple[DigestEntry, ...]


@dataclass(frozen=True, slots=True)
class Floor:
    """Lifts of workspaces that came back from idle; merged by maximum."""

    service: str  # The service whose ledger this is.
    workspace: str  # The workspace that was lifted.
    floor: float  # Weighted units added to its total from now on.


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """A configuration version for peers that may lack it."""

    version: int  # The version.
    digest: str  # Digest of the body.
    body: bytes  # Canonical JSON; empty: an announcement only.


@dataclass(frozen=True, slots=True)
class ConfigFetch:
    """Ask a peer for its configuration if it is newer."""

    version: int  # The version that the sender has.


@dataclass(frozen=True, slots=True)
class Strike:
    """One endpoint crashed while it ran one kind of request."""

    fingerprint: int  # Digest of the request.
    strike_id: str  # Names the crash, so that copies count once.
    alone: bool  # Whether the request ran alone.
    age_ms: int  # Time since the crash.


@dataclass(frozen=True, slots=True)
class Strikes:
    """Crashes that the sender knows of, and pardons by operators."""

    strikes: tuple[Strike, ...]
    pardons: tuple[int, ...] = ()  # Fingerprints that were lifted.


@dataclass(frozen=True, slots=True)
class Cached:
    """Prefixes that an engine's cache gained or lost."""

    reset: bool  # Whether all earlier prefixes are gone.
    added: tuple[int, ...]  # Digests that the cache now holds.
    dropped: tuple[int, ...]  # Digests that it no longer holds.


@dataclass(frozen=True, slots=True)
class TrialAsk:
    """Ask a router that it runs no request like a suspected one."""

    fingerprint: int  # Which requests.
    number: int  # Names this ask among the sender's own.
    strikes: tuple[Strike, ...]  # What the sender knows of them.


@dataclass(frozen=True, slots=True)
class TrialGrant:
    """The sender runs no such request until it has been granted that."""

    fingerprint: int  # Which requests.
    number: int  # The ask that this answers.
    strikes: tuple[Strike, ...]  # What the sender knows of them.


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
