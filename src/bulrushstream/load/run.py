"""Send a scenario's requests to routers at their planned times."""

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
    """The progress of a run."""

    elapsed_s: float  # Since the start of the run.
    sent: int  # Requests sent.
    answered: int  # Requests answered.
    planned: int  # Requests of the whole run.


class ClientPool:
    """Clients of one router, each with one connection.

    The connection pool of httpx checks every open connection on each request.
    With a thousand waiting requests this takes most of the time.
    """

    _url: str  # The router's address for callers.
    _free: list[httpx.AsyncClient]  # Clients without a request.
    _all: list[httpx.AsyncClient]  # Every client.

    def __init__(self, url: str) -> None:
        """Create an empty pool.

        :param url: The router's address for callers.
        """
        self._url = url
        self._free = []
        self._all = []

    @property
    def size(self) -> int:
        """Return the number of clients."""
        return len(self._all)

    @contextmanager
    def borrow(self) -> Iterator[httpx.AsyncClient]:
        """Provide a client for one request; create one if none is free."""
        if not self._free:
            new_client = make_client(
                self._url, READ_TIMEOUT_S, max_connections=1
            )
            self._all.append(new_client)
            self._free.append(new_client)
        borrowed = self._free.pop()
        try:
            yield borrowed
        finally:
            self._free.append(borrowed)

    async def close(self) -> None:
        """Close every connection."""
        for client in self._all:
            await client.aclose()


@dataclass(slots=True)
class _RunState:
    """The state of a run."""

    scenario: Scenario
    planned: int  # Requests of the whole run.
    started_s: float  # On the event loop's clock.
    sent: int = 0  # Requests sent.
    late_s: float = 0.0  # Largest delay behind the planned time.
    results: list[CallResult] = field(default_factory=list)  # As they end.


async def run_load(
    scenario: Scenario,
    urls: Sequence[str],
    seed: int,
    on_progress: Callable[[Progress], None] | None = None,
    on_finished: Callable[[CallResult], None] | None = None,
) -> LoadSummary:
    """Send a scenario's requests and wait for every answer.

    :param scenario: The scenario.
    :param urls: The routers' addresses for callers, in the scenario's order.
    :param seed: The seed of the requests.
    :param on_progress: Called every second and at the end.
    :param on_finished: Called with the result of each request.
    :returns: The summary.
    """
    arrivals = plan_arrivals(scenario, seed)
    loop = asyncio.get_running_loop()
    state = _RunState(scenario, len(arrivals), loop.time())
    async with AsyncExitStack() as stack:
        pools = [ClientPool(url) for url in urls]
        for pool in pools:
            stack.push_async_callback(pool.close)
        reporter = asyncio.create_task(_report_progress(state, on_progress))
        try:
            await _send_all(state, arrivals, pools, on_finished)
        finally:
            reporter.cancel()
        if on_progress is not None:
            on_progress(_current_progress(state))
    elapsed_s = loop.time() - state.started_s
    return summarize(
        scenario.name, seed, state.results, elapsed_s, state.late_s
    )


async def _send_all(
    state: _RunState,
    arrivals: Sequence[Arrival],
    pools: Sequence[ClientPool],
    on_finished: Callable[[CallResult], None] | None,
) -> None:
    """Send each request at its time, without waiting for earlier ones."""
    loop = asyncio.get_running_loop()

    async def send_one(arrival: Arrival) -> None:
        with pools[arrival.router % len(pools)].borrow() as client:
            result = await call(client, state.scenario, arrival)
        state.results.append(result)
        if on_finished is not None:
            on_finished(result)

    async with asyncio.TaskGroup() as group:
        for arrival in arrivals:
            wait_s = state.started_s + arrival.at_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            state.late_s = max(state.late_s, -wait_s)
            state.sent += 1
            group.create_task(send_one(arrival))


async def _report_progress(
    state: _RunState, progress: Callable[[Progress], None] | None
) -> None:
    """Report the progress of the run every second until cancelled."""
    while progress is not None:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        progress(_current_progress(state))


def _current_progress(state: _RunState) -> Progress:
    """Return the progress of a run."""
    elapsed_s = asyncio.get_running_loop().time() - state.started_s
    answered = len(state.results)
    return Progress(elapsed_s, state.sent, answered, state.planned)
