"""What routers and agents read in a chat-completions body.

Only a few members matter here; the body itself travels as it came.  The
*prefix digest* stands for the beginning of a prompt: engines that keep
the same prefix in their cache answer sooner.
"""

from __future__ import annotations

from typing import Final

import msgspec
import xxhash

PREFIX_BYTES: Final = 1024
_SIGN_BIT: Final = 1 << 63
_MODULUS: Final = 1 << 64


class ChatBody(msgspec.Struct, frozen=True):
    """The members of a chat-completions body that decide its way."""

    model: str = ""  # The model that the caller named.
    messages: msgspec.Raw = msgspec.Raw(b"[]")  # The prompt, unparsed.
    stream: bool = False  # Whether the answer is streamed.
    max_tokens: int = 0  # The most tokens to generate; 0: not said.


_DECODER: Final = msgspec.json.Decoder(ChatBody)


def decode_chat(body: bytes) -> ChatBody | None:
    """Decode a chat-completions body.

    :param body: The request's body.
    :returns: Its members; None: it is no such body.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def digest_bytes(*pieces: bytes) -> int:
    """Return the XXH3 digest of some bytes as a signed 64-bit number.

    Each piece is hashed with its length, so that no two lists of pieces
    are confused.  Thrift's i64 is signed.

    :param pieces: What to hash.
    :returns: The digest.
    """
    hasher = xxhash.xxh3_64()
    for piece in pieces:
        hasher.update(b"%d:" % len(piece))
        hasher.update(piece)
    value = hasher.intdigest()
    return value - _MODULUS if value >= _SIGN_BIT else value


def prefix_digest(chat: ChatBody) -> int:
    """Return the digest of a prompt's beginning.

    :param chat: The body.
    :returns: The digest, never 0, which stands for none.
    """
    prefix = bytes(chat.messages)[:PREFIX_BYTES]
    return digest_bytes(chat.model.encode(), prefix) or 1


def fingerprint(workspace: str, service: str, body: bytes) -> int:
    """Return the digest that names a request however often it is sent.

    :param workspace: Whose request it is.
    :param service: Which service runs it.
    :param body: Its body.
    :returns: The digest, never 0, which stands for none.
    """
    return digest_bytes(workspace.encode(), service.encode(), body) or 1
