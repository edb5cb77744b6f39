"""HTTP clients with connection limits and time-outs."""

from __future__ import annotations

from typing import Final

import httpx

CONNECT_TIMEOUT_S: Final = 2.0
# Shorter than any server's idle time-out, so that a pooled connection is
# not reused at the moment when the server closes it.
KEEPALIVE_S: Final = 4.0


def make_client(
    base_url: str,
    timeout_s: float,
    max_connections: int = 16,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> httpx.AsyncClient:
    """Return a client of one server.

    It ignores environment variables: a proxy that is set for an operator's
    shell must not be used between the fleet and its endpoints.

    :param base_url: The server's URL.
    :param timeout_s: The time-out of one read or write, in seconds.
    :param max_connections: The limit of open connections.
    :param connect_timeout_s: The time-out of connecting, in seconds.
    :returns: The client; the caller must close it.
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
        # Loading the CA certificates is slow, and plain HTTP needs none.
        verify=base_url.startswith("https"),
        follow_redirects=False,
    )
