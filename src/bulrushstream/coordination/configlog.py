"""The stream of configuration records and how it is folded.

A *publish* record names the version that it derives from, its *base*.  The
first valid record for the version in force replaces it, and its offset is
the new version; a record for any other base lost the race and is skipped.
Whether a record counts follows from the records before it alone, so every
reader comes to the same sequence of versions.

A *checkpoint* repeats a version in force before the log drops the records
that it follows from.  A *reset* replaces whatever is in force, and is for
operators whose log lost everything.
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
from bulrushstream.state.event import LogRecord

STREAM: Final = "config"
MAX_RECORD_BYTES: Final = 8 * 2**20


class RecordKind(StrEnum):
    """What a record of the stream does."""

    PUBLISH = "publish"
    CHECKPOINT = "checkpoint"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """One record of the stream; `full` or `delta` is given, not both."""

    kind: RecordKind  # What it does.
    base: int  # The version that it derives from or repeats.
    digest: str  # Digest of the configuration that it leads to.
    full: FleetConfig | None = None  # That configuration.
    delta: ConfigDelta | None = None  # What it changes in its base.
    publish_id: str = ""  # Names the publication, so that copies show.
    author: str = ""  # Who published it.
    note: str = ""  # Why.


_DECODER: Final = msgspec.json.Decoder(ConfigRecord)


class Verdict(StrEnum):
    """What the fold made of a record."""

    ACCEPTED = "accepted"  # It is in force from its offset on.
    REPEATED = "repeated"  # A checkpoint of a version that was in force.
    LOST = "another record replaced its base first"
    UNDECODABLE = "it does not decode"
    WRONG_DIGEST = "its digest does not fit its content"
    INVALID = "its configuration is not valid"


@dataclass(frozen=True, slots=True)
class Judged:
    """A record with what the fold made of it."""

    offset: int  # The record's offset.
    verdict: Verdict  # What the fold made of it.
    result: VersionedConfig  # What is in force after it.
    publish_id: str = ""  # The record's; empty: none.
    author: str = ""  # The record's; empty: none.
    note: str = ""  # The record's; empty: none.


def encode_config(config: FleetConfig) -> bytes:
    """Return a configuration's canonical form."""
    return msgspec.json.encode(config, order="deterministic")


def canonical(config: FleetConfig) -> FleetConfig:
    """Return a configuration as every reader of its record will have it.

    A whole number where a fraction may stand would be written otherwise
    before it travelled than after, and the digests would differ.
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
    :param publish_id: Names the publication; unique in the fleet.
    :param author: Who publishes it.
    :param note: Why.
    :returns: The record's body, as a delta where that is smaller.
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
    by_delta = encode_record(replace(record, full=None, delta=delta))
    return min(encode_record(record), by_delta, key=len)


def encode_reset(
    config: FleetConfig, publish_id: str = "", author: str = "", note: str = ""
) -> bytes:
    """Return the record that replaces whatever is in force.

    :param config: The new configuration.
    :param publish_id: Names the publication; unique in the fleet.
    :param author: Who publishes it.
    :param note: Why.
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
    """Return the record that repeats the version in force.

    :param current: The version in force.
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
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def open_record(
    record: ConfigRecord, base: VersionedConfig
) -> FleetConfig | Verdict:
    """Return the configuration that a record leads to.

    :param record: The record.
    :param base: The version that a delta applies to.
    :returns: The valid configuration, or why there is none.
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


def judge(current: VersionedConfig, entry: LogRecord) -> Judged:
    """Fold one record.

    :param current: What is in force before the record.
    :param entry: The record.
    :returns: What becomes of it, and what is in force after it.
    """
    record = decode_record(entry.body)
    if record is None:
        return Judged(entry.offset, Verdict.UNDECODABLE, current)
    verdict, result = _judge_record(current, entry.offset, record)
    return Judged(
        entry.offset,
        verdict,
        result,
        record.publish_id,
        record.author,
        record.note,
    )


def starting_point(entry: LogRecord) -> VersionedConfig | None:
    """Return the version that a reader can start from at a record.

    :param entry: A record whose predecessors are not known.
    :returns: What a checkpoint or a reset says; None for other records.
    """
    record = decode_record(entry.body)
    if record is None or record.kind is RecordKind.PUBLISH:
        return None
    config = open_record(record, EMPTY_CONFIG)
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
    """Return what becomes of a record, and what is in force after it."""
    if record.kind is RecordKind.CHECKPOINT:
        same = (record.base, record.digest) == (
            current.version,
            current.digest,
        )
        return Verdict.REPEATED if same else Verdict.LOST, current
    is_publish = record.kind is RecordKind.PUBLISH
    if offset <= current.version:
        return Verdict.LOST, current
    if is_publish and record.base != current.version:
        return Verdict.LOST, current
    config = open_record(record, current)
    if isinstance(config, Verdict):
        return config, current
    accepted = VersionedConfig(offset, config, record.digest)
    return Verdict.ACCEPTED, accepted
