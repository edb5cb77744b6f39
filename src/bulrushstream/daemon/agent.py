"""The agent instance, which runs routers' requests at one endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Final, Protocol

from bulrushstream.coordination import lease
from bulrushstream.coordination import orders as placement
from bulrushstream.coordination.agent import (
    AgentOptions,
    handle,
    new_agent,
)
from bulrushstream.coordination.lease import STREAM as LEASES_STREAM
from bulrushstream.daemon.base import Instance, InstanceDeps, new_incarnation
from bulrushstream.daemon.driver import Core
from bulrushstream.daemon.status import AgentStatus
from bulrushstream.settings import AgentSettings, EndpointKind
from bulrushstream.state.effect import CancelRun, Effect, SendOrder, StartRun
from bulrushstream.state.event import Event, RunEnd
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Dispatch
from bulrushstream.state.order import EngineOrder
from bulrushstream.transport.endpoint import (
    EndpointRunner,
    RunEvent,
    RunnerOptions,
)
from bulrushstream.transport.fetch import Fetcher
from bulrushstream.transport.orders import poll_holdings, send_order
from bulrushstream.transport.reports import poll_cache, poll_load

RunKey = tuple[str, int]

IDLE_LEASES_INTERVAL_S: Final = 60.0

# High enough that slots limit concurrent runs, and connections never do.
MAX_CONNECTIONS: Final = 65_536


class Runner(Protocol):
    """An agent's access to its endpoint."""

    @property
    def client(self) -> Fetcher:
        """Return the client for reports and orders."""
        ...

    def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        """Run an attempt; closing the generator cancels it."""
        ...

    async def close(self) -> None:
        """Close the connections."""


