"""How the end of a response is shown, and heads that do not tell it rightly.

The rules are those of RFC 9112, sections 6.1 and 6.3.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Final

from bulrushstream.state.call import RawHeaders

_TRANSFER_ENCODING: Final = b"transfer-encoding"

# Statuses of responses without a body.
_BODILESS: Final = (204, 304)

# All that the parser, too, takes for chunks alone.
_CHUNKED: Final = re.compile(rb"[ ,]*chunked *", re.IGNORECASE)
_ZERO: Final = re.compile(rb"0+[ \t]*")

# A last chunk, of which earlier reads may have the beginning, and behind it
# another one, of which later reads may have the end.
FALSE_END: Final = re.compile(
    rb"(?:(?:0|\A)\r\n\r\n|\A\n\r\n|\A\r?\n)[0-9A-Fa-f]+(?:\r\n|\r\Z)"
)

# How bytes behind a last chunk begin if the body goes on.
NEXT_CHUNK: Final = re.compile(rb"[\r\n]*[0-9A-Fa-f]+(?:[;\r]|\Z)")


class Framing(StrEnum):
    """How the end of a response is shown."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"  # By the end of the connection only.


def framing_of(status: int, headers: RawHeaders) -> Framing:
    """Return how the end of a response is shown.

    :param status: the HTTP status
    :param headers: its headers, in which `head_fault` finds no fault
    """
    if status in _BODILESS:
        return Framing.NO_BODY
    names = {name.lower() for name, _ in headers}
    if _TRANSFER_ENCODING in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE


def head_fault(status: int, headers: RawHeaders) -> str:
    """Return why the end of a response can not be told; empty: it can.

    The parser has refused other faults.

    :param status: the HTTP status
    :param headers: its headers
    """
    if not 100 <= status < 600:
        return f"status {status}"
    if status < 200:
        return ""  # It has no body, and another one follows.
    codings = [
        value for name, value in headers if name.lower() == _TRANSFER_ENCODING
    ]
    if codings and not (len(codings) == 1 and _CHUNKED.fullmatch(codings[0])):
        return "its transfer coding is not chunked"
    if status == 204 and announces_body(headers):
        return "status 204 with a body"
    return ""


def announces_body(headers: RawHeaders) -> bool:
    """Return whether headers tell of a body that is not empty.

    :param headers: the headers of a response
    """
    for name, value in headers:
        lower = name.lower()
        if lower == _TRANSFER_ENCODING:
            return True
        if lower == b"content-length" and not _ZERO.fullmatch(value):
            return True
    return False
