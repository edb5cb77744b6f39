"""Callers' and endpoints' heads, and what the platform's headers mean."""

from __future__ import annotations

import hashlib
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

REQUEST_ID: Final = b"x-request-id"
SIGNATURE: Final = b"x-response-signature"

# Headers that concern one connection only.
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
        b"expect",
        b"content-length",
    )
)

# Headers that only the system sets.
_OWN: Final = frozenset(
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

# Headers that a caller can not have dropped by naming them as its
# connection's.
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

_ONCE: Final = frozenset(
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
MAX_PROMPT_PARTS: Final = 256


def decode_call(method: bytes, target: bytes, headers: RawHeaders) -> Call:
    """Return what a caller's head means.

    :param method: the HTTP method
    :param target: the path and query
    :param headers: as they were read
    :raises HeadError: if the request has to be refused as malformed
    """
    known: dict[bytes, bytes] = {}
    dropped: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower in _ONCE:
            if lower in known:
                raise HeadError(f"{lower.decode()} is given twice")
            known[lower] = value
        elif lower == b"connection":
            dropped.update(word.strip().lower() for word in value.split(b","))
    if not target.startswith(b"/"):
        raise HeadError("the target is not a path")
    request_id = known.get(REQUEST_ID, b"").decode("latin-1")
    if not request_id or len(request_id) > MAX_REQUEST_ID_CHARS:
        raise HeadError("there is no usable request id")
    dropped -= _END_TO_END
    resume_after = _event_id(known.get(b"last-event-id"))
    own = _OWN if resume_after is not None else _OWN - {b"last-event-id"}
    forwarded = [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _HOP_BY_HOP
        and lower not in own
        and lower not in dropped
    ]
    path = target.partition(b"?")[0].decode("latin-1")
    return Call(
        request_id=request_id,
        method=method,
        target=target,
        host=_host(known.get(b"host", b"")),
        path=path,
        key_digest=_key_digest(known.get(b"authorization")),
        timeout_s=_patience_s(known.get(b"x-deadline-ms")),
        prompt=_prompt(known, headers),
        resume_after=resume_after,
        headers=forwarded,
    )


def digest_of(key: str) -> bytes:
    """Return the digest under which a key is looked up.

    :param key: the key as it was issued
    """
    return hashlib.sha256(key.encode("latin-1", "replace")).digest()


def _host(value: bytes) -> str:
    """Return a host without its port, in lower case."""
    host = value.decode("latin-1").strip().lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _key_digest(value: bytes | None) -> bytes | None:
    """Return the digest of a bearer key; None if there is none."""
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return hashlib.sha256(key.strip()).digest()


def _patience_s(value: bytes | None) -> float | None:
    """Return how long a caller waits; None if it does not say."""
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    if not 0 <= milliseconds < 1e9:
        return None
    return milliseconds / 1000.0


def _event_id(value: bytes | None) -> int | None:
    """Return the last event that a caller has; None if it has none."""
    if value is None or not value.isdigit() or len(value) > 18:
        return None
    return int(value)


def _prompt(known: dict[bytes, bytes], headers: RawHeaders) -> Prompt | None:
    """Return what a request says of its prompt; None: no model's."""
    counts = known.get(b"x-token-counts")
    if counts is None:
        return None
    words = counts.split(b",")
    try:
        input_tokens, output_limit = int(words[0]), int(words[1])
    except (ValueError, IndexError):
        return None
    if not (0 <= input_tokens < 2**31 and 0 <= output_limit < 2**31):
        return None
    hint = next((v for n, v in headers if n.lower() == b"x-length-hint"), b"0")
    output_hint = int(hint) if hint.isdigit() and len(hint) < 10 else 0
    return Prompt(
        model=known.get(b"x-model", b"").decode("latin-1"),
        parts=_parts(known.get(b"x-prompt-prefix", b"")),
        input_tokens=input_tokens,
        output_limit=output_limit,
        output_hint=min(output_hint, output_limit),
    )


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; none if they can not be read."""
    parts = []
    for entry in value.split(b",")[:MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(b":")
        try:
            part = int(name, 16) & (2**63 - 1)
            parts.append(PromptPart(part, int(tokens)))
        except ValueError:
            return ()
    return tuple(parts)


def encode_request(call: Call, body: bytes, passage: AttemptContext) -> bytes:
    """Return a request as an endpoint gets it.

    :param call: the caller's request
    :param body: its whole body
    :param passage: what is added to this attempt
    """
    lines = [b"%b %b HTTP/1.1" % (call.method, call.target)]
    lines += [b"%b: %b" % pair for pair in call.headers]
    lines.append(b"X-Deadline-Ms: %d" % passage.remaining_ms)
    lines.append(b"X-Expect-Instance: " + passage.endpoint.encode("latin-1"))
    if passage.workspace:
        lines.append(b"X-Tenant: " + passage.workspace.encode("latin-1"))
    if passage.resume_after is not None:
        lines.append(b"Last-Event-Id: %d" % passage.resume_after)
    if body or call.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


def decode_answer(status: int, headers: RawHeaders) -> AnswerHead:
    """Return what an endpoint's head means.

    :param status: the HTTP status
    :param headers: as they were read
    """
    known = {name.lower(): value for name, value in headers}
    dropped = {
        word.strip().lower()
        for word in known.get(b"connection", b"").split(b",")
    } - {REQUEST_ID, SIGNATURE, b"content-type"}
    not_executed = b"x-not-executed" in known or status == 421
    return AnswerHead(
        status=status,
        request_id=known.get(REQUEST_ID, b"").decode("latin-1"),
        signed=SIGNATURE in known,
        not_executed=not_executed,
        event_stream=known.get(b"content-type", b"")
        .lower()
        .startswith(b"text/event-stream"),
        encoded=known.get(b"content-encoding", b"identity") != b"identity",
        headers=[
            (name, value)
            for name, value in headers
            if (lower := name.lower()) not in _HOP_BY_HOP
            and lower not in dropped
        ],
        load=_load(known.get(b"x-server-load")),
    )


def _load(value: bytes | None) -> tuple[int, int, int] | None:
    """Return running and waiting requests and slots, if they are told."""
    if value is None:
        return None
    words = value.split(b",")
    if len(words) != 3 or not all(word.strip().isdigit() for word in words):
        return None
    running, waiting, slots = (int(word) for word in words)
    return running, waiting, slots


def refusal_headers(
    request_id: str, retry_after_s: float | None
) -> RawHeaders:
    """Return the headers of an answer of our own.

    :param request_id: the caller's id; empty: it is not known
    :param retry_after_s: when to come back; None: not said
    """
    headers = [(b"Content-Type", b"application/problem+json")]
    if request_id:
        headers.append((b"X-Request-Id", request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    return headers
