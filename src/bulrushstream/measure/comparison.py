"""Compare the fleet's own policy with the baselines.

Run ``python -m bulrushstream.measure.comparison SEEDS``.  It runs every
policy in the same trials with the same seeds, in virtual time, and prints
the worst results of all seeds on one line for each trial and policy.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

from bulrushstream.coordination import router
from bulrushstream.coordination.agentstate import AgentOptions
from bulrushstream.history.cores import CoreFactories, RunningCore
from bulrushstream.measure.policies import BASELINES, Policy
from bulrushstream.measure.trial import (
    Trial,
    TrialResult,
    agent_core_factory,
    baseline_cores,
    run_trial,
)
from bulrushstream.measure.trials import TRIALS
from bulrushstream.state.identity import InstanceInfo


@dataclass(frozen=True, slots=True)
class ComparisonRow:
    """The worst results of one policy in one trial."""

    trial: str  # The trial's name.
    policy: Policy
    gap: float  # Largest fairness gap, in slot seconds.
    utilisation: float  # Least busy fraction while requests waited.
    longest_idle_s: float  # Longest slot idle time while requests waited.
    small_wait_p95_s: float  # Longest p95 wait of a small workspace.


def fleet_cores(options: AgentOptions | None = None) -> CoreFactories:
    """Return the core factories of the fleet's own policy.

    :param options: The agents' options; None: the defaults.
    :returns: Factories of routers' and agents' cores.
    """

    def start(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        """Create the core of one router."""
        state = router.new_router(info, router.RouterOptions(), rng, now_s)
        return RunningCore(
            lambda event, now_s: router.handle(state, event, now_s),
            lambda: state.idle,
        )

    return CoreFactories(start, agent_core_factory(options or AgentOptions()))


def compare(
    trials: Sequence[Trial], seeds: Sequence[int]
) -> Iterator[ComparisonRow]:
    """Run every policy in every trial.

    :param trials: The trials.
    :param seeds: The seeds that each trial runs with.
    :returns: One row for each trial and policy, as soon as it is ready.
    """
    for trial in trials:
        for policy in (Policy.FAIR_PULL, *BASELINES):
            results = [
                run_trial(trial, _cores(policy), seed) for seed in seeds
            ]
            yield _worst(trial.name, policy, results)


def _cores(policy: Policy) -> CoreFactories:
    """Return the core factories of a policy."""
    if policy is Policy.FAIR_PULL:
        return fleet_cores()
    return baseline_cores(policy)


def _worst(
    trial: str, policy: Policy, results: Sequence[TrialResult]
) -> ComparisonRow:
    """Return the worst value of each result.

    The wait of small workspaces leaves out the two that are busy in the
    drafting trials.
    """
    return ComparisonRow(
        trial=trial,
        policy=policy,
        gap=max(result.gap for result in results),
        utilisation=min(result.utilisation for result in results),
        longest_idle_s=max(result.longest_idle_s for result in results),
        small_wait_p95_s=max(
            wait_s
            for result in results
            for name, wait_s in result.wait_p95_s.items()
            if name.startswith("club-") and name not in ("club-0", "club-1")
        ),
    )


def main() -> None:
    """Print the comparison for the number of seeds given as argument."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    print("trial    policy             gap s  used    idle s  small p95 s")
    for row in compare(TRIALS, seeds):
        print(
            f"{row.trial:8} {row.policy:17} {row.gap:6.0f}"
            f"  {row.utilisation:.4f}  {row.longest_idle_s:.4f}"
            f"  {row.small_wait_p95_s:8.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
