"""Packs digests of requests and streams into records of the store."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import Final

_DIGEST_BYTES: Final = 8


def pack_digests(digests: Sequence[int]) -> bytes:
    """Pack digests, 8 bytes each, big-endian.

    :param digests: signed 64-bit numbers
    """
    return struct.pack(f"!{len(digests)}q", *digests)


def unpack_digests(data: bytes) -> tuple[int, ...]:
    """Unpack digests.

    :param data: the packed digests
    :raises ValueError: if the last one is cut off
    """
    count, rest = divmod(len(data), _DIGEST_BYTES)
    if rest:
        raise ValueError("malformed record: a digest is cut off")
    return struct.unpack(f"!{count}q", data)
