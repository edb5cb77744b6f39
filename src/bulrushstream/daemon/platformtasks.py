"""Tasks that call the platform's log and instance list.

Each call has a timeout in its client.  While a service is down, its task
retries with backoff and full jitter, and that use of the platform is
reported as *degraded*; no other part of the instance waits for it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

from bulrushstream.protocol.logservice import (
    ListUnavailableError,
    LogAnswerLostError,
    LogService,
    LogUnavailableError,
)
from bulrushstream.state.effect import AppendLog
from bulrushstream.state.event import (
    Event,
    LogAppended,
    LogFailed,
    LogRead,
)
from bulrushstream.state.identity import InstanceInfo
from bulrushstream.state.status import Degraded

PAGE_RECORDS: Final = 500
BASE_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 5.0

# The consequence that operators see while a use of the platform fails.
DEGRADED_EFFECTS: Final = {
    "read config": "new configuration versions come from peers only",
    "read claims": "requests with an Idempotency-Key are delayed",
    "read strikes": "strikes come from peers only",
    "append config": "the current configuration is not checkpointed",
    "append claims": "requests with an Idempotency-Key are delayed",
    "append strikes": "strikes are sent to peers only",
    "read leases": "engines receive no orders",
    "append leases": "engines receive no orders",
    "read instances": "new instances are not discovered",
    "register": "this instance may expire from the instance list",
}

Post = Callable[[Event], None]


class PlatformHealth:
    """Tracks which uses of the platform are degraded."""

    _since_s: dict[str, float]  # Time of the first failure, by use.

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a tracker with no use degraded.

        :param clock: the monotonic time in seconds
        """
        self._clock = clock
        self._since_s = {}

    def record(self, use: str, error: Exception | None) -> None:
        """Record the result of the latest call of a use.

        :param use: the use, a key of `DEGRADED_EFFECTS`
        :param error: the failure; None: the call succeeded
        """
        if error is None:
            self._since_s.pop(use, None)
        else:
            self._since_s.setdefault(use, self._clock())

    def degraded_uses(self, now_s: float) -> tuple[Degraded, ...]:
        """Return the uses whose latest call failed.

        :param now_s: the time on the same clock
        """
        return tuple(
            Degraded(name, now_s - since_s, DEGRADED_EFFECTS.get(name, ""))
            for name, since_s in sorted(self._since_s.items())
        )


