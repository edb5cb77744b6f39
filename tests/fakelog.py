"""An in-memory log service with retention and injected faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from bulrushstream.protocol.logservice import (
    LogAnswerLostError,
    LogPage,
    LogUnavailableError,
)
from bulrushstream.state.event import LogRecord


@dataclass(slots=True)
class FakeLog:
    """Streams of records; implements the `LogService` protocol."""

    retention_s: float = float("inf")  # How long records are kept.
    now_s: float = 0.0  # The log's clock; the test advances it.
    down: bool = False  # Whether every call fails.
    lose_answers: int = 0  # Next appends to store without an answer.
    lose_appends: int = 0  # Next appends to drop without an answer.
    down_after_appends: int = 0  # Appends until it goes down; 0: never.
    all_records: dict[str, list[tuple[float, LogRecord]]] = field(
        default_factory=dict
    )  # By stream: times and records, expired ones too.

    def append_now(self, stream: str, body: bytes) -> int:
        """Append a record, ignoring faults."""
        records = self.all_records.setdefault(stream, [])
        records.append((self.now_s, LogRecord(len(records), body)))
        return len(records) - 1

    def read_now(self, stream: str, offset: int, limit: int = 1000) -> LogPage:
        """Read records, ignoring faults."""
        records = self.all_records.get(stream, [])
        oldest_s = self.now_s - self.retention_s
        first = sum(1 for at_s, _ in records if at_s < oldest_s)
        start = max(offset, first)
        retained = tuple(
            record for _, record in records[start : start + limit]
        )
        return LogPage(retained, first, len(records))

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record, subject to faults."""
        await asyncio.sleep(0)
        if self.down:
            raise LogUnavailableError
        if self.lose_appends:
            self.lose_appends -= 1
            raise LogAnswerLostError
        offset = self.append_now(stream, body)
        if self.down_after_appends:
            self.down_after_appends -= 1
            self.down = self.down_after_appends == 0
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogAnswerLostError
        return offset

    async def read(self, stream: str, offset: int, limit: int) -> LogPage:
        """Read records, subject to faults."""
        await asyncio.sleep(0)
        if self.down:
            raise LogUnavailableError
        return self.read_now(stream, offset, limit)
