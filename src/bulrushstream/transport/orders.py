"""The agent's client for orders to its engine.

An order without a valid answer counts as failed.  The engine may still
execute it; its next report shows whether it did.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import httpx
import msgspec

from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.event import HoldingsReported, OrderAnswered
from bulrushstream.state.order import EngineOrder, Holdings, OrderAnswer
from bulrushstream.transport.fetch import Fetcher, FetchLimits

ORDER_LIMITS: Final = FetchLimits(timeout_s=5.0, body_bytes=4 * 2**20)


class _Report(msgspec.Struct, frozen=True):
    """An engine's report of its models, adapters and role."""

    models: dict[str, str]  # Versions of the loaded models, by name.
    adapters: tuple[str, ...] = ()  # Loaded adapters.
    role: str = ""  # The engine's role.
    loading: int = 0  # Loads in progress.
    highest_token: int = -1  # Highest fencing token seen.


class _Answer(msgspec.Struct, frozen=True):
    """An engine's answer to an order."""

    answer: OrderAnswer  # Whether the order was accepted.


async def send_order(
    client: Fetcher, path: str, order: EngineOrder
) -> OrderAnswered:
    """Send one order.

    :param client: the engine's client
    :param path: the path for orders
    :param order: the order
    :returns: the order with the engine's answer
    """
    body = msgspec.json.encode(order)
    answer = OrderAnswer.FAILED
    try:
        response = await client.fetch("POST", path, ORDER_LIMITS, content=body)
        answer = msgspec.json.decode(response.content, type=_Answer).answer
    except (httpx.HTTPError, TimeoutError, *DECODE_ERRORS):
        pass
    return OrderAnswered(order, answer)


async def read_holdings(client: Fetcher, path: str) -> Holdings | None:
    """Read an engine's report of its holdings.

    :param client: the engine's client
    :param path: the path of the report
    :returns: the holdings; None: the engine did not answer
    """
    try:
        response = await client.fetch("GET", path, ORDER_LIMITS)
        report = msgspec.json.decode(response.content, type=_Report)
    except (httpx.HTTPError, TimeoutError, *DECODE_ERRORS):
        return None
    return Holdings(
        models=tuple(sorted(report.models.items())),
        adapters=report.adapters,
        role=report.role,
        loading=report.loading,
        highest_token=report.highest_token,
    )


async def poll_holdings(
    client: Fetcher,
    path: str,
    interval_s: float,
    emit: Callable[[HoldingsReported], None],
) -> None:
    """Read an engine's holdings until cancelled.

    :param client: the engine's client
    :param path: the path of the report
    :param interval_s: the time between two reads, in seconds
    :param emit: called with each report
    """
    while True:
        holdings = await read_holdings(client, path)
        if holdings is not None:
            emit(HoldingsReported(holdings))
        await asyncio.sleep(interval_s)
