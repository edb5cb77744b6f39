"""Streams that live endpoints end with their connections.

Guards against a cut stream that looks whole, and against a whole one that is
given up, or costs more than it may.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front
from tests.checkedstreams import EVENTS, WHOLE, Answer, Endpoints, Play
from tests.simulatedcallers import Caller
from tests.test_repeated_refusals import body_of

ALL = len(EVENTS)
UNFRAMED = Answer(framed=False)
NOT_RUN = b"X-Not-Executed: 1\r\n"

# What may come of an attempt that goes on at the end of a whole stream: what
# shows that it is whole, and what shows nothing.
NOTHING_NEW = {
    "no events": Answer(),
    "no events, no length": UNFRAMED,
    "all events again": Answer(repeats=True),
    "all events again, no length": Answer(framed=False, repeats=True),
    "a part of them again, no length": Answer(3, framed=False, repeats=True),
    "a comment": Answer(more=b": ping\n\n"),
}
FAILURES = {
    "a part of an event": Answer(framed=False, more=b"id: 5\nda"),
    "204": Answer(status=b"204 No Content"),
    "400": Answer(status=b"400 Bad Request"),
    "404, no length": Answer(status=b"404 Not Found", framed=False),
    "421": Answer(status=b"421 Misdirected Request", headers=NOT_RUN),
    "500": Answer(status=b"500 Error"),
    "503": Answer(status=b"503 Full", headers=NOT_RUN),
    "503 that may have run": Answer(status=b"503 Full"),
    "a reset": Answer(resets=True),
    "silence": Answer(hangs=True),
}


class CutStreamSuite:
    @pytest.mark.parametrize("repeats", [False, True])
    @pytest.mark.parametrize("framed", [False, True])
    @pytest.mark.parametrize("cut_at", range(1, ALL))
    def test_it_goes_on(
        self, cut_at: int, framed: bool, repeats: bool
    ) -> None:
        """Guards against a live endpoint's cut that passes for an end."""
        rest = Answer(framed=framed, repeats=repeats)
        endpoints = Endpoints([Answer(cut_at, framed=False), rest])
        caller = Play().run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert endpoints.sends == [0, cut_at] + [ALL] * (not framed)

    def test_the_rest_breaks_off(self) -> None:
        """Guards against the end of a stream that is known to be cut."""
        endpoints = Endpoints(
            [Answer(1, framed=False), Answer(2, resets=True)]
        )
        caller = Play().run(endpoints)
        assert body_of(caller.data) == ("200", b"".join(EVENTS[:2]), False)
        assert endpoints.sends == [0, 1, 2]

    def test_nothing_proves_its_end_and_the_rest_is_cut(self) -> None:
        """Guards against an empty body that passes for a proof."""
        cuts = [Answer(2, framed=False), Answer(0, framed=False)]
        endpoints = Endpoints([*cuts, Answer()])
        caller = Play(known=False).run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert endpoints.sends == [0, 2, 2]

    # The cut of the answer that checks it, too, passed for the end.
    def test_its_check_is_cut_at_the_head(self) -> None:
        cuts = [Answer(2, framed=False), Answer(0, framed=False)]
        endpoints = Endpoints([*cuts, Answer()])
        caller = Play().run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert endpoints.sends == [0, 2, 2]

    # Without an id in what came last, the cut passed for the end.
    @pytest.mark.parametrize(
        ("end", "more"),
        [(b"\n", b": ping\n\n"), (b"\n", b"\n"), (b"\r\n", b"")],
        ids=["a comment", "an empty line", "a line feed"],
    )
    def test_what_came_last_has_no_id(self, end: bytes, more: bytes) -> None:
        events = [each.replace(b"\n", end) for each in EVENTS]
        begun = len(b"".join(events[:2]))
        first_bytes = begun if more else begun - 1
        cut = Answer(2, framed=False, more=more, first_bytes=first_bytes)
        endpoints = Endpoints([cut, Answer()], events=events)
        caller = Play().run(endpoints)
        events.insert(2, more)
        assert body_of(caller.data) == ("200", b"".join(events), True)
        assert endpoints.sends == [0, 2]

    # Events that its caller has, and no others, passed for the whole stream.
    def test_nothing_new_came_of_a_stream_taken_up(self) -> None:
        cut = Answer(3, framed=False, repeats=True)
        endpoints = Endpoints([cut, Answer()])
        caller = Play(after=3).run(endpoints)
        assert body_of(caller.data) == ("200", b"".join(EVENTS[3:]), True)
        assert endpoints.sends == [3, 3]

    # Its check waited for the caller's room until its time was over.
    @pytest.mark.parametrize(
        "rest",
        [
            Answer(repeats=True, first_bytes=len(EVENTS[0])),
            Answer(first_bytes=3),
        ],
        ids=["events again", "a part of an event"],
    )
    def test_its_caller_is_slow(self, rest: Answer) -> None:
        def fill(front: Front, caller: Caller) -> None:
            for forward in list(front.forwards):
                forward.exchange.full = True

        endpoints = Endpoints([Answer(3, framed=False), rest])
        caller = Play(at_s=0.1, do=fill).run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert endpoints.sends == [0, 3]

    @pytest.mark.parametrize("name", sorted(FAILURES.keys() - {"silence"}))
    def test_its_check_fails_once(self, name: str) -> None:
        """Guards against a cut that a failed check lets pass for an end."""
        endpoints = Endpoints(
            [
                Answer(2, framed=False),
                replace(FAILURES[name], until=2),
                Answer(),
            ]
        )
        caller = Play().run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert endpoints.sends == [0, 2, 2]

    def test_callers_of_http_1_0(self) -> None:
        endpoints = Endpoints([Answer(2, framed=False), Answer()])
        caller = Play(old_caller=True).run(endpoints)
        assert caller.data.endswith(b"\r\n\r\n" + WHOLE)
        assert caller.ended and not caller.aborted

    def test_a_stream_that_its_caller_took_up(self) -> None:
        endpoints = Endpoints([Answer(3, framed=False), Answer()])
        caller = Play(after=2).run(endpoints)
        assert body_of(caller.data) == ("200", b"".join(EVENTS[2:]), True)
        assert endpoints.sends == [2, 3]


