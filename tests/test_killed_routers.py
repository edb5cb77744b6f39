"""What routers know of crashes outlives them.

Guards against a request that crashes endpoints and reaches ever more of
them, as all routers end at once and forget who crashed what.
"""

from __future__ import annotations

import pytest

from tests.crashfleets import play
from tests.crashingendpoints import Body
from tests.crashplans import CrashPlan, Prompts, Repeats, RouterFault, crashing
from tests.test_crashing_parts import BAD, FIRST, SOUND
from tests.test_crashing_requests import (
    MAX_LATE_SENDS,
    PATHS,
    is_refused_at_last,
    refused_innocents,
)

ALL = (0, 1, 2, 3)


def kills(*times_s: float, dark_s: float = 1.0) -> tuple[RouterFault, ...]:
    """Return ends of all routers, which start again a little later."""
    return tuple(RouterFault(at_s, ALL, dark_s=dark_s) for at_s in times_s)


class KilledRoutersSuite:
    """All routers end at the same time, several times."""

    @pytest.mark.parametrize("path", PATHS)
    def test_a_request_that_crashes_endpoints_stays_refused(
        self, path: str
    ) -> None:
        """Guards against strikes that only routers know."""
        plan = CrashPlan((crashing(path),), faults=kills(8.0, 16.0, 24.0))
        history = play(plan)
        late = history.sent_after_third_crash(Body.CRASH)
        assert len(late) <= MAX_LATE_SENDS
        # Nor do they begin anew, out of touch as they are.
        assert sum(at_s > 8.0 for at_s in history.crashes_s) <= MAX_LATE_SENDS
        assert is_refused_at_last(history)
        assert refused_innocents(history) == []

    @pytest.mark.parametrize("path", PATHS)
    def test_routers_end_after_each_crash(self, path: str) -> None:
        """Guards against first strikes that are not written."""
        times_s = [3.9 + 2.0 * n for n in range(12)]
        plan = CrashPlan((crashing(path),), faults=kills(*times_s, dark_s=0.5))
        history = play(plan)
        assert len(history.crashes_s) <= 3 + MAX_LATE_SENDS
        assert is_refused_at_last(history)

    @pytest.mark.parametrize("error_s", (-5.0, 4.0, 100.0))
    def test_clocks_differ(self, error_s: float) -> None:
        """Guards against a crash that counts twice, and against none."""
        plan = CrashPlan(
            (crashing("/tell/"),),
            faults=(*kills(8.0, 16.0), RouterFault(20.0, (0,))),
            clock_errors_s={1: error_s, 2: -error_s},
        )
        history = play(plan)
        assert sum(at_s > 8.0 for at_s in history.crashes_s) <= MAX_LATE_SENDS
        assert is_refused_at_last(history)
        assert refused_innocents(history) == []

    def test_the_store_is_away_as_routers_start(self) -> None:
        """Guards against routers that never read, or wait for the store."""
        plan = CrashPlan(
            (crashing("/tell/"),),
            faults=kills(8.0),
            store_away=((7.0, 10.5),),
        )
        history = play(plan)
        assert is_refused_at_last(history)
        # What they do not know yet costs one run a second at most.
        assert sum(at_s > 8.0 for at_s in history.crashes_s) <= 3
        during = [
            history.answers[label][0][0]
            for label, asked_s in history.asked.items()
            if label.startswith(b"background") and 9.1 < asked_s[0] < 10.5
        ]
        assert "200" in during

    def test_a_part_that_crashes_endpoints_stays_refused(self) -> None:
        """Guards against strikes of parts that only routers know."""
        prompts = Prompts(
            b"crashing", (FIRST, BAD), body=Body.CRASH, begin_s=3.0
        )
        plan = CrashPlan(
            prompts=(SOUND, prompts),
            engines=9,
            background_per_s=0.5,
            faults=kills(14.0, 22.0),
        )
        history = play(plan)
        late = history.sent_after_fifth_crash(b"crashing")
        assert len(late) <= MAX_LATE_SENDS

    @pytest.mark.parametrize("seed", range(4))
    def test_innocent_requests_go_on(self, seed: int) -> None:
        """Guards against strikes that pile up over ends of routers."""
        deaths = tuple(
            (3.0 + 1.3 * n, ("llm", "desk")[n % 2]) for n in range(16)
        )
        plan = CrashPlan(
            tuple(Repeats(b"often", path, 0.3) for path in PATHS),
            kills=deaths,
            faults=kills(8.0, 14.0, 20.0),
            seed=seed,
        )
        assert refused_innocents(play(plan)) == []
