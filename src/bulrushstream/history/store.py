"""The platform's log as routers see it, with faults on demand.

An append may take effect although its answer is lost, and it may do so
even after the caller has given it up.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, TypeAlias

from bulrushstream.history.plan import Weather
from bulrushstream.history.timeline import Timeline
from bulrushstream.state.effect import AppendLog
from bulrushstream.state.event import (
    Event,
    LogAppended,
    LogFailed,
    LogRead,
    LogRecord,
)
from bulrushstream.state.identity import InstanceKey

APPEND_TIMEOUT_S: Final = 0.5  # When an append without answer is given up.
BATCH: Final = 50  # How many records one read returns at most.

Deliver: TypeAlias = Callable[[InstanceKey, Event], None]
_Reader: TypeAlias = tuple[InstanceKey, str]


@dataclass(slots=True)
class Store:
    """All streams of the log, and how far each reader got."""

    timeline: Timeline  # The virtual time.
    rng: Random  # Of delays and faults.
    weather: Weather  # How badly the log behaves.
    deliver: Deliver  # Hands an event to an instance.
    names: tuple[str, ...]  # The streams that every reader follows.
    streams: dict[str, list[LogRecord]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _next: dict[_Reader, int] = field(default_factory=dict)
    _down_until_s: float = 0.0  # When the outage ends.

    def outage(self, for_s: float) -> None:
        """Neither append nor read for a while.

        :param for_s: how long.
        """
        until_s = self.timeline.now_s + for_s
        self._down_until_s = max(self._down_until_s, until_s)
        self.timeline.after(for_s, self._feed_all)

    def heal(self) -> None:
        """Behave well from now on."""
        self._down_until_s = 0.0
        self.weather = Weather(log_delay_s=self.weather.log_delay_s)
        self._feed_all()

    def follow(self, reader: InstanceKey) -> None:
        """Let an instance read every stream from its start.

        :param reader: who reads.
        """
        for name in self.names:
            self._next[reader, name] = 0
            self._feed_later(reader, name)

    def unfollow(self, reader: InstanceKey) -> None:
        """Stop reading for an instance that ended.

        :param reader: who read.
        """
        for name in self.names:
            self._next.pop((reader, name), None)

    def append(self, writer: InstanceKey, effect: AppendLog) -> None:
        """Append a record, as far as the faults allow.

        :param writer: who appends.
        :param effect: what.
        """
        failed = LogFailed(effect.token)
        if self.timeline.now_s < self._down_until_s:
            if self.rng.random() < self.weather.log_lost_answers:
                late_s = APPEND_TIMEOUT_S * self.rng.uniform(0.0, 3.0)
                self._add_later(effect, late_s)
            self._answer_later(writer, failed, APPEND_TIMEOUT_S)
            return
        delay_s = self.weather.log_delay_s
        lost = self.rng.random() < self.weather.log_lost_answers

        def arrive() -> None:
            """Take the append in and answer it."""
            offset = self._add(effect)
            if lost:
                self._answer_later(writer, failed, APPEND_TIMEOUT_S)
                return
            done = LogAppended(effect.token, offset)
            self._answer_later(writer, done, delay_s / 2)

        self.timeline.after(delay_s / 2, arrive)

    def _add(self, effect: AppendLog) -> int:
        """Put a record at the end of its stream; return its offset."""
        records = self.streams[effect.stream]
        offset = len(records)
        records.append(LogRecord(offset, effect.body))
        for reader, name in list(self._next):
            if name == effect.stream:
                self._feed_later(reader, name)
        return offset

    def _add_later(self, effect: AppendLog, delay_s: float) -> None:
        """Let an append take effect that nobody waits for."""

        def add() -> None:
            """Take the append in."""
            self._add(effect)

        self.timeline.after(delay_s, add)

    def _answer_later(
        self, writer: InstanceKey, event: Event, delay_s: float
    ) -> None:
        """Answer an append after a while."""
        self.timeline.after(delay_s, lambda: self.deliver(writer, event))

    def _feed_all(self) -> None:
        """Let every reader catch up."""
        for reader, name in list(self._next):
            self._feed_later(reader, name)

    def _feed_later(self, reader: InstanceKey, name: str) -> None:
        """Let one reader catch up after the log's delay."""
        delay_s = self.weather.log_delay_s * self.rng.uniform(0.5, 1.5)
        self.timeline.after(delay_s, lambda: self._feed(reader, name))

    def _feed(self, reader: InstanceKey, name: str) -> None:
        """Hand a reader the records that it has not read."""
        start = self._next.get((reader, name))
        if start is None or self.timeline.now_s < self._down_until_s:
            return
        batch = tuple(self.streams[name][start : start + BATCH])
        end = start + len(batch)
        self._next[reader, name] = end
        caught_up = end == len(self.streams[name])
        self.deliver(reader, LogRead(name, batch, caught_up))
        if not caught_up:
            self._feed_later(reader, name)
