"""Engines reach their placement, and stale permits give no orders.

Permits bound how many engines load at once.  The fencing token prevents an
instance whose permit expired from undoing a newer holder's order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination import lease, orders
from bulrushstream.coordination.orders import (
    FencingGate,
    OrderState,
    missing_orders,
)
from bulrushstream.state.config import (
    FleetConfig,
    Placement,
    Service,
    ServiceKind,
    VersionedConfig,
)
from bulrushstream.state.effect import AppendLog, Decision, SendOrder
from bulrushstream.state.event import (
    ConfigChanged,
    DrainStarted,
    Event,
    HoldingsReported,
    LogRead,
    OrderAnswered,
    TimerFired,
)
from bulrushstream.state.order import (
    EngineOrder,
    Holdings,
    OrderAnswer,
    OrderKind,
)
from tests.builders import an_agent
from tests.fakelog import FakeLog

WANTED = Placement("m", "2", ("x",), "decode")
LOAD = OrderKind.LOAD_MODEL
ADAPT = OrderKind.LOAD_ADAPTER
ROLE = OrderKind.CHANGE_ROLE

# An engine's holdings and the kinds of order still needed for WANTED.
MISSING = [
    (None, []),
    (Holdings(), [LOAD, ADAPT, ROLE]),
    (Holdings((("m", "1"),), ("x",), "decode"), [LOAD]),
    (Holdings((("m", "2"),), ("y",), "decode"), [ADAPT]),
    (Holdings((("m", "2"), ("n", "1")), ("x",), "decode"), []),
]


@dataclass(slots=True)
class Endpoint:
    """An agent's order core with a simulated engine."""

    state: OrderState
    loading_until_s: float = -1.0
    holdings: Holdings = field(default_factory=Holdings)
    order: EngineOrder | None = None
    received: list[EngineOrder] = field(default_factory=list)
    answer: OrderAnswer = OrderAnswer.ACCEPTED
    decisions: int = 0
    load_s: float = 20.0

    def feed(self, log: FakeLog, event: Event) -> None:
        for effect in orders.handle(self.state, event, log.now_s):
            if isinstance(effect, AppendLog):
                if not log.down:
                    log.append_now(effect.stream, effect.body)
            elif isinstance(effect, Decision):
                self.decisions += 1
            elif isinstance(effect, SendOrder):
                self.receive(log, effect.order)

    def receive(self, log: FakeLog, order: EngineOrder) -> None:
        self.received.append(order)
        if self.answer is OrderAnswer.ACCEPTED:
            self.order = order
            self.loading_until_s = log.now_s + self.load_s
        self.feed(log, OrderAnswered(order, self.answer))

    def finish(self) -> None:
        done, self.order = self.order, None
        assert done is not None
        token = done.token
        if done.kind is LOAD:
            models = ((done.model, done.version),)
            self.holdings = replace(
                self.holdings, models=models, highest_token=token
            )
        elif done.kind is ADAPT:
            self.holdings = replace(self.holdings, adapters=(done.adapter,))
        else:
            self.holdings = replace(self.holdings, role=done.role)

    def step(self, log: FakeLog) -> None:
        if self.order is not None and log.now_s >= self.loading_until_s:
            self.finish()
        if not log.down:
            offset = self.state.leases.next_offset
            page = log.read_now(lease.STREAM, offset)
            event = LogRead(
                lease.STREAM, page.records, True, page.first_offset, offset
            )
            self.feed(log, event)
        loading = int(self.order is not None)
        report = replace(self.holdings, loading=loading)
        self.feed(log, HoldingsReported(report))
        self.feed(log, TimerFired())


def _endpoints(count: int) -> list[Endpoint]:
    service = Service("proofwriter", ServiceKind.MODEL, placement=WANTED)
    config = VersionedConfig(1, FleetConfig((), (service,)))
    endpoints: list[Endpoint] = []
    for number in range(count):
        state = orders.new_orders(an_agent(f"a{number}"), Random(number))
        orders.handle(state, ConfigChanged(config), 0.0)
        endpoints.append(Endpoint(state))
    return endpoints


