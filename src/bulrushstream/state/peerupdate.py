"""Updates that routers exchange about the requests that they place.

An *update* collects the changes at one router within a few milliseconds.  A
lost update is not sent again: later updates correct its effects, or they
expire.  The totals of workspaces make up for all lost updates before them.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushstream.state.evacuation import EvacuationReport
from bulrushstream.state.partevidence import PartProof, PartStrikes
from bulrushstream.state.returns import ReturnPromise
from bulrushstream.state.streamorigin import StreamOrigin


@dataclass(frozen=True, slots=True)
class RequestPlaced:
    """A request was sent to an endpoint."""

    call_id: int  # Unique in the fleet.
    endpoint: str  # The endpoint's id.
    part_ids: tuple[int, ...] = ()  # The ids of the prompt's parts.
    part_tokens: tuple[int, ...] = ()  # Their lengths in tokens.
    input_tokens: int = 0  # The prompt's length; 0: not a model request.
    output_tokens: int = 0  # The expected number of generated tokens.
    born: str = ""  # The start of the endpoint's process; empty: not told.


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """The first event of a response, or a plain endpoint's answer, arrived."""

    call_id: int
    prefill_tokens_per_s: int = 0  # Observed by the router; 0: unknown.
    took_ms: int = 0  # Since the request was sent; 0: not known.
    # How long work takes at the endpoint now, over the usual, as it told the
    # router; 0: not told.
    work_percent: int = 0


@dataclass(frozen=True, slots=True)
class WorkspaceTotals:
    """A workspace's demand and grants since a router began to count."""

    workspace: str  # The workspace's name.
    requested_tokens: int  # Tokens of all requests, served or not.
    granted_tokens: int  # Tokens of requests that an engine got.
    counted_s: float  # How long ago both were zero.


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """A request was in flight when an endpoint crashed."""

    fingerprint: int  # Digest of the request, a signed 64-bit number.
    endpoint: str  # The endpoint's id.
    age_s: float = 0.0  # How long ago it crashed.
    # Whether it is only suspected that the endpoint crashed.
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class EndpointLimit:
    """How many requests a second an endpoint takes from all routers."""

    endpoint: str  # The endpoint's id.
    per_s: float | None  # None: it names no limit any more.
    age_s: float = 0.0  # How long ago an answer said so.
    born: str = ""  # The start of the endpoint's process; empty: not told.


@dataclass(frozen=True, slots=True)
class ColdEndpoint:
    """An endpoint that is cold."""

    endpoint: str  # The endpoint's id.
    left_s: float  # How much longer, when the update is sent.


@dataclass(frozen=True, slots=True)
class LatelyMixed:
    """A service that had several versions lately, and has one now."""

    service: str  # The service's name.
    age_s: float  # How long ago the sender's list named several.


@dataclass(frozen=True, slots=True)
class RepeatedReports:
    """What a heartbeat repeats, for peers that missed it."""

    crash_suspects: tuple[CrashSuspect, ...] = ()
    part_strikes: tuple[PartStrikes, ...] = ()
    part_proofs: tuple[PartProof, ...] = ()
    limits: tuple[EndpointLimit, ...] = ()
    mixed_services: tuple[str, ...] = ()
    # Ids, and the starts of the processes.
    leaving_endpoints: tuple[tuple[str, str], ...] = ()
    evacuations: EvacuationReport | None = None
    cold_endpoints: tuple[ColdEndpoint, ...] = ()
    list_age_s: float | None = None  # See `PeerUpdate`.
    lately_mixed: tuple[LatelyMixed, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """Changes at one router."""

    instance: str  # The router's name.
    incarnation: int  # Grows with each start of the router.
    host: str  # The router's IP address.
    placements: tuple[RequestPlaced, ...] = ()
    first_events: tuple[FirstEvent, ...] = ()
    ended_calls: tuple[int, ...] = ()  # Call ids of requests that ended.
    totals: tuple[WorkspaceTotals, ...] = ()  # Those that changed lately.
    crash_suspects: tuple[CrashSuspect, ...] = ()
    cleared: tuple[int, ...] = ()  # Fingerprints that an endpoint answered.
    part_strikes: tuple[PartStrikes, ...] = ()
    part_proofs: tuple[PartProof, ...] = ()
    limits: tuple[EndpointLimit, ...] = ()
    origins: tuple[StreamOrigin, ...] = ()
    asked_origins: tuple[int, ...] = ()  # Streams whose origin it asks for.
    # Services whose endpoints have several versions.
    mixed_services: tuple[str, ...] = ()
    lately_mixed: tuple[LatelyMixed, ...] = ()  # Only in heartbeats.
    # How long ago the router read the endpoint list; None: not told.
    list_age_s: float | None = None
    # Ids of endpoints that say in their answers that they leave.
    leaving_endpoints: tuple[str, ...] = ()
    # The starts of their processes, in this order; empty if none is told.
    leaving_starts: tuple[str, ...] = ()
    cold_endpoints: tuple[ColdEndpoint, ...] = ()
    promises: tuple[ReturnPromise, ...] = ()  # To callers it refused.
    returned: tuple[int, ...] = ()  # Digests of requests that returned.
    known_hosts: tuple[str, ...] = ()  # IP addresses of some of its peers.
    zone: str = ""  # The router's availability zone; only in heartbeats.
    # Whether a receiver in another zone passes it on to that zone's routers.
    pass_on: bool = False
    leaving: bool = False  # Whether it is stopping.
    # None: it knows of none yet, or says nothing of them.
    evacuations: EvacuationReport | None = None
