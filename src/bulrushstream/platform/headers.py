"""Decode and encode HTTP heads with the platform's headers."""

from __future__ import annotations

import hashlib
import re
from typing import Final

from bulrushstream.protocol.dialect import HeadError
from bulrushstream.state.call import (
    AnswerHead,
    AttemptContext,
    Call,
    Prompt,
    PromptPart,
    RawHeaders,
)
from bulrushstream.state.routes import EndpointEntry

REQUEST_ID: Final = b"x-request-id"
SIGNATURE: Final = b"x-response-signature"
FIRST_REQUEST_ID: Final = b"resumes"

# Headers that apply to one connection and are not forwarded.
_HOP_BY_HOP: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"http2-settings",
        b"expect",
        b"content-length",
    )
)

# Headers that only the system may set; a caller's are not forwarded.
_RESERVED: Final = frozenset(
    (
        b"authorization",
        b"x-deadline-ms",
        b"x-tenant",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"last-event-id",
    )
)

# Headers that are forwarded even if the Connection header lists them.
_END_TO_END: Final = frozenset(
    (
        b"host",
        REQUEST_ID,
        b"x-model",
        b"x-token-counts",
        b"x-prompt-prefix",
        b"x-length-hint",
        b"content-type",
    )
)

# Headers that a request may have only once.
_SINGLE_VALUED: Final = frozenset(
    (
        b"host",
        REQUEST_ID,
        b"x-deadline-ms",
        b"x-model",
        b"x-token-counts",
        b"x-prompt-prefix",
        b"last-event-id",
        b"authorization",
    )
)

MAX_REQUEST_ID_CHARS: Final = 256
MAX_BAD_LIMIT_CHARS: Final = 40

# A limit in requests a second above this one is no limit in practice.
MAX_REQUEST_LIMIT: Final = 1e6

# An endpoint where work takes longer than this does none in practice.
MAX_WORK_PERCENT: Final = 1e6

# A rest above this one is endless in practice.
MAX_REST_S: Final = 1e6

_NUMBER: Final = re.compile(rb"[0-9]{1,300}(\.[0-9]{0,300})?|\.[0-9]{1,300}")
_COUNT: Final = re.compile(rb"[ \t]*[0-9]{1,9}[ \t]*")
MAX_PROMPT_PARTS: Final = 256


def decode_call(method: bytes, target: bytes, headers: RawHeaders) -> Call:
    """Decode the head of a caller's request.

    :param method: the HTTP method
    :param target: the path and query
    :param headers: the headers as received
    :raises HeadError: if the head is malformed
    """
    values: dict[bytes, bytes] = {}
    connection_options: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower in _SINGLE_VALUED:
            if lower in values:
                raise HeadError(f"{lower.decode()} is given twice")
            values[lower] = value
        elif lower == b"connection":
            connection_options.update(
                word.strip().lower() for word in value.split(b",")
            )
    if not target.startswith(b"/"):
        raise HeadError("the target is not a path")
    request_id = values.get(REQUEST_ID, b"").decode("latin-1")
    if not request_id or len(request_id) > MAX_REQUEST_ID_CHARS:
        raise HeadError("there is no usable request id")
    connection_options -= _END_TO_END
    resume_after = _parse_event_id(values.get(b"last-event-id"))
    first_ids = [v for n, v in headers if n.lower() == FIRST_REQUEST_ID]
    reserved = (
        _RESERVED
        if resume_after is not None
        else _RESERVED - {b"last-event-id"}
    )
    forwarded = [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _HOP_BY_HOP
        and lower not in reserved
        and lower not in connection_options
    ]
    path = target.partition(b"?")[0].decode("latin-1")
    return Call(
        request_id=request_id,
        method=method,
        target=target,
        host=_strip_port(values.get(b"host", b"")),
        path=path,
        key_digest=_bearer_digest(values.get(b"authorization")),
        timeout_s=_timeout_s(values.get(b"x-deadline-ms")),
        prompt=_parse_prompt(values, headers),
        resume_after=resume_after,
        headers=forwarded,
        first_request_id=_parse_first_id(first_ids),
        takes_up=b"last-event-id" in values,
    )


def digest_key(key: str) -> bytes:
    """Return the SHA-256 digest that identifies an API key.

    :param key: the API key
    """
    return hashlib.sha256(key.encode()).digest()


