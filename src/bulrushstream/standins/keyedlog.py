"""A stand-in for the platform's store: keyed topics over HTTP.

It implements the store's public API in memory and can inject faults.
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

from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits

_POSITIONS: Final = struct.Struct("!QQ")
_LENGTH: Final = struct.Struct("!I")


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store, which apply to later calls."""

    refuse_status: int = 0  # Status of every answer; 0: no fault.
    silent: bool = False  # Leaves every call unanswered.
    lose_answers: bool = False  # Appends, then aborts the connection.
    unknown_topics: bool = False  # Answers 404 to reads of unused topics.
    refused: int = 0  # Calls that were refused.


@dataclass(slots=True)
class _Topic:
    """One partition of a topic."""

    # The retained records, the first of them at `first_offset`.
    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0  # Of the oldest retained record.
    newest_by_key: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)
    # The epoch and the number of the last append, by its writer.
    turns: dict[str, tuple[int, int]] = field(default_factory=dict)

    @property
    def end_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)


class KeyedLog:
    """The store's state and its HTTP server."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty store.

        :param clock: the time in seconds
        """
        self.faults = StoreFaults()
        self.calls = 0
        self.port = 0
        self._topics: dict[str, _Topic] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._clock = clock
        self._listeners: list[tuple[Ingress, asyncio.Server]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self.port = await self.listen(self.faults)

    async def listen(self, faults: StoreFaults) -> int:
        """Listen on a further port, whose calls have faults of their own.

        All hosts of a machine call from the same address, so that only the
        port tells them apart.

        :param faults: the faults of calls to this port
        :returns: the port
        """
        ingress = Ingress(
            lambda exchange: self._handle(exchange, faults),
            IngressLimits(),
            self._clock,
        )
        server = await asyncio.get_running_loop().create_server(
            ingress.make_connection, "127.0.0.1", 0
        )
        self._listeners.append((ingress, server))
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def stop(self) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        for ingress, server in self._listeners:
            server.close()
            for connection in list(ingress.connections):
                connection.abort()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record under a key, without access checks.

        :param topic: the topic's name
        :param key: the key
        :param value: the value; empty: deletes the key
        :returns: the record's offset
        """
        name = key.encode()
        return self._append(topic, bytes((len(name),)) + name + value)

    def trim(self, topic: str) -> None:
        """Delete a topic's records; the newest value of each key stays.

        :param topic: the topic's name
        """
        trimmed = self._topic(topic)
        trimmed.first_offset = trimmed.end_offset
        trimmed.records.clear()

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _append(self, name: str, record: bytes) -> int:
        topic = self._topic(name)
        offset = topic.end_offset
        topic.records.append(record)
        end = 1 + record[0]
        key, value = record[1:end].decode(), record[end:]
        if value:
            topic.newest_by_key[key] = (offset, value)
        else:
            topic.newest_by_key.pop(key, None)
        topic.appended.set()
        topic.appended = asyncio.Event()
        return offset

    def _handle(self, exchange: Exchange, faults: StoreFaults) -> None:
        self.calls += 1
        if faults.silent:
            return
        if faults.refuse_status:
            faults.refused += 1
            exchange.answer(faults.refuse_status, [])
            return
        parts = urlsplit(exchange.target.decode())
        query = {key: each[0] for key, each in parse_qs(parts.query).items()}
        call = (exchange.method, parts.path)
        if call == (b"GET", "/v1/log-newest"):
            self._answer_newest(exchange, query["topic"])
        elif call == (b"GET", "/v1/log-read"):
            task = asyncio.get_running_loop().create_task(
                self._answer_read(exchange, query, faults)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif call == (b"POST", "/v1/log-append"):
            self._answer_append(exchange, query, faults)
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
            for key, (offset, value) in sorted(topic.newest_by_key.items())
        ]
        page = {
            "items": items,
            "hasMore": False,
            "endOffset": topic.end_offset,
        }
        exchange.answer(200, [], msgspec.json.encode(page))

    async def _answer_read(
        self,
        exchange: Exchange,
        query: dict[str, str],
        faults: StoreFaults,
    ) -> None:
        name = _partition(query)
        if faults.unknown_topics and name not in self._topics:
            exchange.answer(404, [])
            return
        topic = self._topic(name)
        offset = int(query["from"])
        wait_s = int(query.get("waitMs", "0")) / 1000.0
        if offset >= topic.end_offset and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.appended.wait()
            except TimeoutError:
                pass  # No new record; the page is empty.
        if faults.silent:
            return
        if offset < topic.first_offset:
            body = msgspec.json.encode({"firstOffset": topic.first_offset})
            exchange.answer(410, [], body)
            return
        body = _POSITIONS.pack(topic.end_offset, topic.first_offset)
        for record in topic.records[offset - topic.first_offset :]:
            body += _LENGTH.pack(len(record)) + record
        exchange.answer(200, [], body)

    def _answer_append(
        self,
        exchange: Exchange,
        query: dict[str, str],
        faults: StoreFaults,
    ) -> None:
        name = _partition(query)
        body, position = exchange.body, 0
        topic = self._topic(name)
        offset = topic.end_offset
        if "producer" in query:
            writer = query["producer"]
            turn = int(query["epoch"]), int(query["callSeq"])
            last = topic.turns.get(writer, (0, 0))
            if turn == last:
                # The first answer is not kept; its offsets are not used.
                body = b""
            elif turn[0] < last[0] or (
                turn[0] == last[0] and turn[1] != last[1] + 1
            ):
                exchange.answer(409, [])
                return
            topic.turns[writer] = turn
        while position + _LENGTH.size <= len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            self._append(name, body[position : position + length])
            position += length
        if faults.lose_answers:
            exchange.abort()
            return
        end = self._topic(name).end_offset
        document = {"offset": offset, "endOffset": end}
        exchange.answer(200, [], msgspec.json.encode(document))


def _partition(query: dict[str, str]) -> str:
    """Return the name under which the partition of a call is kept."""
    part = query.get("part", "0")
    return query["topic"] if part == "0" else f"{query['topic']}/{part}"
