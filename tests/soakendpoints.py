"""Endpoints of event streams behind loopback proxies, in this process.

A proxy accepts and connects at once; it outlives the endpoint's process.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from random import Random
from typing import Final

from tests.deployments import wire_entry
from tests.eventstreams import LINE_ENDS

EVENTS: Final = 20  # Of each stream.
UNFRAMED_SHARE: Final = 0.4  # Of the answers.
PAUSES_S: Final = (0.0, 0.01, 0.03)  # Between two events.
HOST_IP: Final = "127.0.0.1"
READ_BYTES: Final = 65_536

Headers = dict[str, str]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers] | None:
    """Return a first line and the headers; None: the stream ended before."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): text.strip() for name, _, text in pairs}


@dataclass(slots=True)
class Runs:
    """The runs of all endpoints."""

    seed: int
    begun: int = 0


@dataclass(slots=True, eq=False)
class Endpoint:
    """One process of an endpoint."""

    name: str
    born: int
    runs: Runs
    port: int = 0
    _ended: bool = False
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST_IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """Close all sockets, as the kernel does for a killed process."""
        assert self._server is not None
        self._ended = True
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._ended:
            # The connection was accepted just before.
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                size = int(head[1].get("content-length", "0"))
                await reader.readexactly(size)
                if not await self._answer(writer, *head):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, writer: asyncio.StreamWriter, line: str, headers: Headers
    ) -> bool:
        """Answer a request; return whether its connection is kept."""
        path = line.split(" ")[1]
        if not path.startswith(("/talk/", "/tell/")):
            status = "200 OK" if path == "/health" else "404 Not Found"
            empty = {"X-Instance-Id": self.name, "Content-Length": "0"}
            writer.write(encode_head(f"HTTP/1.1 {status}", empty))
            return True
        echoed = {"X-Request-Id": headers["x-request-id"]}
        if headers.get("x-expect-instance", self.name) != self.name:
            refused = {**echoed, "X-Not-Executed": "1", "Content-Length": "0"}
            writer.write(encode_head("HTTP/1.1 421 Misdirected", refused))
            return True
        self.runs.begun += 1
        run = self.runs.begun
        rng = Random(f"{self.runs.seed} run {run}")
        unframed = rng.random() < UNFRAMED_SHARE
        framing = ("Connection", "close")
        if not unframed:
            framing = ("Transfer-Encoding", "chunked")
        answer = {
            **echoed,
            "X-Response-Signature": self.name,
            "Content-Type": "text/event-stream",
            framing[0]: framing[1],
        }
        end = rng.choice(LINE_ENDS)
        await asyncio.sleep(rng.uniform(0.0, 0.05))
        writer.write(encode_head("HTTP/1.1 200 OK", answer))
        after = int(headers.get("last-event-id", "0"))
        for number in range(after + 1, EVENTS + 1):
            data = encode_event(number, run, end)
            if not unframed:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            cut = rng.randrange(len(data)) if rng.random() < 0.2 else 0
            writer.write(data[:cut])
            await asyncio.sleep(0.002 if cut else 0.0)
            writer.write(data[cut:])
            await writer.drain()
            await asyncio.sleep(rng.choice(PAUSES_S))
        if not unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return not unframed


@dataclass(slots=True, eq=False)
class Proxy:
    """An address that goes on accepting as its endpoint has ended."""

    endpoint: Endpoint
    port: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST_IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and end all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    @property
    def entry(self) -> bytes:
        """Return the entry that its endpoint writes."""
        born = self.endpoint.born
        return wire_entry("llm", self.port, slots=64, born=born)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            inner = await asyncio.open_connection(HOST_IP, self.endpoint.port)
            tasks = [
                asyncio.create_task(_pass_on(reader, inner[1])),
                asyncio.create_task(_pass_on(inner[0], writer)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for each in tasks:
                each.cancel()
            inner[1].close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def _pass_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()


def encode_head(line: str, headers: Headers) -> bytes:
    """Return the encoded head of a message.

    :param line: its first line
    :param headers: its headers
    """
    lines = [line, *(f"{name}: {text}" for name, text in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode_event(number: int, run: int, end: bytes) -> bytes:
    """Return an encoded event.

    :param number: its id
    :param run: the number of its run
    :param end: the end of its lines
    """
    return b"id: %d%bdata: run %d%b%b" % (number, end, run, end, end)
