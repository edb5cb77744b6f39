"""Choice of the agents that a router connects to in a large fleet.

Every pair of router and agent has a score from a hash of both names, and
each side ranks the other by score (rendezvous hashing, Thaler and
Ravishankar 1998).  A router connects to the agents that it ranks best,
those of its own availability zone first, and to each agent of its zone
that ranks it among its best, so that no agent is left without routers.
All instances compute the same result without communication, and a change
of membership changes few connections.  In a small fleet every router
connects to every agent.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from bulrushstream.state.identity import InstanceInfo


@dataclass(frozen=True, slots=True)
class SubsetOptions:
    """The sizes of subsets."""

    agents_per_router: int = 64  # Agents of one service; all if fewer.
    routers_per_agent: int = 4  # The least number of routers of an agent.
    home_share: float = 0.75  # The part that the own zone may fill first.


def pair_score(first: str, second: str) -> int:
    """Return the score of two names; it depends on their order.

    :param first: The name of the side that ranks.
    :param second: The name of the side that is ranked.
    """
    return xxhash.xxh3_64_intdigest(f"{first}\0{second}".encode())


def choose_subset(
    owner: InstanceInfo,
    peers: Sequence[InstanceInfo],
    count: int,
    home_share: float,
) -> tuple[InstanceInfo, ...]:
    """Return the peers that an instance ranks best.

    :param owner: The instance that chooses.
    :param peers: The instances to choose from.
    :param count: The number to choose.
    :param home_share: The part that the owner's zone may fill first.
    :returns: The chosen peers, sorted by name; all if there are no more
        than `count`.
    """
    if len(peers) <= count:
        return tuple(sorted(peers, key=lambda peer: peer.key))
    name = owner.key.instance
    ranked = sorted(
        peers,
        key=lambda peer: pair_score(name, peer.key.instance),
        reverse=True,
    )
    zone = owner.availability_zone
    home = [p for p in ranked if p.availability_zone == zone]
    chosen = home[: round(count * home_share)]
    rest = [peer for peer in ranked if peer not in chosen]
    chosen.extend(rest[: count - len(chosen)])
    return tuple(sorted(chosen, key=lambda peer: peer.key))


def agents_to_dial(
    router: InstanceInfo,
    routers: Sequence[InstanceInfo],
    agents: Sequence[InstanceInfo],
    options: SubsetOptions,
) -> tuple[InstanceInfo, ...]:
    """Return the agents of one service that a router connects to.

    :param router: The router.
    :param routers: All live routers.
    :param agents: All live agents of the service.
    :param options: The sizes of subsets.
    :returns: The agents, sorted by name.
    """
    if len(agents) <= options.agents_per_router:
        return tuple(sorted(agents, key=lambda agent: agent.key))
    best = choose_subset(
        router, agents, options.agents_per_router, options.home_share
    )
    chosen = {agent.key: agent for agent in best}
    count = options.routers_per_agent
    by_zone: dict[str, list[InstanceInfo]] = {}
    for info in routers:
        by_zone.setdefault(info.availability_zone, []).append(info)
    for agent in agents:
        candidates = by_zone.get(agent.availability_zone, [])
        if len(candidates) < count:
            candidates = list(routers)
        if _ranks_router(agent, router, candidates, count):
            chosen[agent.key] = agent
    return tuple(chosen[key] for key in sorted(chosen))


def _ranks_router(
    agent: InstanceInfo,
    router: InstanceInfo,
    candidates: Sequence[InstanceInfo],
    count: int,
) -> bool:
    """Return whether an agent ranks a router among its best.

    It returns False as soon as enough others rank higher, so that most
    agents need a few hashes only.

    :param agent: The agent that ranks.
    :param router: The router.
    :param candidates: The routers that the agent ranks.
    :param count: How many of them count as best.
    """
    if not any(candidate.key == router.key for candidate in candidates):
        return False
    name = agent.key.instance
    own_score = pair_score(name, router.key.instance)
    better = 0
    for candidate in candidates:
        better += pair_score(name, candidate.key.instance) > own_score
        if better >= count:
            return False
    return True
