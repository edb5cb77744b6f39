"""Tasks that follow the operators' configuration and the endpoints.

Each of them reads everything once and then what was added, and hands it
on.  A read that fails is tried again after a pause.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from bulrushstream.protocol.keyedstore import Keyed, KeyedStore, StoreError

# How long the store waits for a record before it answers.  A proof is as
# old as the read that gave it, so this bounds the age of the proofs.
WAIT_S: Final = 1.5

MIN_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 0.8


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Every key of a topic."""

    values: dict[str, bytes]  # By key.


@dataclass(slots=True)
class TopicWatch:
    """Follows one keyed topic."""

    store: KeyedStore  # The platform's store.
    topic: str  # The topic's name.
    interval_s: float  # The least time between two reads.
    clock: Callable[[], float]  # Counts while the machine is suspended.
    take: Callable[[Snapshot | Keyed], None]  # Takes what is read.
    proven: Callable[[float], None]  # Takes when a good read was sent.
    failed: Callable[[str], None]  # Takes why a read failed.
    rng: random.Random  # Draws pauses.

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        offset: int | None = None
        pause_s = MIN_PAUSE_S
        while True:
            try:
                if offset is None:
                    offset = await self._read_all()
                else:
                    offset = await self._read_on(offset)
                pause_s = MIN_PAUSE_S
            except StoreError as error:
                self.failed(str(error))
                await asyncio.sleep(self.rng.uniform(pause_s / 2, pause_s))
                pause_s = min(MAX_PAUSE_S, pause_s * 2)

    async def _read_all(self) -> int:
        """Read every key; return where to read on."""
        sent_s = self.clock()
        values, offset = await self.store.newest(self.topic)
        self.take(Snapshot(values))
        self.proven(sent_s)
        return offset

    async def _read_on(self, offset: int) -> int | None:
        """Read what was added; return where to read on."""
        sent_s = self.clock()
        batch = await self.store.read(self.topic, offset, WAIT_S)
        if batch is None:
            return None
        for record in batch.records:
            self.take(record)
        if batch.next_offset > batch.end_offset:
            # The store's offsets began anew.
            return None
        if not batch.records and batch.next_offset < batch.end_offset:
            return None
        if batch.next_offset == batch.end_offset:
            self.proven(sent_s)
        spent_s = self.clock() - sent_s
        if spent_s < self.interval_s:
            await asyncio.sleep(self.interval_s - spent_s)
        return batch.next_offset


async def repeat(
    interval_s: float, action: Callable[[], Awaitable[None] | None]
) -> None:
    """Do something again and again until cancelled.

    :param interval_s: the pause between two times, in seconds
    :param action: what to do
    """
    while True:
        await asyncio.sleep(interval_s)
        result = action()
        if result is not None:
            await result
