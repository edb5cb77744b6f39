"""What an idempotency key costs, and how soon a broken stream goes on.

The first sends job tickets with and without a key to a local fleet whose
log takes a given time for each call.  The second cuts every connection
between routers and agents in the middle of a streamed answer.
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
CUT_AFTER_PIECES: Final = 20


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Calls with or without keys against one log."""

    log_s: float  # What each call of the log takes.
    keyed: bool  # Whether the calls bear a key.
    calls: int  # How many were answered whole.
    p50_ms: float  # Time to the answer.
    p95_ms: float  # Time to the answer.


async def measure_claims(log_s: float, keyed: bool, count: int) -> ClaimResult:
    """Send job tickets one after the other.

    :param log_s: what each call of the log takes, in seconds
    :param keyed: whether each ticket bears a key of its own
    :param count: how many to send
    """
    times_s = []
    async with run_fleet(demo_plan()) as fleet, httpx.AsyncClient() as client:
        fleet.log.state.faults = replace(LogFaults(), slow_s=log_s)
        url = fleet.routers["router-0"].server.url
        for number in range(count):
            begun_s = time.monotonic()
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
                times_s.append(time.monotonic() - begun_s)
            await asyncio.sleep(PAUSE_S)
    return ClaimResult(
        log_s,
        keyed,
        len(times_s),
        1000 * percentile(times_s, 50),
        1000 * percentile(times_s, 95),
    )


async def measure_resume(count: int) -> list[float]:
    """Cut the links under streamed answers.

    :param count: how many streams to cut
    :returns: for each, the longest time between two pieces, in seconds
    """
    gaps_s = []
    async with run_fleet(demo_plan()) as fleet, httpx.AsyncClient() as client:
        for number in range(count):
            gaps_s.append(await _cut_one(fleet, client, number))
    return gaps_s


async def _cut_one(
    fleet: LocalFleet, client: httpx.AsyncClient, number: int
) -> float:
    """Cut the links under one stream; return its longest gap."""
    router = fleet.routers["router-0"]
    body = {
        "model": "proofwriter",
        "messages": [{"role": "user", "content": f"note {number}"}],
        "max_tokens": 100,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {TOKEN}"}
    url = f"{router.server.url}/v1/chat/completions"
    longest_s = 0.0
    pieces: list[bytes] = []
    async with client.stream(
        "POST", url, json=body, headers=headers, timeout=30
    ) as answer:
        last_s = time.monotonic()
        async for piece in answer.aiter_raw():
            now_s = time.monotonic()
            if pieces:
                longest_s = max(longest_s, now_s - last_s)
            last_s = now_s
            pieces.append(piece)
            if len(pieces) == CUT_AFTER_PIECES:
                for agent in fleet.agents:
                    router.mesh.cut(agent)
    if not b"".join(pieces).endswith(b"data: [DONE]\n\n"):
        raise ValueError(f"stream {number} is not whole")
    return longest_s