def _strip_port(value: bytes) -> str:
    """Return a Host header's value without the port, in lower case."""
    host = value.decode("latin-1").strip().lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _bearer_digest(value: bytes | None) -> bytes | None:
    """Return the digest of a bearer key; None if no key was sent."""
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return hashlib.sha256(key.strip()).digest()


def _timeout_s(value: bytes | None) -> float | None:
    """Return a caller's timeout; None if it is absent or invalid."""
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    if not 0 <= milliseconds < 1e9:
        return None
    return milliseconds / 1000.0


def _parse_event_id(value: bytes | None) -> int | None:
    """Return the last event id; None if it is absent or invalid."""
    if value is None or not value.isdigit() or len(value) > 18:
        return None
    return int(value)


def _parse_first_id(values: list[bytes]) -> str:
    """Return the id of a stream's first request; empty if it is invalid."""
    if len(values) != 1 or len(values[0]) > MAX_REQUEST_ID_CHARS:
        return ""
    return values[0].strip().decode("latin-1")


def _parse_prompt(
    values: dict[bytes, bytes], headers: RawHeaders
) -> Prompt | None:
    """Decode a prompt's sizes; None if it is not a model request."""
    counts = values.get(b"x-token-counts")
    if counts is None:
        return None
    fields = counts.split(b",")
    try:
        input_tokens, output_limit = int(fields[0]), int(fields[1])
    except (ValueError, IndexError):
        return None
    if not (0 <= input_tokens < 2**31 and 0 <= output_limit < 2**31):
        return None
    hint = next((v for n, v in headers if n.lower() == b"x-length-hint"), b"0")
    output_hint = int(hint) if hint.isdigit() and len(hint) < 10 else 0
    return Prompt(
        model=values.get(b"x-model", b"").decode("latin-1"),
        parts=_parse_parts(values.get(b"x-prompt-prefix", b"")),
        input_tokens=input_tokens,
        output_limit=output_limit,
        output_hint=min(output_hint, output_limit),
    )


