"""The interfaces of the platform's append-only log and instance list.

The log keeps *streams* of records.  A record's *offset* is its position in
its stream; offsets increase and are never reused.  Records are deleted
after a retention period, so a stream has a first offset as well as an end.
Both services may lag, fail and lose answers: every call may raise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bulrushstream.state.event import LogRecord
from bulrushstream.state.identity import InstanceInfo


class LogUnavailableError(Exception):
    """The log rejected a call or could not be reached; it had no effect."""


class LogAnswerLostError(Exception):
    """An append was not answered; it may have taken effect."""


class ListUnavailableError(Exception):
    """The instance list did not answer."""


@dataclass(frozen=True, slots=True)
class LogPage:
    """Consecutive records of a stream, with the stream's bounds."""

    records: tuple[LogRecord, ...]  # In order of their offsets.
    first_offset: int  # The oldest offset that is retained.
    end_offset: int  # The lowest offset that the next append can get.


class LogService(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record.

        :param stream: The stream's name.
        :param body: The record's content.
        :returns: The record's offset.
        :raises LogUnavailableError: If the append had no effect.
        :raises LogAnswerLostError: If it may have taken effect.
        """
        ...

    async def read(self, stream: str, offset: int, limit: int) -> LogPage:
        """Read records in order.

        :param stream: The stream's name.
        :param offset: The first offset to return, if it is retained.
        :param limit: The maximum number of records to return.
        :returns: The records from `offset` or from the oldest one retained.
        :raises LogUnavailableError: If the log did not answer.
        """
        ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def list(self) -> tuple[InstanceInfo, ...]:
        """Return the listed instances; the list may be out of date.

        :returns: Live and leaving instances.
        :raises ListUnavailableError: If the list did not answer.
        """
        ...
