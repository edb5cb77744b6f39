"""Callers whose requests have no end, or are too many to keep.

Guards against a router that reads what callers send for as long as it comes,
keeps all of it, or serves nobody else meanwhile.
"""

from __future__ import annotations

import asyncio
from itertools import chain, repeat

import pytest

from bulrushstream.state.excess import Excess, ExcessReason, PeerKind
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits
from tests.endlesscallers import (
    CHUNKED,
    ENDLESS,
    HONEST,
    MAX_BODY_BYTES,
    READ_BYTES,
    REASONS,
    WHOLE,
    CallerTransport,
    pieces,
    play,
)


class Router:
    """A router's callers' side, which answers each request at once.

    Except those to `/held`, which it never answers.
    """

    def __init__(
        self, limits: IngressLimits | None = None, memory_bytes: int = 2**24
    ) -> None:
        loop = asyncio.get_running_loop()
        self.received: list[Exchange] = []
        self.reports: list[Excess] = []
        self.ingress = Ingress(
            self._handle,
            limits or IngressLimits(),
            loop.time,
            MemoryBudget(memory_bytes),
            on_excess=self.reports.append,
        )

    def _handle(self, exchange: Exchange) -> None:
        self.received.append(exchange)
        if exchange.target != b"/held":
            exchange.answer(200, [])

    def connect(self) -> CallerTransport:
        return CallerTransport(self.ingress.make_connection())


@pytest.mark.parametrize("place", ENDLESS)
class EndlessSuite:
    @pytest.mark.parametrize(
        ("size", "callers"), [(1, 1), (1460, 20), (READ_BYTES, 20)]
    )
    def test_little_is_read_of_a_request_without_end(
        self, place: str, size: int, callers: int
    ) -> None:
        start, repeated, status = ENDLESS[place]

        async def case() -> None:
            router = Router(IngressLimits(body_bytes=MAX_BODY_BYTES))
            endless = [router.connect() for _ in range(callers)]
            for each in endless:
                await each.send(pieces(start, repeated, size))
            await asyncio.sleep(3.0)
            for each in endless:
                assert each.statuses[0] == status
                assert b"connection: close" in each.answer or status == 200
                assert each.closed
                assert each.read_bytes <= 1_700_000
            assert router.ingress.buffered_bytes == 0
            assert not router.ingress.connections
            assert not router.ingress.waiting

        play(case)

    def test_each_end_is_reported_once(self, place: str) -> None:
        """Guards against operators who can't see who sends too much."""
        start, repeated, _ = ENDLESS[place]

        async def case() -> None:
            router = Router(IngressLimits(body_bytes=MAX_BODY_BYTES))
            caller = router.connect()
            await caller.send(pieces(start, repeated, 1460))
            await asyncio.sleep(3.0)
            reason = REASONS.get(place, ExcessReason.FRAMING)
            assert router.reports == [
                Excess(PeerKind.CALLER, "192.0.2.7:40000", reason)
            ]

        play(case)

    def test_a_trickle_ends_in_time(self, place: str) -> None:
        start, repeated, status = ENDLESS[place]

        async def case() -> None:
            router = Router()
            caller = router.connect()
            loop = asyncio.get_running_loop()
            units = chain([start], repeat(repeated, 60))
            await caller.send(units, 1.0)
            assert caller.statuses[-1] == 408 or status == 200
            assert loop.time() <= 25.0
            assert caller.closed

        play(case)


