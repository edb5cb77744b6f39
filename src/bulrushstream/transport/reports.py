"""What the agent learns from its endpoint beside the answers.

Load reports lag behind and cache events have gaps; both are passed on as
they come, for the core to make the best of.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import httpx
import msgspec

from bulrushstream.state.event import CacheReported, LoadReported

REPORT_TIMEOUT_S: Final = 2.0
UNHEALTHY: Final = LoadReported(0, 0, False)


class _Load(msgspec.Struct, frozen=True):
    """A load report."""

    running: int  # Requests that the endpoint works on.
    waiting: int  # Requests in its own queue.


class _CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache."""

    sequence: int  # Grows by one per event.
    added: tuple[int, ...]  # Prefix digests that it now holds.
    dropped: tuple[int, ...]  # Prefix digests that it dropped.


class _CacheEvents(msgspec.Struct, frozen=True):
    """The changes after one that the reader has."""

    last: int  # The number of the engine's last event.
    events: list[_CacheEvent]  # Those that can be seen, in order.


@dataclass(slots=True)
class CacheReader:
    """How far an engine's cache events were read."""

    after: int = 0  # The number of the last one that was read.


async def read_load(client: httpx.AsyncClient, path: str) -> LoadReported:
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
    except msgspec.DecodeError:
        return UNHEALTHY
    return LoadReported(load.running, load.waiting, True)


async def read_cache(
    client: httpx.AsyncClient, path: str, reader: CacheReader
) -> list[CacheReported]:
    """Read an engine's new cache events.

    :param client: The engine's client.
    :param path: The events' path.
    :param reader: How far they were read.
    :returns: The new events, in order; none if the engine is silent.
    """
    body = await _get(client, f"{path}?after={reader.after}")
    if body is None:
        return []
    try:
        found = msgspec.json.decode(body, type=_CacheEvents)
    except msgspec.DecodeError:
        return []
    if found.last < reader.after:
        # The engine started anew, and its numbers with it.
        reader.after = 0
        return [CacheReported(0, (), ())]
    if found.events:
        reader.after = found.events[-1].sequence
    return [
        CacheReported(event.sequence, event.added, event.dropped)
        for event in found.events
    ]


async def poll_load(
    client: httpx.AsyncClient,
    path: str,
    interval_s: float,
    emit: Callable[[LoadReported], None],
) -> None:
    """Read load reports until cancelled.

    :param client: The endpoint's client.
    :param path: The report's path.
    :param interval_s: The time between two reads, in seconds.
    :param emit: Told of each report.
    """
    while True:
        emit(await read_load(client, path))
        await asyncio.sleep(interval_s)


async def poll_cache(
    client: httpx.AsyncClient,
    path: str,
    interval_s: float,
    emit: Callable[[CacheReported], None],
) -> None:
    """Read cache events until cancelled.

    :param client: The engine's client.
    :param path: The events' path.
    :param interval_s: The time between two reads, in seconds.
    :param emit: Told of each event.
    """
    reader = CacheReader()
    while True:
        for event in await read_cache(client, path, reader):
            emit(event)
        await asyncio.sleep(interval_s)


async def _get(client: httpx.AsyncClient, path: str) -> bytes | None:
    """Return the body of a good answer, or None."""
    try:
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            answer = await client.get(path)
    except (httpx.HTTPError, TimeoutError):
        return None
    return answer.content if answer.is_success else None
