"""A local fleet over real sockets, under load and with faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import httpx
import pytest

from bulrushstream.commands.demo import demo_plan
from bulrushstream.history.checker import check_history
from bulrushstream.local.client import Verdict, call_service, chat
from bulrushstream.local.fleet import LocalFleet, run_fleet
from bulrushstream.local.plan import LocalPlan, LocalService
from bulrushstream.local.recorder import Recorder
from bulrushstream.standins.engine import EngineFaults, EngineOptions
from bulrushstream.standins.plain import PlainOptions
from bulrushstream.state.config import ServiceKind

REQUESTS = 120
CRASH_MARKER = "[crash]"
FAST_TICKETS = LocalService(
    "floordesk", ServiceKind.PLAIN, 2, plain=PlainOptions(call_s=0.001)
)


def load_plan() -> LocalPlan:
    engine = EngineOptions(
        models=("proofwriter",), first_token_s=0.01, token_s=0.004
    )
    return LocalPlan(
        config=demo_plan().config,
        services=(
            LocalService("proofwriter", ServiceKind.MODEL, 3, engine=engine),
            LocalService(
                "floordesk",
                ServiceKind.PLAIN,
                2,
                plain=PlainOptions(call_s=0.02),
            ),
        ),
        routers=2,
    )


@dataclass
class CallerLoad:
    """Callers that send mixed requests to all ready routers."""

    fleet: LocalFleet
    kinds: tuple[str, ...] = ("chat", "stream", "ticket", "look-up")
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    verdicts: list[Verdict] = field(default_factory=list)

    async def run(self, count: int) -> None:
        async with (
            httpx.AsyncClient(timeout=90) as client,
            asyncio.TaskGroup() as group,
        ):
            for number in range(count):
                group.create_task(self.send(client, number))
                await asyncio.sleep(0.01)

    async def send(self, client: httpx.AsyncClient, number: int) -> None:
        # Like the platform's load balancer, skip routers that aren't ready.
        router = self.rng.choice(
            [r for r in self.fleet.routers.values() if r.readiness().ready]
        )
        url = router.server.url
        token = f"demo-{self.rng.choice(['press', 'club', 'school'])}"
        kind = self.rng.choice(self.kinds)
        if kind in ("chat", "stream"):
            verdict = await chat(
                client,
                url,
                token,
                f"note {number}",
                model="proofwriter",
                stream=kind == "stream",
                max_tokens=20,
            )
        elif kind == "ticket":
            verdict = await call_service(
                client,
                url,
                token,
                method="POST",
                path="floordesk/tickets",
                body=b"ticket %d" % number,
            )
        else:
            verdict = await call_service(
                client, url, token, method="GET", path=f"floordesk/{number}"
            )
        self.verdicts.append(verdict)


async def cut_links(fleet: LocalFleet) -> None:
    for _ in range(6):
        await asyncio.sleep(0.15)
        for router in fleet.routers.values():
            for agent in fleet.agents:
                router.mesh.cut(agent)


async def kill_agent(fleet: LocalFleet) -> None:
    await asyncio.sleep(0.4)
    await fleet.agents["agent-proofwriter-0"].kill()
    await fleet.start_agent("proofwriter-0")


async def kill_router(fleet: LocalFleet) -> None:
    await asyncio.sleep(0.5)
    await fleet.routers["router-1"].kill()
    await fleet.start_router(1)


async def freeze_agent(fleet: LocalFleet) -> None:
    """Pause an agent's driver, as if its process were paused."""
    await asyncio.sleep(0.3)
    driver = fleet.agents["agent-floordesk-0"].driver
    driver.pause()
    await asyncio.sleep(1.0)
    driver.resume()


async def log_outage(fleet: LocalFleet) -> None:
    faults = fleet.log.state.faults
    fleet.log.state.faults = type(faults)(outage=True)
    await asyncio.sleep(1.0)
    fleet.log.state.faults = faults


Fault = Callable[[LocalFleet], Awaitable[None]]
FAULTS = [cut_links, kill_agent, kill_router, freeze_agent, log_outage]


