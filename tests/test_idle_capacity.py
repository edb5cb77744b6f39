"""Engines do not idle while requests are refused that they could serve."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

import pytest

from tests.modelfleets import FleetPlan, ModelFleet, Traffic

SEEDS: Final = (1, 2, 3)

# Refused requests that come while this share of the engines has nothing to
# do were refused in vain.
IDLE_SHARE: Final = 0.25

# Routers hear of each other's requests some milliseconds later, so a few are
# refused in vain: at most this share of all requests.
MAX_IN_VAIN: Final = 0.005


# Shares of the demand: one hot workspace, and quiet ones.
WEIGHTS: Final = (0.43, 0.16, 0.16, 0.07, *(0.02,) * 6, *(0.003,) * 20)
PROMPT_KINDS: Final = (
    Traffic("", 0.32, "draft", 6300, 2890, 51, subjects=20),
    Traffic("", 0.37, "ask", 568, 1800, 24, subjects=10),
    Traffic("", 0.31, "ask", 172, 543, 276, subjects=10),
)


def mixed_traffic(engines: int) -> tuple[Traffic, ...]:
    """Return traffic of a hot workspace at one router and of quiet ones.

    :param engines: all together ask for what so many can read
    """
    return tuple(
        replace(
            kind,
            workspace=f"w{number}",
            requests_per_s=8.0 * engines * weight * kind.requests_per_s,
            routers=(0,) if number == 0 else (),
            batch=3 * engines if number == 0 else 3,
        )
        for number, weight in enumerate(WEIGHTS)
        for kind in PROMPT_KINDS
    )


CROWD_AT_ONE_ROUTER: Final = {
    f"{routers} routers": FleetPlan(
        0,
        mixed_traffic(engines),
        routers=routers,
        engines=engines,
        end_s=end_s,
    )
    for routers, engines, end_s in ((4, 9, 6.0), (27, 24, 5.0), (68, 39, 4.0))
}


class CrowdSuite:
    """A crowd that the engines could serve.

    Guards against routers that refuse requests for their workspace's share
    while engines have nothing to do, since each workspace is to wait for
    others that wait themselves.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("name", CROWD_AT_ONE_ROUTER)
    def test_a_crowd_at_one_router_is_served_from_the_first_second(
        self, name: str, seed: int
    ) -> None:
        plan = replace(CROWD_AT_ONE_ROUTER[name], seed=seed)
        fleet = ModelFleet(plan)
        fleet.run()
        idle = plan.engines * IDLE_SHARE
        in_vain = [each for each in fleet.refusals if each.idle_engines > idle]
        assert len(in_vain) <= MAX_IN_VAIN * len(fleet.shares.asks)
