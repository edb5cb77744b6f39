"""Responses that are collected whole have limits of size and time.

Guards against a store or a peer whose answer has no end: the router kept
all of it until its machine had no memory left.
"""

from __future__ import annotations

import asyncio
import base64
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from bulrushstream.daemon.front import Front
from bulrushstream.daemon.frontprocess import internal_limits
from bulrushstream.daemon.recovery import MAX_ANSWER_BYTES, Recovery
from bulrushstream.daemon.watch import Snapshot, TopicWatch
from bulrushstream.platform.dialect import make_store
from bulrushstream.platform.store import StoreClient, StoreLimits
from bulrushstream.protocol.dialect import StoreDeps
from bulrushstream.protocol.keyedstore import StoreError
from bulrushstream.state.excess import Excess, ExcessReason, PeerKind
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.state.nodesettings import Address
from bulrushstream.transport.httpcall import CallLimits, call
from bulrushstream.transport.ingress import Ingress
from bulrushstream.transport.probe import MAX_BODY_BYTES, ask_identity
from bulrushstream.transport.upstream import Pool
from tests.deployments import node_settings
from tests.endlesspeers import Flow, flooding, scripted
from tests.virtualnetwork import Listener, NetworkLoop, run_in_network

STORE = ("10.0.0.9", 80)
LIMIT_BYTES = 4 * 2**20
# Sent before the server hears of the connection's end.
ON_THE_WAY_BYTES = 8 * 65536

READS: dict[str, Callable[[StoreClient], Coroutine[Any, Any, Any]]] = {
    "newest": lambda store: store.newest("keyed.op"),
    "read": lambda store: store.read("keyed.op", 0, 1.5),
    "read_retained": lambda store: store.read_retained("origins", 0, 0),
    "append": lambda store: store.append("origins", "k", b"v"),
}


@dataclass
class World:
    """A client of a simulated store."""

    loop: NetworkLoop
    budget: MemoryBudget = field(
        default_factory=lambda: MemoryBudget(60 * 2**20)
    )
    limits: StoreLimits = field(default_factory=StoreLimits)
    sent_bytes: list[int] = field(default_factory=list)
    excesses: list[Excess] = field(default_factory=list)

    def client(self, listener: Listener) -> StoreClient:
        self.loop.listeners[STORE] = listener
        pool = Pool(
            *STORE,
            self.loop.time,
            on_excess=self.excesses.append,
            peer=PeerKind.STORE,
        )
        return StoreClient(
            pool, lambda name, success: None, self.limits, self.budget
        )

    def endless(self, flow: Flow) -> StoreClient:
        return self.client(flooding(self.loop, flow, self.sent_bytes.append))

    def unexpected(self, document: object) -> None:
        raise AssertionError("an answer without end was used")

    @property
    def reasons(self) -> list[ExcessReason]:
        return [each.reason for each in self.excesses]


def play(work: Callable[[World], Coroutine[Any, Any, None]]) -> None:
    async def run(loop: NetworkLoop) -> None:
        await work(World(loop))

    assert run_in_network(run) == []


def page(
    values: dict[str, bytes], *, has_more: bool = False, end: int = 7
) -> bytes:
    items = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": 1}
        for key, value in values.items()
    ]
    document = {"items": items, "hasMore": has_more, "endOffset": end}
    return msgspec.json.encode(document)


