"""Requests of callers and their outcomes.

A request is *idempotent* if running it twice is harmless.  Its *outcome* is
whether an endpoint ran it: not run, ran, or unknown.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

Headers: TypeAlias = tuple[tuple[str, str], ...]


class Outcome(StrEnum):
    """Whether an endpoint ran a request."""

    NOT_RUN = "not-run"  # No endpoint started it, and none will.
    RAN = "ran"  # An endpoint ran it to the end.
    UNKNOWN = "unknown"  # An endpoint may have started it.


class RequestClass(StrEnum):
    """How urgent a request is within its workspace."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Request:
    """An admitted request with the settings of the rule that matched it."""

    request_id: str  # Unique in the fleet.
    workspace: str  # The workspace that is charged.
    service: str  # The service that runs it.
    rule: str  # The name of the rule that matched.
    request_class: RequestClass
    idempotent: bool  # Whether it may run more than once.
    method: str  # The HTTP method.
    path: str  # The path and query for the endpoint.
    headers: Headers  # The headers to forward to the endpoint.
    body: bytes
    stream: bool  # Whether the caller requested a streamed answer.
    arrived_s: float  # Arrival time on the router's clock.
    deadline_s: float  # When the caller stops waiting, on the same clock.
    cost_hint: float = 0.0  # The caller's estimate in service units; 0: none.
    idempotency_key: str = ""  # The caller's key; empty: none.
    retry_limit: int = 0  # Attempts after the first.
    prefix_digest: int = 0  # Digest of the prompt's beginning; 0: none.
    fingerprint: int = 0  # Digest of workspace, service and body.
    model: str = ""  # The model that the caller requested; empty: none.