def _parse_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; empty if any of them is malformed."""
    parts = []
    for entry in value.split(b",")[:MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(b":")
        try:
            part_id = int(name, 16) & (2**63 - 1)
        except ValueError:
            return ()
        if not _COUNT.fullmatch(tokens):
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def encode_request(call: Call, body: bytes, context: AttemptContext) -> bytes:
    """Encode the request that is sent to an endpoint.

    :param call: the caller's request
    :param body: the complete body
    :param context: the values that are added for this attempt
    """
    lines = [b"%b %b HTTP/1.1" % (call.method, call.target)]
    lines += [b"%b: %b" % pair for pair in call.headers]
    lines.append(b"X-Deadline-Ms: %d" % context.remaining_ms)
    lines.append(b"X-Expect-Instance: " + context.endpoint.encode("latin-1"))
    if context.workspace:
        lines.append(b"X-Tenant: " + context.workspace.encode())
    if context.resume_after is not None:
        lines.append(b"Last-Event-Id: %d" % context.resume_after)
    if body or call.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


def encode_probe(path: str, entry: EndpointEntry) -> bytes:
    """Encode a request for an endpoint's id.

    :param path: the health path of the endpoint's service
    :param entry: the endpoint
    """
    lines = (
        f"GET {path} HTTP/1.1",
        f"Host: {entry.host}:{entry.port}",
        f"X-Expect-Instance: {entry.endpoint}",
    )
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode_report_call(entry: EndpointEntry) -> bytes:
    """Encode a request for an endpoint's report on itself.

    :param entry: the endpoint
    """
    return encode_probe("/v1/report", entry)


def decode_probe(status: int, headers: RawHeaders) -> str | None:
    """Return the endpoint's id in the answer to a probe.

    :param status: the HTTP status
    :param headers: the headers as received
    :returns: the id; empty if there is none; None if the endpoint says that
        it is not the expected one
    """
    if status == 421:
        return None
    values = {name.lower(): value for name, value in headers}
    return values.get(b"x-instance-id", b"").decode("latin-1")


def decode_answer(status: int, headers: RawHeaders) -> AnswerHead:
    """Decode the head of an endpoint's response.

    :param status: the HTTP status
    :param headers: the headers as received
    """
    values = {name.lower(): value for name, value in headers}
    connection_options = {
        word.strip().lower()
        for word in values.get(b"connection", b"").split(b",")
    } - {REQUEST_ID, SIGNATURE, b"content-type"}
    not_executed = b"x-not-executed" in values or status == 421
    request_limit, bad_limit = _parse_limits(headers)
    load, work_factor = _parse_load(values.get(b"x-server-load"))
    rest_s, bad_rest = 0.0, ""
    if status == 503:
        rest_s, bad_rest = _parse_rests(headers)
    return AnswerHead(
        status=status,
        request_id=values.get(REQUEST_ID, b"").decode("latin-1"),
        signed=SIGNATURE in values,
        not_executed=not_executed,
        event_stream=values.get(b"content-type", b"")
        .lower()
        .startswith(b"text/event-stream"),
        encoded=values.get(b"content-encoding", b"identity") != b"identity",
        headers=[
            (name, value)
            for name, value in headers
            if (lower := name.lower()) not in _HOP_BY_HOP
            and lower not in connection_options
        ],
        load=load,
        work_factor=work_factor,
        request_limit=request_limit,
        bad_limit=bad_limit,
        rest_s=rest_s,
        bad_rest=bad_rest,
        leaving=any(
            name.lower() == b"server-leaving" and value.strip() == b"1"
            for name, value in headers
        ),
        cold_s=_parse_cold(headers) if b"x-cold-ms" in values else 0.0,
    )


def _parse_load(
    value: bytes | None,
) -> tuple[tuple[int, int, int] | None, float]:
    """Return the load of an endpoint, and how long work takes there.

    The load is running requests, waiting requests and slots; a fourth value
    is the time that work takes now, in percent of the usual.  A value that
    is not all of this carries no information: its parts may be shifted.

    :returns: the load, None if it is not reported, and the time that work
        takes over the usual, 0 if it is not reported
    """
    if value is None:
        return None, 0.0
    counts = value.split(b",")
    if not 3 <= len(counts) <= 4:
        return None, 0.0
    if not all(_COUNT.fullmatch(count) for count in counts[:3]):
        return None, 0.0
    running, waiting, slots = (int(count) for count in counts[:3])
    if len(counts) == 3:
        return (running, waiting, slots), 0.0
    if not _NUMBER.fullmatch(counts[3].strip()):
        return None, 0.0
    factor = min(MAX_WORK_PERCENT, float(counts[3])) / 100.0
    return (running, waiting, slots), factor


def _parse_limits(headers: RawHeaders) -> tuple[float | None, str]:
    """Return the lowest limit that an answer names, and one that is none."""
    limit: float | None = None
    bad = ""
    for name, value in headers:
        if name.lower() != b"server-limit":
            continue
        for text in value.split(b","):
            if _NUMBER.fullmatch(text.strip()):
                named = min(MAX_REQUEST_LIMIT, float(text))
                limit = named if limit is None else min(limit, named)
            else:
                bad = text.strip().decode("latin-1")[:MAX_BAD_LIMIT_CHARS]
                bad = bad or "(empty)"
    return limit, bad


def _parse_cold(headers: RawHeaders) -> float:
    """Return the longest time for which an answer says that it is cold.

    What is no number carries no information.
    """
    cold_s = 0.0
    for name, value in headers:
        if name.lower() == b"x-cold-ms" and _NUMBER.fullmatch(value.strip()):
            cold_s = max(cold_s, min(MAX_REST_S, float(value) / 1000.0))
    return cold_s


def _parse_rests(headers: RawHeaders) -> tuple[float, str]:
    """Return the longest rest that an answer asks for, and one that is none.

    A date is none: the endpoint's clock may differ from the router's.
    """
    rest_s, bad = 0.0, ""
    for name, value in headers:
        if name.lower() != b"retry-after":
            continue
        # A date contains a comma, and its parts are no numbers.
        for text in value.split(b","):
            if _NUMBER.fullmatch(text.strip()):
                rest_s = max(rest_s, min(MAX_REST_S, float(text)))
            else:
                bad = value.strip().decode("latin-1")[:MAX_BAD_LIMIT_CHARS]
                bad = bad or "(empty)"
    return rest_s, bad


def refusal_headers(
    request_id: str, retry_after_s: float | None
) -> RawHeaders:
    """Return the headers of a response that the router itself makes.

    :param request_id: the caller's request id; empty: not known
    :param retry_after_s: the value of Retry-After; None: no such header
    """
    headers = [(b"Content-Type", b"application/problem+json")]
    if request_id:
        headers.append((b"X-Request-Id", request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    return headers
