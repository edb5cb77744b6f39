"""Whole streams that are shorter than most of their kind (review/9).

Nobody can be asked whether one that may not be resumed is whole.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Final, cast

import pytest

from bulrushstream.coordination.endsigns import EndSigns
from bulrushstream.coordination.streamends import MIN_ALIKE_FOR_GOOD
from bulrushstream.daemon.endwatch import MIN_WATCH_S
from bulrushstream.daemon.front import Front
from bulrushstream.history.keptconnection import (
    KeptTransport,
    encode_response,
)
from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.connection import Connection, Following, Sink
from bulrushstream.transport.upstream import Pool
from tests.checkedstreams import WORK_S, Answer, Endpoints, Play
from tests.simulatedcallers import Caller
from tests.test_repeated_refusals import body_of

EVENTS: Final = [b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 31)]
USUAL: Final = Answer(30)
SHORT: Final = Answer(12)
LEARNED: Final = [USUAL] * 2 * MIN_ALIKE_FOR_GOOD


def play_tell(
    answers: list[Answer],
    *,
    do: Callable[[Front, Caller], None] | None = None,
    at_s: float = 0.0,
    deadline_s: float = 4.0,
) -> tuple[list[tuple[bytes, bool]], list[float]]:
    """Play streams that may not be resumed, one after the other.

    :param answers: those of the endpoints, in order
    :param do: is called for each request
    :param at_s: how long after the request
    :param deadline_s: how long callers wait
    :returns: what callers got, and how long each stream took
    """
    play = Play(
        requests=len(answers),
        path="/tell/",
        do=do,
        at_s=at_s,
        deadline_s=deadline_s,
    )
    play.run(Endpoints(answers, events=EVENTS))
    got = [body_of(each.data) for each in play.callers]
    return [(body, whole) for _, body, whole in got], play.ended_s


def whole(answer: Answer) -> tuple[bytes, bool]:
    """Return what a caller gets of a whole stream."""
    return b"".join(EVENTS[: answer.until]) + answer.more, True


def cut(answer: Answer) -> tuple[bytes, bool]:
    """Return what a caller gets of a stream that is broken off."""
    return b"".join(EVENTS[: answer.until]), False


def stop_at(number: int) -> Callable[[Front, Caller], None]:
    """Return what ends the requests whose ends are watched, as a stop does.

    :param number: the request for which it does so, from 1
    """
    numbers = count(1)

    def stop(front: Front, caller: Caller) -> None:
        if next(numbers) == number:
            for each in list(front.forwards):
                assert each.end_watch is not None
                each.stop()

    return stop


class WholeStreamSuite:
    # Guards against whole streams that are broken off as they are rare.
    @pytest.mark.parametrize("share", [0.005, 0.01, 0.02, 0.05, 0.1, 0.2])
    def test_none_is_lost(self, share: float) -> None:
        rng = random.Random(f"short {share}")
        answers = [
            Answer(rng.randint(0, 29)) if rng.random() < share else USUAL
            for _ in range(600)
        ]
        got, _ = play_tell(answers)
        assert got == [whole(each) for each in answers]

    # Guards against streams that are lost once they become shorter.
    def test_all_become_shorter(self) -> None:
        answers = LEARNED + [SHORT] * 100
        got, _ = play_tell(answers)
        assert got == [whole(each) for each in answers]

    # Guards against waits of usual streams, and long ones of short streams.
    def test_only_short_ones_wait(self) -> None:
        got, took_s = play_tell([*LEARNED, SHORT, USUAL])
        assert got[-2:] == [whole(SHORT), whole(USUAL)]
        usual_s, short_s = min(took_s), max(took_s)
        assert sum(each > usual_s + WORK_S for each in took_s) == 1
        assert 0 < short_s - usual_s - MIN_WATCH_S + 1e-6 <= WORK_S

    # Guards against whole streams that are cut by a stop or the deadline.
    def test_the_router_stops_meanwhile(self) -> None:
        answers = [*LEARNED, SHORT]
        stop = stop_at(len(answers))
        got, took_s = play_tell(answers, do=stop, at_s=0.06)
        assert got[-1] == whole(SHORT)
        assert max(took_s) < MIN_WATCH_S

    def test_the_deadline_is_reached_meanwhile(self) -> None:
        got, _ = play_tell([*LEARNED, SHORT], deadline_s=0.15)
        assert got[-1] == whole(SHORT)

    # Guards against whole streams that are doubted as their endpoint closes
    # connections, ends, or said that it would.
    def test_the_close_is_announced(self) -> None:
        ends = replace(SHORT, headers=b"Connection: close\r\n", closes=True)
        got, _ = play_tell([*LEARNED, ends, ends])
        assert got[-2:] == [whole(SHORT)] * 2

    def test_closes_are_usual(self) -> None:
        usual = replace(USUAL, closes=True, behind_s=0.01)
        ends = replace(SHORT, closes=True, behind_s=0.01)
        got, _ = play_tell([*[usual] * 64, ends, ends])
        assert got[-2:] == [whole(SHORT)] * 2

    def test_the_endpoint_leaves(self) -> None:
        leaving = b"Server-Leaving: 1\r\n"
        ends = replace(SHORT, headers=leaving, closes=True)
        got, _ = play_tell([*LEARNED, ends])
        assert got[-1] == whole(SHORT)

    # Guards against whole streams that are doubted as their endpoint answers
    # twice.
    @pytest.mark.parametrize("behind_s", [0.0, 0.05])
    def test_another_answer_follows(self, behind_s: float) -> None:
        extra = replace(
            SHORT, behind=b"HTTP/1.1 200 OK\r\n", behind_s=behind_s
        )
        got, _ = play_tell([*LEARNED, extra, extra])
        assert got[-2:] == [whole(SHORT)] * 2

    # Guards against a last event with an error that is taken for a damaged
    # one, as it has no id and comes at the end of short streams only.
    def test_a_last_event_tells_an_error(self) -> None:
        fails = replace(SHORT, more=b"event: error\ndata: stopped\n\n")
        got, _ = play_tell([*LEARNED, fails, fails])
        assert got[-2:] == [whole(fails)] * 2

    # Guards against services whose short streams have no framing, as all of
    # theirs have none.
    def test_no_stream_has_a_framing(self) -> None:
        usual, short = (
            replace(USUAL, framed=False),
            replace(SHORT, framed=False),
        )
        answers = [usual if n % 50 else short for n in range(1, 301)]
        got, _ = play_tell(answers)
        assert got == [whole(each) for each in answers]


class CutStreamSuite:
    # Guards against cut streams that pass for short ones.
    @pytest.mark.parametrize(
        "more",
        [
            {"behind": b"1f\r\nid: 13\ndata: x13\n\n\r\n"},
            {"behind": b"0\r\n\r\n", "behind_s": 0.0},
            {"closes": True},
            {"closes": True, "behind_s": 0.0},
        ],
    )
    def test_its_connection_shows_it(self, more: dict[str, bytes]) -> None:
        cuts = replace(SHORT, **more)  # type: ignore[arg-type]
        got, _ = play_tell([*LEARNED, cuts, USUAL, cuts])
        assert got[-3:] == [cut(SHORT), whole(USUAL), cut(SHORT)]

    def test_the_router_stops_behind_a_close(self) -> None:
        answers = [*LEARNED, replace(SHORT, closes=True)]
        got, _ = play_tell(answers, do=stop_at(len(answers)), at_s=0.085)
        assert got[-1] == cut(SHORT)

    # Guards against the rest of a stream with long pauses that comes late.
    def test_the_rest_comes_after_a_pause(self) -> None:
        cuts = replace(
            SHORT, first_bytes=40, pause_s=0.3, behind=b"id", behind_s=0.4
        )
        got, _ = play_tell([*LEARNED, cuts])
        assert got[-1] == cut(SHORT)

    # Guards against a damaged id that is passed on as an event without one.
    def test_the_last_id_is_damaged(self) -> None:
        damaged = replace(SHORT, more=b"d: 13\ndata: x13\n\n")
        got, _ = play_tell([*LEARNED, damaged])
        assert got[-1] == cut(SHORT)

    # Guards against answers that are cut where only their connection shows
    # it, while those with a framing are whole.
    def test_only_unframed_ones_are_short(self) -> None:
        cuts = [replace(SHORT, framed=False), *[USUAL] * 9] * 10
        got, _ = play_tell([*LEARNED, *cuts])
        assert got[len(LEARNED) :: 10] == [cut(SHORT)] * 10


class FollowingSuite:
    # Guards against bytes behind a whole stream in chunks that pass for its
    # rest, and a rest that does not.
    @pytest.mark.parametrize(
        ("behind", "following"),
        [
            (b"1f\r\nid: 13", Following.BYTES),
            (b"1", Following.BYTES),
            (b"0\r\n\r\n", Following.BYTES),
            (b"\r\n5;x=1\r\n", Following.BYTES),
            (b"HTTP/1.1 200 OK\r\n", Following.UNRELATED),
            (b"HT", Following.UNRELATED),
            (b"\x00\xffnot an answer", Following.UNRELATED),
        ],
    )
    def test_bytes_behind_chunks(
        self, behind: bytes, following: Following
    ) -> None:
        seen: list[Following] = []
        pool = Pool("10.0.0.1", 80, lambda: 0.0)
        connection = Connection(pool)
        connection.connection_made(KeptTransport())

        class Watching:
            def head(self, status: int, headers: RawHeaders) -> bool:
                return True

            def data(self, data: bytes) -> None:
                pass

            def end(self, *, framed: bool = True) -> None:
                connection.watch_following(seen.append, reserve=True)

        connection.send(b"POST", b"", cast(Sink, Watching()))
        connection.data_received(encode_response(200, [], [b"id: 12\n\n"]))
        connection.data_received(behind)
        assert seen == [following]


class EndSignSuite:
    # Guards against short streams without a framing that are lost though
    # those with one are as often short: a router may err once.
    @pytest.mark.parametrize("unframed", [0.1, 0.5, 1.0])
    @pytest.mark.parametrize("short", [0.005, 0.02, 0.1])
    def test_short_ones_are_believed(
        self, short: float, unframed: float
    ) -> None:
        routers, lost = 40, 0
        for seed in range(routers):
            rng, signs = random.Random(seed), EndSigns()
            for _ in range(1_000):
                framed, odd = rng.random() >= unframed, rng.random() < short
                signs.add_end("s", framed=framed, odd=odd)
                suspicious = signs.is_unframed_suspicious("s")
                lost += odd and not framed and suspicious
        assert lost <= routers

    # Guards against cuts without a framing that are taken for short streams.
    @pytest.mark.parametrize("share", [0.01, 0.05, 0.3])
    def test_cuts_are_found(self, share: float) -> None:
        rng, signs = random.Random(1), EndSigns()
        for _ in range(1_000):
            signs.add_end("s", framed=True, odd=False)
        believed = 0
        for _ in range(300):
            cut = rng.random() < share
            signs.add_end("s", framed=False, odd=cut)
            believed += cut and not signs.is_unframed_suspicious("s")
        assert not believed
