"""Run a scenario over real sockets in one process and measure it.

Callers, routers, agents and endpoints share one event loop and one processor
core, so wait and idle times include the delays of this sharing.  Results of
different policies are comparable because all run in the same way.
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
from bulrushstream.local.fleet import (
    Delay,
    InstanceFactories,
    LocalFleet,
    run_fleet,
)
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.measure.baseline import BaselineRouter
from bulrushstream.measure.meter import Meter, MeteredRunner
from bulrushstream.measure.policies import Policy, agent_options
from bulrushstream.measure.table import percentile
from bulrushstream.settings import AgentSettings, RouterSettings
from bulrushstream.standins.engine import EngineOptions
from bulrushstream.standins.plain import PlainOptions
from bulrushstream.state.request import RequestClass

SAMPLE_INTERVAL_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class ServiceResult:
    """The results of one service in a scenario."""

    service: str
    gap: float  # Largest fairness gap, in service units over weight.
    utilisation: float  # Busy fraction of slots while requests waited.
    waited_s: float  # Total time with at least one waiting request.
    longest_idle_ms: float  # Longest slot idle time while requests waited.
    interactive_p95_s: float  # Wait of interactive requests.
    batch_p95_s: float  # Wait of batch requests.


@dataclass(frozen=True, slots=True)
class NodeResult:
    """The control overhead of one router or agent."""

    instance: str
    control_bytes_per_s: float  # Sent and received, without payload.
    core_cpu_share: float  # Fraction of one processor spent in its core.


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """The results of a scenario with one policy."""

    scenario: str
    policy: str
    seed: int  # Seed of the load.
    services: tuple[ServiceResult, ...]
    nodes: tuple[NodeResult, ...]  # One per router and agent.
    load: LoadSummary  # Results at the callers.
    # Samples of the first service: time in s, service received by workspace.
    served: tuple[tuple[float, tuple[float, ...]], ...]
    workspaces: tuple[str, ...]  # The order of service in `served`.


async def measure_scenario(
    scenario: Scenario, policy: Policy, seed: int
) -> ScenarioResult:
    """Run a scenario once.

    :param scenario: the fleet and the load
    :param policy: the routing policy
    :param seed: the seed of the load
    """
    config = fleet_config(scenario)
    slots = {
        service.name: service.endpoints * service.slots
        for service in scenario.services
    }
    meter = Meter(asyncio.get_running_loop().time, config, slots)
    workspaces = tuple(workspace.name for workspace in scenario.workspaces)
    sampled_service = scenario.services[0].name
    series: list[tuple[float, tuple[float, ...]]] = []
    async with run_fleet(
        local_plan(scenario), _instance_factories(meter, policy)
    ) as fleet:
        started_s = time.monotonic()
        bytes_before = _control_bytes(fleet)
        cpu_before = _core_cpu_s(fleet)
        sampler = asyncio.create_task(
            _sample_service(
                meter, series, started_s, sampled_service, workspaces
            )
        )
        urls = [router.server.url for router in fleet.routers.values()]
        load = await run_load(scenario, urls, seed)
        sampler.cancel()
        elapsed_s = time.monotonic() - started_s
        nodes = _node_results(fleet, bytes_before, cpu_before, elapsed_s)
    return ScenarioResult(
        scenario=scenario.name,
        policy=policy.value,
        seed=seed,
        services=tuple(
            _service_result(meter, service.name, slots[service.name])
            for service in scenario.services
        ),
        nodes=nodes,
        load=load,
        served=tuple(series),
        workspaces=workspaces,
    )


def local_plan(scenario: Scenario) -> LocalPlan:
    """Return the plan of a local fleet for a scenario.

    :param scenario: the scenario
    """
    return LocalPlan(
        config=fleet_config(scenario),
        services=tuple(
            LocalService(
                service.name,
                service.kind,
                service.endpoints,
                engine=EngineOptions(
                    slots=service.slots,
                    models=(service.model,),
                    first_token_s=service.first_token_s,
                    token_s=service.token_s,
                    batch_slowdown=service.batch_slowdown,
                ),
                plain=PlainOptions(slots=service.slots, call_s=service.call_s),
            )
            for service in scenario.services
        ),
        routers=len(scenario.routers),
        availability_zones=scenario.availability_zones,
        region=scenario.region,
        zone_delay_s=scenario.zone_delay_s,
    )


def _instance_factories(meter: Meter, policy: Policy) -> InstanceFactories:
    """Return factories of instances that report to a meter."""

    def make_router(settings: RouterSettings, delay: Delay) -> RouterInstance:
        deps = compose.make_deps(
            settings.security, settings.instance, delay, time.thread_time
        )
        if policy is Policy.FAIR_PULL:
            router = RouterInstance(settings, deps)
        else:
            router = BaselineRouter(settings, deps, policy)
        router.callers_port.on_event = meter.on_port_event
        return router

    def make_agent(settings: AgentSettings, delay: Delay) -> AgentInstance:
        deps = compose.make_deps(
            settings.security, settings.instance, delay, time.thread_time
        )
        agent = AgentInstance(settings, deps, agent_options(policy))
        agent.runner = MeteredRunner(agent.runner, meter)
        return agent

    return InstanceFactories(make_router, make_agent)


async def _sample_service(
    meter: Meter,
    series: list[tuple[float, tuple[float, ...]]],
    started_s: float,
    service: str,
    workspaces: tuple[str, ...],
) -> None:
    """Sample the service received per workspace until cancelled."""
    while True:
        meter.count_running_time()
        received = tuple(meter.served[(service, name)] for name in workspaces)
        series.append((time.monotonic() - started_s, received))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _control_bytes(fleet: LocalFleet) -> dict[str, int]:
    """Return bytes sent and received per instance, without payload."""
    instances = [*fleet.routers.items(), *fleet.agents.items()]
    return {
        name: each.mesh.sent.control_bytes()
        + each.mesh.received.control_bytes()
        for name, each in instances
    }


def _core_cpu_s(fleet: LocalFleet) -> dict[str, float]:
    """Return the processor time spent in each instance's core, in s."""
    instances = [*fleet.routers.items(), *fleet.agents.items()]
    return {name: each.driver.core_cpu_s for name, each in instances}


