"""Route selection, configuration freshness, retry quota and failures."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.forwarding import (
    MAX_UNSENT,
    Failure,
    Progress,
    RetryDecision,
    decide_retry,
)
from bulrushstream.coordination.freshness import MARGIN_S, Freshness
from bulrushstream.coordination.retryquota import RetryLimits, RetryQuota
from bulrushstream.coordination.routetable import index_routes, pick_service
from bulrushstream.state.routes import RequestKind, SplitShare
from tests.deployments import HOST, a_config, a_route


class RouteSuite:
    @pytest.mark.parametrize(
        ("path", "expected"),
        [
            ("/a/x", "short"),
            ("/a/b/x", "long"),
            ("/a/b/", "long"),
            ("/a/b", "short"),
            ("/a", None),
            ("/", None),
            ("/b/a/", None),
            ("", None),
        ],
    )
    def test_the_longest_prefix_wins(
        self, path: str, expected: str | None
    ) -> None:
        table = index_routes(
            a_config(
                a_route(name="short", prefix="/a/"),
                a_route(name="long", prefix="/a/b/"),
            )
        )
        route = table.find(HOST, path)
        assert (route.name if route else None) == expected
        assert table.find("other.example", path) is None

    def test_services_are_drawn_by_weight(self) -> None:
        split = (SplitShare("a", 90), SplitShare("b", 10), SplitShare("c", 0))
        rng = random.Random(1)
        drawn = [pick_service(a_route(split=split), rng) for _ in range(2000)]
        assert 0.85 < drawn.count("a") / 2000 < 0.95
        assert "c" not in drawn


class FreshnessSuite:
    def test_is_stale_at_the_start(self) -> None:
        assert not Freshness(5.0).is_fresh_at(0.0)

    @given(
        st.lists(st.floats(0, 100), min_size=1, max_size=20),
        st.floats(0, 120),
    )
    def test_is_stale_after_the_limit(
        self, proofs_s: list[float], now_s: float
    ) -> None:
        fresh = Freshness(5.0)
        for proof_s in proofs_s:
            fresh.confirm(proof_s)
        # A key may have been revoked just after the newest proof.
        if now_s > max(proofs_s) + 5.0:
            assert not fresh.is_fresh_at(now_s)
        if now_s <= max(proofs_s) + 5.0 - 2 * MARGIN_S:
            assert fresh.is_fresh_at(now_s)


class RetryQuotaSuite:
    @given(
        st.lists(
            st.tuples(st.booleans(), st.floats(0, 1.5)),
            min_size=1,
            max_size=150,
        ),
        st.integers(1, 5),
    )
    def test_retries_in_each_window_stay_within_the_budget(
        self, steps: list[tuple[bool, float]], routers: int
    ) -> None:
        limits = RetryLimits(0.2, 12, 10.0)
        quota = RetryQuota(limits)
        now_s, requests, retries = 0.0, [], []
        for is_retry, pause_s in steps:
            now_s += pause_s
            if is_retry and quota.acquire("s", now_s, routers):
                retries.append(now_s)
            elif not is_retry:
                quota.count_request("s", now_s)
                requests.append(now_s)
        for end_s in retries:
            window = [t for t in retries if end_s - 10.0 < t <= end_s]
            base = [t for t in requests if end_s - 10.0 <= t <= end_s]
            assert len(window) <= 0.2 * len(base) + 12 / routers

    def test_a_process_that_was_started_again_has_no_slack_at_first(
        self,
    ) -> None:
        """Guards against restarts that renew what the fleet has used."""
        quota = RetryQuota(RetryLimits(0.5, 8, 10.0), slack_from_s=10.0)
        assert not quota.acquire("a", 1.0, 4)
        for _ in range(2):
            quota.count_request("a", 2.0)
        assert quota.acquire("a", 2.0, 4)
        assert not quota.acquire("a", 2.0, 4)
        assert quota.acquire("a", 10.0, 4)

    def test_services_do_not_share_a_budget(self) -> None:
        quota = RetryQuota(RetryLimits(0.0, 1, 10.0))
        assert quota.acquire("a", 0.0, 1)
        assert not quota.acquire("a", 1.0, 1)
        assert quota.acquire("b", 1.0, 1)
        assert quota.acquire("a", 10.5, 1)


class VerdictSuite:
    def judge(
        self, failure: Failure, progress: Progress, **route: object
    ) -> RetryDecision:
        return decide_retry(
            a_route(**route),
            progress,
            failure,
            time_left=True,
            acquire_retry=lambda: True,
        )

    @given(st.integers(1, 4), st.integers(0, 4), st.sampled_from(Failure))
    def test_a_request_that_may_have_run_is_never_reported_as_not_run(
        self, sends: int, unsent: int, failure: Failure
    ) -> None:
        for kind in RequestKind:
            for resumable in (False, True):
                progress = Progress(sends, unsent, may_have_run=True)
                verdict = self.judge(
                    failure, progress, kind=kind, resumable=resumable
                )
                assert verdict is not RetryDecision.REFUSE
                if not a_route(kind=kind, resumable=resumable).repeatable:
                    assert verdict is not RetryDecision.RETRY

    def test_a_request_that_was_not_run_may_be_retried(self) -> None:
        progress = Progress(1, 0, may_have_run=False)
        kind = RequestKind.NON_IDEMPOTENT
        assert (
            self.judge(Failure.NOT_EXECUTED, progress, kind=kind)
            is RetryDecision.RETRY
        )
        assert (
            self.judge(
                Failure.NOT_EXECUTED, progress, kind=kind, max_attempts=1
            )
            is RetryDecision.REFUSE
        )

    def test_a_failed_connection_does_not_count_as_an_attempt(self) -> None:
        progress = Progress(0, 1)
        kind = RequestKind.NON_IDEMPOTENT
        assert (
            self.judge(Failure.NOT_SENT, progress, kind=kind, max_attempts=1)
            is RetryDecision.RETRY
        )
        progress.unsent = MAX_UNSENT
        assert (
            self.judge(Failure.NOT_SENT, progress, kind=kind)
            is RetryDecision.REFUSE
        )

    def test_an_empty_budget_ends_retries_and_is_checked_last(self) -> None:
        takes = []

        def take() -> bool:
            takes.append(1)
            return False

        def judge_with(progress: Progress) -> RetryDecision:
            return decide_retry(
                a_route(),
                progress,
                Failure.BROKEN,
                time_left=True,
                acquire_retry=take,
            )

        assert judge_with(Progress(2, 0, True)) is RetryDecision.FAIL
        assert takes == []
        assert judge_with(Progress(1, 0, True)) is RetryDecision.FAIL
        assert takes == [1]

    def test_the_last_endpoint_error_is_relayed(self) -> None:
        progress = Progress(2, 0, may_have_run=True)
        assert self.judge(Failure.ERROR, progress) is RetryDecision.RELAY
