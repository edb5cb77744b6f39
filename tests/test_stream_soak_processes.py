"""The order and the ends of streams of real routers under random faults.

Guards against streams in which events are missing, come twice or belong to
two runs, and against streams that look complete and are not.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest

from tests.eventshapes import PLAIN, Shape
from tests.eventstreams import LINE_ENDS
from tests.processsoak import play_soak
from tests.soakendpoints import EVENTS, SPOILINGS, Behaviour
from tests.spoilings import Spoiling
from tests.streamjudge import Answer, judge


class StreamSoakSuite:
    @pytest.mark.parametrize("seed", (1, 2))
    async def test_random_faults(self, seed: int, tmp_path: Path) -> None:
        """Guards against streams out of order that only processes show."""
        soak = await play_soak(seed, tmp_path, Behaviour())
        assert soak.wrong == [], soak.summary
        # Callers must be served, too.
        assert soak.whole >= 0.3 * soak.streams

    # Guards against foreign bytes that go out as events, where lengths vary
    # so that no end is odd.
    async def test_foreign_bytes(self, tmp_path: Path) -> None:
        behaviour = Behaviour(spoilings=(Spoiling.FOREIGN,), varies=True)
        soak = await play_soak(4, tmp_path, behaviour)
        assert soak.wrong == [], soak.summary
        assert soak.whole >= 0.3 * soak.streams

    async def test_spoiled_and_hanging_streams(self, tmp_path: Path) -> None:
        """Guards against bytes passed on that are no stream of events."""
        behaviour = Behaviour(
            spoilings=SPOILINGS,
            hang_share=0.1,
            shape=Shape(padding_bytes=10_000),
        )
        soak = await play_soak(3, tmp_path, behaviour, pausing_share=0.1)
        print(soak.summary)
        assert soak.wrong == [], soak.summary


class JudgeSuite:
    """Guards against a judge that passes over what is wrong."""

    @pytest.mark.parametrize("end", LINE_ENDS)
    @pytest.mark.parametrize(
        ("numbers", "runs", "resumable", "cut_bytes", "complete", "right"),
        [
            (range(1, 21), (1,), False, 0, True, True),
            (range(1, 15), (1,), False, 0, False, True),
            (range(1, 21), (1,), False, 4, False, True),
            (range(1, 21), (1, 2), True, 0, True, True),
            (range(1, 21), (1, 2), False, 0, True, False),
            (range(1, 20), (1,), True, 0, True, False),
            (range(1, 21), (1,), True, 2, True, False),
            (range(2, 21), (1,), True, 0, False, False),
            ((1, 2, 2), (1,), True, 0, False, False),
            ((1, 2, 4), (1,), True, 0, False, False),
            ((1, 2, 1), (1,), True, 0, False, False),
        ],
    )
    def test_an_answer_is_judged(
        self,
        end: bytes,
        numbers: Iterable[int],
        runs: tuple[int, ...],
        resumable: bool,
        cut_bytes: int,
        complete: bool,
        right: bool,
    ) -> None:
        body = b"".join(
            PLAIN.encode(number, runs[min(number // 9, len(runs) - 1)], end)
            for number in numbers
        )
        answer = Answer("200", "", body[: len(body) - cut_bytes], complete)
        found = judge("q1", answer, [], resumable, EVENTS)
        assert (found == []) == right

    def test_other_bytes(self) -> None:
        body = PLAIN.encode(1, 1, b"\n") + b"HTTP/1.1 200 OK\r\n\r\n"
        assert judge("q1", Answer("200", "", body), [], True, EVENTS)
