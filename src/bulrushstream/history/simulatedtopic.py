"""One topic of the platform's store in virtual time, with its failures.

It extends what `SimulatedStore` plays: records are compacted away, the store
is reset, reads wait for records, and single routers are refused.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.protocol.keyedstore import Batch, KeyedRecord, StoreError

ONE_WAY_S: Final = 0.003


@dataclass(slots=True)
class SimulatedTopic:
    """A topic whose records may be compacted away."""

    values: dict[str, bytes] = field(default_factory=dict)  # By key.
    records: list[KeyedRecord] = field(default_factory=list)  # Retained ones.
    first_offset: int = 0  # Of the first retained record.
    resets: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def put(self, key: str, value: bytes | None) -> None:
        """Append a record.

        :param key: its key
        :param value: its value; None: the key is deleted
        """
        self.records.append(KeyedRecord(key, value, self.end_offset))
        self.values.pop(key, None)
        if value is not None:
            self.values[key] = value
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Delete all records; the newest of each key stays listed."""
        self.first_offset = self.end_offset
        self.records.clear()

    def reset(self) -> None:
        """Lose everything, as a store that starts anew; reads break."""
        self.values.clear()
        self.records.clear()
        self.first_offset = 0
        self.resets += 1


@dataclass(slots=True)
class TopicReader:
    """One router's access to the topic; implements reads of `KeyedStore`."""

    topic: SimulatedTopic
    away: bool = False  # Whether its calls fail.

    async def newest(self, name: str) -> tuple[dict[str, bytes], int]:
        """Return the newest record of each key; see `KeyedStore`."""
        del name
        await self._pass(self.topic.resets)
        return dict(self.topic.values), self.topic.end_offset

    async def read(
        self, name: str, offset: int, wait_s: float
    ) -> Batch | None:
        """Return the records from an offset on; see `KeyedStore`."""
        del name
        topic, resets = self.topic, self.topic.resets
        await self._pass(resets)
        if offset == topic.end_offset:
            waiting = asyncio.ensure_future(topic.changed.wait())
            await asyncio.wait([waiting], timeout=wait_s)
            waiting.cancel()
        await self._pass(resets)
        if offset < topic.first_offset:
            return None
        found = tuple(topic.records[offset - topic.first_offset :])
        return Batch(found, 0, offset + len(found), topic.end_offset)

    async def _pass(self, resets: int) -> None:
        """Take a message over the network, unless the call fails."""
        await asyncio.sleep(ONE_WAY_S)
        if self.away or self.topic.resets != resets:
            raise StoreError("away")
