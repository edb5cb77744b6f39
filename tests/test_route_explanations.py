"""Where a request would go, as a router explains it, without a network."""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from dataclasses import fields, is_dataclass, replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from bulrushstream.commands import operate
from bulrushstream.daemon import (
    dispatch,
    platformupdates,
    returning,
    safeguards,
)
from bulrushstream.daemon.forward import Forward
from bulrushstream.daemon.front import Front, FrontDeps
from bulrushstream.daemon.routeexplain import answer_where, explain
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.metrics import make_metrics
from bulrushstream.platform.dialect import PLATFORM
from bulrushstream.state.explanation import Question
from bulrushstream.state.returns import ReturnPromise
from bulrushstream.state.routes import (
    EngineTraits,
    PooledService,
    RequestKind,
    SplitShare,
)
from bulrushstream.transport.exchange import Exchange
from tests.deployments import (
    HOST,
    KEY,
    Deployment,
    a_config,
    a_prompt,
    a_route,
    an_entry,
    node_settings,
)

ENGINES = 5


class ExplainedRouter:
    """A router with endpoints and a configuration, and no sockets."""

    def __init__(self, seed: int = 1) -> None:
        self.now_s = 100.0
        self.decisions: list[Any] = []
        deps = FrontDeps(
            dialect=PLATFORM,
            clock=lambda: self.now_s,
            boot_clock=lambda: self.now_s,
            time_of_day=lambda: self.now_s,
            rng=random.Random(seed),
            metrics=make_metrics(),
            observe=self.decisions.append,
            report=lambda kind, text: None,
            report_shares=lambda report: None,
        )
        self.front = Front(node_settings(revocation_limit_s=None), deps)
        routes = (
            a_route(),
            a_route(
                name="ask",
                prefix="/llm/",
                kind=RequestKind.STREAMING,
                split=(SplitShare("llm", 1.0),),
                latency_target_s=0.4,
            ),
            a_route(
                name="draft",
                prefix="/draft/",
                kind=RequestKind.STREAMING,
                split=(SplitShare("llm", 1.0),),
                latency_target_s=0.6,
            ),
        )
        services = (
            PooledService("desk", 100, cold_per_s=10.0),
            PooledService(
                "llm", 100, EngineTraits(64, 230_000), cold_per_s=10.0
            ),
        )
        config = replace(a_config(*routes), services=services)
        platformupdates.apply_config(self.front, config)
        self.front.freshness.confirm(self.now_s)
        self.front.endpoints_listed = True
        traits = services[1].engine
        for number in range(ENGINES):
            entry = an_entry(f"e-{number}", service="llm")
            self.front.pool.update(entry, traits)
        for number in range(3):
            zone = "y" if number == 2 else "z"
            entry = an_entry(f"d-{number}", availability_zone=zone)
            self.front.pool.update(entry, None)
        self.now_s += 4.0

    def forward(self, question: Question) -> Forward:
        """Return the forward that a caller's request would have."""
        front = self.front
        headers = [
            (name.encode(), value.encode())
            for name, value in question.headers.items()
        ]
        headers.append((b"host", HOST.encode()))
        call = PLATFORM.decode_call(b"POST", question.path.encode(), headers)
        assert front.table is not None
        route = front.table.find(call.host, call.path)
        assert route is not None
        exchange = SimpleNamespace(
            arrived_s=self.now_s, started=False, body=b""
        )
        service = route.split[0].service
        forward = Forward(
            front,
            cast("Exchange", exchange),
            call,
            route,
            service,
            "club",
            self.now_s,
        )
        forward.promise = returning.recognise(front, forward, self.now_s)
        if call.prompt is not None:
            forward.share_used = front.fleet_state.add_demand(
                "club", call.prompt.quota_tokens, self.now_s
            )
        return forward


