"""Picks among hosts by a hash, the same at all routers.

Rendezvous hashing: D. G. Thaler and C. V. Ravishankar, "Using Name-Based
Mappings to Increase Hit Rates", 1998.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank_hosts(hosts: Iterable[str], key: bytes) -> list[str]:
    """Return hosts in an order that a key gives, the same at all routers.

    :param hosts: the hosts
    :param key: the key
    """
    seed: int = xxhash.xxh32_intdigest(key)
    return sorted(hosts, key=lambda host: host_weight(host, seed))


def host_weight(host: str, seed: int) -> int:
    """Return a host's place in the order that a seed gives.

    :param host: the host
    :param seed: an unsigned 32-bit number
    """
    digest: int = xxhash.xxh32_intdigest(host.encode(), seed)
    return digest
