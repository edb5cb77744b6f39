"""Plans in which every workspace has more work than the fleet can do.

They check the fairness gap.  Its bound has two terms: what is in flight
when a workspace is picked, at most the largest request in every slot, and
what the fleet gives while the agents' view of the ledger is stale.
"""

from __future__ import annotations

from random import Random
from typing import Final

from bulrushstream.history.plan import Plan, PlannedCall, Weather

SPAN_S: Final = 8.0  # How long the flood lasts.
OVERLOAD: Final = 0.8  # Each workspace's work against the fleet's capacity.
ROUND_TRIP_S: Final = 0.002  # Between a router and an agent, when calm.
IDLE_BOUND_S: Final = 2 * ROUND_TRIP_S  # Beside work, when calm.
STALENESS_S: Final = 1.51  # Report and digest intervals, two delays.
SPREAD: Final = (0.5, 1.5)  # Of a workspace's requests around their mean.


def flood_plan(seed: int) -> Plan:
    """Return the flood of a seed.

    :param seed: any number.
    :returns: a plan whose history must keep the fairness bound.
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
        largest_s = max(largest_s, mean_s * SPREAD[1])
        # Half of the workspaces come in through one router only.
        home = rng.randrange(routers) if rng.random() < 0.5 else None
        count = int(SPAN_S * capacity * OVERLOAD / mean_s)
        calls += [
            PlannedCall(
                at_s=1.0 + rng.random() * 0.5,
                request_id=f"{workspace}-{number}",
                router=rng.randrange(routers) if home is None else home,
                workspace=workspace,
                run_s=mean_s * rng.uniform(*SPREAD),
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
        weather=Weather(jitter_s=0.0),
        calm_s=0.0,
        end_s=1.0 + SPAN_S,
        fairness_gap=capacity * (largest_s + STALENESS_S),
        idle_bound_s=IDLE_BOUND_S,
    )
