"""Read the node file, the settings that the platform gives each process."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Final, TypeVar

import msgspec

from bulrushstream import messages
from bulrushstream.state.finding import Finding
from bulrushstream.state.nodesettings import Address, NodeSettings

SETTINGS_VARIABLE: Final = "BULRUSHSTREAM_NODE_FILE"

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Bounded = Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Limits(msgspec.Struct, rename="camel"):
    memory_mb: _Positive = 128.0
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = 1024


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: _Positive = 8.0
    revoke_ms: _Positive = 5_000.0
    strict_revoke: bool = False
    retry_budget_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    retry_window_s: _Positive = 10.0
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    quota_window_s: _Positive = 4.0
    cold_overshoot: _Bounded = 1.5
    cold_slack: _Bounded = 5.0


class _Platform(msgspec.Struct, rename="camel"):
    address: str
    writes_per_s: _Positive = 400.0
    reads_per_s: _Positive = 2_000.0
    parts: Annotated[int, msgspec.Meta(gt=0, le=64)] = 1
    call_bytes: Annotated[int, msgspec.Meta(gt=0)] = 2 * 2**20


class _Node(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    platform: _Platform
    listen_addrs: _Listen
    port_range: tuple[int, int]
    seed_nodes: list[str] = []
    bootstrap: bool = False
    heartbeat_ms: _Positive = 1_200.0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    contract_bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def read_node_file(path: str) -> NodeSettings | tuple[Finding, ...]:
    """Read a node file; return its settings or every finding.

    :param path: a TOML file
    """
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        text = messages.UNREADABLE.format(why=reason)
        return (Finding(path, 0, 0, messages.UNREADABLE.code, text),)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        text = messages.NOT_TOML.format(why=str(error))
        return (Finding(path, 0, 0, messages.NOT_TOML.code, text),)
    findings = _check(path, data, _Node, "")
    node = _convert(data) if not findings else None
    if node is None:
        return tuple(sorted(findings))
    addresses = {}
    for key, text in (
        ("listenAddrs.front", node.listen_addrs.front),
        ("listenAddrs.ready", node.listen_addrs.ready),
        ("platform.address", node.platform.address),
    ):
        try:
            addresses[key] = _parse_address(text)
        except ValueError as error:
            findings.append(_value_finding(path, key, str(error)))
    if findings:
        return tuple(sorted(findings))
    return _make_settings(node, addresses)


def _make_settings(node: _Node, addresses: dict[str, Address]) -> NodeSettings:
    """Translate a node file into node settings."""
    bounds = node.contract_bounds
    return NodeSettings(
        instance=node.node_name,
        host=node.ip,
        availability_zone=node.zone,
        caller_address=addresses["listenAddrs.front"],
        readiness_address=addresses["listenAddrs.ready"],
        store_address=addresses["platform.address"],
        peers_port=node.port_range[0],
        control_port=node.port_range[0] + 1,
        seed_hosts=tuple(seed.rpartition(":")[0] for seed in node.seed_nodes),
        memory_mb=node.limits.memory_mb,
        max_descriptors=node.limits.max_fds,
        grace_s=bounds.grace_s,
        revocation_limit_s=bounds.revoke_ms / 1000.0
        if bounds.strict_revoke
        else None,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_slack,
        retry_window_s=bounds.retry_window_s,
        quota_window_s=bounds.quota_window_s,
        first_start=node.bootstrap,
        store_writes_per_s=node.platform.writes_per_s,
        store_reads_per_s=node.platform.reads_per_s,
        store_partitions=node.platform.parts,
        store_call_bytes=node.platform.call_bytes,
        heartbeat_s=node.heartbeat_ms / 1000.0,
        cold_overshoot=bounds.cold_overshoot,
        cold_slack=bounds.cold_slack,
    )


def _convert(data: dict[str, Any]) -> _Node | None:
    """Convert a file's data, which `_check` found valid."""
    return msgspec.convert(data, _Node, strict=False)


_Raw = TypeVar("_Raw", bound=msgspec.Struct)


def _check(
    path: str, data: object, struct_type: type[_Raw], table_key: str
) -> list[Finding]:
    """Return the findings in one table and the tables inside it."""
    if not isinstance(data, dict):
        return [_value_finding(path, table_key, "a table is expected")]
    findings = []
    for field in msgspec.structs.fields(struct_type):
        key = (
            f"{table_key}.{field.encode_name}"
            if table_key
            else field.encode_name
        )
        if field.encode_name not in data:
            if field.required:
                notice = messages.MISSING_KEY
                text = notice.format(key=field.encode_name)
                findings.append(Finding(path, 0, 0, notice.code, text, key))
            continue
        value = data[field.encode_name]
        if isinstance(field.type, type) and issubclass(
            field.type, msgspec.Struct
        ):
            findings += _check(path, value, field.type, key)
            continue
        try:
            msgspec.convert(value, field.type, strict=False)
        except msgspec.ValidationError as error:
            findings.append(_value_finding(path, key, str(error)))
    return findings


def _value_finding(path: str, key: str, reason: str) -> Finding:
    """Return a finding about an invalid value."""
    notice = messages.WRONG_TYPE
    return Finding(path, 0, 0, notice.code, notice.format(why=reason), key)


def _parse_address(text: str) -> Address:
    """Parse an address of the form `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not an address with a port: {text!r}")
    return Address(host, int(port))
