"""Streams of services that differ in ways that are all lawful."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class Shape:
    """How a service writes its streams."""

    step: int = 1  # By which ids rise; 0: by varying steps.
    has_ids: bool = True
    odd: bool = False  # Whether it writes lines and headers that are rare.
    padding_bytes: int = 0  # Of a comment in some events.
    padded_step: int = 5  # From one of these to the next.

    def id_of(self, number: int) -> int:
        """Return the id of an event.

        :param number: its number in the stream, from 1
        """
        return number * self.step if self.step else number * 3 + number % 2

    def number_of(self, event_id: int) -> int:
        """Return the number of the last event up to an id.

        :param event_id: the id
        """
        number = event_id // (self.step or 3)
        return number - (self.id_of(number) > event_id)

    def encode(self, number: int, run: int, end: bytes) -> bytes:
        """Return an encoded event.

        :param number: its number in the stream
        :param run: the number of its run
        :param end: the end of its lines
        """
        lines = [b"data: run %d piece %d" % (run, number)]
        if self.has_ids:
            lines.insert(0, b"id: %d" % self.id_of(number))
        if self.odd and number % 2:
            lines = [b"event: part", b"meta: 2f", *lines, b"retry: 500"]
        if self.odd and number % 3 == 0:
            lines = [b": comment", b"", *lines]
        if self.padding_bytes and number % self.padded_step == 0:
            lines.append(b": " + b"x" * self.padding_bytes)
        return end.join((*lines, b"", b""))

    def header(self, line: bytes) -> bytes:
        """Return header lines that say the same as one of them.

        :param line: the line, with its end
        """
        if not self.odd:
            return line
        name, _, value = line.partition(b": ")
        return b"X-Empty:\r\n%b:\t%b \r\nVary: a, b\r\n" % (
            name.lower(),
            value.rstrip().capitalize(),
        )


PLAIN: Final = Shape()
LAWFUL: Final = (
    Shape(step=2),
    Shape(step=0),
    Shape(has_ids=False),
    Shape(odd=True),
    Shape(step=0, odd=True),
)
