"""Splits event streams after complete events.

A line ends with LF, CRLF or CR, and an empty line ends an event.  Events are
passed on as they are.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Final

# The end of an event, with the empty lines that follow.
EVENT_END: Final = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)+")
# An event with an id in its first line only, whose lines end with LF.
_PLAIN: Final = re.compile(
    rb"id: ?([0-9]{1,18})\n(?:(?!id)[^\r\n]+\n)*\n(?!\n)"
)
_ID: Final = re.compile(rb"(?:\A|(?<=[\r\n]))id(?:: ?([^\r\n]*))?[\r\n]")
_DATA: Final = re.compile(rb"(?:\A|(?<=[\r\n]))data[:\r\n]")
_DONE: Final = re.compile(rb"data: ?\[DONE\][\r\n]+")
_BOM: Final = b"\xef\xbb\xbf"  # May precede the first line of a stream.

# The most digits of an id; a caller can not name longer ones either.
_MAX_DIGITS: Final = 18

# How many bytes before others belong to an event's end that those complete.
END_OVERLAP_BYTES: Final = 2

# The longest event that is held back until it is complete.
MAX_EVENT_BYTES: Final = 262_144


def split_done(events: bytes) -> tuple[bytes, bytes]:
    """Return events and the event that ends a model's stream.

    :param events: complete events; the last one may be that event
    """
    start = events.rfind(b"data:")
    if start < 0 or not _DONE.fullmatch(events, start):
        return events, b""
    if start and events[start - 1] not in b"\r\n":
        return events, b""
    return events[:start], events[start:]


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
    # Whether `last_id` tells where the stream goes on: no event with data but
    # without an id was passed on after it.
    can_resume: bool = True
    # The beginning of an incomplete event.
    _partial: bytearray = field(default_factory=bytearray)
    _run_id: int = -1  # The last id that the endpoint's stream had.
    # Whether the endpoint's last event was passed on; None: it sent none yet.
    _passed: bool | None = None
    # The rest of a line end that is missing as an endpoint stopped within it.
    _rest: bytes = b""
    _ends_within_crlf: bool = False  # Whether what was passed on does.

    def restart(self) -> None:
        """Drop an incomplete event, as another endpoint resumes the stream."""
        self._partial.clear()
        self._run_id = -1
        self.out_of_order = False
        self._passed = None
        if self._ends_within_crlf:
            self._rest = b"\n"

    def feed(self, data: bytes) -> bytes:
        """Return the events that are now complete.

        :param data: the next bytes of the stream
        """
        if self.out_of_order:
            return b""
        partial = self._partial
        if partial:
            # An end may begin in what is held back.
            held = bytes(partial[-END_OVERLAP_BYTES:])
            if not EVENT_END.search(held + data):
                partial += data
                return b""
            data = bytes(partial + data)
            partial.clear()
        size = self._plain_bytes(data) if self._passed else 0
        if not size:
            return self._feed_any(data)
        if size == len(data):
            return data
        return data[:size] + self._feed_any(data[size:])

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

    def _plain_bytes(self, data: bytes) -> int:
        """Take note of common events; return their size (bytes).

        It gives what `_feed_any` does, at a lower cost.
        """
        size = 0
        last = max(self._run_id, -1 if self.last_id is None else self.last_id)
        while found := _PLAIN.match(data, size):
            number = int(found[1])
            if number <= last:
                break
            last = number
            size = found.end()
            self.event_count += 1
        if size:
            self._run_id = self.last_id = last
            self.can_resume = True
            self._ends_within_crlf = False
        return size

    def _feed_any(self, data: bytes) -> bytes:
        """Return the complete events that the caller does not have yet."""
        start = 0
        if self._passed is not None:
            # What belongs to the end of the event before.
            start = len(data) - len(data.lstrip(b"\r\n"))
        more = data[:start] if self._passed else b""
        if more:
            self._ends_within_crlf = False
        events = []
        for found in EVENT_END.finditer(data, start):
            event = data[start : found.end()]
            start = found.end()
            content = event
            if self._passed is None and event.startswith(_BOM):
                content = event[len(_BOM) :]
                # Only the first line of the caller's stream may begin so.
                event = content if self.event_count else event
            self._passed = self._takes(content)
            if self._passed:
                events.append(event)
            elif self.out_of_order:
                break
        else:
            self._partial += data[start:]
        if not events:
            return more
        self.event_count += len(events)
        complete = more + self._rest + b"".join(events)
        self._rest = b""
        self._ends_within_crlf = complete.endswith(b"\r\n\r")
        return complete

    def _takes(self, event: bytes) -> bool:
        """Take note of an event's id; return whether the caller lacks it."""
        before, last = self._run_id, self.last_id
        number = None  # The last id counts.
        found = _ID.match(event)
        values = [found[1]] if found else []
        if b"\nid" in event or b"\rid" in event:
            values = _ID.findall(event)
        for value in values:
            number = None
            if value and value.isdigit() and len(value) <= _MAX_DIGITS:
                number = int(value)
                if number <= before:
                    self.out_of_order = True
                    return False
        if number is not None:
            self._run_id = number
            if last is not None and number <= last:
                return False
            self.last_id = number
            self.can_resume = True
        elif last is not None and 0 <= before < last:
            return False
        elif _DATA.search(event):
            self.can_resume = False
        return True
