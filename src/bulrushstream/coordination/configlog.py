"""The stream of configuration records and the rules for applying it.

A *publish* record names the version that it derives from, its *base*.  The
first valid record whose base is the current version replaces it, and the
offset of the record is the new version.  A record with any other base lost
the race and is skipped.  Whether a record is accepted depends only on the
records before it, so every reader gets the same sequence of versions.

A *checkpoint* repeats the current version before the log drops the records
that it was built from.  A *reset* replaces the current version whatever it
is; operators use it after the log has lost all records.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256
from typing import Final

import msgspec

from bulrushstream.coordination.configdelta import (
    ConfigDelta,
    apply_delta,
    make_delta,
)
from bulrushstream.coordination.rulecheck import check_config
from bulrushstream.state.config import (
    EMPTY_CONFIG,
    NO_VERSION,
    FleetConfig,
    VersionedConfig,
)
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.event import LogRecord

STREAM: Final = "config"
MAX_RECORD_BYTES: Final = 8 * 2**20


class RecordKind(StrEnum):
    """The kind of a configuration record."""

    PUBLISH = "publish"
    CHECKPOINT = "checkpoint"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """One record of the stream, with either `full` or `delta`."""

    kind: RecordKind
    base: int  # The version that it derives from or repeats.
    digest: str  # Of the resulting configuration.
    full: FleetConfig | None = None  # The resulting configuration.
    delta: ConfigDelta | None = None  # The change from the base.
    publish_id: str = ""  # Identifies duplicates of one publication.
    author: str = ""
    note: str = ""  # The author's reason for the change.


_DECODER: Final = msgspec.json.Decoder(ConfigRecord)


class Verdict(StrEnum):
    """The result of judging a record."""

    ACCEPTED = "accepted"  # It became the current version.
    REPEATED = "repeated"  # A checkpoint of the current version.
    LOST = "another record replaced its base first"
    UNDECODABLE = "it does not decode"
    WRONG_DIGEST = "its digest does not fit its content"
    INVALID = "its configuration is not valid"


@dataclass(frozen=True, slots=True)
class JudgedRecord:
    """A record with its verdict."""

    offset: int
    verdict: Verdict
    result: VersionedConfig  # The current version after the record.
    publish_id: str = ""  # Empty: none.
    author: str = ""  # Empty: none.
    note: str = ""  # Empty: none.


def encode_config(config: FleetConfig) -> bytes:
    """Return a configuration's canonical form."""
    return msgspec.json.encode(config, order="deterministic")


def canonical(config: FleetConfig) -> FleetConfig:
    """Return a configuration as decoded from its canonical form.

    An int in a float field is encoded differently before and after one
    round trip, so digests of the original would not match those of readers.
    """
    return msgspec.json.decode(encode_config(config), type=FleetConfig)


def digest_of(config: FleetConfig) -> str:
    """Return the digest of a configuration's canonical form."""
    return sha256(encode_config(config)).hexdigest()


def versioned(version: int, config: FleetConfig) -> VersionedConfig:
    """Return a configuration with its version and digest."""
    config = canonical(config)
    return VersionedConfig(version, config, digest_of(config))


def encode_publish(
    base: VersionedConfig,
    config: FleetConfig,
    publish_id: str = "",
    author: str = "",
    note: str = "",
) -> bytes:
    """Return the record that publishes a configuration.

    :param base: The version that it derives from.
    :param config: The new configuration.
    :param publish_id: Identifies the publication; unique in the fleet.
    :param author: The operator who publishes it.
    :param note: The reason for the change.
    :returns: The record's body, full or as a delta, whichever is smaller.
    """
    config = canonical(config)
    record = ConfigRecord(
        RecordKind.PUBLISH,
        base.version,
        digest_of(config),
        config,
        publish_id=publish_id,
        author=author,
        note=note,
    )
    delta = make_delta(base.config, config)
    delta_body = encode_record(replace(record, full=None, delta=delta))
    return min(encode_record(record), delta_body, key=len)


