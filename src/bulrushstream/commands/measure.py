"""`bulrushstream measure`: the measurements in docs/MEASUREMENTS.md."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Final

import msgspec
from absl import logging as absl_logging

from bulrushstream.load.scenario import read_scenario
from bulrushstream.logs import start_logging
from bulrushstream.measure.claims import measure_claims, measure_resume
from bulrushstream.measure.path import (
    PathPlan,
    Target,
    measure_path,
    print_results,
)
from bulrushstream.measure.policies import Policy
from bulrushstream.measure.report import draw_service, print_scenario
from bulrushstream.measure.rollout import (
    LogState,
    RolloutPlan,
    RolloutResult,
    measure_rollout,
    print_rollouts,
)
from bulrushstream.measure.scenario import measure_scenario
from bulrushstream.measure.slopes import measure_slopes, print_slopes
from bulrushstream.measure.table import percentile

USAGE_EXIT: Final = 2


def path(
    direct: str,
    via: str,
    token: str,
    model: str,
    operators: str = "",
    rate_per_s: float = 100.0,
    duration_s: float = 10.0,
    tokens: int = 4,
    stream: bool = False,
    seed: int = 1,
) -> int:
    """Compare calls to an engine directly and through a router and an agent.

    :param direct: the engine's address
    :param via: the router's address for callers
    :param token: a bearer token for the router
    :param model: the model to request
    :param operators: operator addresses of the router and the agent,
        comma-separated, to read their CPU time
    :param rate_per_s: requests per second on each path
    :param duration_s: how long to send requests
    :param tokens: tokens per answer
    :param stream: whether answers are streamed
    :param seed: the seed for request times
    :returns: the exit code: 0 only if every answer was complete
    """
    operator_urls = tuple(url for url in operators.split(",") if url)
    targets = (
        Target("direct", direct, ""),
        Target("via router", via, token, operator_urls),
    )
    plan = PathPlan(model, rate_per_s, duration_s, tokens, stream, seed)
    results = asyncio.run(measure_path(targets, plan))
    print_results(results)
    return 1 if any(result.failed for result in results) else 0


def scenario(
    name: str,
    policy: str = Policy.FAIR_PULL.value,
    seeds: int = 1,
    first_seed: int = 1,
    out: str = "",
    plot: str = "",
) -> int:
    """Run a scenario's fleet in this process and measure it.

    :param name: the name of an included scenario, or a JSON file
    :param policy: fair-pull, round-robin, least-outstanding, one-fifo or
        all
    :param seeds: the number of seeds to run
    :param first_seed: the first seed; each further run adds 1
    :param out: a file for the results in JSON; empty: none
    :param plot: a PNG file for a plot of the first result; empty: none
    :returns: the exit code: 0 only if every request was answered completely or
        refused
    """
    loaded = read_scenario(name)
    if loaded.is_error():
        for finding in loaded.error:
            print(finding, file=sys.stderr)
        return USAGE_EXIT
    policies = [each.value for each in Policy]
    chosen = policies if policy == "all" else [policy]
    if not set(chosen) <= set(policies):
        print(f"policies: {', '.join(policies)} or all", file=sys.stderr)
        return USAGE_EXIT
    start_logging(absl_logging.FATAL)
    results = []
    for seed in range(first_seed, first_seed + seeds):
        for each in chosen:
            measurement = measure_scenario(loaded.ok, Policy(each), seed)
            results.append(asyncio.run(measurement))
            print_scenario(results[-1:], header=len(results) == 1)
    if out:
        Path(out).write_bytes(msgspec.json.encode(results))
    if plot:
        draw_service(results[0], plot)
    return 0 if all(result.load.good for result in results) else 1


def rollout(
    publishes: int = 100, routers: int = 3, workspaces: int = 4
) -> int:
    """Measure how long an accepted rule list takes to apply everywhere.

    :param publishes: lists published in each state of the log: healthy,
        slow, and unavailable immediately after the append
    :param routers: routers in the fleet, in addition to three agents
    :param workspaces: workspaces in the list
    :returns: the exit code
    """
    start_logging(absl_logging.ERROR)
    rollouts: dict[str, RolloutResult] = {}
    for state in LogState:
        plan = RolloutPlan(state, publishes, routers, workspaces)
        rollouts[state.value] = asyncio.run(measure_rollout(plan))
    print_rollouts(rollouts)
    return 0


def slopes() -> int:
    """Measure how cost grows with the fleet's size, one dimension at a time.

    :returns: the exit code
    """
    print_slopes(measure_slopes())
    return 0


def claims(calls: int = 40, streams: int = 20) -> int:
    """Measure the cost of idempotency keys and of broken connections.

    :param calls: calls per log latency, with and without a key
    :param streams: streamed answers to interrupt
    :returns: the exit code: 0 only if every answer was complete
    """
    start_logging(absl_logging.FATAL)
    complete = True
    for log_s in (0.002, 0.02, 0.2):
        for keyed in (False, True):
            result = asyncio.run(measure_claims(log_s, keyed, calls))
            complete = complete and result.calls == calls
            print(
                f"log {1000 * log_s:3.0f} ms, {'with' if keyed else 'no'} key:"
                f" {result.calls}/{calls} ok, p50 {result.p50_ms:.1f} ms,"
                f" p95 {result.p95_ms:.1f} ms",
                flush=True,
            )
    gaps_s = asyncio.run(measure_resume(streams))
    print(
        f"{streams} streams interrupted: longest gap p50"
        f" {1000 * percentile(gaps_s, 50):.0f} ms,"
        f" max {1000 * max(gaps_s):.0f} ms, all complete"
    )
    return 0 if complete else 1
