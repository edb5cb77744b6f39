"""The tasks that talk with the platform's log and instance list.

Each call has a deadline in its client.  While a service is down its task
goes on trying with backoff and full jitter, and the use counts as
*degraded*; nothing else of the instance waits for it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

from bulrushstream.protocol.platform import (
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

# What does not work while a use of the platform fails.
EFFECTS: Final = {
    "read config": "new versions come from peers only",
    "read claims": "requests with an Idempotency-Key wait",
    "read strikes": "strikes come from peers only",
    "append config": "the version in force is not checkpointed",
    "append claims": "requests with an Idempotency-Key wait",
    "append strikes": "strikes go to peers only",
    "read leases": "no order is given to an engine",
    "append leases": "no order is given to an engine",
    "read instances": "new instances are not found",
    "register": "the instance list may drop this instance",
}

Post = Callable[[Event], None]


class Health:
    """Which uses of the platform are degraded."""

    _since_s: dict[str, float]  # When a use began to fail, by use.

    def __init__(self, clock: Callable[[], float]) -> None:
        """Begin with nothing degraded.

        :param clock: the monotonic time in seconds
        """
        self._clock = clock
        self._since_s = {}

    def note(self, use: str, error: Exception | None) -> None:
        """Note how the latest call of a use ended.

        :param use: which use
        :param error: what went wrong; None: nothing
        """
        if error is None:
            self._since_s.pop(use, None)
        else:
            self._since_s.setdefault(use, self._clock())

    def degraded_uses(self, now_s: float) -> tuple[Degraded, ...]:
        """Return the uses that do not work.

        :param now_s: the time on the clock
        """
        return tuple(
            Degraded(name, now_s - since_s, EFFECTS.get(name, ""))
            for name, since_s in sorted(self._since_s.items())
        )


class LogFollower:
    """The task that reads one stream of the log."""

    _offset: int  # The next offset to read.
    _seeked: bool  # Whether the offset was set during a read.
    _hurry: asyncio.Event  # Set when there is something to be read.

    def __init__(
        self,
        log: LogService,
        stream: str,
        interval_s: Callable[[], float],
        post: Post,
        health: Health,
        rng: random.Random,
    ) -> None:
        """Prepare to read a stream from its beginning.

        :param log: the log
        :param stream: the stream's name
        :param interval_s: gives the time between reads at the stream's
            end, in seconds
        :param post: takes `LogRead` events
        :param health: where outages are noted
        :param rng: the source of jitter
        """
        self._log = log
        self._stream = stream
        self._interval_s = interval_s
        self._post = post
        self._health = health
        self._rng = rng
        self._offset = 0
        self._seeked = False
        self._hurry = asyncio.Event()

    def hurry(self) -> None:
        """Read now: a record was appended."""
        self._hurry.set()

    def seek(self, offset: int) -> None:
        """Read on from another offset.

        :param offset: the next offset to read
        """
        self._offset = offset
        self._seeked = True
        self._hurry.set()

    async def run(self) -> None:
        """Read until cancelled."""
        failures = 0
        while True:
            try:
                wait_s = await self._read_page()
                failures = 0
            except LogUnavailableError as error:
                failures += 1
                self._health.note(f"read {self._stream}", error)
                wait_s = backoff_s(BASE_BACKOFF_S, failures, self._rng)
            if wait_s:
                await self._pause(wait_s)

    async def _pause(self, wait_s: float) -> None:
        """Wait, unless there is something to be read sooner."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._hurry.wait()

    async def _read_page(self) -> float:
        """Read one page; return the time to wait before the next."""
        start = self._offset
        self._seeked = False
        self._hurry.clear()
        page = await self._log.read(self._stream, start, PAGE_RECORDS)
        self._health.note(f"read {self._stream}", None)
        if self._seeked:
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
    """The tasks that append what cores want kept."""

    _tasks: set[asyncio.Task[None]]  # Appends without an answer yet.

    def __init__(
        self,
        log: LogService,
        post: Post,
        health: Health,
        appended: Callable[[str], None],
    ) -> None:
        """Prepare to append.

        :param log: the log
        :param post: takes `LogAppended` and `LogFailed` events
        :param health: where outages are noted
        :param appended: is told of each stream that was appended to
        """
        self._log = log
        self._post = post
        self._health = health
        self._appended = appended
        self._tasks = set()

    def append(self, effect: AppendLog) -> None:
        """Start one append.

        :param effect: what to append, and to which stream
        """
        task = asyncio.create_task(self._append(effect), name="append")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel what has no answer yet."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _append(self, effect: AppendLog) -> None:
        """Append one record and post what came of it."""
        use = f"append {effect.stream}"
        try:
            offset = await self._log.append(effect.stream, effect.body)
        except (LogUnavailableError, LogAnswerLostError) as error:
            self._health.note(use, error)
            self._post(LogFailed(effect.token))
        else:
            self._health.note(use, None)
            self._post(LogAppended(effect.token, offset))
        # A lost answer is found by reading, too.
        self._appended(effect.stream)


async def follow_list(
    read: Callable[[], Awaitable[tuple[InstanceInfo, ...]]],
    interval_s: float,
    take: Callable[[tuple[InstanceInfo, ...]], None],
    health: Health,
    rng: random.Random,
) -> None:
    """Read the instance list until cancelled.

    :param read: reads the list once
    :param interval_s: the time between reads, in seconds
    :param take: is told of each listing
    :param health: where outages are noted
    :param rng: the source of jitter
    """
    failures = 0
    while True:
        try:
            take(await read())
            health.note("read instances", None)
            failures = 0
            wait_s = interval_s
        except ListUnavailableError as error:
            health.note("read instances", error)
            failures += 1
            wait_s = backoff_s(interval_s, failures, rng)
        await asyncio.sleep(wait_s)


async def keep_registered(
    register: Callable[[], Awaitable[None]],
    interval_s: float,
    health: Health,
    rng: random.Random,
) -> None:
    """Enter this instance in the list and renew that until cancelled.

    :param register: enters or renews the instance once
    :param interval_s: the time between renewals, in seconds
    :param health: where outages are noted
    :param rng: the source of jitter
    """
    failures = 0
    while True:
        try:
            await register()
            health.note("register", None)
            failures = 0
            wait_s = interval_s
        except ListUnavailableError as error:
            health.note("register", error)
            failures += 1
            wait_s = backoff_s(interval_s, failures, rng)
        await asyncio.sleep(wait_s)


def backoff_s(base_s: float, failures: int, rng: random.Random) -> float:
    """Return a wait before the next try, with full jitter.

    Source: M. Brooker, "Exponential Backoff And Jitter", AWS Architecture
    Blog, 2015.

    :param base_s: the first wait's upper end, in seconds
    :param failures: how many tries failed in a row
    :param rng: the source of jitter
    """
    limit_s = base_s * 2 ** min(failures, 16)
    return rng.uniform(base_s / 2, min(limit_s, MAX_BACKOFF_S))
