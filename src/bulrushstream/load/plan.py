"""Every request of a scenario, decided by its seed before the run.

Arrivals do not wait for answers (the load is *open-loop*): a slow fleet
gets no less to do.  Each workspace's part of a flow is a Poisson process
with a random source of its own, so that a change to one flow leaves the
others as they are.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bulrushstream.load.scenario import Flow, Scenario, service_of
from bulrushstream.state.config import ServiceKind, ServiceUnit

# The spread of answer lengths: a few are several times the mean.
LENGTH_SIGMA: Final = 0.8


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a scenario."""

    at_s: float  # When it is sent, from the start of the run.
    nonce: str  # Unique in the run.
    workspace: str  # Who sends it.
    router: int  # To which router, by its number.
    flow: Flow  # What kind of request it is.
    tokens: int  # How long its answer will be; 0: a plain call.
    prompt: int  # Which beginning its prompt has.
    hint: float  # The cost that it claims; 0: none.
    alone_s: float  # The time that its endpoint takes if it is alone.


def plan_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Decide every request of a scenario.

    :param scenario: The scenario.
    :param seed: Decides what is left to chance.
    :returns: The requests in the order of their times.
    """
    arrivals = [
        arrival
        for number, flow in enumerate(scenario.flows)
        for workspace in flow.workspaces
        for arrival in _plan_flow(scenario, seed, number, workspace)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _plan_flow(
    scenario: Scenario, seed: int, number: int, workspace: str
) -> Iterator[Arrival]:
    """Yield the requests of one workspace in one flow."""
    flow = scenario.flows[number]
    rng = random.Random(f"{seed}/{number}/{workspace}")
    weights = flow.spread or (1.0,) * len(scenario.routers)
    routers = range(len(scenario.routers))
    end_s = flow.end_s or scenario.duration_s
    at_s = flow.start_s
    count = 0
    while True:
        at_s += rng.expovariate(flow.rate_per_s)
        if at_s >= end_s:
            return
        count += 1
        tokens = _length(scenario, flow, rng)
        yield Arrival(
            at_s=at_s,
            nonce=f"{number}-{workspace}-{count}",
            workspace=workspace,
            router=rng.choices(routers, weights)[0],
            flow=flow,
            tokens=tokens,
            prompt=rng.randrange(flow.prompts),
            hint=_cost(scenario, flow, tokens) * flow.hint_factor,
            alone_s=_alone_s(scenario, flow, tokens),
        )


def _length(scenario: Scenario, flow: Flow, rng: random.Random) -> int:
    """Return the length of an answer, log-normal about its mean."""
    if service_of(scenario, flow.service).kind is ServiceKind.PLAIN:
        return 0
    center = math.log(flow.mean_tokens) - LENGTH_SIGMA**2 / 2
    length = round(rng.lognormvariate(center, LENGTH_SIGMA))
    return min(max(length, 1), flow.max_tokens)


def _cost(scenario: Scenario, flow: Flow, tokens: int) -> float:
    """Return what a request costs in its service's units."""
    if service_of(scenario, flow.service).unit is ServiceUnit.TOKENS:
        return float(tokens)
    return _alone_s(scenario, flow, tokens)


def _alone_s(scenario: Scenario, flow: Flow, tokens: int) -> float:
    """Return how long an endpoint takes for a request alone."""
    service = service_of(scenario, flow.service)
    if service.kind is ServiceKind.PLAIN:
        return service.call_s
    return service.first_token_s + tokens * service.token_s
