"""Splits event streams after complete events.

A line ends with LF, CRLF or CR, and an empty line ends an event.  Events are
passed on as they are.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.eventlines import (
    CHUNK_SIZE_LINE,
    MAX_ID_DIGITS,
    PLAIN,
    RunCheck,
    Spoiling,
    Verdict,
)

# The end of an event, with the empty lines that follow.
EVENT_END: Final = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)+")
_ID: Final = re.compile(rb"(?:\A|(?<=[\r\n]))id(?:: ?([^\r\n]*))?[\r\n]")
_DATA: Final = re.compile(rb"(?:\A|(?<=[\r\n]))data[:\r\n]")
_DONE: Final = re.compile(rb"data: ?\[DONE\][\r\n]+")
_BOM: Final = b"\xef\xbb\xbf"  # May precede the first line of a stream.

# How many bytes before others belong to an event's end that those complete.
END_OVERLAP_BYTES: Final = 2

# Common events are reported to a check at least once in this many.
REPORT_INTERVAL: Final = 64

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
class _HeldEvent:
    """An event that is passed on once it is known to be whole."""

    data: bytes
    number: int | None
    has_data: bool


@dataclass(slots=True)
class EventSplitter:
    """Passes on complete events, each of them once.

    When an endpoint resumes a stream, of this request or of an earlier one of
    the caller, it may repeat events that the caller already has; these are
    skipped.
    """

    last_id: int | None = None  # Id of the last event that was passed on.
    event_count: int = 0  # Number of events that were passed on.
    # How the endpoint's stream is spoiled; nothing is passed on from there.
    spoiling: Spoiling | None = None
    spoiled_ids: str = ""  # The ids there, for the log.
    # Whether `last_id` tells where the stream goes on: no event with data but
    # without an id was passed on after it.
    can_resume: bool = True
    # What is known of the endpoint's service; None: nothing.
    check: RunCheck | None = None
    # The beginning of an incomplete event.
    _partial: bytearray = field(default_factory=bytearray)
    _held: list[_HeldEvent] = field(default_factory=list)
    # Empty lines that go out with the next event of the run: they may be
    # framing.
    _blank: bytes = b""
    _run_id: int = -1  # The last id that the endpoint's stream had.
    # Whether the endpoint's last event was passed on; None: it sent none yet.
    _passed: bool | None = None
    # The rest of a line end that is missing as an endpoint stopped within it.
    _rest: bytes = b""
    _ends_within_crlf: bool = False  # Whether what was passed on does.
    # Common events that the check was not told of yet, and the number at
    # which it is.
    _unreported: int = 0
    _report_at: int = 1

    def restart(self) -> None:
        """Drop an incomplete event, as another endpoint resumes the stream."""
        self._report()
        self._partial.clear()
        self._held.clear()
        self._blank = b""
        self._run_id = -1
        self.spoiling = None
        self.check = None
        self._passed = None
        if self._ends_within_crlf:
            self._rest = b"\n"

    def feed(self, data: bytes) -> bytes:
        """Return the events that are now complete.

        :param data: the next bytes of the stream
        """
        if self.spoiling is not None:
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
        size = self._plain_bytes(data, 0) if self._passed else 0
        if not size:
            return self._feed_any(data)
        if size == len(data):
            return data
        return data[:size] + self._feed_any(data[size:])

    def finish(self) -> bytes:
        """Return the events that were held back, as the stream has ended."""
        self._report()
        if self._judge_held(is_last=True) is not Verdict.PASS:
            return b""
        events = [*self._take_blank(), *self._release()]
        return self._completed(b"", events) if events else b""

    def _judge_held(self, *, is_last: bool) -> Verdict:
        """Return what becomes of the events that were held back."""
        for event in self._held:
            assert self.check is not None
            content = event.data.removeprefix(_BOM)
            verdict = self.check.judge_held(
                content, event.number, is_last=is_last
            )
            if verdict is Verdict.SPOILED:
                self._refuse(self.check.spoiling, event.number)
            if verdict is not Verdict.PASS:
                return verdict
        return Verdict.PASS

    @property
    def holds(self) -> bool:
        """Return whether events are held back that the caller lacks."""
        return bool(self._held) and (self._run_id >= 0 or not self.event_count)

    @property
    def held_without_id(self) -> bytes | None:
        """Return the last event if it is held back and has no id."""
        if not self.holds or self._held[-1].number is not None:
            return None
        return self._held[-1].data

    def release(self) -> bytes:
        """Return the events that were held back, as no other follows."""
        self._report()
        if self._judge_held(is_last=False) is not Verdict.PASS:
            return b""
        events = self._release()
        return self._completed(b"", events) if events else b""

    @property
    def out_of_order(self) -> bool:
        """Return whether nothing more of the endpoint is passed on."""
        return self.spoiling is not None

    @property
    def mid_event(self) -> bool:
        """Return whether an incomplete event is held back."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Return the size of what is held back."""
        size = len(self._partial) + len(self._blank)
        if self._held:
            size += sum(len(event.data) for event in self._held)
        return size

    @property
    def is_too_long(self) -> bool:
        """Return whether what is held back exceeds the limit."""
        return self.partial_bytes > MAX_EVENT_BYTES

    def _report(self) -> None:
        """Tell the check of common events that were passed on."""
        if self.check is not None and self._unreported:
            self.check.passed_plain(self._unreported)
        self._unreported, self._report_at = 0, REPORT_INTERVAL

    def _plain_bytes(self, data: bytes, start: int) -> int:
        """Take note of common events; return their size (bytes).

        It gives what `_feed_any` does, at a lower cost.

        :param data: bytes of the stream
        :param start: where in these the first of them may begin
        """
        pattern, step, check = PLAIN, 0, self.check
        if check is not None:
            known, step = check.plain_events()
            if known is None or self._run_id < 0:
                return 0
            if self._held or self._blank:
                return 0
            pattern = known
        size, count = start, 0
        last = max(self._run_id, -1 if self.last_id is None else self.last_id)
        while found := pattern.match(data, size):
            number = int(found[found.lastindex or 1])
            if number <= last or (step and number - last != step):
                break
            last = number
            size = found.end()
            count += 1
        if count:
            self.event_count += count
            self._run_id = self.last_id = last
            self.can_resume = True
            self._ends_within_crlf = False
            self._unreported += count
            if self._unreported >= self._report_at:
                self._report()
        return size - start

    def _feed_any(self, data: bytes) -> bytes:
        """Return the complete events that the caller does not have yet."""
        start = 0
        if self._passed is not None:
            # What belongs to the end of the event before.
            start = len(data) - len(data.lstrip(b"\r\n"))
        more = data[:start] if self._passed else b""
        if more and self._held:
            self._held[-1].data += more
            more = b""
        elif more and self.check is not None:
            # The rest of a line end of the event is none.
            rest = int(self._ends_within_crlf and more.startswith(b"\n"))
            self._blank += more[rest:]
            more = more[:rest]
        if more:
            self._ends_within_crlf = False
        events: list[bytes] = []
        while found := EVENT_END.search(data, start):
            event = data[start : found.end()]
            start = found.end()
            content = event
            if self._passed is None and event.startswith(_BOM):
                content = event[len(_BOM) :]
                # Only the first line of the caller's stream may begin so.
                event = content if self.event_count else event
            number = self._number_of(content)
            verdict = self._judge(content, number)
            if verdict is Verdict.SPOILED:
                self._passed = False
                break
            self._passed = verdict is not None
            if verdict is None:
                # The run repeats the stream, and what came before it, too.
                self._held.clear()
                continue
            events += self._take_blank()
            if self._held and number is not None:
                events += self._release()
            has_data = number is None and bool(_DATA.search(content))
            if verdict is Verdict.HOLD or self._held:
                self._held.append(_HeldEvent(event, number, has_data))
            else:
                self._note_passed(number, has_data)
                events.append(event)
                self._report_at = 1
                if number is None or start == len(data):
                    continue
                size = self._plain_bytes(data, start)
                if size:
                    events.append(data[start : start + size])
                    start += size
        else:
            self._partial += data[start:]
        return self._completed(more, events) if events else more

    def _completed(self, more: bytes, events: list[bytes]) -> bytes:
        """Return what is passed on of some events.

        :param more: belongs to the end of an event that was passed on before
        :param events: the events
        """
        complete = more + self._rest + b"".join(events)
        self._rest = b""
        self._ends_within_crlf = complete.endswith(b"\r\n\r")
        return complete

    def _take_blank(self) -> list[bytes]:
        """Return the empty lines that were held back."""
        blank, self._blank = self._blank, b""
        return [blank] if blank else []

    def _release(self) -> list[bytes]:
        """Return the events that were held back, which are passed on."""
        for event in self._held:
            self._note_passed(event.number, event.has_data)
        events = [event.data for event in self._held]
        self._held.clear()
        return events

    def _note_passed(self, number: int | None, has_data: bool) -> None:
        """Take note of an event that is passed on."""
        self.event_count += 1
        if number is not None:
            self.last_id = number
            self.can_resume = True
        elif has_data:
            self.can_resume = False

    def _number_of(self, event: bytes) -> int | None:
        """Return an event's id; None: it has none that is a number.

        The last one counts.  If ids do not rise within it, that is noted.
        """
        found = _ID.match(event)
        values = [found[1]] if found else []
        if b"\nid" in event or b"\rid" in event:
            values = _ID.findall(event)
        number = None
        for value in values:
            number = None
            if value and value.isdigit() and len(value) <= MAX_ID_DIGITS:
                number = int(value)
                if number <= self._run_id:
                    self._refuse(Spoiling.ORDER, number)
        return number

    def _judge(self, event: bytes, number: int | None) -> Verdict | None:
        """Return what becomes of an event; None: the caller has it."""
        if self.spoiling is not None:
            return Verdict.SPOILED
        before, last = self._run_id, self.last_id
        if last is None:
            is_new = True
        elif number is not None:
            is_new = number > last
        else:
            is_new = not 0 <= before < last
        verdict = Verdict.PASS
        if self.check is not None:
            # In their order, as it learns of them.
            self._report()
            verdict = self.check.judge(event, number, before, is_new=is_new)
            if verdict is Verdict.SPOILED:
                self._refuse(self.check.spoiling, number)
                return verdict
            if verdict is Verdict.PASS and self._may_repeat(event, number):
                verdict = Verdict.HOLD
        elif b"\r" in event and CHUNK_SIZE_LINE.search(event):
            self._refuse(Spoiling.FRAMING, number)
            return Verdict.SPOILED
        if number is not None:
            self._run_id = number
        return verdict if is_new else None

    def _may_repeat(self, event: bytes, number: int | None) -> bool:
        """Return whether the next id shows if the caller has an event.

        A run that goes on with a stream may begin it anew.
        """
        begins = number is None and self._run_id < 0
        goes_on = self.last_id is not None and self.event_count > 0
        return begins and goes_on and bool(_DATA.search(event))

    def _refuse(self, spoiling: Spoiling | None, number: int | None) -> None:
        """Take note that the endpoint's stream is spoiled."""
        self.spoiling = spoiling
        before = self._run_id if self._run_id >= 0 else self.last_id
        self.spoiled_ids = f"id {number} after {before}"
