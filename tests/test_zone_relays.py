"""Updates reach all routers, and cross to each other zone once.

Guards against traffic between zones that grows with the square of the
routers, and against a zone that hears nothing once its relay has ended.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
from random import Random

import pytest

from bulrushstream.coordination.fleetview import FleetView
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.protocol.peercodec import encode_update
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.transport.datagrams import HEARTBEAT_S, PeerSocket

ZONES = ("a", "b", "c", "d")
DATAGRAM_S = 0.002


@dataclass
class Node:
    """One router's socket, and the ended calls that it was told of."""

    number: int
    zone: str
    view: FleetView
    port: PeerSocket
    told: dict[int, float] = field(default_factory=dict)  # When.
    running: bool = True


class ZonedFleet:
    """Routers of several zones that send each other updates."""

    def __init__(self, routers: int, loss: float = 0.0) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = Random(routers)
        self.loss = loss
        self.crossed_bytes = 0
        self.nodes = [
            self._start(number, routers) for number in range(routers)
        ]

    def _start(self, number: int, routers: int) -> Node:
        host, zone = f"10.0.0.{number}", ZONES[number % len(ZONES)]
        view = FleetView(host, zone)
        for other in range(routers):
            view.add_host(f"10.0.0.{other}", 0.0)

        def receive(update: PeerUpdate) -> None:
            view.receive(update, self.loop.time())
            for call in update.ended_calls:
                node.told.setdefault(call, self.loop.time())

        port = PeerSocket(
            PeerUpdate(f"front-{number}", 1, host),
            1,
            receive,
            lambda kind, text: None,
        )
        port.hosts = view.notified_hosts
        port.paths = lambda: view.paths(self.loop.time())
        port.pass_on_to = view.pass_on_to
        port.zone = zone
        node = Node(number, zone, view, port)
        port.attach(_Sender(self, node))
        self.loop.call_later(self.rng.random() * 0.1, self._beat, node)
        return node

    def _beat(self, node: Node) -> None:
        if node.running:
            node.port.beat()
            node.view.sweep(self.loop.time())
        self.loop.call_later(HEARTBEAT_S, self._beat, node)

    def deliver(self, sender: Node, host: str, data: bytes) -> None:
        receiver = self.nodes[int(host.rsplit(".", 1)[1])]
        if not sender.running:
            return
        if receiver.zone != sender.zone:
            self.crossed_bytes += len(data)
        if receiver.running and self.rng.random() >= self.loss:
            address = (f"10.0.0.{sender.number}", 1)
            deliver = partial(receiver.port.datagram_received, data, address)
            self.loop.call_later(DATAGRAM_S, deliver)

    def untold(self, call: int) -> list[int]:
        """Return the routers that run and were not told of an ended call."""
        return [
            node.number
            for node in self.nodes[1:]
            if node.running and call not in node.told
        ]


@dataclass
class _Sender:
    fleet: ZonedFleet
    node: Node

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.deliver(self.node, address[0], data)

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        pass


