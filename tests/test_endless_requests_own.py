"""Requests without end to the fleet's own interface.

Guards against a server that reads what peers send for as long as it comes,
keeps all of it, or writes a refusal into another request's answer.
"""

from __future__ import annotations

import asyncio
from itertools import chain, repeat
from typing import Any

import pytest
from expression import Result

from bulrushstream.state.excess import Excess, ExcessReason, PeerKind
from bulrushstream.transport.answering import send_problem
from bulrushstream.transport.boundedprotocol import MAX_DROPPED_BYTES
from bulrushstream.transport.incoming import (
    BodyLimits,
    ReadingState,
    decode_headers,
    read_incoming,
)
from bulrushstream.transport.server import Server, ServerLimits
from tests.endlesscallers import (
    CHUNKED,
    ENDLESS,
    HONEST,
    LAST,
    MAX_BODY_BYTES,
    READ_BYTES,
    REASONS,
    WHOLE,
    CallerTransport,
    pieces,
    play,
)

LIMITS = ServerLimits(max_header_bytes=20_000)


class Fleet:
    """A server that answers each request; `/slow` takes a second."""

    def __init__(self, max_body_bytes: int = 4 << 20) -> None:
        self.reports: list[Excess] = []
        self.reading = ReadingState()
        self._limits = BodyLimits(max_body_bytes, read_timeout_s=15.0)

        async def app(scope: Any, receive: Any, send: Any) -> None:
            await self._answer(scope, receive, send)

        self.server = Server(app, "127.0.0.1", 0, LIMITS)

    async def _answer(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["path"] == "/early":
            await send_problem(send, b"early", [], 401)
            return
        headers = decode_headers(scope)
        match await read_incoming(
            scope, headers, receive, self._limits, self.reading
        ):
            case Result(tag="error", error=refusal):
                await send_problem(
                    send, b"", [], refusal.notice.status, refusal.close
                )
            case Result(tag="ok"):
                if scope["path"] == "/slow":
                    await asyncio.sleep(1.0)
                await send_problem(send, b"whole", [], 200)

    def connect(self) -> CallerTransport:
        return CallerTransport(self.server._make_protocol())


@pytest.mark.parametrize("place", ENDLESS)
class EndlessSuite:
    @pytest.mark.parametrize(
        ("size", "callers"), [(1, 1), (1460, 5), (READ_BYTES, 5)]
    )
    def test_little_is_read_of_a_request_without_end(
        self, place: str, size: int, callers: int
    ) -> None:
        start, repeated, status = ENDLESS[place]

        async def case() -> None:
            fleet = Fleet(MAX_BODY_BYTES)
            endless = [fleet.connect() for _ in range(callers)]
            for each in endless:
                await each.send(pieces(start, repeated, size))
            await asyncio.sleep(3.0)
            for each in endless:
                assert each.statuses[0] == status
                assert each.closed
                assert each.read_bytes <= MAX_DROPPED_BYTES + 850_000
            assert fleet.reading.reading_bytes == 0
            assert fleet.server.open_connections == 0

        play(case)

    @pytest.mark.parametrize("first", (b"", WHOLE))
    def test_a_trickle_ends_in_time(self, place: str, first: bytes) -> None:
        start, repeated, _ = ENDLESS[place]

        async def case() -> None:
            caller = Fleet().connect()
            await caller.send(chain([first, start], repeat(repeated, 60)), 1.0)
            assert asyncio.get_running_loop().time() <= 30.0
            assert caller.closed

        play(case)

    def test_each_end_is_reported_once(self, place: str) -> None:
        """Guards against operators who can't see who sends too much."""
        start, repeated, status = ENDLESS[place]

        async def case() -> None:
            fleet = Fleet(MAX_BODY_BYTES)
            fleet.server._on_excess = fleet.reports.append
            caller = fleet.connect()
            await caller.send(pieces(start, repeated, 1460))
            await asyncio.sleep(3.0)
            reason = REASONS.get(place, ExcessReason.FRAMING)
            expected = Excess(PeerKind.CALLER, "192.0.2.7:40000", reason)
            # The callers' front counts bodies that are too large.
            assert fleet.reports == [expected] * (status != 413)

        play(case)


SLOW = WHOLE.replace(b"/a", b"/slow")
REFUSED = {
    "invalid": (b"\x16\x03\x01", 400),
    "head": (b"GET /a HTTP/1.1\r\nx: " + b"x" * 30_000, 431),
    "long head": (b"GET /a HTTP/1.1\r\nx: %b\r\n\r\n" % (b"x" * 30_000), 431),
    "trailer": (LAST + b"x: " + b"x" * 60_000, 431),
}


class PipelineSuite:
    """Requests behind others on one connection."""

    @pytest.mark.parametrize("name", REFUSED)
    @pytest.mark.parametrize("before", (0, 1, 3))
    def test_a_refusal_waits_for_the_answers_before_it(
        self, name: str, before: int
    ) -> None:
        """Guards against a caller that takes it for another's answer."""
        refused, status = REFUSED[name]

        async def case() -> None:
            fleet = Fleet()
            caller = fleet.connect()
            await caller.send([SLOW * before + refused, b"x" * 50_000])
            await asyncio.sleep(before + 3.0)
            expected = [200] * before if before else [status]
            assert caller.statuses == expected
            assert caller.answer.count(b"whole") == before
            assert caller.closed

        play(case)

    def test_only_so_many_wait(self) -> None:
        """Guards against thousands of requests in one read."""

        async def case() -> None:
            caller = Fleet().connect()
            await caller.send([SLOW * 4_000])
            await asyncio.sleep(30.0)
            assert caller.statuses == [200] * 17
            assert caller.closed

        play(case)

    def test_the_rest_of_an_answered_request_has_little_time(self) -> None:
        async def case() -> None:
            caller = Fleet().connect()
            early = CHUNKED.replace(b"/a", b"/early")
            await caller.send(chain([early], repeat(b"1\r\nx\r\n", 60)), 1.0)
            assert asyncio.get_running_loop().time() <= 15.0
            assert caller.statuses == [401]

        play(case)


class HonestSuite:
    """Requests within the limits are served as ever."""

    @pytest.mark.parametrize("name", HONEST)
    @pytest.mark.parametrize("lasts_s", (0.0, 8.0))
    def test_they_are_served(self, name: str, lasts_s: float) -> None:
        sent = HONEST[name]

        async def case() -> None:
            caller = Fleet().connect()
            await caller.send(sent, lasts_s / len(sent))
            await asyncio.sleep(0.1)
            served = [each for each in caller.statuses if each != 100]
            assert served == [200] * (16 if "pipelined" in name else 1)
            assert not caller.closed

        play(case)
