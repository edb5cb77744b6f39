"""Polls the load reports and cache events of an agent's endpoint.

Load reports are delayed and cache events can have gaps.  Both are passed
on unchanged; the core handles delays and gaps.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import httpx
import msgspec

from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.event import CacheReported, LoadReported
from bulrushstream.transport.fetch import Fetcher, FetchLimits

REPORT_LIMITS: Final = FetchLimits(timeout_s=2.0, body_bytes=4 * 2**20)
UNHEALTHY: Final = LoadReported(0, 0, False)


class _Load(msgspec.Struct, frozen=True):
    """A load report."""

    running: int  # Requests being processed.
    waiting: int  # Requests in the endpoint's queue.


class _CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache."""

    sequence: int  # Increases by one per event.
    added: tuple[int, ...]  # Digests of cached prefixes.
    dropped: tuple[int, ...]  # Digests of evicted prefixes.


class _CacheEvents(msgspec.Struct, frozen=True):
    """The events after the requested sequence number."""

    last: int  # The engine's latest sequence number.
    events: list[_CacheEvent]  # In order; may have gaps.


@dataclass(slots=True)
class CacheCursor:
    """The position up to which an engine's cache events were read."""

    last_sequence: int = 0  # Of the last event read; 0: none.


async def read_load(client: Fetcher, path: str) -> LoadReported:
    """Read an endpoint's load report.

    :param client: The endpoint's client.
    :param path: The report's path.
    :returns: The report; unhealthy if the endpoint did not answer.
    """
    body = await _get(client, path)
    if body is None:
        return UNHEALTHY
    try:
        load = msgspec.json.decode(body, type=_Load)
    except DECODE_ERRORS:
        return UNHEALTHY
    return LoadReported(load.running, load.waiting, True)


async def read_cache(
    client: Fetcher, path: str, cursor: CacheCursor
) -> list[CacheReported]:
    """Read an engine's new cache events.

    :param client: The engine's client.
    :param path: The events' path.
    :param cursor: The position, updated by the call.
    :returns: The new events, in order; none if the engine did not answer.
    """
    body = await _get(client, f"{path}?after={cursor.last_sequence}")
    if body is None:
        return []
    try:
        found = msgspec.json.decode(body, type=_CacheEvents)
    except DECODE_ERRORS:
        return []
    if found.last < cursor.last_sequence:
        # The engine has restarted, and its sequence numbers as well.
        cursor.last_sequence = 0
        return [CacheReported(0, (), ())]
    if found.events:
        cursor.last_sequence = found.events[-1].sequence
    return [
        CacheReported(event.sequence, event.added, event.dropped)
        for event in found.events
    ]


async def poll_load(
    client: Fetcher,
    path: str,
    interval_s: float,
    emit: Callable[[LoadReported], None],
) -> None:
    """Read load reports until cancelled.

    :param client: The endpoint's client.
    :param path: The report's path.
    :param interval_s: The time between two reads, in seconds.
    :param emit: Called with each report.
    """
    while True:
        emit(await read_load(client, path))
        await asyncio.sleep(interval_s)


async def poll_cache(
    client: Fetcher,
    path: str,
    interval_s: float,
    emit: Callable[[CacheReported], None],
) -> None:
    """Read cache events until cancelled.

    :param client: The engine's client.
    :param path: The events' path.
    :param interval_s: The time between two reads, in seconds.
    :param emit: Called with each event.
    """
    cursor = CacheCursor()
    while True:
        for event in await read_cache(client, path, cursor):
            emit(event)
        await asyncio.sleep(interval_s)


async def _get(client: Fetcher, path: str) -> bytes | None:
    """Return the body of a successful response, or None."""
    try:
        answer = await client.fetch("GET", path, REPORT_LIMITS)
    except (httpx.HTTPError, TimeoutError):
        return None
    return answer.content if answer.is_success else None
