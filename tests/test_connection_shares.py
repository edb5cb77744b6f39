"""How many connections a router may open to one endpoint.

Guards against a crowded router that refuses its callers while endpoints have
room, as other routers do not use their shares of the connections.
"""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.daemon.connections import (
    MIN_CONNECTIONS,
    EndpointConnections,
)
from tests.deployments import an_entry

# Of krokvid-fit-grown: routers, and connections and slots of an engine.
ROUTERS, LIMIT, SLOTS = 27, 350, 32


@dataclass
class Crowd:
    """Routers before one endpoint, which all know of its requests."""

    routers: int = ROUTERS
    limit: int = LIMIT

    def __post_init__(self) -> None:
        self.endpoint = Endpoint(an_entry("e-1", service="llm"), None)
        self.open = [0] * self.routers
        self.connections = EndpointConnections(
            lambda: 0.0, lambda service: self.limit, lambda: self.routers
        )

    def try_send(self, router: int) -> bool:
        """Open a connection for a request, if that router may."""
        options = self.connections.pool_for(self.endpoint).options
        if self.open[router] >= options.max_connections:
            return False
        self.open[router] += 1
        self.endpoint.outstanding += 1
        return True


class ConnectionShareSuite:
    def test_a_crowded_router_uses_all_slots_of_an_endpoint(self) -> None:
        """The pattern: one router gets several times the others' callers."""
        crowd = Crowd()
        sent = [crowd.try_send(0) for _ in range(SLOTS)]
        assert all(sent)

    def test_routers_keep_their_even_share(self) -> None:
        crowd = Crowd()
        while crowd.try_send(0):
            pass
        for router in range(1, ROUTERS):
            for _ in range(LIMIT // ROUTERS):
                assert crowd.try_send(router)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.integers(0, ROUTERS - 1), min_size=400, max_size=900),
    )
    def test_all_together_hardly_exceed_the_limit(
        self, senders: list[int]
    ) -> None:
        """Even if nothing ends and no engine admits so many."""
        crowd = Crowd()
        for router in senders:
            crowd.try_send(router)
        assert sum(crowd.open) <= LIMIT * 4 / 3

    @pytest.mark.parametrize("limit", (0, 1, 20))
    def test_small_limits(self, limit: int) -> None:
        crowd = Crowd(limit=limit)
        assert all(crowd.try_send(3) for _ in range(MIN_CONNECTIONS))

    # Whole answers without a length were given up at quiet endpoints, as no
    # other connection could prove that these lived on.
    @pytest.mark.parametrize(
        ("limit", "outstanding", "kept"),
        [(32, 0, True), (32, 9, True), (32, 10, False), (12, 0, False)],
    )
    def test_a_quiet_endpoint_has_room_for_proofs(
        self, limit: int, outstanding: int, kept: bool
    ) -> None:
        crowd = Crowd(routers=6, limit=limit)
        crowd.endpoint.outstanding = outstanding
        pool = crowd.connections.pool_for(crowd.endpoint)
        assert pool.options.keeps_witnesses is kept