class LogFollower:
    """The task that reads one stream of the log."""

    _offset: int  # The next offset to read.
    _offset_changed: bool  # Whether `seek` was called during a read.
    _wake: asyncio.Event  # Ends the wait before the next read.

    def __init__(
        self,
        log: LogService,
        stream: str,
        interval_s: Callable[[], float],
        post: Post,
        health: PlatformHealth,
        rng: random.Random,
    ) -> None:
        """Create a follower that will read a stream from its beginning.

        :param log: the log
        :param stream: the stream's name
        :param interval_s: returns the time between reads at the stream's
            end, in seconds
        :param post: receives `LogRead` events
        :param health: records the results of calls
        :param rng: the source of jitter
        """
        self._log = log
        self._stream = stream
        self._interval_s = interval_s
        self._post = post
        self._health = health
        self._rng = rng
        self._offset = 0
        self._offset_changed = False
        self._wake = asyncio.Event()

    def read_now(self) -> None:
        """Read without further wait, because a record was appended."""
        self._wake.set()

    def seek(self, offset: int) -> None:
        """Continue reading from another offset.

        :param offset: the next offset to read
        """
        self._offset = offset
        self._offset_changed = True
        self._wake.set()

    async def run(self) -> None:
        """Read until cancelled."""
        failures = 0
        while True:
            try:
                wait_s = await self._read_page()
                failures = 0
            except LogUnavailableError as error:
                failures += 1
                self._health.record(f"read {self._stream}", error)
                wait_s = backoff_s(BASE_BACKOFF_S, failures, self._rng)
            if wait_s:
                await self._wait(wait_s)

    async def _wait(self, wait_s: float) -> None:
        """Wait before the next read, unless woken earlier."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._wake.wait()

    async def _read_page(self) -> float:
        """Read one page; return the time to wait before the next one."""
        start = self._offset
        self._offset_changed = False
        self._wake.clear()
        page = await self._log.read(self._stream, start, PAGE_RECORDS)
        self._health.record(f"read {self._stream}", None)
        if self._offset_changed:
            return 0.0
        start = max(start, page.first_offset)
        if page.records:
            self._offset = page.records[-1].offset + 1
        else:
            self._offset = max(start, min(page.end_offset, start))
        caught_up = self._offset >= page.end_offset
        self._post(
            LogRead(
                stream=self._stream,
                records=page.records,
                caught_up=caught_up,
                offset=start,
                first_offset=page.first_offset,
            )
        )
        return self._interval_s() if caught_up else 0.0


class LogAppender:
    """The tasks that append records to the log for the cores."""

    _tasks: set[asyncio.Task[None]]  # Appends in flight.

    def __init__(
        self,
        log: LogService,
        post: Post,
        health: PlatformHealth,
        on_appended: Callable[[str], None],
    ) -> None:
        """Create an appender.

        :param log: the log
        :param post: receives `LogAppended` and `LogFailed` events
        :param health: records the results of calls
        :param on_appended: called with the stream after each append, also
            after one that failed
        """
        self._log = log
        self._post = post
        self._health = health
        self._on_appended = on_appended
        self._tasks = set()

    def append(self, effect: AppendLog) -> None:
        """Start an append in a task of its own.

        :param effect: the stream and the record
        """
        task = asyncio.create_task(self._append(effect), name="append")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the appends in flight."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _append(self, effect: AppendLog) -> None:
        """Append one record and post the result."""
        use = f"append {effect.stream}"
        try:
            offset = await self._log.append(effect.stream, effect.body)
        except (LogUnavailableError, LogAnswerLostError) as error:
            self._health.record(use, error)
            self._post(LogFailed(effect.token))
        else:
            self._health.record(use, None)
            self._post(LogAppended(effect.token, offset))
        # If only the answer was lost, the record is found by reading.
        self._on_appended(effect.stream)


async def follow_list(
    read: Callable[[], Awaitable[tuple[InstanceInfo, ...]]],
    interval_s: float,
    handle: Callable[[tuple[InstanceInfo, ...]], None],
    health: PlatformHealth,
    rng: random.Random,
) -> None:
    """Read the instance list periodically until cancelled.

    :param read: reads the list once
    :param interval_s: the time between reads, in seconds
    :param handle: called with each listing
    :param health: records the results of calls
    :param rng: the source of jitter
    """
    failures = 0
    while True:
        try:
            handle(await read())
            health.record("read instances", None)
            failures = 0
            wait_s = interval_s
        except ListUnavailableError as error:
            health.record("read instances", error)
            failures += 1
            wait_s = backoff_s(interval_s, failures, rng)
        await asyncio.sleep(wait_s)


async def keep_registered(
    register: Callable[[], Awaitable[None]],
    interval_s: float,
    health: PlatformHealth,
    rng: random.Random,
) -> None:
    """Register this instance and renew that until cancelled.

    :param register: registers the instance, or renews that, once
    :param interval_s: the time between renewals, in seconds
    :param health: records the results of calls
    :param rng: the source of jitter
    """
    failures = 0
    while True:
        try:
            await register()
            health.record("register", None)
            failures = 0
            wait_s = interval_s
        except ListUnavailableError as error:
            health.record("register", error)
            failures += 1
            wait_s = backoff_s(interval_s, failures, rng)
        await asyncio.sleep(wait_s)


def backoff_s(base_s: float, failures: int, rng: random.Random) -> float:
    """Return the wait before the next retry, with full jitter.

    Source: M. Brooker, "Exponential Backoff And Jitter", AWS Architecture
    Blog, 2015.

    :param base_s: scale of the waits, in seconds; half of it is the least
    :param failures: the number of consecutive failures
    :param rng: the source of jitter
    """
    limit_s = base_s * 2 ** min(failures, 16)
    return rng.uniform(base_s / 2, min(limit_s, MAX_BACKOFF_S))
