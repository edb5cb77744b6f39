"""The message authentication code (MAC) of a frame: keyed BLAKE2b.

The Thrift reader trusts the sizes that it reads, so a few foreign bytes can
keep it busy for seconds.  Therefore a frame is decoded only if its MAC was
made with a key derived from the fleet's shared secret.  Once both sides of
a connection know each other's nonce, they switch to a session key, so that
a frame recorded on one connection can not be replayed on another.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

MAC_SIZE_BYTES: Final = 8
NONCE_SIZE_BYTES: Final = 16

_KEY_LIMIT_BYTES: Final = 64


def initial_key(secret: str) -> bytes:
    """Return the key that is used until both nonces are known.

    :param secret: the fleet's shared secret
    """
    return hashlib.blake2b(secret.encode()).digest()[:_KEY_LIMIT_BYTES]


def session_key(
    key: bytes, dialler_nonce: bytes, listener_nonce: bytes
) -> bytes:
    """Return the session key of a connection.

    :param key: the key that `initial_key` returned
    :param dialler_nonce: the nonce of the side that dialled
    :param listener_nonce: the nonce of the side that accepted
    """
    return hashlib.blake2b(dialler_nonce + listener_nonce, key=key).digest()


def compute_mac(key: bytes, frame: bytes) -> bytes:
    """Return the MAC of an encoded message."""
    return hashlib.blake2b(frame, key=key, digest_size=MAC_SIZE_BYTES).digest()


def verify_mac(key: bytes, mac: bytes, frame: bytes) -> bool:
    """Return whether a MAC was made from this message with this key."""
    return hmac.compare_digest(mac, compute_mac(key, frame))
