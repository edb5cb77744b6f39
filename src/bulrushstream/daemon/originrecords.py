"""Writes origins of streams to the store, and reads those of other routers.

Each router writes to the partition that a hash of its host picks, and reads
all of them: once when it starts while a service has several versions, and
again when it is asked for a stream that no router knows.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

import xxhash

from bulrushstream.coordination.originqueue import (
    read_interval_s,
    write_interval_s,
)
from bulrushstream.coordination.streamorigins import MAX_STREAMS
from bulrushstream.daemon.front import Front
from bulrushstream.daemon.orderedwriter import OrderedWriter
from bulrushstream.protocol.keyedstore import (
    KeyedRecord,
    KeyedStore,
    StoreError,
    Turn,
)
from bulrushstream.protocol.origincodec import decode_origins, encode_origins
from bulrushstream.state.streamorigin import StreamOrigin

# The pause before a failed read is repeated.
RETRY_S: Final = 0.2


@dataclass(slots=True)
class OriginRecords:
    """The origins in the store, as one router reads and writes them."""

    store: KeyedStore
    topic: str
    front: Front
    _queued: asyncio.Event = field(default_factory=asyncio.Event)
    _read_wanted: asyncio.Event = field(default_factory=asyncio.Event)
    _offsets: dict[int, int] = field(default_factory=dict)  # By partition.

    def __post_init__(self) -> None:
        """Be told when there is something to write or to read."""
        streams = self.front.streams
        streams.on_queued = self._queued.set
        streams.request_stored = self._read_wanted.set

    async def write(self) -> None:
        """Write what is queued until cancelled."""
        front, settings = self.front, self.front.settings
        queue = front.streams.queue
        host = settings.host
        part = (
            xxhash.xxh32_intdigest(host.encode()) % settings.store_partitions
        )
        started_ms = int(front.boot_clock() * 1000)
        writer = OrderedWriter(
            self.store, self.topic, host, part, Turn(f"{host}-{started_ms}")
        )
        while True:
            if queue.is_empty:
                self._queued.clear()
                await self._queued.wait()
            started_s = front.clock()
            await writer.append(encode_origins(queue.next_batch()))
            queue.written()
            interval_s = write_interval_s(
                front.peers.router_count, settings.store_writes_per_s
            )
            took_s = front.clock() - started_s
            await asyncio.sleep(max(0.0, interval_s - took_s))

    async def read(self) -> None:
        """Read what other routers wrote, when asked, until cancelled."""
        front, settings = self.front, self.front.settings
        while True:
            await self._read_wanted.wait()
            self._read_wanted.clear()
            sent_s = front.clock()
            try:
                await asyncio.gather(
                    *map(
                        self._read_partition, range(settings.store_partitions)
                    )
                )
            except StoreError:
                self._read_wanted.set()
                await asyncio.sleep(RETRY_S)
                continue
            front.streams.stored_read_s = sent_s
            pause_s = read_interval_s(
                front.peers.router_count,
                settings.store_partitions,
                settings.store_reads_per_s,
            )
            await asyncio.sleep(pause_s)

    async def _read_partition(self, part: int) -> None:
        """Read the new records of one partition, and apply all at once.

        A later record of a stream replaces an earlier one.
        """
        offset = self._offsets.get(part, 0)
        newest: dict[int, StreamOrigin] = {}
        while True:
            batch = await self.store.read_retained(self.topic, part, offset)
            for record in batch.records:
                for origin in self._decode(record):
                    newest.pop(origin.stream, None)
                    newest[origin.stream] = origin
            while len(newest) > MAX_STREAMS:
                del newest[next(iter(newest))]
            offset = batch.next_offset
            if not batch.records or offset >= batch.end_offset:
                break
        self._offsets[part] = offset
        front = self.front
        front.streams.origins.apply_stored(newest.values(), front.clock())

    def _decode(self, record: KeyedRecord) -> tuple[StreamOrigin, ...]:
        """Decode a record; a malformed one is reported and left out."""
        try:
            return decode_origins(record.value or b"")
        except ValueError as error:
            self.front.report("bad_origins", f"{record.key}: {error}")
            return ()
