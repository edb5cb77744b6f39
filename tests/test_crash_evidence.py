"""Verdicts on broken runs: whether the endpoint ended or lost an answer."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bulrushstream.coordination.crashevidence import (
    GIVE_UP_S,
    SETTLE_S,
    SILENT_S,
    BrokenRun,
    Verdict,
    judge_run,
)
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.daemon.crashwatch import LIST_LAG_S, CrashWatch
from bulrushstream.state.call import AnswerProgress
from bulrushstream.state.effect import Decision
from bulrushstream.state.endpointsigns import ConnectionsSeen, Sign
from bulrushstream.transport.upstream import Pool
from tests.deployments import an_entry

CLOSED = BrokenRun("q1", 77, 1.0, False, False, AnswerProgress.BODY)
SILENT = replace(CLOSED, silent=True)
ALONE = ConnectionsSeen(ended=1, open=0, heard=False)


def verdict(
    run: BrokenRun,
    seen: ConnectionsSeen,
    signs: dict[Sign, float],
    after_s: float = SETTLE_S,
) -> Verdict:
    return judge_run(run, seen, signs, run.broke_s + after_s).verdict


class VerdictSuite:
    @pytest.mark.parametrize("run", (CLOSED, SILENT))
    @pytest.mark.parametrize("progress", AnswerProgress)
    @pytest.mark.parametrize(
        "sign", (Sign.REFUSED, Sign.OTHER_INSTANCE, Sign.REMOVED)
    )
    def test_signs_of_an_end_count_however_far_the_answer_was(
        self, run: BrokenRun, progress: AnswerProgress, sign: Sign
    ) -> None:
        run = replace(run, progress=progress)
        assert verdict(run, ALONE, {sign: 1.1}, 0.1) is Verdict.ENDED

    @pytest.mark.parametrize(
        "sign", (Sign.REFUSED, Sign.OTHER_INSTANCE, Sign.REMOVED)
    )
    def test_an_endpoint_that_leaves_may_lose_an_answer(
        self, sign: Sign
    ) -> None:
        """Guards against a closed port taken for the end of its process."""
        seen = ConnectionsSeen(ended=1, open=2, heard=False)
        assert verdict(CLOSED, seen, {sign: 1.1}, 0.1) is Verdict.OPEN
        assert verdict(CLOSED, seen, {sign: 1.1}) is Verdict.LIVES

    def test_signs_from_before_the_break_do_not_count(self) -> None:
        assert verdict(CLOSED, ALONE, {Sign.REFUSED: 0.9}) is Verdict.OPEN

    @pytest.mark.parametrize("run", (CLOSED, SILENT))
    @pytest.mark.parametrize("sign", Sign)
    def test_a_connection_that_goes_on_shows_that_it_lives(
        self, run: BrokenRun, sign: Sign
    ) -> None:
        seen = ConnectionsSeen(ended=9, open=1, heard=True)
        assert verdict(run, seen, {sign: 1.1}) is Verdict.LIVES

    @pytest.mark.parametrize(
        ("ended", "still_open", "expected"),
        (
            (1, 1, Verdict.LIVES),
            (1, 5, Verdict.LIVES),
            (2, 0, Verdict.ENDED),
            (6, 1, Verdict.ENDED),
            (2, 1, Verdict.OPEN),
            (1, 0, Verdict.OPEN),
        ),
    )
    def test_connections_that_end_together(
        self, ended: int, still_open: int, expected: Verdict
    ) -> None:
        seen = ConnectionsSeen(ended, still_open, heard=False)
        assert verdict(CLOSED, seen, {}) is expected
        assert verdict(CLOSED, seen, {}, SETTLE_S / 2) is Verdict.OPEN

    @pytest.mark.parametrize(
        ("ended", "busy", "at_once", "expected"),
        (
            (2, 1, 1, Verdict.ENDED),
            (2, 2, 1, Verdict.OPEN),
            (5, 5, 1, Verdict.OPEN),
            (2, 2, 2, Verdict.ENDED),
        ),
    )
    def test_busy_connections_that_end_may_be_lost_answers(
        self, ended: int, busy: int, at_once: int, expected: Verdict
    ) -> None:
        """Guards against two lost answers that pass for a crash."""
        seen = ConnectionsSeen(
            ended, 0, heard=False, ended_busy=busy, ended_at_once=at_once
        )
        assert verdict(CLOSED, seen, {}) is expected

    def test_the_same_id_behind_a_single_connection_tells_nothing(
        self,
    ) -> None:
        signs = {Sign.SAME_INSTANCE: 1.1}
        assert verdict(CLOSED, ALONE, signs) is Verdict.UNKNOWN
        seen = ConnectionsSeen(ended=0, open=1, heard=False)
        after_s = SILENT_S + 1.0
        assert verdict(SILENT, seen, signs, after_s) is Verdict.UNKNOWN

    def test_old_connections_are_silent_beside_new_ones(self) -> None:
        signs = {Sign.NO_ANSWER: 1.6, Sign.SAME_INSTANCE: 1.7}
        seen = ConnectionsSeen(ended=0, open=2, heard=False)
        assert verdict(SILENT, seen, signs, 1.0) is Verdict.OPEN
        assert verdict(SILENT, seen, signs, SILENT_S) is Verdict.ENDED
        reused = replace(SILENT, unproven_connection=True)
        assert verdict(reused, seen, signs, SILENT_S) is Verdict.UNKNOWN

    def test_a_mute_address_tells_nothing(self) -> None:
        signs = {Sign.NO_ANSWER: 2.0}
        for run in (CLOSED, SILENT):
            assert verdict(run, ALONE, signs, GIVE_UP_S) is Verdict.OPEN
            after_s = GIVE_UP_S + 0.1
            assert verdict(run, ALONE, signs, after_s) is Verdict.UNKNOWN


class _SeenPool(Pool):
    """A pool whose connections became what a test says."""

    seen_value = ALONE

    def seen(self, at_s: float) -> ConnectionsSeen:
        return self.seen_value


class _Watch:
    """A watch of one endpoint, and what it found."""

    def __init__(
        self, seen: ConnectionsSeen = ALONE, leaving: bool = False
    ) -> None:
        self.now_s = 1.0
        self.crashes: list[str] = []
        self.lines: list[Decision] = []
        self.watch = CrashWatch(
            lambda: self.now_s,
            lambda endpoint: None,
            lambda endpoint, status, headers: None,
            self.lines.append,
            lambda endpoint: endpoint.entry.leaving,
            lambda endpoint, run: self.crashes.append(endpoint),
            lambda endpoint, run: None,
        )
        self._endpoint = Endpoint(
            an_entry("e-1", leaving=leaving, born="0"), None
        )
        self._pool = _SeenPool("h", 1, lambda: self.now_s)
        self._pool.seen_value = seen

    def add(self, run: BrokenRun) -> None:
        self.watch.add(self._endpoint, self._pool, run)

    def start_again(self, now_s: float) -> None:
        """Let the endpoint list name another process under the id."""
        self.now_s = now_s
        self.watch.process_replaced("e-1")
        entry = replace(self._endpoint.entry, born=str(now_s))
        self._endpoint = Endpoint(entry, None)
        pool = _SeenPool("h", 1, lambda: self.now_s)
        pool.seen_value = self._pool.seen_value
        self._pool = pool

    def replace_endpoint(self, at_s: float) -> None:
        """Let the list have named another process at a time."""
        self._endpoint.removed = True
        self._endpoint.replaced_s = at_s

    def answer(self, now_s: float) -> None:
        """Record that a process answers under the id, on a new connection."""
        self.now_s = now_s
        self.watch.add_sign("e-1", Sign.SAME_INSTANCE)
        self.watch.sweep()

    def refuse(self, now_s: float) -> None:
        """Record that the endpoint's address refuses a connection."""
        self.now_s = now_s
        self.watch.add_sign("e-1", Sign.REFUSED)
        self.watch.sweep()

    def kinds(self) -> list[str]:
        return [line.kind for line in self.lines]


