"""The load generator plans by its seed and detects wrong answers."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from bulrushstream.commands.load import load
from bulrushstream.load.caller import (
    CallResult,
    Verdict,
    call,
    user_message,
)
from bulrushstream.load.plan import Arrival, plan_arrivals
from bulrushstream.load.run import ClientPool, Progress, run_load
from bulrushstream.load.scenario import (
    Flow,
    Scenario,
    ScenarioRouter,
    ScenarioService,
    ScenarioWorkspace,
    fleet_config,
    read_scenario,
    scenario_names,
)
from bulrushstream.load.summary import (
    format_summary,
    summarize,
    time_stats,
)
from bulrushstream.protocol.prompt import decode_chat
from bulrushstream.rulefile import read_rules
from bulrushstream.standins.answer import encode_completion, plan_answer
from bulrushstream.standins.engine import (
    EngineFaults,
    EngineOptions,
    make_engine,
)
from bulrushstream.standins.plain import make_plain
from bulrushstream.state.config import ServiceKind
from bulrushstream.transport.client import make_client
from bulrushstream.transport.server import serve
from tests.builders import chat_body
from tests.fronts import FakePort, serve_front


def small_scenario(**changes: Any) -> Scenario:
    """Return a scenario with one model flow and the given changes."""
    flow = Flow(
        "writer", ("a", "b"), 20.0, mean_tokens=5.0, stream=True, prompts=2
    )
    scenario = Scenario(
        name="small",
        seed=1,
        duration_s=0.2,
        region="nz",
        availability_zones=("z",),
        zone_delay_s=0.0,
        client_delay_s=0.0,
        routers=(ScenarioRouter("r1", "z"), ScenarioRouter("r2", "z")),
        services=(
            ScenarioService("writer", ServiceKind.MODEL, 1, 2, model="model"),
            ScenarioService("desk", ServiceKind.PLAIN, 1, 2),
        ),
        workspaces=(ScenarioWorkspace("a"), ScenarioWorkspace("b")),
        flows=(flow,),
    )
    return dataclasses.replace(scenario, **changes)


def make_arrival(service: str = "writer", **changes: Any) -> Arrival:
    """Return one request of the small scenario."""
    flow = Flow(service, ("a",), 1.0, **changes)
    return Arrival(0.0, "0-a-1", "a", 0, flow, 5, 0, 5.0, 0.0)


async def send_call(url: str, arrival: Arrival) -> CallResult:
    async with make_client(url, 5.0) as client:
        return await call(client, small_scenario(), arrival)


class PlanSuite:
    def test_seed_determines_the_plan(self) -> None:
        scenario = small_scenario(duration_s=5.0)
        first = plan_arrivals(scenario, 1)
        assert first == plan_arrivals(scenario, 1)
        assert first != plan_arrivals(scenario, 2)
        assert first == sorted(first, key=lambda arrival: arrival.at_s)
        assert len({arrival.nonce for arrival in first}) == len(first)

    def test_rate_and_length_match_the_flow(self) -> None:
        arrivals = plan_arrivals(small_scenario(duration_s=50.0), 1)
        tokens = sum(arrival.tokens for arrival in arrivals)
        assert 1900 < len(arrivals) < 2100
        assert 4.5 < tokens / len(arrivals) < 5.5

    def test_spread_selects_the_routers(self) -> None:
        flow = Flow("writer", ("a",), 50.0, spread=(0.0, 1.0))
        scenario = small_scenario(duration_s=2.0, flows=(flow,))
        routers = {arrival.router for arrival in plan_arrivals(scenario, 1)}
        assert routers == {1}

    def test_flow_sends_only_between_its_times(self) -> None:
        flow = Flow("desk", ("a",), 50.0, start_s=1.0, end_s=2.0)
        scenario = small_scenario(duration_s=9.0, flows=(flow,))
        arrivals = plan_arrivals(scenario, 1)
        assert all(1.0 < arrival.at_s < 2.0 for arrival in arrivals)
        assert {arrival.tokens for arrival in arrivals} == {0}

    def test_an_added_flow_leaves_others_unchanged(self) -> None:
        scenario = small_scenario(duration_s=2.0)
        more = Flow("desk", ("a",), 50.0)
        wider = dataclasses.replace(scenario, flows=(*scenario.flows, more))
        others = [a for a in plan_arrivals(wider, 1) if a.flow is not more]
        assert others == plan_arrivals(scenario, 1)


class ScenarioSuite:
    @pytest.mark.parametrize("name", scenario_names())
    def test_shipped_scenario_is_valid(self, name: str) -> None:
        scenario = read_scenario(name).ok
        assert scenario.name == name
        assert len(scenario.workspaces) == 16
        config = fleet_config(scenario)
        text = msgspec.json.encode(config).decode()
        assert read_rules(text, name).ok == config

    def test_six_scenarios_are_shipped(self) -> None:
        assert len(scenario_names()) == 6

    def test_every_finding_is_reported(self, tmp_path: Path) -> None:
        scenario = small_scenario(
            routers=(ScenarioRouter("r1", "nowhere"),),
            flows=(Flow("none", ("c",), 1.0, spread=(0.0,)),),
        )
        path = tmp_path / "bad.json"
        path.write_bytes(msgspec.json.encode(scenario))
        findings = read_scenario(str(path)).error
        places = {finding.path for finding in findings}
        assert places == {
            "routers[0].availability_zone",
            "flows[0].service",
            "flows[0].workspaces",
            "flows[0].spread",
        }


class CallerSuite:
    @pytest.mark.parametrize("stream", [True, False])
    async def test_complete_model_answer(self, stream: bool) -> None:
        async with serve(make_engine().asgi) as server:
            result = await send_call(server.url, make_arrival(stream=stream))
        assert result.verdict is Verdict.WHOLE
        # Five tokens and the closing chunk: six events with five gaps.
        assert len(result.gaps_s) == (5 if stream else 0)

    async def test_complete_plain_answer(self) -> None:
        plain = make_plain()
        async with serve(plain.asgi) as server:
            result = await send_call(server.url, make_arrival("desk"))
        assert result.verdict is Verdict.WHOLE

    async def test_truncated_stream(self) -> None:
        faults = EngineFaults(break_event=3)
        engine = make_engine(EngineOptions(faults=faults))
        async with serve(engine.asgi) as server:
            result = await send_call(server.url, make_arrival(stream=True))
        assert result.verdict is Verdict.TRUNCATED

    async def test_refusal(self) -> None:
        # The front rejects the scenario's workspace tokens.
        async with serve_front(FakePort(lambda _: [])) as (_, server):
            result = await send_call(server.url, make_arrival())
        assert result.verdict is Verdict.REFUSED
        assert (result.code, result.outcome) == ("B101", "not-run")

    async def test_connection_refused(self) -> None:
        async with serve(make_engine().asgi) as server:
            url = server.url
        result = await send_call(url, make_arrival())
        assert result.verdict is Verdict.LOST

    @pytest.mark.parametrize(
        "message", ["another [tokens=5]", user_message(make_arrival())]
    )
    async def test_answer_to_another_request_is_wrong(
        self, message: str
    ) -> None:
        chat = decode_chat(chat_body(message))
        assert chat is not None
        answer = plan_answer(chat, "q1")
        assert answer is not None
        body = encode_completion(answer)

        async def app(scope: Any, receive: Any, send: Any) -> None:
            await receive()
            start = {"type": "http.response.start", "status": 200}
            await send({**start, "headers": []})
            await send({"type": "http.response.body", "body": body})

        async with serve(app) as server:
            result = await send_call(server.url, make_arrival())
        is_expected = message == user_message(make_arrival())
        assert result.verdict is (
            Verdict.WHOLE if is_expected else Verdict.WRONG
        )


class RunSuite:
    async def test_every_request_is_answered(self) -> None:
        scenario = small_scenario()
        seen: list[Progress] = []
        engine = make_engine()
        async with serve(engine.asgi) as server:
            summary = await run_load(scenario, [server.url], 1, seen.append)
        planned = len(plan_arrivals(scenario, 1))
        assert summary.good
        assert summary.verdicts == {"whole": planned}
        assert seen[-1].answered == planned
        assert summary.first.count == planned
        assert "writer" in format_summary(summary)

    async def test_connections_are_reused(self) -> None:
        pool = ClientPool("http://127.0.0.1:9")
        with pool.borrow() as first, pool.borrow() as second:
            assert first is not second
        with pool.borrow() as third:
            assert third in (first, second)
        assert pool.size == 2
        await pool.close()

    def test_wrong_answers_are_not_good(self) -> None:
        result = CallResult(make_arrival(), Verdict.WRONG)
        assert not summarize("s", 1, [result], 1.0, 0.0).good

    def test_percentiles_use_the_nearest_rank(self) -> None:
        spread = time_stats(float(n) for n in range(1, 101))
        assert (spread.p50_s, spread.p95_s, spread.max_s) == (50, 95, 100)
        assert time_stats([]).count == 0


class CommandSuite:
    def test_invalid_arguments(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert load("nowhere") == 2
        assert "kowhai-flood" in capsys.readouterr().err
        assert load("kowhai-steady") == 2

    def test_printed_rules_are_valid(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert load("kowhai-steady", rules=True) == 0
        printed = capsys.readouterr().out
        assert read_rules(printed, "printed").is_ok()

    def test_runs_against_a_local_fleet(self, tmp_path: Path) -> None:
        desk = Flow("desk", ("a", "b"), 20.0, idempotent=False)
        scenario = small_scenario()
        scenario = dataclasses.replace(scenario, flows=(*scenario.flows, desk))
        source = tmp_path / "small.json"
        source.write_bytes(msgspec.json.encode(scenario))
        out = tmp_path / "out.json"
        assert load(str(source), out=str(out), local=True) == 0
        result = json.loads(out.read_text())
        assert result["verdicts"] == {"whole": result["sent"]}
        assert result["outcomes"] == {"ran": result["sent"]}

    def test_writes_its_result(self, tmp_path: Path) -> None:
        scenario = small_scenario()
        source = tmp_path / "small.json"
        source.write_bytes(msgspec.json.encode(scenario))
        out = tmp_path / "out.json"
        # Nothing listens at this address, so every request is lost.
        code = load(str(source), "http://127.0.0.1:9", out=str(out))
        result = json.loads(out.read_text())
        assert code == 1
        assert result["verdicts"]["lost"] == result["sent"] > 0
