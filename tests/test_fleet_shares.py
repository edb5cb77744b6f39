"""Workspaces get their shares from a fleet of routers, whatever happens.

Guards against a workspace that gets less than half of what another one gets
while its requests are refused: routers that miss updates of their peers, or
that trust a throughput which the engines do not reach, took what they did
not know of for free capacity.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final

import pytest

from tests.modelfleets import Change, FleetPlan, ModelFleet, Traffic

SEEDS: Final = (1, 2)
SMALL: Final = tuple(Traffic(f"small{number}", 2.0) for number in range(6))
MEDIUM: Final = (
    Traffic("club", 40.0),
    Traffic("school", 30.0, shared_tokens=170, subjects=6),
)
FLOOD: Final = Traffic("flood", 300.0)
# All callers of the flood reach the first router.
CROWD: Final = replace(FLOOD, routers=(0,))
# Whose prompts are long, and not in any cache.
LONG: Final = Traffic(
    "long", 30.0, "draft", shared_tokens=2900, own_tokens=6300, subjects=60
)
FIRST_HALF: Final = (0, 1, 2, 3, 4)

PLANS: Final = {
    "from the first second": FleetPlan(0, (FLOOD, *MEDIUM, *SMALL)),
    "one router misses most updates": FleetPlan(
        0,
        (CROWD, *MEDIUM, *SMALL),
        (Change(1.0, "deafen", (0,), 9.0, heard=0.02),),
    ),
    "one router misses all updates for seconds": FleetPlan(
        0,
        (CROWD, *MEDIUM, *SMALL),
        (Change(3.0, "deafen", (0,), 7.0),),
    ),
    "half of all updates are lost": FleetPlan(
        0, (CROWD, *MEDIUM, *SMALL), loss=0.5
    ),
    "most engines crash": FleetPlan(
        0, (CROWD, *MEDIUM, *SMALL), (Change(4.0, "crash", FIRST_HALF),)
    ),
    "most engines fall silent": FleetPlan(
        0, (FLOOD, *MEDIUM, *SMALL), (Change(4.0, "silence", FIRST_HALF),)
    ),
    "engines are replaced": FleetPlan(
        0,
        (FLOOD, LONG, *MEDIUM, *SMALL),
        (
            Change(4.0, "crash", FIRST_HALF),
            Change(7.0, "start", FIRST_HALF),
        ),
    ),
    "routers restart": FleetPlan(
        0,
        (CROWD, *MEDIUM, *SMALL),
        (Change(4.0, "restart", (0, 1, 2, 3, 4, 5)),),
    ),
    "callers move": FleetPlan(
        0,
        (
            replace(CROWD, end_s=5.0),
            replace(CROWD, begin_s=5.0, routers=(7,)),
            *MEDIUM,
            *SMALL,
        ),
    ),
    "a flood begins late": FleetPlan(
        0, (replace(FLOOD, begin_s=4.0), LONG, *MEDIUM, *SMALL)
    ),
    "throughput set too high": FleetPlan(
        0, (FLOOD, LONG, *MEDIUM, *SMALL), tokens_per_s=900_000.0
    ),
    "throughput set too low": FleetPlan(
        0, (FLOOD, LONG, *MEDIUM, *SMALL), tokens_per_s=40_000.0
    ),
    "throughput unknown": FleetPlan(
        0, (FLOOD, LONG, *MEDIUM, *SMALL), tokens_per_s=0.0
    ),
}


class FleetSharesSuite:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("name", PLANS)
    def test_no_workspace_gets_less_than_half_of_another(
        self, name: str, seed: int
    ) -> None:
        shares = ModelFleet(replace(PLANS[name], seed=seed)).run()
        assert [
            shortfall
            for offset_s in (0.0, 0.25, 0.5, 0.75)
            for shortfall in shares.shortfalls(offset_s)
        ] == []
