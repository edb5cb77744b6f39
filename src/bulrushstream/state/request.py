"""One caller's request and what became of it.

A request is *idempotent* if running it twice does no harm.  Its *outcome*
says whether an endpoint ran it: not run, ran, or unknown.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

Headers: TypeAlias = tuple[tuple[str, str], ...]


class Outcome(StrEnum):
    """Whether an endpoint ran a request."""

    NOT_RUN = "not-run"  # No endpoint started it, and none will.
    RAN = "ran"  # An endpoint ran it to its end.
    UNKNOWN = "unknown"  # An endpoint may have started it.


class RequestClass(StrEnum):
    """How urgent a request is within its workspace."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Request:
    """One admitted request, as the rule that matched it decided."""

    request_id: str  # Unique in the fleet.
    workspace: str  # Whose share pays for it.
    service: str  # Which service runs it.
    rule: str  # The name of the rule that matched.
    request_class: RequestClass  # How urgent it is.
    idempotent: bool  # Whether it may run more than once.
    method: str  # The HTTP method for the endpoint.
    path: str  # The path and query for the endpoint.
    headers: Headers  # The headers that go on to the endpoint.
    body: bytes  # The body that goes on to the endpoint.
    stream: bool  # Whether the caller wants a streamed answer.
    arrived_s: float  # When it arrived, on the router's clock.
    deadline_s: float  # When its caller gives up, on the same clock.
    cost_hint: float = 0.0  # The caller's guess in service units; 0: none.
    idempotency_key: str = ""  # The caller's key; empty: none.
    retry_limit: int = 0  # How many attempts may follow the first.
    prefix_digest: int = 0  # Digest of the prompt's beginning; 0: none.
    fingerprint: int = 0  # Digest of workspace, service and body.
    model: str = ""  # The model that the caller named; empty: none.
