"""Decoded requests and responses of a fleet that routes by host and path."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

RawHeaders: TypeAlias = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: int
    tokens: int  # The part's length.


def part_name(part_id: int) -> str:
    """Return a part's name in logs, which is its id in hexadecimal.

    :param part_id: the part's id
    """
    return f"{part_id:x}"


@dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a model request's prompt and output."""

    model: str  # The model's name.
    parts: tuple[PromptPart, ...]  # In order; the last one is not shared.
    input_tokens: int  # The length of the prompt.
    output_limit: int  # The largest number of generated tokens.
    output_hint: int = 0  # The caller's estimate of the output; 0: none.

    @property
    def shared_parts(self) -> tuple[int, ...]:
        """Return the ids of the parts that other prompts may share."""
        return tuple(dict.fromkeys(part.part_id for part in self.parts[:-1]))

    @property
    def quota_tokens(self) -> int:
        """Return the tokens charged to the workspace's quota."""
        return self.input_tokens + 2 * (self.output_hint or self.output_limit)


@dataclass(frozen=True, slots=True)
class Call:
    """One caller's request with its decoded headers."""

    request_id: str  # As sent by the caller.
    method: bytes  # The HTTP method.
    target: bytes  # The path and query.
    host: str  # In lower case, without a port.
    path: str  # The path without the query.
    key_digest: bytes | None  # SHA-256 of the key; None: no key was sent.
    timeout_s: float | None  # How long the caller waits; None: not given.
    prompt: Prompt | None  # None: not a model request.
    resume_after: int | None  # Id of the last event that the caller has.
    headers: RawHeaders  # The headers to forward to the endpoint.
    # The id of the request that brought the first event of a stream that is
    # taken up; empty: not given.
    first_request_id: str = ""
    # Whether the caller has events of the stream, of an id or not.
    takes_up: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The decoded head of an endpoint's answer."""

    status: int  # The HTTP status.
    request_id: str  # The request that is answered; empty: not given.
    signed: bool  # Whether it has the endpoint's signature.
    not_executed: bool  # Whether the endpoint did not run the request.
    event_stream: bool  # Whether the body is an event stream.
    encoded: bool  # Whether the body has a content encoding.
    headers: RawHeaders  # The headers to forward to the caller.
    keep_alive_s: float | None = None  # Idle timeout of the connection.
    load: tuple[int, int, int] | None = None  # Running, waiting, slots.
    # How long work takes at the endpoint now, over the usual; 0: not told.
    work_factor: float = 0.0
    # The requests a second that the endpoint takes; None: it names no limit.
    request_limit: float | None = None
    bad_limit: str = ""  # A limit that can not be read, for the log.
    rest_s: float = 0.0  # How long the endpoint wants no request.
    bad_rest: str = ""  # A rest that can not be read, for the log.
    leaving: bool = False  # Whether the endpoint says that it leaves.
    cold_s: float = 0.0  # How long the endpoint stays cold, as it says.


class AnswerProgress(StrEnum):
    """How much of an attempt's answer arrived."""

    NOTHING = "nothing"
    HEAD = "head"
    BODY = "body"  # A part of the body, which may be an event.


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """Values that the router adds to the request for one attempt."""

    endpoint: str  # The id that the endpoint must have.
    workspace: str  # Empty: the request belongs to no workspace.
    remaining_ms: int  # Time until the caller's deadline.
    resume_after: int | None  # Id of the last event that the caller has.
