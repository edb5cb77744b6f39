"""The framing of messages on a connection.

A frame consists of a length, a MAC and an encoded message.  The Thrift
reader neither checks that a size it reads is plausible nor stops at the end
of its input, so it must never get a truncated or foreign frame: `unpack`
verifies the MAC before it decodes.
"""

from __future__ import annotations

import struct
from typing import Final

from expression import Error, Result

from bulrushstream.protocol.codec import BadFrame, decode, encode
from bulrushstream.protocol.framemac import (
    MAC_SIZE_BYTES,
    compute_mac,
    verify_mac,
)
from bulrushstream.state.message import Message

LENGTH: Final = struct.Struct("!I")


def pack(key: bytes, message: Message) -> bytes:
    """Return a message as a frame: length, MAC and encoded message.

    :param key: the connection's key
    :param message: the message
    """
    body = encode(message)
    length = LENGTH.pack(MAC_SIZE_BYTES + len(body))
    return length + compute_mac(key, body) + body


def unpack(key: bytes, frame: bytes) -> Result[Message, BadFrame]:
    """Verify a frame's MAC and decode its message.

    :param key: the connection's key
    :param frame: the MAC and the encoded message, without the length
    :returns: the message, or why the frame was rejected
    """
    body = frame[MAC_SIZE_BYTES:]
    if not verify_mac(key, frame[:MAC_SIZE_BYTES], body):
        return Error(BadFrame("the MAC does not match"))
    return decode(body)
