"""The agent's process: one endpoint behind, routers in front."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Final, Protocol

import httpx

from bulrushstream.coordination import lease
from bulrushstream.coordination import orders as placement
from bulrushstream.coordination.agent import (
    AgentOptions,
    handle,
    new_agent,
)
from bulrushstream.coordination.lease import STREAM as LEASES_STREAM
from bulrushstream.daemon.base import Instance, Surroundings, new_incarnation
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
from bulrushstream.transport.orders import give_order, poll_holdings
from bulrushstream.transport.reports import poll_cache, poll_load

RunKey = tuple[str, int]

IDLE_LEASES_S: Final = 60.0

# Slots bound how many runs there are; the connections must not.
MAX_CONNECTIONS: Final = 65_536


class Runner(Protocol):
    """What an agent needs of its endpoint."""

    @property
    def client(self) -> httpx.AsyncClient:
        """Return the HTTP client, for reports and orders."""
        ...

    def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        """Run one attempt; closing the iterator cancels it."""
        ...

    async def close(self) -> None:
        """Close the connections."""


class AgentInstance(Instance):
    """One agent and the runs at its endpoint."""

    _runs: dict[RunKey, asyncio.Task[None]]  # By request and attempt.

    def __init__(
        self,
        settings: AgentSettings,
        around: Surroundings,
        options: AgentOptions | None = None,
    ) -> None:
        """Make an agent that runs nothing yet.

        :param settings: its checked settings
        :param around: what else it is given
        :param options: its core's options; None: the defaults
        """
        endpoint = settings.endpoint
        me = InstanceInfo(
            key=InstanceKey(settings.instance, new_incarnation()),
            role=Role.AGENT,
            region=settings.region,
            availability_zone=settings.availability_zone,
            host=settings.advertised_host or settings.peers.host,
            port=settings.peers.port,
            service=endpoint.service,
            endpoint=endpoint.name,
        )
        super().__init__(me, settings.platform, around, reads_log=False)
        self._settings = settings
        self._runs = {}
        self.core = new_agent(
            me, options or AgentOptions(), self.rng, self.clock()
        )
        self.orders = placement.new_orders(
            me, self.rng, reports_holdings=bool(endpoint.holdings_path)
        )
        self.runner: Runner = EndpointRunner(
            RunnerOptions(
                base_url=endpoint.url,
                model=endpoint.kind is EndpointKind.MODEL,
                max_connections=MAX_CONNECTIONS,
            )
        )

    async def start(self) -> None:
        """Listen, and start every task."""
        core = Core(
            "agent", lambda event, now_s: handle(self.core, event, now_s)
        )
        # The placement comes first, so that the agent's own core meets
        # the models that are loaded now.
        placing = Core("placement", self._place)
        self.start_cores([placing, core], self._carry_out_own)
        await self.listen(self._settings.peers.host, self.me.port)
        await self.start_operators(self._settings.operators)
        self.register()
        if self._settings.endpoint.orders_path:
            self.follow(LEASES_STREAM, self._lease_interval_s)
        self._start_reports()

    @property
    def busy(self) -> bool:
        """Return whether an answer is not yet with its router."""
        return not self.core.idle

    def status(self) -> AgentStatus:
        """Return what operators ask to see; see `Instance`."""
        now_s = self.clock()
        return AgentStatus(
            common=self.common_status(),
            service=self.me.service,
            endpoint=self.me.endpoint,
            slots=self.core.capacity(now_s),
            running=self.core.running_count,
            breaker=self.core.breaker.phase(now_s).name.lower(),
        )

    def read_metrics(self) -> bytes:
        """Return the metrics with the slots of now; see `Instance`."""
        slots = self.around.metrics.slots
        slots.labels("open").set(self.core.capacity(self.clock()))
        slots.labels("running").set(self.core.running_count)
        return super().read_metrics()

    def unfinished(self) -> list[str]:
        """Return the requests that still run; see `Instance`."""
        return [request_id for request_id, _ in self._runs]

    async def stop(self, limit_s: float) -> bool:
        """Drain and stop.

        :param limit_s: the longest wait for what runs, in seconds
        :returns: whether every run ended by then
        """
        whole = await self.drain(limit_s)
        await self.close()
        return whole

    async def _end(self) -> None:
        """End the runs too; see `Instance`."""
        await super()._end()
        await self.runner.close()

    def _start_reports(self) -> None:
        """Start to read what the endpoint says of itself."""
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

    def _place(self, event: Event, now_s: float) -> list[Effect]:
        """Take an event into the placement's core."""
        was_active = self.orders.leases.active
        effects = placement.handle(self.orders, event, now_s)
        if self.orders.leases.active and not was_active:
            # What was read of the leases may be old by now.
            self.hurry(LEASES_STREAM)
        self.core.loaded_models = placement.loaded_models(self.orders)
        return effects

    def _lease_interval_s(self) -> float:
        """Return when to read the leases next; seldom if none matters."""
        leases = self.orders.leases
        if not leases.active:
            return IDLE_LEASES_S
        return lease.poll_interval_s(leases)

    async def _give(self, order: EngineOrder) -> None:
        """Give an order and post the answer."""
        path = self._settings.endpoint.orders_path
        client = self.runner.client
        self.driver.post(await give_order(client, path, order))

    def _carry_out_own(self, effect: Effect) -> bool:
        """Start and cancel runs."""
        match effect:
            case StartRun(dispatch):
                self._start_run(dispatch)
            case SendOrder(order):
                self.spawn(self._give(order), "order")
            case CancelRun(request_id, attempt):
                task = self._runs.get((request_id, attempt))
                if task is not None:
                    task.cancel()
            case _:
                return False
        return True

    def _start_run(self, dispatch: Dispatch) -> None:
        """Start a run; from now on it can be cancelled."""
        key = (dispatch.request_id, dispatch.attempt)
        task = self.spawn(self._run(dispatch), f"run {key[0]}")
        self._runs[key] = task
        task.add_done_callback(lambda ended: self._run_ended(key, ended))

    async def _run(self, dispatch: Dispatch) -> None:
        """Run one attempt and post what comes of it."""
        async with aclosing(self.runner.run(dispatch)) as events:
            async for event in events:
                self.driver.post(event)

    def _run_ended(self, key: RunKey, task: asyncio.Task[None]) -> None:
        """Forget a run, and post the end of one that did not end itself."""
        del self._runs[key]
        if task.cancelled():
            why = "cancelled"
        elif task.exception() is not None:
            why = f"failed: {task.exception()!r}"
        else:
            return
        # The endpoint may have seen any part of the request.
        self.driver.post(
            RunEnd(*key, complete=False, started=True, detail=why)
        )