def question(path: str, **headers: str) -> Question:
    """Return a question with a valid key."""
    given = {name.replace("_", "-"): value for name, value in headers.items()}
    common = {"X-Request-Id": "q1", "Authorization": f"Bearer {KEY}"}
    return Question(path, HOST, "POST", {**common, **given})


def model_question(rng: random.Random) -> Question:
    """Return a question of a long or a short prompt."""
    path, shared, own = rng.choice(
        (("/llm/x", 172, 543), ("/draft/x", 6300, 2890))
    )
    return question(
        path,
        X_Token_Counts=f"{shared + own},50",
        X_Prompt_Prefix=f"{rng.randrange(1, 6)}:{shared},"
        f"{rng.randrange(100, 10**6)}:{own}",
        X_Model="m",
    )


def snapshot(value: Any, seen: set[int]) -> Any:
    """Return what can be compared of a state and all that it holds."""
    if isinstance(value, random.Random):
        return value.getstate()
    if value is None or isinstance(value, str | bytes | int | float):
        return value
    if callable(value) or id(value) in seen:
        return None
    seen.add(id(value))
    if isinstance(value, dict):
        return [(repr(key), snapshot(value[key], seen)) for key in value]
    if isinstance(value, list | tuple | deque):
        return [snapshot(each, seen) for each in value]
    if isinstance(value, set | frozenset):
        return sorted(map(repr, value))
    if is_dataclass(value):
        names = [each.name for each in fields(value)]
    else:
        names = sorted(getattr(value, "__dict__", {}))
    return [(name, snapshot(getattr(value, name), seen)) for name in names]


def state_of(router: ExplainedRouter) -> Any:
    """Return what a router's later decisions depend on."""
    front = router.front
    parts = (
        front.fleet_state,
        front.rng,
        front.loop_lag,
        front.retry_quota,
        front.streams,
        front.crash_watch,
        front.forwards,
    )
    return [snapshot(each, set()) for each in parts], len(router.decisions)


def load(router: ExplainedRouter, rng: random.Random) -> None:
    """Give a router requests in flight, limits, rests and cold endpoints."""
    state = router.front.fleet_state
    endpoints = list(router.front.pool.by_name.values())
    for number in range(rng.choice((0, 4, 12, 40))):
        endpoint = rng.choice(endpoints)
        prompt = None
        if endpoint.view is not None:
            shared, own = rng.choice(((172, 543), (6300, 2890)))
            prompt = a_prompt(
                (rng.randrange(1, 6), shared), (10**6 + number, own)
            )
        state.place(endpoint, prompt, "club", router.now_s, 1e9)
    if rng.random() < 0.1:
        state.evacuations.listed([rng.choice("yz")], 1)
    for _ in range(rng.randrange(20)):
        state.shares.add_demand("other", 9000, router.now_s)
    for endpoint in endpoints:
        kind = rng.randrange(10)
        if kind == 0:
            state.limits.observe(
                endpoint.name, 2.0, router.now_s, router.now_s
            )
        elif kind == 1:
            state.notices.asked_for_rest(endpoint.name, 2.0, router.now_s)
        elif kind == 2:
            state.cold.told(endpoint.entry, 2.0, router.now_s)
        elif kind == 3:
            endpoint.avoid_until_s = router.now_s + 1.0
    router.now_s += rng.choice((0.0, 0.3, 1.5))
    state.sweep(router.now_s)


