"""Splits event streams after complete events."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Final

_END: Final = b"\n\n"
_ID: Final = re.compile(rb"(?:\A|\n)id: ?(\d{1,18})(?=\n|\Z)")

# The longest event that is held back until it is complete.
MAX_EVENT_BYTES: Final = 262_144


@dataclass(slots=True)
class EventSplitter:
    """Passes on complete events, each of them once.

    When an endpoint resumes a stream, of this request or of an earlier one of
    the caller, it may repeat events that the caller already has; these are
    skipped.
    """

    last_id: int | None = None  # Id of the last event that was passed on.
    event_count: int = 0  # Number of events that were passed on.
    # Whether an id did not rise; nothing is passed on from there.
    out_of_order: bool = False
    # The beginning of an incomplete event.
    _partial: bytearray = field(default_factory=bytearray)
    _run_id: int = -1  # The last id that the endpoint's stream had.
    _skip_seen: bool = False  # Whether the stream may repeat events.

    def __post_init__(self) -> None:
        """Expect repeated events if the caller has some already."""
        self._skip_seen = self.last_id is not None

    def restart(self) -> None:
        """Drop an incomplete event, as another endpoint resumes the stream."""
        self._partial.clear()
        self._run_id = -1
        self.out_of_order = False
        self._skip_seen = self.last_id is not None

    def feed(self, data: bytes) -> bytes:
        """Return the events that are now complete.

        :param data: the next bytes of the stream
        """
        if self.out_of_order:
            return b""
        partial = self._partial
        ends_now = partial.endswith(b"\n") and data.startswith(b"\n")
        if not ends_now and _END not in data:
            partial += data
            return b""
        if partial:
            data = bytes(partial + data)
            partial.clear()
        end = data.rfind(_END) + len(_END)
        partial += data[end:]
        complete = self._until_fall(data[:end])
        if self._skip_seen:
            complete = self._without_seen(complete)
        if not complete:
            return b""
        self.event_count += complete.count(_END)
        if self._run_id >= 0:
            last = self.last_id if self._skip_seen else None
            self.last_id = max(self._run_id, -1 if last is None else last)
        return complete

    @property
    def mid_event(self) -> bool:
        """Return whether an incomplete event is held back."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Return the size of an incomplete event."""
        return len(self._partial)

    @property
    def is_too_long(self) -> bool:
        """Return whether an incomplete event exceeds the limit."""
        return len(self._partial) > MAX_EVENT_BYTES

    def _until_fall(self, complete: bytes) -> bytes:
        """Return the events up to the first whose id does not rise."""
        event_start, start, searched = -1, 0, 0
        before = self._run_id  # The id of the event before this one.
        for found in _ID.finditer(complete):
            number, position = int(found[1]), found.start(1)
            end = complete.rfind(_END, searched, position)
            searched = position
            if end >= 0:
                start = end + len(_END)
            if start != event_start:
                before = self._run_id
            if number <= before:
                self.out_of_order = True
                self._partial.clear()
                return complete[:start]
            self._run_id, event_start = number, start
        return complete

    def _without_seen(self, complete: bytes) -> bytes:
        """Return the events that the caller does not have yet."""
        unseen = []
        for event in complete.split(_END)[:-1]:
            found = _ID.search(event)
            last = self.last_id
            if found and last is not None and int(found[1]) <= last:
                continue
            unseen.append(event + _END)
        return b"".join(unseen)