class FaultSuite:
    @pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
    async def test_history_is_valid_and_callers_are_answered(
        self, fault: Fault
    ) -> None:
        recorder = Recorder(asyncio.get_running_loop().time)
        async with run_fleet(load_plan(), recorder.factories()) as fleet:
            load = CallerLoad(fleet)
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(REQUESTS))
                group.create_task(run_awaitable(fault(fleet)))
        assert check_history(recorder.history) == []
        assert len(load.verdicts) == REQUESTS
        # Only the callers of a killed router may get no answer.
        if fault is not kill_router:
            assert all(verdict.status for verdict in load.verdicts)
        garbled = [
            v.problem for v in load.verdicts if v.problem.startswith("got")
        ]
        assert not [why for why in garbled if "[truncated]" not in why]
        assert sum(v.ok for v in load.verdicts) > REQUESTS / 2

    async def test_a_crashing_request_is_quarantined(self) -> None:
        recorder = Recorder(asyncio.get_running_loop().time, CRASH_MARKER)
        async with run_fleet(load_plan(), recorder.factories()) as fleet:
            for endpoint in fleet.endpoints.values():
                if endpoint.service.kind is ServiceKind.MODEL:
                    endpoint.app.state.faults = EngineFaults(
                        crash_marker=CRASH_MARKER, down_s=0.3
                    )
            load = CallerLoad(fleet)
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(REQUESTS // 2))
                refusals = group.create_task(send_until_quarantined(fleet))
        assert check_history(recorder.history) == []
        assert refusals.result()[-1].code == "B113"
        assert [v.problem for v in load.verdicts if not v.ok] == []

    async def test_a_restart_of_all_agents_breaks_no_request(self) -> None:
        recorder = Recorder(asyncio.get_running_loop().time)
        async with run_fleet(load_plan(), recorder.factories()) as fleet:
            load = CallerLoad(fleet)
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(REQUESTS))
                group.create_task(restart_agents(fleet))
        assert check_history(recorder.history) == []
        assert [v.problem for v in load.verdicts if not v.ok] == []

    # Guards against an agent that stops before its goodbye has reached the
    # routers, which lost what they had sent it in the meantime.
    async def test_an_agent_that_stops_refuses_requests_on_their_way(
        self,
    ) -> None:
        recorder = Recorder(asyncio.get_running_loop().time)
        plan = replace(
            load_plan(), services=(FAST_TICKETS,), routers=1, zone_delay_s=0.1
        )
        async with run_fleet(plan, recorder.factories()) as fleet:
            # The other agent is in another availability zone.
            await fleet.agents["agent-floordesk-0"].stop(limit_s=30)
            remote = fleet.agents["agent-floordesk-1"]
            load = CallerLoad(fleet, kinds=("ticket",))
            await load.run(10)
            await asyncio.sleep(0.5)
            async with asyncio.TaskGroup() as group:
                stop = group.create_task(remote.stop(limit_s=30))
                await asyncio.sleep(0.01)
                group.create_task(load.run(10))
                assert await stop
                await fleet.start_agent("floordesk-0")
        assert check_history(recorder.history) == []
        assert [v.problem for v in load.verdicts if not v.ok] == []

    async def test_a_rolling_restart_of_routers_breaks_no_request(
        self,
    ) -> None:
        recorder = Recorder(asyncio.get_running_loop().time)
        async with run_fleet(load_plan(), recorder.factories()) as fleet:
            load = CallerLoad(fleet)
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(REQUESTS))
                group.create_task(restart_routers(fleet))
        assert check_history(recorder.history) == []
        assert [v.problem for v in load.verdicts if not v.ok] == []


async def restart_routers(fleet: LocalFleet) -> None:
    """Restart the routers in turn.

    Each leaves the load balancer before it stops.
    """
    for number, name in enumerate(sorted(fleet.routers)):
        router = fleet.routers.pop(name)
        assert await router.stop(limit_s=30)
        await fleet.start_router(number)
        await fleet.wait_until(fleet.ready, "the new router is connected")


async def run_awaitable(work: Awaitable[None]) -> None:
    await work


async def restart_agents(fleet: LocalFleet) -> None:
    for name in list(fleet.endpoints):
        assert await fleet.agents[f"agent-{name}"].stop(limit_s=30)
        await fleet.start_agent(name)
        await fleet.wait_until(fleet.ready, "the new agent is connected")


async def send_until_quarantined(fleet: LocalFleet) -> list[Verdict]:
    """Repeat a crashing request until it is refused as quarantined."""
    verdicts: list[Verdict] = []
    async with httpx.AsyncClient(timeout=90) as client, asyncio.timeout(60):
        while not verdicts or verdicts[-1].code != "B113":
            url = random.Random(len(verdicts)).choice(
                [router.server.url for router in fleet.routers.values()]
            )
            verdicts.append(
                await chat(
                    client, url, "demo-club", CRASH_MARKER, model="proofwriter"
                )
            )
    return verdicts
