"""Streams that living endpoints spoil, in answers that are framed well.

Guards against events that are missing, come twice, or hold what is none of
theirs, and against lawful streams that are broken off.
"""

from __future__ import annotations

import pytest

from tests.spoiledstreams import Events, Spoil, play

LAST = 24  # The spoiled stream; those before it are whole.
STEPS = {"one": Events(), "three": Events(3, 10)}


def left_out(index: int) -> Spoil:
    """Return what leaves an event out."""
    return lambda events: events[:index] + events[index + 1 :]


def replaced(before: bytes, after: bytes, index: int = 2) -> Spoil:
    """Return what changes bytes of an event."""

    def spoil(events: list[bytes]) -> list[bytes]:
        changed = events[index].replace(before, after, 1)
        return [*events[:index], changed, *events[index + 1 :]]

    return spoil


def changed_id(rise: int) -> Spoil:
    """Return what changes the id of an event."""

    def spoil(events: list[bytes]) -> list[bytes]:
        line, _, rest = events[2].partition(b"\n")
        number = int(line.removeprefix(b"id: ")) + rise
        return [*events[:2], b"id: %d\n%b" % (number, rest), *events[3:]]

    return spoil


def repeated(events: list[bytes]) -> list[bytes]:
    """Return events of which the second is followed by the first."""
    return [*events[:2], *events]


SPOILS: dict[str, Spoil] = {
    "an event is lost": left_out(2),
    "the first event is lost": left_out(0),
    "two events change places": lambda e: [e[0], e[2], e[1], *e[3:]],
    "an event comes late": lambda e: [e[0], e[2], e[3], e[1], e[4]],
    "an id is too high": changed_id(1),
    "an id is far too high": changed_id(70),
    "the first id is another one": replaced(b"id: 1", b"id: 4", 0),
    "an id is no number": replaced(b"id: ", b"id: x"),
    "an event has no id": replaced(b"id: ", b"ie: "),
    "half of an event is lost": lambda e: [*e[:2], e[2][:17], *e[3:]],
    "half of an id line is lost": lambda e: [*e[:2], e[2][:3], *e[3:]],
    "a chunk's size precedes an event": lambda e: [
        *e[:2],
        b"1f\r\n",
        *e[2:],
    ],
    "a chunk's size is within an event": replaced(b"run", b"\r\n1f\r\nrun"),
}


class SpoiledStreamSuite:
    """Guards against spoiled events that go out to callers."""

    @pytest.mark.parametrize("writes", STEPS.values(), ids=STEPS)
    @pytest.mark.parametrize("spoil", SPOILS.values(), ids=SPOILS)
    def test_one_that_may_be_resumed(
        self, spoil: Spoil, writes: Events
    ) -> None:
        whole = b"".join(writes.encode(1))
        answers = play("/talk/", {LAST: spoil}, writes)
        assert answers[-1] == ("200", whole, True)

    @pytest.mark.parametrize("writes", STEPS.values(), ids=STEPS)
    @pytest.mark.parametrize("spoil", SPOILS.values(), ids=SPOILS)
    def test_one_that_may_not(self, spoil: Spoil, writes: Events) -> None:
        whole = b"".join(writes.encode(1))
        status, body, complete = play("/tell/", {LAST: spoil}, writes)[-1]
        if status == "200":
            assert whole.startswith(body)
            assert not complete or body == whole

    @pytest.mark.parametrize("writes", STEPS.values(), ids=STEPS)
    def test_the_next_attempt_misses_an_event(self, writes: Events) -> None:
        """Guards against a gap where another run goes on."""
        spoils = {LAST: repeated, LAST + 1: left_out(0)}
        answers = play("/talk/", spoils, writes)
        assert answers[-1] == ("200", b"".join(writes.encode(1)), True)

    @pytest.mark.parametrize("writes", STEPS.values(), ids=STEPS)
    def test_two_attempts_miss_the_same_event(self, writes: Events) -> None:
        """Guards against two spoiled answers that pass for lawful ones."""
        streams = 80
        spoils = {streams: left_out(2), streams + 1: left_out(0)}
        answers = play("/talk/", spoils, writes, streams)
        assert answers[-1] == ("200", b"".join(writes.encode(1)), True)


LAWFUL: dict[str, Events] = {
    "no ids": Events(shape=b"data: piece %(number)d\n\n"),
    "step two": Events(2, 2),
    "comments": Events(shape=b": %(number)d\n\nid: %(id)d\ndata: x\n\n"),
    "CRLF": Events(shape=b"id: %(id)d\r\ndata: %(number)d\r\n\r\n"),
    "a rare field": Events(
        rare_shape=b"meta: 2f\nretry: 5\nid: %(id)d\ndata: x\n\n"
    ),
    "rare lines of data": Events(rare_shape=b"id: %(id)d\ndata: x\ndata\n\n"),
    "a rare event without an id": Events(
        rare_shape=b"event: note\ndata: x\n\nid: %(id)d\ndata: x\n\n"
    ),
}


class LawfulStreamSuite:
    """Guards against lawful streams that are changed or broken off."""

    @pytest.mark.parametrize("path", ["/talk/", "/tell/"])
    @pytest.mark.parametrize("writes", LAWFUL.values(), ids=LAWFUL)
    def test_unusual_events(self, writes: Events, path: str) -> None:
        bodies = [body for _, body, whole in play(path, {}, writes) if whole]
        usual = [b"".join(writes.encode(n)) for n in (1, 7)]
        assert len(bodies) == LAST
        assert set(bodies) <= set(usual)
