"""The simulated platform: what it says, and how it speaks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, cast

from bulrushstream.history.routingplan import ENDPOINTS, KEYS, ROUTES
from bulrushstream.protocol.dialect import Dialect, Topics
from bulrushstream.protocol.keyedstore import KeyedStore
from bulrushstream.state.call import (
    AnswerHead,
    AttemptContext,
    Call,
    Prompt,
    PromptPart,
    RawHeaders,
)
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

TIMEOUT_S: Final = 3.0  # Of each route.
REVOKE_S: Final = 5.0  # The platform's bound on revoked keys.
RETRY_RATIO: Final = 0.2
RETRY_SLACK: Final = 20.0
RETRY_WINDOW_S: Final = 10.0


def config_of(version: int, revoked: set[int]) -> RouteConfig:
    """Return a configuration.

    :param version: its version
    :param revoked: keys that it no longer has
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
    holders = tuple(
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
        workspaces=holders,
        tokens_per_s=20_000.0,
        requires_keys=True,
    )


def host_of(number: int) -> str:
    """Return a router's IP number.

    :param number: the router's place
    """
    return f"10.0.0.{number + 1}"


def entry_of(name: str, leaving: bool) -> EndpointEntry:
    """Return what the list says of an endpoint.

    :param name: its id
    :param leaving: whether it takes no new work
    """
    service = ENDPOINTS[name]
    return EndpointEntry(name, service, "10.1.0.1", 80, "z", 8, leaving)


def settings_of(number: int, routers: int) -> NodeSettings:
    """Return a router's settings.

    :param number: the router's place
    :param routers: how many there are
    """
    nowhere = Address(host_of(number), 0)
    return NodeSettings(
        instance=f"front-{number}",
        host=host_of(number),
        availability_zone="z",
        caller_address=nowhere,
        readiness_address=nowhere,
        store_address=nowhere,
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
    """Return what a caller's request means."""
    path = target.decode()
    _, route, request_id = path.split("/")
    prompt = None
    if ROUTES[route][1] == "llm":
        part = int(request_id[1:])
        parts = (PromptPart(part % 7, 500), PromptPart(1000 + part, 300))
        prompt = Prompt("m", parts, 800, 50)
    return Call(
        request_id=request_id,
        method=method,
        target=target,
        host="h",
        path=path,
        key_digest=dict(headers)[b"key"],
        timeout_s=None,
        prompt=prompt,
        resume_after=None,
        headers=[],
    )


def _encode_request(call: Call, body: bytes, passage: AttemptContext) -> bytes:
    """Return a request as a simulated endpoint reads it."""
    del body
    after = passage.resume_after or 0
    return f"{call.request_id} {passage.remaining_ms} {after}".encode()


def _decode_answer(status: int, headers: RawHeaders) -> AnswerHead:
    """Return what the head of an endpoint's answer means."""
    found = dict(headers)
    return AnswerHead(
        status=status,
        request_id=found.get(b"id", b"").decode(),
        signed=b"signature" in found,
        not_executed=b"not-executed" in found,
        event_stream=found.get(b"kind") == b"events",
        encoded=False,
        headers=headers,
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
    """Stand for what a simulated router does not call."""
    raise NotImplementedError(args)


DIALECT: Final = Dialect(
    topics=Topics("config", "config", "endpoints", "routers"),
    read_settings=_unused,
    make_store=cast(Callable[..., KeyedStore], _unused),
    decode_config=_unused,
    decode_entry=_unused,
    decode_call=_decode_call,
    encode_request=_encode_request,
    decode_answer=_decode_answer,
    refusal_headers=_refusal_headers,
)
