"""Sockets that must not be starved while the event loop is busy.

Guards against a router that is crowded by callers and therefore does not
hear its peers: it took the whole fleet's capacity for its own callers.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from dataclasses import dataclass, field

import pytest

from bulrushstream.transport import listening, udp

HOST = "127.0.0.1"


@dataclass(slots=True)
class Recorder:
    """Records datagrams and errors."""

    received: list[bytes] = field(default_factory=list)
    errors: list[Exception] = field(default_factory=list)

    def datagram_received(self, data: bytes, addr: object) -> None:
        del addr
        self.received.append(data)

    def error_received(self, exc: Exception) -> None:
        self.errors.append(exc)


def port_of(sock: socket.socket) -> int:
    port: int = sock.getsockname()[1]
    return port


def a_bound_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((HOST, 0))
    return sock


class UdpSuite:
    @pytest.mark.asyncio
    async def test_all_waiting_datagrams_are_read_in_one_iteration(
        self,
    ) -> None:
        sock, recorder = a_bound_socket(), Recorder()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            for number in range(50):
                peer.sendto(b"%d" % number, (HOST, port_of(sock)))
        opened = udp.UdpSocket(sock, recorder)
        # One iteration finds the socket readable, the next one reads it.
        for _ in range(2):
            await asyncio.sleep(0)
        opened.close()
        assert recorder.received == [b"%d" % number for number in range(50)]

    @pytest.mark.asyncio
    async def test_one_iteration_reads_a_limited_number(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(udp, "MAX_READS", 10)
        sock, recorder = a_bound_socket(), Recorder()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            for number in range(25):
                peer.sendto(b"%d" % number, (HOST, port_of(sock)))
        opened = udp.UdpSocket(sock, recorder)
        counts = []
        while len(recorder.received) < 25:
            await asyncio.sleep(0)
            counts.append(len(recorder.received))
        opened.close()
        assert set(counts) <= {0, 10, 20, 25}

    @pytest.mark.asyncio
    async def test_a_closed_socket_neither_sends_nor_receives(self) -> None:
        recorder = Recorder()
        opened = udp.open_udp(HOST, 0, recorder)
        opened.close()
        opened.close()
        opened.sendto(b"x", (HOST, 9))
        assert opened.is_closing()
        assert recorder == Recorder()

    @pytest.mark.asyncio
    async def test_an_address_in_use_is_an_error(self) -> None:
        sock = a_bound_socket()
        with sock, pytest.raises(OSError, match="in use"):
            udp.open_udp(HOST, port_of(sock), Recorder())


class ListenerSuite:
    @pytest.mark.asyncio
    async def test_a_crowd_is_accepted_over_several_iterations(self) -> None:
        made: list[asyncio.Protocol] = []

        def make_protocol() -> asyncio.Protocol:
            made.append(asyncio.Protocol())
            return made[-1]

        crowd = 5 * listening.ACCEPTS_PER_ITERATION
        loop = asyncio.get_running_loop()
        server = await listening.open_listener(loop, make_protocol, HOST, 0)
        address = server.sockets[0].getsockname()
        callers = [socket.create_connection(address) for _ in range(crowd)]
        counts = [0]
        while len(made) < crowd:
            await asyncio.sleep(0)
            counts.append(len(made))
        grown = max(b - a for a, b in itertools.pairwise(counts))
        assert grown <= listening.ACCEPTS_PER_ITERATION
        for caller in callers:
            caller.close()
        server.close()
