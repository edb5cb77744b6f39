"""Callers find a way into a router that many others use."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import pytest

from bulrushstream.coordination.looplag import TICK_S, LoopLag
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import (
    ClientConnection,
    Ingress,
    IngressLimits,
)

REQUEST = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """The router's end of a caller's connection."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""
        self.closed = False

    def write(self, data: Any) -> None:
        self.data += data

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: all bytes are written at once."""

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True


class Crowd:
    """A router's callers and their connections."""

    def __init__(self, limit: int) -> None:
        loop = asyncio.get_running_loop()
        self.waiting: list[Exchange] = []
        self.ingress = Ingress(
            self.waiting.append, IngressLimits(connections=limit), loop.time
        )

    def connect(self) -> tuple[ClientConnection, FakeTransport]:
        connection = self.ingress.make_connection()
        transport = FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    def answer_all(self) -> None:
        for exchange in self.waiting:
            exchange.answer(429, [])
        self.waiting.clear()


class KeptConnectionsSuite:
    """Callers that keep their connections after an answer.

    Guards against a router that resets new connections since one workspace's
    callers keep as many as it may have, without a request on them.
    """

    @pytest.mark.parametrize("per_caller", [1, 3])
    def test_new_callers_are_served_beside_kept_connections(
        self, per_caller: int
    ) -> None:
        async def play() -> None:
            crowd = Crowd(limit=20)
            kept = [crowd.connect() for _ in range(20)]
            for _ in range(per_caller):
                for connection, _ in kept:
                    connection.data_received(REQUEST)
                crowd.answer_all()
            for _ in range(20):
                connection, transport = crowd.connect()
                connection.data_received(REQUEST)
                crowd.answer_all()
                assert transport.data.startswith(b"HTTP/1.1 429")
                assert not transport.closed
            assert all(transport.closed for _, transport in kept)
            assert len(crowd.ingress.connections) == 20

        assert run_virtually(play()) == []

    def test_requests_keep_their_connections(self) -> None:
        async def play() -> None:
            crowd = Crowd(limit=4)
            busy = [crowd.connect() for _ in range(3)]
            for connection, _ in busy:
                connection.data_received(REQUEST)
            half, half_transport = crowd.connect()
            half.data_received(REQUEST[:9])
            _, refused = crowd.connect()
            assert refused.closed
            half.data_received(REQUEST[9:])
            crowd.answer_all()
            for transport in [*(each[1] for each in busy), half_transport]:
                assert transport.data.startswith(b"HTTP/1.1 429")
                assert not transport.closed

        assert run_virtually(play()) == []


SERVED_S: Final = 0.004  # Processor time of a request that is served.
TURNED_AWAY_S: Final = 0.0004
PLAYED_S: Final = 10.0
LATENCY_TARGET_S: Final = 0.8


@dataclass
class Processed:
    """What one router's processor did."""

    waits_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    turned_away: Counter[str] = field(default_factory=Counter)
    busy_s: float = 0.0  # With requests that were served.


def process(per_s: dict[str, float], seed: int) -> Processed:
    """Play the processor of one router, which does one thing at a time.

    :param per_s: requests a second of each workspace
    """
    rng, lag, done = Random(seed), LoopLag(), Processed()
    arrivals = sorted(
        (rng.uniform(0.0, PLAYED_S), name)
        for name, rate in per_s.items()
        for _ in range(int(rate * PLAYED_S))
    )
    now_s = tick_s = 0.0
    while arrivals:
        # While the router has nothing to do, timers are on time.
        now_s = max(now_s, arrivals[0][0])
        while tick_s < now_s and tick_s <= arrivals[0][0]:
            lag.tick(tick_s)
            tick_s += TICK_S
        if tick_s <= now_s:
            lag.tick(now_s)
            tick_s = now_s + TICK_S
        # One iteration of the event loop handles all that has arrived.
        count = sum(at_s <= now_s for at_s, _ in arrivals)
        for at_s, name in arrivals[:count]:
            if lag.turns_away(name, now_s):
                done.turned_away[name] += 1
                now_s += TURNED_AWAY_S
            else:
                done.waits_s[name].append(now_s - at_s)
                done.busy_s += SERVED_S
                now_s += SERVED_S
        del arrivals[:count]
    return done


QUIET: Final = {f"quiet{number}": 3.0 for number in range(8)}


class ProcessorSuite:
    """More requests than one router has processor time for.

    Guards against callers who wait for seconds, or find no connection, since
    another workspace's callers crowd their router.
    """

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("hot_per_s", [250.0, 500.0, 1_000.0])
    def test_quiet_callers_do_not_pay_for_a_crowd_at_their_router(
        self, hot_per_s: float, seed: int
    ) -> None:
        done = process({"hot": hot_per_s, **QUIET}, seed)
        assert set(done.turned_away) == {"hot"}
        for waits_s in done.waits_s.values():
            assert max(waits_s) <= LATENCY_TARGET_S / 2
        assert done.busy_s >= 0.5 * PLAYED_S

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_no_one_is_turned_away_while_the_processor_suffices(
        self, seed: int
    ) -> None:
        done = process({"hot": 180.0, **QUIET}, seed)
        assert not done.turned_away

    def test_a_router_that_stood_still_turns_no_quiet_workspace_away(
        self,
    ) -> None:
        lag = LoopLag()
        lag.tick(1.0)
        assert not any(lag.turns_away(name, 4.0) for name in QUIET)
