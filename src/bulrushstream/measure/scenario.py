"""Run a scenario over real sockets in one process and measure it.

Callers, routers, agents and endpoints share one event loop and one core,
so waits and idle times also hold what that costs; the figures of policies
compare because all of them run alike.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from bulrushstream.compose import fleet as compose
from bulrushstream.daemon.agent import AgentInstance
from bulrushstream.daemon.router import RouterInstance
from bulrushstream.history.record import LoadChanged
from bulrushstream.history.shares import largest_gap
from bulrushstream.load.run import run_load
from bulrushstream.load.scenario import Scenario, fleet_config
from bulrushstream.load.summary import LoadSummary
from bulrushstream.local.fleet import Delay, LocalFleet, Parts, run_fleet
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.measure.baseline import BaselineRouter
from bulrushstream.measure.meter import Meter, MeteredRunner
from bulrushstream.measure.policies import Policy, agent_options
from bulrushstream.measure.table import percentile
from bulrushstream.settings import AgentSettings, RouterSettings
from bulrushstream.standins.engine import EngineOptions
from bulrushstream.standins.plain import PlainOptions
from bulrushstream.state.request import RequestClass

TICK_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class ServiceResult:
    """What came of one service in a scenario."""

    service: str  # Which service.
    gap: float  # The largest fairness gap, in its weighted units.
    utilisation: float  # Busy part of the slots while work waited.
    waited_s: float  # How long work waited in all.
    longest_idle_ms: float  # The longest time a slot idled beside work.
    interactive_p95_s: float  # Wait of interactive requests.
    batch_p95_s: float  # Wait of batch requests.


@dataclass(frozen=True, slots=True)
class NodeResult:
    """What control cost one node."""

    instance: str  # Which node.
    control_bytes_per_s: float  # Sent and received, payload left out.
    core_cpu_share: float  # Of one core, in its decisions.


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """What came of a scenario under one policy."""

    scenario: str  # Which scenario.
    policy: str  # Which policy.
    seed: int  # What decided the load.
    services: tuple[ServiceResult, ...]  # By service.
    nodes: tuple[NodeResult, ...]  # By instance.
    load: LoadSummary  # What the callers saw.
    served: tuple[tuple[float, tuple[float, ...]], ...]  # For the plot.
    workspaces: tuple[str, ...]  # The columns of `served`.


async def measure_scenario(
    scenario: Scenario, policy: Policy, seed: int
) -> ScenarioResult:
    """Run a scenario once.

    :param scenario: the fleet and the load
    :param policy: who decides where requests run
    :param seed: decides what is left to chance
    """
    config = fleet_config(scenario)
    slots = {
        site.name: site.endpoints * site.slots for site in scenario.services
    }
    meter = Meter(asyncio.get_running_loop().time, config, slots)
    workspaces = tuple(share.name for share in scenario.workspaces)
    first = scenario.services[0].name
    series: list[tuple[float, tuple[float, ...]]] = []
    async with run_fleet(local_plan(scenario), _parts(meter, policy)) as fleet:
        begun_s = time.monotonic()
        bytes_before = _control_bytes(fleet)
        cpu_before = _core_cpu_s(fleet)
        ticking = asyncio.create_task(
            _tick(meter, series, begun_s, first, workspaces)
        )
        urls = [router.server.url for router in fleet.routers.values()]
        load = await run_load(scenario, urls, seed)
        ticking.cancel()
        elapsed_s = time.monotonic() - begun_s
        nodes = _nodes(fleet, bytes_before, cpu_before, elapsed_s)
    return ScenarioResult(
        scenario=scenario.name,
        policy=policy.value,
        seed=seed,
        services=tuple(
            _service_result(meter, site.name, slots[site.name])
            for site in scenario.services
        ),
        nodes=nodes,
        load=load,
        served=tuple(series),
        workspaces=workspaces,
    )


def local_plan(scenario: Scenario) -> LocalPlan:
    """Return the local fleet that a scenario asks for.

    :param scenario: the scenario
    """
    return LocalPlan(
        config=fleet_config(scenario),
        services=tuple(
            LocalService(
                site.name,
                site.kind,
                site.endpoints,
                engine=EngineOptions(
                    slots=site.slots,
                    models=(site.model,),
                    first_token_s=site.first_token_s,
                    token_s=site.token_s,
                    batch_slowdown=site.batch_slowdown,
                ),
                plain=PlainOptions(slots=site.slots, call_s=site.call_s),
            )
            for site in scenario.services
        ),
        routers=len(scenario.routers),
        availability_zones=scenario.availability_zones,
        region=scenario.region,
        zone_delay_s=scenario.zone_delay_s,
    )


def _parts(meter: Meter, policy: Policy) -> Parts:
    """Return how to make instances that are measured."""

    def make_router(settings: RouterSettings, delay: Delay) -> RouterInstance:
        around = compose.make_deps(
            settings.security, settings.instance, delay, time.thread_time
        )
        if policy is Policy.FAIR_PULL:
            router = RouterInstance(settings, around)
        else:
            router = BaselineRouter(settings, around, policy)
        router.callers_port.on_event = meter.passed
        return router

    def make_agent(settings: AgentSettings, delay: Delay) -> AgentInstance:
        around = compose.make_deps(
            settings.security, settings.instance, delay, time.thread_time
        )
        agent = AgentInstance(settings, around, agent_options(policy))
        agent.runner = MeteredRunner(agent.runner, meter)
        return agent

    return Parts(make_router, make_agent)


async def _tick(
    meter: Meter,
    series: list[tuple[float, tuple[float, ...]]],
    begun_s: float,
    service: str,
    workspaces: tuple[str, ...],
) -> None:
    """Count running time, and note the service given, until cancelled."""
    while True:
        meter.tick()
        given = tuple(meter.served[(service, name)] for name in workspaces)
        series.append((time.monotonic() - begun_s, given))
        await asyncio.sleep(TICK_S)


def _control_bytes(fleet: LocalFleet) -> dict[str, int]:
    """Return the bytes without payload that each node sent and received."""
    instances = [*fleet.routers.items(), *fleet.agents.items()]
    return {
        name: each.mesh.sent.control_bytes()
        + each.mesh.received.control_bytes()
        for name, each in instances
    }


def _core_cpu_s(fleet: LocalFleet) -> dict[str, float]:
    """Return the processor time in the decisions of each node."""
    instances = [*fleet.routers.items(), *fleet.agents.items()]
    return {name: each.driver.core_cpu_s for name, each in instances}


def _nodes(
    fleet: LocalFleet,
    bytes_before: dict[str, int],
    cpu_before: dict[str, float],
    elapsed_s: float,
) -> tuple[NodeResult, ...]:
    """Return what control cost each node since the start."""
    cpu_s = _core_cpu_s(fleet)
    return tuple(
        NodeResult(
            name,
            (size - bytes_before[name]) / elapsed_s,
            (cpu_s[name] - cpu_before[name]) / elapsed_s,
        )
        for name, size in _control_bytes(fleet).items()
    )


def _service_result(meter: Meter, service: str, slots: int) -> ServiceResult:
    """Return what the meter knows of one service."""
    mine = [
        record
        for record in meter.history
        if getattr(record, "service", "") == service
    ]
    supplies = [record for record in mine if isinstance(record, LoadChanged)]
    waited_s, idle_s, longest_s = _idle_beside_work(supplies, slots)
    return ServiceResult(
        service=service,
        gap=largest_gap(mine),
        utilisation=1 - idle_s / waited_s if waited_s else 1.0,
        waited_s=waited_s,
        longest_idle_ms=1000 * longest_s,
        interactive_p95_s=_wait_s(meter, service, RequestClass.INTERACTIVE),
        batch_p95_s=_wait_s(meter, service, RequestClass.BATCH),
    )


def _idle_beside_work(
    supplies: Iterable[LoadChanged], slots: int
) -> tuple[float, float, float]:
    """Return the time that work waited, the idle part, and the longest."""
    waited_s = idle_s = longest_s = 0.0
    since_s: float | None = None
    last: LoadChanged | None = None
    for record in supplies:
        if last is not None and last.waiting:
            passed_s = record.at_s - last.at_s
            waited_s += passed_s
            idle_s += passed_s * max(0, last.free_slots) / slots
        idling = record.waiting > 0 and record.free_slots > 0
        if since_s is not None and not idling:
            longest_s = max(longest_s, record.at_s - since_s)
        if not idling:
            since_s = None
        elif since_s is None:
            since_s = record.at_s
        last = record
    return waited_s, idle_s, longest_s


def _wait_s(meter: Meter, service: str, kind: RequestClass) -> float:
    """Return the 95th percentile of the waits of a class."""
    waits_s = [
        wait_s
        for (name, _, request_class), group in meter.waits_s.items()
        if name == service and request_class == kind.value
        for wait_s in group
    ]
    return percentile(waits_s, 95) if waits_s else 0.0
