"""Reads a caller's HTTP request within size and time limits.

A request that is too large or too slow is refused before it is examined.
A separate limit covers all bodies that are being read at the same time.
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
    detail: str = ""  # The notice's formatted text.
    retry_after_s: float = 0.0  # For Retry-After; 0: no such header.
    close: bool = False  # Close, as the body may be unread.


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits of request bodies."""

    max_body_bytes: int = 4 << 20  # For one body.
    max_reading_bytes: int = 64 << 20  # For all bodies being read.
    read_timeout_s: float = 30.0  # From the head to the body's end.


@dataclass(slots=True)
class ReadingState:
    """The total of all bodies that are being read."""

    reading_bytes: int = 0  # Received bytes of unfinished bodies.


@dataclass(frozen=True, slots=True)
class Incoming:
    """A caller's request with its complete body."""

    method: str  # The HTTP method.
    path: str  # Not decoded.
    query: str  # Not decoded; empty: none.
    headers: Headers  # Names in lower case.
    body: bytes


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
    :param limits: The limits of bodies.
    :param state: The total of all bodies that are being read.
    :returns: The request or a refusal; None: the caller disconnected.
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
    return body.map(lambda content: _incoming(scope, headers, content))


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
    """Read a body; return None if the caller disconnected."""
    body_bytes = 0
    body = bytearray()
    more = True
    try:
        while more:
            message = await receive()
            if message["type"] != "http.request":
                return None
            piece = message["body"]
            more = message["more_body"]
            body += piece
            body_bytes += len(piece)
            state.reading_bytes += len(piece)
            if body_bytes > limits.max_body_bytes:
                return Error(_refuse_large(limits))
            if state.reading_bytes > limits.max_reading_bytes:
                return Error(Refusal(messages.MEMORY_FULL, "", 1.0, True))
    finally:
        state.reading_bytes -= body_bytes
    return Ok(bytes(body))


def _incoming(scope: Any, headers: Headers, body: bytes) -> Incoming:
    """Return a request with the given body."""
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
    """Return the refusal of a body that exceeded the read time-out."""
    notice = messages.READ_TIMEOUT
    text = notice.format(timeout_s=limits.read_timeout_s)
    return Refusal(notice, text, close=True)
