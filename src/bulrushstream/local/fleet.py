"""Start and restart the routers, agents and endpoints of a local fleet."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from bulrushstream.compose import fleet as compose
from bulrushstream.coordination.configlog import STREAM, encode_publish
from bulrushstream.daemon.agent import AgentInstance
from bulrushstream.daemon.router import RouterInstance
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.settings import (
    AgentSettings,
    EndpointKind,
    EndpointSettings,
    ListenSettings,
    PlatformSettings,
    RouterSettings,
    SecuritySettings,
)
from bulrushstream.standins.engine import Engine, make_engine
from bulrushstream.standins.instances import Instances, make_instances
from bulrushstream.standins.log import Log, append_record, make_log
from bulrushstream.standins.plain import Plain, make_plain
from bulrushstream.state.config import (
    EMPTY_CONFIG,
    FleetConfig,
    ServiceKind,
    VersionedConfig,
)
from bulrushstream.state.identity import InstanceInfo
from bulrushstream.transport.server import Server, serve

HOST: Final = "127.0.0.1"
START_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.01

# Returns the delay in seconds of messages from a peer; None: no delay.
Delay: TypeAlias = Callable[[InstanceInfo], float] | None


@dataclass(slots=True)
class LocalEndpoint:
    """An endpoint stand-in with its server."""

    name: str  # Unique in the fleet.
    service: LocalService
    availability_zone: str
    app: Engine | Plain
    server: Server


def _make_router(settings: RouterSettings, delay: Delay) -> RouterInstance:
    """Make a router as in production, with message delays."""
    return compose.make_router(settings, delay_for=delay)


def _make_agent(settings: AgentSettings, delay: Delay) -> AgentInstance:
    """Make an agent as in production, with message delays."""
    return compose.make_agent(settings, delay_for=delay)


@dataclass(frozen=True, slots=True)
class InstanceFactories:
    """The functions that make the instances of a local fleet."""

    make_router: Callable[[RouterSettings, Delay], RouterInstance] = (
        _make_router
    )
    make_agent: Callable[[AgentSettings, Delay], AgentInstance] = _make_agent


@dataclass(slots=True)
class LocalFleet:
    """A running local fleet."""

    plan: LocalPlan
    log: Log
    log_server: Server
    instance_list: Instances
    instance_list_server: Server
    endpoints: dict[str, LocalEndpoint]  # By name.
    security: SecuritySettings  # With the fleet's shared secret.
    factories: InstanceFactories
    routers: dict[str, RouterInstance] = field(default_factory=dict)
    agents: dict[str, AgentInstance] = field(default_factory=dict)

    def zone_of(self, number: int) -> str:
        """Return the availability zone of the router or endpoint number."""
        zones = self.plan.availability_zones
        return zones[number % len(zones)]

    def platform_settings(self) -> PlatformSettings:
        """Return the settings for the platform's services."""
        return PlatformSettings(
            log_url=self.log_server.url,
            instances_url=self.instance_list_server.url,
            list_interval_s=self.plan.list_interval_s,
            log_retention_s=self.plan.log_retention_s,
        )

    async def start_router(self, number: int) -> RouterInstance:
        """Start or restart a router.

        :param number: the router's number, from 0
        """
        ports = self.plan.caller_ports
        name = f"router-{number}"
        zone = self.zone_of(number)
        port = ports[number] if number < len(ports) else 0
        settings = RouterSettings(
            instance=name,
            region=self.plan.region,
            availability_zone=zone,
            platform=self.platform_settings(),
            security=self.security,
            callers=ListenSettings(HOST, port),
            drain_timeout_s=self.plan.drain_timeout_s,
        )
        router = self.factories.make_router(
            settings, self._delay_for_zone(zone)
        )
        await router.start()
        self.routers[name] = router
        return router

    async def start_agent(self, endpoint_name: str) -> AgentInstance:
        """Start or restart the agent of an endpoint.

        :param endpoint_name: the endpoint's name
        """
        endpoint = self.endpoints[endpoint_name]
        name = f"agent-{endpoint_name}"
        model = endpoint.service.kind is ServiceKind.MODEL
        settings = AgentSettings(
            instance=name,
            region=self.plan.region,
            availability_zone=endpoint.availability_zone,
            platform=self.platform_settings(),
            security=self.security,
            endpoint=EndpointSettings(
                name=endpoint_name,
                service=endpoint.service.name,
                kind=EndpointKind.MODEL if model else EndpointKind.PLAIN,
                url=endpoint.server.url,
                load_path="/load",
                events_path="/cache-events" if model else "",
                orders_path="/orders" if model else "",
                holdings_path="/models" if model else "",
            ),
            drain_timeout_s=self.plan.drain_timeout_s,
        )
        agent = self.factories.make_agent(
            settings, self._delay_for_zone(endpoint.availability_zone)
        )
        await agent.start()
        self.agents[name] = agent
        return agent

    def publish(self, config: FleetConfig, base: VersionedConfig) -> int:
        """Append a configuration to the log.

        :param config: the configuration
        :param base: the version that it is based on
        :returns: the record's offset, which is the new version
        """
        body = encode_publish(base, config, secrets.token_hex(8))
        return append_record(self.log.state, STREAM, body)

    async def wait_until(
        self, condition: Callable[[], bool], description: str
    ) -> None:
        """Wait until a condition is true.

        :param condition: the condition, which is polled
        :param description: names the condition in the error
        :raises TimeoutError: if it is not true in time
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise TimeoutError(
                f"not true within {START_TIMEOUT_S:g} s: {description}"
            ) from error

    def ready(self) -> bool:
        """Return whether every instance is configured and connected."""
        routers = self.routers.values()
        agents = self.agents.values()
        if not all(r.callers_port.index is not None for r in routers):
            return False
        if not all(a.core.service is not None for a in agents):
            return False
        links = len(self.agents) + len(self.routers) - 1
        return all(len(r.mesh.links) >= links for r in routers)

    def _delay_for_zone(self, zone: str) -> Delay:
        """Return the message delay for an instance in a zone."""
        delay_s = self.plan.zone_delay_s
        if not delay_s:
            return None
        return lambda peer: 0.0 if peer.availability_zone == zone else delay_s


@asynccontextmanager
async def run_fleet(
    plan: LocalPlan, factories: InstanceFactories | None = None
) -> AsyncIterator[LocalFleet]:
    """Run a local fleet for as long as the context is open.

    :param plan: the composition of the fleet
    :param factories: make its instances; None: as in production
    :returns: the fleet, configured and connected
    """
    async with AsyncExitStack() as stack:
        log = make_log(plan.log)
        instance_list = make_instances(plan.instances)
        fleet = LocalFleet(
            plan=plan,
            log=log,
            log_server=await stack.enter_async_context(serve(log.asgi)),
            instance_list=instance_list,
            instance_list_server=await stack.enter_async_context(
                serve(instance_list.asgi)
            ),
            endpoints={},
            security=SecuritySettings(shared_secret=secrets.token_hex(16)),
            factories=factories or InstanceFactories(),
        )
        for service in plan.services:
            await _start_endpoints(fleet, service, stack)
        fleet.publish(plan.config, EMPTY_CONFIG)
        stack.push_async_callback(_close, fleet)
        for name in fleet.endpoints:
            await fleet.start_agent(name)
        for number in range(plan.routers):
            await fleet.start_router(number)
        await fleet.wait_until(fleet.ready, "the fleet is ready")
        yield fleet


async def _start_endpoints(
    fleet: LocalFleet, service: LocalService, stack: AsyncExitStack
) -> None:
    """Start the endpoints of one service."""
    for number in range(service.endpoints):
        name = f"{service.name}-{number}"
        app: Engine | Plain
        if service.kind is ServiceKind.MODEL:
            app = make_engine(service.engine)
        else:
            app = make_plain(service.plain)
        server = await stack.enter_async_context(serve(app.asgi))
        fleet.endpoints[name] = LocalEndpoint(
            name, service, fleet.zone_of(number), app, server
        )


async def _close(fleet: LocalFleet) -> None:
    """Stop every instance without a drain."""
    await asyncio.gather(
        *(router.server.stop(grace_s=0.1) for router in fleet.routers.values())
    )
    await asyncio.gather(
        *(router.close() for router in fleet.routers.values()),
        *(agent.close() for agent in fleet.agents.values()),
    )
