"""Seals: a keyed digest before each frame.

The Thrift reader trusts the sizes that it reads: a few foreign bytes can
keep it busy for seconds.  So a frame is read only if the digest before it
was made with the fleet's shared secret.  Once both sides know each other's
nonce, a key of the connection's own replaces the secret, so that a frame
recorded on one connection is worth nothing on another.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

SEAL_SIZE_BYTES: Final = 8
NONCE_SIZE_BYTES: Final = 16

_KEY_LIMIT_BYTES: Final = 64


def first_key(secret: str) -> bytes:
    """Return the key for the messages before nonces are known.

    :param secret: the fleet's shared secret
    """
    return hashlib.blake2b(secret.encode()).digest()[:_KEY_LIMIT_BYTES]


def session_key(key: bytes, dialler: bytes, listener: bytes) -> bytes:
    """Return the key of one connection.

    :param key: what `first_key` returned
    :param dialler: the nonce of the side that dialled
    :param listener: the nonce of the side that listened
    """
    return hashlib.blake2b(dialler + listener, key=key).digest()


def seal(key: bytes, frame: bytes) -> bytes:
    """Return the digest that goes before a frame."""
    return hashlib.blake2b(
        frame, key=key, digest_size=SEAL_SIZE_BYTES
    ).digest()


def is_sealed(key: bytes, digest: bytes, frame: bytes) -> bool:
    """Tell whether a frame was sealed with this key."""
    return hmac.compare_digest(digest, seal(key, frame))
