"""Follows topics of the platform's store, such as the endpoint list.

A `TopicWatch` reads a topic's snapshot once and then its new records, and
passes both to a handler.  A failed read is retried with backoff; a record
that the handler fails on is reported and skipped.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

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

# A read that is answered this much later than the store may hold it is
# repeated beside: a lost answer would hide the return of the store until the
# time-out of the call.
LATE_S: Final = 0.25

# The least time between two additional reads.
CHECK_PAUSE_S: Final = 0.02

# After a listing that failed, reads that succeed go on for this time.
LIST_PAUSE_S: Final = 2.0

# The pause before a failed task is started again.
RESTART_S: Final = 1.0

_Read = TypeVar("_Read")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest value of every key of a topic."""

    values: dict[str, bytes]  # By key.
    # Where the next read starts; not part of what was read.
    end_offset: int = field(default=0, compare=False)


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
    # Whether a snapshot is read once reads succeed again.  A store that was
    # reset, and has as many records again, shows nothing else of it.
    lists_after_failures: bool = False
    # Where the next read starts; None: a snapshot is read.
    _offset: int | None = None
    _snapshot_due: bool = False  # Whether reads have failed since the last.
    _list_s: float = float("-inf")  # When a listing may be tried again.
    _check_wanted: asyncio.Event = field(default_factory=asyncio.Event)
    # Whether the next read is due at once.
    _hurry: asyncio.Event = field(default_factory=asyncio.Event)

    def check(self) -> None:
        """Confirm soon that nothing newer is left, or read what is."""
        self._check_wanted.set()

    async def run_checks(self) -> None:
        """Confirm what was read whenever `check` is called.

        The read of `run` may have been sent before, and waits.
        """
        while True:
            await self._check_wanted.wait()
            self._check_wanted.clear()
            sent_s, offset = self.clock(), self._offset
            batch = None
            try:
                if offset is not None:
                    batch = await self.store.read(self.topic, offset, 0.0)
            except StoreError as error:
                # Who needs the confirmation calls again.
                self.on_failed(str(error))
                await asyncio.sleep(MIN_PAUSE_S)
                continue
            if (
                batch is not None
                and not batch.records
                and batch.next_offset == batch.end_offset
                and offset == self._offset
            ):
                self.on_confirmed(sent_s)
            else:
                # `run` applies the records, as it keeps their order.
                self._hurry.set()
                self._check_wanted.set()
            await asyncio.sleep(CHECK_PAUSE_S)

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        pause_s, lists = MIN_PAUSE_S, True
        while True:
            try:
                if self._offset is None or lists:
                    self._snapshot_due = False
                    self._offset = await self._read_all()
                else:
                    self._offset = await self._read_changes(self._offset)
                pause_s = MIN_PAUSE_S
                lists = self._snapshot_due and self.clock() >= self._list_s
            except StoreError as error:
                self._read_failed(str(error))
                # A store may refuse one of the two calls only.
                if lists:
                    self._list_s = self.clock() + LIST_PAUSE_S
                lists = self.lists_after_failures and not lists
                await asyncio.sleep(self.rng.uniform(pause_s / 2, pause_s))
                pause_s = min(MAX_PAUSE_S, pause_s * 2)

    async def _read_all(self) -> int:
        """Read a snapshot; return the next offset."""
        sent_s, (values, offset) = await self._read_until_answered(
            lambda _: self.store.newest(self.topic)
        )
        self._apply(Snapshot(values, offset))
        self.on_confirmed(sent_s)
        return offset

    async def _read_changes(self, offset: int) -> int | None:
        """Read new records; return the next offset.

        None means that a snapshot has to be read again.
        """
        sent_s, batch = await self._read_until_answered(
            lambda wait_s: self.store.read(self.topic, offset, wait_s)
        )
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
            with suppress(TimeoutError):
                async with asyncio.timeout(self.interval_s - elapsed_s):
                    await self._hurry.wait()
        self._hurry.clear()
        return batch.next_offset

    async def _read_until_answered(
        self, read: Callable[[float], Coroutine[Any, Any, _Read]]
    ) -> tuple[float, _Read]:
        """Read; while there is no answer, read again beside.

        :param read: reads once, and lets the store wait for so many seconds
        :returns: when the first read that succeeds was sent, and its result
        :raises StoreError: if a read fails and no other is in progress
        """
        loop = asyncio.get_running_loop()
        reads: dict[asyncio.Task[_Read], float] = {}
        wait_s = WAIT_S
        try:
            while True:
                reads[loop.create_task(read(wait_s))] = self.clock()
                late_s = loop.time() + wait_s + LATE_S
                while reads and loop.time() < late_s:
                    done, _ = await asyncio.wait(
                        reads,
                        timeout=late_s - loop.time(),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    for task in done:
                        sent_s = reads.pop(task)
                        try:
                            result = task.result()
                        except StoreError as error:
                            if not reads:
                                raise
                            self._read_failed(str(error))
                            continue
                        if any(each < sent_s for each in reads.values()):
                            self.on_failed("no answer to an earlier read")
                        return sent_s, result
                wait_s = 0.0
        finally:
            for task in reads:
                task.cancel()
                if task.done() and not task.cancelled():
                    task.exception()  # Its result does not matter.

    def _read_failed(self, reason: str) -> None:
        """Handle a failed read."""
        self._snapshot_due = self.lists_after_failures
        self.on_failed(reason)

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
