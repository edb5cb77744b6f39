"""Send a scenario's requests to routers, each at its time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Final

import httpx

from bulrushstream.load.caller import CallResult, call
from bulrushstream.load.plan import Arrival, plan_arrivals
from bulrushstream.load.scenario import Scenario
from bulrushstream.load.summary import LoadSummary, summarize
from bulrushstream.transport.client import make_client

MAX_CONNECTIONS: Final = 4096
READ_TIMEOUT_S: Final = 300.0
PROGRESS_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a run has come."""

    elapsed_s: float  # Since its start.
    sent: int  # Requests sent.
    answered: int  # Requests answered.
    planned: int  # Requests in all.


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
        clients = [
            await stack.enter_async_context(
                make_client(url, READ_TIMEOUT_S, MAX_CONNECTIONS)
            )
            for url in urls
        ]
        reporter = asyncio.create_task(_report(state, progress))
        try:
            await _send_all(state, arrivals, clients, finished)
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
    clients: Sequence[httpx.AsyncClient],
    finished: Callable[[CallResult], None] | None,
) -> None:
    """Send each request at its time, whatever became of earlier ones."""
    loop = asyncio.get_running_loop()

    async def one(arrival: Arrival) -> None:
        client = clients[arrival.router % len(clients)]
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
