"""Decode the operators' configuration and the entries of endpoints.

A document that can not be decoded raises `DocumentError`.  An invalid route,
service, workspace or limits table is left out and reported; the rest of
the document still applies.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Annotated, Any, Final, TypeVar

import msgspec

from bulrushstream.platform.coldfields import (
    decode_per_s,
    decode_start_s,
    mend_limits,
)
from bulrushstream.platform.headers import digest_key
from bulrushstream.protocol.dialect import DocumentError
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.evacuation import EvacuationKey
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

# Larger values stand for these: they are absurd, and some would not fit in
# what they are passed on with.
MAX_COUNT: Final = 2**31 - 1
MAX_MS: Final = 1e9
MAX_WEIGHT: Final = 1e9

MAX_NAME_CHARS: Final = 255

# Keys of the operators' topic that begin so evacuate the zone that follows.
EVACUATE_PREFIX: Final = "evacuate/"
# The largest whole number that every reader of JSON keeps exactly.
MAX_START_MS: Final = 2**53

Report = Callable[[str], None]

_Decoded = TypeVar("_Decoded")

_Positive = Annotated[float, msgspec.Meta(gt=0)]
# Names go into headers and logs.
_Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        max_length=MAX_NAME_CHARS,
        pattern=r"^[^\x00-\x1f\x7f]*$",
    ),
]
_HealthPath = Annotated[str, msgspec.Meta(pattern=r"^(/[\x21-\x7e]*)?$")]

_ENDPOINT_ID: Final = re.compile(rf"[\x21-\x7e]{{1,{MAX_NAME_CHARS}}}")
_PORT: Final = re.compile("[0-9]{1,5}")


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
    # Capacity in tokens, for running requests and the prefix cache together.
    kv_tokens: Annotated[int, msgspec.Meta(gt=0)]


class _Service(msgspec.Struct, rename="camel"):
    name: _Name
    max_conns: Annotated[int, msgspec.Meta(gt=0)] = 64
    health_path: _HealthPath = ""
    engine: _Engine | None = None
    # A value that can not be used must not cost the service its endpoints.
    cold_start_s: Any = None
    cold_per_s: Any = None


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
    version: Annotated[int, msgspec.Meta(ge=-1, le=2**63 - 1)]
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
    version: Any = None
    born: Any = None  # A whole number; others are no start.


class _Report(msgspec.Struct):
    born: Any = None


def decode_config(data: bytes, report: Report) -> RouteConfig:
    """Decode the configuration.

    :param data: the record that the operators published
    :param report: called with a line for each part that is left out
    :raises DocumentError: if the record as a whole can not be decoded
    """
    try:
        raw = msgspec.json.decode(data, type=_Config)
    except DECODE_ERRORS as error:
        mended = mend_limits(data)
        if mended is None:
            raise DocumentError(str(error)) from error
        try:
            raw = msgspec.json.decode(mended, type=_Config)
        except DECODE_ERRORS:
            raise DocumentError(str(error)) from error
    tenants = raw.tenants or []
    limits = _convert(raw.limits or {}, _Limits, "limits", report) or _Limits()
    return RouteConfig(
        version=raw.version,
        routes=tuple(
            _decode_each(raw.routes, _Route, _route, "route", report)
        ),
        services=tuple(
            _decode_each(
                raw.services,
                _Service,
                lambda service: _service(service, report),
                "service",
                report,
            )
        ),
        workspaces=tuple(
            _decode_each(
                tenants, _Tenant, _workspace_keys, "workspace", report
            )
        ),
        limits=ClientLimits(
            header_bytes=min(limits.max_header_bytes, MAX_COUNT),
            body_bytes=min(limits.max_body_bytes, MAX_COUNT),
            header_timeout_s=_seconds(limits.header_timeout_ms),
            idle_timeout_s=_seconds(limits.idle_timeout_ms),
        ),
        tokens_per_s=limits.tokens_per_s,
        requires_keys=raw.tenants is not None,
    )


def decode_entry(endpoint: str, data: bytes) -> EndpointEntry:
    """Decode the entry of one endpoint.

    :param endpoint: the endpoint's id, the key of the record
    :param data: the record
    :raises DocumentError: if it can not be decoded
    """
    try:
        raw = msgspec.json.decode(data, type=_Entry)
    except DECODE_ERRORS as error:
        raise DocumentError(str(error)) from error
    if not _ENDPOINT_ID.fullmatch(endpoint):
        raise DocumentError(f"no endpoint id: {endpoint[:MAX_NAME_CHARS]!r}")
    host, port = _parse_address(raw.address)
    # An entry with an unusable version or start still names an endpoint.
    version = raw.version if isinstance(raw.version, str) else ""
    return EndpointEntry(
        endpoint=endpoint,
        service=raw.service,
        host=host,
        port=port,
        availability_zone=raw.zone[:MAX_NAME_CHARS],
        slots=min(raw.slots, MAX_COUNT),
        leaving=raw.state != "ready",
        warmup_remaining_s=_seconds(max(0.0, raw.cold_left_ms)),
        version=version if len(version) <= MAX_NAME_CHARS else "",
        born=_start(raw.born),
    )


def decode_start(data: bytes) -> str:
    """Decode when a worker's process started, as it says.

    :param data: the body of its report
    :returns: the time; empty if it does not tell
    """
    try:
        return _start(msgspec.json.decode(data, type=_Report).born)
    except DECODE_ERRORS:
        return ""


def decode_evacuation(key: str, value: bytes | None) -> EvacuationKey | None:
    """Decode a key of the operators' topic that evacuates a zone.

    :param key: the key
    :param value: its value; None: the key was deleted
    :returns: the zone; None: the key is of another kind
    """
    if not key.startswith(EVACUATE_PREFIX):
        return None
    zone = key.removeprefix(EVACUATE_PREFIX)
    # Endpoints without a zone are in none, rather than in one without name.
    if not zone or len(zone) > MAX_NAME_CHARS:
        return EvacuationKey("", "the key names no zone and is left out")
    if value is None:
        return EvacuationKey(zone)
    try:
        msgspec.json.decode(value, type=dict[str, Any])
    except DECODE_ERRORS:
        return EvacuationKey(
            zone, "the value is no object; the zone is evacuated all the same"
        )
    return EvacuationKey(zone)


def _start(born: object) -> str:
    """Return when a process started, as it says; empty: it does not tell."""
    if isinstance(born, bool) or not isinstance(born, int | float):
        return ""
    # JSON has one kind of number: 5.0 is the whole number 5.
    if not 0 <= born <= MAX_START_MS or int(born) != born:
        return ""
    return str(int(born))


def _parse_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an endpoint's address.

    :raises DocumentError: if it has other parts
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        host = ""
    number = int(port) if _PORT.fullmatch(port) else 0
    if not host or not 0 < number < 65536:
        raise DocumentError(
            f"no IP number and port: {address[:MAX_NAME_CHARS]!r}"
        )
    return host, number


def _seconds(milliseconds: float) -> float:
    """Convert milliseconds to seconds, within bounds."""
    return min(milliseconds, MAX_MS) / MILLISECONDS_PER_S


_Raw = TypeVar("_Raw")


def _convert(
    item: object, raw_type: type[_Raw], label: str, report: Report
) -> _Raw | None:
    """Convert one part of a document; report it and return None if invalid."""
    try:
        return msgspec.convert(item, raw_type)
    except DECODE_ERRORS as error:
        report(f"{label} left out: {error}")
        return None


def _decode_each(
    items: list[Any],
    raw_type: type[_Raw],
    build: Callable[[_Raw], _Decoded],
    label: str,
    report: Report,
) -> list[_Decoded]:
    """Decode a list; report the invalid items and leave them out."""
    decoded = []
    for item in items:
        raw = _convert(item, raw_type, label, report)
        if raw is None:
            continue
        try:
            decoded.append(build(raw))
        except ValueError as error:
            report(f"{label} left out: {error}")
    return decoded


def _route(raw: _Route) -> Route:
    split = tuple(
        SplitShare(share.service, min(share.weight, MAX_WEIGHT))
        for share in raw.split
    )
    if not split:
        if not raw.service:
            raise DocumentError(f"route {raw.name} names no service")
        split = (SplitShare(raw.service, 1.0),)
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        kind=RequestKind(raw.kind),
        split=split,
        timeout_s=_seconds(raw.timeout_ms),
        latency_target_s=_seconds(raw.goal_latency_ms),
        priority=raw.priority,
        max_attempts=min(raw.max_attempts, MAX_COUNT),
        public=raw.public,
        resumable=raw.resumable,
        max_event_gap_s=_seconds(raw.gap_target_ms),
    )


def _service(raw: _Service, report: Report) -> PooledService:
    traits = None
    if raw.engine is not None:
        traits = EngineTraits(
            min(raw.engine.slots, MAX_COUNT),
            min(raw.engine.kv_tokens, MAX_COUNT),
        )
    max_connections = min(raw.max_conns, MAX_COUNT)
    return PooledService(
        raw.name,
        max_connections,
        traits,
        raw.health_path,
        decode_per_s(raw.name, raw.cold_per_s, report),
        decode_start_s(raw.name, raw.cold_start_s, report),
    )


def _workspace_keys(raw: _Tenant) -> WorkspaceKeys:
    digests = tuple(digest_key(key) for key in raw.api_keys)
    return WorkspaceKeys(raw.name, digests, raw.priority)
