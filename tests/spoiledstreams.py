"""Endpoints that write whole streams, and then one that is spoiled."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from tests.checkedstreams import Answer, Endpoints, Play
from tests.test_repeated_refusals import body_of

LENGTH: Final = 5  # Events of a stream.

# Makes the body of one answer of the encoded events behind an id.
Spoil = Callable[[list[bytes]], list[bytes]]


@dataclass(frozen=True, slots=True)
class Events:
    """How a service writes its events."""

    step: int = 1
    first: int = 1
    shape: bytes = b"id: %(id)d\ndata: run piece %(number)d\n\n"
    rare_shape: bytes = b""  # Of the third event of each seventh stream.

    def encode(self, stream: int) -> list[bytes]:
        """Return the events of a stream.

        :param stream: the stream's number
        """
        ids = range(self.first, self.first + LENGTH * self.step, self.step)
        events = []
        for number, id_ in enumerate(ids, 1):
            rare = not stream % 7 and number == 3
            shape = self.rare_shape if rare and self.rare_shape else self.shape
            values = {b"id": id_, b"number": number}
            events.append(shape % values if b"%" in shape else shape)
        return events


@dataclass(slots=True)
class SpoilingEndpoints(Endpoints):
    """Endpoints that spoil some of their answers."""

    writes: Events = field(default_factory=Events)
    spoils: dict[int, Spoil] = field(default_factory=dict)  # By send.

    def next_answer(self, after: int) -> Answer:
        answer = Endpoints.next_answer(self, after)
        send = len(self.sends)
        events = self.writes.encode(send)
        behind = max(0, (after - self.writes.first) // self.writes.step + 1)
        spoil = self.spoils.get(send)
        rest = events[behind:] if after else events
        self.events = [b""] * after + (spoil(rest) if spoil else rest)
        return answer


def play(
    path: str,
    spoils: dict[int, Spoil],
    writes: Events | None = None,
    streams: int = 24,
) -> list[tuple[str, bytes, bool]]:
    """Return status, body and wholeness of each stream, in order.

    :param path: of the route
    :param spoils: what becomes of an answer, by its number from 1
    :param writes: how the service writes its events
    :param streams: their number
    """
    endpoints = SpoilingEndpoints(
        [Answer(until=1000)], writes=writes or Events(), spoils=spoils
    )
    calls = Play(path, requests=streams)
    calls.run(endpoints)
    return [body_of(caller.data) for caller in calls.callers]
