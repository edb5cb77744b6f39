"""The agent's process: one endpoint behind, routers in front."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Protocol

import httpx

from bulrushstream.coordination.agent import (
    AgentOptions,
    handle,
    new_agent,
)
from bulrushstream.daemon.base import Instance, Surroundings, new_incarnation
from bulrushstream.daemon.driver import Core
from bulrushstream.daemon.status import AgentStatus
from bulrushstream.settings import AgentSettings, EndpointKind
from bulrushstream.state.effect import CancelRun, Effect, StartRun
from bulrushstream.state.event import RunEnd
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Dispatch
from bulrushstream.transport.endpoint import (
    EndpointRunner,
    RunEvent,
    RunnerOptions,
)
from bulrushstream.transport.reports import poll_cache, poll_load

RunKey = tuple[str, int]


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
        self.runner: Runner = EndpointRunner(
            RunnerOptions(
                base_url=endpoint.url,
                model=endpoint.kind is EndpointKind.MODEL,
            )
        )

    async def start(self) -> None:
        """Listen, and start every task."""
        self.start_cores(
            Core(
                "agent", lambda event, now_s: handle(self.core, event, now_s)
            ),
            self._carry_out_own,
        )
        await self.listen(self._settings.peers.host, self.me.port)
        await self.start_operators(self._settings.operators)
        self.register()
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
            running=self.core.running,
            breaker=self.core.breaker.phase(now_s).name.lower(),
        )

    def read_metrics(self) -> bytes:
        """Return the metrics with the slots of now; see `Instance`."""
        slots = self.around.metrics.slots
        slots.labels("open").set(self.core.capacity(self.clock()))
        slots.labels("running").set(self.core.running)
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

    def _carry_out_own(self, effect: Effect) -> bool:
        """Start and cancel runs."""
        match effect:
            case StartRun(dispatch):
                key = (dispatch.request_id, dispatch.attempt)
                self.spawn(self._run(dispatch, key), f"run {key[0]}")
            case CancelRun(request_id, attempt):
                task = self._runs.get((request_id, attempt))
                if task is not None:
                    task.cancel()
            case _:
                return False
        return True

    async def _run(self, dispatch: Dispatch, key: RunKey) -> None:
        """Run one attempt and post what comes of it."""
        task = asyncio.current_task()
        assert task is not None
        self._runs[key] = task
        try:
            async with aclosing(self.runner.run(dispatch)) as events:
                async for event in events:
                    self.driver.post(event)
        except asyncio.CancelledError:
            # The endpoint may have seen any part of the request.
            self.driver.post(
                RunEnd(*key, whole=False, started=True, detail="cancelled")
            )
            raise
        finally:
            del self._runs[key]