class WholeStreamSuite:
    @pytest.mark.parametrize("name", NOTHING_NEW)
    def test_it_is_not_given_up(self, name: str) -> None:
        """Guards against a whole stream that its check breaks off."""
        endpoints = Endpoints([UNFRAMED, NOTHING_NEW[name]])
        caller = Play().run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert endpoints.sends == [0, ALL] + [ALL] * (
            not NOTHING_NEW[name].framed
        )

    @pytest.mark.parametrize("name", FAILURES)
    def test_its_checks_fail(self, name: str) -> None:
        """Guards against a whole stream that failed checks break off."""
        endpoints = Endpoints([UNFRAMED, FAILURES[name]])
        caller = Play().run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        silent = FAILURES[name].hangs
        assert endpoints.sends == [0, ALL] + [ALL] * (not silent)

    # The connections that could prove its end were closed.
    @pytest.mark.parametrize("path", ["/talk/", "/tell/"])
    def test_its_endpoint_is_removed_amid_it(self, path: str) -> None:
        def remove(front: Front, caller: Caller) -> None:
            for forward in list(front.forwards):
                assert forward.attempt is not None
                name = forward.attempt.endpoint.name
                platformupdates.remove_endpoint(front, name)

        cut = Answer(framed=False, first_bytes=len(EVENTS[0]))
        play = Play(path=path, at_s=0.03, do=remove)
        caller = play.run(Endpoints([cut, Answer()], count=1))
        assert body_of(caller.data) == ("200", WHOLE, True)

    # Answers that are cut within their heads passed for ends of streams.
    def test_nothing_proves_its_end(self) -> None:
        caller = Play(known=False).run(Endpoints([UNFRAMED]))
        assert body_of(caller.data) == ("200", WHOLE, False)

    @pytest.mark.parametrize("old_caller", [False, True])
    @pytest.mark.parametrize("deadline_s", [0.3, 0.6, 1.0, 4.0])
    def test_a_silent_check_ends_in_time(
        self, deadline_s: float, old_caller: bool
    ) -> None:
        """Guards against a deadline that cuts a whole stream's end off."""
        play = Play(deadline_s=deadline_s, old_caller=old_caller)
        caller = play.run(Endpoints([UNFRAMED, Answer(hangs=True)]))
        assert not caller.aborted
        assert play.ended_s[0] <= min(deadline_s, 2.5)
        assert WHOLE in caller.data or body_of(caller.data)[2]

    def test_the_router_stops(self) -> None:
        """Guards against a stop that breaks a whole stream off."""

        def stop(front: Front, caller: Caller) -> None:
            for forward in list(front.forwards):
                assert forward.end_check is not None
                forward.stop()

        play = Play(at_s=0.5, do=stop)
        caller = play.run(Endpoints([UNFRAMED, Answer(hangs=True)]))
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert play.ended_s == [pytest.approx(0.5)]

    def test_the_caller_leaves(self) -> None:
        """Guards against checks that run on without their callers."""
        endpoints = Endpoints([UNFRAMED, Answer(hangs=True)])

        def leave(front: Front, caller: Caller) -> None:
            for forward in list(front.forwards):
                assert forward.exchange.on_disconnect is not None
                forward.exchange.on_disconnect()
            assert not endpoints.closed

        Play(at_s=0.5, do=leave).run(endpoints)
        assert endpoints.closed == 1

    # It ended once more, as run, when its check's time was over.
    def test_a_request_whose_caller_left_ends_once(self) -> None:
        fronts: list[Front] = []

        def leave(front: Front, caller: Caller) -> None:
            fronts.append(front)
            for forward in list(front.forwards):
                assert forward.end_check is not None
                forward.exchange.ended = True
                assert forward.exchange.on_disconnect is not None
                forward.exchange.on_disconnect()

        play = Play(at_s=0.5, do=leave)
        play.run(Endpoints([UNFRAMED, Answer(hangs=True)]))
        counts = [
            (sample.labels["outcome"], sample.value)
            for metric in fronts[0].metrics.requests.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        ]
        assert counts == [("unknown", 1.0)]


