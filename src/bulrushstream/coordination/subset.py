"""Which agents a router connects to in a large fleet.

Every router and agent pair has a score from a hash of both names, and each
side ranks the other by score (rendezvous hashing, Thaler and Ravishankar
1998).  A router connects to the agents that it ranks best, those of its
own availability zone first, and to each agent of its zone that ranks it
among its own best, so that no agent is left without routers.  All instances
agree without a message, and a change of membership moves few connections.
In a small fleet everybody connects to everybody.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from bulrushstream.state.identity import InstanceInfo


@dataclass(frozen=True, slots=True)
class SubsetOptions:
    """How large subsets are."""

    agents_per_router: int = 64  # Agents of one service; all if fewer.
    routers_per_agent: int = 4  # Routers that an agent has at least.
    home_share: float = 0.75  # The part taken from the own zone first.


def pair_score(left: str, right: str) -> int:
    """Return the score of two names; it depends on their order.

    :param left: One name.
    :param right: The other name.
    """
    return xxhash.xxh3_64_intdigest(f"{left}\0{right}".encode())


def choose_subset(
    owner: InstanceInfo,
    peers: Sequence[InstanceInfo],
    count: int,
    home_share: float,
) -> tuple[InstanceInfo, ...]:
    """Return the peers that an instance ranks best.

    :param owner: Who chooses.
    :param peers: Whom to choose from.
    :param count: How many to choose.
    :param home_share: The part that the owner's zone may fill first.
    :returns: The chosen ones by name; all if there are no more.
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

    :param router: Who connects.
    :param routers: All live routers.
    :param agents: All live agents of the service.
    :param options: The sizes of subsets.
    :returns: The agents by name.
    """
    if len(agents) <= options.agents_per_router:
        return tuple(sorted(agents, key=lambda agent: agent.key))
    best = choose_subset(
        router, agents, options.agents_per_router, options.home_share
    )
    dialled = {agent.key: agent for agent in best}
    count = options.routers_per_agent
    by_zone: dict[str, list[InstanceInfo]] = {}
    for info in routers:
        by_zone.setdefault(info.availability_zone, []).append(info)
    for agent in agents:
        rivals = by_zone.get(agent.availability_zone, [])
        if len(rivals) < count:
            rivals = list(routers)
        if _wants(agent, router, rivals, count):
            dialled[agent.key] = agent
    return tuple(dialled[key] for key in sorted(dialled))


def _wants(
    agent: InstanceInfo,
    router: InstanceInfo,
    rivals: Sequence[InstanceInfo],
    count: int,
) -> bool:
    """Return whether an agent ranks a router among its best.

    :param agent: Who ranks.
    :param router: The router in question.
    :param rivals: The routers that the agent ranks.
    :param count: How many of them count as best.
    :returns: False as soon as enough others rank higher, so that most
        agents cost a few hashes only.
    """
    if not any(rival.key == router.key for rival in rivals):
        return False
    name = agent.key.instance
    mine = pair_score(name, router.key.instance)
    better = 0
    for rival in rivals:
        better += pair_score(name, rival.key.instance) > mine
        if better >= count:
            return False
    return True
