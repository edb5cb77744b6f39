"""Streams keep their version at routers that were out of step.

Guards against routers that act on what they knew before a pause, or that
believe peers who know as little.
"""

from __future__ import annotations

import pytest

from tests.versionfleets import play_versions
from tests.versionplans import (
    VersionPlan,
    joins_amid_take_ups,
    peer_out_of_step,
    returns_listed_late,
    returns_while_frozen,
    version_that_left,
)

MIN_TAKE_UPS = 12  # In a run that is to show anything of take-ups.


def check(plan: VersionPlan, min_take_ups: int = 0) -> None:
    """Check that no stream changes its version in a run."""
    history = play_versions(plan)
    taken_up = [each for each in history.tries() if each.after]
    assert len(taken_up) >= min_take_ups
    assert history.crossings() == []
    assert history.gaps() == []


class PauseSuite:
    @pytest.mark.parametrize("seed", (1, 2, 3))
    @pytest.mark.parametrize("routers", (1, 4))
    def test_endpoints_return_while_a_router_stands_still(
        self, routers: int, seed: int
    ) -> None:
        """Guards against next attempts that go by a list from before."""
        check(returns_while_frozen(routers, seed))

    @pytest.mark.parametrize("seed", (1, 2, 3))
    def test_a_version_joins_amid_take_ups(self, seed: int) -> None:
        """Guards against take-ups whose second attempt is bound to none."""
        check(joins_amid_take_ups(seed), MIN_TAKE_UPS)


class LateEntrySuite:
    @pytest.mark.parametrize("seed", (1, 2, 3))
    def test_take_ups_before_the_list_names_a_process(self, seed: int) -> None:
        """Guards against a list that is too old for what has started."""
        check(returns_listed_late(seed), MIN_TAKE_UPS)


class PeerSuite:
    @pytest.mark.parametrize("seed", (1, 2, 3))
    def test_the_only_peer_is_out_of_step_too(self, seed: int) -> None:
        """Guards against peers who are believed without a list."""
        check(peer_out_of_step(seed), MIN_TAKE_UPS)

    @pytest.mark.parametrize("seed", (1, 2, 3))
    def test_a_report_of_several_versions_is_lost(self, seed: int) -> None:
        """Guards against reports that are not repeated once one is left."""
        plan = version_that_left(
            seed, cut_s=2.5, no_list_s=10.0, return_s=(2.5, 3.0)
        )
        check(plan, MIN_TAKE_UPS)

    @pytest.mark.parametrize("seed", (1, 2, 3))
    def test_the_list_is_read_before_a_peer_is_heard(self, seed: int) -> None:
        """Guards against a whole list that nobody has added to yet."""
        plan = version_that_left(
            seed, cut_s=3.0, no_list_s=2.7, return_s=(0.6, 1.0)
        )
        check(plan, MIN_TAKE_UPS)

    @pytest.mark.parametrize("seed", (1, 2, 3))
    @pytest.mark.parametrize(
        "return_s", ((0.6, 1.2), (2.0, 2.5)), ids=("soon", "later")
    )
    def test_a_version_comes_and_goes_between_two_reads(
        self, return_s: tuple[float, float], seed: int
    ) -> None:
        """Guards against a list, read whole, that is taken for a history."""
        plan = version_that_left(
            seed, cut_s=2.6, no_list_s=2.6, return_s=return_s
        )
        check(plan, MIN_TAKE_UPS)
