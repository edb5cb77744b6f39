"""Routers that are killed amid answers, as real processes.

Guards against the end of a killed process that looks like that of an answer:
the kernel closes its connections in order.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.daemon.lifeproof import LifeProofs, Proof
from bulrushstream.transport.upstream import Pool
from tests.deployments import an_entry
from tests.unfinishedanswers import LARGE_BYTES, PIECE

VERSIONS = ("1.0", "1.1")


@dataclass(slots=True)
class Exchange:
    """A request to a process that can be killed."""

    process: subprocess.Popen[bytes]
    caller: socket.socket
    data: bytes = b""
    reset: bool = False

    def read_until(self, piece: bytes) -> None:
        while piece not in self.data:
            data = self.caller.recv(65536)
            assert data
            self.data += data

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def read_to_end(self) -> None:
        try:
            while data := self.caller.recv(65536):
                self.data += data
        except ConnectionResetError:
            self.reset = True

    @property
    def body(self) -> bytes:
        return self.data.partition(b"\r\n\r\n")[2]

    @property
    def looks_whole(self) -> bool:
        if b"transfer-encoding: chunked" in self.data:
            return self.data.endswith(b"0\r\n\r\n")
        return not self.reset


@contextmanager
def asking(path: str, version: str) -> Iterator[Exchange]:
    """Send a request to a new process."""
    process = subprocess.Popen(
        (sys.executable, "-m", "tests.unfinishedanswers"),
        cwd=Path(__file__).parents[1],
        stdout=subprocess.PIPE,
    )
    caller = socket.socket()
    try:
        assert process.stdout is not None
        port = int(process.stdout.readline())
        caller.settimeout(10.0)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", port))
        request = f"GET {path} HTTP/{version}\r\nHost: a\r\n\r\n"
        caller.sendall(request.encode())
        yield Exchange(process, caller)
    finally:
        caller.close()
        process.kill()
        process.communicate()


class KilledEndpointSuite:
    """Guards against a killed endpoint that counts as one that runs."""

    @pytest.mark.parametrize("end", ("none", "killed", "another accepts"))
    async def test_its_end_is_known(self, end: str) -> None:
        with asking("/part", "1.1") as exchange:
            port = exchange.caller.getpeername()[1]
            loop = asyncio.get_running_loop()
            pool = Pool("127.0.0.1", port, loop.time)
            pool.add_idle()
            async with asyncio.timeout(5.0):
                while not pool.has_opened_by(loop.time()):
                    await asyncio.sleep(0.001)
            exchange.read_until(PIECE)
            listener = socket.socket()
            if end != "none":
                exchange.kill()
            if end == "another accepts":
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind(("127.0.0.1", port))
                listener.listen()
            proofs = LifeProofs(
                loop.time,
                lambda endpoint: b"GET /whole HTTP/1.1\r\nHost: a\r\n\r\n",
                lambda endpoint, status, headers: status == 200,
                lambda endpoint: None,
                bytes.decode,
            )
            result: asyncio.Future[Proof] = loop.create_future()
            now_s = loop.time()
            endpoint = Endpoint(an_entry("e-1"), None)
            proofs.wait(endpoint, pool, now_s, now_s + 1.0, result.set_result)
            async with asyncio.timeout(5.0):
                lives = await result is not Proof.NONE
            assert lives == (end == "none")
            pool.close()
            listener.close()


class KilledAmidAnswersSuite:
    @pytest.mark.parametrize("version", VERSIONS)
    def test_a_part_is_not_whole(self, version: str) -> None:
        with asking("/part", version) as exchange:
            exchange.read_until(PIECE)
            exchange.kill()
            exchange.read_to_end()
            assert not exchange.looks_whole

    @pytest.mark.parametrize("version", VERSIONS)
    def test_a_whole_answer_is_whole(self, version: str) -> None:
        with asking("/whole", version) as exchange:
            if version == "1.1":
                exchange.read_until(b"0\r\n\r\n")
            else:
                exchange.read_to_end()
                assert exchange.body == PIECE
            assert exchange.looks_whole

    @pytest.mark.parametrize("version", VERSIONS)
    def test_bytes_that_the_kernel_did_not_have(self, version: str) -> None:
        """Guards against an end in order that comes before the last bytes."""
        with asking("/large", version) as exchange:
            exchange.read_until(b"xxx")
            exchange.kill()
            exchange.read_to_end()
            whole = exchange.body.count(b"x") == LARGE_BYTES
            assert whole or not exchange.looks_whole

    def test_a_slow_caller_gets_all(self) -> None:
        with asking("/large", "1.0") as exchange:
            exchange.read_until(b"xxx")
            exchange.read_to_end()
            assert exchange.looks_whole
            assert len(exchange.body) == LARGE_BYTES