class WatchSuite:
    async def test_a_verdict_stands_whatever_is_seen_later(self) -> None:
        """Guards against a lost answer that a later crash makes a strike."""
        watch = _Watch(ConnectionsSeen(ended=1, open=2, heard=False))
        watch.add(CLOSED)
        watch.now_s = 2.0
        watch.watch.sweep()
        watch.refuse(2.5)
        watch.refuse(9.0)
        assert watch.crashes == []
        assert watch.kinds() == ["not_counted", "endpoint_seen"]

    async def test_each_run_counts_once(self) -> None:
        watch = _Watch()
        watch.add(SILENT)
        watch.refuse(1.5)
        watch.add(replace(CLOSED, broke_s=4.0))
        watch.refuse(5.0)
        assert watch.crashes == ["e-1"]

    async def test_a_leaving_endpoint_may_cut_off_its_runs(self) -> None:
        watch = _Watch(leaving=True)
        watch.add(CLOSED)
        watch.refuse(1.5)
        assert watch.crashes == []
        assert watch.kinds() == ["not_counted"]


class ReplacedSuite:
    """Processes that start again at once under their id."""

    # The next process answered under the id, and the crash was not counted.
    async def test_a_crash_counts_if_the_next_process_answers(self) -> None:
        watch = _Watch()
        watch.add(CLOSED)
        watch.answer(1.4)
        assert watch.crashes == []
        watch.start_again(2.5)
        assert watch.crashes == ["e-1"]
        watch.add(replace(CLOSED, broke_s=2.5))
        watch.refuse(3.0)
        assert watch.crashes == ["e-1", "e-1"]

    # A run that was found silent after the list had told was not counted.
    async def test_a_run_that_was_silent_before(self) -> None:
        watch = _Watch(ConnectionsSeen(ended=0, open=1, heard=False))
        watch.replace_endpoint(1.3)
        watch.now_s = 2.0
        watch.add(SILENT)
        watch.now_s = 2.3
        watch.watch.sweep()
        assert watch.crashes == ["e-1"]

    # An answer that was lost long before a crash became a strike.
    async def test_an_answer_lost_before_does_not_count(self) -> None:
        watch = _Watch()
        watch.add(CLOSED)
        watch.answer(1.4)
        watch.start_again(1.0 + LIST_LAG_S + 0.1)
        assert watch.crashes == []
        assert watch.kinds().count("not_counted") == 1

    # A connection that goes on belongs to a process that lives.
    async def test_a_process_that_goes_on_has_lost_an_answer(self) -> None:
        watch = _Watch(ConnectionsSeen(ended=1, open=3, heard=True))
        watch.add(CLOSED)
        watch.answer(1.4)
        watch.start_again(1.5)
        assert watch.crashes == []

    # A run passed for one that was sent after the end of its process.
    async def test_each_process_is_judged_by_itself(self) -> None:
        watch = _Watch(ConnectionsSeen(ended=3, open=0, heard=False))
        for number, broke_s in enumerate((1.0, 3.0, 5.0)):
            run = replace(CLOSED, request_id=f"q{number}", broke_s=broke_s)
            watch.now_s = broke_s
            watch.add(replace(run, sent_s=broke_s - 0.1))
            watch.now_s = broke_s + 0.3
            watch.watch.sweep()
            watch.start_again(broke_s + 1.0)
        assert watch.crashes == ["e-1"] * 3
