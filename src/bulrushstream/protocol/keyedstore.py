"""What the project asks of a store that keeps the newest record of a key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class StoreError(Exception):
    """The store did not answer, or did not do what it was asked.

    A call without an answer may have been carried out, or may still be.
    """


@dataclass(frozen=True, slots=True)
class Keyed:
    """A record of a topic."""

    key: str  # What it is about.
    value: bytes | None  # Its content; None: the key was dropped.


@dataclass(frozen=True, slots=True)
class Batch:
    """What one read returned."""

    records: tuple[Keyed, ...]  # In order.
    skipped: int  # Records that could not be read.
    next_offset: int  # Where to read on.
    end_offset: int  # The topic's end when it was read.


class KeyedStore(Protocol):
    """A store with topics of keyed records."""

    async def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return the newest record of each key, and where to read on.

        :param topic: the topic's name
        :raises StoreError: if there is no good answer
        """

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Batch | None:
        """Return the records from an offset on; wait for the first one.

        :param topic: the topic's name
        :param offset: where to read
        :param wait_s: how long the store waits for a record, in seconds
        :returns: the records; None if some of them have been deleted
        :raises StoreError: if there is no good answer
        """

    async def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record under a key; return its offset.

        :param topic: a topic of the project's own
        :param key: the key
        :param value: the content; empty: the key is dropped
        :raises StoreError: if there is no good answer
        """
