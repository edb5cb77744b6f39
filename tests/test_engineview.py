"""A router's view of a model engine, in virtual time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.engineview import (
    FIRST_EVENT_DELAY_S,
    FIXED_DELAY_S,
    EngineView,
)
from tests.deployments import a_prompt

RATE = 30_000.0


class CacheSuite:
    def test_a_part_counts_as_cached_only_after_a_cached_prefix(self) -> None:
        view = EngineView(64, 100_000)
        view.place(1, a_prompt((1, 1000), (2, 2000), (3, 50)), RATE, 0, 9)
        warm = view.prefill_tokens(a_prompt((1, 1000), (2, 2000), (4, 60)))
        cold = view.prefill_tokens(a_prompt((9, 1000), (2, 2000), (4, 60)))
        assert warm < 80
        assert cold > 3000

    def test_the_least_recently_used_part_is_evicted(self) -> None:
        view = EngineView(64, 10_000)
        for number in range(1, 5):
            view.place(number, a_prompt((number, 3000)), RATE, 0, 9)
        assert list(view.cached) == [2, 3, 4]

    @given(
        st.lists(
            st.tuples(st.integers(1, 30), st.integers(1, 4000)), max_size=60
        )
    )
    def test_the_sum_of_cached_tokens_is_exact_and_bounded(
        self, parts: list[tuple[int, int]]
    ) -> None:
        view = EngineView(64, 9000)
        for number, part in enumerate(parts):
            view.place(number, a_prompt(part), RATE, 0, 9)
            assert view.cached_tokens == sum(view.cached.values())
            assert view.cached_tokens <= 9000


class BacklogSuite:
    def test_prefill_times_add_up_and_shrink_with_time(self) -> None:
        view = EngineView(64, 200_000)
        for number in (1, 2):
            view.place(number, a_prompt((number, 6000)), RATE, 0.0, 9)
        both_s = view.backlog_s(0.0)
        assert 0.4 < both_s < 0.5
        assert abs(view.backlog_s(0.1) - (both_s - 0.1)) < 1e-9
        assert view.backlog_s(5.0) == 0.0

    def test_a_first_event_corrects_the_backlog(self) -> None:
        view = EngineView(64, 200_000)
        for number in (1, 2, 3):
            view.place(number, a_prompt((number, 6000)), RATE, 0.0, 9)
        one_s = view.pending[3].prefill_s
        view.start(2, 0.9)
        # Prefills run in order, so 1 and 2 are done despite the prediction.
        remaining_s = one_s - FIRST_EVENT_DELAY_S
        assert abs(view.backlog_s(0.9) - remaining_s) < 1e-9
        assert list(view.pending) == [3]

    def test_a_request_that_ends_before_its_prefill_is_removed(self) -> None:
        view = EngineView(64, 200_000)
        for number in (1, 2):
            view.place(number, a_prompt((number, 6000)), RATE, 0.0, 9)
        view.end(1)
        assert abs(view.backlog_s(0.0) - view.pending[2].prefill_s) < 1e-9

    def test_a_request_without_an_end_expires(self) -> None:
        view = EngineView(64, 200_000)
        view.place(1, a_prompt((1, 6000)), RATE, 0.0, 3.0)
        view.expire(2.9)
        assert view.running_tokens == 6050
        view.expire(3.1)
        assert (view.running_tokens, len(view.running)) == (0, 0)

    def test_slots_and_memory_limit_the_capacity(self) -> None:
        view = EngineView(2, 10_000)
        assert view.has_capacity(a_prompt((1, 6000)))
        view.place(1, a_prompt((1, 6000)), RATE, 0.0, 9)
        assert not view.has_capacity(a_prompt((2, 6000)))
        assert view.has_capacity(a_prompt((2, 2000)))
        view.place(2, a_prompt((2, 10)), RATE, 0.0, 9)
        assert not view.has_capacity(a_prompt((3, 10)))


class SpeedSuite:
    def test_slowness_is_measured_and_decays(self) -> None:
        view = EngineView(64, 10**9)
        now_s = 0.0
        for number in range(30):
            view.place(number, a_prompt((number, 6000)), RATE, now_s, 1e9)
            slow_s = view.pending[number].prefill_tokens / RATE * 4
            now_s += slow_s + FIXED_DELAY_S
            observed = view.start(number, now_s)
            assert observed is not None
            view.observe_rate(observed, RATE, now_s)
            view.end(number)
            now_s += 2.0
        assert 2.5 < view.slowness_at(now_s) < 4.5
        assert view.slowness_at(now_s + 60) < 1.05

    def test_only_a_prefill_without_a_queue_measures_the_rate(self) -> None:
        view = EngineView(64, 10**9)
        view.place(1, a_prompt((1, 6000)), RATE, 0.0, 9)
        view.place(2, a_prompt((2, 6000)), RATE, 0.0, 9)
        observed = view.start(1, 0.22 + FIXED_DELAY_S)
        assert observed is not None
        assert 25_000 < observed < 35_000
        assert view.start(2, 0.5) is None
        assert view.start(2, 0.6) is None
