"""A held request moves to another agent that has an idle slot.

An agent that pulls ahead may hold requests behind a long run.  They must not
wait there while another agent is idle.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.history.harness import run_plan
from bulrushstream.history.plan import Plan, PlannedCall
from bulrushstream.history.real import REAL_CORES
from bulrushstream.history.record import RunStarted

# After a burst of short calls, the agents pull ahead, because the round trip
# is long beside the runs.  Then one agent holds calls behind a long run while
# the other one becomes idle.
CALLS: Final = (
    *(PlannedCall(0.9, f"burst-{n}", 0, "w1") for n in range(16)),
    PlannedCall(4.0, "long", 0, "w1", run_s=5.0),
    PlannedCall(4.0, "short", 0, "w2", run_s=0.4),
    PlannedCall(4.1, "held-1", 0, "w3", run_s=0.1),
    PlannedCall(4.1, "held-2", 0, "w3", run_s=0.1),
)
PLAN: Final = Plan(
    1, 1, 2, 1, calls=CALLS, faults_end_s=0.0, idle_bound_s=0.01
)


class PullAheadSuite:
    def test_an_idle_agent_gets_the_requests_that_another_one_holds(
        self,
    ) -> None:
        run = run_plan(PLAN, REAL_CORES)
        assert run.violations == ()
        started_s = {
            record.request_id: record.at_s
            for record in run.history
            if isinstance(record, RunStarted)
        }
        assert started_s["held-1"] < 4.7
        assert started_s["held-2"] < 4.7
