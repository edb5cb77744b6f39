"""What proves that an endpoint's process outlived one of its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import pytest

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.daemon.lifeproof import LifeProofs, Proof
from bulrushstream.transport.upstream import EXIT_S, Pool
from tests.deployments import an_entry
from tests.virtualnetwork import NetworkLoop, Transport, run_in_network

ADDRESS: Final = ("10.1.0.1", 80)
LIMIT_S: Final = 2.0
REQUEST: Final = b"GET /health HTTP/1.1\r\n\r\n"


def answer(status: bytes) -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status


@dataclass(slots=True)
class Server:
    """What answers at the address; see the cases."""

    status: bytes | None = b"200 OK"  # None: it is silent.
    delay_s: float = 0.0
    hung: int = 0  # So many probes are never answered.
    resets: int = 0  # So many new connections are reset.
    refuses: bool = False  # New connections.
    opened_before: int = 1  # Connections from before the request.
    events: tuple[float, ...] = ()  # When bytes come on the first of them.
    ends_s: float = 9.0  # When the first of them ends.
    can_probe: bool = True
    answers_s: float = 9.0  # When it answers a later request.
    ends: int = 1  # Connections whose end is to be judged.
    gap_s: float = 0.0  # Between these ends.
    probes: int = 0
    transports: list[Transport] = field(default_factory=list)

    def accept(self, transport: Transport) -> Server:
        self.transports.append(transport)
        if len(self.transports) > self.opened_before and self.resets:
            self.resets -= 1
            transport.end(ConnectionResetError())
        return self

    def received(self, data: bytes) -> None:
        self.probes += data == REQUEST
        if data == REQUEST and self.probes <= self.hung:
            return
        if data and self.status is not None:
            transport, head = self.transports[-1], answer(self.status)
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, transport.send, head)

    def closed(self) -> None:
        pass


class _Busy:
    """A request whose answer is a stream of bytes."""

    def payload(self) -> bytes:
        return b""

    def head(self, *head: object) -> bool:
        return True

    def data(self, data: bytes) -> None:
        pass

    def end(self, *, framed: bool = True) -> None:
        pass

    def failed(self, *failure: object) -> None:
        pass


def judge(server: Server) -> list[tuple[bool, float]]:
    """Return the result for each end of a connection, and when it came."""
    results: list[tuple[bool, float]] = []

    async def run(loop: NetworkLoop) -> None:
        pool = Pool(*ADDRESS, loop.time)
        loop.listeners[ADDRESS] = server.accept
        for _ in range(server.opened_before):
            pool.add_idle()
        await asyncio.sleep(0.01)
        sent_s = loop.time()
        if server.events:
            pool.send(b"GET", _Busy())
            first = server.transports[0]
            first.send(b"HTTP/1.1 200 OK\r\n\r\n")
            for at_s in server.events:
                loop.call_later(at_s, first.send, b"x")
            loop.call_later(server.ends_s, first.end, None)
        if server.refuses:
            del loop.listeners[ADDRESS]
        await asyncio.sleep(0.01)
        closed_s = loop.time()

        def answered() -> None:
            pool.answered_s = closed_s + 0.001

        loop.call_later(server.answers_s, answered)
        proofs = LifeProofs(
            loop.time,
            lambda endpoint: REQUEST if server.can_probe else None,
            lambda endpoint, status, headers: (
                None if status == 204 else status != 421
            ),
        )

        def take(number: int) -> Callable[[Proof], None]:
            return lambda proof: results.append(
                (proof is not Proof.NONE, loop.time() - closed_s)
            )

        for number in range(server.ends):
            if number:
                await asyncio.sleep(server.gap_s)
            proofs.wait(
                Endpoint(an_entry("e-1"), None),
                pool,
                sent_s,
                closed_s + LIMIT_S,
                take(number),
            )
        await asyncio.sleep(3.0)
        pool.close()

    assert run_in_network(run) == []
    return results


CASES: Final = {
    "it answers on an idle connection": (Server(), True, 0.1, 1),
    "it answers on a new connection": (Server(opened_before=0), True, 0.1, 1),
    "one probe for all": (Server(ends=20), True, 0.1, 1),
    "it leaves, without its port": (Server(refuses=True), True, 0.1, 1),
    "nothing is there": (
        Server(refuses=True, opened_before=0),
        False,
        0.1,
        0,
    ),
    "something accepts": (Server(None, opened_before=0), False, 2.1, 1),
    "nothing attributable": (
        Server(b"204 No", opened_before=0),
        False,
        2.1,
        4,
    ),
    "another one answers": (
        Server(b"421 No", opened_before=0),
        False,
        0.1,
        1,
    ),
    "it is full": (Server(b"503 Full"), True, 0.1, 1),
    "it is slow": (Server(delay_s=1.5, opened_before=0), True, 1.6, 1),
    "one probe hangs": (
        Server(opened_before=0, hung=1, ends=2, gap_s=0.5),
        True,
        0.8,
        2,
    ),
    "it has too many connections": (
        Server(opened_before=0, resets=2),
        True,
        1.2,
        1,
    ),
    "a stream goes on": (Server(events=(0.1, 0.2)), True, 0.2, 0),
    "a stream went on": (
        Server(events=(0.03,), can_probe=False),
        False,
        2.1,
        0,
    ),
    "a stream goes on and ends": (
        Server(events=(0.07,), ends_s=0.07, can_probe=False),
        False,
        2.1,
        0,
    ),
    "it can not be asked": (Server(can_probe=False), False, 2.1, 0),
    "it answers another request": (
        Server(can_probe=False, answers_s=1.0),
        True,
        1.1,
        0,
    ),
}


class LifeProofSuite:
    """Guards against a port's or a kernel's word taken for a process's."""

    @pytest.mark.parametrize("name", CASES)
    def test_what_proves_it(self, name: str) -> None:
        server, lives, within_s, probes = CASES[name]
        results = judge(server)
        assert len(results) == server.ends
        for result, after_s in results:
            assert result is lives
            assert after_s <= within_s
        assert server.probes == probes


class PausedSuite:
    def test_bytes_that_are_read_late_prove_nothing(self) -> None:
        """Guards against old bytes of a process that has ended."""
        found: list[bool] = []

        async def run(loop: NetworkLoop) -> None:
            pool = Pool(*ADDRESS, loop.time)
            server = Server(None, opened_before=0)
            loop.listeners[ADDRESS] = server.accept
            pending = pool.send(b"GET", _Busy())
            await asyncio.sleep(0.01)
            transport = server.transports[0]
            transport.send(b"HTTP/1.1 200 OK\r\n\r\n")
            await asyncio.sleep(0.01)
            for paused in (True, False):
                broke_s = loop.time()
                if paused:
                    pending.pause_reading()
                    transport.send(b"x")
                await asyncio.sleep(0.2)
                if paused:
                    pending.resume_reading()
                else:
                    transport.send(b"x")
                await asyncio.sleep(0.01)
                found.append(pool.seen(broke_s).heard)
                found.append(pool.goes_on(broke_s, broke_s + EXIT_S))
            pool.close()

        assert run_in_network(run) == []
        assert found == [False, False, True, True]
