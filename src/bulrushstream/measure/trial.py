"""Fairness and utilisation of a policy in virtual time.

A *trial* is a seeded, open-loop load on one service.  The routers' and
agents' cores run as they are; the network, the endpoints and the callers
are those of `bulrushstream.history`.  No time passes and nothing is
measured of processor or network use.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Final

from bulrushstream.coordination import agent
from bulrushstream.history.cores import CoreFactories, RunningCore, StartCore
from bulrushstream.history.harness import run_plan
from bulrushstream.history.plan import Conditions, Plan, PlannedCall
from bulrushstream.history.record import (
    CallSent,
    History,
    LoadChanged,
    RunStarted,
)
from bulrushstream.history.shares import largest_gap
from bulrushstream.measure.policies import (
    Policy,
    agent_options,
    handle_baseline,
    new_baseline,
)
from bulrushstream.state.identity import InstanceInfo

UNBOUNDED_S: Final = 1e9
WARM_UP_S: Final = 1.0
# Callers wait for as long as a trial takes, so that queues do not shrink.
PATIENCE_S: Final = 1e6
# Spread of the run times around their mean, as a lognormal's sigma.
RUN_SIGMA: Final = 0.6
# Longest run, in mean runs.
MAX_RUN_FACTOR: Final = 5.0


@dataclass(frozen=True, slots=True)
class WorkspaceLoad:
    """What one workspace sends."""

    workspace: str  # Who sends.
    per_s: float  # Requests a second, Poisson.
    run_s: float  # The mean time that one runs.
    router: int | None = None  # The only router that it uses; None: all.
    from_s: float = 0.0  # When it begins.
    to_s: float = UNBOUNDED_S  # When it ends.
    interactive: bool = False  # The class of its requests.


@dataclass(frozen=True, slots=True)
class Trial:
    """One service under one load."""

    name: str  # What it shows.
    loads: tuple[WorkspaceLoad, ...]  # Who sends what.
    routers: int = 3  # How many routers.
    agents: int = 9  # How many agents, one endpoint each.
    slots: int = 4  # Slots of each endpoint.
    seconds: float = 60.0  # How long callers send.
    delay_s: float = 0.001  # One way between instances.


@dataclass(frozen=True, slots=True)
class TrialResult:
    """What came of a trial."""

    gap: float  # The largest fairness gap, in slot seconds.
    utilisation: float  # Busy part of the slots while work waited.
    longest_idle_s: float  # The longest time a slot idled beside work.
    wait_p95_s: dict[str, float]  # By workspace.
    largest_run_s: float  # The longest run.


def baseline_cores(policy: Policy) -> CoreFactories:
    """Return the cores of a baseline.

    :param policy: One of the baselines.
    :returns: How to start its routers and agents.
    """

    def start(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        """Start one router."""
        del now_s
        state = new_baseline(info, policy, rng)
        return RunningCore(
            lambda event, now_s: handle_baseline(state, event, now_s),
            lambda: not state.sent,
        )

    return CoreFactories(start, start_agent(agent_options(policy)))


def start_agent(options: agent.AgentOptions) -> StartCore:
    """Return how to start an agent's core with these options."""

    def start(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        """Start one agent."""
        state = agent.new_agent(info, options, rng, now_s)
        return RunningCore(
            lambda event, now_s: agent.handle(state, event, now_s),
            lambda: state.idle,
        )

    return start


def run_trial(trial: Trial, cores: CoreFactories, seed: int) -> TrialResult:
    """Run a trial.

    :param trial: The load.
    :param cores: The cores that it meets.
    :param seed: Of the load and of the network's delays.
    :returns: What came of it.
    """
    rng = Random(seed)
    calls = [c for load in trial.loads for c in _calls(trial, load, rng)]
    plan = Plan(
        seed=seed,
        routers=trial.routers,
        agents=trial.agents,
        slots=trial.slots,
        workspaces=tuple(load.workspace for load in trial.loads),
        calls=tuple(sorted(calls, key=lambda call: call.at_s)),
        conditions=Conditions(
            delay_s=trial.delay_s, jitter_s=trial.delay_s / 4
        ),
        faults_end_s=0.0,
        end_s=trial.seconds,
        idle_bound_s=UNBOUNDED_S,
    )
    history = run_plan(plan, cores).history
    utilisation, longest_idle_s = _use_of_slots(
        history, trial.agents * trial.slots
    )
    return TrialResult(
        gap=largest_gap(history),
        utilisation=utilisation,
        longest_idle_s=longest_idle_s,
        wait_p95_s=_waits(history),
        largest_run_s=max(call.run_s for call in calls),
    )


def _calls(
    trial: Trial, load: WorkspaceLoad, rng: Random
) -> Iterable[PlannedCall]:
    """Return the calls of one workspace."""
    at_s = WARM_UP_S + load.from_s
    until_s = min(trial.seconds, load.to_s)
    number = 0
    while True:
        at_s += rng.expovariate(load.per_s)
        if at_s >= until_s:
            return
        number += 1
        router = load.router
        if router is None:
            router = rng.randrange(trial.routers)
        spread = rng.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA)
        run_s = load.run_s * min(spread, MAX_RUN_FACTOR)
        yield PlannedCall(
            at_s=at_s,
            request_id=f"{load.workspace}-{number}",
            router=router,
            workspace=load.workspace,
            interactive=load.interactive,
            run_s=run_s,
            chunks=max(2, min(20, round(run_s * 10))),
            timeout_s=PATIENCE_S,
        )


def _use_of_slots(history: History, slots: int) -> tuple[float, float]:
    """Return the busy part while work waited, and the longest idling."""
    waited_s = idle_s = longest_s = 0.0
    since_s: float | None = None
    last: LoadChanged | None = None
    for record in history:
        if not isinstance(record, LoadChanged):
            continue
        if last is not None and last.waiting:
            passed_s = record.at_s - last.at_s
            waited_s += passed_s
            idle_s += passed_s * last.free_slots / slots
        idling = bool(record.waiting and record.free_slots)
        if not idling and since_s is not None:
            longest_s = max(longest_s, record.at_s - since_s)
        since_s = (since_s or record.at_s) if idling else None
        last = record
    used = 1.0 - idle_s / waited_s if waited_s else 1.0
    return used, longest_s


def _waits(history: History) -> dict[str, float]:
    """Return the 95th percentile of the waits of each workspace."""
    called: dict[str, CallSent] = {}
    waits: dict[str, list[float]] = defaultdict(list)
    for record in history:
        if isinstance(record, CallSent):
            called[record.request_id] = record
        elif isinstance(record, RunStarted):
            call = called.pop(record.request_id, None)
            if call is not None:
                waits[call.workspace].append(record.at_s - call.at_s)
    # Those that never ran have waited until now at least.
    end_s = history[-1].at_s
    for call in called.values():
        waits[call.workspace].append(end_s - call.at_s)
    return {
        workspace: sorted(values)[int(0.95 * (len(values) - 1))]
        for workspace, values in sorted(waits.items())
    }
