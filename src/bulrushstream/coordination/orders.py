"""Orders that bring an engine to what the configuration asks for.

Each agent sees to its own endpoint: it compares the placement of its
service with what the engine reports, and gives one order at a time.  The
weight store is rate-limited, so an order needs one of a few *permits* for
the whole fleet, which are leases; the permit's token fences the order.

The *gate* lets no order pass whose token is lower than one that passed
before, or than one that the engine reports, for engines that ignore the
token.  An engine that checks it refuses such orders itself.
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
    """How orders are given."""

    permits: int = 2  # Loads at once in the whole fleet.
    retry_s: tuple[float, float] = (1.0, 60.0)  # After a failed order.
    settle_s: float = 5.0  # The engine's reports may lag by this much.
    lease: LeaseOptions = LeaseOptions()  # noqa: RUF009


@dataclass(slots=True)
class Gate:
    """Lets only orders of the newest holder pass."""

    highest_token: int = NO_TOKEN  # The highest token that passed.

    def admit(self, token: int) -> bool:
        """Return whether an order with this token may pass."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        return True


@dataclass(slots=True)
class OrderState:
    """What an agent knows of its endpoint's placement."""

    me: InstanceInfo  # The agent.
    options: OrderOptions  # How orders are given.
    rng: Random  # Draws delays and permits.
    leases: LeaseState  # The permits.
    gate: Gate = field(default_factory=Gate)  # Fences the orders.
    placement: Placement | None = None  # What is asked for; None: nothing.
    holdings: Holdings | None = None  # The engine's latest report.
    reports: bool = True  # Whether the engine says what it has loaded.
    pending: EngineOrder | None = None  # The order without an answer.
    accepted: EngineOrder | None = None  # The latest that was accepted.
    permit: str = ""  # The permit that is wanted or held.
    next_s: float = -NEVER_S  # When the next order may be given.
    failures: int = 0  # Orders that failed in a row.
    draining: bool = False  # Whether no order is given any more.


def new_orders(
    me: InstanceInfo,
    rng: Random,
    options: OrderOptions | None = None,
    *,
    reports: bool = True,
) -> OrderState:
    """Return the state of an agent that knows nothing yet.

    :param me: The agent.
    :param rng: The agent's own source of random numbers.
    :param options: How orders are given; None: the defaults.
    :param reports: Whether the engine says what it has loaded; if not, it
        gets no orders and is taken to serve whatever it is asked.
    :returns: The state.
    """
    options = options or OrderOptions()
    signature = f"{me.key.instance}#{me.key.incarnation}"
    leases = lease.new_leases(signature, rng, options.lease)
    return OrderState(me, options, rng, leases, reports=reports)


def handle(state: OrderState, event: Event, now_s: float) -> list[Effect]:
    """Take in an event.

    :param state: Changed in place.
    :param event: What happened.
    :param now_s: The time, on the core's clock.
    :returns: What to do, in order.
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
            _take_report(state, holdings)
        case DrainStarted():
            state.draining = True
        case OrderAnswered(order, answer):
            _take_answer(state, order, answer, now_s)
        case LogRead() | TimerFired():
            pass
        case _:
            return []
    effects += lease.handle(state.leases, event, now_s)
    effects += _step(state, now_s)
    if state.next_s > now_s and state.permit:
        effects.append(WakeAt(state.next_s))
    return effects


def loaded_models(state: OrderState) -> frozenset[str] | None:
    """Return the models that the engine serves; None: any that it is asked.

    :param state: What the agent knows.
    :returns: The names; a model that is being replaced is not among them.
    """
    if state.placement is None or not state.reports:
        return None
    if state.holdings is None:
        return frozenset()
    return frozenset(name for name, _ in state.holdings.models)


def missing(
    placement: Placement | None, holdings: Holdings | None
) -> Iterator[EngineOrder]:
    """Yield the orders that are still to be given, without a token.

    :param placement: What the engine should have.
    :param holdings: What it has; None: not known.
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


def _take_report(state: OrderState, holdings: Holdings) -> None:
    state.holdings = holdings
    highest = max(state.gate.highest_token, holdings.highest_token)
    state.gate.highest_token = highest
    done = state.accepted
    if done is None:
        return
    bare = replace(done, token=NO_TOKEN)
    if bare not in missing(state.placement, holdings):
        # The report has caught up with the order; the next one may follow.
        state.accepted = None
        state.next_s = -NEVER_S


def _take_answer(
    state: OrderState, order: EngineOrder, answer: OrderAnswer, now_s: float
) -> None:
    if order != state.pending:
        return
    state.pending = None
    if answer is OrderAnswer.ACCEPTED:
        state.failures = 0
        state.accepted = order
        state.next_s = now_s + state.options.settle_s
        return
    state.failures += 1
    least_s, most_s = state.options.retry_s
    limit_s = min(most_s, least_s * 2.0 ** min(state.failures, 16))
    state.next_s = now_s + state.rng.uniform(least_s, limit_s)


def _step(state: OrderState, now_s: float) -> list[Effect]:
    """Give the next order, or do what must come before it."""
    order = next(missing(state.placement, state.holdings), None)
    is_loading = state.holdings is not None and state.holdings.loading > 0
    if order is None or state.draining:
        return _give_permit_back(state, now_s)
    if state.pending is not None or is_loading or now_s < state.next_s:
        return []
    token = lease.holds(state.leases, state.permit, now_s)
    if token is None:
        return _seek_permit(state, now_s)
    if not state.gate.admit(token):
        # A newer holder has given orders: a new claim has a newer token.
        return _give_permit_back(state, now_s)
    state.pending = replace(order, token=token)
    reason = f"{order.kind} {_subject(order)} with token {token}"
    return [
        SendOrder(state.pending),
        Decision(
            "order",
            reason,
            service=state.me.service,
            endpoint=state.me.endpoint,
        ),
    ]


def _subject(order: EngineOrder) -> str:
    if order.kind is OrderKind.CHANGE_ROLE:
        return order.role
    return order.adapter or f"{order.model}:{order.version}"


def _give_permit_back(state: OrderState, now_s: float) -> list[Effect]:
    if not state.permit or state.pending is not None:
        return []
    name, state.permit = state.permit, ""
    return lease.release(state.leases, name, now_s)


def _seek_permit(state: OrderState, now_s: float) -> list[Effect]:
    """Try for a permit that looks free, another one if it was taken."""
    names = [f"load/{number}" for number in range(state.options.permits)]
    if state.permit:
        if lease.claimable(state.leases, state.permit, now_s):
            return []
        state.leases.wanted.pop(state.permit, None)
    free = [n for n in names if lease.claimable(state.leases, n, now_s)]
    state.permit = state.rng.choice(free or names)
    lease.want(state.leases, state.permit)
    return lease.handle(state.leases, TimerFired(), now_s)
