"""Streams that end in good framing, but not as others of their kind do."""

from __future__ import annotations

import asyncio

import pytest

from bulrushstream.coordination.streamends import (
    MAX_KINDS,
    MIN_ALIKE,
    MIN_ALIKE_FOR_GOOD,
    EndKind,
    StreamEnd,
    StreamEnds,
)
from bulrushstream.daemon.front import Front
from bulrushstream.transport.probe import ask_identity
from bulrushstream.transport.upstream import Pool
from tests.checkedstreams import EVENTS, WHOLE, Answer, Endpoints, Play
from tests.simulatedcallers import Caller
from tests.test_life_proofs import ADDRESS, REQUEST, Server
from tests.test_repeated_refusals import body_of
from tests.virtualnetwork import NetworkLoop, run_in_network

ALL = len(EVENTS)
LAST = b"event: end\ndata: {}\n\n"
MANY = [b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 70)]


def distrust(front: Front, caller: Caller) -> None:
    """Let all endpoints have spoiled an answer."""
    for endpoint in front.pool.by_name.values():
        endpoint.spoiled_s = front.clock()


class OddEndSuite:
    """Guards against a stream that a last chunk amid it lets look whole."""

    def test_it_goes_on(self) -> None:
        usual = [Answer()] * MIN_ALIKE
        endpoints = Endpoints([*usual, Answer(2), Answer()])
        play = Play(requests=MIN_ALIKE + 1)
        play.run(endpoints)
        assert body_of(play.callers[-1].data) == ("200", WHOLE, True)
        assert endpoints.sends[MIN_ALIKE:] == [0, 2]

    # Without an attempt left, or time or budget for it, the caller may go on.
    def test_it_is_broken_off_if_it_can_not_go_on(self) -> None:
        usual = [Answer()] * MIN_ALIKE
        cuts = [Answer(until=number) for number in (2, 3, 4)]
        endpoints = Endpoints([*usual, *cuts])
        play = Play(requests=MIN_ALIKE + 1)
        play.run(endpoints)
        body = b"".join(EVENTS[:4])
        assert body_of(play.callers[-1].data) == ("200", body, False)
        assert endpoints.sends[MIN_ALIKE:] == [0, 2, 3]

    def test_it_lacks_the_usual_last_event(self) -> None:
        events = [*MANY, LAST]
        usual = [Answer(until=number, more=LAST) for number in range(2, 50)]
        endpoints = Endpoints([*usual, Answer(60), Answer(70)], events=events)
        play = Play(requests=len(usual) + 1)
        play.run(endpoints)
        body = b"".join(events)
        assert body_of(play.callers[-1].data) == ("200", body, True)
        assert endpoints.sends[len(usual) :] == [0, 60]


class SpoilingEndpointSuite:
    """Guards against early ends at endpoints that just spoiled an answer."""

    @staticmethod
    def play(
        play: Play, endpoints: Endpoints
    ) -> list[tuple[str, bytes, bool]]:
        """Return what callers got; the first endpoint spoils its answers."""
        play.at_s, play.do = 0.0, distrust
        play.run(endpoints)
        return [body_of(each.data) for each in play.callers]

    def test_a_stream_that_may_go_on(self) -> None:
        endpoints = Endpoints([Answer(2), Answer()])
        assert self.play(Play(), endpoints) == [("200", WHOLE, True)]
        assert endpoints.sends == [0, 2, ALL]

    def test_another_is_broken_off_if_its_end_is_odd(self) -> None:
        usual = [Answer()] * MIN_ALIKE_FOR_GOOD
        endpoints = Endpoints([*usual, Answer(2)])
        play = Play(requests=len(usual) + 1, path="/tell/")
        got = self.play(play, endpoints)
        assert got[-1] == ("200", b"".join(EVENTS[:2]), False)
        assert {each[2] for each in got[:-1]} == {True}

    def test_whole_streams_are_checked_rarely(self) -> None:
        endpoints = Endpoints([Answer()], count=1)
        play = Play(requests=200, alike=False, retry_ratio=2.0)
        got = self.play(play, endpoints)
        assert got == [("200", WHOLE, True)] * 200
        assert 204 <= len(endpoints.sends) <= 204 + 200 / 16 * 2

    # Bytes behind an answer that is over, as the rest of its stream.
    @pytest.mark.parametrize(
        ("rest", "spoils"),
        [
            (b"1f\r\nid: 4\ndata: x\n\n", True),
            (b"\0\xffnot an answer", True),
            (b"HTTP/1.1 200 OK\r\n", False),
            (b"HT", False),
            (b"\r\n", False),
        ],
    )
    def test_bytes_behind_an_answer(self, rest: bytes, spoils: bool) -> None:
        async def run(loop: NetworkLoop) -> None:
            server = Server()
            loop.listeners[ADDRESS] = server.accept
            pool = Pool(*ADDRESS, loop.time)
            await ask_identity(pool, REQUEST, 1.0)
            server.transports[0].send(rest)
            await asyncio.sleep(0.1)
            assert (pool.spoiled_s > 0) == spoils
            pool.close()

        assert run_in_network(run) == []