class ZoneRelaySuite:
    @pytest.mark.parametrize("routers", (4, 27, 68))
    def test_all_routers_are_told_once_each_zone(self, routers: int) -> None:
        async def work() -> None:
            fleet = ZonedFleet(routers)
            await asyncio.sleep(2.0)
            first = fleet.nodes[0]
            first.port.report_ended(7)
            await asyncio.sleep(0.02)
            assert fleet.untold(7) == []

        assert run_virtually(work()) == []

    @pytest.mark.parametrize("routers", (27, 68))
    def test_bytes_between_zones_grow_with_the_routers(
        self, routers: int
    ) -> None:
        """Each update crosses to each other zone once, not to each router."""

        async def work() -> None:
            fleet = ZonedFleet(routers)
            await asyncio.sleep(2.0)
            fleet.crossed_bytes = 0
            calls = 200
            for call in range(calls):
                fleet.nodes[call % routers].port.report_ended(call)
                await asyncio.sleep(0.01)
            spent = fleet.crossed_bytes
            heartbeats = routers * routers * 2.0 / HEARTBEAT_S * 300
            assert spent <= calls * 3 * 220 + heartbeats

        assert run_virtually(work()) == []

    def test_a_relay_that_ended_is_replaced(self) -> None:
        async def work() -> None:
            fleet = ZonedFleet(27)
            await asyncio.sleep(2.0)
            relays = fleet.nodes[0].view.paths(fleet.loop.time()).relays
            assert len(relays) == len(ZONES) - 1
            for host in relays:
                fleet.nodes[int(host.rsplit(".", 1)[1])].running = False
            await asyncio.sleep(1.0)
            fleet.nodes[0].port.report_ended(9)
            await asyncio.sleep(0.1)
            assert fleet.untold(9) == []

        assert run_virtually(work()) == []

    def test_reports_reach_all_while_a_relay_is_dead(self) -> None:
        """Guards against strikes and heartbeats that depend on a relay."""

        async def work() -> None:
            fleet = ZonedFleet(27)
            await asyncio.sleep(2.0)
            view = fleet.nodes[0].view
            dead = view.paths(fleet.loop.time()).relays[0]
            fleet.nodes[int(dead.rsplit(".", 1)[1])].running = False
            mixed: set[int] = set()
            for node in fleet.nodes[1:]:
                receive = node.port._receive

                def record(
                    update: PeerUpdate,
                    node: Node = node,
                    receive: object = receive,
                ) -> None:
                    receive(update)  # type: ignore[operator]
                    if update.mixed_services:
                        mixed.add(node.number)

                node.port._receive = record
            fleet.nodes[0].port.report_mixed("llm")
            await asyncio.sleep(0.02)
            running = {n.number for n in fleet.nodes[1:] if n.running}
            assert mixed == running

        assert run_virtually(work()) == []

    def test_hosts_of_unknown_zone_are_told_directly(self) -> None:
        view = FleetView("10.0.0.1", "a")
        view.add_host("10.0.0.2", 0.0)
        view.receive(PeerUpdate("front-3", 1, "10.0.0.3"), 0.0)
        for number in (4, 6, 7):
            host = f"10.0.0.{number}"
            peer = PeerUpdate(f"front-{number}", 1, host, zone="b")
            view.receive(peer, 0.0)
        view.receive(PeerUpdate("front-8", 1, "10.0.0.8", zone="c"), 0.0)
        view.receive(PeerUpdate("front-5", 1, "10.0.0.5", zone="a"), 0.0)
        paths = view.paths(0.1)
        # Of unknown zone, of its own, and of one with few routers.
        direct = {"10.0.0.2", "10.0.0.3", "10.0.0.5", "10.0.0.8"}
        assert set(paths.direct) == direct
        assert len(paths.relays) == 1
        assert set(paths.relays) < {"10.0.0.4", "10.0.0.6", "10.0.0.7"}
        # They fall silent.
        assert view.paths(1.0).relays == ()
        assert set(view.paths(1.0).direct) == set(view.hosts)

    @pytest.mark.parametrize("routers", (4, 27, 68, 340))
    def test_an_update_is_as_long_among_many_routers(
        self, routers: int
    ) -> None:
        """Guards against updates that name all other routers."""
        sent: list[bytes] = []

        class Recorder:
            def sendto(self, data: bytes, address: tuple[str, int]) -> None:
                sent.append(data)

            def is_closing(self) -> bool:
                return False

            def close(self) -> None:
                pass

        async def work() -> None:
            identity = PeerUpdate("front-1", 1, "10.0.0.1")
            port = PeerSocket(
                identity, 1, lambda update: None, lambda kind, text: None
            )
            hosts = tuple(f"10.9.{n // 99}.{n % 99}" for n in range(routers))
            port.hosts = lambda: hosts
            port.attach(Recorder())
            port.report_ended(1)
            port.flush()
            assert max(map(len, sent)) <= len(encode_update(identity)) + 8
            sent.clear()
            named: set[bytes] = set()
            for _ in range(routers):
                port.beat()
                named |= set(sent)
                assert max(map(len, sent)) <= len(encode_update(identity)) + 99
            text = b"".join(named)
            assert all(host.encode() in text for host in hosts)

        assert run_virtually(work()) == []
