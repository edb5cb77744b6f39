"""The agent's process: runs that are cancelled or fail by a fault."""

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
from tests.builders import a_dispatch


class FaultyRunner:
    """A runner with a fault of its own."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client

    async def run(
        self, dispatch: Dispatch, offset: int = 0
    ) -> AsyncGenerator[RunEvent, None]:
        raise ZeroDivisionError
        yield

    async def close(self) -> None:
        await self.client.aclose()


async def ends_of(agent: AgentInstance, *, cancel: bool) -> list[RunEnd]:
    """Return the ends that a run posts that is over at once."""
    posted: list[Event] = []
    agent.driver.post = posted.append  # type: ignore[method-assign, assignment]
    dispatch = a_dispatch()
    agent._execute_role_effect(StartRun(dispatch))
    if cancel:
        # The run's task has had no turn yet.
        agent._execute_role_effect(
            CancelRun(dispatch.request_id, dispatch.attempt)
        )
    async with asyncio.timeout(20):
        while not posted:
            await asyncio.sleep(0.001)
    return [event for event in posted if isinstance(event, RunEnd)]


SLOTS = 100


def wide_plan() -> LocalPlan:
    """Return a plan with one engine that takes many requests at once."""
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
    async def test_every_slot_is_used_at_once(self) -> None:
        async with run_fleet(wide_plan()) as fleet, open_client() as client:
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
    async def test_a_refusal_without_a_rule_is_logged(self) -> None:
        decisions: list[Decision] = []

        def make_router(
            settings: RouterSettings, delay: Delay
        ) -> RouterInstance:
            around = make_deps(settings.security, settings.instance, delay)
            watched = replace(around, observe=decisions.append)
            return RouterInstance(settings, watched)

        parts = InstanceFactories(make_router=make_router)
        async with run_fleet(demo_plan(), parts) as fleet:
            url = fleet.routers["router-0"].server.url
            async with open_client() as client:
                for token in ("wrong", "demo-club"):
                    await call_service(
                        client, url, token, method="GET", path="nowhere/1"
                    )
        refused = [each for each in decisions if each.kind == "refuse"]
        assert [(d.reason, d.outcome) for d in refused] == [
            ("B102", "not-run")
        ]


class RunSuite:
    async def test_a_cancel_before_the_first_turn_ends_the_run(self) -> None:
        async with run_fleet(demo_plan()) as fleet:
            agent = fleet.agents["agent-floordesk-0"]
            ends = await ends_of(agent, cancel=True)
            assert not agent.unfinished()
        assert [(end.complete, end.detail) for end in ends] == [
            (False, "cancelled")
        ]

    async def test_a_fault_of_the_runner_ends_the_run(self) -> None:
        async with run_fleet(demo_plan()) as fleet:
            agent = fleet.agents["agent-floordesk-0"]
            agent.runner = FaultyRunner(agent.runner.client)
            ends = await ends_of(agent, cancel=False)
            assert not agent.unfinished()
        assert len(ends) == 1
        assert "ZeroDivisionError" in ends[0].detail
