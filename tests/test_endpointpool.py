"""Selection of endpoints for new requests."""

from __future__ import annotations

import random

from bulrushstream.coordination.endpointnotices import EndpointNotices
from bulrushstream.coordination.endpointpool import (
    MAX_EJECTION_S,
    EndpointPool,
)
from bulrushstream.coordination.placement import choose_plain
from tests.deployments import an_entry


def a_pool(count: int = 4) -> EndpointPool:
    """Return a pool of plain endpoints."""
    pool = EndpointPool(EndpointNotices(lambda decision: None))
    for number in range(count):
        pool.update(an_entry(f"i-{number}"), None)
    return pool


class EjectionSuite:
    def test_a_failing_endpoint_is_ejected_for_a_limited_time(self) -> None:
        pool = a_pool()
        bad = pool.by_name["i-0"]
        ejected = [pool.failed(bad, 0.0) for _ in range(8)]
        assert ejected.count(True) == 1
        assert bad not in pool.usable("desk", 0.0)
        assert bad in pool.usable("desk", MAX_EJECTION_S + 0.1)

    def test_half_of_the_endpoints_stay_in_use(self) -> None:
        pool = a_pool()
        for endpoint in pool.by_name.values():
            for _ in range(20):
                pool.failed(endpoint, 0.0)
        assert len(pool.usable("desk", 0.0)) >= 2

    def test_failures_of_all_endpoints_eject_none(self) -> None:
        pool = a_pool()
        for _ in range(30):
            for endpoint in pool.by_name.values():
                assert not pool.failed(endpoint, 0.0)

    def test_the_last_endpoint_is_used_even_if_unreachable(self) -> None:
        pool = a_pool(1)
        pool.unreachable(pool.by_name["i-0"], 0.0)
        assert pool.usable("desk", 0.0)


class ListSuite:
    def test_a_leaving_endpoint_is_not_used(self) -> None:
        pool = a_pool(2)
        pool.update(an_entry("i-0", leaving=True), None)
        assert [each.name for each in pool.usable("desk", 0.0)] == ["i-1"]

    def test_an_entry_with_another_service_is_another_endpoint(self) -> None:
        pool = a_pool(1)
        before = pool.by_name["i-0"]
        pool.update(an_entry("i-0", service="other"), None)
        assert before.removed
        assert not pool.usable("desk", 0.0)
        assert pool.usable("other", 0.0)

    # A process that started again under its id was taken for the earlier one.
    def test_another_start_is_another_endpoint(self) -> None:
        pool = a_pool(1)
        pool.update(an_entry("i-0", born="1"), None)
        before = pool.by_name["i-0"]
        pool.update(an_entry("i-0", born="2"), None)
        assert before.removed
        assert pool.by_name["i-0"] is not before

    # An entry without its start hid the next process.
    def test_a_start_that_was_told_is_kept(self) -> None:
        pool = a_pool(1)
        before = pool.by_name["i-0"]
        pool.update(an_entry("i-0", born="1"), None)
        pool.update(an_entry("i-0", leaving=True), None)
        assert pool.by_name["i-0"] is before
        assert before.entry.leaving
        pool.update(an_entry("i-0", born="2"), None)
        assert pool.by_name["i-0"] is not before


class PlainChoiceSuite:
    def test_the_least_loaded_is_chosen_and_the_own_zone_on_a_tie(
        self,
    ) -> None:
        pool = EndpointPool(EndpointNotices(lambda decision: None))
        pool.update(an_entry("near", availability_zone="z"), None)
        pool.update(an_entry("far", availability_zone="y"), None)
        near, far = pool.by_name["near"], pool.by_name["far"]
        rng = random.Random(1)
        assert choose_plain([far, near], "z", rng) is near
        near.outstanding = 1
        assert choose_plain([far, near], "z", rng) is far
        assert choose_plain([], "z", rng) is None
