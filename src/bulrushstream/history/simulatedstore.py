"""The platform's store in virtual time: topics in memory, with delay."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.protocol.keyedstore import (
    Batch,
    KeyedRecord,
    OutOfTurnError,
    StoreError,
    Turn,
)

CALL_S: Final = 0.006  # From a call to its answer.


@dataclass(slots=True)
class SimulatedStore:
    """Topics of records; implements `KeyedStore`."""

    away: bool = False  # Whether all calls fail.
    _turns: dict[str, Turn] = field(default_factory=dict)
    # By topic and partition.
    _records: dict[tuple[str, int], list[KeyedRecord]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def fail(self, away: bool) -> None:
        """Let all calls fail from now on, or none.

        :param away: whether they fail
        """
        self.away = away

    async def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return the newest record of each key; see `KeyedStore`."""
        await self._answer()
        records = self._records[topic, 0]
        newest = {each.key: each.value for each in records}
        found = {key: value for key, value in newest.items() if value}
        return found, len(records)

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Batch | None:
        """Return the records from an offset on; see `KeyedStore`."""
        del wait_s
        return await self.read_retained(topic, 0, offset)

    async def read_retained(self, topic: str, part: int, offset: int) -> Batch:
        """Return the records that are still there; see `KeyedStore`."""
        await self._answer()
        records = self._records[topic, part]
        end = len(records)
        return Batch(tuple(records[offset:]), 0, end, end)

    async def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        part: int = 0,
        turn: Turn | None = None,
    ) -> int:
        """Append a record under a key; see `KeyedStore`."""
        await self._answer(CALL_S / 2)
        if turn is not None:
            last = self._turns.get(turn.writer, Turn(turn.writer))
            if turn == last:
                return 0
            next_one = turn.number == last.number + 1
            if turn.epoch < last.epoch or (
                turn.epoch == last.epoch and not next_one
            ):
                raise OutOfTurnError(str(turn))
            self._turns[turn.writer] = turn
        records = self._records[topic, part]
        records.append(KeyedRecord(key, value or None, len(records)))
        await self._answer(CALL_S / 2)
        return len(records) - 1

    async def _answer(self, delay_s: float = CALL_S) -> None:
        """Wait for an answer."""
        await asyncio.sleep(delay_s)
        if self.away:
            raise StoreError("away")
