"""Event streams, cut at the ends of whole events."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

_END: Final = b"\n\n"
_ID: Final = re.compile(rb"(?:\A|\n)id: ?(\d{1,18})(?=\n|\Z)")

# An event longer than this is not kept back until it is whole.
MAX_EVENT_BYTES: Final = 262_144


@dataclass(slots=True)
class EventCutter:
    """Passes on whole events, each of them once.

    A stream that goes on at another endpoint may repeat events that the
    caller has already; these are left out.
    """

    last_id: int | None = None  # The last event that was passed on.
    events: int = 0  # Events that were passed on.
    _held: bytes = b""  # The beginning of an event.
    _check: bool = False  # Whether events may repeat.

    def restart(self) -> None:
        """Drop half an event; the stream goes on from another source."""
        self._held = b""
        self._check = self.last_id is not None

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are now complete.

        :param data: the next bytes of the stream
        """
        if self._held:
            data = self._held + data
        end = data.rfind(_END)
        if end < 0:
            self._held = data
            return b""
        end += len(_END)
        self._held = data[end:]
        whole = data[:end]
        if self._check:
            whole = self._leave_out(whole)
        if not whole:
            return b""
        self.events += whole.count(_END)
        found = _ID.findall(whole)
        if found:
            self.last_id = int(found[-1])
        return whole

    @property
    def torn(self) -> bool:
        """Return whether the stream stands within an event."""
        return bool(self._held)

    def rest(self) -> bytes:
        """Return what follows the last whole event, at a stream's end."""
        rest, self._held = self._held, b""
        return rest

    def _leave_out(self, whole: bytes) -> bytes:
        """Return the events that the caller does not have yet."""
        kept = []
        for event in whole.split(_END)[:-1]:
            found = _ID.search(event)
            last = self.last_id
            if found and last is not None and int(found[1]) <= last:
                continue
            kept.append(event + _END)
        return b"".join(kept)
