"""A request that crashed three endpoints reaches few more.

Guards against verdicts that are put off or undone: by crashes for other
reasons, by other suspects, by routers that miss reports, by endpoints that
are back under their id, and by ends of routers amid all that.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import pytest

from tests.crashfleets import play
from tests.crashingendpoints import After, Body, Ending, Link, Point
from tests.crashplans import (
    CONTACT_S,
    CrashHistory,
    CrashPlan,
    Prompts,
    Repeats,
    RouterFault,
    Sent,
    crashing,
)
from tests.test_crashing_parts import BAD, FIRST
from tests.test_crashing_requests import (
    MAX_LATE_SENDS,
    is_refused_at_last,
    refused_innocents,
)
from tests.test_killed_routers import kills

SECOND = b"crash as well"
PATHS = ("/tell/", "/once/")
RESTARTS: tuple[Any, ...] = (
    pytest.param((), id="no restart"),
    pytest.param(kills(9.0, 15.0, 21.0), id="all killed"),
    pytest.param(
        tuple(RouterFault(6.0 + 2.0 * n, (n % 4,)) for n in range(8)),
        id="restarted in turn",
    ),
)
DEATHS = tuple((2.5 + 1.0 * n, ("llm", "desk")[n % 2]) for n in range(28))


def late_sends(history: CrashHistory, label: bytes) -> Sequence[Sent]:
    """Return what was sent long after the third crash by this request."""
    crashes_s = sorted(history.crashed_by[label])
    if len(crashes_s) < 3:
        return []
    begin_s = crashes_s[2] + CONTACT_S
    return [
        sent
        for sent in history.sent[label]
        if sent.at_s > begin_s and history.in_touch(sent)
    ]


class FourthEndpointSuite:
    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("faults", RESTARTS)
    def test_others_die_of_something_else(
        self, faults: tuple[RouterFault, ...], path: str
    ) -> None:
        """Guards against one strike more that is asked for each time."""
        plan = CrashPlan((crashing(path),), kills=DEATHS, faults=faults)
        history = play(plan)
        assert len(late_sends(history, Body.CRASH)) <= MAX_LATE_SENDS
        assert is_refused_at_last(history)
        assert refused_innocents(history) == []

    @pytest.mark.parametrize("paths", (("/tell/", "/tell/"), PATHS))
    @pytest.mark.parametrize("offset_s", (0.0, 0.05, 0.5))
    @pytest.mark.parametrize("faults", RESTARTS)
    def test_two_such_requests(
        self,
        faults: tuple[RouterFault, ...],
        offset_s: float,
        paths: tuple[str, str],
    ) -> None:
        """Guards against strikes that the other request explains away."""
        plan = CrashPlan(
            (
                crashing(paths[0]),
                Repeats(SECOND, paths[1], begin_s=3.0 + offset_s),
            ),
            faults=faults,
            engines=9,
        )
        history = play(plan)
        for label in (Body.CRASH, SECOND):
            assert len(late_sends(history, label)) <= MAX_LATE_SENDS
            assert is_refused_at_last(history, label)

    @pytest.mark.parametrize("holds", (True, False))
    @pytest.mark.parametrize("faults", RESTARTS)
    def test_a_bad_part_and_a_bad_request(
        self, faults: tuple[RouterFault, ...], holds: bool
    ) -> None:
        """Guards against strikes that a part explains away."""
        prompts = Prompts(
            b"part", (FIRST, BAD), body=Body.CRASH, begin_s=3.0, per_s=0.7
        )
        # All repeats share their body; their prompts hold the bad part or not.
        prefix = "bad:9,99:9" if holds else "a1:9,99:9"
        repeats = Repeats(SECOND, "/tell/", begin_s=3.5, prefix=prefix)
        plan = CrashPlan(
            (repeats,),
            prompts=(prompts,),
            faults=faults,
            engines=9,
            background_per_s=0.5,
        )
        history = play(plan)
        assert len(history.sent_after_fifth_crash(b"part")) <= MAX_LATE_SENDS
        assert len(late_sends(history, SECOND)) <= MAX_LATE_SENDS

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("faults", RESTARTS)
    def test_endpoints_that_are_back_under_their_id(
        self, faults: tuple[RouterFault, ...], path: str
    ) -> None:
        """Guards against crashes of an id that count as one."""
        plan = CrashPlan(
            (crashing(path, interval_s=0.4),),
            Ending(Point.AMID, Link.CLOSED, After.SAME_ID),
            faults=faults,
        )
        history = play(plan)
        assert len(late_sends(history, Body.CRASH)) <= MAX_LATE_SENDS
        assert is_refused_at_last(history)

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize(
        "faults",
        (
            (RouterFault(3.5, (1, 2), frozen_s=5.0),),
            (RouterFault(3.5, (1, 2, 3), cut_s=6.0),),
            (
                RouterFault(4.0, (0,), frozen_s=3.0),
                RouterFault(5.0, (1,), cut_s=5.0),
                *kills(11.0),
                RouterFault(13.0, (2,), frozen_s=4.5),
                *kills(19.0),
            ),
        ),
        ids=("frozen", "cut off", "all of it"),
    )
    def test_routers_that_miss_reports(
        self, faults: tuple[RouterFault, ...], path: str
    ) -> None:
        """Guards against reports that are repeated for too short a time."""
        plan = CrashPlan((crashing(path),), faults=faults, loss=0.1)
        history = play(plan)
        assert len(late_sends(history, Body.CRASH)) <= MAX_LATE_SENDS
        assert is_refused_at_last(history)

    @pytest.mark.parametrize("faults", RESTARTS)
    def test_many_requests_break_with_each_crash(
        self, faults: tuple[RouterFault, ...]
    ) -> None:
        """Guards against strikes that are crowded out by innocent ones."""
        plan = CrashPlan(
            (crashing("/tell/"),),
            faults=faults,
            background_per_s=25.0,
            engines=3,
        )
        history = play(plan)
        assert len(late_sends(history, Body.CRASH)) <= MAX_LATE_SENDS
        assert is_refused_at_last(history)
        assert refused_innocents(history) == []
