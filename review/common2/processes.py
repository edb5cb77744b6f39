"""Workers as processes, and the links between them and routers."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Final

from smallfleet import Fleet, Worker, serve_soundly

PROGRAM: Final = Path(__file__).with_name("workerprocess.py")

# What crosses a link in one piece.
PIECE_BYTES: Final = 4096

# What the network takes of a connection that the router has not got yet; the
# rest stays in the worker's kernel.
WINDOW_BYTES: Final = 16_384


class Link:
    """The link of one router, shared by all that workers send it."""

    def __init__(self, mark: bytes) -> None:
        """Make a link as fast as it goes.

        :param mark: how the ids of the router's requests begin
        """
        self.mark = mark
        self.mbit: float | None = None  # Its speed; None: as fast as it goes.
        self._turn = asyncio.Lock()

    async def carry(self, size_bytes: int) -> None:
        """Wait until a piece has crossed the link.

        :param size_bytes: its size
        """
        if self.mbit:
            async with self._turn:
                await asyncio.sleep(size_bytes * 8 / self.mbit / 1e6)


class Proxy:
    """Stands for the network between a worker and the routers.

    The bytes and the end of each connection cross it in their order.
    """

    def __init__(self, port: int, links: list[Link]) -> None:
        """Make a proxy that does not listen yet.

        :param port: the worker's port
        :param links: the links that may be narrow
        """
        self._port, self._links = port, links
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free port, and return it."""
        self.server = await asyncio.start_server(
            self._connected, "127.0.0.1", 0, limit=PIECE_BYTES
        )
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry a connection of a router."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, ("127.0.0.1", self._port))
        except OSError:
            writer.transport.abort()
            sock.close()
            return
        worker_reader, worker_writer = await asyncio.open_connection(
            sock=sock, limit=PIECE_BYTES
        )
        found: list[Link] = []  # The router's link, once it is known.
        try:
            await asyncio.gather(
                self._to_worker(reader, worker_writer, found),
                self._to_router(worker_reader, writer, found),
            )
        finally:
            writer.close()
            worker_writer.close()

    async def _to_worker(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        found: list[Link],
    ) -> None:
        """Carry what a router sends."""
        try:
            while data := await reader.read(65_536):
                if not found:
                    found += [e for e in self._links if e.mark in data]
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def _to_router(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        found: list[Link],
    ) -> None:
        """Carry what the worker sends."""
        try:
            while data := await reader.read(PIECE_BYTES):
                for link in found:
                    await link.carry(len(data))
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()


class ProcessWorker(Worker):
    """A worker that runs as a process, behind a proxy."""

    def __init__(self, fleet: Fleet, name: str, links: list[Link]) -> None:
        """Make a worker that has not started.

        :param fleet: the fleet
        :param name: its id
        :param links: the links that may be narrow
        """
        super().__init__(fleet, name, serve_soundly)
        self._links = links
        self._process: asyncio.subprocess.Process | None = None
        self.running: list[str] = []  # The ids of requests that began to run.

    async def start(self) -> None:
        """Start the process and its proxy."""
        self._process = await asyncio.create_subprocess_exec(
            "python3",
            str(PROGRAM),
            self.name,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self._process.stdout is not None
        line = await self._process.stdout.readline()
        proxy = Proxy(int(line.split()[1]), self._links)
        self.port = await proxy.start()
        self.server = proxy.server
        self.fleet.spawn(self._read(self._process.stdout))

    async def _read(self, output: asyncio.StreamReader) -> None:
        """Record the requests that the process runs."""
        while line := await output.readline():
            request_id = line.decode().split()[1]
            self.running.append(request_id)
            self.fleet.record(f"{self.name} runs {request_id}")

    async def kill(self) -> None:
        """Kill the process; its heartbeats end."""
        assert self._process is not None
        self.beats = 0
        if self._process.returncode is None:
            self._process.kill()
            self.fleet.record(f"{self.name} is killed")
        await self._process.wait()

    async def stop(self) -> None:
        """End the process and its proxy."""
        if self._process is not None:
            await self.kill()
        await super().stop()
