"""Callers whose requests have no end, or are too many to keep.

Guards against a router that reads what callers send for as long as it comes,
keeps all of it, or serves nobody else meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from itertools import chain, cycle, islice, repeat
from typing import Any, Final

import pytest

from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.state.excess import Excess, ExcessReason, PeerKind
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.transport.ingress import (
    ClientConnection,
    Exchange,
    Ingress,
    IngressLimits,
)

READ_BYTES: Final = 262_144  # What the event loop reads at once.
CHUNKED: Final = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE: Final = b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
LAST: Final = CHUNKED + b"1\r\nx\r\n0\r\n"

# The beginning, what follows without end, and the expected status.
ENDLESS: Final = {
    "head": (b"GET /a HTTP/1.1\r\nx: ", b"x", 431),
    "headers": (b"GET /a HTTP/1.1\r\n", b"x:\r\n", 431),
    "url": (b"GET /", b"x", 431),
    "lines": (b"", b"\r\n", 431),
    "size": (CHUNKED, b"0", 400),
    "extension": (CHUNKED + b"1;", b"x", 400),
    "later extension": (CHUNKED + b"1\r\nx\r\n1;", b"x", 400),
    "trailer": (LAST + b"x: ", b"x", 431),
    "trailers": (LAST, b"x:\r\n", 431),
    "body": (CHUNKED, b"400\r\n%b\r\n" % (b"x" * 1024), 413),
    "tiny chunks": (CHUNKED, b"1\r\nx\r\n", 413),
    "behind another": (WHOLE + LAST + b"x: ", b"x", 200),
}
MAX_BODY_BYTES: Final = 10_000
REASONS: Final = {
    "head": ExcessReason.HEAD,
    "headers": ExcessReason.HEADERS,
    "url": ExcessReason.HEAD,
    "lines": ExcessReason.HEAD,
    "trailers": ExcessReason.HEADERS,
    "body": ExcessReason.BODY,
    "tiny chunks": ExcessReason.BODY,
}


class CallerTransport(asyncio.Transport):
    """A caller's connection, of which the router reads while it wants."""

    def __init__(self, connection: ClientConnection) -> None:
        super().__init__({"peername": ("192.0.2.7", 40000)})
        self._connection = connection
        self.answer = b""
        self.read_bytes = 0
        self.paused = self.ended = self.closed = False
        connection.connection_made(self)

    async def send(self, pieces: Iterable[bytes], pause_s: float = 0) -> None:
        """Send pieces for as long as they are read."""
        for piece in pieces:
            while self.paused and not self.closed:
                await asyncio.sleep(0)
            if self.closed:
                return
            self.read_bytes += len(piece)
            self._connection.data_received(piece)
            await asyncio.sleep(pause_s)

    @property
    def statuses(self) -> list[int]:
        heads = self.answer.split(b"HTTP/1.1 ")[1:]
        return [int(head[:3]) for head in heads]

    def write(self, data: Any) -> None:
        assert not self.ended
        self.answer += data

    def write_eof(self) -> None:
        self.ended = True

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._connection.connection_lost, None)

    abort = close


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


def play(case: Callable[[], Coroutine[Any, Any, None]]) -> None:
    assert run_virtually(case()) == []


def pieces(start: bytes, repeated: bytes, size: int) -> Iterable[bytes]:
    """Return very many bytes in pieces of a size."""
    if size == 1:
        units = chain(start, cycle(repeated))
        return (bytes([each]) for each in islice(units, 100_000))
    block = repeated * (size // len(repeated))
    return chain([start + block], repeat(block, 2_500_000 // len(block)))


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
            units = chain([start], repeat(repeated))
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


HONEST: Final = {
    "long body": [
        b"POST /a HTTP/1.1\r\nContent-Length: 4194304\r\n\r\n",
        *[b"x" * READ_BYTES] * 16,
    ],
    "short chunks": [
        CHUNKED,
        *[b"64\r\n%b\r\n" % (b"x" * 100)] * 10_000,
        b"0\r\n\r\n",
    ],
    "tiny chunks": [CHUNKED, b"1\r\nx\r\n" * 100_000, b"0\r\n\r\n"],
    "trailers": [LAST + b"name: %b\r\n" % (b"x" * 100) * 20 + b"\r\n"],
    "extensions": [CHUNKED, b"1;name=value\r\nx\r\n" * 500 + b"0\r\n\r\n"],
    "largest head": [
        b"GET /a HTTP/1.1\r\n",
        *[b"x: %b\r\n" % (b"x" * 100)] * 150,
        b"\r\n",
    ],
    "expects": [
        b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\n"
        b"Content-Length: 2\r\n\r\n",
        b"hi",
    ],
    "pipelined": [WHOLE * 16],
    "pipelined, long": [
        b"POST /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536
    ]
    * 16,
}


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
