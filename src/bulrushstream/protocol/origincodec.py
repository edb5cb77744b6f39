"""Encodes the records in which routers keep the origins of streams."""

from __future__ import annotations

import struct
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

import msgspec

from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.streamorigin import StreamOrigin

_STREAM_BYTES: Final = 8


class _Group(msgspec.Struct, array_like=True):
    """Streams that began at the same version."""

    service: str
    version: str
    streams: bytes  # Their digests, 8 bytes each, big-endian.


def encode_origins(origins: Iterable[StreamOrigin]) -> bytes:
    """Encode the origins of streams as one record.

    :param origins: the origins; their age is left out
    """
    digests: dict[tuple[str, str], list[int]] = defaultdict(list)
    for each in origins:
        digests[each.service, each.version].append(each.stream)
    groups = [
        _Group(service, version, struct.pack(f"!{len(found)}q", *found))
        for (service, version), found in digests.items()
    ]
    return msgspec.msgpack.encode(groups)


def decode_origins(record: bytes) -> tuple[StreamOrigin, ...]:
    """Decode a record of origins.

    :param record: the record
    :raises ValueError: if it is malformed
    """
    try:
        groups = msgspec.msgpack.decode(record, type=list[_Group])
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed origins: {error}") from error
    origins = []
    for group in groups:
        count, rest = divmod(len(group.streams), _STREAM_BYTES)
        if rest:
            raise ValueError("malformed origins: a digest is cut off")
        origins += [
            StreamOrigin(stream, group.service, group.version)
            for stream in struct.unpack(f"!{count}q", group.streams)
        ]
    return tuple(origins)
