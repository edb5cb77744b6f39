"""Origins of streams that are on their way to the platform's store.

Routers forget when they end, and if all of them end at once nobody is left to
ask.  While a service has several software versions, each router therefore
writes to the store which version every stream is sent to, in batches.  That
is done as a request is sent, not at the first event, so that the origin is
mostly in the store before its caller has anything to take up.

An attempt may fail before its first event and be followed by one at another
version.  Until the later origin is known to be in the store, the stream is
*disputed*: its first event must not be relayed, as the store may still name
the earlier version.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.streamorigins import RETELL_S
from bulrushstream.coordination.versionhistory import KEEP_S
from bulrushstream.state.streamorigin import StreamOrigin

# Origins in one record, and those that wait while the store is away; then the
# oldest are dropped.
MAX_BATCH: Final = 2_048
MAX_WAITING: Final = 8_192

# Batches of one router, and its reads of all partitions, start at least so far
# apart; those of the whole fleet take up at most this share of the calls that
# the store accepts.
MIN_WRITE_INTERVAL_S: Final = 0.05
MIN_READ_INTERVAL_S: Final = 0.1
MAX_CALL_SHARE: Final = 0.2


@dataclass(slots=True)
class _Recorded:
    """The origin of a stream that was queued last."""

    origin: StreamOrigin
    queued_s: float
    # Whether the store may name another version.
    disputed: bool = False
    sent: bool = False  # Whether the store may have it.


@dataclass(slots=True)
class OriginQueue:
    """Origins that this router writes to the store."""

    # The last ones of all streams, by stream; oldest first.
    _recorded: OrderedDict[int, _Recorded] = field(default_factory=OrderedDict)
    _waiting: dict[int, StreamOrigin] = field(default_factory=dict)
    _in_flight: tuple[StreamOrigin, ...] = ()

    def put(self, origin: StreamOrigin, now_s: float) -> bool:
        """Queue an origin unless it is known to be queued or written.

        :param origin: the origin; an empty version: not known
        :param now_s: the time
        :returns: whether it was queued
        """
        stream, version = origin.stream, origin.version
        known = self._recorded.get(stream)
        if known is None and not version:
            return False
        disputed = False
        if known is not None:
            same = known.origin.version == version
            if same and now_s - known.queued_s < RETELL_S:
                return False
            disputed = known.disputed or (known.sent and not same)
        self._recorded[stream] = _Recorded(origin, now_s, disputed)
        self._recorded.move_to_end(stream)
        self._waiting.pop(stream, None)
        self._waiting[stream] = origin
        while len(self._waiting) > MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]
        return True

    def is_disputed(self, stream: int) -> bool:
        """Return whether the store may name a version that is outdated.

        :param stream: the stream's digest
        """
        known = self._recorded.get(stream)
        return known is not None and known.disputed

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is left to write."""
        return not self._waiting

    def next_batch(self) -> tuple[StreamOrigin, ...]:
        """Return the origins to write now, until `written` is called."""
        batch = tuple(self._waiting.values())[:MAX_BATCH]
        for origin in batch:
            del self._waiting[origin.stream]
            known = self._recorded.get(origin.stream)
            if known is not None:
                known.sent = True
        self._in_flight = batch
        return batch

    def written(self) -> None:
        """Record that the store has the last batch."""
        for origin in self._in_flight:
            known = self._recorded.get(origin.stream)
            if known is not None and known.origin is origin:
                known.disputed = False
        self._in_flight = ()

    def sweep(self, now_s: float) -> None:
        """Forget streams that nobody takes up any more.

        :param now_s: the time
        """
        while self._recorded:
            stream, known = next(iter(self._recorded.items()))
            if now_s - known.queued_s <= KEEP_S:
                return
            del self._recorded[stream]


def write_interval_s(routers: int, writes_per_s: float) -> float:
    """Return how far apart one router's batches start, in seconds.

    :param routers: how many routers write
    :param writes_per_s: the calls that the store accepts from all of them
    """
    return max(MIN_WRITE_INTERVAL_S, routers / (MAX_CALL_SHARE * writes_per_s))


def read_interval_s(
    routers: int, partitions: int, reads_per_s: float
) -> float:
    """Return how far apart one router's reads start, in seconds.

    :param routers: how many routers read
    :param partitions: the calls of one read
    :param reads_per_s: the calls that the store accepts from all of them
    """
    calls = routers * partitions
    return max(MIN_READ_INTERVAL_S, calls / (MAX_CALL_SHARE * reads_per_s))
