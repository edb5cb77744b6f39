"""Random sequences of calls and faults must not cause a violation."""

from __future__ import annotations

from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bulrushstream.history import instancefaults
from bulrushstream.history.checker import check_history
from bulrushstream.history.fleet import Fleet
from bulrushstream.history.plan import Conditions, Plan, PlannedCall, RunFault
from bulrushstream.history.real import REAL_CORES
from bulrushstream.history.violation import CheckLimits, Violation

AGENTS: Final = 2
ROUTERS: Final = 2
LIMITS: Final = CheckLimits(answer_grace_s=3.0)
CALL_TIMEOUT_S: Final = 12.0
INSTANCE_NAMES: Final = ("agent-0", "agent-1", "router-0", "router-1")

instance_names = st.sampled_from(INSTANCE_NAMES)
durations_s = st.sampled_from((0.001, 0.05, 0.5, 2.5, 6.0))
conditions = st.sampled_from(
    (
        Conditions(),
        Conditions(jitter_s=0.02, log_lost_replies=0.3, false_losses=True),
        Conditions(loss=0.1, duplicated=0.2, reordered=0.5),
    )
)
run_faults = st.sampled_from(
    (RunFault.NONE, RunFault.NONE, RunFault.NONE, *RunFault)
)


class FleetMachine(RuleBasedStateMachine):
    """Sends calls, injects faults and advances time, in any order."""

    @initialize(seed=st.integers(0, 1000), weather=conditions)
    def start(self, seed: int, weather: Conditions) -> None:
        plan = Plan(seed, ROUTERS, AGENTS, slots=2, conditions=weather)
        self.fleet = Fleet(plan, REAL_CORES)
        self.call_count = 0

    @rule(
        router=st.integers(0, ROUTERS - 1),
        workspace=st.sampled_from(("w1", "w2")),
        idempotent=st.booleans(),
        run_s=st.sampled_from((0.01, 0.5, 3.0)),
        key=st.sampled_from(("", "", "", "k1", "k2")),
        fault=run_faults,
    )
    def call(
        self,
        router: int,
        workspace: str,
        idempotent: bool,
        run_s: float,
        key: str,
        fault: RunFault,
    ) -> None:
        self.call_count += 1
        crash_body = b"poison" if fault is RunFault.CRASH else b""
        call = PlannedCall(
            at_s=0.0,
            request_id=f"r{self.call_count}",
            router=router,
            workspace=workspace,
            idempotent=idempotent,
            run_s=run_s,
            timeout_s=CALL_TIMEOUT_S,
            key=key if not crash_body else "",
            body=crash_body or (b"keyed" if key else b""),
            fault=fault,
        )
        self.fleet.send_call(call)

    @rule(span_s=durations_s)
    def wait(self, span_s: float) -> None:
        timeline = self.fleet.timeline
        timeline.run_until(timeline.now_s + span_s)

    @rule(name=instance_names, span_s=durations_s)
    def crash(self, name: str, span_s: float) -> None:
        instancefaults.crash(self.fleet, name, span_s)

    @rule(name=instance_names, span_s=durations_s)
    def pause(self, name: str, span_s: float) -> None:
        instancefaults.pause(self.fleet, name, span_s)

    @rule(
        name=instance_names,
        other=st.sampled_from(("", *INSTANCE_NAMES)),
        span_s=durations_s,
    )
    def cut(self, name: str, other: str, span_s: float) -> None:
        instancefaults.cut(self.fleet, name, other, span_s)

    @rule(span_s=durations_s)
    def log_outage(self, span_s: float) -> None:
        self.fleet.store.begin_outage(span_s)

    @rule(name=instance_names)
    def drain(self, name: str) -> None:
        instancefaults.begin_drain(self.fleet, name)

    @invariant()
    def no_violation_so_far(self) -> None:
        assert self.violations() == []

    def violations(self) -> list[Violation]:
        if not hasattr(self, "fleet"):
            return []
        return check_history(self.fleet.history, LIMITS)

    def teardown(self) -> None:
        """End all faults; then every caller must receive its answer."""
        if not hasattr(self, "fleet"):
            return
        timeline = self.fleet.timeline
        self.fleet.end_faults()
        end_s = timeline.now_s + CALL_TIMEOUT_S + 2 * 6.0
        timeline.run_until(end_s)
        assert self.violations() == []
        assert self.fleet.callers.waiting_routers == {}


FleetSuite = FleetMachine.TestCase
FleetSuite.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
