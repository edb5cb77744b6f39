"""What proves that an endpoint's process outlived one of its connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import Final

import pytest

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.daemon.lifeproof import LifeProofs, Proof
from bulrushstream.transport.connection import EXIT_S, PendingRequest
from bulrushstream.transport.upstream import Pool
from tests.deployments import an_entry
from tests.virtualnetwork import NetworkLoop, Transport, run_in_network

ADDRESS: Final = ("10.1.0.1", 80)
LIMIT_S: Final = 2.0
REQUEST: Final = b"GET /health HTTP/1.1\r\n\r\n"
REPORT: Final = b"GET /v1/report HTTP/1.1\r\n\r\n"


def answer(status: bytes, born: bytes = b"") -> bytes:
    length = b"Content-Length: %d\r\n\r\n" % len(born)
    return b"HTTP/1.1 %b\r\n%b%b" % (status, length, born)


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
    closes: bool = False  # Each connection after an answer.
    restarts: bool = False  # At once, under its id.
    can_probe: bool = True
    answers_s: float = 9.0  # When it answers a later request.
    reuses: bool = True  # Whether that comes on an older connection.
    listed: str = ""  # When it started, as the list says; empty: not known.
    born: str = "1"  # The same, as the process at the address says.
    ends: int = 1  # Connections whose end is to be judged.
    gap_s: float = 0.0  # Between these ends.
    probes: int = 0
    transports: list[Transport] = field(default_factory=list)

    def accept(self, transport: Transport) -> _Link:
        self.transports.append(transport)
        if len(self.transports) > self.opened_before and self.resets:
            self.resets -= 1
            transport.end(ConnectionResetError())
        return _Link(self, transport)


@dataclass(slots=True)
class _Link:
    """The server's end of a connection."""

    server: Server
    transport: Transport

    def received(self, data: bytes) -> None:
        server = self.server
        server.probes += data in (REQUEST, REPORT)
        if data == REQUEST and server.probes <= server.hung:
            return
        if data and server.status is not None:
            loop = asyncio.get_running_loop()
            born = server.born.encode() if data == REPORT else b""
            reply = answer(server.status, born)
            loop.call_later(server.delay_s, self.answer, reply)

    def answer(self, reply: bytes) -> None:
        self.transport.send(reply)
        if self.server.closes:
            self.transport.end(None)

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


@dataclass(slots=True)
class _Later(_Busy):
    """A request whose answer the pool is told of."""

    pool: Pool
    pending: PendingRequest | None = None
    sent_s: float = 0.0

    def payload(self) -> bytes:
        self.sent_s = self.pool.clock()
        return b"GET / HTTP/1.1\r\n\r\n"

    def head(self, *head: object) -> bool:
        assert self.pending is not None
        self.pool.record_answer(self.sent_s, self.pending.connection)
        return True


def judge(server: Server) -> list[tuple[Proof, float]]:
    """Return the proof for each end of a connection, and when it came."""
    results: list[tuple[Proof, float]] = []

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
        if server.restarts:
            for transport in server.transports:
                transport.end(None)
        await asyncio.sleep(0.01)
        closed_s = loop.time()

        def ask() -> None:
            later = _Later(pool)
            later.pending = pool.send(b"GET", later, reuse=server.reuses)

        loop.call_later(server.answers_s, ask)
        proofs = LifeProofs(
            loop.time,
            lambda endpoint: REQUEST if server.can_probe else None,
            lambda endpoint, status, headers: (
                None if status == 204 else status != 421
            ),
            lambda endpoint: REPORT if server.can_probe else None,
            bytes.decode,
        )

        def take(proof: Proof) -> None:
            results.append((proof, loop.time() - closed_s))

        for number in range(server.ends):
            if number:
                await asyncio.sleep(server.gap_s)
            proofs.wait(
                Endpoint(an_entry("e-1"), None),
                pool,
                sent_s,
                closed_s + LIMIT_S,
                take,
                server.listed,
            )
        await asyncio.sleep(3.0)
        pool.close()

    assert run_in_network(run) == []
    return results


