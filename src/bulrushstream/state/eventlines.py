"""What the lines of an event show, and how a run's events are judged."""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Final, Protocol

# The most digits of an id; a caller can not name longer ones either.
MAX_ID_DIGITS: Final = 18

# An event with an id in its first line only, whose lines end with LF.
PLAIN: Final = re.compile(
    rb"id: ?([0-9]{1,18})\n(?:(?!id)[^\r\n]+\n)*\n(?!\n)"
)
# The size of a chunk; a body's framing may pass for lines of events.
CHUNK_SIZE_LINE: Final = re.compile(rb"(?:\A|(?<=[\r\n]))[0-9A-Fa-f]+\r\n")
_CONTROL: Final = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_NAME: Final = re.compile(rb"(?:\A|\n)([^:\n]+)")
# Names of fields, also of headers that some services write as fields.
_FIELD: Final = re.compile(rb"[A-Za-z][A-Za-z0-9_.-]{0,63}")
# What an event without data may consist of, beside comments.
_WITHOUT_DATA: Final = frozenset((b"event", b"retry"))
_STANDARD: Final = _WITHOUT_DATA | {b"data"}
# Bytes of a line's value, without those.
_VALUE: Final = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
# Follows the name of a field whose value is unusual; no name contains it.
_UNUSUAL: Final = b"\r"


class Verdict(StrEnum):
    """What becomes of an event."""

    PASS = "pass"
    # It is passed on once the next id shows that none is missing, or at the
    # end of the stream.
    HOLD = "hold"
    SPOILED = "spoiled"  # The endpoint did not write what it was to write.


class Spoiling(StrEnum):
    """How a stream is spoiled."""

    ORDER = "order"  # An id does not rise.
    GAP = "gap"  # Another id was to follow.
    FIRST_ID = "first_id"  # Other runs begin with another one.
    FRAMING = "framing"
    LINES = "lines"  # No other event of the service has such lines.
    FOREIGN = "foreign"  # The bytes are no event.


class RunCheck(Protocol):
    """Judges the events of one endpoint's run."""

    spoiling: Spoiling | None  # Of the event that was judged as spoiled.

    def plain_events(self) -> tuple[re.Pattern[bytes] | None, int]:
        """Return what matches a common event, and by what its id rises.

        None: each event is to be judged; 0: an id rises by any number.
        """

    def passed_plain(self, count: int) -> None:
        """Take note of common events that were passed on.

        :param count: their number
        """

    def judge(
        self, event: bytes, number: int | None, before: int, *, is_new: bool
    ) -> Verdict:
        """Return what becomes of an event.

        :param event: the event
        :param number: its id; None: none that tells where the stream goes on
        :param before: the id before it in the run; negative: none
        :param is_new: whether the caller lacks it
        """

    def judge_held(
        self, event: bytes, number: int | None, *, is_last: bool
    ) -> Verdict:
        """Return what becomes of an event that was held for long.

        :param event: the event
        :param number: its id; None: none that tells where the stream goes on
        :param is_last: whether the run has ended
        """


def shape_of(event: bytes, number: int | None) -> bytes:
    """Return the names of an event's fields, in order; comments have none.

    A field with a control character or bytes that are no text, and an id that
    is no number, differ from others of the same name.

    :param event: the event
    :param number: its id; None: none that is a number
    """
    is_usual = number is not None and b"\r" not in event and is_text(event)
    if is_usual and not _CONTROL.search(event):
        return b"\n".join(_NAME.findall(event))
    names = []
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if not name:
            continue
        if name == b"id":
            digits = value.removeprefix(b" ")
            if not digits.isdigit() or len(digits) > MAX_ID_DIGITS:
                name += _UNUSUAL
        if _CONTROL.search(line) or not is_text(line):
            name += _UNUSUAL
        names.append(name)
    return b"\n".join(names)


def is_well_formed(event: bytes, number: int | None) -> bool:
    """Return whether bytes may stand in an event stream.

    They must be fields and comments in UTF-8.  Fields that readers of event
    streams skip are no event without data or an id.

    :param event: the bytes, up to an empty line
    :param number: its id; None: it has none that is a number
    """
    if not is_text(event):
        return False
    lines = [line for line in event.splitlines() if line[:1] != b":"]
    names = {line.partition(b":")[0] for line in lines if line}
    is_event = number is not None or b"data" in names
    if not is_event and not names <= _WITHOUT_DATA:
        return False
    return all(map(_FIELD.fullmatch, names))


def has_standard_fields(event: bytes) -> bool:
    """Return whether an event has only fields that all services may write.

    An id with one damaged byte is none of them.

    :param event: an event without an id
    """
    lines = [line for line in event.splitlines() if line]
    return {line.partition(b":")[0] for line in lines} <= _STANDARD


def is_text(data: bytes) -> bool:
    """Return whether bytes are text in UTF-8, as that of event streams is.

    :param data: the bytes
    """
    if data.isascii():
        return True
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def pattern_of(shapes: list[bytes]) -> re.Pattern[bytes] | None:
    """Return what matches common events of some shapes; None: none is common.

    Its last group is the id.

    :param shapes: the shapes
    """
    events = []
    for shape in shapes:
        names = shape.split(b"\n")
        if names.count(b"id") != 1 or _UNUSUAL in shape:
            continue
        lines = [
            re.escape(name) + b":" + _VALUE
            if name != b"id"
            else rb"id: ?([0-9]{1,18})"
            for name in names
        ]
        events.append(b"\n".join(lines))
    if not events:
        return None
    return re.compile(rb"(?:" + b"|".join(events) + rb")\n\n(?!\n)")