def _node_results(
    fleet: LocalFleet,
    bytes_before: dict[str, int],
    cpu_before: dict[str, float],
    elapsed_s: float,
) -> tuple[NodeResult, ...]:
    """Return the control overhead of each instance since the start."""
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
    """Return the results of one service."""
    records = [
        record
        for record in meter.history
        if getattr(record, "service", "") == service
    ]
    supplies = [
        record for record in records if isinstance(record, LoadChanged)
    ]
    waited_s, idle_s, longest_s = _idle_while_waiting(supplies, slots)
    return ServiceResult(
        service=service,
        gap=largest_gap(records),
        utilisation=1 - idle_s / waited_s if waited_s else 1.0,
        waited_s=waited_s,
        longest_idle_ms=1000 * longest_s,
        interactive_p95_s=_wait_p95_s(
            meter, service, RequestClass.INTERACTIVE
        ),
        batch_p95_s=_wait_p95_s(meter, service, RequestClass.BATCH),
    )


def _idle_while_waiting(
    supplies: Iterable[LoadChanged], slots: int
) -> tuple[float, float, float]:
    """Return times in s, counted only while requests waited.

    They are the total time, the idle time (weighted by the fraction of free
    slots) and the longest period with a free slot.
    """
    waited_s = idle_s = longest_s = 0.0
    idle_since_s: float | None = None
    last: LoadChanged | None = None
    for record in supplies:
        if last is not None and last.waiting:
            passed_s = record.at_s - last.at_s
            waited_s += passed_s
            idle_s += passed_s * max(0, last.free_slots) / slots
        idling = record.waiting > 0 and record.free_slots > 0
        if idle_since_s is not None and not idling:
            longest_s = max(longest_s, record.at_s - idle_since_s)
        if not idling:
            idle_since_s = None
        elif idle_since_s is None:
            idle_since_s = record.at_s
        last = record
    return waited_s, idle_s, longest_s


def _wait_p95_s(meter: Meter, service: str, kind: RequestClass) -> float:
    """Return the 95th percentile of waits in a request class, in s."""
    waits_s = [
        wait_s
        for (name, _, request_class), group in meter.waits_s.items()
        if name == service and request_class == kind.value
        for wait_s in group
    ]
    return percentile(waits_s, 95) if waits_s else 0.0
