"""The operators' HTTP interface, metrics and log lines."""

from __future__ import annotations

import json
import logging

import httpx

from bulrushstream import logs, metrics
from bulrushstream.state.effect import Decision
from bulrushstream.state.request import Outcome
from bulrushstream.transport.answering import ResponseSummary
from bulrushstream.transport.callers import Exchange
from bulrushstream.transport.operators import (
    ActionError,
    OperatorsOptions,
    Readiness,
    make_operators,
)
from bulrushstream.transport.server import serve
from tests.builders import FakeClock, a_request


async def lift(body: bytes) -> dict[str, str]:
    if not body:
        raise ActionError("which one?")
    return {"lifted": body.decode()}


class OperatorsSuite:
    async def test_each_path_responds(self) -> None:
        registry = metrics.make_metrics()
        readiness = [Readiness(False, ("no configuration",)), Readiness(True)]
        options = OperatorsOptions(
            lambda: readiness.pop(0),
            lambda: {"version": 3},
            lambda: metrics.encode_metrics(registry),
            {"lift": lift},
        )
        async with (
            serve(make_operators(options)) as server,
            httpx.AsyncClient(base_url=server.url, verify=False) as client,
        ):
            health = await client.get("/healthz")
            unready = await client.get("/readyz")
            readyz = await client.get("/readyz")
            status = await client.get("/status")
            text = await client.get("/metrics")
            lifted = await client.post("/actions/lift", content=b"7")
            rejected = await client.post("/actions/lift")
            unknown = await client.post("/actions/none")
            wrong_method = await client.get("/actions/lift")
        assert health.status_code == 200
        assert unready.status_code == 503
        assert unready.json()["reasons"] == ["no configuration"]
        assert readyz.status_code == 200
        assert status.json() == {"version": 3}
        assert "bulrushstream_queued_bytes 0.0" in text.text
        assert lifted.json() == {"lifted": "7"}
        assert (rejected.status_code, rejected.json()["error"]) == (
            400,
            "which one?",
        )
        assert (unknown.status_code, wrong_method.status_code) == (404, 405)


class MetricsSuite:
    def test_counts_by_label(self) -> None:
        registry = metrics.make_metrics()
        sent = ResponseSummary(200, Outcome.RAN, True)
        metrics.count_exchange(registry, Exchange(a_request(), sent, 0.2))
        refused = ResponseSummary(401, Outcome.NOT_RUN, True, "B101")
        metrics.count_exchange(registry, Exchange(None, refused, 0.0))
        decision = Decision(
            "dispatch",
            "idle",
            service="proofwriter",
            request_class="batch",
            waited_s=0.05,
        )
        metrics.count_decision(registry, decision)
        metrics.count_message(registry, "out", "Pull", 30)
        metrics.set_queued(registry, {("s", "a"): 2}, 10)
        metrics.set_queued(registry, {("s", "b"): 1}, 5)
        text = metrics.encode_metrics(registry).decode()
        assert 'code="B101",outcome="not-run"' in text
        assert 'outcome="ran",service="proofwriter"' in text
        assert "bulrushstream_wait_seconds_count" in text
        assert 'control_bytes_total{direction="out",kind="Pull"} 30.0' in text
        assert 'workspace="b"} 1.0' in text
        assert 'workspace="a"} 2.0' not in text

    def test_reasons_are_not_metric_labels(self) -> None:
        """Reasons contain figures; as labels they would be unbounded."""
        registry = metrics.make_metrics()
        for number in range(50):
            metrics.count_decision(
                registry, Decision("pull", f"least: {number}")
            )
        text = metrics.encode_metrics(registry).decode()
        assert 'decisions_total{kind="pull"} 50.0' in text
        assert text.count("bulrushstream_decisions_total{") == 1

    def test_instances_have_separate_metrics(self) -> None:
        first, second = metrics.make_metrics(), metrics.make_metrics()
        metrics.count_message(first, "in", "Pull", 30)
        assert b'kind="Pull"' not in metrics.encode_metrics(second)


class LogsSuite:
    def test_decision_is_one_json_line(
        self, log_records: list[logging.LogRecord]
    ) -> None:
        decision = Decision("pull", "least served", request_id="q1")
        logs.instance_log("router-1").log_decision(decision)
        text = logs.JsonFormatter().format(log_records[-1])
        line = json.loads(text)
        assert "\n" not in text
        assert line["event"] == "decision"
        assert line["request_id"] == "q1"
        assert (line["instance"], line["waited_s"]) == ("router-1", 0.0)
        assert "endpoint" not in line

    def test_library_log_text_becomes_json(self) -> None:
        record = logging.LogRecord(
            "lib", logging.WARNING, "f", 1, "%s went", ("it",), None
        )
        line = json.loads(logs.JsonFormatter().format(record))
        assert (line["event"], line["text"]) == ("lib", "it went")

    def test_events_are_rate_limited_by_kind(
        self, log_records: list[logging.LogRecord]
    ) -> None:
        clock = FakeClock()
        log = logs.instance_log("router-1", clock.now)
        logged = [log.log_event("link_down", peer="a") for _ in range(9)]
        assert sum(logged) == logs.LINES_PER_WINDOW
        assert log.log_event("other")
        clock.advance(logs.WINDOW_S)
        assert log.log_event("link_down", peer="a")
        line = json.loads(logs.JsonFormatter().format(log_records[-1]))
        assert line["left_out"] == 9 - logs.LINES_PER_WINDOW
