"""Reading a caller's HTTP request within its limits.

A caller that sends too much or too slowly is refused before its request
is looked at, and all bodies that are being read have a limit together.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from bulrushstream import messages
from bulrushstream.messages import Notice
from bulrushstream.state.request import Headers


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not admitted."""

    notice: Notice  # The kind of refusal.
    detail: str = ""  # The notice's text with its values.
    retry_after_s: float = 0.0  # When to come back; 0: not said.
    close: bool = False  # Whether the body was left unread.


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """What callers' bodies may take."""

    max_body_bytes: int = 4 << 20  # One body.
    max_reading_bytes: int = 64 << 20  # All bodies that are being read.
    read_timeout_s: float = 30.0  # From the head to the body's end.


@dataclass(slots=True)
class ReadingState:
    """The bodies that are being read."""

    reading_bytes: int = 0  # What they hold together.


@dataclass(frozen=True, slots=True)
class Incoming:
    """A caller's request with its whole body."""

    method: str  # The HTTP method.
    path: str  # The path as the caller sent it.
    query: str  # The query; empty: none.
    headers: Headers  # All headers, names in lower case.
    body: bytes  # The body.


def decode_headers(scope: Any) -> Headers:
    """Return a request's headers as text, names in lower case.

    :param scope: The ASGI scope.
    :returns: The headers.
    """
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )


async def read_incoming(
    scope: Any,
    headers: Headers,
    receive: Any,
    limits: BodyLimits,
    state: ReadingState,
) -> Result[Incoming, Refusal] | None:
    """Read a caller's request.

    :param scope: The ASGI scope.
    :param headers: Its headers as text.
    :param receive: The ASGI receive function.
    :param limits: What bodies may take.
    :param state: The bodies that are being read.
    :returns: The request or a refusal; None: the caller left.
    """
    length = find_header(headers, "content-length")
    if length.isdigit() and int(length) > limits.max_body_bytes:
        return Error(_refuse_large(limits))
    try:
        async with asyncio.timeout(limits.read_timeout_s):
            body = await _read_body(receive, limits, state)
    except TimeoutError:
        return Error(_refuse_slow(limits))
    if body is None:
        return None
    return body.map(lambda whole: _incoming(scope, headers, whole))


def find_header(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string.

    :param headers: The headers, names in lower case.
    :param name: The name in lower case.
    :returns: The value.
    """
    for key, value in headers:
        if key == name:
            return value
    return ""


async def _read_body(
    receive: Any, limits: BodyLimits, state: ReadingState
) -> Result[bytes, Refusal] | None:
    """Read a whole body; None: the caller left."""
    held_bytes = 0
    pieces: list[bytes] = []
    more = True
    try:
        while more:
            message = await receive()
            if message["type"] != "http.request":
                return None
            pieces.append(message["body"])
            more = message["more_body"]
            held_bytes += len(pieces[-1])
            state.reading_bytes += len(pieces[-1])
            if held_bytes > limits.max_body_bytes:
                return Error(_refuse_large(limits))
            if state.reading_bytes > limits.max_reading_bytes:
                return Error(Refusal(messages.MEMORY_FULL, "", 1.0, True))
    finally:
        state.reading_bytes -= held_bytes
    return Ok(b"".join(pieces))


def _incoming(scope: Any, headers: Headers, body: bytes) -> Incoming:
    """Return a request that was read."""
    return Incoming(
        scope["method"],
        scope["raw_path"].decode("ascii"),
        scope["query_string"].decode("ascii"),
        headers,
        body,
    )


def _refuse_large(limits: BodyLimits) -> Refusal:
    """Return the refusal of a body that is too large."""
    notice = messages.BODY_TOO_LARGE
    text = notice.format(limit_bytes=limits.max_body_bytes)
    return Refusal(notice, text, close=True)


def _refuse_slow(limits: BodyLimits) -> Refusal:
    """Return the refusal of a body that does not arrive."""
    notice = messages.READ_TIMEOUT
    text = notice.format(timeout_s=limits.read_timeout_s)
    return Refusal(notice, text, close=True)
