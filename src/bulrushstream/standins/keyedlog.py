"""A stand-in for the platform's store: keyed topics over HTTP.

It speaks the store's published calls, keeps everything in memory, and has
switches for the ways in which the store fails.
"""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final
from urllib.parse import parse_qs, urlsplit

import msgspec

from bulrushstream.transport.ingress import Exchange, Ingress, IngressLimits

_POSITIONS: Final = struct.Struct("!QQ")
_LENGTH: Final = struct.Struct("!I")


@dataclass(slots=True)
class Faults:
    """How the store fails, from now on."""

    refuse_status: int = 0  # Answers every call with it; 0: serves.
    silent: bool = False  # Never answers.
    lose_answers: bool = False  # Does what it is asked and cuts.


@dataclass(slots=True)
class _Topic:
    """One topic with a single partition."""

    records: list[bytes] = field(default_factory=list)  # From `first` on.
    first: int = 0  # The oldest offset that is kept.
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)


class KeyedLog:
    """The store's state and its HTTP server."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Make a store that holds nothing.

        :param clock: the time in seconds
        """
        self.faults = Faults()
        self.calls = 0
        self.port = 0
        self._topics: dict[str, _Topic] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._ingress = Ingress(self._handle, IngressLimits(), clock)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._ingress.make_connection, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._ingress.connections):
            connection.abort()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record under a key, as whoever may write there.

        :param topic: the topic's name
        :param key: the key
        :param value: the content; empty: the key is dropped
        :returns: the record's offset
        """
        name = key.encode()
        return self._append(topic, bytes((len(name),)) + name + value)

    def trim(self, topic: str) -> None:
        """Delete the history of a topic; the newest of each key stays.

        :param topic: the topic's name
        """
        held = self._topic(topic)
        held.first = held.end
        held.records.clear()

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _append(self, name: str, record: bytes) -> int:
        topic = self._topic(name)
        offset = topic.end
        topic.records.append(record)
        end = 1 + record[0]
        key, value = record[1:end].decode(), record[end:]
        if value:
            topic.newest[key] = (offset, value)
        else:
            topic.newest.pop(key, None)
        topic.grown.set()
        topic.grown = asyncio.Event()
        return offset

    def _handle(self, exchange: Exchange) -> None:
        self.calls += 1
        if self.faults.silent:
            return
        if self.faults.refuse_status:
            exchange.answer(self.faults.refuse_status, [])
            return
        parts = urlsplit(exchange.target.decode())
        query = {key: each[0] for key, each in parse_qs(parts.query).items()}
        call = (exchange.method, parts.path)
        if call == (b"GET", "/v1/log-newest"):
            self._answer_newest(exchange, query["topic"])
        elif call == (b"GET", "/v1/log-read"):
            task = asyncio.get_running_loop().create_task(
                self._answer_read(exchange, query)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif call == (b"POST", "/v1/log-append"):
            self._answer_append(exchange, query["topic"])
        else:
            exchange.answer(404, [])

    def _answer_newest(self, exchange: Exchange, name: str) -> None:
        topic = self._topic(name)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        page = {"items": items, "hasMore": False, "endOffset": topic.end}
        exchange.answer(200, [], msgspec.json.encode(page))

    async def _answer_read(
        self, exchange: Exchange, query: dict[str, str]
    ) -> None:
        topic = self._topic(query["topic"])
        offset = int(query["from"])
        wait_s = int(query.get("waitMs", "0")) / 1000.0
        if offset >= topic.end and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.grown.wait()
            except TimeoutError:
                pass  # Nothing came; the answer is empty.
        if self.faults.silent:
            return
        if offset < topic.first:
            body = msgspec.json.encode({"firstOffset": topic.first})
            exchange.answer(410, [], body)
            return
        body = _POSITIONS.pack(topic.end, topic.first)
        for record in topic.records[offset - topic.first :]:
            body += _LENGTH.pack(len(record)) + record
        exchange.answer(200, [], body)

    def _answer_append(self, exchange: Exchange, name: str) -> None:
        body, place = exchange.body, 0
        offset = self._topic(name).end
        while place + _LENGTH.size <= len(body):
            (length,) = _LENGTH.unpack_from(body, place)
            place += _LENGTH.size
            self._append(name, body[place : place + length])
            place += length
        if self.faults.lose_answers:
            exchange.abort()
            return
        end = self._topic(name).end
        document = {"offset": offset, "endOffset": end}
        exchange.answer(200, [], msgspec.json.encode(document))
