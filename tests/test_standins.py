"""The stand-ins of endpoints and platform services, and their faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec
import pytest

from bulrushstream.standins.answer import expected_text
from bulrushstream.standins.cache import visible_events
from bulrushstream.standins.engine import (
    EngineFaults,
    EngineOptions,
    make_engine,
    report_load,
)
from bulrushstream.standins.instances import (
    InstancesOptions,
    make_instances,
)
from bulrushstream.standins.log import LogOptions, make_log
from bulrushstream.standins.plain import PlainOptions, make_plain
from bulrushstream.standins.weights import WeightStore
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.transport.server import serve
from tests.builders import FakeClock, chat_body


@contextlib.asynccontextmanager
async def serve_client(app: Any) -> AsyncIterator[httpx.AsyncClient]:
    """Serve a stand-in and yield a client that is connected to it."""
    async with (
        serve(app.asgi) as server,
        httpx.AsyncClient(
            base_url=server.url, trust_env=False, verify=False
        ) as client,
    ):
        yield client


def split_events(body: bytes) -> list[bytes]:
    return [event for event in body.split(b"\n\n") if event]


class EngineSuite:
    async def test_answers_with_the_complete_text(self) -> None:
        async with serve_client(make_engine()) as client:
            body = chat_body("nonce-1 [tokens=5]")
            answer = await client.post("/v1/chat/completions", content=body)
        completion = answer.json()
        text = completion["choices"][0]["message"]["content"]
        assert text == expected_text("nonce-1 [tokens=5]")
        assert completion["usage"]["completion_tokens"] == 5

    async def test_streams_each_token(self) -> None:
        async with serve_client(make_engine()) as client:
            body = chat_body("nonce-2 [tokens=3]", stream=True)
            answer = await client.post("/v1/chat/completions", content=body)
        events = split_events(answer.content)
        assert events[-1] == b"data: [DONE]"
        texts = [
            msgspec.json.decode(event[6:])["choices"][0]["delta"]
            for event in events[:-1]
        ]
        joined = "".join(delta.get("content", "") for delta in texts)
        assert joined == expected_text("nonce-2 [tokens=3]")

    async def test_broken_stream_resumes_at_offset(self) -> None:
        faults = EngineFaults(break_event=2, breaks=1)
        engine = make_engine(EngineOptions(faults=faults))
        body = chat_body("nonce-3 [tokens=4]", stream=True)
        received = b""
        headers = {"X-Request-Id": "r1"}
        async with serve_client(engine) as client:
            with pytest.raises(httpx.RemoteProtocolError):
                async with client.stream(
                    "POST",
                    "/v1/chat/completions",
                    content=body,
                    headers=headers,
                ) as answer:
                    async for chunk in answer.aiter_raw():
                        received += chunk
            assert len(split_events(received)) == 2
            headers["X-Resume-Offset"] = "2"
            rest = await client.post(
                "/v1/chat/completions", content=body, headers=headers
            )
        assert len(split_events(received + rest.content)) == 6
        assert engine.state.resumed == 1

    async def test_unknown_stream_is_not_resumed(self) -> None:
        headers = {"X-Request-Id": "none", "X-Resume-Offset": "2"}
        async with serve_client(make_engine()) as client:
            answer = await client.post(
                "/v1/chat/completions",
                content=chat_body("x", stream=True),
                headers=headers,
            )
        assert answer.status_code == 404

    async def test_marked_request_crashes_engine(self) -> None:
        faults = EngineFaults(crash_marker="boom", down_s=60.0)
        engine = make_engine(EngineOptions(faults=faults))
        async with serve_client(engine) as client:
            with pytest.raises(httpx.HTTPError):
                await client.post(
                    "/v1/chat/completions", content=chat_body("boom")
                )
            with pytest.raises(httpx.ConnectError):
                await client.get("/load")
        assert engine.state.crashes == 1

    async def test_crash_loses_orders_and_tokens(self) -> None:
        faults = EngineFaults(crash_marker="boom", down_s=0.0)
        engine = make_engine(EngineOptions(faults=faults))
        order = {"kind": "load_model", "model": "m2", "version": "3"}
        async with serve_client(engine) as client:
            await client.post("/orders", json={**order, "token": 7})
            with pytest.raises(httpx.HTTPError):
                await client.post(
                    "/v1/chat/completions", content=chat_body("boom")
                )
            while True:
                with contextlib.suppress(httpx.ConnectError):
                    report = (await client.get("/models")).json()
                    break
        assert report["models"] == {"model": "1"}
        assert report["highest_token"] == -1

    async def test_statuses_in_an_outage_and_for_bad_bodies(self) -> None:
        engine = make_engine()
        path = "/v1/chat/completions"
        async with serve_client(engine) as client:
            bad = await client.post(path, content=b"{")
            other = chat_body("x", model="other")
            unknown = await client.post(path, content=other)
            await client.post("/faults", json={"outage": True})
            unavailable = await client.post(path, content=chat_body("x"))
        statuses = (
            bad.status_code,
            unknown.status_code,
            unavailable.status_code,
        )
        assert statuses == (400, 404, 503)

    async def test_concurrent_runs_are_limited_to_slots(self) -> None:
        engine = make_engine(EngineOptions(slots=2, token_s=0.001))
        async with serve_client(engine) as client:
            answers = await asyncio.gather(
                *(
                    client.post(
                        "/v1/chat/completions", content=chat_body(f"n{n}")
                    )
                    for n in range(6)
                )
            )
        assert all(answer.status_code == 200 for answer in answers)
        assert engine.state.max_running == 2

    async def test_load_report_lags(self) -> None:
        clock = FakeClock()
        engine = make_engine(EngineOptions(load_lag_s=1.0), now=clock.now)
        async with serve_client(engine) as client:
            clock.advance(5.0)
            await client.post("/v1/chat/completions", content=chat_body("x"))
        assert report_load(engine.state).at_s == 0.0
        clock.advance(2.0)
        assert report_load(engine.state).at_s == 5.0

    async def test_cache_events_are_late_and_have_gaps(self) -> None:
        clock = FakeClock()
        options = EngineOptions(
            cache_entries=4, cache_lag_s=1.0, cache_gap_rate=0.3, seed=4
        )
        engine = make_engine(options, now=clock.now)
        async with serve_client(engine) as client:
            for number in range(20):
                await client.post(
                    "/v1/chat/completions", content=chat_body(f"{number}")
                )
        cache = engine.state.cache
        assert visible_events(cache, 0) == []
        clock.advance(1.0)
        visible = visible_events(cache, 0)
        assert cache.sequence == 20
        assert 0 < len(visible) < 20
        assert len(cache.prefixes) == 4

    @pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 202)])
    async def test_order_with_an_older_token(
        self, checks: bool, status: int
    ) -> None:
        engine = make_engine(EngineOptions(checks_token=checks))
        order = {"kind": "change_role", "role": "decode"}
        async with serve_client(engine) as client:
            first = await client.post("/orders", json={**order, "token": 7})
            older = await client.post("/orders", json={**order, "token": 6})
        assert (first.status_code, older.status_code) == (202, status)

    async def test_weight_store_rejects_excess_loads(self) -> None:
        store = WeightStore(max_concurrent_loads=1, load_s=60.0)
        engine = make_engine(EngineOptions(), store)
        order = {
            "kind": "load_model",
            "model": "m2",
            "version": "3",
            "token": 1,
        }
        async with serve_client(engine) as client:
            first = await client.post("/orders", json=order)
            second = await client.post("/orders", json=order)
            report = await client.get("/models")
        assert (first.status_code, second.status_code) == (202, 429)
        assert report.json()["loading"] == 1
        for task in engine.state.holdings.tasks:
            task.cancel()


class PlainSuite:
    async def test_echoes_and_counts_runs(self) -> None:
        plain = make_plain()
        headers = {"X-Request-Id": "r7"}
        async with serve_client(plain) as client:
            for _ in range(2):
                answer = await client.request(
                    "PATCH", "/a/b?c=1", content=b"ink", headers=headers
                )
            runs = await client.get("/runs/r7")
        assert answer.content == b"ink"
        assert answer.headers["x-echo-path"] == "/a/b"
        assert runs.json() == {"runs": 2}

    async def test_request_with_a_lost_answer_was_run(self) -> None:
        plain = make_plain()
        async with serve_client(plain) as client:
            await client.post("/faults", json={"lose_answers": 1})
            with pytest.raises(httpx.RemoteProtocolError):
                await client.post("/", headers={"X-Request-Id": "r8"})
        assert plain.state.runs["r8"] == 1

    async def test_outage_runs_nothing(self) -> None:
        plain = make_plain(PlainOptions(call_s=0.0))
        async with serve_client(plain) as client:
            await client.post("/faults", json={"outage": True})
            answer = await client.post("/", headers={"X-Request-Id": "r9"})
        assert answer.status_code == 503
        assert plain.state.runs["r9"] == 0

    async def test_crash_aborts_other_calls(self) -> None:
        plain = make_plain(PlainOptions(call_s=60.0))
        async with serve_client(plain) as client:
            await client.post(
                "/faults", json={"crash_marker": "boom", "down_s": 60.0}
            )
            other = asyncio.ensure_future(client.post("/", content=b"x"))
            while not plain.state.running:
                await asyncio.sleep(0)
            with pytest.raises(httpx.HTTPError):
                await client.post("/", content=b"boom")
            with pytest.raises(httpx.HTTPError):
                await other
            while plain.state.running:
                await asyncio.sleep(0)
        assert plain.state.runs[""] == 2


class LogSuite:
    async def test_offsets_and_pages(self) -> None:
        async with serve_client(make_log()) as client:
            for body in (b"a", b"b", b"c"):
                await client.post("/streams/s", content=body)
            page = await client.get("/streams/s?offset=1&limit=1")
        record = {"offset": 1, "body": base64.b64encode(b"b").decode()}
        assert page.json() == {"first": 0, "next": 3, "records": [record]}

    async def test_retention_by_count_and_time(self) -> None:
        clock = FakeClock()
        options = LogOptions(retention_count=2, retention_s=10.0)
        async with serve_client(make_log(options, clock.now)) as client:
            for body in (b"a", b"b", b"c"):
                await client.post("/streams/s", content=body)
            by_count = (await client.get("/streams/s")).json()
            clock.advance(11.0)
            by_time = (await client.get("/streams/s")).json()
        assert (by_count["first"], len(by_count["records"])) == (1, 2)
        assert (by_time["first"], by_time["next"]) == (3, 3)

    async def test_append_with_a_lost_answer_is_stored(self) -> None:
        log = make_log()
        async with serve_client(log) as client:
            await client.post("/faults", json={"lose_answers": 1})
            with pytest.raises(httpx.RemoteProtocolError):
                await client.post("/streams/s", content=b"a")
            page = (await client.get("/streams/s")).json()
        assert page["next"] == 1

    async def test_rate_limit_and_outage(self) -> None:
        clock = FakeClock()
        options = LogOptions(max_appends_per_s=2.0)
        async with serve_client(make_log(options, clock.now)) as client:
            statuses = [
                (await client.post("/streams/s", content=b"a")).status_code
                for _ in range(3)
            ]
            clock.advance(1.0)
            later = await client.post("/streams/s", content=b"a")
            await client.post("/faults", json={"outage": True})
            unavailable = await client.get("/streams/s")
        assert statuses == [200, 200, 429]
        assert (later.status_code, unavailable.status_code) == (200, 503)


class InstancesSuite:
    async def test_list_lags_and_expires(self) -> None:
        clock = FakeClock()
        options = InstancesOptions(lag_s=2.0, expiry_s=10.0)
        instances = make_instances(options, clock.now)
        info = InstanceInfo(
            InstanceKey("r1", 1), Role.ROUTER, "r", "z", "127.0.0.1", 1
        )
        body = msgspec.json.encode(info)
        async with serve_client(instances) as client:
            await client.put("/instances/r1", content=body)
            before = (await client.get("/instances")).json()["instances"]
            clock.advance(2.0)
            after = (await client.get("/instances")).json()["instances"]
            await client.post("/instances/r1/leaving")
            clock.advance(2.0)
            leaving = (await client.get("/instances")).json()["instances"]
            clock.advance(11.0)
            await client.get("/instances")
            clock.advance(2.0)
            expired = (await client.get("/instances")).json()["instances"]
        assert before == [] and expired == []
        assert after[0]["leaving"] is False
        assert leaving[0]["leaving"] is True
