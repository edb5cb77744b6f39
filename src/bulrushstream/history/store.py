"""A simulation of the platform's log, with faults.

An append may take effect although its reply is lost, even after the writer's
timeout.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, TypeAlias

from bulrushstream.history.plan import Conditions
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

APPEND_TIMEOUT_S: Final = 0.5  # After it, the append is reported as failed.
MAX_READ_RECORDS: Final = 50  # In one read.

Deliver: TypeAlias = Callable[[InstanceKey, Event], None]
_Reader: TypeAlias = tuple[InstanceKey, str]


@dataclass(slots=True)
class Store:
    """The streams of the log and the position of each reader."""

    timeline: Timeline
    rng: Random  # For delays and faults.
    conditions: Conditions  # Delay and error rate of the log.
    deliver: Deliver  # Delivers an event to an instance.
    stream_names: tuple[str, ...]  # Every reader follows all of them.
    streams: dict[str, list[LogRecord]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _next_offsets: dict[_Reader, int] = field(default_factory=dict)
    _outage_ends_s: float = 0.0  # In virtual time.

    def begin_outage(self, duration_s: float) -> None:
        """Fail all appends and deliver no records for some time.

        :param duration_s: how long.
        """
        until_s = self.timeline.now_s + duration_s
        self._outage_ends_s = max(self._outage_ends_s, until_s)
        self.timeline.schedule(duration_s, self._deliver_to_all_later)

    def end_faults(self) -> None:
        """End an outage and stop all faults."""
        self._outage_ends_s = 0.0
        self.conditions = Conditions(log_delay_s=self.conditions.log_delay_s)
        self._deliver_to_all_later()

    def follow(self, reader: InstanceKey) -> None:
        """Deliver every stream to an instance, from the beginning.

        :param reader: the instance.
        """
        for name in self.stream_names:
            self._next_offsets[reader, name] = 0
            self._deliver_records_later(reader, name)

    def unfollow(self, reader: InstanceKey) -> None:
        """Stop the delivery to an instance that has stopped.

        :param reader: the instance.
        """
        for name in self.stream_names:
            self._next_offsets.pop((reader, name), None)

    def append(self, writer: InstanceKey, effect: AppendLog) -> None:
        """Append a record, subject to faults, and reply to the writer.

        :param writer: the instance that appends.
        :param effect: the record and its stream.
        """
        failed = LogFailed(effect.token)
        if self.timeline.now_s < self._outage_ends_s:
            if self.rng.random() < self.conditions.log_lost_replies:
                late_s = APPEND_TIMEOUT_S * self.rng.uniform(0.0, 3.0)
                self._store_record_later(effect, late_s)
            self._reply_later(writer, failed, APPEND_TIMEOUT_S)
            return
        delay_s = self.conditions.log_delay_s
        lost = self.rng.random() < self.conditions.log_lost_replies

        def arrive() -> None:
            """Store the record and reply."""
            offset = self._store_record(effect)
            if lost:
                self._reply_later(writer, failed, APPEND_TIMEOUT_S)
                return
            done = LogAppended(effect.token, offset)
            self._reply_later(writer, done, delay_s / 2)

        self.timeline.schedule(delay_s / 2, arrive)

    def _store_record(self, effect: AppendLog) -> int:
        """Append a record to its stream and return its offset."""
        records = self.streams[effect.stream]
        offset = len(records)
        records.append(LogRecord(offset, effect.body))
        for reader, name in list(self._next_offsets):
            if name == effect.stream:
                self._deliver_records_later(reader, name)
        return offset

    def _store_record_later(self, effect: AppendLog, delay_s: float) -> None:
        """Store a record after the writer was told that it failed."""

        def add() -> None:
            """Store the record."""
            self._store_record(effect)

        self.timeline.schedule(delay_s, add)

    def _reply_later(
        self, writer: InstanceKey, event: Event, delay_s: float
    ) -> None:
        """Reply to an append after a delay."""
        self.timeline.schedule(delay_s, lambda: self.deliver(writer, event))

    def _deliver_to_all_later(self) -> None:
        """Deliver the remaining records to every reader."""
        for reader, name in list(self._next_offsets):
            self._deliver_records_later(reader, name)

    def _deliver_records_later(self, reader: InstanceKey, name: str) -> None:
        """Deliver records to a reader after the log's delay."""
        delay_s = self.conditions.log_delay_s * self.rng.uniform(0.5, 1.5)
        self.timeline.schedule(
            delay_s, lambda: self._deliver_records(reader, name)
        )

    def _deliver_records(self, reader: InstanceKey, name: str) -> None:
        """Deliver the next batch of records to a reader."""
        start = self._next_offsets.get((reader, name))
        if start is None or self.timeline.now_s < self._outage_ends_s:
            return
        batch = tuple(self.streams[name][start : start + MAX_READ_RECORDS])
        end = start + len(batch)
        self._next_offsets[reader, name] = end
        caught_up = end == len(self.streams[name])
        self.deliver(reader, LogRead(name, batch, caught_up))
        if not caught_up:
            self._deliver_records_later(reader, name)