class UsualEndSuite:
    """Guards against whole streams that cost more, or are given up."""

    @pytest.mark.parametrize("path", ["/talk/", "/tell/"])
    def test_lengths_vary(self, path: str) -> None:
        answers = [Answer(until=2 + n * 7 % 50) for n in range(200)]
        endpoints = Endpoints(answers, events=MANY)
        play = Play(requests=200, path=path)
        play.run(endpoints)
        assert endpoints.sends == [0] * 200
        assert all(body_of(each.data)[2] for each in play.callers)

    def test_few_are_shorter(self) -> None:
        answers = [Answer(60 if n % 50 else 30) for n in range(400)]
        endpoints = Endpoints(answers, events=MANY)
        play = Play(requests=380)
        play.run(endpoints)
        assert len(endpoints.sends) <= 380 + 8
        assert all(body_of(each.data)[2] for each in play.callers)

    # Nobody can be asked for the rest; believed, the caller has a wrong
    # answer.  An endpoint's first fault counts like its later ones.
    @pytest.mark.parametrize(
        "cut",
        [
            Answer(2, behind=b"id: 3"),
            Answer(2, behind=b"\r\n0\r\n\r\n"),
            Answer(2, closes=True, behind_s=0.0),
            Answer(2, framed=False),
        ],
    )
    def test_a_cut_that_may_not_go_on_is_broken_off(self, cut: Answer) -> None:
        usual = [Answer()] * MIN_ALIKE_FOR_GOOD
        endpoints = Endpoints([*usual, cut])
        play = Play(requests=len(usual) + 1, path="/tell/")
        play.run(endpoints)
        body = b"".join(EVENTS[:2])
        assert body_of(play.callers[-1].data) == ("200", body, False)

    # Guards against lawful streams that are broken off as their last event
    # has no id and is held back until the end.
    @pytest.mark.parametrize("path", ["/talk/", "/tell/"])
    def test_a_last_event_without_an_id(self, path: str) -> None:
        done = b"data: [DONE]\n\n"
        answers = [Answer(2 + n * 7 % 50, more=done) for n in range(200)]
        endpoints = Endpoints(answers, count=1, events=MANY)
        play = Play(requests=200, path=path)
        play.run(endpoints)
        assert all(body_of(each.data)[2] for each in play.callers)

    # Guards against an empty stream that is passed on as whole.
    def test_an_empty_one_is_asked_for_again(self) -> None:
        usual = [Answer()] * MIN_ALIKE
        endpoints = Endpoints([*usual, Answer(0), Answer()])
        play = Play(requests=MIN_ALIKE + 1)
        play.run(endpoints)
        assert body_of(play.callers[-1].data) == ("200", WHOLE, True)

    # Guards against a cut that is believed as an attempt before it broke.
    def test_a_cut_after_a_break(self) -> None:
        usual = [Answer()] * MIN_ALIKE
        cuts = [Answer(2, resets=True), Answer(2, repeats=True)]
        endpoints = Endpoints([*usual, *cuts, Answer()])
        play = Play(requests=MIN_ALIKE + 1)
        play.run(endpoints)
        assert body_of(play.callers[-1].data) == ("200", WHOLE, True)

    # A check of an end without a length that all streams of its kind have.
    def test_a_usual_end_needs_no_check(self) -> None:
        usual = [Answer()] * MIN_ALIKE
        endpoints = Endpoints([*usual, Answer(framed=False)])
        play = Play(requests=MIN_ALIKE + 1)
        play.run(endpoints)
        assert body_of(play.callers[-1].data) == ("200", WHOLE, True)
        assert endpoints.sends[MIN_ALIKE:] == [0]


class LearningSuite:
    def test_surprises_make_it_learn_for_longer(self) -> None:
        """Guards against odd ends that cost a check each time."""
        ends, checks = StreamEnds(), 0
        for number in range(2000):
            end = StreamEnd("llm", 20, 30 if number % 40 else 10, b"")
            odd = ends.kind_of(end) is EndKind.ODD
            checks += odd
            ends.add_whole(end, checked=odd)
        assert checks <= 5

    # Guards against callers who name ever new limits, so that what others
    # have shown is forgotten.
    def test_a_kind_in_use_is_remembered(self) -> None:
        ends = StreamEnds()
        for number in range(2 * MAX_KINDS):
            ends.add_whole(StreamEnd("llm", 20, 30, b"x"))
            ends.add_whole(StreamEnd("llm", 1000 + number, number, b"x"))
            seen = ends.kind_of(StreamEnd("llm", 20, 10, b"x"))
            assert number < MIN_ALIKE or seen is EndKind.ODD
            seen = ends.kind_of(StreamEnd("llm", 1, 10, b"y"))
            assert number < MIN_ALIKE or seen is EndKind.ODD

    def test_shorter_streams_are_learned(self) -> None:
        """Guards against a distrusted endpoint whose streams are all lost."""
        ends = StreamEnds()
        lost = []
        for number in range(400):
            end = StreamEnd("llm", 20, 30 if number < 200 else 20, b"")
            kind = ends.kind_of(end, resumable=False, distrusted=True)
            if kind is EndKind.ODD:
                ends.add_broken(end)
                lost.append(number)
            else:
                ends.add_whole(end)
        assert not lost or lost[-1] < 200 + MIN_ALIKE_FOR_GOOD

    # Cuts that were believed kept the usual end from being learned.
    def test_some_were_cut(self) -> None:
        ends, believed = StreamEnds(), 0
        for number in range(400):
            cut = number % 7 == 3
            end = StreamEnd("llm", 20, number % 20 if cut else 30, b"")
            if ends.kind_of(end) is not EndKind.ODD:
                ends.add_whole(end)
                believed += cut
        assert believed <= 20