class AgentInstance(Instance):
    """One agent and the runs at its endpoint."""

    _runs: dict[RunKey, asyncio.Task[None]]  # By request id and attempt.

    def __init__(
        self,
        settings: AgentSettings,
        deps: InstanceDeps,
        options: AgentOptions | None = None,
    ) -> None:
        """Create an agent that is not started.

        :param settings: the validated settings
        :param deps: its other collaborators
        :param options: the core's options; None: the defaults
        """
        endpoint = settings.endpoint
        info = InstanceInfo(
            key=InstanceKey(settings.instance, new_incarnation()),
            role=Role.AGENT,
            region=settings.region,
            availability_zone=settings.availability_zone,
            host=settings.advertised_host or settings.peers.host,
            port=settings.peers.port,
            service=endpoint.service,
            endpoint=endpoint.name,
        )
        super().__init__(info, settings.platform, deps, reads_log=False)
        self._settings = settings
        self._runs = {}
        self.core = new_agent(
            info, options or AgentOptions(), self.rng, self.clock()
        )
        self.orders = placement.new_orders(
            info, self.rng, reports_holdings=bool(endpoint.holdings_path)
        )
        self.runner: Runner = EndpointRunner(
            RunnerOptions(
                base_url=endpoint.url,
                is_model_engine=endpoint.kind is EndpointKind.MODEL,
                check_path=endpoint.load_path or endpoint.health_path,
                max_connections=MAX_CONNECTIONS,
                on_excess=self.peer_exceeded,
            )
        )

    async def start(self) -> None:
        """Start the servers and the tasks."""
        core = Core(
            "agent", lambda event, now_s: handle(self.core, event, now_s)
        )
        # The placement core is first, so that the agent core sees the
        # currently loaded models for the same event.
        placement_core = Core("placement", self._handle_placement)
        self.start_cores([placement_core, core], self._execute_role_effect)
        await self.listen(self._settings.peers.host, self.info.port)
        await self.start_operators(self._settings.operators)
        self.register()
        if self._settings.endpoint.orders_path:
            self.follow(LEASES_STREAM, self._lease_interval_s)
        self._start_reports()

    @property
    def busy(self) -> bool:
        """Return whether a router still lacks part of an answer."""
        return not self.core.idle

    def status(self) -> AgentStatus:
        """Return the agent's status; see `Instance`."""
        now_s = self.clock()
        return AgentStatus(
            common=self.common_status(),
            service=self.info.service,
            endpoint=self.info.endpoint,
            slots=self.core.capacity(now_s),
            running=self.core.running_count,
            breaker=self.core.breaker.phase(now_s).name.lower(),
        )

    def read_metrics(self) -> bytes:
        """Return the metrics with current slot counts; see `Instance`."""
        slots = self.deps.metrics.slots
        slots.labels("open").set(self.core.capacity(self.clock()))
        slots.labels("running").set(self.core.running_count)
        return super().read_metrics()

    def unfinished(self) -> list[str]:
        """Return the ids of the requests in flight; see `Instance`."""
        return [request_id for request_id, _ in self._runs]

    async def stop(self, limit_s: float) -> bool:
        """Drain and stop.

        :param limit_s: the longest wait for requests in flight, in seconds
        :returns: whether all of them ended in time
        """
        completed = await self.drain(limit_s)
        await self.close()
        return completed

    async def _shut_down(self) -> None:
        """Also close the connections to the endpoint; see `Instance`."""
        await super()._shut_down()
        await self.runner.close()

    def _start_reports(self) -> None:
        """Start polling the reports that the endpoint offers."""
        endpoint = self._settings.endpoint
        if endpoint.load_path:
            self.spawn(
                poll_load(
                    self.runner.client,
                    endpoint.load_path,
                    endpoint.load_interval_s,
                    self.driver.post,
                ),
                "load",
            )
        if endpoint.events_path:
            self.spawn(
                poll_cache(
                    self.runner.client,
                    endpoint.events_path,
                    endpoint.load_interval_s,
                    self.driver.post,
                ),
                "cache",
            )

        if endpoint.holdings_path:
            self.spawn(
                poll_holdings(
                    self.runner.client,
                    endpoint.holdings_path,
                    endpoint.load_interval_s,
                    self.driver.post,
                ),
                "holdings",
            )

    def _handle_placement(self, event: Event, now_s: float) -> list[Effect]:
        """Handle an event in the placement core.

        The agent core is given the models that are loaded afterwards.
        """
        was_active = self.orders.leases.active
        effects = placement.handle(self.orders, event, now_s)
        if self.orders.leases.active and not was_active:
            # Leases were read rarely until now and may be outdated.
            self.read_now(LEASES_STREAM)
        self.core.loaded_models = placement.loaded_models(self.orders)
        return effects

    def _lease_interval_s(self) -> float:
        """Return the interval of reads of the leases; long if inactive."""
        leases = self.orders.leases
        if not leases.active:
            return IDLE_LEASES_INTERVAL_S
        return lease.poll_interval_s(leases)

    async def _send_order(self, order: EngineOrder) -> None:
        """Send an order to the engine and post its answer."""
        path = self._settings.endpoint.orders_path
        client = self.runner.client
        self.driver.post(await send_order(client, path, order))

    def _execute_role_effect(self, effect: Effect) -> bool:
        """Execute an agent's effect; return False for other effects."""
        match effect:
            case StartRun(dispatch):
                self._start_run(dispatch)
            case SendOrder(order):
                self.spawn(self._send_order(order), "order")
            case CancelRun(request_id, attempt):
                task = self._runs.get((request_id, attempt))
                if task is not None:
                    task.cancel()
            case _:
                return False
        return True

    def _start_run(self, dispatch: Dispatch) -> None:
        """Start a run in a task that `CancelRun` can cancel."""
        key = (dispatch.request_id, dispatch.attempt)
        task = self.spawn(self._run(dispatch), f"run {key[0]}")
        self._runs[key] = task
        task.add_done_callback(lambda ended: self._run_ended(key, ended))

    async def _run(self, dispatch: Dispatch) -> None:
        """Run one attempt and post its events."""
        async with aclosing(self.runner.run(dispatch)) as events:
            async for event in events:
                self.driver.post(event)

    def _run_ended(self, key: RunKey, task: asyncio.Task[None]) -> None:
        """Remove a run; post its end if it was cancelled or failed."""
        del self._runs[key]
        if task.cancelled():
            reason = "cancelled"
        elif task.exception() is not None:
            reason = f"failed: {task.exception()!r}"
        else:
            return
        # How much of the request the endpoint received is unknown.
        self.driver.post(
            RunEnd(*key, complete=False, started=True, detail=reason)
        )
