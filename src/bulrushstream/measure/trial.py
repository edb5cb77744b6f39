"""Fairness and utilisation of a policy in virtual time.

A *trial* is a seeded, open-loop load on one service.  It runs the production
cores of routers and agents; the network, the endpoints and the callers are
simulated by `bulrushstream.history`.  Time is simulated too, and processor
and network use are not measured.
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
# Longer than any trial, so that time-outs do not shorten the queues.
CALLER_TIMEOUT_S: Final = 1e6
# Sigma of the log-normal distribution of run times.
RUN_SIGMA: Final = 0.6
# The longest run time as a multiple of the mean.
MAX_RUN_FACTOR: Final = 5.0


@dataclass(frozen=True, slots=True)
class WorkspaceLoad:
    """The requests of one workspace."""

    workspace: str
    rate_per_s: float  # The rate of a Poisson process.
    mean_run_s: float
    router: int | None = None  # The only router used; None: all of them.
    start_s: float = 0.0  # Counted from the end of the warm-up.
    end_s: float = UNBOUNDED_S  # Counted from the start of the trial.
    interactive: bool = False  # False: batch class.


@dataclass(frozen=True, slots=True)
class Trial:
    """A fleet with one service and the load on it."""

    name: str
    loads: tuple[WorkspaceLoad, ...]
    routers: int = 3
    agents: int = 9  # Each has one endpoint.
    slots: int = 4  # Slots of each endpoint.
    duration_s: float = 60.0  # How long callers send.
    delay_s: float = 0.001  # One-way delay between instances.


@dataclass(frozen=True, slots=True)
class TrialResult:
    """The results of a trial."""

    gap: float  # Largest fairness gap, in slot seconds.
    utilisation: float  # Busy fraction of slots while requests waited.
    longest_idle_s: float  # Longest slot idle time while requests waited.
    wait_p95_s: dict[str, float]  # 95th percentile, by workspace.
    largest_run_s: float  # Run time of the longest request.


def baseline_cores(policy: Policy) -> CoreFactories:
    """Return the core factories of a baseline.

    :param policy: One of the baselines.
    :returns: Factories of its routers' and agents' cores.
    """

    def start(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        """Create the core of one router."""
        del now_s
        state = new_baseline(info, policy, rng)
        return RunningCore(
            lambda event, now_s: handle_baseline(state, event, now_s),
            lambda: not state.in_flight,
        )

    return CoreFactories(start, agent_core_factory(agent_options(policy)))


def agent_core_factory(options: agent.AgentOptions) -> StartCore:
    """Return a factory of agents' cores with these options."""

    def start(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        """Create the core of one agent."""
        state = agent.new_agent(info, options, rng, now_s)
        return RunningCore(
            lambda event, now_s: agent.handle(state, event, now_s),
            lambda: state.idle,
        )

    return start


def run_trial(trial: Trial, cores: CoreFactories, seed: int) -> TrialResult:
    """Run a trial.

    :param trial: The fleet and the load.
    :param cores: The factories of the fleet's cores.
    :param seed: The seed of the load and of the network's delays.
    :returns: The results.
    """
    rng = Random(seed)
    calls = [
        call for load in trial.loads for call in _plan_calls(trial, load, rng)
    ]
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
        end_s=trial.duration_s,
        idle_bound_s=UNBOUNDED_S,
    )
    history = run_plan(plan, cores).history
    utilisation, longest_idle_s = _slot_use(
        history, trial.agents * trial.slots
    )
    return TrialResult(
        gap=largest_gap(history),
        utilisation=utilisation,
        longest_idle_s=longest_idle_s,
        wait_p95_s=_wait_p95_s(history),
        largest_run_s=max(call.run_s for call in calls),
    )


def _plan_calls(
    trial: Trial, load: WorkspaceLoad, rng: Random
) -> Iterable[PlannedCall]:
    """Yield the calls of one workspace."""
    at_s = WARM_UP_S + load.start_s
    until_s = min(trial.duration_s, load.end_s)
    number = 0
    while True:
        at_s += rng.expovariate(load.rate_per_s)
        if at_s >= until_s:
            return
        number += 1
        router = load.router
        if router is None:
            router = rng.randrange(trial.routers)
        spread = rng.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA)
        run_s = load.mean_run_s * min(spread, MAX_RUN_FACTOR)
        yield PlannedCall(
            at_s=at_s,
            request_id=f"{load.workspace}-{number}",
            router=router,
            workspace=load.workspace,
            interactive=load.interactive,
            run_s=run_s,
            chunks=max(2, min(20, round(run_s * 10))),
            timeout_s=CALLER_TIMEOUT_S,
        )


def _slot_use(history: History, slots: int) -> tuple[float, float]:
    """Return utilisation and the longest idle time in s.

    Both count only the time while requests waited.
    """
    waited_s = idle_s = longest_s = 0.0
    idle_since_s: float | None = None
    last: LoadChanged | None = None
    for record in history:
        if not isinstance(record, LoadChanged):
            continue
        if last is not None and last.waiting:
            passed_s = record.at_s - last.at_s
            waited_s += passed_s
            idle_s += passed_s * last.free_slots / slots
        idling = bool(record.waiting and record.free_slots)
        if not idling and idle_since_s is not None:
            longest_s = max(longest_s, record.at_s - idle_since_s)
        idle_since_s = (idle_since_s or record.at_s) if idling else None
        last = record
    utilisation = 1.0 - idle_s / waited_s if waited_s else 1.0
    return utilisation, longest_s


def _wait_p95_s(history: History) -> dict[str, float]:
    """Return the 95th percentile of waits of each workspace, in s."""
    unstarted: dict[str, CallSent] = {}
    waits: dict[str, list[float]] = defaultdict(list)
    for record in history:
        if isinstance(record, CallSent):
            unstarted[record.request_id] = record
        elif isinstance(record, RunStarted):
            call = unstarted.pop(record.request_id, None)
            if call is not None:
                waits[call.workspace].append(record.at_s - call.at_s)
    # Requests that never started count with their wait until the end.
    end_s = history[-1].at_s
    for call in unstarted.values():
        waits[call.workspace].append(end_s - call.at_s)
    return {
        workspace: sorted(values)[int(0.95 * (len(values) - 1))]
        for workspace, values in sorted(waits.items())
    }
