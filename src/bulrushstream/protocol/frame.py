"""Sealed frames: what travels on a connection.

A frame is a length, a seal and an encoded message.  The Thrift reader
neither checks that a size which it reads is plausible nor stops at the end
of its input, so a cut or foreign frame must never reach it: `unpack` looks
at the seal first.
"""

from __future__ import annotations

import struct
from typing import Final

from expression import Error, Result

from bulrushstream.protocol.codec import BadFrame, decode, encode
from bulrushstream.protocol.seal import SEAL_SIZE_BYTES, is_sealed, seal
from bulrushstream.state.message import Message

LENGTH: Final = struct.Struct("!I")


def pack(key: bytes, message: Message) -> bytes:
    """Return a message as it travels: length, seal and encoding.

    :param key: the connection's key
    :param message: any message of the fleet
    """
    body = encode(message)
    length = LENGTH.pack(SEAL_SIZE_BYTES + len(body))
    return length + seal(key, body) + body


def unpack(key: bytes, sealed: bytes) -> Result[Message, BadFrame]:
    """Return the message behind a seal.

    :param key: the connection's key
    :param sealed: what followed the length
    :returns: the message, or why the bytes are not to be trusted
    """
    body = sealed[SEAL_SIZE_BYTES:]
    if not is_sealed(key, sealed[:SEAL_SIZE_BYTES], body):
        return Error(BadFrame("the seal does not match"))
    return decode(body)