# The server, what proves that it runs on, within how long, and the probes.
CASES: Final = {
    "it answers on an idle connection": (Server(), Proof.ANSWER, 0.1, 1),
    "it answers on a new one": (Server(opened_before=0), Proof.NONE, 0.1, 0),
    "one probe for all": (Server(ends=20), Proof.ANSWER, 0.1, 1),
    "it closes each": (Server(closes=True), Proof.ANSWER, 0.1, 1),
    "it starts again": (Server(restarts=True), Proof.NONE, 0.1, 0),
    "it starts again, and others ask": (
        Server(restarts=True, answers_s=0.04),
        Proof.NONE,
        0.1,
        0,
    ),
    "it is the same start": (
        Server(opened_before=0, listed="1"),
        Proof.SAME_START,
        0.1,
        1,
    ),
    "the same start is slow": (
        Server(opened_before=0, listed="1", delay_s=1.5),
        Proof.SAME_START,
        1.6,
        1,
    ),
    "it is another start": (
        Server(restarts=True, listed="1", born="2"),
        Proof.NONE,
        0.1,
        1,
    ),
    "it does not tell its start": (
        Server(opened_before=0, listed="1", born=""),
        Proof.NONE,
        0.1,
        1,
    ),
    "it has no report": (
        Server(b"404 No", opened_before=0, listed="1"),
        Proof.NONE,
        0.2,
        1,
    ),
    "it refuses its report": (
        Server(b"503 Full", opened_before=0, listed="1"),
        Proof.NONE,
        2.1,
        4,
    ),
    "it leaves, without its port": (
        Server(refuses=True),
        Proof.ANSWER,
        0.1,
        1,
    ),
    "nothing is there": (
        Server(refuses=True, opened_before=0),
        Proof.NONE,
        0.1,
        0,
    ),
    "something accepts": (Server(None, opened_before=0), Proof.NONE, 0.1, 0),
    "something accepted": (Server(None), Proof.NONE, 2.1, 1),
    "nothing attributable": (Server(b"204 No"), Proof.NONE, 2.1, 4),
    "another one answers": (Server(b"421 No"), Proof.NONE, 2.1, 4),
    "it is full": (Server(b"503 Full"), Proof.ANSWER, 0.1, 1),
    "it is slow": (Server(delay_s=1.5), Proof.ANSWER, 1.6, 1),
    "one probe hangs": (
        Server(opened_before=2, hung=1),
        Proof.ANSWER,
        0.7,
        2,
    ),
    "it has too many connections": (Server(resets=2), Proof.ANSWER, 0.1, 1),
    "a stream goes on": (Server(events=(0.1, 0.2)), Proof.BYTES, 0.2, 0),
    "a stream went on": (
        Server(events=(0.03,), can_probe=False),
        Proof.NONE,
        2.1,
        0,
    ),
    "a stream goes on and ends": (
        Server(events=(0.07,), ends_s=0.07, can_probe=False),
        Proof.NONE,
        2.1,
        0,
    ),
    "a stream goes on and ends soon": (
        Server(events=(0.07, 0.09), ends_s=0.1, can_probe=False),
        Proof.NONE,
        2.1,
        0,
    ),
    "it can not be asked": (Server(can_probe=False), Proof.NONE, 2.1, 0),
    "it answers another request": (
        Server(can_probe=False, answers_s=1.0),
        Proof.ANSWER,
        1.1,
        0,
    ),
    "it answers another request at once": (
        Server(can_probe=False, answers_s=0.01),
        Proof.ANSWER,
        0.06,
        0,
    ),
    "it answers another request on a new connection": (
        Server(can_probe=False, answers_s=1.0, reuses=False),
        Proof.NONE,
        2.1,
        0,
    ),
}


class LifeProofSuite:
    """Guards against a port's or a kernel's word taken for a process's."""

    @pytest.mark.parametrize("name", CASES)
    def test_what_proves_it(self, name: str) -> None:
        server, proof, within_s, probes = CASES[name]
        results = judge(server)
        assert len(results) == server.ends
        for result, after_s in results:
            assert result is proof
            assert after_s <= within_s
        assert server.probes == probes

    # Another process under the id was judged by the connections of the first.
    def test_two_processes_of_one_id(self) -> None:
        results: list[tuple[str, Proof]] = []

        async def run(loop: NetworkLoop) -> None:
            proofs = LifeProofs(
                loop.time,
                lambda endpoint: REQUEST,
                lambda endpoint, status, headers: status == 200,
                lambda endpoint: REPORT,
                bytes.decode,
            )
            pools = []
            for number in (1, 2):
                address = f"10.1.0.{number}", 80
                loop.listeners[address] = Server(delay_s=0.2).accept
                pool = Pool(*address, loop.time)
                pools.append(pool)
                if number == 1:
                    pool.add_idle()
                    await asyncio.sleep(0.01)
                entry = replace(an_entry("e-1"), born=f"{number}")

                def take(proof: Proof, born: str = entry.born) -> None:
                    results.append((born, proof))

                now_s = loop.time()
                proofs.wait(
                    Endpoint(entry, None), pool, now_s, now_s + LIMIT_S, take
                )
            await asyncio.sleep(3.0)
            for pool in pools:
                pool.close()

        assert run_in_network(run) == []
        assert sorted(results) == [("1", Proof.ANSWER), ("2", Proof.NONE)]


