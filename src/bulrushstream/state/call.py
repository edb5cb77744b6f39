"""One caller's request as a routing router sees it, before it is placed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

RawHeaders: TypeAlias = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A piece of a prompt that other requests may share."""

    part: int  # Its id.
    tokens: int  # Its length.


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request for a model says of its cost."""

    model: str  # The model's name.
    parts: tuple[PromptPart, ...]  # In order; the last is its own.
    input_tokens: int  # The length of the prompt.
    output_limit: int  # The most tokens that may be generated.
    output_hint: int = 0  # The caller's rough guess; 0: none.

    @property
    def quota_tokens(self) -> int:
        """Return what the request counts against a workspace's share."""
        return self.input_tokens + 2 * (self.output_hint or self.output_limit)


@dataclass(frozen=True, slots=True)
class Call:
    """One request with what its headers mean."""

    request_id: str  # As the caller sent it.
    method: bytes  # The HTTP method.
    target: bytes  # The path and query.
    host: str  # In lower case, without a port.
    path: str  # The path without the query.
    key_digest: bytes | None  # SHA-256 of the key; None: none was sent.
    patience_s: float | None  # How long the caller waits; None: unsaid.
    prompt: Prompt | None  # None: no request for a model.
    resume_after: int | None  # The last event that the caller has.
    headers: RawHeaders  # Those that go on to the endpoint.


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of an endpoint's answer means."""

    status: int  # The HTTP status.
    request_id: str  # Whose answer it is; empty: not said.
    signed: bool  # Whether it bears the endpoint's signature.
    not_executed: bool  # Whether the endpoint did not run the request.
    event_stream: bool  # Whether the body is a stream of events.
    encoded: bool  # Whether the body is not the endpoint's own bytes.
    headers: RawHeaders  # Those that go on to the caller.
    keep_alive_s: float | None = None  # How long it keeps idle ones.
    load: tuple[int, int, int] | None = None  # Running, waiting, slots.


@dataclass(frozen=True, slots=True)
class Passage:
    """What the system adds to one attempt of a request."""

    endpoint: str  # The id that the endpoint must have.
    workspace: str  # Whose request it is; empty: nobody's.
    left_ms: int  # How long the caller still waits.
    resume_after: int | None  # The last event that the caller has.
