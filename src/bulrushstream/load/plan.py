"""Plan all requests of a scenario from a seed before the run.

The load is *open-loop*: requests are sent without waiting for earlier
answers, so a slow fleet receives no fewer requests.  Each workspace's part
of a flow is a Poisson process with a separate random generator, so that a
change to one flow does not change the others.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bulrushstream.load.scenario import Flow, Scenario, find_service
from bulrushstream.state.config import ServiceKind, ServiceUnit

# Sigma of the log-normal distribution of answer lengths.  With this value, a
# few answers are several times as long as the mean.
LENGTH_SIGMA: Final = 0.8


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a scenario."""

    at_s: float  # When it is sent, since the start of the run.
    nonce: str  # Unique in the run.
    workspace: str
    router: int  # The index of the router that it is sent to.
    flow: Flow
    tokens: int  # The length of its answer; 0: a plain service.
    prompt: int  # The number of its prompt prefix.
    hint: float  # The cost hint in service units; 0: none.
    unloaded_s: float  # Run time at an otherwise idle endpoint.


def plan_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Plan all requests of a scenario.

    :param scenario: The scenario.
    :param seed: The seed of all random choices.
    :returns: The requests, sorted by time.
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
    """Yield the requests of one workspace in one flow, in time order."""
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
        tokens = _answer_tokens(scenario, flow, rng)
        yield Arrival(
            at_s=at_s,
            nonce=f"{number}-{workspace}-{count}",
            workspace=workspace,
            router=rng.choices(routers, weights)[0],
            flow=flow,
            tokens=tokens,
            prompt=rng.randrange(flow.prompts),
            hint=_cost(scenario, flow, tokens) * flow.hint_factor,
            unloaded_s=_unloaded_s(scenario, flow, tokens),
        )


def _answer_tokens(scenario: Scenario, flow: Flow, rng: random.Random) -> int:
    """Draw the length of an answer from a log-normal distribution."""
    if find_service(scenario, flow.service).kind is ServiceKind.PLAIN:
        return 0
    mu = math.log(flow.mean_tokens) - LENGTH_SIGMA**2 / 2
    length = round(rng.lognormvariate(mu, LENGTH_SIGMA))
    return min(max(length, 1), flow.max_tokens)


def _cost(scenario: Scenario, flow: Flow, tokens: int) -> float:
    """Return the cost of a request in the units of its service."""
    if find_service(scenario, flow.service).unit is ServiceUnit.TOKENS:
        return float(tokens)
    return _unloaded_s(scenario, flow, tokens)


def _unloaded_s(scenario: Scenario, flow: Flow, tokens: int) -> float:
    """Return the run time of a request at an otherwise idle endpoint."""
    service = find_service(scenario, flow.service)
    if service.kind is ServiceKind.PLAIN:
        return service.call_s
    return service.first_token_s + tokens * service.token_s
