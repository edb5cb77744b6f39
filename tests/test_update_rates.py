"""What routers tell each other costs little, however many there are."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import pytest

from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.protocol.peercodec import decode_update
from bulrushstream.state.peerupdate import PeerUpdate, RequestPlaced
from bulrushstream.transport.datagrams import HEARTBEAT_S, PeerSocket

PLAYED_S: Final = 10.0


class Listener:
    """Records the updates that one of the other routers gets."""

    def __init__(self) -> None:
        self.updates: list[tuple[float, PeerUpdate]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if address[0] == "10.0.0.1":
            now_s = asyncio.get_running_loop().time()
            self.updates.append((now_s, decode_update(data)))

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        """Do nothing."""


def play_router(
    others: int, requests_per_s: float, request: Callable[[PeerSocket], None]
) -> Listener:
    """Play one router; return what another one got.

    :param others: the number of other routers
    :param requests_per_s: how often requests come
    :param request: called with each request
    """
    listener, rng = Listener(), Random(others)

    async def play() -> None:
        loop = asyncio.get_running_loop()
        port = PeerSocket(
            PeerUpdate("front-0", 1, "10.0.0.0"),
            1,
            lambda update: None,
            lambda kind, text: None,
        )
        hosts = tuple(f"10.0.0.{number + 1}" for number in range(others))
        port.hosts = lambda: hosts
        port.attach(listener)

        def beat() -> None:
            port.beat()
            loop.call_later(HEARTBEAT_S, beat)

        beat()
        while loop.time() < PLAYED_S:
            await asyncio.sleep(rng.expovariate(requests_per_s))
            request(port)
        await asyncio.sleep(0.5)

    assert run_virtually(play()) == []
    return listener


class UpdateRatesSuite:
    """Updates of a large fleet.

    Guards against a router whose crowd costs the processor time of all
    others, as each refusal is told to each of them.
    """

    @pytest.mark.parametrize("refused_per_s", [20.0, 200.0, 1_000.0])
    def test_a_crowd_that_is_refused_at_one_of_68_routers(
        self, refused_per_s: float
    ) -> None:
        listener = play_router(
            67,
            refused_per_s,
            lambda port: port.report_usage("hot", 100, 0),
        )
        # Heartbeats come in any case.
        most = PLAYED_S * min(refused_per_s, 16.0) + PLAYED_S / HEARTBEAT_S
        assert len(listener.updates) <= 1.1 * most
        _, last = listener.updates[-1]
        assert last.totals[0].requested_tokens >= 100 * refused_per_s * 9

    @pytest.mark.parametrize(
        ("others", "delay_s"), [(3, 0.004), (26, 0.0065), (67, 0.012)]
    )
    def test_others_hear_of_placed_requests_soon(
        self, others: int, delay_s: float
    ) -> None:
        placed_s: list[float] = []

        def place(port: PeerSocket) -> None:
            call = len(placed_s)
            placed_s.append(asyncio.get_running_loop().time())
            port.report_usage("workspace", 100, 0)
            port.report_placed(RequestPlaced(call, "e-1"))
            port.report_usage("workspace", 0, 100)

        listener = play_router(others, 6.0, place)
        told_s = {
            placed.call_id: at_s
            for at_s, update in listener.updates
            for placed in update.placements
        }
        assert len(told_s) == len(placed_s)
        for call, at_s in told_s.items():
            assert at_s - placed_s[call] <= delay_s + 1e-6
