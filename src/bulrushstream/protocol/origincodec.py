"""Encodes the records in which routers keep the origins of streams."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from bulrushstream.protocol.digests import pack_digests, unpack_digests
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.streamorigin import StreamOrigin


class _Group(msgspec.Struct, array_like=True):
    """Streams that began at the same version."""

    service: str
    version: str
    streams: bytes  # Their digests; see `pack_digests`.


def encode_origins(origins: Iterable[StreamOrigin]) -> bytes:
    """Encode the origins of streams as one record.

    :param origins: the origins; their age is left out
    """
    digests: dict[tuple[str, str], list[int]] = defaultdict(list)
    for each in origins:
        digests[each.service, each.version].append(each.stream)
    groups = [
        _Group(service, version, pack_digests(found))
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
    return tuple(
        StreamOrigin(stream, group.service, group.version)
        for group in groups
        for stream in unpack_digests(group.streams)
    )
