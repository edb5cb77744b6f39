"""Compare the fleet's picks with the baselines, side by side.

Run ``python -m bulrushstream.measure.comparison SEEDS``: every policy meets
the same trials with the same seeds, in virtual time, and one line a trial
and policy gives the worst of all seeds.
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
    baseline_cores,
    run_trial,
    start_agent,
)
from bulrushstream.measure.trials import TRIALS
from bulrushstream.state.identity import InstanceInfo


@dataclass(frozen=True, slots=True)
class ComparisonRow:
    """The worst results of one policy in one trial."""

    trial: str  # Which trial.
    policy: Policy  # Which policy.
    gap: float  # The largest gap of any seed, in slot seconds.
    utilisation: float  # The least use of slots while work waited.
    longest_idle_s: float  # The longest that slots idled beside work.
    small_wait_p95_s: float  # The longest p95 wait of a small workspace.


def fleet_cores(options: AgentOptions | None = None) -> CoreFactories:
    """Return the fleet's own cores.

    :param options: The agents' options, if not the usual ones.
    :returns: How to start them.
    """

    def start(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
        """Start one router."""
        state = router.new_router(info, router.RouterOptions(), rng, now_s)
        return RunningCore(
            lambda event, now_s: router.handle(state, event, now_s),
            lambda: state.idle,
        )

    return CoreFactories(start, start_agent(options or AgentOptions()))


def compare(
    trials: Sequence[Trial], seeds: Sequence[int]
) -> Iterator[ComparisonRow]:
    """Run every policy in every trial.

    :param trials: The loads.
    :param seeds: The seeds to run each with.
    :returns: One row for each trial and policy, as they end.
    """
    for trial in trials:
        for policy in (Policy.FAIR_PULL, *BASELINES):
            results = [
                run_trial(trial, _cores(policy), seed) for seed in seeds
            ]
            yield _worst(trial.name, policy, results)


def _cores(policy: Policy) -> CoreFactories:
    """Return the cores of a policy."""
    if policy is Policy.FAIR_PULL:
        return fleet_cores()
    return baseline_cores(policy)


def _worst(
    trial: str, policy: Policy, results: Sequence[TrialResult]
) -> ComparisonRow:
    """Return the worst of several results."""
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
    """Print the comparison for as many seeds as the argument says."""
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