class StandstillSuite:
    # Bytes that were on their way counted as written after a pause.
    def test_a_router_that_stands_still_takes_no_old_bytes(self) -> None:
        results: list[Proof] = []

        async def run(loop: NetworkLoop) -> None:
            pool = Pool(*ADDRESS, loop.time)
            server = Server(None)
            loop.listeners[ADDRESS] = server.accept
            pool.send(b"GET", _Busy())
            await asyncio.sleep(0.01)
            server.transports[0].send(b"HTTP/1.1 200 OK\r\n\r\n")
            await asyncio.sleep(0.01)
            now_s = loop.time()
            proofs = LifeProofs(
                loop.time,
                lambda endpoint: None,
                lambda *answer: None,
                lambda endpoint: None,
                bytes.decode,
            )
            proofs.wait(
                Endpoint(an_entry("e-1"), None),
                pool,
                now_s,
                now_s + LIMIT_S,
                results.append,
            )
            server.transports[0].send(b"x")
            loop.stand_still(0.3)
            await asyncio.sleep(3.0)
            pool.close()

        assert run_in_network(run) == []
        assert results == [Proof.NONE]


class LateProxySuite:
    # A proxy that accepted a connection led it to the next process, which
    # then answered for the one before.
    @pytest.mark.parametrize(
        ("listed", "born", "older", "proof"),
        [
            ("1", "2", False, Proof.NONE),
            ("1", "1", False, Proof.SAME_START),
            ("1", "", False, Proof.ANSWER),  # Nothing better is told.
            ("", "2", False, Proof.ANSWER),
            ("", "2", True, Proof.NONE),
        ],
    )
    def test_a_young_connection(
        self, listed: str, born: str, older: bool, proof: Proof
    ) -> None:
        results: list[Proof] = []

        async def run(loop: NetworkLoop) -> None:
            server = Server(born=born)
            loop.listeners[ADDRESS] = server.accept
            pool = Pool(*ADDRESS, loop.time)
            if older:
                pool.add_idle()
            await asyncio.sleep(1.0)
            pool.add_idle()
            await asyncio.sleep(0.1)
            if older:
                server.transports[0].end(None)
                await asyncio.sleep(0.01)
            now_s = loop.time()
            proofs = LifeProofs(
                loop.time,
                lambda endpoint: REQUEST,
                lambda endpoint, status, headers: True,
                lambda endpoint: REPORT,
                bytes.decode,
            )
            entry = Endpoint(an_entry("e-1"), None)
            until_s = now_s + LIMIT_S
            proofs.wait(entry, pool, now_s, until_s, results.append, listed)
            await asyncio.sleep(3.0)
            pool.close()

        assert run_in_network(run) == []
        assert results == [proof]


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
                ended_s = broke_s + EXIT_S
                if paused:
                    pending.pause_reading()
                    transport.send(b"x")
                await asyncio.sleep(0.2)
                pool.watch_bytes(ended_s)
                if paused:
                    pending.resume_reading()
                else:
                    transport.send(b"x")
                await asyncio.sleep(2 * EXIT_S)
                pool.watch_bytes(ended_s)
                found.append(pool.seen(broke_s).heard)
                found.append(pool.goes_on(broke_s, ended_s))
            pool.close()

        assert run_in_network(run) == []
        assert found == [False, False, True, True]


class NextProcessSuite:
    # Guards against whole answers that wait for a proof of the process before.
    def test_each_process_has_its_own_proofs(self) -> None:
        results: list[Proof] = []

        async def run(loop: NetworkLoop) -> None:
            servers = [Server(status=None), Server()]
            proofs = LifeProofs(
                loop.time,
                lambda endpoint: REQUEST,
                lambda endpoint, status, headers: True,
                lambda endpoint: None,
                bytes.decode,
            )
            for server in servers:
                loop.listeners[ADDRESS] = server.accept
                pool = Pool(*ADDRESS, loop.time)
                pool.add_idle()
                await asyncio.sleep(0.01)
                proofs.wait(
                    Endpoint(an_entry("e-1"), None),
                    pool,
                    loop.time(),
                    loop.time() + LIMIT_S,
                    results.append,
                )
            await asyncio.sleep(1.0)
            assert results == [Proof.ANSWER]
            await asyncio.sleep(2.0)

        assert run_in_network(run) == []
        assert results == [Proof.ANSWER, Proof.NONE]
