"""What the way through a router and an agent costs.

The same requests go to an engine directly and through the fleet, taking
turns, so that both meet the same state of the machine.  The router's and
the agent's processor time come from their own metrics, so all parts run as
processes of their own; ``bench/path.sh`` starts them.
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
    """One way to the engine."""

    name: str  # What tables call it.
    url: str  # Where requests go.
    token: str  # The bearer token; empty: none.
    operators: tuple[str, ...] = ()  # Whose processor time counts.


@dataclass(frozen=True, slots=True)
class PathPlan:
    """What is sent."""

    model: str  # The model that is asked.
    rate_per_s: float  # Requests per second on each way.
    duration_s: float  # How long requests are sent.
    tokens: int  # Tokens of each answer.
    stream: bool  # Whether answers are streamed.
    seed: int  # Decides when requests are sent.


@dataclass(frozen=True, slots=True)
class Sample:
    """One answer."""

    ok: bool  # Whether it came whole.
    first_s: float  # Time to the first piece of the body.
    total_s: float  # Time to the end.
    chunks: int  # Events of a streamed answer.


@dataclass(frozen=True, slots=True)
class PathResult:
    """What one way cost."""

    target: str  # Which way.
    stream: bool  # Whether answers were streamed.
    requests: int  # How many answers came whole.
    failed: int  # How many did not.
    requests_per_s: float  # Whole answers per second.
    chunks_per_s: float  # Events per second.
    first_p50_ms: float  # Time to the first piece.
    first_p95_ms: float  # Time to the first piece.
    total_p50_ms: float  # Time to the end.
    total_p95_ms: float  # Time to the end.
    cpu_us_per_request: tuple[float, ...]  # By operators' port.
    cpu_us_per_chunk: tuple[float, ...]  # By operators' port.
    cpu_share: tuple[float, ...]  # Of one core, by operators' port.
    memory_mb: tuple[float, ...]  # By operators' port.


async def measure_path(
    targets: tuple[Target, ...], plan: PathPlan
) -> list[PathResult]:
    """Send the plan's requests along every way, taking turns.

    :param targets: the ways
    :param plan: what is sent
    :returns: a result for each way, in their order
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
            await _send(client, target, plan)
        before = [await _read_cpu(client, target) for target in targets]
        begun_s = time.monotonic()
        tasks: list[list[asyncio.Task[Sample]]] = [[] for _ in targets]
        while time.monotonic() - begun_s < plan.duration_s:
            pause_s = rng.expovariate(plan.rate_per_s * len(targets))
            await asyncio.sleep(pause_s)
            turn = min(range(len(targets)), key=lambda i: len(tasks[i]))
            work = _send(client, targets[turn], plan)
            tasks[turn].append(asyncio.create_task(work))
        samples = [await asyncio.gather(*group) for group in tasks]
        took_s = time.monotonic() - begun_s
        after = [await _read_cpu(client, target) for target in targets]
    return [
        _result(target, plan, samples[i], took_s, before[i], after[i])
        for i, target in enumerate(targets)
    ]


def print_results(results: list[PathResult]) -> None:
    """Print results as a table and as JSON.

    :param results: a result for each way; the first is the baseline
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


async def _send(
    client: httpx.AsyncClient, target: Target, plan: PathPlan
) -> Sample:
    """Send one request and time its answer."""
    body = {
        "model": plan.model,
        "messages": [{"role": "user", "content": "measure"}],
        "max_tokens": plan.tokens,
        "stream": plan.stream,
    }
    headers = {}
    if target.token:
        headers["Authorization"] = f"Bearer {target.token}"
    begun_s = time.monotonic()
    first_s = 0.0
    pieces: list[bytes] = []
    try:
        async with client.stream(
            "POST",
            f"{target.url}/v1/chat/completions",
            json=body,
            headers=headers,
        ) as answer:
            async for piece in answer.aiter_raw():
                if not pieces:
                    first_s = time.monotonic() - begun_s
                pieces.append(piece)
            ok = answer.status_code == 200
    except httpx.HTTPError:
        ok = False
    whole = b"".join(pieces)
    if plan.stream:
        ok = ok and b"data: [DONE]" in whole
    chunks = whole.count(b"data: ")
    return Sample(ok, first_s, time.monotonic() - begun_s, chunks)


async def _read_cpu(
    client: httpx.AsyncClient, target: Target
) -> list[tuple[float, float]]:
    """Return processor time in s and memory in bytes of each process."""
    found = []
    for url in target.operators:
        text = (await client.get(f"{url}/metrics")).text
        values = dict(
            line.rsplit(" ", 1)
            for line in text.splitlines()
            if line and not line.startswith("#")
        )
        found.append((float(values[CPU_METRIC]), float(values[MEMORY_METRIC])))
    return found


def _result(
    target: Target,
    plan: PathPlan,
    samples: list[Sample],
    took_s: float,
    before: list[tuple[float, float]],
    after: list[tuple[float, float]],
) -> PathResult:
    """Return what the samples of one way come to."""
    good = [sample for sample in samples if sample.ok]
    chunks = sum(sample.chunks for sample in good)
    cpu_s = [b[0] - a[0] for a, b in zip(before, after, strict=True)]
    first_s = [sample.first_s for sample in good]
    total_s = [sample.total_s for sample in good]
    return PathResult(
        target=target.name,
        stream=plan.stream,
        requests=len(good),
        failed=len(samples) - len(good),
        requests_per_s=len(good) / took_s,
        chunks_per_s=chunks / took_s,
        first_p50_ms=1000 * percentile(first_s, 50),
        first_p95_ms=1000 * percentile(first_s, 95),
        total_p50_ms=1000 * percentile(total_s, 50),
        total_p95_ms=1000 * percentile(total_s, 95),
        cpu_us_per_request=tuple(1e6 * s / max(len(good), 1) for s in cpu_s),
        cpu_us_per_chunk=tuple(1e6 * s / max(chunks, 1) for s in cpu_s),
        cpu_share=tuple(s / took_s for s in cpu_s),
        memory_mb=tuple(memory / 2**20 for _, memory in after),
    )