class AgreementSuite:
    # Guards against an explanation that names another endpoint or another
    # reason than the router decides on for a caller's request.
    @pytest.mark.parametrize("seed", range(60))
    def test_the_explanation_is_what_the_router_decides(
        self, seed: int
    ) -> None:
        rng = random.Random(seed)
        router = ExplainedRouter(seed)
        load(router, rng)
        for _ in range(10):
            asked = question("/a/x")
            if rng.random() < 0.7:
                asked = model_question(rng)
            found = explain(router.front, asked)
            forward = router.forward(asked)
            choice = dispatch.choose_endpoint(router.front, forward)
            assert found.share_used == forward.share_used
            if isinstance(choice, Refusal):
                assert (found.sent, found.code) == (False, choice.notice.code)
            else:
                assert choice is not None
                assert (found.sent, found.endpoint) == (True, choice[0].name)
            router.now_s += rng.choice((0.0, 0.01, 0.2))

    # Guards against an explanation that judges returning requests as new.
    def test_returning_requests_are_explained_as_such(self) -> None:
        sent: dict[bool, list[int]] = {False: [], True: []}
        for seed in range(150):
            for returns in (False, True):
                rng = random.Random(seed)
                router = ExplainedRouter(seed)
                state, engines = router.front.fleet_state, range(ENGINES)
                for number in range(rng.randrange(15, 45)):
                    endpoint = router.front.pool.by_name[
                        f"e-{rng.choice(engines)}"
                    ]
                    prompt = a_prompt((number, 500), (10**6 + number, 2500))
                    name = "school" if number % 5 < 3 else "club"
                    state.add_demand(name, prompt.quota_tokens, router.now_s)
                    state.place(endpoint, prompt, name, router.now_s, 1e9)
                # Both ask for more than they got, and the request's workspace
                # got less than its share.
                for name in ("club", "school"):
                    state.add_demand(name, 90_000, router.now_s)
                # Shares are computed anew.
                router.now_s += 0.3
                asked = model_question(rng)
                digest = ExplainedRouter().forward(asked).fingerprint
                if returns:
                    promise = ReturnPromise(digest, "llm", 0.0, 0.01, 500, 2.0)
                    state.returns.promise(promise, router.now_s)
                router.now_s += 0.01
                found = explain(router.front, asked)
                forward = router.forward(asked)
                assert (forward.promise is not None) == returns
                choice = dispatch.choose_endpoint(router.front, forward)
                assert found.sent == (not isinstance(choice, Refusal))
                if found.sent:
                    sent[returns].append(seed)
        # Some are sent only as they return.
        assert set(sent[True]) - set(sent[False])

    # Guards against an explanation that sends a request where endpoints would
    # crash: 4 crashes refuse a part, 2 hold it.
    @pytest.mark.parametrize("crashes", range(5))
    @pytest.mark.parametrize("kind", ["part", "request"])
    def test_requests_that_crash_endpoints_are_refused_alike(
        self, crashes: int, kind: str
    ) -> None:
        router = ExplainedRouter()
        front, asked = router.front, model_question(random.Random(2))
        forward = router.forward(asked)
        state = front.fleet_state
        for number in range(crashes):
            at_s = router.now_s - 3.0 + 0.5 * number
            name = f"e-{number}"
            if kind == "part":
                state.parts.endpoint_crashed(
                    name, forward.shared_parts, at_s - 0.1, at_s, router.now_s
                )
            else:
                state.suspects.endpoint_crashed(
                    name, forward.fingerprint, at_s, router.now_s
                )
        state.sweep(router.now_s)
        before = state_of(router)
        found = explain(front, asked)
        assert state_of(router) == before
        refusal = safeguards.crash_refusal(state, forward, router.now_s)
        assert found.sent == (refusal is None)
        if refusal is not None:
            assert (found.code, found.wait_s) == (
                refusal.notice.code,
                refusal.wait_s,
            )
            assert refusal.part in found.reason
        assert found.sent or crashes >= 2
        assert not found.sent or crashes < 4

    # Guards against a question that uses up a token, a share or a random
    # number, so that later requests go elsewhere.
    @pytest.mark.parametrize("seed", range(40))
    def test_a_question_changes_no_state(self, seed: int) -> None:
        rng = random.Random(seed)
        router = ExplainedRouter(seed)
        load(router, rng)
        for asked in (question("/a/x"), model_question(rng)):
            router.now_s += rng.choice((0.0, 0.05, 1.1))
            before = state_of(router)
            assert before == state_of(router)
            explain(router.front, asked)
            assert state_of(router) == before


