"""How often routers read the store's topics."""

from __future__ import annotations

import pytest

from bulrushstream.daemon.watch import list_interval_s

# What a read and a busy router may take, on top of the interval.
SLACK_S = 0.5


class ListIntervalSuite:
    @pytest.mark.parametrize(
        ("routers", "drain_s"), ((4, 2.0), (27, 3.0), (68, 4.0), (340, 4.0))
    )
    def test_endpoints_that_leave_are_known_in_time(
        self, routers: int, drain_s: float
    ) -> None:
        """Guards against routers that save calls at the cost of a bound."""
        assert list_interval_s(routers, drain_s) <= drain_s / 2 - SLACK_S / 2

    def test_a_small_fleet_reads_as_before(self) -> None:
        assert list_interval_s(4, 2.0) == 0.6
        assert list_interval_s(1, 0.1) == 0.6

    def test_calls_do_not_grow_with_the_routers_while_the_bound_allows(
        self,
    ) -> None:
        calls_per_s = [
            routers / list_interval_s(routers, 10.0)
            for routers in (14, 27, 68)
        ]
        assert max(calls_per_s) <= 24.0
