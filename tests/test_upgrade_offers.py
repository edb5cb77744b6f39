"""Requests and answers that offer to speak another protocol (review/8).

Guards against a request that runs without its body, as the parser takes its
head for its end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any, Final, cast

import pytest

from bulrushstream.history.keptconnection import KeptTransport
from bulrushstream.platform.headers import decode_call
from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.admission import endpoint_headers
from bulrushstream.transport.connection import (
    Connection,
    ResponseFailure,
    Sink,
)
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.incoming import decode_headers
from bulrushstream.transport.ingress import Ingress, IngressLimits
from bulrushstream.transport.server import Server, ServerLimits
from bulrushstream.transport.upstream import Pool
from tests.endlesscallers import CallerTransport, play

SETTINGS: Final = b"HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABk\r\n"
OFFERS: Final = {
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    + SETTINGS,
    "in two lines": b"connection: keep-alive\r\nUPGRADE: h2c\r\n"
    b"Connection: upgrade\r\n",
    "websocket": b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
    b"Sec-WebSocket-Key: a\r\nSec-WebSocket-Version: 13\r\n",
    "several": b"Connection: Upgrade\r\nUpgrade: h2c, TLS/1.0\r\n"
    b"Upgrade: websocket\r\n",
    "with a close": b"Connection: Upgrade, close\r\nUpgrade: h2c\r\n",
}
BODIES: Final = {
    "length": b"Content-Length: 13\r\n\r\n3 mugs, 1 hat",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n"
    b"5\r\n3 mug\r\n8;x=1\r\ns, 1 hat\r\n0\r\nTrailer: 1\r\n\r\n",
    "none": b"Content-Length: 0\r\n\r\n",
}
# What each body is to an application.
WHOLE: Final = {"length": b"3 mugs, 1 hat", "chunks": b"3 mugs, 1 hat"}
LINES: Final = b"POST /order?n=%d HTTP/1.1\r\nHost: a\r\nExpect: x\r\n"

Got = tuple[bytes, bytes, bytes]  # Method, target and body.


def request(offer: str, body: str, number: int = 1) -> bytes:
    """Return the bytes of a request."""
    return LINES % number + OFFERS.get(offer, b"") + BODIES[body]


def expected(body: str, number: int = 1) -> Got:
    """Return how a request is to arrive."""
    return b"POST", b"/order?n=%d" % number, WHOLE.get(body, b"")


def feed_ingress(pieces: Iterable[bytes]) -> tuple[list[Got], list[int]]:
    """Return what the router of the users' platform takes of some bytes.

    :returns: the requests, and the statuses of its own answers
    """
    got: list[Got] = []
    statuses: list[int] = []

    def handle(exchange: Exchange) -> None:
        got.append((exchange.method, exchange.target, exchange.body))
        exchange.answer(204, [])

    async def case() -> None:
        loop = asyncio.get_running_loop()
        ingress = Ingress(handle, IngressLimits(), loop.time)
        caller = CallerTransport(ingress.make_connection())
        await caller.send(pieces)
        await asyncio.sleep(1.0)
        statuses.extend(caller.statuses)

    play(case)
    return got, statuses


def feed_own(pieces: Iterable[bytes]) -> tuple[list[Got], list[int]]:
    """Return the same of the own interface."""
    got: list[Got] = []
    statuses: list[int] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        body, more = b"", True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        target = scope["raw_path"] + b"?" + scope["query_string"]
        got.append((scope["method"].encode(), target, body))
        start = {"type": "http.response.start", "status": 204, "headers": []}
        await send(start)
        await send({"type": "http.response.body", "body": b""})

    async def case() -> None:
        server = Server(app, "127.0.0.1", 0, ServerLimits())
        caller = CallerTransport(server._make_protocol())
        await caller.send(pieces)
        await asyncio.sleep(1.0)
        statuses.extend(caller.statuses)

    play(case)
    return got, statuses


INTERFACES: Final = {"platform": feed_ingress, "own": feed_own}


@pytest.mark.parametrize("interface", INTERFACES)
class OfferSuite:
    @pytest.mark.parametrize("offer", OFFERS)
    @pytest.mark.parametrize("body", BODIES)
    def test_the_request_is_whole(
        self, interface: str, offer: str, body: str
    ) -> None:
        whole = request(offer, body)
        got = INTERFACES[interface]([whole])
        assert got == ([expected(body)], [204])

    # Guards against a head or a body that ends amid a read.
    @pytest.mark.parametrize("body", BODIES)
    def test_in_two_reads(self, interface: str, body: str) -> None:
        whole = request("h2c", body)
        for cut in range(1, len(whole)):
            got = INTERFACES[interface]([whole[:cut], whole[cut:]])
            assert got == ([expected(body)], [204])

    @pytest.mark.parametrize("body", BODIES)
    def test_byte_by_byte(self, interface: str, body: str) -> None:
        whole = request("several", body)
        got = INTERFACES[interface](bytes([each]) for each in whole)
        assert got == ([expected(body)], [204])

    # Guards against requests behind it that are lost, or taken for its body.
    @pytest.mark.parametrize("size", [0, 1, 7, 100])
    def test_others_follow(self, interface: str, size: int) -> None:
        offers = ["h2c", "", "websocket", "", "several"]
        bodies = ["length", "chunks", "chunks", "none", "length"]
        numbered = list(zip(offers, bodies, range(5), strict=True))
        data = b"".join(request(*each) for each in numbered)
        size = size or len(data)
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        got, statuses = INTERFACES[interface](pieces)
        assert got == [expected(body, n) for _, body, n in numbered]
        assert statuses == [204] * 5

    # Guards against a request that is malformed and runs all the same.
    @pytest.mark.parametrize(
        "rest",
        [
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
            b"Content-Length: x\r\n\r\nabc",
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
            b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            b"no header\r\n\r\n",
        ],
    )
    @pytest.mark.parametrize("offer", ["h2c", ""])
    def test_it_is_malformed(
        self, interface: str, offer: str, rest: bytes
    ) -> None:
        head = LINES % 1 + OFFERS.get(offer, b"")
        got, statuses = INTERFACES[interface]([head + rest])
        assert statuses == [400]
        assert all(body == b"" for _, _, body in got)
        if interface == "platform":
            assert not got

    # Guards against a tunnel that runs as a request without a body.
    @pytest.mark.parametrize("rest", BODIES.values())
    def test_a_tunnel_is_refused(self, interface: str, rest: bytes) -> None:
        head = b"CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n"
        got, statuses = INTERFACES[interface]([head + rest])
        assert (got, statuses) == ([], [400])


class ConnectionHeaderSuite:
    # Guards against an offer that reaches an endpoint, which may take it up.
    def test_an_offer_is_not_passed_on(self) -> None:
        headers: RawHeaders = [
            (b"Host", b"a"),
            (b"X-Request-Id", b"q1"),
            (b"Connection", b"Upgrade"),
            (b"Upgrade", b"h2c"),
            (b"HTTP2-Settings", b"AAEA"),
        ]
        call = decode_call(b"POST", b"/x", headers)
        own = endpoint_headers(decode_headers({"headers": headers}), False)
        for names in (
            {name.lower() for name, _ in call.headers},
            {name.encode() for name, _ in own},
        ):
            offered = {b"upgrade", b"http2-settings", b"connection"}
            assert names.isdisjoint(offered)


class AnswerSuite:
    # Guards against answers of endpoints that offer another protocol, or
    # claim to speak it, and are cut.
    @pytest.mark.parametrize(
        ("status", "whole"),
        [(b"200 OK", True), (b"426 Upgrade", True), (b"101 Switch", False)],
    )
    def test_an_endpoint_offers_one(self, status: bytes, whole: bool) -> None:
        answer = (
            b"HTTP/1.1 %b\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
            b"Content-Length: 4\r\n\r\nmugs" % status
        )
        for cut in range(1, len(answer)):
            body: list[bytes] = []
            ends: list[object] = []

            class Reading:
                def head(self, status: int, headers: RawHeaders) -> bool:
                    return True

                def data(self, data: bytes, body: list[bytes] = body) -> None:
                    body.append(data)

                def end(
                    self, *, framed: bool = True, ends: list[object] = ends
                ) -> None:
                    ends.append(framed)

                def failed(
                    self,
                    failure: ResponseFailure,
                    detail: str,
                    ends: list[object] = ends,
                ) -> None:
                    ends.append(failure)

            connection = Connection(Pool("10.0.0.1", 80, lambda: 0.0))
            connection.connection_made(KeptTransport())
            connection.send(b"POST", b"", cast(Sink, Reading()))
            for piece in (answer[:cut], answer[cut:]):
                if not connection.is_closed:
                    connection.data_received(piece)
            if whole:
                assert (b"".join(body), ends) == (b"mugs", [True])
            else:
                assert (body, ends) == ([], [ResponseFailure.BROKEN])
