"""Simulated callers: their connections and requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import ClientConnection
from tests.crashplans import DEFAULT_PREFIX, ROUTES, TIMEOUT_S
from tests.deployments import HOST, KEY


class Caller:
    """A caller's connection; records the answer."""

    closing = False

    def __init__(self) -> None:
        self.data = b""
        self.ended = False
        self.aborted = False
        self.gone = False  # Whether it closed, and the router did not read it.
        self.resets = False  # Whether any end but that of a response resets.
        self.on_end: Callable[[], None] = lambda: None

    def write(self, data: bytes) -> None:
        self.data += data

    def has_peer_closed(self) -> bool:
        return self.gone

    def exchange_finished(self, exchange: Exchange) -> None:
        self.ended = True
        self.on_end()

    def abort(self) -> None:
        self.ended = self.aborted = True
        if self.resets:
            # What the caller has not read yet is lost.
            self.data = b""
        self.on_end()

    def reset_unless_finished(self) -> None:
        self.resets = True


def an_exchange(
    caller: Caller,
    request_id: str,
    path: str,
    body: bytes,
    prefix: str = DEFAULT_PREFIX,
) -> Exchange:
    """Return a caller's request; a stream if that is what its route has."""
    exchange = Exchange(cast(ClientConnection, caller))
    exchange.method = b"POST"
    exchange.target = f"{path}x".encode()
    exchange.headers = [
        (b"Host", HOST.encode()),
        (b"X-Request-Id", request_id.encode()),
        (b"X-Deadline-Ms", b"%d" % (TIMEOUT_S * 1000)),
        (b"Authorization", b"Bearer " + KEY.encode()),
    ]
    if ROUTES[path].streams:
        exchange.headers += [
            (b"X-Model", b"m"),
            (b"X-Token-Counts", b"60,20"),
            (b"X-Prompt-Prefix", prefix.encode()),
        ]
    exchange.body = body
    return exchange