class CrowdSuite:
    """The sum over all callers, and the turns of the event loop."""

    def test_a_large_waiting_request_makes_room_for_a_small_one(self) -> None:
        """Guards against callers who never end their large requests."""

        async def case() -> None:
            router = Router(IngressLimits(buffered_bytes=300_000))
            large = [router.connect() for _ in range(4)]
            for each in large:
                await each.send([CHUNKED, b"11170\r\n", b"x" * 70_000])
            small = [router.connect() for _ in range(9)]
            for each in small:
                head = b"POST /a HTTP/1.1\r\nContent-Length: 30000\r\n\r\n"
                await each.send([head + b"x" * 20_000])
            for each in small:
                await each.send([b"x" * 10_000])
            assert [each.statuses for each in small] == [[200]] * 9
            refused = [each for each in large if each.statuses == [503]]
            assert refused
            assert router.ingress.buffered_bytes <= 300_000

        play(case)

    @pytest.mark.parametrize("current", ("held", "none"))
    @pytest.mark.parametrize(
        "kind",
        ("bodies", "heads", "half a head", "behind another", "short headers"),
    )
    def test_all_that_waits_has_one_limit(
        self, kind: str, current: str
    ) -> None:
        """Guards against many callers with a little each."""
        body = b"POST /a HTTP/1.1\r\nContent-Length: 15000\r\n\r\n"
        head = b"GET /a HTTP/1.1\r\nx: %b" % (b"x" * 15_000)
        waiting = {
            "bodies": (body + b"x" * 15_000) * 3 + body + b"x" * 9_000,
            "heads": (head + b"\r\n\r\n") * 3 + head,
            "half a head": head,
            "behind another": WHOLE + head,
            "short headers": b"GET /a HTTP/1.1\r\n" + b"ab:cd\r\n" * 120,
        }[kind]
        held = b"GET /held HTTP/1.1\r\n\r\n"

        async def case() -> None:
            router = Router(memory_bytes=200_000)
            greedy = [router.connect() for _ in range(40)]
            for each in greedy:
                await each.send([held] if current == "held" else [])
                await each.send([waiting])
                ingress = router.ingress
                kept = sum(each.kept_bytes for each in ingress.connections)
                assert ingress.memory.used_bytes == kept <= 200_000
                assert ingress.waiting == {
                    each for each in ingress.connections if each.kept_bytes
                }
            # No connection's waiting bytes go uncounted.
            assert kept >= 130_000
            other = router.connect()
            await other.send([WHOLE[:20], WHOLE[20:]])
            assert other.statuses == [200]
            ended = len(router.reports)
            assert {each.reason for each in router.reports} <= {
                ExcessReason.MEMORY
            }
            if current == "held":
                assert ended >= 27
                for exchange in router.received[:40]:
                    exchange.answer(200, [])
                assert all(each.statuses[0] == 200 for each in greedy)
                assert sum(each.ended for each in greedy) == ended
            else:
                refused = [x for x in greedy if x.statuses[-1:] == [503]]
                assert len(refused) == ended >= 18

        play(case)

    @pytest.mark.parametrize("chunk", (b"1\r\nx\r\n", b"1;a\r\nx\r\n"))
    def test_one_callers_bytes_take_one_turn_of_many(
        self, chunk: bytes
    ) -> None:
        """Guards against a loop that parses one read for long."""

        async def case() -> None:
            router = Router()
            caller, other = router.connect(), router.connect()
            count = (READ_BYTES - len(CHUNKED)) // len(chunk)
            data = CHUNKED + chunk * count
            sending = asyncio.create_task(caller.send([data, b"0\r\n\r\n"]))
            await asyncio.sleep(0)
            assert router.ingress.buffered_bytes <= 8_192
            await other.send([WHOLE])
            assert other.statuses == [200]
            await sending
            assert caller.statuses == [200]
            assert len(router.received[1].body) == count

        play(case)


class RefusedSuite:
    def test_what_follows_a_refusal_is_read(self) -> None:
        """Guards against a reset that takes the refusal with it."""

        async def case() -> None:
            router = Router()
            caller = router.connect()
            data = CHUNKED + b"1\r\nx\r\n" * 20_000
            sending = asyncio.create_task(caller.send([data, data]))
            await asyncio.sleep(0)
            router.ingress.refuse_incomplete()
            assert caller.paused
            await sending
            assert not caller.paused
            assert caller.statuses == [503]

        play(case)


class HonestSuite:
    """Requests within the limits are served as ever."""

    @pytest.mark.parametrize("name", HONEST)
    @pytest.mark.parametrize("lasts_s", (0.0, 14.0))
    def test_they_are_served(self, name: str, lasts_s: float) -> None:
        sent = HONEST[name]

        async def case() -> None:
            router = Router()
            caller = router.connect()
            head_takes_s = min(lasts_s, 2.0) if name == "largest head" else 0
            pause_s = (head_takes_s or lasts_s) / len(sent)
            await caller.send(sent, pause_s)
            await asyncio.sleep(0.1)
            served = [each for each in caller.statuses if each != 100]
            assert served == [200] * (16 if "pipelined" in name else 1)
            assert (100 in caller.statuses) == (name == "expects")
            assert not caller.closed
            assert not caller.paused

        play(case)