class DocumentSuite:
    # Guards against a reason that is missing or stands at another endpoint.
    def test_each_endpoint_has_its_reasons(self) -> None:
        router = ExplainedRouter()
        front, now_s = router.front, router.now_s
        state, pool = front.fleet_state, front.pool
        pool.update(an_entry("d-0", leaving=True), None)
        state.evacuations.listed(["y"], 1)
        state.notices.asked_for_rest("e-0", 2.0, now_s)
        state.cold.told(pool.by_name["e-1"].entry, 2.0, now_s)
        pool.by_name["e-2"].avoid_until_s = now_s + 1.0
        asked = question("/a/x")
        plain = {
            each.endpoint: each for each in explain(front, asked).endpoints
        }
        assert plain["d-0"].excluded == ("it leaves",)
        assert plain["d-1"].excluded == ()
        assert plain["d-2"].excluded == ("its zone is evacuated",)
        found = explain(front, model_question(random.Random(1)))
        engines = {each.endpoint: each for each in found.endpoints}
        assert engines["e-0"].excluded == ("it rests for 2.000 s",)
        assert engines["e-1"].excluded[0].startswith("cold for 2.000 s")
        assert engines["e-1"].cold_wait_s > 0.0
        assert "ejected" in engines["e-2"].excluded[0]
        assert engines["e-3"].excluded == ()
        assert engines["e-3"].prediction is not None
        assert found.endpoint in ("e-3", "e-4")

    # Guards against a key in an answer that operators pass on.
    def test_the_answer_names_the_workspace_and_not_the_key(self) -> None:
        router = ExplainedRouter()
        body = operators_file(question("/a/x"))
        status, answer = answer_where(router.front, body)
        found = json.loads(answer)
        assert status == 200
        assert (found["workspace"], found["route"]) == ("club", "r")
        assert KEY.encode() not in answer

    def test_a_request_without_route_or_key_is_refused(self) -> None:
        front = ExplainedRouter().front
        assert explain(front, question("/none/")).code == "B102"
        without_key = Question("/a/x", HOST, headers={"X-Request-Id": "q1"})
        assert explain(front, without_key).code == "B101"

    # Guards against a service port that fails at a body that is no question.
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"[]",
            b"\xff",
            b"{}",
            b'{"path": 7}',
            b'{"path": "nowhere"}',
            b'{"path": "/a/x", "headers": {"Authorization": "k7b2"}}',
            '{"path": "/\u20ac"}'.encode(),
            b'{"path": "/", "headers": {"k7b2\xe2\x82\xac": "x"}}',
            b'{"path": "/", "x": ' + b"[" * 100_000,
        ],
    )
    def test_a_bad_body_gets_400(self, body: bytes) -> None:
        status, answer = answer_where(ExplainedRouter().front, body)
        assert status == 400
        assert json.loads(answer)["error"].startswith("bad request: ")
        assert b"k7b2" not in answer


class CommandSuite:
    # Guards against a command that prints nothing useful or hides a fault.
    async def test_the_command_prints_the_explanation(
        self,
        fleet: Deployment,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = tmp_path / "request.json"
        path.write_bytes(operators_file(question("/safe/x")))
        url = f"http://127.0.0.1:{fleet.process.ports[2]}"
        assert await asyncio.to_thread(operate.where, url, str(path)) == 0
        printed = capsys.readouterr().out
        assert "sent to d-" in printed
        assert "workspace club" in printed
        assert KEY not in printed
        path.write_bytes(b"{}")
        assert await asyncio.to_thread(operate.where, url, str(path)) == 1
        assert "bad request" in capsys.readouterr().err
        assert not any(each.received for each in fleet.workers.values())


def operators_file(asked: Question) -> bytes:
    """Return a question as operators write it."""
    return json.dumps(
        {"path": asked.path, "host": asked.host, "headers": asked.headers}
    ).encode()
