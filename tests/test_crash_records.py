"""What routers know of crashes outlives them.

Guards against a request that crashes endpoints and reaches ever more of
them, as all routers end at once and forget who crashed what.
"""

from __future__ import annotations

import pytest

from tests.crashfleets import play
from tests.crashingendpoints import Body
from tests.crashplans import CrashPlan, RouterFault, crashing
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
