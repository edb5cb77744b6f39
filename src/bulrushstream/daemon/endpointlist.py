"""Applies the platform's endpoint list to a router.

Whatever one record of the list holds, the others are applied.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front
from bulrushstream.daemon.watch import Snapshot
from bulrushstream.protocol.dialect import DocumentError
from bulrushstream.protocol.keyedstore import KeyedRecord

# An endpoint that disappears from the list this soon after a failed read of
# the store is removed only if it stays away for as long: the platform enters
# live endpoints again within two seconds of an outage.
DELIST_DELAY_S: Final = 2.0

# Longer keys of records are cut in the log.
MAX_LOGGED_CHARS: Final = 80


@dataclass(slots=True)
class EndpointList:
    """The endpoint list, as one router follows it."""

    front: Front
    on_fault: Callable[[Exception], None]  # Called if a record fails.
    entries: dict[str, bytes] = field(default_factory=dict)  # By endpoint.
    store_failed_s: float = float("-inf")  # The last failed read.
    _missing_since_s: dict[str, float] = field(default_factory=dict)

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

    def sweep(self) -> None:
        """Remove the endpoints that stay delisted; called often."""
        now_s = self.front.clock()
        for name, since_s in list(self._missing_since_s.items()):
            since_failure_s = since_s - self.store_failed_s
            if (
                since_failure_s > DELIST_DELAY_S
                or now_s - since_s > DELIST_DELAY_S
            ):
                del self._missing_since_s[name]
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
        """Apply an endpoint's entry; None: it was removed."""
        front = self.front
        if value is None:
            if name in front.pool.by_name:
                self._missing_since_s.setdefault(name, front.clock())
            return
        entry = front.dialect.decode_entry(name, value)
        self._missing_since_s.pop(name, None)
        self.entries[name] = value
        platformupdates.apply_entry(front, entry)
