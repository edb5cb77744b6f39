"""Turns a caller's HTTP request into an admitted request or a refusal.

All checks that need no queue are made here: the token, the limits of the
body, the rules.  Such a refusal guarantees that the request was not run.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import Final
from urllib.parse import unquote

from expression import Error, Ok, Result

from bulrushstream import messages
from bulrushstream.coordination.matching import (
    ConfigIndex,
    Rejection,
    RequestFacts,
    ResolvedTreatment,
    authenticate,
    match,
)
from bulrushstream.protocol.prompt import (
    ChatBody,
    decode_chat,
    fingerprint,
    prefix_digest,
)
from bulrushstream.state.config import ServiceUnit
from bulrushstream.state.request import Headers, Request
from bulrushstream.transport.incoming import BodyLimits as BodyLimits
from bulrushstream.transport.incoming import Incoming, Refusal, find_header
from bulrushstream.transport.port import RouterPort

CHAT_PATH: Final = "/v1/chat/completions"
SERVICES_PREFIX: Final = "/services/"
HEADER_PREFIX: Final = "bulrushstream-"
COST_HEADER: Final = "bulrushstream-cost"
TIMEOUT_HEADER: Final = "bulrushstream-timeout"
KEY_HEADER: Final = "idempotency-key"
MAX_KEY_CHARS: Final = 255
_SLASHES: Final = re.compile("/{2,}")

# Hop-by-hop headers, the caller's credentials, and headers that the fleet
# itself sends to engines.  They are not forwarded, nor are headers with
# HEADER_PREFIX.
DROPPED_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "http2-settings",
        "expect",
        "host",
        "content-length",
        "authorization",
        "x-request-id",
        "x-resume-offset",
    }
)


@dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller, known before the body is read."""

    workspace: str  # The workspace of the token.
    index: ConfigIndex  # The configuration for this request.


def identify(headers: Headers, port: RouterPort) -> Result[Caller, Refusal]:
    """Authenticate a caller, so that only callers with a token send a body.

    :param headers: The request's headers, names in lower case.
    :param port: The router.
    :returns: The caller, or why the request is refused.
    """
    index = port.config()
    if port.draining():
        return Error(Refusal(messages.DRAINING, "", 1.0, True))
    if index is None:
        return Error(Refusal(messages.NOT_READY, "", 1.0, True))
    workspace = authenticate(index, bearer_token(headers))
    if workspace is None:
        return Error(Refusal(messages.NO_TOKEN, close=True))
    return Ok(Caller(workspace, index))


def admit(
    caller: Caller, incoming: Incoming, port: RouterPort
) -> Result[Request, Refusal]:
    """Check a request and resolve its rule.

    :param caller: The caller.
    :param incoming: The request as received.
    :param port: The router.
    :returns: The request for the router core, or why it is refused.
    """
    if has_dot_segment(incoming.path):
        return Error(_refuse_malformed("the path has a dot segment"))
    service = service_name(incoming.path)
    if service is None:
        return Error(Refusal(messages.NO_RULE))
    chat = None
    if not service:
        chat = decode_chat(incoming.body)
        if chat is None or incoming.method != "POST":
            return Error(_refuse_malformed("no chat-completions body"))
    return _match_rules(caller, incoming, service, chat, port)


def bearer_token(headers: Headers) -> str:
    """Return the bearer token of a request, or an empty string.

    :param headers: The request's headers.
    :returns: The token.
    """
    scheme, _, token = find_header(headers, "authorization").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def service_name(path: str) -> str | None:
    """Return the service that a path names.

    :param path: The path of a caller's request.
    :returns: The service; empty: a model call; None: an unknown path.
    """
    if path == CHAT_PATH:
        return ""
    if not path.startswith(SERVICES_PREFIX):
        return None
    raw_name = path.removeprefix(SERVICES_PREFIX).partition("/")[0]
    name = unquote(raw_name)
    return None if not name or "/" in name else name


def normalize_path(path: str) -> str:
    """Return the normalized form of a path, which rules are matched with.

    Otherwise a caller could evade a rule by another spelling of the path.

    :param path: The path of a caller's request.
    :returns: The path, percent-decoded and without repeated slashes.
    """
    return _SLASHES.sub("/", unquote(path))


def has_dot_segment(path: str) -> bool:
    """Return whether a path has a `.` or `..` segment.

    :param path: The path of a caller's request.
    :returns: Whether an endpoint could resolve it to another path.
    """
    segments = unquote(path).replace("\\", "/").split("/")
    return "." in segments or ".." in segments


