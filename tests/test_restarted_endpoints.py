"""Endpoints whose processes start again under the id that they had."""

from __future__ import annotations

from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front
from tests.crashplans import CrashPlan
from tests.crashrouters import make_router
from tests.deployments import an_entry

FIRST = an_entry("e-1", born="1")
SECOND = an_entry("e-1", born="2")


def a_front() -> Front:
    """Return a router that knows the first process."""
    router = make_router(
        0,
        1,
        CrashPlan(),
        lambda: 10.0,
        lambda decision: None,
        lambda host, data: None,
    )
    platformupdates.apply_entry(router.front, FIRST)
    return router.front


class ConnectionSuite:
    # Requests went to the address that the id had before.
    def test_a_process_elsewhere_gets_connections_to_its_address(
        self,
    ) -> None:
        front = a_front()
        front.connections.pool_for(front.pool.by_name["e-1"])
        entry = an_entry("e-1", born="2", port=2)
        platformupdates.apply_entry(front, entry)
        pool = front.connections.pool_for(front.pool.by_name["e-1"])
        assert pool.port == 2

    # What proved the life of one process passed for a proof of the next.
    def test_signs_of_the_earlier_process_are_not_those_of_the_next(
        self,
    ) -> None:
        front = a_front()
        first = front.pool.by_name["e-1"]
        front.connections.pool_for(first).record_answer(9.0)
        platformupdates.apply_entry(front, SECOND)
        second = front.pool.by_name["e-1"]
        assert front.connections.pool_for(second).answered_s < 9.0

    # A late request to the earlier process took the pool of the next one.
    def test_the_earlier_process_does_not_use_the_connections(self) -> None:
        front = a_front()
        first = front.pool.by_name["e-1"]
        platformupdates.apply_entry(front, SECOND)
        pool = front.connections.pool_for(front.pool.by_name["e-1"])
        assert front.connections.pool_for(first) is not pool
        second = front.pool.by_name["e-1"]
        assert front.connections.pool_for(second) is pool