def encode_reset(
    config: FleetConfig, publish_id: str = "", author: str = "", note: str = ""
) -> bytes:
    """Return the record that replaces the current version unconditionally.

    :param config: The new configuration.
    :param publish_id: Identifies the publication; unique in the fleet.
    :param author: The operator who publishes it.
    :param note: The reason for the change.
    :returns: The record's body.
    """
    config = canonical(config)
    record = ConfigRecord(
        RecordKind.RESET,
        NO_VERSION,
        digest_of(config),
        config,
        publish_id=publish_id,
        author=author,
        note=note,
    )
    return encode_record(record)


def encode_checkpoint(current: VersionedConfig) -> bytes:
    """Return the record that repeats the current version.

    :param current: The current version.
    :returns: The record's body.
    """
    record = ConfigRecord(
        RecordKind.CHECKPOINT, current.version, current.digest, current.config
    )
    return encode_record(record)


def encode_record(record: ConfigRecord) -> bytes:
    """Return a record's body."""
    return msgspec.json.encode(record)


def decode_record(body: bytes) -> ConfigRecord | None:
    """Return the record in a body, or None if it does not decode."""
    if len(body) > MAX_RECORD_BYTES:
        return None
    try:
        return _DECODER.decode(body)
    except DECODE_ERRORS:
        return None


def resolve_config(
    record: ConfigRecord, base: VersionedConfig
) -> FleetConfig | Verdict:
    """Return the configuration that results from a record.

    :param record: The record.
    :param base: The version that a delta applies to.
    :returns: The configuration if it is valid, otherwise the reason.
    """
    if record.full is not None:
        config = record.full
    elif record.delta is None:
        return Verdict.UNDECODABLE
    elif record.base != base.version:
        return Verdict.LOST
    else:
        config = apply_delta(base.config, record.delta)
    if digest_of(config) != record.digest:
        return Verdict.WRONG_DIGEST
    if next(check_config(config), None) is not None:
        return Verdict.INVALID
    return config


def judge(current: VersionedConfig, entry: LogRecord) -> JudgedRecord:
    """Judge one record against the current version.

    :param current: The current version before the record.
    :param entry: The record.
    :returns: The record's verdict and the current version after it.
    """
    record = decode_record(entry.body)
    if record is None:
        return JudgedRecord(entry.offset, Verdict.UNDECODABLE, current)
    verdict, result = _judge_record(current, entry.offset, record)
    return JudgedRecord(
        entry.offset,
        verdict,
        result,
        record.publish_id,
        record.author,
        record.note,
    )


def starting_point(entry: LogRecord) -> VersionedConfig | None:
    """Return the version in a checkpoint or reset record.

    :param entry: A record whose predecessors were not read.
    :returns: The version; None if the record holds none that a reader
        could start from.
    """
    record = decode_record(entry.body)
    if record is None or record.kind is RecordKind.PUBLISH:
        return None
    config = resolve_config(record, EMPTY_CONFIG)
    if isinstance(config, Verdict):
        return None
    if record.kind is RecordKind.RESET:
        return VersionedConfig(entry.offset, config, record.digest)
    if not 0 <= record.base < entry.offset:
        return None
    return VersionedConfig(record.base, config, record.digest)


def _judge_record(
    current: VersionedConfig, offset: int, record: ConfigRecord
) -> tuple[Verdict, VersionedConfig]:
    """Return a record's verdict and the current version after it."""
    if record.kind is RecordKind.CHECKPOINT:
        is_current = (record.base, record.digest) == (
            current.version,
            current.digest,
        )
        return Verdict.REPEATED if is_current else Verdict.LOST, current
    is_publish = record.kind is RecordKind.PUBLISH
    if offset <= current.version:
        return Verdict.LOST, current
    if is_publish and record.base != current.version:
        return Verdict.LOST, current
    config = resolve_config(record, current)
    if isinstance(config, Verdict):
        return config, current
    accepted = VersionedConfig(offset, config, record.digest)
    return Verdict.ACCEPTED, accepted
