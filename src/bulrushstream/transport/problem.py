"""Encodes refusals and failures as problem documents (RFC 9457)."""

from __future__ import annotations

import math
from typing import Final

import msgspec

from bulrushstream import messages
from bulrushstream.messages import Notice
from bulrushstream.state.request import Outcome

PROBLEM_TYPE: Final = b"application/problem+json"
REQUEST_ID_HEADER: Final = b"bulrushstream-request-id"
EXECUTION_HEADER: Final = b"bulrushstream-execution"

RawHeaders = list[tuple[bytes, bytes]]

_NOTICES: Final = {
    notice.code: notice
    for notice in vars(messages).values()
    if isinstance(notice, Notice)
}


class Problem(msgspec.Struct, frozen=True):
    """The members of a problem document."""

    type: str  # The URN of the kind of problem.
    title: str  # The notice's text.
    status: int  # The HTTP status.
    code: str  # The stable code.
    execution: str  # Whether an endpoint ran the request.
    detail: str = ""  # Details of this occurrence.
    request_id: str = ""  # Empty: no id was assigned.


def notice_of(code: str) -> Notice:
    """Return the notice with a code.

    :param code: A code of the catalogue.
    :returns: The notice.
    :raises KeyError: If no notice has this code.
    """
    return _NOTICES[code]


def encode_problem(
    notice: Notice,
    outcome: Outcome = Outcome.NOT_RUN,
    request_id: str = "",
    detail: str = "",
    status: int = 0,
    **values: object,
) -> bytes:
    """Encode a problem document.

    :param notice: The kind of problem.
    :param outcome: Whether an endpoint ran the request.
    :param request_id: The request's id; empty: none was assigned.
    :param detail: Details of this occurrence.
    :param status: The HTTP status; 0: the notice's own.
    :param values: Values for the notice's text.
    :returns: The document as JSON.
    """
    problem = Problem(
        type=f"urn:bulrushstream:{notice.code}",
        title=_fill(notice, detail, values),
        status=status or notice.status,
        code=notice.code,
        execution=outcome.value,
        detail=detail,
        request_id=request_id,
    )
    return msgspec.json.encode(problem)


def problem_headers(
    size_bytes: int,
    outcome: Outcome = Outcome.NOT_RUN,
    request_id: str = "",
    retry_after_s: float = 0.0,
) -> RawHeaders:
    """Return the headers of a problem document.

    :param size_bytes: The document's length.
    :param outcome: Whether an endpoint ran the request.
    :param request_id: The request's id; empty: none was assigned.
    :param retry_after_s: For Retry-After, in seconds; 0: no such header.
    :returns: The headers.
    """
    headers = [
        (b"content-type", PROBLEM_TYPE),
        (b"content-length", b"%d" % size_bytes),
        (EXECUTION_HEADER, outcome.value.encode()),
    ]
    if request_id:
        headers.append((REQUEST_ID_HEADER, request_id.encode()))
    if retry_after_s > 0:
        headers.append((b"retry-after", b"%d" % math.ceil(retry_after_s)))
    return headers


def _fill(notice: Notice, detail: str, values: dict[str, object]) -> str:
    """Return the notice's formatted text.

    Without the values, return the detail: a core formats the text itself.
    """
    try:
        return notice.format(**values)
    except KeyError:
        return detail or notice.text