def _match_rules(
    caller: Caller,
    incoming: Incoming,
    service: str,
    chat: ChatBody | None,
    port: RouterPort,
) -> Result[Request, Refusal]:
    """Match the rules; return the request for the core or a refusal."""
    facts = RequestFacts(
        workspace=caller.workspace,
        service=service,
        method=incoming.method,
        path=normalize_path(incoming.path),
        headers=incoming.headers,
        model=chat.model if chat else "",
        stream=chat.stream if chat else False,
        body_bytes=len(incoming.body),
    )
    key = find_header(incoming.headers, KEY_HEADER)
    if len(key) > MAX_KEY_CHARS:
        return Error(_refuse_malformed("the Idempotency-Key is too long"))
    match match(caller.index, facts):
        case Result(tag="ok", ok=decided):
            return Ok(
                _build_request(incoming, facts, decided, chat, key, port)
            )
        case Result(error=denied):
            return Error(_refuse_denied(denied))


def _build_request(
    incoming: Incoming,
    facts: RequestFacts,
    decided: ResolvedTreatment,
    chat: ChatBody | None,
    key: str,
    port: RouterPort,
) -> Request:
    """Return the request for the core."""
    now_s = port.now()
    timeout_s = _positive_number(incoming.headers, TIMEOUT_HEADER)
    if timeout_s:
        timeout_s = min(timeout_s, decided.deadline_s)
    hint = _positive_number(incoming.headers, COST_HEADER) or decided.cost_hint
    by_tokens = decided.service.unit is ServiceUnit.TOKENS
    if not hint and chat is not None and by_tokens:
        hint = float(max(chat.max_tokens, 0))
    service = decided.service.name
    return Request(
        request_id=port.new_request_id(),
        workspace=facts.workspace,
        service=service,
        rule=decided.rule,
        request_class=decided.request_class,
        idempotent=decided.idempotent,
        method=incoming.method,
        path=endpoint_path(incoming, facts.service),
        headers=endpoint_headers(incoming.headers, chat is not None),
        body=incoming.body,
        stream=facts.stream,
        arrived_s=now_s,
        deadline_s=now_s + (timeout_s or decided.deadline_s),
        cost_hint=hint,
        idempotency_key=key,
        retry_limit=decided.retry_limit,
        prefix_digest=prefix_digest(chat)
        if chat is not None and decided.affinity
        else 0,
        fingerprint=fingerprint(facts.workspace, service, incoming.body),
        model=facts.model,
    )


def endpoint_path(incoming: Incoming, service: str) -> str:
    """Return the path and query of the request to the endpoint.

    :param incoming: The caller's request.
    :param service: The service in its path; empty: a model call.
    :returns: The path without the service's prefix.
    """
    path = incoming.path
    if service:
        path = "/" + path.removeprefix(SERVICES_PREFIX).partition("/")[2]
    return f"{path}?{incoming.query}" if incoming.query else path


def endpoint_headers(headers: Headers, model_call: bool) -> Headers:
    """Return the headers that are forwarded to the endpoint.

    :param headers: The caller's headers, names in lower case.
    :param model_call: Whether it is a model call, whose tokens are counted.
    :returns: The end-to-end headers.
    """
    excluded = {
        token.strip().lower()
        for key, value in headers
        if key == "connection"
        for token in value.split(",")
    }
    if model_call:
        # Tokens can not be counted in a compressed stream.
        excluded.add("accept-encoding")
    return tuple(
        (key, value)
        for key, value in headers
        if is_forwarded(key) and key not in excluded
    )


def is_forwarded(name: str) -> bool:
    """Return whether the router forwards a header, in either direction.

    :param name: The header's name in lower case.
    :returns: Whether it is an end-to-end header.
    """
    return name not in DROPPED_HEADERS and not name.startswith(HEADER_PREFIX)


def _positive_number(headers: Headers, name: str) -> float:
    """Return the positive number in a header; 0 if there is none."""
    try:
        value = float(find_header(headers, name) or "0")
    except ValueError:
        return 0.0
    return value if math.isfinite(value) and value > 0 else 0.0


def _refuse_malformed(why: str) -> Refusal:
    """Return the refusal of a malformed request."""
    notice = messages.BAD_REQUEST
    return Refusal(notice, notice.format(why=why))


def _refuse_denied(denied: Rejection) -> Refusal:
    """Return the refusal of a request that the rules reject."""
    return Refusal(denied.notice, denied.text)
