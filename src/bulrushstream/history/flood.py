"""Plans of overload: all workspaces have more work than there is capacity.

They check the fairness gap.  Its bound has two terms: the work in flight
when a workspace is picked, at most the largest request in every slot, and
the service of the fleet while the agents' view of the ledger is stale.
"""

from __future__ import annotations

from random import Random
from typing import Final

from bulrushstream.history.plan import Conditions, Plan, PlannedCall

DURATION_S: Final = 8.0  # Length of the overload.
OVERLOAD: Final = 0.8  # Each workspace's work, as a share of the capacity.
ROUND_TRIP_S: Final = 0.002  # Between a router and an agent, without faults.
IDLE_BOUND_S: Final = 2 * ROUND_TRIP_S  # While requests wait, without faults.
STALENESS_S: Final = 1.51  # Report and digest intervals and two delays.
# Range of run times, relative to their mean.
RUN_TIME_SPREAD: Final = (0.5, 1.5)


def flood_plan(seed: int) -> Plan:
    """Generate the overload plan of a seed.

    :param seed: any number.
    :returns: a plan whose fairness gap must stay within its bound.
    """
    rng = Random(seed)
    routers, agents = rng.randint(1, 3), rng.randint(1, 4)
    slots = rng.randint(1, 3)
    workspaces = ("w1", "w2", "w3")
    capacity = agents * slots
    largest_s = 0.0
    calls: list[PlannedCall] = []
    for workspace in workspaces:
        mean_s = rng.choice((0.1, 0.2, 0.5))
        largest_s = max(largest_s, mean_s * RUN_TIME_SPREAD[1])
        # Half of the workspaces send all requests to one router.
        only_router = rng.randrange(routers) if rng.random() < 0.5 else None
        count = int(DURATION_S * capacity * OVERLOAD / mean_s)
        calls += [
            PlannedCall(
                at_s=1.0 + rng.random() * 0.5,
                request_id=f"{workspace}-{number}",
                router=rng.randrange(routers)
                if only_router is None
                else only_router,
                workspace=workspace,
                run_s=mean_s * rng.uniform(*RUN_TIME_SPREAD),
                timeout_s=60.0,
            )
            for number in range(count)
        ]
    return Plan(
        seed=seed,
        routers=routers,
        agents=agents,
        slots=slots,
        workspaces=workspaces,
        calls=tuple(calls),
        conditions=Conditions(jitter_s=0.0),
        faults_end_s=0.0,
        end_s=1.0 + DURATION_S,
        fairness_gap=capacity * (largest_s + STALENESS_S),
        idle_bound_s=IDLE_BOUND_S,
    )
