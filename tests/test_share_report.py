"""The shares that a router logs and counts, for fairness on call."""

from __future__ import annotations

import json
import logging

import pytest

from bulrushstream import logs
from bulrushstream.metrics import count_shares, encode_metrics, make_metrics
from bulrushstream.state.usage import ShareReport, WorkspaceUsage
from tests.deployments import a_prompt
from tests.test_fleetstate import a_router_state, deliver


def a_share_report(workspaces: int = 2) -> ShareReport:
    """Return a report in which `w0` requested most."""
    names = [f"w{number}" for number in range(workspaces)]
    return ShareReport(
        usage={name: WorkspaceUsage(500, 300, 100) for name in names},
        window_s=4.0,
        throughput_tokens_per_s=1000.0,
        level_tokens=float("inf"),
        demand_tokens={
            name: 1e6 - number for number, name in enumerate(names)
        },
        granted_tokens=dict.fromkeys(names, 700.0),
        peers=3,
        oldest_peer="front-2",
        oldest_peer_age_s=0.25,
    )


class ReportSuite:
    def test_requests_grants_and_failed_grants_are_told_apart(self) -> None:
        (state, recorder), (peer, _) = a_router_state(1), a_router_state(2)
        endpoint = state.pool.by_name["e-1"]
        prompt = a_prompt((1, 900), output=50)
        for _ in range(3):
            state.add_demand("club", prompt.quota_tokens, 0.1)
        numbers = [
            state.place(endpoint, prompt, "club", 0.1, 9.0) for _ in range(2)
        ]
        state.withdraw_grant(numbers[0], 0.2)
        state.ended(endpoint, numbers[0])
        state.ended(endpoint, numbers[1])
        assert state.report_shares(1.0).usage == {
            "club": WorkspaceUsage(3000, 2000, 1000)
        }
        deliver(recorder, peer, 0.3)
        for each in (state, peer):
            assert each.shares.demand == {"club": 3000}
            assert each.shares.granted == {"club": 1000}
        assert state.report_shares(2.0).usage == {}

    def test_the_age_of_the_oldest_update_is_reported(self) -> None:
        (one, _), (two, recorder) = a_router_state(1), a_router_state(2)
        two.add_demand("club", 700, 0.0)
        deliver(recorder, one, 0.2)
        report = one.report_shares(1.0)
        assert (report.peers, report.oldest_peer) == (1, "front-2")
        assert report.oldest_peer_age_s == pytest.approx(0.8)
        assert report.demand_tokens == {"club": 700}
        assert report.usage == {}


class OutputSuite:
    def test_the_line_names_the_busiest_workspaces_only(
        self, log_records: list[logging.LogRecord]
    ) -> None:
        log = logs.instance_log("router-1")
        for _ in range(2 * logs.LINES_PER_WINDOW):
            log.log_shares(a_share_report(workspaces=700))
        assert len(log_records) == 2 * logs.LINES_PER_WINDOW
        text = logs.JsonFormatter().format(log_records[-1])
        line = json.loads(text)
        assert line["event"] == "shares"
        assert len(line["fleet"]) == logs.MAX_LOGGED_WORKSPACES
        assert line["fleet"]["w0"] == [1_000_000, 700]
        assert line["here"]["w0"] == [500, 300, 100]
        assert line["unlisted"] == 700 - logs.MAX_LOGGED_WORKSPACES
        assert line["level_tokens"] is None
        # Members of all lines are never replaced by those of one.
        assert line["level"] == "info"
        assert len(text) < 4096

    def test_tokens_are_counted_by_workspace_and_state(self) -> None:
        metrics = make_metrics()
        count_shares(metrics, a_share_report())
        text = encode_metrics(metrics).decode()
        assert (
            "bulrushstream_quota_tokens_total"
            '{state="not_run",workspace="w1"} 100.0'
        ) in text
        assert "bulrushstream_oldest_peer_age_seconds 0.25" in text
