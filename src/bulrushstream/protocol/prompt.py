"""Decode chat-completions bodies, and compute digests of requests.

Only a few members are decoded; the body is forwarded unchanged.  The
*prefix digest* identifies the beginning of a prompt: an engine with that
prefix in its cache answers sooner.
"""

from __future__ import annotations

from typing import Final

import msgspec
import xxhash

from bulrushstream.state.decoding import DECODE_ERRORS

PREFIX_BYTES: Final = 1024
_SIGN_BIT: Final = 1 << 63
_MODULUS: Final = 1 << 64


class ChatBody(msgspec.Struct, frozen=True):
    """The members of a chat-completions body that affect routing."""

    model: str = ""
    messages: msgspec.Raw = msgspec.Raw(b"[]")  # Not parsed.
    stream: bool = False
    max_tokens: int = 0  # Limit of generated tokens; 0: not given.


_DECODER: Final = msgspec.json.Decoder(ChatBody)


def decode_chat(body: bytes) -> ChatBody | None:
    """Decode a chat-completions body.

    :param body: The request's body.
    :returns: Its members; None: not a chat-completions body.
    """
    try:
        return _DECODER.decode(body)
    except DECODE_ERRORS:
        return None


def digest_bytes(*pieces: bytes) -> int:
    """Return the XXH3 digest of byte strings as a signed 64-bit number.

    Each piece is hashed with its length, so that ("ab", "c") and ("a", "bc")
    have different digests.  The number is signed because Thrift's i64 is.

    :param pieces: The byte strings to hash.
    :returns: The digest.
    """
    hasher = xxhash.xxh3_64()
    for piece in pieces:
        hasher.update(b"%d:" % len(piece))
        hasher.update(piece)
    value = hasher.intdigest()
    return value - _MODULUS if value >= _SIGN_BIT else value


def prefix_digest(chat: ChatBody) -> int:
    """Return the digest of a prompt's first `PREFIX_BYTES` bytes and model.

    :param chat: The decoded body.
    :returns: The digest; never 0, which means no digest.
    """
    prefix = bytes(chat.messages)[:PREFIX_BYTES]
    return digest_bytes(chat.model.encode(), prefix) or 1


def fingerprint(workspace: str, service: str, body: bytes) -> int:
    """Return the digest that is the same each time a request is sent.

    :param workspace: The request's workspace.
    :param service: The service that it is sent to.
    :param body: Its body.
    :returns: The digest; never 0, which means no digest.
    """
    return digest_bytes(workspace.encode(), service.encode(), body) or 1