class BoundSuite:
    """What is not checked: its end is believed, as its endpoint lives."""

    @pytest.mark.parametrize(
        "play",
        [
            Play(path="/tell/"),
            Play(retry_slack=1.3, retry_ratio=0.0),
            Play(deadline_s=0.25),
        ],
        ids=["may not go on", "no budget", "no time"],
    )
    def test_no_check(self, play: Play) -> None:
        endpoints = Endpoints([UNFRAMED])
        caller = play.run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert endpoints.sends == [0]

    def test_events_without_ids(self) -> None:
        """Guards against a last event that comes twice."""
        events = [*EVENTS, b"data: [DONE]\n\n"]
        answer = Answer(len(events), framed=False)
        endpoints = Endpoints([answer], events=events)
        caller = Play().run(endpoints)
        assert body_of(caller.data) == ("200", b"".join(events), True)
        assert endpoints.sends == [0]

    def test_attempts_are_bounded(self) -> None:
        """Guards against a stream that goes on for ever."""
        cuts = [Answer(number, framed=False) for number in range(1, ALL)]
        endpoints = Endpoints(cuts)
        Play().run(endpoints)
        assert endpoints.sends == [0, 1, 2]

    @pytest.mark.parametrize("failure", ["500", "503", "421", "a reset"])
    def test_failed_checks_are_bounded(self, failure: str) -> None:
        """Guards against checks that use up the retry budget in vain."""
        endpoints = Endpoints([UNFRAMED, FAILURES[failure]])
        caller = Play(path="/often/").run(endpoints)
        assert body_of(caller.data) == ("200", WHOLE, True)
        assert endpoints.sends == [0, ALL, ALL]

    def test_a_part_of_the_budget_is_left(self) -> None:
        """Guards against checks that leave no retries to what fails."""
        endpoints = Endpoints([UNFRAMED])
        play = Play(
            requests=100, retry_slack=0.0, retry_ratio=0.2, alike=False
        )
        play.run(endpoints)
        assert 10 <= len(endpoints.sends) - 100 <= 15
        assert all(each.ended and not each.aborted for each in play.callers)

    def test_endpoints_without_lengths(self) -> None:
        """Guards against checks of every answer of an HTTP/1.0 server."""
        endpoints = Endpoints([UNFRAMED], count=1)
        play = Play(requests=400, retry_ratio=2.0, alike=False)
        play.run(endpoints)
        checks = endpoints.sends.count(ALL)
        assert 32 <= checks <= 32 + 368 / 16 * 2
        assert all(each.ended and not each.aborted for each in play.callers)
