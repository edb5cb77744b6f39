"""Links over real sockets: handshake, bad frames, cuts, replacement."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import replace

from bulrushstream.protocol.frame import LENGTH
from bulrushstream.state.event import Event, MessageReceived, PeerDown, PeerUp
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import NoWork, Pull
from bulrushstream.transport.link import LinkOptions
from bulrushstream.transport.mesh import Mesh, MeshOptions

OPTIONS = MeshOptions(LinkOptions("secret"))


class Node:
    """A mesh with what it delivered."""

    def __init__(
        self, name: str, role: Role, options: MeshOptions = OPTIONS
    ) -> None:
        self.events: list[Event] = []
        self.reports: list[str] = []
        self.info = InstanceInfo(
            InstanceKey(name, 1), role, "r", "z", "127.0.0.1", 0
        )
        self.mesh = Mesh(
            self.info,
            options,
            self.events.append,
            lambda _, line: self.reports.append(line),
            rng=random.Random(1),
        )

    async def start(self) -> None:
        port = await self.mesh.listen("127.0.0.1", 0)
        self.info = replace(self.info, port=port)

    def has(self, kind: type[Event]) -> bool:
        return any(isinstance(event, kind) for event in self.events)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.002)


@asynccontextmanager
async def running(*nodes: Node) -> AsyncIterator[None]:
    for node in nodes:
        await node.start()
    try:
        yield
    finally:
        for node in nodes:
            await node.mesh.close()


class MeshSuite:
    async def test_messages_cross_in_order_both_ways(self) -> None:
        router, agent = Node("r", Role.ROUTER), Node("a", Role.AGENT)
        async with running(router, agent):
            router.mesh.set_peers([agent.info])
            await until(lambda: agent.has(PeerUp) and router.has(PeerUp))
            for number in range(100):
                router.mesh.send(agent.info.key, NoWork(number))
            agent.mesh.send(router.info.key, Pull(1, "s", "w"))
            await until(lambda: len(agent.events) == 101)
            await until(lambda: router.has(MessageReceived))
        assert agent.events[1:101] == [
            MessageReceived(router.info.key, NoWork(number))
            for number in range(100)
        ]
        assert router.events[1] == MessageReceived(
            agent.info.key, Pull(1, "s", "w")
        )

    async def test_another_secret_comes_to_nothing(self) -> None:
        other = MeshOptions(LinkOptions("other"))
        router = Node("r", Role.ROUTER, other)
        agent = Node("a", Role.AGENT)
        async with running(router, agent):
            router.mesh.set_peers([agent.info])
            await until(
                lambda: any("bad frame" in line for line in agent.reports)
            )
        assert not agent.events
        assert not router.events

    async def test_a_cut_link_is_made_again(self) -> None:
        router, agent = Node("r", Role.ROUTER), Node("a", Role.AGENT)
        async with running(router, agent):
            router.mesh.set_peers([agent.info])
            await until(lambda: agent.has(PeerUp))
            router.mesh.cut("a")
            await until(lambda: len(agent.events) >= 3)
        kinds = [type(event) for event in agent.events[:3]]
        assert kinds == [PeerUp, PeerDown, PeerUp]

    async def test_a_restarted_peer_is_dialled_at_its_new_address(
        self,
    ) -> None:
        router, old = Node("r", Role.ROUTER), Node("a", Role.AGENT)
        new = Node("a", Role.AGENT)
        async with running(router, old, new):
            router.mesh.set_peers([old.info])
            await until(lambda: old.has(PeerUp))
            router.mesh.set_peers([new.info])
            await old.mesh.close()
            await until(lambda: new.has(PeerUp))
        assert new.info.port != old.info.port

    async def test_a_bad_frame_disturbs_no_other_link(self) -> None:
        router, agent = Node("r", Role.ROUTER), Node("a", Role.AGENT)
        async with running(router, agent):
            router.mesh.set_peers([agent.info])
            await until(lambda: agent.has(PeerUp))
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", agent.info.port
            )
            writer.write(LENGTH.pack(40) + b"\xff" * 40)
            with suppress(ConnectionError):
                while await reader.read(100):
                    pass
            writer.close()
            router.mesh.send(agent.info.key, NoWork(7))
            await until(lambda: agent.has(MessageReceived))
        assert any("the MAC does not match" in line for line in agent.reports)
        assert not agent.has(PeerDown)

    async def test_a_long_frame_closes_the_link_unread(self) -> None:
        agent = Node("a", Role.AGENT)
        async with running(agent):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", agent.info.port
            )
            writer.write(LENGTH.pack(2**31))
            with suppress(ConnectionError):
                while await reader.read(100):
                    pass
            writer.close()
            await until(lambda: bool(agent.reports))
        assert "frame exceeds max_frame_bytes" in agent.reports[0]

    async def test_a_newer_incarnation_takes_the_place(self) -> None:
        router, agent = Node("r", Role.ROUTER), Node("a", Role.AGENT)
        newer = Node("r", Role.ROUTER)
        key = InstanceKey("r", 2)
        newer.mesh._info = replace(newer.info, key=key)
        async with running(router, agent, newer):
            router.mesh.set_peers([agent.info])
            await until(lambda: agent.has(PeerUp))
            newer.mesh.set_peers([agent.info])
            await until(lambda: key in agent.mesh.links)
            assert set(agent.mesh.links) == {key}
            router.mesh.set_peers([])
        assert PeerDown(router.info.key) in agent.events

    async def test_a_silent_peer_is_given_up(self) -> None:
        quick = LinkOptions(
            "secret", heartbeat_interval_s=0.02, silence_limit_s=0.1
        )
        router = Node("r", Role.ROUTER, MeshOptions(quick))
        agent = Node("a", Role.AGENT)
        async with running(router, agent):
            router.mesh.set_peers([agent.info])
            await until(lambda: router.has(PeerUp))
            # A paused process keeps its sockets open and reads nothing.
            for link in agent.mesh.links.values():
                assert link._transport is not None
                link._transport.pause_reading()
            await until(lambda: router.has(PeerDown))
        assert any("no data from the peer" in line for line in router.reports)
