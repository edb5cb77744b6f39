"""Applies the platform's endpoint list to a router.

Whatever one record of the list holds, the others are applied.

An entry that is missing means that its endpoint is gone, unless the entry may
have expired while the store was away: live endpoints enter themselves again
once it is back.  So what an absence means depends on when the list was last
known to be good.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front
from bulrushstream.daemon.watch import Snapshot
from bulrushstream.protocol.dialect import DocumentError
from bulrushstream.protocol.keyedstore import KeyedRecord
from bulrushstream.state.effect import Decision

# Within this time of the first good read after an outage, live endpoints have
# entered themselves again.  The store was back somewhat before that read.
RETURN_S: Final = 1.9

# The list is read this long before a missing endpoint is removed, as the
# ordinary reads are further apart.
LAST_READ_S: Final = 0.1

# An entry expires after three heartbeats without a renewal.  The first of
# them may have passed before the list was last known to be good.
MIN_EXPIRY_HEARTBEATS: Final = 2

# Longer keys of records are cut in the log.
MAX_LOGGED_CHARS: Final = 80


@dataclass(slots=True)
class EndpointList:
    """The endpoint list, as one router follows it."""

    front: Front
    on_fault: Callable[[Exception], None]  # Called if a record fails.
    heartbeat_s: float = 0.0  # How often endpoints renew their entries.
    # Called to read the list soon.
    request_read: Callable[[], None] = lambda: None
    entries: dict[str, bytes] = field(default_factory=dict)  # By endpoint.
    # When the store last answered, on the clock that also runs while the
    # machine is suspended.
    _good_s: float = float("-inf")
    _read_whole: bool = False  # Whether a snapshot was read before.
    _interrupted: bool = False  # Whether a read has failed since then.
    _from_peer: bool = False  # Whether a peer's list is being applied.
    # Until when entries that expired in an outage may come back.
    _return_until_s: float = float("-inf")
    # Until when each missing endpoint is kept.
    _kept_until_s: dict[str, float] = field(default_factory=dict)

    def follow(self, update: Snapshot | KeyedRecord) -> None:
        """Apply what was read from the store.

        :param update: what was read
        """
        self.confirm()
        if isinstance(update, Snapshot):
            if self._read_whole:
                self.front.streams.history.list_read_whole()
            self._read_whole = True
        self.handle(update)

    def confirm(self) -> None:
        """Record that the store has answered a read of the list."""
        now_s = self.front.boot_clock()
        if self._interrupted:
            self._interrupted = False
            away_s = now_s - self._good_s
            if away_s >= MIN_EXPIRY_HEARTBEATS * self.heartbeat_s:
                # Entries that expired meanwhile may come back.
                self._return_until_s = self.front.clock() + RETURN_S
        self._good_s = now_s

    def interrupt(self) -> None:
        """Record that a read of the list has failed."""
        self._interrupted = True

    def apply_from_peer(self, entries: dict[str, bytes]) -> None:
        """Apply the list that a peer keeps.

        :param entries: the endpoints' entries, by id
        """
        self._from_peer = True
        try:
            self.handle(Snapshot(entries))
        finally:
            self._from_peer = False

    def handle(self, update: Snapshot | KeyedRecord) -> None:
        """Apply the whole list or a change of it.

        :param update: what was read
        """
        if isinstance(update, KeyedRecord):
            self._handle_record(update.key, update.value)
            return
        for name, value in update.values.items():
            self._handle_record(name, value)
        for name in set(self.front.pool.by_name) - set(update.values):
            self._handle_record(name, None)
        self.front.endpoints_listed = True

    def _expire(self, name: str, until_s: float) -> None:
        """Remove an endpoint unless it has come back in time."""
        if self._kept_until_s.get(name) == until_s:
            self._remove(name)

    def _remove(self, name: str) -> None:
        """Remove an endpoint."""
        self._kept_until_s.pop(name, None)
        self.entries.pop(name, None)
        platformupdates.remove_endpoint(self.front, name)

    def _handle_record(self, name: str, value: bytes | None) -> None:
        """Apply one record; an error must not keep others from it."""
        try:
            self._apply(name, value)
        except DocumentError as error:
            text = f"{name[:MAX_LOGGED_CHARS]}: {error}"
            self.front.report("bad_entry", text)
        except Exception as error:
            self.on_fault(error)

    def _apply(self, name: str, value: bytes | None) -> None:
        """Apply an endpoint's entry; None: it is missing."""
        if value is None:
            if name in self.front.pool.by_name:
                self._miss(name)
            return
        entry = self.front.dialect.decode_entry(name, value)
        self._kept_until_s.pop(name, None)
        self.entries[name] = value
        platformupdates.apply_entry(
            self.front, entry, from_peer=self._from_peer
        )

    def _miss(self, name: str) -> None:
        """Remove an endpoint, or keep it as long as it may come back."""
        front = self.front
        left_s = self._return_until_s - front.clock()
        if left_s <= 0:
            self._remove(name)
        elif name not in self._kept_until_s:
            until_s = self._kept_until_s[name] = self._return_until_s
            loop = asyncio.get_running_loop()
            loop.call_later(left_s - LAST_READ_S, self.request_read)
            loop.call_later(left_s, self._expire, name, until_s)
            front.observe(
                Decision(
                    "endpoint",
                    "missing after an outage of the store",
                    endpoint=name,
                    inputs={"kept_s": round(left_s, 3)},
                )
            )
