"""Orders that make an engine load what the configuration places on it.

Each agent manages its own endpoint: it compares the placement of its
service with the engine's report and gives one order at a time.  The weight
store is rate-limited, so an order needs one of a few *permits* for the
whole fleet.  Permits are leases, and the lease's token fences the order.

An engine that checks tokens refuses an order whose token is lower than an
earlier one.  For engines that ignore the token, the *fencing gate* drops
an order whose token is lower than one that it admitted before or than the
highest that the engine reports.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

from bulrushstream.coordination import lease
from bulrushstream.coordination.lease import LeaseOptions, LeaseState
from bulrushstream.state.config import Placement
from bulrushstream.state.effect import Decision, Effect, SendOrder, WakeAt
from bulrushstream.state.event import (
    ConfigChanged,
    DrainStarted,
    Event,
    HoldingsReported,
    LogRead,
    OrderAnswered,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo
from bulrushstream.state.order import (
    EngineOrder,
    Holdings,
    OrderAnswer,
    OrderKind,
)

NEVER_S: Final = float("inf")
NO_TOKEN: Final = -1


@dataclass(frozen=True, slots=True)
class OrderOptions:
    """Limits and intervals of orders."""

    permits: int = 2  # Maximum of concurrent loads in the fleet.
    retry_s: tuple[float, float] = (1.0, 60.0)  # After a failed order.
    settle_s: float = 5.0  # Maximum lag of the engine's reports.
    lease: LeaseOptions = LeaseOptions()  # noqa: RUF009


@dataclass(slots=True)
class FencingGate:
    """Admits only orders of the newest lease holder."""

    highest_token: int = NO_TOKEN  # Admitted, or reported by the engine.

    def admit(self, token: int) -> bool:
        """Return whether an order with this token may be given."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        return True


@dataclass(slots=True)
class OrderState:
    """The placement of an agent's endpoint and its progress."""

    me: InstanceInfo  # The agent.
    options: OrderOptions
    rng: Random  # For delays and the choice of a permit.
    leases: LeaseState  # The permits.
    gate: FencingGate = field(default_factory=FencingGate)
    placement: Placement | None = None  # The target; None: none configured.
    holdings: Holdings | None = None  # The engine's latest report.
    reports_holdings: bool = True  # Whether the engine reports its holdings.
    pending: EngineOrder | None = None  # The order without an answer.
    accepted: EngineOrder | None = None  # Until a report shows its result.
    permit: str = ""  # The permit that is requested or held; empty: none.
    next_order_s: float = -NEVER_S  # No order is given before.
    failures: int = 0  # Failed orders in a row.
    draining: bool = False  # If so, no orders are given.


def new_orders(
    me: InstanceInfo,
    rng: Random,
    options: OrderOptions | None = None,
    *,
    reports_holdings: bool = True,
) -> OrderState:
    """Return the state of an agent without configuration or reports yet.

    :param me: The agent.
    :param rng: The agent's random number generator.
    :param options: Limits and intervals; None: the defaults.
    :param reports_holdings: Whether the engine reports what it has loaded;
        if not, it gets no orders and is assumed to serve any model.
    :returns: The state.
    """
    options = options or OrderOptions()
    holder_id = f"{me.key.instance}#{me.key.incarnation}"
    leases = lease.new_leases(holder_id, rng, options.lease)
    return OrderState(
        me, options, rng, leases, reports_holdings=reports_holdings
    )


def handle(state: OrderState, event: Event, now_s: float) -> list[Effect]:
    """Apply an event and give the next order if one is due.

    :param state: Changed in place.
    :param event: Events of other kinds are ignored.
    :param now_s: The time, on the core's clock.
    :returns: The effects to execute, in order.
    """
    effects: list[Effect] = []
    match event:
        case ConfigChanged(current):
            services = current.config.services
            state.placement = next(
                (s.placement for s in services if s.name == state.me.service),
                None,
            )
        case HoldingsReported(holdings):
            _handle_report(state, holdings)
        case DrainStarted():
            state.draining = True
        case OrderAnswered(order, answer):
            _handle_answer(state, order, answer, now_s)
        case LogRead() | TimerFired():
            pass
        case _:
            return []
    effects += lease.handle(state.leases, event, now_s)
    effects += _give_next_order(state, now_s)
    if state.next_order_s > now_s and state.permit:
        effects.append(WakeAt(state.next_order_s))
    return effects


