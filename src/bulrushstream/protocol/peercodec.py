"""Updates between routers as Thrift structures in datagrams.

A datagram begins with a checksum, as the Thrift reader trusts the sizes
that it reads.
"""

from __future__ import annotations

import struct
import types
from importlib import resources
from typing import Any, Final

import thriftpy2
import xxhash
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from bulrushstream.state.peerupdate import (
    Asked,
    PeerUpdate,
    Placed,
    Started,
    Struck,
)

CHECKSUM: Final = struct.Struct("!Q")


class DatagramError(ValueError):
    """Bytes that are no update."""


def _load_schema() -> types.ModuleType:
    """Load the Thrift schema that is packaged beside this module."""
    source = resources.files(__package__) / "peers.thrift"
    with resources.as_file(source) as path:
        loaded = thriftpy2.load(str(path), module_name="peers_thrift")
    return loaded


_SCHEMA: Final[Any] = _load_schema()
_BINARY: Final = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]


def encode_update(update: PeerUpdate) -> bytes:
    """Return an update as a datagram.

    :param update: the update
    """
    wire = _SCHEMA.Update(
        instance=update.instance,
        incarnation=update.incarnation,
        host=update.host,
        placed=[
            _SCHEMA.Placed(
                each.call,
                each.endpoint,
                list(each.parts),
                list(each.lengths),
                each.input_tokens,
                each.output_tokens,
            )
            for each in update.placed
        ],
        started=[
            _SCHEMA.Started(each.call, each.read_tokens_per_s)
            for each in update.started
        ],
        ended=list(update.ended),
        asked=[
            _SCHEMA.Asked(
                each.workspace, each.asked_tokens, each.granted_tokens
            )
            for each in update.asked
        ],
        known_hosts=list(update.known_hosts),
        leaving=update.leaving,
        struck=[
            _SCHEMA.Struck(each.fingerprint, each.endpoint)
            for each in update.struck
        ],
    )
    body = serialize(wire, _BINARY)
    return CHECKSUM.pack(xxhash.xxh64_intdigest(body)) + body


def decode_update(data: bytes) -> PeerUpdate:
    """Return the update in a datagram.

    :param data: the datagram
    :raises DatagramError: if it holds none
    """
    body = data[CHECKSUM.size :]
    if len(data) <= CHECKSUM.size:
        raise DatagramError("shorter than its checksum")
    (expected,) = CHECKSUM.unpack_from(data)
    if xxhash.xxh64_intdigest(body) != expected:
        raise DatagramError("the checksum differs")
    # The library raises many kinds of errors on bytes of another schema.
    try:
        wire = deserialize(_SCHEMA.Update(), body, _BINARY)
        return _from_wire(wire)
    except Exception as error:
        raise DatagramError(f"{type(error).__name__}: {error}") from error


def _from_wire(wire: Any) -> PeerUpdate:
    """Return the update that a Thrift structure holds."""
    return PeerUpdate(
        instance=wire.instance,
        incarnation=wire.incarnation,
        host=wire.host,
        placed=tuple(
            Placed(
                each.call,
                each.endpoint,
                tuple(each.parts),
                tuple(each.lengths),
                each.input_tokens,
                each.output_tokens,
            )
            for each in wire.placed
        ),
        started=tuple(
            Started(each.call, each.read_tokens_per_s) for each in wire.started
        ),
        ended=tuple(wire.ended),
        asked=tuple(
            Asked(each.workspace, each.asked_tokens, each.granted_tokens)
            for each in wire.asked
        ),
        known_hosts=tuple(wire.known_hosts),
        leaving=bool(wire.leaving),
        struck=tuple(
            Struck(each.fingerprint, each.endpoint) for each in wire.struck
        ),
    )
