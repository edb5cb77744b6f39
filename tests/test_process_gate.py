"""Streams go on only at processes that are known to be the listed ones."""

from __future__ import annotations

import pytest

from bulrushstream.coordination.endpointpool import LIST_LAG_S
from bulrushstream.daemon.processgate import MAX_HOLD_S
from tests.checkedstreams import EVENTS, WHOLE, Answer, Endpoints
from tests.listedprocesses import (
    SCRIPTED,
    ListedPlay,
    chunks,
    read_list,
    replace_all,
)
from tests.test_repeated_refusals import body_of

BROKEN = Answer(until=2, resets=True)
BEGUN = b"".join(EVENTS[:2])
READ_S = LIST_LAG_S + 0.2
SOON_S = 0.6


def play_break(play: ListedPlay, *rest: Answer) -> tuple[bytes, bool, float]:
    """Play a stream that breaks; return its body, if whole, and its end."""
    endpoints = Endpoints([BROKEN, *(rest or (Answer(),))])
    caller = play.run(endpoints)
    _, body, whole = body_of(caller.data)
    return body, whole, play.ended_s[0]


class ProcessGateSuite:
    # Guards against events of a process that the list does not name yet.
    def test_an_answer_waits_until_the_list_shows_its_process(self) -> None:
        play = ListedPlay(at_s=READ_S, do=read_list)
        body, whole, ended_s = play_break(play)
        assert (body, whole) == (WHOLE, True)
        assert READ_S <= ended_s <= MAX_HOLD_S

    # Guards against a list that is believed before it can name the process.
    def test_a_list_that_is_read_too_early(self) -> None:
        play = ListedPlay(at_s=LIST_LAG_S / 2, do=read_list)
        body, whole, _ = play_break(play)
        assert (body, whole) == (BEGUN, False)

    # Guards against a stream that goes on at the next process under an id.
    def test_a_process_of_another_version(self) -> None:
        play = ListedPlay(at_s=0.3, do=replace_all)
        body, whole, ended_s = play_break(play)
        assert (body, whole) == (BEGUN, False)
        assert ended_s <= SOON_S

    # Guards against a caller who waits for what is never shown.
    def test_the_wait_is_bounded(self) -> None:
        body, whole, ended_s = play_break(ListedPlay())
        assert (body, whole) == (BEGUN, False)
        assert ended_s <= 2 * MAX_HOLD_S + SOON_S

    # Guards against a wait where the process itself tells who it is.
    def test_a_process_that_tells_its_start(self) -> None:
        body, whole, ended_s = play_break(ListedPlay(reports=True))
        assert (body, whole) == (WHOLE, True)
        assert ended_s <= SOON_S

    # Guards against a wait where each process has an id of its own.
    def test_ids_that_are_not_used_again(self) -> None:
        body, whole, ended_s = play_break(ListedPlay(born=""))
        assert (body, whole) == (WHOLE, True)
        assert ended_s <= SOON_S

    # Guards against a wait on a connection from before the list was read.
    def test_a_connection_that_is_older_than_the_list(self) -> None:
        play = ListedPlay(requests=41)
        endpoints = Endpoints([Answer()] * 40 + [BROKEN, Answer()])
        play.run(endpoints)
        assert body_of(play.callers[-1].data)[1:] == (WHOLE, True)
        assert play.ended_s[-1] <= SOON_S

    # Guards against an answer that breaks while it is held back, and against
    # the loss or the doubling of events that were.
    @pytest.mark.parametrize("first_bytes", (0, 20))
    def test_an_answer_that_breaks_while_it_is_held(
        self, first_bytes: int
    ) -> None:
        play = ListedPlay(at_s=READ_S + 0.3, do=read_list)
        again = Answer(until=3, resets=True, first_bytes=first_bytes)
        body, whole, _ = play_break(play, again, Answer())
        assert WHOLE.startswith(body)
        assert len(body) >= len(BEGUN)
        assert whole == (body == WHOLE)

    # Guards against a caller who left, and an answer that is held for him.
    def test_a_caller_who_leaves_meanwhile(self) -> None:
        play = ListedPlay(deadline_s=0.5)
        body, whole, ended_s = play_break(play)
        assert (body, whole) == (BEGUN, False)
        assert ended_s <= 0.5

    # Guards against events of an attempt that was given up for an earlier one.
    @pytest.mark.parametrize("reports", (False, True))
    def test_an_answer_that_is_spoiled_while_it_is_held(
        self, reports: bool
    ) -> None:
        foreign = b"id: 4\ndata: foreign\n\n"
        body = chunks(EVENTS[2], EVENTS[0], foreign) + b"0\r\n\r\n"
        spoiled = Answer(headers=SCRIPTED, more=body)
        play = ListedPlay(reports=reports, at_s=READ_S, do=read_list)
        received, _, _ = play_break(play, spoiled, Answer())
        assert WHOLE.startswith(received)

    # Guards against an endpoint that hangs after its answer was held back.
    def test_an_endpoint_that_hangs_afterwards(self) -> None:
        hangs = Answer(headers=SCRIPTED)
        play = ListedPlay(reports=True, deadline_s=8.0)
        body, whole, ended_s = play_break(play, hangs, Answer())
        assert (body, whole) == (WHOLE, True)
        assert ended_s <= play.deadline_s / 2
