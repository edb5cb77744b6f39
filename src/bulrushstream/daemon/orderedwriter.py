"""Appends records of one writer to the store, each once and in order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Final

from bulrushstream.protocol.keyedstore import (
    KeyedStore,
    OutOfTurnError,
    StoreError,
    Turn,
)

# The pause before a failed call is repeated; it doubles up to the limit.
RETRY_S: Final = 0.2


@dataclass(slots=True)
class OrderedWriter:
    """One router's appends under one key."""

    store: KeyedStore
    topic: str
    key: str
    part: int
    turn: Turn  # Of the last append.
    max_retry_s: float = 0.4
    # By how much an epoch grows if the store does not accept it.
    epoch_step: int = 1

    async def append(self, record: bytes) -> None:
        """Append a record, once, before any later one of this process.

        The store refuses a call that is carried out late, and answers a
        repeated one as it did the first.

        :param record: the record; empty: the key is deleted
        """
        self.turn = replace(self.turn, number=self.turn.number + 1)
        pause_s = RETRY_S
        while True:
            try:
                await self.store.append(
                    self.topic, self.key, record, self.part, self.turn
                )
            except OutOfTurnError:
                # The store has forgotten earlier calls, or knows a later
                # epoch.
                epoch = self.turn.epoch + self.epoch_step
                self.turn = replace(self.turn, epoch=epoch, number=1)
            except StoreError:
                pass
            else:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(self.max_retry_s, 2 * pause_s)
