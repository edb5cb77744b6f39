"""Service counters, lifts, cost estimates and pull order."""

from __future__ import annotations

from itertools import permutations

import pytest

from bulrushstream.coordination.estimate import Estimator
from bulrushstream.coordination.pick import (
    bound_lead,
    least_served,
    lift_returning,
    most_urgent,
)
from bulrushstream.state.backlog import BacklogCount
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Digest, DigestEntry
from bulrushstream.state.request import RequestClass
from bulrushstream.state.share import ServiceCounters

R1 = InstanceKey("router-1", 1)
R2 = InstanceKey("router-2", 1)


def digest(
    sequence: int, total: float, in_flight: float = 0.0, floor: float = 0.0
) -> Digest:
    entry = DigestEntry("w1", total, in_flight, floor)
    return Digest("proofwriter", sequence, (entry,))


class DigestSuite:
    def test_order_and_copies_do_not_matter(self) -> None:
        messages = [digest(1, 5.0, 1.0), digest(2, 7.0), digest(3, 9.0, 2.0)]
        for order in permutations(messages):
            shares = ServiceCounters()
            for message in (*order, *order):
                shares.merge_digest(R1, message)
            assert shares.counter("w1") == 9.0
            assert shares.remote_in_flight("w1") == 2.0

    def test_the_latest_estimate_counts(self) -> None:
        shares = ServiceCounters()
        shares.merge_digest(R1, digest(1, 5.0, 4.0))
        shares.merge_digest(R2, digest(1, 5.0, 0.0))
        assert shares.remote_in_flight("w1") == 0.0

    def test_the_largest_total_counts(self) -> None:
        shares = ServiceCounters()
        shares.add_served("w1", 1.0)
        shares.merge_digest(R1, digest(1, 5.0))
        shares.merge_digest(R2, digest(1, 3.0))
        assert shares.counter("w1") == 6.0

    def test_estimates_of_a_disconnected_router_are_dropped(self) -> None:
        shares = ServiceCounters()
        shares.merge_digest(R1, digest(1, 5.0, 4.0))
        shares.drop_estimates(R1)
        assert shares.remote_in_flight("w1") == 0.0
        assert shares.counter("w1") == 5.0

    def test_totals_of_an_ended_router_are_dropped(self) -> None:
        shares = ServiceCounters()
        shares.merge_digest(R1, digest(1, 5.0))
        shares.merge_digest(R2, digest(1, 3.0))
        shares.forget_router(R1)
        assert shares.counter("w1") == 3.0


class LiftSuite:
    def test_idle_time_gives_no_credit(self) -> None:
        shares = ServiceCounters()
        shares.add_served("w1", 100.0)
        lift_returning(shares, ["w2"], ["w1", "w2"])
        assert shares.counter("w2") == 100.0

    def test_returning_workspaces_start_level_after_all_were_idle(
        self,
    ) -> None:
        shares = ServiceCounters()
        shares.add_served("w1", 100.0)
        lift_returning(shares, ["w2"], ["w2"])
        lift_returning(shares, ["w1"], ["w1", "w2"])
        assert shares.counter("w1") == shares.counter("w2")

    def test_a_lift_never_lowers(self) -> None:
        shares = ServiceCounters()
        shares.add_served("w1", 100.0)
        shares.add_served("w2", 150.0)
        lift_returning(shares, ["w2"], ["w1", "w2"])
        assert shares.counter("w2") == 150.0

    def test_concurrent_lifts_converge(self) -> None:
        agents = [ServiceCounters(), ServiceCounters()]
        for shares, served in zip(agents, (100.0, 90.0), strict=True):
            shares.add_served("w1", served)
            lift_returning(shares, ["w2"], ["w1", "w2"])
        pending = [dict(shares.pending_lifts(0.0)) for shares in agents]
        for shares, other in zip(agents, reversed(pending), strict=True):
            for workspace, lift in other.items():
                shares.merge_lift(workspace, lift)
        assert agents[0].lifts == agents[1].lifts == {"w2": 100.0}

    def test_lifts_known_to_routers_are_not_sent_again(self) -> None:
        shares = ServiceCounters()
        shares.merge_digest(R1, digest(1, 0.0, floor=50.0))
        assert list(shares.pending_lifts(1.0)) == []
        shares.lift_to("w1", 60.0)
        assert list(shares.pending_lifts(1.0)) == [("w1", 60.0)]
        assert list(shares.pending_lifts(1.0)) == []

    def test_counters_far_ahead_are_lowered(self) -> None:
        shares = ServiceCounters()
        shares.add_served("w1", 1000.0)
        bound_lead(shares, ["w1", "w2"], {"w1": 10.0, "w2": 10.0})
        assert shares.counter("w1") == 10.0
        shares.add_served("w1", 1.0)
        assert shares.counter("w1") == 11.0


class EstimateSuite:
    def test_a_hint_is_clamped_near_the_average(self) -> None:
        estimator = Estimator()
        estimator.learn("w1", RequestClass.BATCH, 8.0, 8.0)
        low = estimator.estimate("w2", RequestClass.BATCH, 0.001)
        high = estimator.estimate("w2", RequestClass.BATCH, 1e6)
        assert (low, high) == (2.0, 32.0)

    def test_a_hint_loses_weight_as_costs_are_learned(self) -> None:
        estimator = Estimator()
        for _ in range(20):
            estimator.learn("w1", RequestClass.BATCH, 8.0, 8.0)
        estimate = estimator.estimate("w1", RequestClass.BATCH, 0.001)
        assert estimate == pytest.approx(8.0, rel=0.1)

    def test_learns_per_workspace_and_class(self) -> None:
        estimator = Estimator()
        for _ in range(50):
            estimator.learn("w1", RequestClass.BATCH, 10.0, 1.0)
            estimator.learn("w1", RequestClass.INTERACTIVE, 1.0, 1.0)
        batch = estimator.estimate("w1", RequestClass.BATCH)
        interactive = estimator.estimate("w1", RequestClass.INTERACTIVE)
        assert batch > 5 * interactive

    def test_an_estimate_is_positive(self) -> None:
        assert Estimator().estimate("w1", RequestClass.BATCH) > 0


class PickSuite:
    def test_least_served_first(self) -> None:
        assert least_served("a", {"w1": 2.0, "w2": 1.0}) == "w2"
        assert least_served("a", {}) is None

    def test_agents_break_ties_differently(self) -> None:
        charged = {f"w{n}": 0.0 for n in range(8)}
        picks = {least_served(f"agent-{n}", charged) for n in range(8)}
        assert len(picks) > 2

    def test_interactive_work_goes_first_until_batch_has_aged(self) -> None:
        batch = BacklogCount(interactive=0, batch=1, oldest_s=95.0)
        urgent = BacklogCount(interactive=1, batch=0, oldest_s=100.0)
        assert most_urgent([(R1, batch), (R2, urgent)], 10.0) == R2
        old = BacklogCount(interactive=0, batch=1, oldest_s=80.0)
        assert most_urgent([(R1, old), (R2, urgent)], 10.0) == R1
