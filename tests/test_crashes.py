"""Crashes count even if the dispatching router is lost.

Otherwise a request that crashes endpoints crashes more than three of them.
"""

from __future__ import annotations

from typing import Final

from bulrushstream.history.harness import run_plan
from bulrushstream.history.plan import (
    Conditions,
    Crash,
    Pause,
    Plan,
    PlannedCall,
    RunFault,
)
from bulrushstream.history.real import REAL_CORES
from bulrushstream.history.record import EndpointCrashed, Refused
from bulrushstream.messages import QUARANTINED


def crashing_call(
    at_s: float, name: str, router: int, run_s: float
) -> PlannedCall:
    return PlannedCall(
        at_s,
        name,
        router,
        "w1",
        run_s=run_s,
        body=b"poison",
        fault=RunFault.CRASH,
    )


# router-1 crashes while agent-1 is paused with the second call of router-1.
# The agent runs the call afterwards; no router receives the end of the answer.
PLAN: Final = Plan(
    seed=109,
    agents=2,
    calls=(
        crashing_call(0.64, "p1", 1, 0.1),
        crashing_call(2.57, "p2", 1, 0.01),
        crashing_call(4.87, "p3", 0, 0.5),
        crashing_call(13.0, "p4", 1, 0.01),
        crashing_call(14.0, "p5", 0, 0.01),
    ),
    faults=(Pause(2.444, "agent-1", 4.7), Crash(3.79, "router-1", 1.83)),
    conditions=Conditions(log_delay_s=0.2, false_losses=True),
)


class CrashesSuite:
    def test_an_agent_reports_a_crash_that_no_router_saw(self) -> None:
        run = run_plan(PLAN, REAL_CORES)
        crashes = [r for r in run.history if isinstance(r, EndpointCrashed)]
        refused = [
            record.request_id
            for record in run.history
            if isinstance(record, Refused) and record.code == QUARANTINED.code
        ]
        assert run.violations == ()
        assert len(crashes) == 3
        assert refused == ["p4", "p5"]
