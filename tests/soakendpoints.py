"""Endpoints of event streams behind loopback proxies, in this process.

A proxy accepts and connects at once; it outlives the endpoint's process.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field
from random import Random
from typing import Final

from tests.deployments import wire_entry
from tests.eventshapes import PLAIN, Shape
from tests.eventstreams import LINE_ENDS
from tests.spoiledruns import SpoiledRuns
from tests.spoilings import (
    End,
    Framing,
    Spoiling,
    WrittenAnswer,
    encode_answer,
    framing_for,
    framing_header,
    spoil,
)

EVENTS: Final = 20
UNFRAMED_SHARE: Final = 0.4  # Of the answers.
PAUSES_S: Final = (0.0, 0.01, 0.03)
# A connection may pass bytes that were written at once on in parts.
SPOILINGS: Final = tuple(
    kind for kind in Spoiling if kind is not Spoiling.LAST_CHUNK_REST
)
# Shorter and longer than routers wait for an event, and than callers do.
HANGS_S: Final = (0.3, 0.6, 1.0, 2.0, 4.0)
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


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What endpoints that live do."""

    spoilings: tuple[Spoiling, ...] = ()  # Ways to spoil answers.
    spoiled_share: float = 0.2  # Of their answers, if there are any.
    hang_share: float = 0.0  # Of the answers that stand still once.
    reset_share: float = 0.0  # Of the answers that are broken off.
    shape: Shape = PLAIN
    events: int = EVENTS  # Of each stream.
    varies: bool = False  # Whether each path has another number of events.
    pauses_s: tuple[float, ...] = PAUSES_S  # Between two events.

    def length_of(self, path: str) -> int:
        """Return the number of events of a path's streams."""
        if not self.varies:
            return self.events
        return Random(path).randint(1, 2 * self.events)


@dataclass(slots=True)
class Runs:
    """The runs of all endpoints."""

    seed: int
    behaviour: Behaviour = Behaviour()
    begun: int = 0
    # The software version of each run's endpoint.
    versions: dict[int, str] = field(default_factory=dict)
    # The process of the router that got each request.
    routers: dict[str, str] = field(default_factory=dict)
    spoiled: SpoiledRuns = field(default_factory=lambda: SpoiledRuns(0.0))


@dataclass(slots=True, eq=False)
class Endpoint:
    """One process of an endpoint."""

    name: str
    born: int
    runs: Runs
    port: int = 0
    version: str = "v1"
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
        self.runs.versions[run] = self.version
        rng = Random(f"{self.runs.seed} run {run}")
        does = self.runs.behaviour
        framing = Framing.CHUNKS
        if rng.random() < UNFRAMED_SHARE:
            framing = Framing.CLOSE
        kind = None
        if does.spoilings and rng.random() < does.spoiled_share:
            kind = rng.choice(does.spoilings)
            framing = framing_for(kind, rng)
        after = does.shape.number_of(int(headers.get("last-event-id", "0")))
        end = rng.choice(LINE_ENDS)
        events = [
            does.shape.encode(number, run, end)
            for number in range(after + 1, does.length_of(path) + 1)
        ]
        head = encode_head(
            "HTTP/1.1 200 OK",
            {
                **echoed,
                "X-Response-Signature": self.name,
                "Content-Type": "text/event-stream",
            },
        )[:-2]
        head += does.shape.header(framing_header(framing, events)) + b"\r\n"
        if kind is None:
            answer = encode_answer(head, events, framing)
        else:
            answer = spoil(kind, head, events, framing, rng)
            self.runs.spoiled.begin(
                headers["x-request-id"],
                (self.name, self.runs.routers[headers["x-request-id"]]),
                kind,
                answer,
                after,
                asyncio.get_running_loop().time(),
            )
        await asyncio.sleep(rng.uniform(0.0, 0.05))
        await self._write(writer, answer, rng)
        return answer.end is End.NONE

    async def _write(
        self, writer: asyncio.StreamWriter, answer: WrittenAnswer, rng: Random
    ) -> None:
        """Write an answer, at times in small pieces or with a long pause."""
        hangs_at = -1
        if rng.random() < self.runs.behaviour.hang_share:
            hangs_at = rng.randrange(len(answer.pieces))
        reset_at = -1
        reset_share = self.runs.behaviour.reset_share
        if reset_share and rng.random() < reset_share:
            reset_at = rng.randrange(len(answer.pieces))
        for number, data in enumerate(answer.pieces):
            if number == reset_at:
                reset_connection(writer)
                return
            cut = (
                rng.randrange(len(data)) if rng.random() < 0.2 and data else 0
            )
            writer.write(data[:cut])
            await asyncio.sleep(0.002 if cut else 0.0)
            writer.write(data[cut:])
            await writer.drain()
            pause_s = rng.choice(self.runs.behaviour.pauses_s)
            if number == hangs_at:
                pause_s = rng.choice(HANGS_S)
            await asyncio.sleep(pause_s)
        if answer.end is End.RESET:
            reset_connection(writer)


@dataclass(slots=True, eq=False)
class Proxy:
    """An address that goes on accepting as its endpoint has ended."""

    endpoint: Endpoint
    port: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen, on the same port as before or on a free one."""
        self._server = await asyncio.start_server(
            self._serve, HOST_IP, self.port
        )
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
        return wire_entry(
            "llm",
            self.port,
            slots=64,
            born=self.endpoint.born,
            version=self.endpoint.version,
        )

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
            if inner[0].exception() is not None:
                reset_connection(writer)
            for each in tasks:
                each.cancel()
            inner[1].close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection.

    :param writer: its end
    """
    linger = struct.pack("ii", 1, 0)
    opened = writer.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


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
