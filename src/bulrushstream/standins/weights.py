"""Orders to the model stand-in, and the weight store that they load from.

An order carries a fencing token, which increases with each new holder of
the lease.  An engine that checks tokens refuses an order whose token is
lower than the highest one received; an engine that does not check accepts
every order.  Loading takes time, and the weight store limits the number of
concurrent loads.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from bulrushstream.state.order import EngineOrder, OrderAnswer, OrderKind


@dataclass(slots=True)
class WeightStore:
    """The weight store that engines share."""

    max_concurrent_loads: int = 2  # Further loads are refused.
    load_s: float = 0.0  # Time per load.
    running: int = 0  # Current loads.
    max_running: int = 0  # Highest number of concurrent loads so far.
    refused: int = 0  # Refused loads.
    loads: int = 0  # Started loads.


@dataclass(slots=True)
class Holdings:
    """An engine's loaded models, and the orders that it has accepted."""

    store: WeightStore
    checks_token: bool  # Whether it refuses stale orders.
    models: dict[str, str] = field(default_factory=dict)  # Versions by name.
    adapters: set[str] = field(default_factory=set)
    role: str = ""  # The engine's role.
    highest_token: int = -1  # -1: none received.
    loading: list[EngineOrder] = field(default_factory=list)  # Current loads.
    accepted_orders: list[EngineOrder] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class HoldingsReport:
    """The report of an engine's holdings."""

    models: dict[str, str]  # Versions by name.
    adapters: tuple[str, ...]
    role: str  # The engine's role.
    loading: int  # Number of current loads.
    highest_token: int  # The highest token received; -1: none.


def handle_order(holdings: Holdings, order: EngineOrder) -> OrderAnswer:
    """Accept or refuse an order; start the load if there is one.

    :param holdings: The engine's holdings.
    :param order: The order.
    :returns: The engine's answer.
    """
    stale = order.token < holdings.highest_token
    if stale and holdings.checks_token:
        return OrderAnswer.STALE
    store = holdings.store
    needs_load = order.kind is not OrderKind.CHANGE_ROLE
    if needs_load and store.running >= store.max_concurrent_loads:
        store.refused += 1
        return OrderAnswer.BUSY
    holdings.highest_token = max(holdings.highest_token, order.token)
    holdings.accepted_orders.append(order)
    if not needs_load:
        holdings.role = order.role
        return OrderAnswer.ACCEPTED
    _begin_load(holdings, order)
    return OrderAnswer.ACCEPTED


def reset_holdings(holdings: Holdings, models: dict[str, str]) -> None:
    """Reset to the state after a restart, which loses orders and tokens.

    :param holdings: The engine's holdings.
    :param models: The models loaded at startup, with their versions.
    """
    for task in holdings.tasks:
        task.cancel()
    holdings.models = models
    holdings.adapters = set()
    holdings.role = ""
    holdings.highest_token = -1


def report_holdings(holdings: Holdings) -> HoldingsReport:
    """Return the report of an engine's holdings.

    :param holdings: The engine's holdings.
    :returns: The report.
    """
    return HoldingsReport(
        dict(holdings.models),
        tuple(sorted(holdings.adapters)),
        holdings.role,
        len(holdings.loading),
        holdings.highest_token,
    )


def _begin_load(holdings: Holdings, order: EngineOrder) -> None:
    """Start a load as a background task."""
    store = holdings.store
    store.running += 1
    store.loads += 1
    store.max_running = max(store.max_running, store.running)
    holdings.loading.append(order)
    if order.kind is OrderKind.LOAD_MODEL:
        # Loading unloads the old version first.
        holdings.models.pop(order.model, None)
    loop = asyncio.get_running_loop()
    task = loop.create_task(_load(holdings, order))
    holdings.tasks.add(task)
    task.add_done_callback(holdings.tasks.discard)


async def _load(holdings: Holdings, order: EngineOrder) -> None:
    """Wait for the weights, then mark them as loaded."""
    try:
        await asyncio.sleep(holdings.store.load_s)
        if order.kind is OrderKind.LOAD_MODEL:
            holdings.models[order.model] = order.version
        else:
            holdings.adapters.add(order.adapter)
    finally:
        holdings.store.running -= 1
        holdings.loading.remove(order)
