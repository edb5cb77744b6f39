"""What operators ask of where a request would go, and the answer."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Question:
    """A request as its caller would send it."""

    path: str  # With the query, if any.
    host: str = ""  # Empty: as in the headers.
    method: str = "GET"
    headers: dict[str, str] = field(default_factory=dict)
    body: str = ""  # Matters for requests that crashed endpoints or return.


@dataclass(frozen=True, slots=True)
class EnginePrediction:
    """The predicted course of the request on a model engine."""

    wait_s: float  # The prefill of other requests before it.
    prefill_s: float  # Its own uncached prefill.
    prefill_tokens: float  # Uncached tokens, with the cost of attention.
    cached_tokens: int
    has_capacity: bool  # Whether a slot and enough memory are free.
    preference_cost_s: float  # As it prefers prompts of the other class.


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """One endpoint of the request's service."""

    endpoint: str  # The endpoint's id.
    zone: str
    version: str
    excluded: tuple[str, ...]  # Why it is no candidate; empty: it is one.
    requests: int  # In flight, from all routers.
    speed: float  # By what predicted work is multiplied.
    cold_s: float  # How long it stays cold; 0: it is not.
    cold_wait_s: float  # Until it may get a request as it is cold; 0: now.
    limit_per_s: float | None  # The limit that it names; None: none.
    limit_wait_s: float  # Until that limit has room; 0: now.
    prefers: str  # "long" or "short" prompts; empty: no preference.
    prediction: EnginePrediction | None  # None: not a request for a model.


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now, and why."""

    sent: bool  # Whether it would be sent; else it would be refused.
    reason: str
    code: str = ""  # The code of the refusal.
    wait_s: float = 0.0  # Until it may be served; 0: not known.
    endpoint: str = ""  # Where it would be sent.
    route: str = ""
    service: str = ""
    workspace: str = ""  # Empty: none.
    share_used: float = 0.0  # The used part of its workspace's share.
    notes: tuple[str, ...] = ()  # What the explanation leaves out.
    endpoints: tuple[EndpointStatus, ...] = ()
