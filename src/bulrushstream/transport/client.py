"""HTTP clients with bounded connections and deadlines."""

from __future__ import annotations

from typing import Final

import httpx

CONNECT_TIMEOUT_S: Final = 2.0
# Shorter than any server's idle time, so that a pooled connection is not
# taken just when the server closes it.
KEEPALIVE_S: Final = 4.0


def make_client(
    base_url: str,
    timeout_s: float,
    max_connections: int = 16,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> httpx.AsyncClient:
    """Return a client of one server.

    Environment variables do not steer it: a proxy set for an operator's
    shell has no place between the fleet and its endpoints.

    :param base_url: The server.
    :param timeout_s: How long one read or write may take, in seconds.
    :param max_connections: The most connections at once.
    :param connect_timeout_s: How long connecting may take, in seconds.
    :returns: The client, to be closed by its owner.
    """
    limits = httpx.Limits(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=KEEPALIVE_S,
    )
    timeout = httpx.Timeout(timeout_s, connect=connect_timeout_s)
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=timeout,
        limits=limits,
        trust_env=False,
        # Loading the authorities takes long and plain HTTP needs none.
        verify=base_url.startswith("https"),
        follow_redirects=False,
    )
