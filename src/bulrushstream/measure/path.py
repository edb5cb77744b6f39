"""Measure the overhead of the path through a router and an agent.

Requests are sent alternately to an engine directly and through the fleet, so
that both run under the same machine load.  Processor time of the router and
the agent is read from their process metrics, so each of them must be a
separate process; ``bench/path.sh`` starts them.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from dataclasses import asdict, dataclass
from typing import Final

import httpx

from bulrushstream.measure.table import percentile, print_table

CPU_METRIC: Final = "process_cpu_seconds_total"
MEMORY_METRIC: Final = "process_resident_memory_bytes"
REQUEST_TIMEOUT_S: Final = 60.0
MAX_CONNECTIONS: Final = 2000


@dataclass(frozen=True, slots=True)
class Target:
    """One path to the engine."""

    name: str  # Its name in tables.
    url: str  # The base URL that requests are sent to.
    token: str  # The bearer token; empty: none.
    operator_urls: tuple[str, ...] = ()  # Processes whose metrics are read.


@dataclass(frozen=True, slots=True)
class PathPlan:
    """The requests to send."""

    model: str
    rate_per_s: float  # Requests per second on each path.
    duration_s: float  # How long requests are sent.
    tokens: int  # Tokens of each answer.
    stream: bool  # Whether answers are streamed.
    seed: int  # Seed of the arrival times.


@dataclass(frozen=True, slots=True)
class Sample:
    """The measurements of one request."""

    ok: bool  # Whether the answer is complete and its status is 200.
    first_s: float  # Time to the first bytes of the body.
    total_s: float  # Time to the end.
    chunks: int  # Events of a streamed answer.


@dataclass(frozen=True, slots=True)
class PathResult:
    """The measurements of one path."""

    target: str  # The name of the path.
    stream: bool  # Whether answers were streamed.
    requests: int  # Requests with a complete answer.
    failed: int  # The other requests.
    requests_per_s: float  # Complete answers per second.
    chunks_per_s: float  # Events per second.
    first_p50_ms: float  # Time to the first bytes.
    first_p95_ms: float  # Time to the first bytes.
    total_p50_ms: float  # Time to the end.
    total_p95_ms: float  # Time to the end.
    cpu_us_per_request: tuple[float, ...]  # One per operator URL.
    cpu_us_per_chunk: tuple[float, ...]  # One per operator URL.
    cpu_share: tuple[float, ...]  # Of one processor; one per operator URL.
    memory_mb: tuple[float, ...]  # One per operator URL.


async def measure_path(
    targets: tuple[Target, ...], plan: PathPlan
) -> list[PathResult]:
    """Send the plan's requests over every path, alternating between them.

    One request per path warms up the connections and is not measured.

    :param targets: the paths
    :param plan: the requests to send
    :returns: a result for each path, in the order of the targets
    """
    rng = random.Random(plan.seed)
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
    )
    async with httpx.AsyncClient(
        timeout=REQUEST_TIMEOUT_S, limits=limits
    ) as client:
        for target in targets:
            await _send_request(client, target, plan)
        before = [await _read_usage(client, target) for target in targets]
        started_s = time.monotonic()
        tasks: list[list[asyncio.Task[Sample]]] = [[] for _ in targets]
        while time.monotonic() - started_s < plan.duration_s:
            pause_s = rng.expovariate(plan.rate_per_s * len(targets))
            await asyncio.sleep(pause_s)
            index = min(range(len(targets)), key=lambda i: len(tasks[i]))
            work = _send_request(client, targets[index], plan)
            tasks[index].append(asyncio.create_task(work))
        samples = [await asyncio.gather(*group) for group in tasks]
        elapsed_s = time.monotonic() - started_s
        after = [await _read_usage(client, target) for target in targets]
    return [
        _result(target, plan, samples[i], elapsed_s, before[i], after[i])
        for i, target in enumerate(targets)
    ]


def print_results(results: list[PathResult]) -> None:
    """Print results as a table and as JSON.

    :param results: a result for each path; each is compared with the one
        before it
    """
    columns = (
        "requests_per_s",
        "chunks_per_s",
        "failed",
        "first_p50_ms",
        "first_p95_ms",
        "total_p50_ms",
        "total_p95_ms",
        "cpu_us_per_request",
        "cpu_us_per_chunk",
        "cpu_share",
        "memory_mb",
    )
    rows = {
        f"{result.target}{' streamed' if result.stream else ''}": [
            getattr(result, column) for column in columns
        ]
        for result in results
    }
    print_table(columns, rows)
    for baseline, other in itertools.pairwise(results):
        for name in ("first_p50", "first_p95", "total_p50", "total_p95"):
            added_ms = getattr(other, f"{name}_ms") - getattr(
                baseline, f"{name}_ms"
            )
            print(f"{other.target} adds to {name}: {added_ms:.2f} ms")
    print(json.dumps([asdict(result) for result in results]))


async def _send_request(
    client: httpx.AsyncClient, target: Target, plan: PathPlan
) -> Sample:
    """Send one request and measure its answer."""
    body = {
        "model": plan.model,
        "messages": [{"role": "user", "content": "measure"}],
        "max_tokens": plan.tokens,
        "stream": plan.stream,
    }
    headers = {}
    if target.token:
        headers["Authorization"] = f"Bearer {target.token}"
    started_s = time.monotonic()
    first_s = 0.0
    chunks_read: list[bytes] = []
    try:
        async with client.stream(
            "POST",
            f"{target.url}/v1/chat/completions",
            json=body,
            headers=headers,
        ) as answer:
            async for chunk in answer.aiter_raw():
                if not chunks_read:
                    first_s = time.monotonic() - started_s
                chunks_read.append(chunk)
            ok = answer.status_code == 200
    except httpx.HTTPError:
        ok = False
    content = b"".join(chunks_read)
    if plan.stream:
        ok = ok and b"data: [DONE]" in content
    chunks = content.count(b"data: ")
    return Sample(ok, first_s, time.monotonic() - started_s, chunks)


async def _read_usage(
    client: httpx.AsyncClient, target: Target
) -> list[tuple[float, float]]:
    """Return processor time in s and memory in bytes of each process."""
    usage = []
    for url in target.operator_urls:
        text = (await client.get(f"{url}/metrics")).text
        values = dict(
            line.rsplit(" ", 1)
            for line in text.splitlines()
            if line and not line.startswith("#")
        )
        usage.append((float(values[CPU_METRIC]), float(values[MEMORY_METRIC])))
    return usage


def _result(
    target: Target,
    plan: PathPlan,
    samples: list[Sample],
    elapsed_s: float,
    before: list[tuple[float, float]],
    after: list[tuple[float, float]],
) -> PathResult:
    """Summarize the samples of one path."""
    complete = [sample for sample in samples if sample.ok]
    chunks = sum(sample.chunks for sample in complete)
    cpu_s = [b[0] - a[0] for a, b in zip(before, after, strict=True)]
    first_s = [sample.first_s for sample in complete]
    total_s = [sample.total_s for sample in complete]
    return PathResult(
        target=target.name,
        stream=plan.stream,
        requests=len(complete),
        failed=len(samples) - len(complete),
        requests_per_s=len(complete) / elapsed_s,
        chunks_per_s=chunks / elapsed_s,
        first_p50_ms=1000 * percentile(first_s, 50),
        first_p95_ms=1000 * percentile(first_s, 95),
        total_p50_ms=1000 * percentile(total_s, 50),
        total_p95_ms=1000 * percentile(total_s, 95),
        cpu_us_per_request=tuple(
            1e6 * s / max(len(complete), 1) for s in cpu_s
        ),
        cpu_us_per_chunk=tuple(1e6 * s / max(chunks, 1) for s in cpu_s),
        cpu_share=tuple(s / elapsed_s for s in cpu_s),
        memory_mb=tuple(memory / 2**20 for _, memory in after),
    )