def loaded_models(state: OrderState) -> frozenset[str] | None:
    """Return the models that the engine serves; None: any model.

    :param state: The placement and the reports.
    :returns: The names, without a model that is being replaced.
    """
    if state.placement is None or not state.reports_holdings:
        return None
    if state.holdings is None:
        return frozenset()
    return frozenset(name for name, _ in state.holdings.models)


def missing_orders(
    placement: Placement | None, holdings: Holdings | None
) -> Iterator[EngineOrder]:
    """Yield the orders that the placement still needs, without a token.

    :param placement: What the engine should have loaded.
    :param holdings: What it has loaded; None: not known.
    :returns: The orders, the model before its adapters.
    """
    if placement is None or holdings is None:
        return
    model, version = placement.model, placement.version
    if (model, version) not in holdings.models:
        kind = OrderKind.LOAD_MODEL
        yield EngineOrder(kind, NO_TOKEN, model, version)
    for adapter in placement.adapters:
        if adapter not in holdings.adapters:
            kind = OrderKind.LOAD_ADAPTER
            yield EngineOrder(kind, NO_TOKEN, model, version, adapter)
    if placement.role not in ("", holdings.role):
        kind = OrderKind.CHANGE_ROLE
        yield EngineOrder(kind, NO_TOKEN, role=placement.role)


def _handle_report(state: OrderState, holdings: Holdings) -> None:
    state.holdings = holdings
    highest = max(state.gate.highest_token, holdings.highest_token)
    state.gate.highest_token = highest
    accepted = state.accepted
    if accepted is None:
        return
    without_token = replace(accepted, token=NO_TOKEN)
    if without_token not in missing_orders(state.placement, holdings):
        # The report shows the order's result, so the next one may follow.
        state.accepted = None
        state.next_order_s = -NEVER_S


def _handle_answer(
    state: OrderState, order: EngineOrder, answer: OrderAnswer, now_s: float
) -> None:
    if order != state.pending:
        return
    state.pending = None
    if answer is OrderAnswer.ACCEPTED:
        state.failures = 0
        state.accepted = order
        state.next_order_s = now_s + state.options.settle_s
        return
    state.failures += 1
    least_s, most_s = state.options.retry_s
    limit_s = min(most_s, least_s * 2.0 ** min(state.failures, 16))
    state.next_order_s = now_s + state.rng.uniform(least_s, limit_s)


def _give_next_order(state: OrderState, now_s: float) -> list[Effect]:
    """Give the next order if a permit is held, else request a permit.

    If nothing needs to be ordered, release the permit.
    """
    order = next(missing_orders(state.placement, state.holdings), None)
    is_loading = state.holdings is not None and state.holdings.loading > 0
    if order is None or state.draining:
        return _release_permit(state, now_s)
    if state.pending is not None or is_loading or now_s < state.next_order_s:
        return []
    token = lease.held_token(state.leases, state.permit, now_s)
    if token is None:
        return _request_permit(state, now_s)
    if not state.gate.admit(token):
        # A newer holder has given orders; a new claim gets a higher token.
        return _release_permit(state, now_s)
    state.pending = replace(order, token=token)
    reason = f"{order.kind} {_order_target(order)} with token {token}"
    return [
        SendOrder(state.pending),
        Decision(
            "order",
            reason,
            service=state.me.service,
            endpoint=state.me.endpoint,
        ),
    ]


def _order_target(order: EngineOrder) -> str:
    if order.kind is OrderKind.CHANGE_ROLE:
        return order.role
    return order.adapter or f"{order.model}:{order.version}"


def _release_permit(state: OrderState, now_s: float) -> list[Effect]:
    if not state.permit or state.pending is not None:
        return []
    name, state.permit = state.permit, ""
    return lease.release(state.leases, name, now_s)


def _request_permit(state: OrderState, now_s: float) -> list[Effect]:
    """Request a claimable permit, instead of one that was taken."""
    names = [f"load/{number}" for number in range(state.options.permits)]
    if state.permit:
        if lease.claimable(state.leases, state.permit, now_s):
            return []
        state.leases.wanted.pop(state.permit, None)
    free = [n for n in names if lease.claimable(state.leases, n, now_s)]
    state.permit = state.rng.choice(free or names)
    lease.acquire(state.leases, state.permit)
    return lease.handle(state.leases, TimerFired(), now_s)
