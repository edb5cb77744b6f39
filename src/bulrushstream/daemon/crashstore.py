"""Reads the crashes that routers recorded in the store, and writes its own.

All records are read once, when a router starts.  Requests do not wait for
that.  Nothing is read or written afterwards unless endpoints crash.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.originqueue import write_interval_s
from bulrushstream.daemon.front import Front
from bulrushstream.daemon.orderedwriter import OrderedWriter
from bulrushstream.protocol.crashcodec import decode_crashes, encode_crashes
from bulrushstream.protocol.keyedstore import KeyedStore, StoreError, Turn
from bulrushstream.state.effect import Decision

RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 1.0

# Suspects that are cleared within this time are left out together.
PARDON_S: Final = 0.25

# While this router has crashes in the store, it is looked so often whether
# requests with a single strike were cleared, or strikes have expired.
REVIEW_S: Final = 3.0

# Epochs are the times of day at which routers started, in milliseconds; the
# time of day may have been set back since the process before started.
EPOCH_STEP_MS: Final = 60_000


@dataclass(slots=True)
class CrashStore:
    """The records of crashes, as one router reads and writes them."""

    store: KeyedStore
    topic: str
    front: Front
    _found: asyncio.Event = field(default_factory=asyncio.Event)
    _loaded: asyncio.Event = field(default_factory=asyncio.Event)
    _review: asyncio.TimerHandle | None = None
    _written: bytes | None = b""  # This router's record; None: unknown.

    def __post_init__(self) -> None:
        """Be told when there is something to write."""
        records = self.front.fleet_state.crash_records
        records.on_found = self._found.set
        records.on_pardon = self._review_soon

    async def read(self) -> None:
        """Read the records of all routers once."""
        front = self.front
        pause_s = RETRY_S
        while True:
            try:
                values, _ = await self.store.newest(self.topic)
                break
            except StoreError:
                await asyncio.sleep(front.rng.uniform(pause_s / 2, pause_s))
                pause_s = min(MAX_RETRY_S, 2 * pause_s)
        host, records = front.settings.host, []
        for name, value in values.items():
            try:
                records.append((name, decode_crashes(value)))
            except ValueError as error:
                front.report("bad_crashes", f"{name}: {error}")
        self._written = values.get(host, b"")
        front.fleet_state.crash_records.restore(records, host, front.clock())
        self._loaded.set()

    def rewrite(self) -> None:
        """Write the record again: the store may have lost it."""
        if self._written:
            self._written = None
            self._found.set()

    async def write(self) -> None:
        """Keep this router's record up to date until cancelled."""
        # Otherwise it would replace what the process before wrote.
        await self._loaded.wait()
        front = self.front
        host, settings = front.settings.host, front.settings
        epoch = int(front.time_of_day() * 1000)
        writer = OrderedWriter(
            self.store,
            self.topic,
            host,
            0,
            Turn(f"crashes-{host}", epoch),
            MAX_RETRY_S,
            EPOCH_STEP_MS,
        )
        while True:
            await self._wait_for_changes()
            crashes = front.fleet_state.crash_records.current(front.clock())
            record = encode_crashes(crashes)
            if record == self._written:
                continue
            interval_s = write_interval_s(
                front.peers.router_count, settings.store_writes_per_s
            )
            writer.max_retry_s = max(MAX_RETRY_S, interval_s)
            started_s = front.clock()
            await writer.append(record)
            self._written = record
            took_s = front.clock() - started_s
            front.observe(
                Decision(
                    "crashes_recorded",
                    "written to the store",
                    inputs={
                        "crashes": len(crashes),
                        "requests": sum(len(c.fingerprints) for c in crashes),
                        "parts": sum(len(c.parts) for c in crashes),
                        "bytes": len(record),
                        "took_s": round(took_s, 3),
                    },
                )
            )
            await asyncio.sleep(max(0.0, interval_s - took_s))

    def _review_soon(self) -> None:
        """Look a little later whether the record has changed."""
        if self._review is None:
            loop = asyncio.get_running_loop()
            self._review = loop.call_later(PARDON_S, self._found.set)

    async def _wait_for_changes(self) -> None:
        """Wait for a new crash, or until the record is to be reviewed."""
        with suppress(TimeoutError):
            async with asyncio.timeout(REVIEW_S if self._written else None):
                await self._found.wait()
        self._found.clear()
        if self._review is not None:
            self._review.cancel()
            self._review = None
