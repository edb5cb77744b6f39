"""Runs of one service's endpoints, and what a caller reads of them."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from bulrushstream.coordination.streamcheck import Doubts, StreamCheck
from bulrushstream.coordination.streampatterns import StreamPattern
from bulrushstream.state.events import EventSplitter
from tests.eventstreams import pieces


@dataclass(slots=True)
class Service:
    """A service, and what is known of its streams."""

    resumable: bool
    pattern: StreamPattern = field(default_factory=StreamPattern)
    runs: int = 0

    def begin(
        self, splitter: EventSplitter, doubts: Doubts, *, is_last: bool = False
    ) -> None:
        """Begin a run of the next of three endpoints.

        :param splitter: of the request
        :param doubts: of the request
        :param is_last: whether no other attempt may follow
        """
        self.runs += 1
        splitter.restart()
        splitter.check = StreamCheck(
            self.pattern,
            f"e-{self.runs % 3}",
            doubts,
            resumable=self.resumable and not is_last,
            after=splitter.last_id,
            is_callers=not splitter.event_count,
        )

    def serve(
        self, bodies: list[bytes], cuts: list[int]
    ) -> tuple[bytes, EventSplitter]:
        """Return what one caller gets of runs that follow each other.

        :param bodies: what each writes; the next one follows if it is spoiled
        :param cuts: where their bytes are cut
        """
        splitter, doubts, output = EventSplitter(), Doubts(), b""
        for body in bodies:
            self.begin(splitter, doubts)
            output += b"".join(map(splitter.feed, pieces(body, cuts)))
            if not splitter.spoiling and not splitter.mid_event:
                output += splitter.finish()
            if not splitter.spoiling and not splitter.mid_event:
                break
        return output, splitter


def read_events(body: bytes) -> list[tuple[str, str]]:
    """Return the last id and the data of each event, as browsers do.

    :param body: of an event stream
    """
    events: list[tuple[str, str]] = []
    data: list[str] = []
    last_id = ""
    for line in re.split("\r\n|\r|\n", body.decode(errors="replace")):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if not line and data:
            events.append((last_id, "\n".join(data)))
        if not line:
            data = []
        elif name == "data":
            data.append(value)
        elif name == "id" and "\0" not in value:
            last_id = value
    return events
