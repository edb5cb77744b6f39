"""Bytes within an event stream that are no event."""

from __future__ import annotations

from random import Random

import pytest

from tests.checkedstreams import EVENTS, WHOLE, Answer, Endpoints, Play
from tests.test_repeated_refusals import body_of

BEGIN = b"".join(EVENTS[:2])
FOREIGN = {
    "random bytes": Random(1).randbytes(60_000),
    "lines": b"xyzzy\n\n" * 100,
    "another protocol": b"\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n",
    "a bad status line": b"HTTP/1.1 OK 200\r\n\r\n",
    "a bad header": b"no colon here\r\n\r\n",
    "text of another coding": b"data: \xff\xfe\xe9\n\n",
}


def got_of(
    endpoints: Endpoints, path: str, known: int = 0
) -> tuple[str, bytes, bool]:
    """Return status, body and wholeness of the last stream.

    :param endpoints: those that answer
    :param path: of the route
    :param known: the number of streams before it
    """
    play = Play(requests=known + 1, path=path, alike=False)
    play.run(endpoints)
    return body_of(play.callers[-1].data)


@pytest.mark.parametrize("known", [0, 1, 24])
@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
class ForeignBytesSuite:
    """Guards against bytes that go out to callers as if they were events."""

    def test_a_stream_that_may_be_resumed(
        self, foreign: bytes, known: int
    ) -> None:
        spoiled = Answer(2, more=foreign)
        endpoints = Endpoints([*[Answer()] * known, spoiled, Answer()])
        assert got_of(endpoints, "/talk/", known) == ("200", WHOLE, True)

    def test_one_that_may_not(self, foreign: bytes, known: int) -> None:
        spoiled = Answer(2, more=foreign)
        endpoints = Endpoints([*[Answer()] * known, spoiled])
        assert got_of(endpoints, "/tell/", known) == ("200", BEGIN, False)

    # Without an event before, nothing is known of the run's ids.
    def test_at_the_beginning(self, foreign: bytes, known: int) -> None:
        spoiled = Answer(0, more=foreign)
        endpoints = Endpoints([*[Answer()] * known, spoiled, Answer()])
        assert got_of(endpoints, "/talk/", known) == ("200", WHOLE, True)


class TornEventSuite:
    # Guards against an event that goes on with bytes that are none of its.
    @pytest.mark.parametrize("path", ["/talk/", "/tell/"])
    @pytest.mark.parametrize("torn", [b"id: 3\n", b"id: 3\nda"])
    def test_foreign_bytes_follow(self, torn: bytes, path: str) -> None:
        foreign = torn + FOREIGN["random bytes"]
        spoiled = Answer(2, more=foreign)
        endpoints = Endpoints([*[Answer()] * 24, spoiled, Answer()])
        whole = path == "/talk/"
        expected = WHOLE if whole else BEGIN
        assert got_of(endpoints, path, 24) == ("200", expected, whole)


LAWFUL = {
    "lines of a text": b'id: %d\ndata: {\n  "a": 1,\n  "b": 2\n}\n\n',
    "another coding": b"id: %d\ndata: \xe9t\xe9\n\n",
    "a field that is skipped": b"trace: 2f\n\nid: %d\ndata: x\n\n",
}


class DamagedEventSuite:
    # Guards against an event that lost the end of its id's line and goes out
    # with the next one, at a router that knows nothing of the service.
    @pytest.mark.parametrize("path", ["/talk/", "/tell/"])
    def test_a_line_end_is_lost(self, path: str) -> None:
        damaged = EVENTS[2].replace(b"\n", b";", 1)
        more = damaged + b"".join(EVENTS[3:])
        endpoints = Endpoints([Answer(2, more=more), Answer()])
        whole = path == "/talk/"
        expected = WHOLE if whole else BEGIN
        assert got_of(endpoints, path) == ("200", expected, whole)


class KnownServiceSuite:
    # Guards against foreign bytes that go out as the stream goes on behind
    # them, alone or in the lines before an event.
    @pytest.mark.parametrize("path", ["/talk/", "/tell/"])
    @pytest.mark.parametrize("end", [b"\n", b"\n\n"])
    def test_the_stream_goes_on(self, end: bytes, path: str) -> None:
        foreign = b"\xfd5t\x0b\x06+\x17\xcb" + end
        more = foreign + b"".join(EVENTS[2:])
        endpoints = Endpoints([*[Answer()] * 24, Answer(2, more=more)])
        endpoints.answers.append(Answer())
        whole = path == "/talk/"
        expected = WHOLE if whole else BEGIN
        assert got_of(endpoints, path, 24) == ("200", expected, whole)


class PauseSuite:
    # Guards against streams that are given up as a line that readers skip
    # precedes a long pause.
    @pytest.mark.parametrize("path", ["/talk/", "/tell/"])
    @pytest.mark.parametrize("known", [0, 24, 60])
    def test_a_line_before_a_pause(self, path: str, known: int) -> None:
        line = b"trace: 2f\n\n"
        paused = Answer(
            0, more=line + WHOLE, first_bytes=len(line), pause_s=1.9
        )
        endpoints = Endpoints([*[Answer()] * known, paused])
        got = got_of(endpoints, path, known)
        assert got == ("200", line + WHOLE, True)


@pytest.mark.parametrize("path", ["/talk/", "/tell/"])
@pytest.mark.parametrize("event", LAWFUL.values(), ids=LAWFUL)
class UnusualServiceSuite:
    # Guards against services that lose their streams as they write lines
    # that readers of event streams skip.
    def test_its_streams_are_whole(self, event: bytes, path: str) -> None:
        events = [event % number for number in range(1, 6)]
        endpoints = Endpoints([Answer()], events=events)
        play = Play(requests=40, path=path, alike=False)
        play.run(endpoints)
        got = [body_of(each.data) for each in play.callers]
        assert got == [("200", b"".join(events), True)] * 40
        assert len(endpoints.sends) == 40
