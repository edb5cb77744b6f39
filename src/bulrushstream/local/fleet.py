"""Start, stop, kill and restart the parts of a local fleet."""

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

# What a peer sends is delayed by so much; None: not at all.
Delay: TypeAlias = Callable[[InstanceInfo], float] | None


@dataclass(slots=True)
class LocalEndpoint:
    """One endpoint with its server."""

    name: str  # Unique in the fleet.
    service: LocalService  # Which service it belongs to.
    availability_zone: str  # Where it runs.
    app: Engine | Plain  # The stand-in.
    server: Server  # Where it listens.


def _make_router(settings: RouterSettings, delay: Delay) -> RouterInstance:
    """Make a router as production does."""
    return compose.make_router(settings, delay_for=delay)


def _make_agent(settings: AgentSettings, delay: Delay) -> AgentInstance:
    """Make an agent as production does."""
    return compose.make_agent(settings, delay_for=delay)


@dataclass(frozen=True, slots=True)
class Parts:
    """How the instances of a local fleet are made."""

    make_router: Callable[[RouterSettings, Delay], RouterInstance] = (
        _make_router
    )
    make_agent: Callable[[AgentSettings, Delay], AgentInstance] = _make_agent


@dataclass(slots=True)
class LocalFleet:
    """A running local fleet."""

    plan: LocalPlan  # What it is made of.
    log: Log  # The platform's log.
    log_server: Server  # Where it listens.
    listing: Instances  # The platform's instance list.
    listing_server: Server  # Where it listens.
    endpoints: dict[str, LocalEndpoint]  # By name.
    security: SecuritySettings  # The fleet's shared secret.
    parts: Parts  # How its instances are made.
    routers: dict[str, RouterInstance] = field(default_factory=dict)
    agents: dict[str, AgentInstance] = field(default_factory=dict)

    def zone(self, number: int) -> str:
        """Return the availability zone of the part with this number."""
        zones = self.plan.availability_zones
        return zones[number % len(zones)]

    def platform(self) -> PlatformSettings:
        """Return where the platform's services are."""
        return PlatformSettings(
            log_url=self.log_server.url,
            instances_url=self.listing_server.url,
            list_interval_s=self.plan.list_interval_s,
            log_retention_s=self.plan.log_retention_s,
        )

    async def start_router(self, number: int) -> RouterInstance:
        """Start a router, anew if it ran before.

        :param number: its number, from 0
        """
        ports = self.plan.callers_ports
        name = f"router-{number}"
        zone = self.zone(number)
        port = ports[number] if number < len(ports) else 0
        settings = RouterSettings(
            instance=name,
            region=self.plan.region,
            availability_zone=zone,
            platform=self.platform(),
            security=self.security,
            callers=ListenSettings(HOST, port),
            drain_timeout_s=self.plan.drain_timeout_s,
        )
        router = self.parts.make_router(settings, self._delay(zone))
        await router.start()
        self.routers[name] = router
        return router

    async def start_agent(self, endpoint_name: str) -> AgentInstance:
        """Start the agent of an endpoint, anew if it ran before.

        :param endpoint_name: the endpoint that it stands beside
        """
        endpoint = self.endpoints[endpoint_name]
        name = f"agent-{endpoint_name}"
        model = endpoint.service.kind is ServiceKind.MODEL
        settings = AgentSettings(
            instance=name,
            region=self.plan.region,
            availability_zone=endpoint.availability_zone,
            platform=self.platform(),
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
        agent = self.parts.make_agent(
            settings, self._delay(endpoint.availability_zone)
        )
        await agent.start()
        self.agents[name] = agent
        return agent

    def publish(self, config: FleetConfig, base: VersionedConfig) -> int:
        """Append a configuration to the log.

        :param config: the configuration
        :param base: the version that it derives from
        :returns: the version of the record
        """
        body = encode_publish(base, config, secrets.token_hex(8))
        return append_record(self.log.state, STREAM, body)

    async def until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until something holds.

        :param condition: what must hold
        :param what: names it, for the error
        :raises TimeoutError: if it takes too long
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise TimeoutError(f"waited too long until {what}") from error

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

    def _delay(self, zone: str) -> Delay:
        """Return the delay of what peers in other zones send."""
        delay_s = self.plan.zone_delay_s
        if not delay_s:
            return None
        return lambda peer: 0.0 if peer.availability_zone == zone else delay_s


@asynccontextmanager
async def run_fleet(
    plan: LocalPlan, parts: Parts | None = None
) -> AsyncIterator[LocalFleet]:
    """Run a local fleet for as long as the context is open.

    :param plan: what it is made of
    :param parts: how its instances are made; None: as in production
    :returns: the fleet, configured and connected
    """
    async with AsyncExitStack() as stack:
        log = make_log(plan.log)
        listing = make_instances(plan.instances)
        fleet = LocalFleet(
            plan=plan,
            log=log,
            log_server=await stack.enter_async_context(serve(log.asgi)),
            listing=listing,
            listing_server=await stack.enter_async_context(
                serve(listing.asgi)
            ),
            endpoints={},
            security=SecuritySettings(shared_secret=secrets.token_hex(16)),
            parts=parts or Parts(),
        )
        for service in plan.services:
            await _start_endpoints(fleet, service, stack)
        fleet.publish(plan.config, EMPTY_CONFIG)
        stack.push_async_callback(_close, fleet)
        for name in fleet.endpoints:
            await fleet.start_agent(name)
        for number in range(plan.routers):
            await fleet.start_router(number)
        await fleet.until(fleet.ready, "the fleet is ready")
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
            name, service, fleet.zone(number), app, server
        )


async def _close(fleet: LocalFleet) -> None:
    """Stop every instance, without waiting for requests."""
    await asyncio.gather(
        *(router.server.stop(grace_s=0.1) for router in fleet.routers.values())
    )
    await asyncio.gather(
        *(router.close() for router in fleet.routers.values()),
        *(agent.close() for agent in fleet.agents.values()),
    )
