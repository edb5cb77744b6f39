"""`bulrushstream measure`: what docs/MEASUREMENTS.md cites."""

from __future__ import annotations

import asyncio

from bulrushstream.measure.path import (
    PathPlan,
    Target,
    measure_path,
    print_results,
)


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
    """Compare a model engine directly and through a router and an agent.

    :param direct: the engine's address
    :param via: the router's address for callers
    :param token: a bearer token for the router
    :param model: the model to ask for
    :param operators: operators' addresses of the router and the agent,
        with a comma between, whose processor time is read
    :param rate_per_s: requests per second on each way
    :param duration_s: how long requests are sent
    :param tokens: tokens of each answer
    :param stream: whether answers are streamed
    :param seed: decides when requests are sent
    :returns: the exit code: 0 only if every answer came whole
    """
    watched = tuple(url for url in operators.split(",") if url)
    targets = (
        Target("direct", direct, ""),
        Target("via router", via, token, watched),
    )
    plan = PathPlan(model, rate_per_s, duration_s, tokens, stream, seed)
    results = asyncio.run(measure_path(targets, plan))
    print_results(results)
    return 1 if any(result.failed for result in results) else 0
