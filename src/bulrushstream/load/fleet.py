"""The local fleet of a scenario, with stand-ins as its endpoints."""

from __future__ import annotations

from bulrushstream.load.scenario import Scenario, ServiceSite, fleet_config
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.standins.engine import EngineOptions
from bulrushstream.standins.plain import PlainOptions


def local_plan(scenario: Scenario) -> LocalPlan:
    """Return the local fleet that a scenario asks for.

    :param scenario: The scenario.
    :returns: Its endpoints, routers and configuration.
    """
    return LocalPlan(
        config=fleet_config(scenario),
        services=tuple(_service(site) for site in scenario.services),
        routers=len(scenario.routers),
        availability_zones=scenario.availability_zones,
        region=scenario.region,
        zone_delay_s=scenario.zone_delay_s,
    )


def _service(site: ServiceSite) -> LocalService:
    """Return the endpoints of a service."""
    engine = EngineOptions(
        slots=site.slots,
        models=(site.model,),
        first_token_s=site.first_token_s,
        token_s=site.token_s,
        batch_slowdown=site.batch_slowdown,
    )
    plain = PlainOptions(slots=site.slots, call_s=site.call_s)
    return LocalService(site.name, site.kind, site.endpoints, engine, plain)
