"""Placement orders need permits from the log and reach engines."""

from __future__ import annotations

from dataclasses import replace

import httpx
import pytest

from bulrushstream.commands.demo import demo_plan
from bulrushstream.local.client import chat
from bulrushstream.local.fleet import LocalFleet, run_fleet
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.standins.engine import Engine, EngineOptions
from bulrushstream.standins.weights import WeightStore
from bulrushstream.state.config import (
    FleetConfig,
    Placement,
    ServiceKind,
    VersionedConfig,
)

ENGINES = 2


def engine_plan(checks_token: bool) -> LocalPlan:
    engine = EngineOptions(
        models=("proofwriter",), version="1", checks_token=checks_token
    )
    return LocalPlan(
        config=demo_plan().config,
        services=(
            LocalService(
                "proofwriter", ServiceKind.MODEL, ENGINES, engine=engine
            ),
        ),
        routers=1,
    )


def with_placement(config: FleetConfig, version: str) -> FleetConfig:
    placement = Placement("proofwriter", version)
    services = tuple(
        replace(service, placement=placement)
        if service.name == "proofwriter"
        else service
        for service in config.services
    )
    return replace(config, services=services)


def current_config(fleet: LocalFleet) -> VersionedConfig:
    return fleet.routers["router-0"].config.current


def held_versions(fleet: LocalFleet) -> list[str | None]:
    return [
        each.app.state.holdings.models.get("proofwriter")
        for each in fleet.endpoints.values()
        if isinstance(each.app, Engine)
    ]


def weight_stores(fleet: LocalFleet) -> list[WeightStore]:
    return [
        each.app.state.holdings.store
        for each in fleet.endpoints.values()
        if isinstance(each.app, Engine)
    ]


class PlacementSuite:
    @pytest.mark.parametrize("checks_token", [True, False])
    async def test_every_engine_loads_the_placed_version(
        self, checks_token: bool
    ) -> None:
        async with run_fleet(engine_plan(checks_token)) as fleet:
            config = with_placement(fleet.plan.config, "2")
            fleet.publish(config, current_config(fleet))
            await fleet.wait_until(
                lambda: held_versions(fleet) == ["2"] * ENGINES,
                "every engine has the new version",
            )
            url = fleet.routers["router-0"].server.url
            async with httpx.AsyncClient(timeout=30) as client:
                verdict = await chat(
                    client, url, "demo-club", "hello", model="proofwriter"
                )
        assert verdict.ok, verdict.problem
        assert all(store.refused == 0 for store in weight_stores(fleet))

    async def test_no_placement_means_no_order(self) -> None:
        async with run_fleet(engine_plan(True)) as fleet:
            await fleet.wait_until(
                lambda: len(fleet.agents) == ENGINES, "agents run"
            )
        assert held_versions(fleet) == ["1"] * ENGINES
