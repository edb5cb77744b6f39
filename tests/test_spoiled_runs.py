"""What of a spoiled answer routers are not to blame for.

Guards against a judge that excuses what a router could notice.
"""

from __future__ import annotations

import pytest

from tests.eventshapes import PLAIN
from tests.spoiledruns import LEARNING_STREAMS, SpoiledRuns, read_spoiled
from tests.spoilings import (
    End,
    Framing,
    WrittenAnswer,
    encode_answer,
    framing_header,
)
from tests.streamjudge import Fault, Finding

EVENTS = [PLAIN.encode(number, 1, b"\n") for number in range(1, 5)]


def answer_of(
    events: list[bytes], framing: Framing = Framing.CHUNKS
) -> WrittenAnswer:
    header = framing_header(framing, events)
    return encode_answer(
        b"HTTP/1.1 200 OK\r\n" + header + b"\r\n", events, framing
    )


class ReadingSuite:
    @pytest.mark.parametrize("framing", Framing)
    def test_a_right_answer(self, framing: Framing) -> None:
        reading = read_spoiled(answer_of(EVENTS, framing), 0)
        assert (reading.last, reading.whole, reading.flawed) == (
            4,
            True,
            False,
        )

    @pytest.mark.parametrize("framing", Framing)
    @pytest.mark.parametrize(
        "events",
        [
            EVENTS[:2] + EVENTS[3:],
            [*EVENTS[:2], b"data: run 1 piece 3\n\n", EVENTS[3]],
            [*EVENTS[:2], b"id: 3\n1f\r\ndata: run 1 piece 3\n\n", EVENTS[3]],
            [*EVENTS[:2], EVENTS[2][:-1], EVENTS[3]],
        ],
    )
    def test_a_flaw(self, events: list[bytes], framing: Framing) -> None:
        reading = read_spoiled(answer_of(events, framing), 0)
        assert (reading.last, reading.whole, reading.flawed) == (
            2,
            False,
            True,
        )

    def test_an_early_end(self) -> None:
        whole = answer_of(EVENTS[:2])
        reading = read_spoiled(whole, 0)
        assert (reading.last, reading.whole, reading.flawed) == (
            2,
            True,
            False,
        )
        later = WrittenAnswer((*whole.pieces, EVENTS[2]), End.NONE)
        assert read_spoiled(later, 0).flawed
        *pieces, last = whole.pieces
        at_once = WrittenAnswer((*pieces, last + EVENTS[2]), End.NONE)
        assert not read_spoiled(at_once, 0).whole


class BlameSuite:
    @pytest.mark.parametrize("knows", (True, False))
    def test_a_gap(self, knows: bool) -> None:
        """Guards against an excuse at a router that knows the ids."""
        runs = SpoiledRuns(0.0)
        for _ in range(LEARNING_STREAMS if knows else 0):
            runs.whole_run("r")
        answer = answer_of(EVENTS[:1] + EVENTS[2:])
        runs.begin("q", ("e", "r"), "lost", answer, 0, 0.0)
        gap = Finding(Fault.GAP, "q", 1, EVENTS[2].rstrip())
        assert len(runs.blame("q", [gap], True)) == knows
        # A run excuses one finding of a kind.
        assert len(runs.blame("q", [gap], True)) == 1

    def test_two_endpoints_agree(self) -> None:
        """Guards against an excuse by one endpoint that errs twice."""
        for names, blamed in (("ab", 0), ("aa", 1)):
            runs = SpoiledRuns(0.0)
            for _ in range(LEARNING_STREAMS):
                runs.whole_run("r")
            answer = answer_of(EVENTS[:1] + EVENTS[2:])
            for name in names:
                runs.begin("q", (name, "r"), "lost", answer, 0, 0.0)
            gap = Finding(Fault.GAP, "q", 1, EVENTS[2].rstrip())
            assert len(runs.blame("q", [gap], True)) == blamed

    @pytest.mark.parametrize("resumable", (True, False))
    def test_an_early_end(self, resumable: bool) -> None:
        """Guards against an excuse after flaws of the same endpoint."""
        runs = SpoiledRuns(1.0)
        flawed = answer_of(EVENTS[1:])
        run = runs.begin("q1", ("e", "r"), "lost", flawed, 0, 0.0)
        runs.end(run, len(flawed.pieces), 1.0)
        end = answer_of(EVENTS[:2])
        for name, now_s in (("q2", 1.5), ("q3", 2.5)):
            runs.begin(name, ("e", "r"), "last_chunk", end, 0, now_s)
            early = Finding(Fault.EARLY_END, name, 2)
            blamed = resumable and name == "q3"
            assert len(runs.blame(name, [early], resumable)) == blamed
