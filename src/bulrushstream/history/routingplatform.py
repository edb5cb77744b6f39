"""The simulated platform: its configuration, endpoint list and dialect."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final, cast

import msgspec

from bulrushstream.history.routingplan import (
    ENDPOINTS,
    FIRST_VERSION,
    KEYS,
    RELEASED,
    ROUTES,
    OddRecord,
)
from bulrushstream.protocol.dialect import Dialect, DocumentError, Topics
from bulrushstream.protocol.keyedstore import KeyedStore
from bulrushstream.state.call import (
    AnswerHead,
    AttemptContext,
    Call,
    Prompt,
    PromptPart,
    RawHeaders,
)
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.nodesettings import Address, NodeSettings
from bulrushstream.state.routes import (
    EndpointEntry,
    EngineTraits,
    PooledService,
    Route,
    RouteConfig,
    SplitShare,
    WorkspaceKeys,
)

TIMEOUT_S: Final = 3.0  # The timeout of every route.
REVOKE_S: Final = 5.0  # A revoked key must be refused after this.
RETRY_RATIO: Final = 0.2
RETRY_SLACK: Final = 20.0
RETRY_WINDOW_S: Final = 10.0
NESTED_LEVELS: Final = 10_000
_FAILING: Final = b"failing"


def config_of(version: int, revoked: set[int]) -> RouteConfig:
    """Return a configuration version.

    :param version: the version
    :param revoked: numbers of the keys that it leaves out
    """
    routes = tuple(
        Route(
            name=name,
            host="h",
            prefix=f"/{name}/",
            kind=kind,
            split=(SplitShare(service, 1.0),),
            timeout_s=TIMEOUT_S,
            latency_target_s=0.5,
            max_attempts=attempts,
            resumable=resumable,
            max_event_gap_s=0.1,
        )
        for name, (kind, service, resumable, attempts) in ROUTES.items()
    )
    workspaces = tuple(
        WorkspaceKeys(f"w{key}", (b"key%d" % key,))
        for key in range(KEYS)
        if key not in revoked
    )
    return RouteConfig(
        version=version,
        routes=routes,
        services=(
            PooledService("desk", 100),
            PooledService("llm", 100, EngineTraits(8, 100_000)),
        ),
        workspaces=workspaces,
        tokens_per_s=20_000.0,
        requires_keys=True,
    )


def record_of(name: str, leaving: bool) -> bytes:
    """Return the record of an endpoint's entry.

    :param name: the endpoint's id
    :param leaving: whether it is draining and takes no new requests
    """
    return msgspec.json.encode(entry_of(name, leaving))


def odd_record(kind: OddRecord) -> bytes:
    """Return a record of another writer.

    :param kind: what is odd about it
    """
    sound = record_of(next(iter(ENDPOINTS)), False)
    if kind is OddRecord.NESTED:
        return b"[" * NESTED_LEVELS + b"]" * NESTED_LEVELS
    if kind is OddRecord.VALUES:
        return sound.replace(b'"port":80', b'"port":1e99')
    return _FAILING


def _decode_entry(endpoint: str, data: bytes) -> EndpointEntry:
    """Decode a record of the endpoint list."""
    if data == _FAILING:
        raise ArithmeticError("unexpected")
    try:
        entry = msgspec.json.decode(data, type=EndpointEntry)
    except DECODE_ERRORS as error:
        raise DocumentError(str(error)) from error
    return replace(entry, endpoint=endpoint)


def host_of(number: int) -> str:
    """Return a router's IP address.

    :param number: the router's number
    """
    return f"10.0.0.{number + 1}"


def entry_of(name: str, leaving: bool) -> EndpointEntry:
    """Return an endpoint's entry in the platform's endpoint list.

    :param name: the endpoint's id
    :param leaving: whether it is draining and takes no new requests
    """
    service = ENDPOINTS[name]
    version = RELEASED.get(name, FIRST_VERSION)
    return EndpointEntry(
        name, service, "10.1.0.1", 80, "z", 8, leaving, version=version
    )


def settings_of(number: int, routers: int) -> NodeSettings:
    """Return a router's settings.

    :param number: the router's number
    :param routers: the number of routers in the fleet
    """
    unused_address = Address(host_of(number), 0)
    return NodeSettings(
        instance=f"front-{number}",
        host=host_of(number),
        availability_zone="z",
        caller_address=unused_address,
        readiness_address=unused_address,
        store_address=unused_address,
        peers_port=1,
        control_port=2,
        seed_hosts=tuple(host_of(other) for other in range(routers)),
        memory_mb=128,
        max_descriptors=1024,
        grace_s=2.0,
        revocation_limit_s=REVOKE_S,
        retry_ratio=RETRY_RATIO,
        retry_slack=RETRY_SLACK,
        retry_window_s=RETRY_WINDOW_S,
        quota_window_s=4.0,
    )


def _decode_call(method: bytes, target: bytes, headers: RawHeaders) -> Call:
    """Decode a caller's request."""
    values = dict(headers)
    path = target.decode()
    _, route, request_id = path.split("/")
    prompt = None
    if ROUTES[route][1] == "llm":
        number = int(request_id[1:])
        parts = (PromptPart(number % 7, 500), PromptPart(1000 + number, 300))
        prompt = Prompt("m", parts, 800, 50)
    return Call(
        request_id=request_id,
        method=method,
        target=target,
        host="h",
        path=path,
        key_digest=values[b"key"],
        timeout_s=None,
        prompt=prompt,
        resume_after=int(values[b"after"]) if b"after" in values else None,
        headers=[],
        first_request_id=values.get(b"first", b"").decode(),
        takes_up=b"after" in values,
    )


def _encode_request(call: Call, body: bytes, context: AttemptContext) -> bytes:
    """Encode a request for a simulated endpoint."""
    del body
    after = context.resume_after or 0
    return f"{call.request_id} {context.remaining_ms} {after}".encode()


def _decode_answer(status: int, headers: RawHeaders) -> AnswerHead:
    """Decode the head of an endpoint's answer."""
    values = dict(headers)
    return AnswerHead(
        status=status,
        request_id=values.get(b"id", b"").decode(),
        signed=b"signature" in values,
        not_executed=b"not-executed" in values,
        event_stream=values.get(b"kind") == b"events",
        encoded=False,
        headers=[pair for pair in headers if pair[0] != b"transfer-encoding"],
        rest_s=float(values.get(b"rest", b"0")),
        leaving=b"leaving" in values,
    )


def _refusal_headers(
    request_id: str, retry_after_s: float | None
) -> RawHeaders:
    """Return the headers of a refusal."""
    headers = [(b"id", request_id.encode())]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return headers


def _unused(*args: Any) -> Any:
    """Stand in for dialect functions that simulated routers do not call."""
    raise NotImplementedError(args)


DIALECT: Final = Dialect(
    topics=Topics(
        "config",
        "config",
        "endpoints",
        "routers",
        "mixed",
        "origins",
        "crashes",
    ),
    read_settings=_unused,
    make_store=cast(Callable[..., KeyedStore], _unused),
    decode_config=_unused,
    decode_entry=_decode_entry,
    decode_call=_decode_call,
    encode_request=_encode_request,
    decode_answer=_decode_answer,
    encode_probe=_unused,
    decode_probe=_unused,
    encode_report_call=_unused,
    decode_start=_unused,
    refusal_headers=_refusal_headers,
)
