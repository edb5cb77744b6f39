"""The operators' configuration and the list of endpoints, decoded.

A document that is wrong as a whole is refused.  A part that is wrong is
left out and reported, and hurts no other part.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, Final, TypeVar

import msgspec

from bulrushstream.platform.headers import digest_of
from bulrushstream.protocol.dialect import DocumentError
from bulrushstream.state.routes import (
    ClientLimits,
    EndpointEntry,
    EngineTraits,
    PooledService,
    RequestKind,
    Route,
    RouteConfig,
    SplitShare,
    WorkspaceKeys,
)

MILLISECONDS_PER_S: Final = 1000.0

Report = Callable[[str], None]

_Kept = TypeVar("_Kept")

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Port = Annotated[int, msgspec.Meta(gt=0, lt=65536)]


class _Share(msgspec.Struct):
    service: _Name
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: _Name
    host: _Name
    prefix: Annotated[str, msgspec.Meta(pattern="^/.*")]
    kind: str
    timeout_ms: _Positive
    goal_latency_ms: _Positive = 1000.0
    priority: int = 0
    service: str = ""
    split: list[_Share] = []
    max_attempts: Annotated[int, msgspec.Meta(ge=1)] = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _Engine(msgspec.Struct, rename="camel"):
    slots: Annotated[int, msgspec.Meta(gt=0)]
    # All tokens that an engine holds, of running requests and cached.
    kv_tokens: Annotated[int, msgspec.Meta(gt=0)]


class _Service(msgspec.Struct, rename="camel"):
    name: _Name
    max_conns: Annotated[int, msgspec.Meta(gt=0)] = 64
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: Annotated[int, msgspec.Meta(gt=0)] = 16_384
    max_body_bytes: Annotated[int, msgspec.Meta(gt=0)] = 4 * 2**20
    header_timeout_ms: _Positive = 3_000.0
    idle_timeout_ms: _Positive = 15_000.0
    tokens_per_s: float = 0.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: _Name
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: list[Any] = []
    services: list[Any] = []
    limits: Any = None
    tenants: list[Any] | None = None


class _Entry(msgspec.Struct, rename="camel"):
    service: _Name
    address: _Name
    zone: str = ""
    slots: Annotated[int, msgspec.Meta(ge=0)] = 1
    state: str = "ready"
    cold_left_ms: float = 0.0


def decode_config(data: bytes, report: Report) -> RouteConfig:
    """Return a configuration.

    :param data: the record of the operators
    :param report: takes a line for each part that is left out
    :raises DocumentError: if the record as a whole can not be read
    """
    try:
        raw = msgspec.json.decode(data, type=_Config)
    except msgspec.DecodeError as error:
        raise DocumentError(str(error)) from error
    tenants = raw.tenants or []
    limits = _convert(raw.limits or {}, _Limits, "limits", report) or _Limits()
    return RouteConfig(
        version=raw.version,
        routes=tuple(_each(raw.routes, _Route, _route, "route", report)),
        services=tuple(
            _each(raw.services, _Service, _service, "service", report)
        ),
        workspaces=tuple(
            _each(tenants, _Tenant, _holder, "workspace", report)
        ),
        limits=ClientLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / MILLISECONDS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / MILLISECONDS_PER_S,
        ),
        tokens_per_s=limits.tokens_per_s,
        requires_keys=raw.tenants is not None,
    )


def decode_entry(endpoint: str, data: bytes) -> EndpointEntry:
    """Return what the list says of one endpoint.

    :param endpoint: the id under which the record lies
    :param data: the record
    :raises DocumentError: if it can not be read
    """
    try:
        raw = msgspec.json.decode(data, type=_Entry)
        host, _, port = raw.address.rpartition(":")
        number = msgspec.convert(port, _Port, strict=False)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise DocumentError(str(error)) from error
    if not endpoint or not host:
        raise DocumentError(f"no address: {raw.address!r}")
    return EndpointEntry(
        endpoint=endpoint,
        service=raw.service,
        host=host,
        port=number,
        availability_zone=raw.zone,
        slots=raw.slots,
        leaving=raw.state != "ready",
        warmup_remaining_s=raw.cold_left_ms / MILLISECONDS_PER_S,
    )


_Raw = TypeVar("_Raw")


def _convert(
    item: object, kind: type[_Raw], what: str, report: Report
) -> _Raw | None:
    """Return one part of a document; None if it is wrong."""
    try:
        return msgspec.convert(item, kind)
    except msgspec.ValidationError as error:
        report(f"{what} left out: {error}")
        return None


def _each(
    items: list[Any],
    kind: type[_Raw],
    make: Callable[[_Raw], _Kept],
    what: str,
    report: Report,
) -> list[_Kept]:
    """Return the good ones of a document's parts."""
    kept = []
    for item in items:
        raw = _convert(item, kind, what, report)
        if raw is None:
            continue
        try:
            kept.append(make(raw))
        except ValueError as error:
            report(f"{what} left out: {error}")
    return kept


def _route(raw: _Route) -> Route:
    split = tuple(
        SplitShare(share.service, share.weight) for share in raw.split
    )
    if not split:
        if not raw.service:
            raise DocumentError(f"{raw.name} names no service")
        split = (SplitShare(raw.service, 1.0),)
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        kind=RequestKind(raw.kind),
        split=split,
        timeout_s=raw.timeout_ms / MILLISECONDS_PER_S,
        latency_target_s=raw.goal_latency_ms / MILLISECONDS_PER_S,
        priority=raw.priority,
        max_attempts=raw.max_attempts,
        public=raw.public,
        resumable=raw.resumable,
        max_event_gap_s=raw.gap_target_ms / MILLISECONDS_PER_S,
    )


def _service(raw: _Service) -> PooledService:
    traits = None
    if raw.engine is not None:
        traits = EngineTraits(raw.engine.slots, raw.engine.kv_tokens)
    return PooledService(raw.name, raw.max_conns, traits)


def _holder(raw: _Tenant) -> WorkspaceKeys:
    digests = tuple(digest_of(key) for key in raw.api_keys)
    return WorkspaceKeys(raw.name, digests, raw.priority)
