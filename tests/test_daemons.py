"""Router and agent processes: slots, logged refusals, ends of runs."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import replace

import httpx

from bulrushstream.commands.demo import demo_plan
from bulrushstream.compose.fleet import make_deps
from bulrushstream.daemon.agent import AgentInstance
from bulrushstream.daemon.router import RouterInstance
from bulrushstream.local.client import call_service, chat
from bulrushstream.local.fleet import Delay, InstanceFactories, run_fleet
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.settings import RouterSettings
from bulrushstream.standins.engine import Engine, EngineOptions
from bulrushstream.state.config import ServiceKind
from bulrushstream.state.effect import CancelRun, Decision, StartRun
from bulrushstream.state.event import Event, RunEnd
from bulrushstream.state.message import Dispatch
from bulrushstream.transport.endpoint import RunEvent
from bulrushstream.transport.fetch import Fetcher
from tests.builders import a_dispatch


class RaisingRunner:
    """A runner that raises an unexpected exception."""

    def __init__(self, client: Fetcher) -> None:
        self.client = client

    async def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        raise ZeroDivisionError
        yield

    async def close(self) -> None:
        await self.client.client.aclose()


async def run_ends(agent: AgentInstance, *, cancel: bool) -> list[RunEnd]:
    """Start a run that ends at once; return the end events it posts."""
    posted: list[Event] = []
    agent.driver.post = posted.append  # type: ignore[method-assign, assignment]
    dispatch = a_dispatch()
    agent._execute_role_effect(StartRun(dispatch))
    if cancel:
        # The run's task has not been scheduled yet.
        agent._execute_role_effect(
            CancelRun(dispatch.request_id, dispatch.attempt)
        )
    async with asyncio.timeout(20):
        while not posted:
            await asyncio.sleep(0.001)
    return [event for event in posted if isinstance(event, RunEnd)]


SLOTS = 100


def many_slots_plan() -> LocalPlan:
    """Return a plan with one engine that has many slots."""
    engine = EngineOptions(slots=SLOTS, models=("proofwriter",), token_s=0.02)
    config = demo_plan().config
    services = tuple(replace(s, slots=SLOTS) for s in config.services)
    return LocalPlan(
        config=replace(config, services=services),
        services=(
            LocalService("proofwriter", ServiceKind.MODEL, 1, engine=engine),
        ),
        routers=1,
    )


class SlotSuite:
    async def test_all_slots_are_used_at_the_same_time(self) -> None:
        async with (
            run_fleet(many_slots_plan()) as fleet,
            open_client() as client,
        ):
            url = fleet.routers["router-0"].server.url
            calls = [
                chat(
                    client,
                    url,
                    "demo-club",
                    f"note {number}",
                    model="proofwriter",
                    max_tokens=100,
                )
                for number in range(SLOTS)
            ]
            verdicts = await asyncio.gather(*calls)
            engine = fleet.endpoints["proofwriter-0"].app
            assert isinstance(engine, Engine)
            assert engine.state.max_running == SLOTS
        assert all(verdict.ok for verdict in verdicts)


def open_client() -> httpx.AsyncClient:
    limits = httpx.Limits(max_connections=SLOTS)
    return httpx.AsyncClient(timeout=90, limits=limits)


class RefusalSuite:
    async def test_a_refusal_without_a_matching_rule_is_logged(self) -> None:
        decisions: list[Decision] = []

        def make_router(
            settings: RouterSettings, delay: Delay
        ) -> RouterInstance:
            deps = make_deps(settings.security, settings.instance, delay)
            observed_deps = replace(deps, observe=decisions.append)
            return RouterInstance(settings, observed_deps)

        parts = InstanceFactories(make_router=make_router)
        async with run_fleet(demo_plan(), parts) as fleet:
            url = fleet.routers["router-0"].server.url
            async with open_client() as client:
                for token in ("wrong", "demo-club"):
                    await call_service(
                        client, url, token, method="GET", path="nowhere/1"
                    )
        refusals = [d for d in decisions if d.kind == "refuse"]
        assert [(d.reason, d.outcome) for d in refusals] == [
            ("B102", "not-run")
        ]


class RunSuite:
    async def test_a_cancel_before_the_task_starts_ends_the_run(self) -> None:
        async with run_fleet(demo_plan()) as fleet:
            agent = fleet.agents["agent-floordesk-0"]
            ends = await run_ends(agent, cancel=True)
            assert not agent.unfinished()
        assert [(end.complete, end.detail) for end in ends] == [
            (False, "cancelled")
        ]

    async def test_an_exception_in_the_runner_ends_the_run(self) -> None:
        async with run_fleet(demo_plan()) as fleet:
            agent = fleet.agents["agent-floordesk-0"]
            agent.runner = RaisingRunner(agent.runner.client)
            ends = await run_ends(agent, cancel=False)
            assert not agent.unfinished()
        assert len(ends) == 1
        assert "ZeroDivisionError" in ends[0].detail
