"""Retries stay within budgets; refusals carry a retry time."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.budget import (
    BudgetOptions,
    RetryBudget,
    pause_s,
)
from bulrushstream.coordination.drainrate import DrainRate
from bulrushstream.messages import QUEUE_FULL, RETRIES_EXHAUSTED
from bulrushstream.state.config import (
    Condition,
    FleetConfig,
    Rule,
    Treatment,
    VersionedConfig,
)
from bulrushstream.state.event import ConfigChanged
from bulrushstream.state.message import Dispatch
from bulrushstream.state.queues import QueueKey
from bulrushstream.state.request import Outcome
from bulrushstream.state.timers import Timers
from tests.builders import a_request, an_agent, an_end
from tests.routers import RouterDriver, sent

AGENT = an_agent()
KEY = QueueKey("proofwriter", "school")


class BudgetSuite:
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_stay_within_the_budget(self, steps: list[bool]) -> None:
        options = BudgetOptions(share=0.1, reserve=5.0)
        budget = RetryBudget(options)
        admitted = retried = 0
        for is_request in steps:
            if is_request:
                budget.deposit("school")
                admitted += 1
            else:
                retried += budget.withdraw("school")
            assert retried <= options.reserve + 0.1 * admitted + 1e-9

    def test_each_workspace_has_a_separate_budget(self) -> None:
        budget = RetryBudget(BudgetOptions(reserve=1.0))
        assert budget.withdraw("council")
        assert not budget.withdraw("council")
        assert budget.withdraw("school")

    def test_pauses_are_random_below_a_doubling_limit(self) -> None:
        options = BudgetOptions(base_s=0.1, cap_s=0.5)
        rng = random.Random(3)
        for retry, limit_s in ((1, 0.1), (2, 0.2), (3, 0.4), (99, 0.5)):
            pauses = [pause_s(options, rng, retry) for _ in range(200)]
            assert max(pauses) <= limit_s
            assert max(pauses) > 0.8 * limit_s
            assert min(pauses) < 0.2 * limit_s

    def test_an_endpoint_that_always_fails_gets_few_retries(self) -> None:
        """100 requests allow five retries each; the budget allows fewer."""
        router = RouterDriver()
        router.connect(AGENT)
        dispatched = 0
        for index in range(100):
            request = a_request(
                f"q{index}",
                idempotent=True,
                retry_limit=5,
                arrived_s=router.now_s,
                deadline_s=router.now_s + 60.0,
            )
            router.arrive(request)
            while found := sent(router.pull(AGENT), Dispatch):
                dispatched += 1
                end = an_end(
                    0,
                    found[0].request_id,
                    found[0].attempt,
                    outcome=Outcome.UNKNOWN,
                    whole=False,
                )
                router.receive(AGENT, end)
                router.wait(3.0)
        assert 100 < dispatched <= 100 + 10 + 10
        assert router.failures("q99")[0].code == RETRIES_EXHAUSTED.code


class DrainRateSuite:
    def test_the_wait_follows_from_a_steady_drain_rate(self) -> None:
        drain = DrainRate()
        for index in range(500):
            drain.record_departure(KEY, index * 0.1)
        rng = random.Random(1)
        wait_s = drain.retry_after_s(KEY, 100, rng, 50.0)
        assert 9.0 <= wait_s <= 13.0

    def test_a_stalled_queue_gives_the_longest_wait(self) -> None:
        drain = DrainRate()
        drain.record_departure(KEY, 0.0)
        wait_s = drain.retry_after_s(KEY, 5, random.Random(1), 500.0)
        assert wait_s == 60.0

    def test_a_refusal_carries_a_retry_time(self) -> None:
        router = RouterDriver()
        rule = Rule("all", Condition(), Treatment(queue_limit=1))
        router.on(
            ConfigChanged(VersionedConfig(1, FleetConfig((), (), (rule,))))
        )
        router.arrive(a_request("q1"))
        router.arrive(a_request("q2"))
        failure = router.failures("q2")[0]
        assert failure.code == QUEUE_FULL.code
        assert failure.retry_after_s >= 1.0


class TimersSuite:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"), st.none() | st.floats(0.0, 10.0)
            ),
            max_size=40,
        )
    )
    def test_timers_agree_with_a_dict(
        self, steps: list[tuple[str, float | None]]
    ) -> None:
        timers: Timers[str] = Timers()
        model: dict[str, float] = {}
        for key, at_s in steps:
            if at_s is None:
                timers.cancel(key)
                model.pop(key, None)
            else:
                timers.set(key, at_s)
                model[key] = at_s
            assert timers.next_s() == min(model.values(), default=None)
        due = []
        while (key_due := timers.pop_due(10.0)) is not None:
            due.append(model.pop(key_due))
        assert due == sorted(due)
        assert not model
