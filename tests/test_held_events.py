"""Events that are held back until the next one shows that none is missing."""

from __future__ import annotations

import pytest

from tests.checkedstreams import EVENTS, Answer, Endpoints, Play
from tests.test_repeated_refusals import body_of

# A field that no event of the service had before.
UNUSUAL = b"id: 2\nevent: tool\ndata: x\n\n"
PINGS = b": ping\n\n" * 3
LAST = EVENTS[2]


@pytest.mark.parametrize("path", ["/talk/", "/tell/"])
class HeldEventSuite:
    # Guards against a stream of which an event before a long pause is held
    # back so long that its endpoint, and each further one, seems to hang.
    @pytest.mark.parametrize("more", [b"", PINGS])
    def test_a_pause_after_an_unusual_event(
        self, path: str, more: bytes
    ) -> None:
        first = EVENTS[0] + UNUSUAL + more
        odd = Answer(
            until=1,
            more=UNUSUAL + more + LAST,
            first_bytes=len(first),
            pause_s=3.0,
        )
        rest = Answer(until=0, more=LAST)
        endpoints = Endpoints([Answer()] * 40 + [odd, rest])
        play = Play(requests=41, path=path, alike=False)
        play.run(endpoints)
        body = body_of(play.callers[-1].data)
        assert body == ("200", first + LAST, True)
        # Such a pause lets one that may go on do so elsewhere.
        assert endpoints.sends[40:] == ([0, 2] if path == "/talk/" else [0])

    # Guards against an event that waits as long as no other follows.
    def test_the_wait_is_bounded(self, path: str) -> None:
        first = EVENTS[0] + UNUSUAL
        odd = Answer(
            until=1,
            more=UNUSUAL + LAST,
            first_bytes=len(first),
            pause_s=9.0,
        )
        endpoints = Endpoints([Answer()] * 40 + [odd], count=1)
        play = Play(requests=41, path=path, alike=False, deadline_s=1.9)
        play.run(endpoints)
        got = body_of(play.callers[-1].data)
        assert got == ("200", first, False)
