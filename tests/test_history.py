"""The history checker reports each violation and no false ones."""

from __future__ import annotations

from typing import Final

import pytest

from bulrushstream.history.checker import check_history
from bulrushstream.history.record import (
    BacklogChanged,
    LoadChanged,
    Record,
    ServiceReceived,
)
from bulrushstream.history.shares import largest_gap
from bulrushstream.history.violation import CheckLimits, ViolationKind
from bulrushstream.state.request import Outcome
from tests import histories

LIMITS: Final = CheckLimits(
    idle_bound_s=0.1, fairness_gap=5.0, must_succeed_from_s=40.0
)


class CheckerSuite:
    def test_correct_history(self) -> None:
        assert check_history(histories.CORRECT_HISTORY, LIMITS) == []

    def test_empty_history(self) -> None:
        assert check_history((), LIMITS) == []

    @pytest.mark.parametrize(
        "case", histories.FAULTY_HISTORIES, ids=lambda case: str(case.name)
    )
    def test_faulty_history(self, case: histories.FaultyHistory) -> None:
        found = check_history(case.records, LIMITS)
        assert [violation.kind for violation in found] == [case.kind]

    def test_every_kind_has_a_faulty_history(self) -> None:
        covered = {case.kind for case in histories.FAULTY_HISTORIES}
        assert covered == set(ViolationKind)

    def test_all_violations_are_reported_together(self) -> None:
        records = (
            histories.call_sent(),
            *histories.complete_run(),
            *histories.answer(b"r1two-", outcome=Outcome.NOT_RUN),
            histories.run_started(3.0, agent=histories.OTHER_AGENT),
        )
        found = check_history(records, LIMITS)
        assert {violation.kind for violation in found} == {
            ViolationKind.GARBLED_ANSWER,
            ViolationKind.FALSE_NOT_RUN,
            ViolationKind.RUN_TWICE,
        }
        assert found == sorted(found)

    def test_requests_with_one_key_may_share_an_answer(self) -> None:
        records = (
            histories.call_sent(key="k"),
            histories.call_sent("r2", key="k"),
            *histories.complete_run(),
            *histories.answer(*histories.ANSWER_CHUNKS),
            *histories.answer(*histories.ANSWER_CHUNKS, request_id="r2"),
        )
        assert check_history(records, LIMITS) == []


class SharesSuite:
    def test_short_idleness_is_allowed(self) -> None:
        records = (LoadChanged(0.0, "s1", 1, 1), LoadChanged(0.1, "s1", 0, 1))
        assert check_history(records, LIMITS) == []

    def test_gap_ignores_service_without_a_common_backlog(self) -> None:
        records: tuple[Record, ...] = (
            BacklogChanged(0.0, "s1", "w1", 1),
            *(ServiceReceived(float(n), "s1", "w1", 1.0) for n in range(9)),
            BacklogChanged(9.0, "s1", "w2", 1),
            ServiceReceived(9.5, "s1", "w2", 2.0),
        )
        assert largest_gap(records) == 2.0

    def test_gap_is_the_largest_over_all_subintervals(self) -> None:
        records: tuple[Record, ...] = (
            BacklogChanged(0.0, "s1", "w1", 1),
            BacklogChanged(0.0, "s1", "w2", 1),
            ServiceReceived(1.0, "s1", "w1", 3.0),
            ServiceReceived(2.0, "s1", "w2", 7.0),
        )
        assert largest_gap(records) == 7.0
