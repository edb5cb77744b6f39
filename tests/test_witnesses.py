"""Idle connections that are kept to prove that an endpoint lives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any, Final

import pytest

from bulrushstream.transport.probe import ask_identity
from bulrushstream.transport.upstream import (
    DEFAULT_IDLE_S,
    Pool,
    PoolOptions,
)
from bulrushstream.transport.witnesses import MAX_WITNESSES, UNFRAMED_S
from tests.crashfleets import play
from tests.crashingendpoints import Body, Unframed
from tests.crashplans import CrashHistory, CrashPlan
from tests.test_endless_answers import ASKING, is_whole_200
from tests.test_life_proofs import ADDRESS, REQUEST, Server
from tests.virtualnetwork import NetworkLoop, run_in_network

PATHS: Final = ("/talk/", "/tell/", "/safe/", "/once/")


@dataclass(slots=True)
class Peer:
    """A pool and the peer at its address."""

    loop: NetworkLoop
    server: Server = field(default_factory=lambda: Server(opened_before=0))
    pool: Pool = field(init=False)

    def __post_init__(self) -> None:
        self.loop.listeners[ADDRESS] = self.server.accept
        self.pool = Pool(*ADDRESS, self.loop.time)

    @property
    def opened(self) -> int:
        return len(self.server.transports)

    async def ask(self) -> bool:
        """Probe the peer on an old connection; return whether it answers."""
        witness = self.pool.pop_witness(self.loop.time())
        if witness is None:
            return False
        answer = await ask_identity(self.pool, REQUEST, 1.0, witness)
        await asyncio.sleep(0.01)
        return isinstance(answer, tuple)


def with_peer(
    work: Callable[[Peer], Coroutine[Any, Any, None]],
) -> None:
    async def run(loop: NetworkLoop) -> None:
        peer = Peer(loop)
        await work(peer)
        peer.pool.close()

    assert run_in_network(run) == []


class WitnessSuite:
    def test_there_are_none_on_ordinary_days(self) -> None:
        async def work(peer: Peer) -> None:
            await ask_identity(peer.pool, REQUEST, 1.0)
            assert peer.opened == 1

        with_peer(work)

    def test_requests_do_not_take_them(self) -> None:
        async def work(peer: Peer) -> None:
            peer.pool.expect_unframed()
            await asyncio.sleep(0.01)
            assert peer.opened == 1
            for _ in range(3):
                assert await peer.ask()
            assert peer.opened == 1
            await ask_identity(peer.pool, REQUEST, 1.0)
            assert peer.opened == 2

        with_peer(work)

    def test_idle_connections_become_witnesses(self) -> None:
        async def work(peer: Peer) -> None:
            await ask_identity(peer.pool, REQUEST, 1.0)
            await asyncio.sleep(0.01)
            peer.pool.expect_unframed()
            await asyncio.sleep(0.01)
            assert peer.opened == 1

        with_peer(work)

    def test_more_are_kept_if_each_answers_once(self) -> None:
        async def work(peer: Peer) -> None:
            peer.server.closes = True
            peer.pool.expect_unframed()
            await asyncio.sleep(0.01)
            for asked in range(1, 6):
                assert await peer.ask()
                assert peer.opened == asked + MAX_WITNESSES

        with_peer(work)

    def test_they_end(self) -> None:
        async def work(peer: Peer) -> None:
            peer.pool.expect_unframed()
            await asyncio.sleep(DEFAULT_IDLE_S + 1.0)
            peer.pool.expire_idle()
            assert not await peer.ask()
            await asyncio.sleep(UNFRAMED_S)
            await ask_identity(peer.pool, REQUEST, 1.0)
            assert peer.opened == 2

        with_peer(work)

    # A probe that nobody waited for kept its connection for ever.
    def test_a_probe_that_is_not_waited_for_has_a_limit(self) -> None:
        async def work(peer: Peer) -> None:
            peer.server.hung = 1
            peer.pool.expect_unframed()
            await asyncio.sleep(0.01)
            asking = asyncio.get_running_loop().create_task(peer.ask())
            await asyncio.sleep(0.01)
            asking.cancel()
            assert peer.pool.is_busy
            await asyncio.sleep(1.1)
            assert not peer.pool.is_busy

        with_peer(work)

    @pytest.mark.parametrize(
        "options",
        [PoolOptions(keeps_witnesses=False), PoolOptions(max_connections=1)],
    )
    def test_there_are_none_if_connections_are_few(
        self, options: PoolOptions
    ) -> None:
        async def work(peer: Peer) -> None:
            peer.pool.options = options
            peer.pool.expect_unframed()
            await asyncio.sleep(0.01)
            assert peer.opened == 0

        with_peer(work)


def serve(path: str, how: Unframed, plan: CrashPlan) -> CrashHistory:
    """Play 20 requests a second with such answers, for 10 s."""
    body = b"%b:%b:" % (Body.UNFRAMED, how.encode())
    asking = replace(ASKING, path=path, body=body, per_s=20.0, end_s=12.0)
    return play(replace(plan, prompts=(asking,), end_s=18.0))


@pytest.mark.parametrize("how", [Unframed.CLOSED, Unframed.SLOWLY])
@pytest.mark.parametrize("path", PATHS)
class WholeAnswerSuite:
    """Guards against whole answers that are given up."""

    @pytest.mark.parametrize("closes", [False, True])
    @pytest.mark.parametrize("leaving", [False, True])
    def test_of_endpoints_that_tell_their_start(
        self, path: str, how: Unframed, closes: bool, leaving: bool
    ) -> None:
        drains = ((5.0, "e-1"), (5.0, "e-7"), (5.5, "e-8")) if leaving else ()
        plan = CrashPlan(closes=closes, background_per_s=0.01, drains=drains)
        history = serve(path, how, plan)
        replies = history.replies[ASKING.label]
        assert len(replies) >= 150
        assert not [each for each in replies if not is_whole_200(each)]
        assert history.probes <= len(history.sent[ASKING.label])

    @pytest.mark.parametrize("closes", [False, True])
    def test_of_others(self, path: str, how: Unframed, closes: bool) -> None:
        """Before the first one, a router keeps no witness."""
        plan = CrashPlan(
            closes=closes, background_per_s=0.01, tells_starts=False
        )
        history = serve(path, how, plan)
        replies = history.replies[ASKING.label]
        assert len(replies) >= 150
        given_up = [not is_whole_200(each) for each in replies]
        assert sum(given_up) <= plan.routers + 1
        assert not any(given_up[60:])
