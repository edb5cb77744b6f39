"""Send a scenario's requests to routers, each at its time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Final

import httpx

from bulrushstream.load.caller import CallResult, call
from bulrushstream.load.plan import Arrival, plan_arrivals
from bulrushstream.load.scenario import Scenario
from bulrushstream.load.summary import LoadSummary, summarize
from bulrushstream.transport.client import make_client

READ_TIMEOUT_S: Final = 300.0
PROGRESS_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a run has come."""

    elapsed_s: float  # Since its start.
    sent: int  # Requests sent.
    answered: int  # Requests answered.
    planned: int  # Requests in all.


class ClientPool:
    """Clients of one router, each with one connection.

    The library's own pool looks at every open connection for each request,
    which takes most of the time when a thousand requests wait.
    """

    _url: str  # The router's address for callers.
    _free: list[httpx.AsyncClient]  # Clients that wait for a request.
    _all: list[httpx.AsyncClient]  # Every client.

    def __init__(self, url: str) -> None:
        """Make an empty pool.

        :param url: The router's address for callers.
        """
        self._url = url
        self._free = []
        self._all = []

    @property
    def size(self) -> int:
        """Return how many clients there are."""
        return len(self._all)

    @contextmanager
    def client(self) -> Iterator[httpx.AsyncClient]:
        """Lend a client for one request."""
        if not self._free:
            fresh = make_client(self._url, READ_TIMEOUT_S, max_connections=1)
            self._all.append(fresh)
            self._free.append(fresh)
        lent = self._free.pop()
        try:
            yield lent
        finally:
            self._free.append(lent)

    async def close(self) -> None:
        """Close every connection."""
        for client in self._all:
            await client.aclose()


@dataclass(slots=True)
class _RunState:
    """What a run has done."""

    scenario: Scenario  # What is run.
    planned: int  # Requests in all.
    began_s: float  # On the event loop's clock.
    sent: int = 0  # Requests sent.
    late_s: float = 0.0  # The most that one was sent too late.
    results: list[CallResult] = field(default_factory=list)  # As they end.


async def run_load(
    scenario: Scenario,
    urls: Sequence[str],
    seed: int,
    progress: Callable[[Progress], None] | None = None,
    finished: Callable[[CallResult], None] | None = None,
) -> LoadSummary:
    """Send a scenario's requests and wait for every answer.

    :param scenario: The scenario.
    :param urls: The routers' addresses for callers, in its order.
    :param seed: Decides what is left to chance.
    :param progress: Told every second how far the run has come.
    :param finished: Told of each request's end.
    :returns: The summary.
    """
    arrivals = plan_arrivals(scenario, seed)
    loop = asyncio.get_running_loop()
    state = _RunState(scenario, len(arrivals), loop.time())
    async with AsyncExitStack() as stack:
        pools = [ClientPool(url) for url in urls]
        for pool in pools:
            stack.push_async_callback(pool.close)
        reporter = asyncio.create_task(_report(state, progress))
        try:
            await _send_all(state, arrivals, pools, finished)
        finally:
            reporter.cancel()
        if progress is not None:
            progress(_progress(state))
    elapsed_s = loop.time() - state.began_s
    return summarize(
        scenario.name, seed, state.results, elapsed_s, state.late_s
    )


async def _send_all(
    state: _RunState,
    arrivals: Sequence[Arrival],
    pools: Sequence[ClientPool],
    finished: Callable[[CallResult], None] | None,
) -> None:
    """Send each request at its time, whatever became of earlier ones."""
    loop = asyncio.get_running_loop()

    async def one(arrival: Arrival) -> None:
        with pools[arrival.router % len(pools)].client() as client:
            result = await call(client, state.scenario, arrival)
        state.results.append(result)
        if finished is not None:
            finished(result)

    async with asyncio.TaskGroup() as group:
        for arrival in arrivals:
            ahead_s = state.began_s + arrival.at_s - loop.time()
            if ahead_s > 0:
                await asyncio.sleep(ahead_s)
            state.late_s = max(state.late_s, -ahead_s)
            state.sent += 1
            group.create_task(one(arrival))


async def _report(
    state: _RunState, progress: Callable[[Progress], None] | None
) -> None:
    """Tell how far the run has come until cancelled."""
    while progress is not None:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        progress(_progress(state))


def _progress(state: _RunState) -> Progress:
    """Return how far a run has come."""
    elapsed_s = asyncio.get_running_loop().time() - state.began_s
    answered = len(state.results)
    return Progress(elapsed_s, state.sent, answered, state.planned)
