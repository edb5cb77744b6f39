"""A log in memory with retention, outages and lost answers."""

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
    """Streams of records; satisfies the protocol of the log service."""

    retention_s: float = float("inf")  # How long records are kept.
    now_s: float = 0.0  # The log's clock; the test advances it.
    down: bool = False  # Whether every call fails.
    lose_answers: int = 0  # Appends to come that take effect unanswered.
    drop_appends: int = 0  # Appends to come that are lost unanswered.
    down_after_appends: int = 0  # It goes down with that append; 0: never.
    everything: dict[str, list[tuple[float, LogRecord]]] = field(
        default_factory=dict
    )  # All records ever appended, with their times.

    def put(self, stream: str, body: bytes) -> int:
        """Append a record whatever the faults are."""
        records = self.everything.setdefault(stream, [])
        records.append((self.now_s, LogRecord(len(records), body)))
        return len(records) - 1

    def page(self, stream: str, offset: int, limit: int = 1000) -> LogPage:
        """Read whatever the faults are."""
        records = self.everything.get(stream, [])
        oldest_s = self.now_s - self.retention_s
        first = sum(1 for at_s, _ in records if at_s < oldest_s)
        start = max(offset, first)
        kept = tuple(record for _, record in records[start : start + limit])
        return LogPage(kept, first, len(records))

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record as the faults allow."""
        await asyncio.sleep(0)
        if self.down:
            raise LogUnavailableError
        if self.drop_appends:
            self.drop_appends -= 1
            raise LogAnswerLostError
        offset = self.put(stream, body)
        if self.down_after_appends:
            self.down_after_appends -= 1
            self.down = self.down_after_appends == 0
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogAnswerLostError
        return offset

    async def read(self, stream: str, offset: int, limit: int) -> LogPage:
        """Read records as the faults allow."""
        await asyncio.sleep(0)
        if self.down:
            raise LogUnavailableError
        return self.page(stream, offset, limit)
