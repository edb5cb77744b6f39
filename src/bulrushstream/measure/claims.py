"""Measure the cost of idempotency keys and the resumption of streams.

`measure_claims` sends job tickets with and without a key to a local fleet
whose log delays each call by a given time.  `measure_resume` cuts the
connections between a router and its agents during a streamed answer.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from typing import Final

import httpx

from bulrushstream.commands.demo import demo_plan
from bulrushstream.local.client import call_service
from bulrushstream.local.fleet import LocalFleet, run_fleet
from bulrushstream.measure.table import percentile
from bulrushstream.standins.log import LogFaults

TOKEN: Final = "demo-club"
PAUSE_S: Final = 0.05
CUT_AFTER_CHUNKS: Final = 20


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The results of calls with or without keys."""

    log_delay_s: float  # Added to each call of the log.
    keyed: bool  # Whether each call has an idempotency key.
    calls: int  # Calls with a complete answer.
    p50_ms: float  # Time to the answer.
    p95_ms: float  # Time to the answer.


async def measure_claims(
    log_delay_s: float, keyed: bool, count: int
) -> ClaimResult:
    """Send job tickets one after the other.

    :param log_delay_s: the delay added to each call of the log, in seconds
    :param keyed: whether each ticket has a unique idempotency key
    :param count: how many to send
    """
    times_s = []
    async with run_fleet(demo_plan()) as fleet, httpx.AsyncClient() as client:
        fleet.log.state.faults = replace(LogFaults(), slow_s=log_delay_s)
        url = fleet.routers["router-0"].server.url
        for number in range(count):
            started_s = time.monotonic()
            verdict = await call_service(
                client,
                url,
                TOKEN,
                method="POST",
                path="floordesk/tickets",
                body=b"ticket %d" % number,
                key=f"key-{number}" if keyed else "",
            )
            if verdict.ok:
                times_s.append(time.monotonic() - started_s)
            await asyncio.sleep(PAUSE_S)
    return ClaimResult(
        log_delay_s,
        keyed,
        len(times_s),
        1000 * percentile(times_s, 50),
        1000 * percentile(times_s, 95),
    )


async def measure_resume(count: int) -> list[float]:
    """Cut a router's connections to its agents during streamed answers.

    :param count: how many streams to cut
    :returns: for each, the longest time between two chunks, in seconds
    """
    gaps_s = []
    async with run_fleet(demo_plan()) as fleet, httpx.AsyncClient() as client:
        for number in range(count):
            gaps_s.append(await _cut_stream(fleet, client, number))
    return gaps_s


async def _cut_stream(
    fleet: LocalFleet, client: httpx.AsyncClient, number: int
) -> float:
    """Cut the connections during one stream; return its longest gap."""
    router = fleet.routers["router-0"]
    body = {
        "model": "proofwriter",
        "messages": [{"role": "user", "content": f"note {number}"}],
        "max_tokens": 100,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {TOKEN}"}
    url = f"{router.server.url}/v1/chat/completions"
    longest_gap_s = 0.0
    chunks: list[bytes] = []
    async with client.stream(
        "POST", url, json=body, headers=headers, timeout=30
    ) as answer:
        last_chunk_s = time.monotonic()
        async for chunk in answer.aiter_raw():
            now_s = time.monotonic()
            if chunks:
                longest_gap_s = max(longest_gap_s, now_s - last_chunk_s)
            last_chunk_s = now_s
            chunks.append(chunk)
            if len(chunks) == CUT_AFTER_CHUNKS:
                for agent in fleet.agents:
                    router.mesh.cut(agent)
    if not b"".join(chunks).endswith(b"data: [DONE]\n\n"):
        raise ValueError(
            f"stream {number} ended without [DONE]: got {len(chunks)} chunks"
        )
    return longest_gap_s
