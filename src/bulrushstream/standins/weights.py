"""Orders to the model stand-in, and the weight store behind them.

An order carries a fencing token, which grows from holder to holder of a
lease.  An engine that checks it refuses an order whose token is lower
than the highest one that it saw; one that does not check obeys anyone.
Loading takes time, and the weight store serves few loads at once.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from bulrushstream.state.order import EngineOrder, OrderAnswer, OrderKind


@dataclass(slots=True)
class WeightStore:
    """The store of weights that all engines load from."""

    loads_at_once: int = 2  # More are turned away.
    load_s: float = 0.0  # Time per load.
    running: int = 0  # Loads now.
    max_running: int = 0  # The most at once so far.
    refused: int = 0  # Loads turned away.
    loads: int = 0  # Loads begun.


@dataclass(slots=True)
class Holdings:
    """What an engine has loaded and what orders it has seen."""

    store: WeightStore  # Where it loads from.
    checks_token: bool  # Whether it refuses stale orders.
    models: dict[str, str] = field(default_factory=dict)  # To version.
    adapters: set[str] = field(default_factory=set)  # Loaded adapters.
    role: str = ""  # Its role.
    highest_token: int = -1  # The highest token that it saw.
    loading: list[EngineOrder] = field(default_factory=list)  # Loads now.
    obeyed: list[EngineOrder] = field(default_factory=list)  # In order.
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class HoldingsReport:
    """What an engine reports of its holdings."""

    models: dict[str, str]  # Loaded models, each with its version.
    adapters: tuple[str, ...]  # Loaded adapters.
    role: str  # The engine's role.
    loading: int  # Loads that are not done yet.
    highest_token: int  # The highest token that it saw.


def give_order(holdings: Holdings, order: EngineOrder) -> OrderAnswer:
    """Take an order, and begin to carry it out.

    :param holdings: The engine's holdings.
    :param order: The order.
    :returns: What the engine says.
    """
    stale = order.token < holdings.highest_token
    if stale and holdings.checks_token:
        return OrderAnswer.STALE
    store = holdings.store
    loads = order.kind is not OrderKind.CHANGE_ROLE
    if loads and store.running >= store.loads_at_once:
        store.refused += 1
        return OrderAnswer.BUSY
    holdings.highest_token = max(holdings.highest_token, order.token)
    holdings.obeyed.append(order)
    if not loads:
        holdings.role = order.role
        return OrderAnswer.ACCEPTED
    _begin_load(holdings, order)
    return OrderAnswer.ACCEPTED


def forget_orders(holdings: Holdings, models: dict[str, str]) -> None:
    """Start anew after a crash, with no memory of orders or tokens.

    :param holdings: The engine's holdings.
    :param models: What is loaded at a start, each with its version.
    """
    for task in holdings.tasks:
        task.cancel()
    holdings.models = models
    holdings.adapters = set()
    holdings.role = ""
    holdings.highest_token = -1


def report_holdings(holdings: Holdings) -> HoldingsReport:
    """Return what the engine reports.

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
    """Start a load that ends by itself."""
    store = holdings.store
    store.running += 1
    store.loads += 1
    store.max_running = max(store.max_running, store.running)
    holdings.loading.append(order)
    if order.kind is OrderKind.LOAD_MODEL:
        # The old version is gone while the new one is loading.
        holdings.models.pop(order.model, None)
    loop = asyncio.get_running_loop()
    task = loop.create_task(_load(holdings, order))
    holdings.tasks.add(task)
    task.add_done_callback(holdings.tasks.discard)


async def _load(holdings: Holdings, order: EngineOrder) -> None:
    """Wait for the weights and install them."""
    try:
        await asyncio.sleep(holdings.store.load_s)
        if order.kind is OrderKind.LOAD_MODEL:
            holdings.models[order.model] = order.version
        else:
            holdings.adapters.add(order.adapter)
    finally:
        holdings.store.running -= 1
        holdings.loading.remove(order)
