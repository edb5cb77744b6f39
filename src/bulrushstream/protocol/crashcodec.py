"""Encodes the records in which routers keep crashes of endpoints."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec

from bulrushstream.protocol.digests import pack_digests, unpack_digests
from bulrushstream.state.crashrecord import RecordedCrash, RecordedPart
from bulrushstream.state.decoding import DECODE_ERRORS

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
_Number = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
# Beyond these, times of day are absurd.
_TimeMs = Annotated[int, msgspec.Meta(ge=0, lt=2**47)]
_PartId = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class _Crash(msgspec.Struct, array_like=True):
    """One crash; readers do without fields that later versions add."""

    endpoint: _Name
    number: _Number
    at_ms: _TimeMs
    fingerprints: bytes  # See `pack_digests`.
    parts: list[tuple[_PartId, _Number]] = []  # Ids and milliseconds.


def encode_crashes(crashes: Sequence[RecordedCrash]) -> bytes:
    """Encode a router's crashes as one record; empty: there are none.

    :param crashes: the crashes
    """
    if not crashes:
        return b""
    return msgspec.msgpack.encode(
        [
            _Crash(
                each.endpoint,
                each.number,
                each.at_ms,
                pack_digests(each.fingerprints),
                [(part.part_id, part.in_flight_ms) for part in each.parts],
            )
            for each in crashes
        ]
    )


def decode_crashes(record: bytes) -> tuple[RecordedCrash, ...]:
    """Decode a record of crashes.

    :param record: the record
    :raises ValueError: if it is malformed
    """
    if not record:
        return ()
    try:
        crashes = msgspec.msgpack.decode(record, type=list[_Crash])
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed crashes: {error}") from error
    return tuple(
        RecordedCrash(
            each.endpoint,
            each.number,
            each.at_ms,
            unpack_digests(each.fingerprints),
            tuple(RecordedPart(*part) for part in each.parts),
        )
        for each in crashes
    )
