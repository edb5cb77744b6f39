"""Fair shares under floods, wrong cost hints, restarts and lossy networks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import cache
from random import Random
from typing import Final

import pytest

from bulrushstream.coordination.agentstate import AgentOptions
from bulrushstream.history.cores import CoreFactories, RunningCore
from bulrushstream.history.harness import run_plan
from bulrushstream.history.plan import (
    Conditions,
    ConnectionCut,
    Crash,
    Fault,
    Plan,
    PlannedCall,
)
from bulrushstream.history.shares import largest_gap
from bulrushstream.measure.policies import BASELINES
from bulrushstream.measure.trial import (
    Trial,
    TrialResult,
    WorkspaceLoad,
    agent_core_factory,
    baseline_cores,
    run_trial,
)
from bulrushstream.state.effect import Effect
from bulrushstream.state.event import Event, RequestArrived
from bulrushstream.state.identity import InstanceInfo
from tests.simplerouter import SimpleRouter

AGENTS: Final = 3
SLOTS: Final = 2
MEAN_RUN_S: Final = 0.5
# Reports and digests are each sent at least every half second.
STALENESS_S: Final = 1.5


def simple_router_cores(
    change: Callable[[Event], Event] = lambda event: event,
) -> CoreFactories:
    """Return cores of agents and of simple routers.

    :param change: applied to each event before a router handles it.
    """

    def start(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        router = SimpleRouter(info)

        def handle(event: Event, now_s: float) -> list[Effect]:
            return router.handle(change(event), now_s)

        return RunningCore(handle, lambda: True)

    return CoreFactories(start, agent_core_factory(AgentOptions()))


def steady_calls(
    seconds: float = 15.0, names: tuple[str, ...] = ("w1", "w2", "w3")
) -> tuple[PlannedCall, ...]:
    """Return calls of workspaces that each demand the whole capacity."""
    rng = Random(1)
    per_s = AGENTS * SLOTS / MEAN_RUN_S
    calls = []
    for name in names:
        for number in range(round(seconds * per_s)):
            calls.append(
                PlannedCall(
                    at_s=1.5 + number / per_s,
                    request_id=f"{name}-{number}",
                    router=rng.randrange(2),
                    workspace=name,
                    run_s=rng.uniform(0.2, 0.8) * MEAN_RUN_S * 2,
                    timeout_s=1000.0,
                )
            )
    return tuple(calls)


def make_plan(faults: tuple[Fault, ...] = (), **changes: object) -> Plan:
    base = Plan(
        seed=1,
        routers=2,
        agents=AGENTS,
        slots=SLOTS,
        calls=steady_calls(),
        faults=faults,
        faults_end_s=16.0,
        end_s=16.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def gap_bound(restarts: int = 0) -> float:
    """Return the bound on the service gap, in slot seconds."""
    slots = AGENTS * SLOTS
    largest_s = 0.8 * MEAN_RUN_S * 2
    # A restart loses the record of running requests, so that their slots
    # count once more.
    return slots * largest_s * (1 + restarts) + slots * STALENESS_S


@cache
def make_trial(name: str) -> Trial:
    """Return a load of one large and three small workspaces."""
    capacity_per_s = AGENTS * SLOTS / MEAN_RUN_S
    big = 8.0 if name == "flood" else 1.5
    only = 0 if name == "skewed" else None
    loads = (
        WorkspaceLoad("big", capacity_per_s * big, MEAN_RUN_S, only),
        WorkspaceLoad("mid", capacity_per_s * 0.9, MEAN_RUN_S),
        WorkspaceLoad(
            "late", capacity_per_s * 0.9, MEAN_RUN_S, 1, start_s=6.0
        ),
        WorkspaceLoad("club", capacity_per_s * 0.05, MEAN_RUN_S),
    )
    return Trial(name, loads, 2, AGENTS, SLOTS, 15.0)


@cache
def trial_result(name: str, seed: int) -> TrialResult:
    return run_trial(make_trial(name), simple_router_cores(), seed)


class TrialSuite:
    @pytest.mark.parametrize("seed", range(2))
    @pytest.mark.parametrize("name", ["steady", "flood", "skewed"])
    def test_gap_is_bounded_and_slots_are_used(
        self, name: str, seed: int
    ) -> None:
        result = trial_result(name, seed)
        slots = AGENTS * SLOTS
        limit = slots * result.largest_run_s + slots * STALENESS_S
        assert result.gap <= limit
        assert result.utilisation >= 0.97

    @pytest.mark.parametrize("policy", BASELINES)
    @pytest.mark.parametrize("name", ["flood", "skewed"])
    def test_gap_is_below_a_third_of_a_baselines(
        self, name: str, policy: object
    ) -> None:
        cores = baseline_cores(policy)  # type: ignore[arg-type]
        baseline = run_trial(make_trial(name), cores, 0)
        assert trial_result(name, 0).gap < baseline.gap / 3

    def test_a_flood_does_not_delay_a_small_workspace(self) -> None:
        steady_wait_s = trial_result("steady", 0).wait_p95_s["club"]
        flood_wait_s = trial_result("flood", 0).wait_p95_s["club"]
        assert flood_wait_s <= steady_wait_s + MEAN_RUN_S


class FaultSuite:
    @pytest.mark.parametrize(
        ("faults", "weather", "restarts"),
        [
            ((Crash(5.0, "agent-0", 1.0),), Conditions(), 1),
            (
                tuple(Crash(5.0, f"agent-{n}", 0.5) for n in range(AGENTS)),
                Conditions(),
                1,
            ),
            (
                tuple(Crash(5.0, f"router-{n}", 0.5) for n in range(2)),
                Conditions(),
                1,
            ),
            (
                (ConnectionCut(4.0, "router-0", "router-1", 6.0),),
                Conditions(),
                0,
            ),
            (
                (ConnectionCut(4.0, "agent-0", "router-0", 4.0),),
                Conditions(),
                0,
            ),
            ((), Conditions(loss=0.05, duplicated=0.2, reordered=0.3), 0),
        ],
        ids=[
            "restart",
            "all-agents",
            "all-routers",
            "routers-cut",
            "agent-cut",
            "bad",
        ],
    )
    def test_gap_stays_bounded(
        self, faults: tuple[Fault, ...], weather: Conditions, restarts: int
    ) -> None:
        run = run_plan(
            make_plan(faults, conditions=weather), simple_router_cores()
        )
        assert 0 < largest_gap(run.history) <= gap_bound(restarts)

    def test_agents_compensate_for_one_that_cannot_reach_a_router(
        self,
    ) -> None:
        # agent-0 learns only of w1's requests, which wait at router-0.
        calls = tuple(
            replace(call, router=0 if call.workspace == "w1" else 1)
            for call in steady_calls(names=("w1", "w2"))
        )
        cut = (ConnectionCut(1.2, "agent-0", "router-1", 100.0),)
        run = run_plan(make_plan(cut, calls=calls), simple_router_cores())
        assert largest_gap(run.history) <= gap_bound()

    @pytest.mark.parametrize("hint", [0.001, 1000.0])
    def test_a_wrong_cost_hint_gains_no_service(self, hint: float) -> None:
        def falsify_hint(event: Event) -> Event:
            if not isinstance(event, RequestArrived):
                return event
            if event.request.workspace != "w1":
                return event
            return RequestArrived(replace(event.request, cost_hint=hint))

        run = run_plan(make_plan(), simple_router_cores(falsify_hint))
        assert largest_gap(run.history) <= gap_bound()

    def test_the_same_seed_gives_the_same_decisions(self) -> None:
        crash = (Crash(5.0, "agent-0", 1.0),)
        weather = Conditions(loss=0.05, duplicated=0.2, reordered=0.3)
        short = make_plan(crash, conditions=weather, end_s=8.0)
        first = run_plan(short, simple_router_cores(), with_trace=True)
        second = run_plan(short, simple_router_cores(), with_trace=True)
        assert len(first.trace) > 1000
        assert first.trace == second.trace
