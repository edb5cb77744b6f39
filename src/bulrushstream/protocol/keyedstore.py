"""The interface to a store that keeps the newest record of each key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class StoreError(Exception):
    """A call of the store failed.

    Without an answer, the call may have taken effect or may still do so.
    """


class OutOfTurnError(StoreError):
    """An append had another number than the next one, and had no effect."""


@dataclass(frozen=True, slots=True)
class Turn:
    """The place of an append among those of its writer to a partition.

    The store carries out each number once and in order, within an epoch;
    calls of earlier epochs have no effect.
    """

    writer: str  # A name that no other writer uses.
    epoch: int = 1
    number: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a topic."""

    key: str
    value: bytes | None  # None: the key was deleted.
    offset: int = 0  # In its partition.


@dataclass(frozen=True, slots=True)
class Batch:
    """The result of one read."""

    records: tuple[KeyedRecord, ...]  # In the order of their offsets.
    skipped: int  # Number of records that could not be decoded.
    next_offset: int  # Where the next read starts.
    end_offset: int  # The topic's end at the time of the read.


class KeyedStore(Protocol):
    """A store of topics that consist of keyed records."""

    async def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return the newest record of each key, and the offset to read from.

        :param topic: the topic's name
        :raises StoreError: if the call failed
        """

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Batch | None:
        """Return the records from an offset on; wait if there are none.

        :param topic: the topic's name
        :param offset: the offset of the first record
        :param wait_s: how long the store waits for a record, in seconds
        :returns: the records; None if some of them have been deleted
        :raises StoreError: if the call failed
        """

    async def read_retained(self, topic: str, part: int, offset: int) -> Batch:
        """Return the records from an offset on that are still there.

        :param topic: the topic's name; one that does not exist is empty
        :param part: the partition
        :param offset: the offset of the first record
        :raises StoreError: if the call failed
        """

    async def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        part: int = 0,
        turn: Turn | None = None,
    ) -> int:
        """Append a record under a key; return its offset.

        :param topic: a topic that belongs to this project
        :param key: the key
        :param value: the value; empty: the key is deleted
        :param part: the partition
        :param turn: its place among others; None: any
        :raises OutOfTurnError: if it was not its turn
        :raises StoreError: if the call failed
        """
