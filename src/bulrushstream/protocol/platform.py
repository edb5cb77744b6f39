"""What the platform gives: an append-only log and an instance list.

The log keeps *streams* of records.  A record's *offset* is its place in
its stream; offsets grow and are never used again.  Records are dropped
after a limited time, so a stream has a first offset as well as an end.
Both services lag, fail and lose answers: every call may raise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bulrushstream.state.event import LogRecord
from bulrushstream.state.identity import InstanceInfo


class LogUnavailableError(Exception):
    """The log did not take the call; an append had no effect."""


class LogAnswerLostError(Exception):
    """An append has no answer; it may have taken effect all the same."""


class ListUnavailableError(Exception):
    """The instance list did not answer."""


@dataclass(frozen=True, slots=True)
class LogPage:
    """Some records of a stream, with the stream's bounds."""

    records: tuple[LogRecord, ...]  # In order of their offsets.
    first_offset: int  # The oldest offset that is still kept.
    end_offset: int  # The offset that the next append gets at least.


class LogService(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record.

        :param stream: The stream's name.
        :param body: What to append.
        :returns: The record's offset.
        :raises LogUnavailableError: If the append certainly had no effect.
        :raises LogAnswerLostError: If it may have had one.
        """
        ...

    async def read(self, stream: str, offset: int, limit: int) -> LogPage:
        """Read records in order.

        :param stream: The stream's name.
        :param offset: The first offset to return, if it is still kept.
        :param limit: How many records to return at most.
        :returns: The records from `offset` on, or from the oldest kept.
        :raises LogUnavailableError: If the log did not answer.
        """
        ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def list(self) -> tuple[InstanceInfo, ...]:
        """Return the instances as the platform knows them, with a lag.

        :returns: Live and leaving instances.
        :raises ListUnavailableError: If the list did not answer.
        """
        ...