class EndlessAnswerSuite:
    @pytest.mark.parametrize("read", READS)
    @pytest.mark.parametrize("flow", Flow)
    def test_an_answer_without_end_is_given_up(
        self, flow: Flow, read: str
    ) -> None:
        async def work(world: World) -> None:
            client = world.endless(flow)
            with pytest.raises(StoreError):
                await READS[read](client)
            ended_s = world.loop.time()
            await asyncio.sleep(1.0)
            assert sum(world.sent_bytes) <= 4 * LIMIT_BYTES + ON_THE_WAY_BYTES
            if flow is not Flow.SMALL_CHUNKS:
                assert sum(world.sent_bytes) <= LIMIT_BYTES + ON_THE_WAY_BYTES
            reason = ExcessReason.BODY
            if flow is Flow.TRICKLE:
                reason = ExcessReason.TIME
            assert world.excesses == [
                Excess(PeerKind.STORE, "10.0.0.9:80", reason)
            ]
            assert ended_s <= 3.2
            assert world.budget.used_bytes == 0

        play(work)

    @pytest.mark.parametrize(
        "flow", [Flow.LENGTH, Flow.SMALL_CHUNKS, Flow.CLOSE]
    )
    def test_many_at_once_share_a_limit(self, flow: Flow) -> None:
        """Guards against calls that are small alone and large together."""

        async def work(world: World) -> None:
            world.budget.limit_bytes = 3 * 2**20
            client = world.endless(flow)
            results = await asyncio.gather(
                *(client.newest("keyed.op") for _ in range(12)),
                return_exceptions=True,
            )
            assert all(isinstance(each, StoreError) for each in results)
            assert ExcessReason.MEMORY in world.reasons
            assert sum(world.sent_bytes) <= 12 * LIMIT_BYTES
            assert world.budget.used_bytes == 0

        play(work)

    @pytest.mark.parametrize("new_keys", [True, False])
    def test_pages_without_end_are_given_up(self, new_keys: bool) -> None:
        """Guards against a store that always says that there is more."""

        async def work(world: World) -> None:
            pages = 0

            def answer(target: str) -> bytes:
                nonlocal pages
                pages += 1
                first = pages * 500 if new_keys else 0
                keys = (f"k{first + i:09}" for i in range(500))
                return page(dict.fromkeys(keys, b"v" * 500), has_more=True)

            client = world.client(scripted(answer))
            with pytest.raises(StoreError):
                async with asyncio.timeout(20.0):
                    await client.newest("keyed.op")
            assert world.reasons == [ExcessReason.BODY]
            assert pages <= 50
            assert world.budget.used_bytes == 0

        play(work)

    def test_pages_that_come_slowly_are_given_up(self) -> None:
        async def work(world: World) -> None:
            world.limits = StoreLimits(table_s=5.0)
            pages = 0

            def answer(target: str) -> bytes:
                nonlocal pages
                pages += 1
                return page({f"k{pages:09}": b"v"}, has_more=True)

            client = world.client(scripted(answer))
            with pytest.raises(StoreError):
                await client.newest("keyed.op")
            assert world.loop.time() <= 5.1
            assert world.reasons == [ExcessReason.TIME]

        play(work)

    def test_a_watch_reads_on_once_the_store_is_sound(self) -> None:
        async def work(world: World) -> None:
            read: list[object] = []
            failures: list[str] = []
            watch = TopicWatch(
                store=world.endless(Flow.LENGTH),
                topic="keyed.op",
                interval_s=0.0,
                clock=world.loop.time,
                handle=read.append,
                on_confirmed=lambda sent_s: None,
                on_failed=failures.append,
                on_fault=lambda error: None,
                rng=random.Random(1),
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(10.0)
            assert 3 <= len(failures) <= 40
            assert read == []
            world.loop.listeners[STORE] = scripted(
                lambda target: page({"config": b"new"})
            )
            await asyncio.sleep(3.0)
            assert read[0] == Snapshot({"config": b"new"})
            task.cancel()

        play(work)


class PeerSuite:
    """Peers that are asked for the configuration and the endpoints."""

    @pytest.mark.parametrize("flow", Flow)
    def test_an_answer_without_end_is_given_up(self, flow: Flow) -> None:
        async def work(world: World) -> None:
            front = SimpleNamespace(
                freshness=SimpleNamespace(age_s=lambda now_s: 9.0),
                endpoints_listed=False,
                peers=SimpleNamespace(peers={}, hosts=[STORE[0]]),
                table=None,
                memory=world.budget,
                peer_exceeded=world.excesses.append,
                report=lambda kind, text: None,
            )
            recovery = Recovery(
                front=cast(Front, front),
                clock=world.loop.time,
                boot_clock=world.loop.time,
                rng=random.Random(1),
                port=STORE[1],
                apply_config=world.unexpected,
                apply_endpoints=world.unexpected,
            )
            world.endless(flow)
            await recovery.query_peer()
            assert world.loop.time() <= 1.0
            await asyncio.sleep(1.0)
            limit_bytes = 2 * MAX_ANSWER_BYTES
            if flow is Flow.SMALL_CHUNKS:
                limit_bytes *= 4
            assert sum(world.sent_bytes) <= limit_bytes + 2 * ON_THE_WAY_BYTES
            slow = flow in (Flow.TRICKLE, Flow.SMALL_CHUNKS)
            reason = ExcessReason.TIME if slow else ExcessReason.BODY
            excess = Excess(PeerKind.ROUTER, "10.0.0.9:80", reason)
            assert world.excesses == [excess, excess]

        play(work)


class ProbeSuite:
    """Answers of endpoints that are asked for their id."""

    @pytest.mark.parametrize("flow", Flow)
    def test_a_body_without_end_is_not_read_for_long(self, flow: Flow) -> None:
        async def work(world: World) -> None:
            pool = world.endless(flow).pool
            answer = await ask_identity(pool, b"GET / HTTP/1.1\r\n\r\n", 0.5)
            assert isinstance(answer, tuple)
            assert answer[0] == 200
            await asyncio.sleep(2.0)
            limit_bytes = MAX_BODY_BYTES
            if flow is Flow.SMALL_CHUNKS:
                limit_bytes *= 4
            assert sum(world.sent_bytes) <= limit_bytes + ON_THE_WAY_BYTES
            reason = ExcessReason.BODY
            if flow is Flow.TRICKLE:
                reason = ExcessReason.TIME
            assert world.reasons == [reason]

        play(work)


class LargestAnswerSuite:
    """Guards against limits that honest answers exceed."""

    @pytest.mark.parametrize("size_bytes", [1, 262_144, 2 * 2**20])
    def test_a_record_of_the_largest_call(self, size_bytes: int) -> None:
        async def work(world: World) -> None:
            value = random.Random(size_bytes).randbytes(size_bytes)
            client = world.client(
                scripted(lambda target: page({"config": value}))
            )
            assert await client.newest("keyed.op") == ({"config": value}, 7)
            assert world.excesses == []

        play(work)

    def test_a_larger_call_in_the_settings(self) -> None:
        async def work(world: World) -> None:
            value = b"v" * 8 * 2**20
            world.loop.listeners[STORE] = scripted(
                lambda target: page({"config": value})
            )
            settings = node_settings(store_call_bytes=len(value))
            address = Address(*STORE)
            client = make_store(
                replace(settings, store_address=address),
                StoreDeps(world.loop.time, lambda name, success: None),
            )
            assert (await client.newest("keyed.op"))[0]["config"] == value

        play(work)

    def test_twenty_full_pages(self) -> None:
        async def work(world: World) -> None:
            keys = [f"servers/i-{i:08}" for i in range(10_000)]

            def answer(target: str) -> bytes:
                after = target.partition("after=")[2].replace("%2F", "/")
                first = keys.index(after) + 1 if after else 0
                part = keys[first : first + 500]
                more = first + 500 < len(keys)
                return page(dict.fromkeys(part, b"v" * 900), has_more=more)

            client = world.client(scripted(answer))
            newest, _ = await client.newest("keyed.servers")
            assert list(newest) == keys
            assert world.excesses == []
            assert world.budget.used_bytes == 0

        play(work)


class PeerAnswerSuite:
    """What a router sends to a peer arrives."""

    async def test_a_large_answer_to_a_peer_is_whole(self) -> None:
        """Guards against a router that cuts its own large answer off."""
        loop = asyncio.get_running_loop()
        body = b"x" * (5 * 2**20)
        ingress = Ingress(
            lambda exchange: exchange.answer(200, [], body),
            internal_limits(),
            loop.time,
        )
        server = await loop.create_server(
            ingress.make_connection, "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        pool = Pool("127.0.0.1", port, loop.time)
        limits = CallLimits(5.0, MAX_ANSWER_BYTES)
        answer = await call(pool, "GET", "/endpoints", limits=limits)
        assert answer.body == body
        pool.close()
        server.close()
