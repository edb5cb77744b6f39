"""The local fleet of a scenario, with stand-ins as its endpoints."""

from __future__ import annotations

from bulrushstream.load.scenario import Scenario, ScenarioService, fleet_config
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.standins.engine import EngineOptions
from bulrushstream.standins.plain import PlainOptions


def local_plan(scenario: Scenario) -> LocalPlan:
    """Return the plan of a local fleet for a scenario.

    :param scenario: The scenario.
    :returns: Its endpoints, routers and configuration.
    """
    return LocalPlan(
        config=fleet_config(scenario),
        services=tuple(
            _local_service(service) for service in scenario.services
        ),
        routers=len(scenario.routers),
        availability_zones=scenario.availability_zones,
        region=scenario.region,
        zone_delay_s=scenario.zone_delay_s,
    )


def _local_service(service: ScenarioService) -> LocalService:
    """Return the plan of a service's endpoints."""
    engine = EngineOptions(
        slots=service.slots,
        models=(service.model,),
        first_token_s=service.first_token_s,
        token_s=service.token_s,
        batch_slowdown=service.batch_slowdown,
    )
    plain = PlainOptions(slots=service.slots, call_s=service.call_s)
    return LocalService(
        service.name, service.kind, service.endpoints, engine, plain
    )
