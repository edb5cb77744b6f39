"""Follows topics of the platform's store, such as the endpoint list.

A `TopicWatch` reads a topic's snapshot once and then its new records, and
passes both to a handler.  A failed read is retried with backoff; a record
that the handler fails on is reported and skipped.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from bulrushstream.protocol.keyedstore import (
    KeyedRecord,
    KeyedStore,
    StoreError,
)

# How long the store may hold a read until there is a new record.  A
# confirmation dates from when its read was sent, so this limits its age.
WAIT_S: Final = 1.5

MIN_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 0.8

# The pause before a failed task is started again.
RESTART_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest value of every key of a topic."""

    values: dict[str, bytes]  # By key.


@dataclass(slots=True)
class TopicWatch:
    """Follows one topic."""

    store: KeyedStore
    topic: str
    interval_s: float  # The minimum time between the starts of two reads.
    clock: Callable[[], float]  # Also runs while suspended; seconds.
    handle: Callable[[Snapshot | KeyedRecord], None]  # Receives what was read.
    # Called when nothing newer is left, with the time the read was sent.
    on_confirmed: Callable[[float], None]
    on_failed: Callable[[str], None]  # Called with the reason.
    on_fault: Callable[[Exception], None]  # Called if the handler fails.
    rng: random.Random  # Jitter of the backoff.

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        offset: int | None = None
        pause_s = MIN_PAUSE_S
        while True:
            try:
                if offset is None:
                    offset = await self._read_all()
                else:
                    offset = await self._read_changes(offset)
                pause_s = MIN_PAUSE_S
            except StoreError as error:
                self.on_failed(str(error))
                await asyncio.sleep(self.rng.uniform(pause_s / 2, pause_s))
                pause_s = min(MAX_PAUSE_S, pause_s * 2)

    async def _read_all(self) -> int:
        """Read a snapshot; return the next offset."""
        sent_s = self.clock()
        values, offset = await self.store.newest(self.topic)
        self._apply(Snapshot(values))
        self.on_confirmed(sent_s)
        return offset

    async def _read_changes(self, offset: int) -> int | None:
        """Read new records; return the next offset.

        None means that a snapshot has to be read again.
        """
        sent_s = self.clock()
        batch = await self.store.read(self.topic, offset, WAIT_S)
        if batch is None:
            return None
        for record in batch.records:
            self._apply(record)
        if batch.next_offset > batch.end_offset:
            # The store was reset, and its offsets restarted from 0.
            return None
        if not batch.records and batch.next_offset < batch.end_offset:
            return None
        if batch.next_offset == batch.end_offset:
            self.on_confirmed(sent_s)
        elapsed_s = self.clock() - sent_s
        if elapsed_s < self.interval_s:
            await asyncio.sleep(self.interval_s - elapsed_s)
        return batch.next_offset

    def _apply(self, update: Snapshot | KeyedRecord) -> None:
        """Pass on what was read; a failure must not end the watch."""
        try:
            self.handle(update)
        except Exception as error:
            self.on_fault(error)


async def run_periodically(
    interval_s: float,
    action: Callable[[], Awaitable[None] | None],
    on_fault: Callable[[Exception], None],
) -> None:
    """Call a function periodically until cancelled.

    :param interval_s: the pause before each call, in seconds
    :param action: the function; an awaitable that it returns is awaited
    :param on_fault: called if the function fails; it is called again later
    """
    while True:
        await asyncio.sleep(interval_s)
        try:
            result = action()
            if result is not None:
                await result
        except Exception as error:
            on_fault(error)


async def run_supervised(
    run: Callable[[], Awaitable[None]], on_fault: Callable[[Exception], None]
) -> None:
    """Run a coroutine, and again a little later each time that it fails.

    :param run: starts the coroutine
    :param on_fault: called if it fails
    """
    while True:
        try:
            await run()
        except Exception as error:
            on_fault(error)
            await asyncio.sleep(RESTART_S)
        else:
            return
