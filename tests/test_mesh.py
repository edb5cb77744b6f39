"""Links over real sockets: handshake, bad frames, cuts, reconnection."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import replace

from bulrushstream.protocol.frame import LENGTH
from bulrushstream.state.event import Event, MessageReceived, PeerDown, PeerUp
from bulrushstream.state.excess import Excess, ExcessReason
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import NoWork, Part, PartKind, Pull
from bulrushstream.transport.link import LinkOptions
from bulrushstream.transport.mesh import Mesh, MeshOptions

OPTIONS = MeshOptions(LinkOptions("secret"))


class MeshNode:
    """A mesh that records its events and log lines."""

    def __init__(
        self, name: str, role: Role, options: MeshOptions = OPTIONS
    ) -> None:
        self.events: list[Event] = []
        self.reports: list[str] = []
        self.excesses: list[Excess] = []
        self.info = InstanceInfo(
            InstanceKey(name, 1), role, "r", "z", "127.0.0.1", 0
        )
        self.mesh = Mesh(
            self.info,
            options,
            self.events.append,
            lambda _, line: self.reports.append(line),
            rng=random.Random(1),
            on_excess=self.excesses.append,
        )

    async def start(self) -> None:
        port = await self.mesh.listen("127.0.0.1", 0)
        self.info = replace(self.info, port=port)

    def has(self, kind: type[Event]) -> bool:
        return any(isinstance(event, kind) for event in self.events)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.002)


@asynccontextmanager
async def start_nodes(*nodes: MeshNode) -> AsyncIterator[None]:
    for node in nodes:
        await node.start()
    try:
        yield
    finally:
        for node in nodes:
            await node.mesh.close()


class MeshSuite:
    async def test_messages_cross_in_order_both_ways(self) -> None:
        router, agent = MeshNode("r", Role.ROUTER), MeshNode("a", Role.AGENT)
        async with start_nodes(router, agent):
            router.mesh.set_peers([agent.info])
            await wait_until(lambda: agent.has(PeerUp) and router.has(PeerUp))
            for number in range(100):
                router.mesh.send(agent.info.key, NoWork(number))
            agent.mesh.send(router.info.key, Pull(1, "s", "w"))
            await wait_until(lambda: len(agent.events) == 101)
            await wait_until(lambda: router.has(MessageReceived))
        assert agent.events[1:101] == [
            MessageReceived(router.info.key, NoWork(number))
            for number in range(100)
        ]
        assert router.events[1] == MessageReceived(
            agent.info.key, Pull(1, "s", "w")
        )

    async def test_peers_with_different_secrets_do_not_connect(self) -> None:
        other = MeshOptions(LinkOptions("other"))
        router = MeshNode("r", Role.ROUTER, other)
        agent = MeshNode("a", Role.AGENT)
        async with start_nodes(router, agent):
            router.mesh.set_peers([agent.info])
            await wait_until(
                lambda: any("bad frame" in line for line in agent.reports)
            )
        assert not agent.events
        assert not router.events

    async def test_a_cut_link_is_reconnected(self) -> None:
        router, agent = MeshNode("r", Role.ROUTER), MeshNode("a", Role.AGENT)
        async with start_nodes(router, agent):
            router.mesh.set_peers([agent.info])
            await wait_until(lambda: agent.has(PeerUp))
            router.mesh.cut("a")
            await wait_until(lambda: len(agent.events) >= 3)
        kinds = [type(event) for event in agent.events[:3]]
        assert kinds == [PeerUp, PeerDown, PeerUp]

    async def test_a_restarted_peer_is_dialled_at_its_new_address(
        self,
    ) -> None:
        router, old = MeshNode("r", Role.ROUTER), MeshNode("a", Role.AGENT)
        new = MeshNode("a", Role.AGENT)
        async with start_nodes(router, old, new):
            router.mesh.set_peers([old.info])
            await wait_until(lambda: old.has(PeerUp))
            router.mesh.set_peers([new.info])
            await old.mesh.close()
            await wait_until(lambda: new.has(PeerUp))
        assert new.info.port != old.info.port

    async def test_a_bad_frame_disturbs_no_other_link(self) -> None:
        router, agent = MeshNode("r", Role.ROUTER), MeshNode("a", Role.AGENT)
        async with start_nodes(router, agent):
            router.mesh.set_peers([agent.info])
            await wait_until(lambda: agent.has(PeerUp))
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", agent.info.port
            )
            writer.write(LENGTH.pack(40) + b"\xff" * 40)
            with suppress(ConnectionError):
                while await reader.read(100):
                    pass
            writer.close()
            router.mesh.send(agent.info.key, NoWork(7))
            await wait_until(lambda: agent.has(MessageReceived))
        assert any("the MAC does not match" in line for line in agent.reports)
        assert not agent.has(PeerDown)

    async def test_an_oversized_frame_closes_the_link_unread(self) -> None:
        agent = MeshNode("a", Role.AGENT)
        async with start_nodes(agent):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", agent.info.port
            )
            writer.write(LENGTH.pack(2**31))
            with suppress(ConnectionError):
                while await reader.read(100):
                    pass
            writer.close()
            await wait_until(lambda: bool(agent.reports))
        assert "frame exceeds max_frame_bytes" in agent.reports[0]

    async def test_strangers_can_not_make_it_keep_long_frames(self) -> None:
        """Guards against frames of 32 MiB before a peer's proof."""
        agent = MeshNode("a", Role.AGENT)
        async with start_nodes(agent):
            streams = [
                await asyncio.open_connection("127.0.0.1", agent.info.port)
                for _ in range(20)
            ]
            for _, writer in streams:
                writer.write(LENGTH.pack(1_000_000) + b"x" * 999_999)
            async with asyncio.timeout(2.0):
                for reader, writer in streams:
                    with suppress(ConnectionError):
                        while await reader.read(100):
                            pass
                    writer.close()
        assert [each.reason for each in agent.excesses] == [
            ExcessReason.HEAD
        ] * 20

    async def test_a_long_frame_of_a_peer_is_delivered(self) -> None:
        router, agent = MeshNode("r", Role.ROUTER), MeshNode("a", Role.AGENT)
        async with start_nodes(router, agent):
            router.mesh.set_peers([agent.info])
            await wait_until(lambda: agent.has(PeerUp) and router.has(PeerUp))
            data = random.Random(1).randbytes(20 * 2**20)
            part = Part("q", 1, 0, PartKind.BODY, data=data)
            agent.mesh.send(router.info.key, part)
            await wait_until(lambda: router.has(MessageReceived))
        assert router.events[1] == MessageReceived(agent.info.key, part)
        assert agent.excesses == router.excesses == []

    async def test_peers_that_read_nothing_share_a_limit(self) -> None:
        """Guards against unsent frames that take the memory together."""
        few = MeshOptions(LinkOptions("secret", max_unsent_bytes=16 * 2**20))
        agent = MeshNode("a", Role.AGENT, few)
        routers = [MeshNode(f"r{i}", Role.ROUTER) for i in range(3)]
        async with start_nodes(agent, *routers):
            for router in routers:
                router.mesh.set_peers([agent.info])
            await wait_until(
                lambda: all(each.mesh.links for each in (agent, *routers))
            )
            await wait_until(lambda: len(agent.mesh.links) == 3)
            for router in routers:
                for link in router.mesh.links.values():
                    assert link._transport is not None
                    link._transport.pause_reading()
            part = Part("q", 1, 0, PartKind.BODY, data=bytes(2**20))
            for _ in range(14):
                for router in routers:
                    agent.mesh.send(router.info.key, part)
                await asyncio.sleep(0.005)
                links = agent.mesh._open_links
                unsent_bytes = sum(each.unsent_bytes for each in links)
                assert unsent_bytes <= 20 * 2**20
        assert any("reads too slowly" in line for line in agent.reports)

    async def test_a_newer_incarnation_replaces_the_older_one(self) -> None:
        router, agent = MeshNode("r", Role.ROUTER), MeshNode("a", Role.AGENT)
        newer = MeshNode("r", Role.ROUTER)
        key = InstanceKey("r", 2)
        newer.mesh._info = replace(newer.info, key=key)
        async with start_nodes(router, agent, newer):
            router.mesh.set_peers([agent.info])
            await wait_until(lambda: agent.has(PeerUp))
            newer.mesh.set_peers([agent.info])
            await wait_until(lambda: key in agent.mesh.links)
            assert set(agent.mesh.links) == {key}
            router.mesh.set_peers([])
        assert PeerDown(router.info.key) in agent.events

    async def test_a_silent_peer_is_disconnected(self) -> None:
        quick = LinkOptions(
            "secret", heartbeat_interval_s=0.02, silence_limit_s=0.1
        )
        router = MeshNode("r", Role.ROUTER, MeshOptions(quick))
        agent = MeshNode("a", Role.AGENT)
        async with start_nodes(router, agent):
            router.mesh.set_peers([agent.info])
            await wait_until(lambda: router.has(PeerUp))
            # A paused process keeps its sockets open and reads nothing.
            for link in agent.mesh.links.values():
                assert link._transport is not None
                link._transport.pause_reading()
            await wait_until(lambda: router.has(PeerDown))
        assert any("no data from the peer" in line for line in router.reports)