def _run(log: FakeLog, endpoints: list[Endpoint], by_s: float) -> int:
    """Advance the time; return the peak number of engines loading."""
    max_loading = 0
    until_s = log.now_s + by_s
    while log.now_s < until_s:
        log.now_s += 0.5
        for endpoint in endpoints:
            endpoint.step(log)
        max_loading = max(
            max_loading, sum(e.order is not None for e in endpoints)
        )
    return max_loading


class OrdersSuite:
    @pytest.mark.parametrize(("holdings", "kinds"), MISSING)
    def test_missing_orders(
        self, holdings: Holdings | None, kinds: list[OrderKind]
    ) -> None:
        assert [o.kind for o in missing_orders(WANTED, holdings)] == kinds

    def test_permits_bound_concurrent_loads(self) -> None:
        log = FakeLog()
        endpoints = _endpoints(5)
        assert _run(log, endpoints, 400.0) == 2
        for endpoint in endpoints:
            assert [o.kind for o in endpoint.received] == [LOAD, ADAPT, ROLE]
            assert list(missing_orders(WANTED, endpoint.holdings)) == []
            assert endpoint.decisions == 3
            assert not endpoint.state.leases.active

    def test_no_order_is_sent_during_a_log_outage(self) -> None:
        log = FakeLog(down=True)
        endpoints = _endpoints(1)
        _run(log, endpoints, 100.0)
        assert endpoints[0].received == []

    def test_no_order_is_sent_after_the_permit_expired(self) -> None:
        """The load outlasts the permit, which the outage prevents renewing."""
        log = FakeLog()
        endpoints = _endpoints(1)
        endpoints[0].load_s = 40.0  # Longer than the permit's term.
        _run(log, endpoints, 5.0)
        log.down = True
        _run(log, endpoints, 100.0)
        assert len(endpoints[0].received) == 1
        log.down = False
        _run(log, endpoints, 200.0)
        tokens = [order.token for order in endpoints[0].received]
        assert len(tokens) == 3
        assert tokens[1] > tokens[0]

    def test_refused_order_is_retried_with_backoff(self) -> None:
        log = FakeLog()
        endpoint = _endpoints(1)[0]
        endpoint.answer = OrderAnswer.BUSY
        _run(log, [endpoint], 120.0)
        assert 2 <= len(endpoint.received) <= 20

    def test_no_order_has_a_token_below_the_reported_one(self) -> None:
        """The engine executed an order of a newer holder, with token 5."""
        log = FakeLog()
        endpoint = _endpoints(1)[0]
        endpoint.holdings = Holdings(highest_token=5)
        _run(log, [endpoint], 60.0)
        assert endpoint.received
        assert all(order.token >= 5 for order in endpoint.received)

    def test_engine_with_placement_serves_loaded_models(self) -> None:
        endpoint = _endpoints(1)[0]
        assert orders.loaded_models(endpoint.state) == frozenset()
        report = HoldingsReported(Holdings((("m", "1"),)))
        endpoint.feed(FakeLog(), report)
        assert orders.loaded_models(endpoint.state) == frozenset({"m"})
        unplaced = orders.new_orders(an_agent(), Random(1))
        assert orders.loaded_models(unplaced) is None

    def test_engine_without_reports_serves_all_models(self) -> None:
        endpoint = _endpoints(1)[0]
        endpoint.state.reports_holdings = False
        assert orders.loaded_models(endpoint.state) is None
        assert endpoint.received == []

    def test_draining_agent_releases_its_permit(self) -> None:
        log = FakeLog()
        endpoint = _endpoints(1)[0]
        _run(log, [endpoint], 5.0)
        assert endpoint.state.leases.active
        endpoint.feed(log, DrainStarted())
        _run(log, [endpoint], 100.0)
        assert not endpoint.state.leases.active
        assert len(endpoint.received) == 1

    def test_next_order_follows_a_report_of_completion(self) -> None:
        log = FakeLog()
        endpoint = _endpoints(1)[0]
        endpoint.load_s = 1.0
        _run(log, [endpoint], 8.0)
        assert [o.kind for o in endpoint.received] == [LOAD, ADAPT, ROLE]

    @given(st.lists(st.integers(0, 9)))
    def test_no_lower_token_passes_the_gate(self, tokens: list[int]) -> None:
        gate = FencingGate()
        passed = [token for token in tokens if gate.admit(token)]
        assert passed == sorted(passed)
        assert max(tokens, default=None) == max(passed, default=None)
