"""Subsets of agents, the aggregation tree, and replay of answers."""

from __future__ import annotations

from collections import Counter

import pytest

from bulrushstream.coordination.subset import (
    SubsetOptions,
    agents_to_dial,
    choose_subset,
)
from bulrushstream.coordination.tree import choose_parents
from bulrushstream.state.replay import OutcomeCache, PartBuffer
from bulrushstream.state.request import Outcome
from tests.builders import a_body, a_router, an_agent

ZONES = ("akl-a", "akl-b", "akl-c")
ROUTERS = [a_router(f"router-{n}", ZONES[n % 3]) for n in range(30)]
AGENTS = [an_agent(f"agent-{n}", ZONES[n % 3]) for n in range(200)]


class SubsetSuite:
    def test_small_fleet_is_fully_connected(self) -> None:
        options = SubsetOptions()
        few = AGENTS[:9]
        dialled = agents_to_dial(ROUTERS[0], ROUTERS, few, options)
        assert set(dialled) == set(few)

    def test_each_agent_has_its_minimum_of_routers(self) -> None:
        options = SubsetOptions(agents_per_router=10, routers_per_agent=3)
        routers = Counter[str]()
        for router in ROUTERS:
            dialled = agents_to_dial(router, ROUTERS, AGENTS, options)
            routers.update(agent.key.instance for agent in dialled)
        assert min(routers[a.key.instance] for a in AGENTS) >= 3

    def test_own_zone_is_preferred_but_not_exclusive(self) -> None:
        chosen = choose_subset(ROUTERS[0], AGENTS, 20, 0.75)
        zones = Counter(agent.availability_zone for agent in chosen)
        assert zones["akl-a"] >= 15
        assert len(zones) > 1

    def test_a_lost_agent_moves_few_connections(self) -> None:
        before = set(choose_subset(ROUTERS[0], AGENTS, 20, 0.75))
        lost = next(iter(before))
        remaining = [agent for agent in AGENTS if agent != lost]
        after = set(choose_subset(ROUTERS[0], remaining, 20, 0.75))
        assert len(before & after) == 19


class TreeSuite:
    NAMES = tuple(f"router-{n}" for n in range(340))

    def test_fan_in_and_depth_are_bounded(self) -> None:
        parents = choose_parents("s1", self.NAMES, 4)
        children = Counter(parents.values())
        assert max(children.values()) <= 4
        assert [n for n, p in parents.items() if p is None] != []
        assert children[None] == 1
        for name in self.NAMES:
            depth, parent = 0, parents[name]
            while parent is not None:
                depth, parent = depth + 1, parents[parent]
            assert depth <= 5

    def test_order_of_names_does_not_change_the_tree(self) -> None:
        backwards = tuple(reversed(self.NAMES))
        assert choose_parents("s1", self.NAMES) == choose_parents(
            "s1", backwards
        )

    def test_a_lost_instance_moves_few_others(self) -> None:
        before = choose_parents("s1", self.NAMES)
        after = choose_parents("s1", self.NAMES[1:])
        moved = [n for n in after if before[n] != after[n]]
        assert len(moved) < 40

    def test_each_service_has_its_own_tree(self) -> None:
        one = choose_parents("s1", self.NAMES)
        two = choose_parents("s2", self.NAMES)
        assert sum(one[n] == two[n] for n in self.NAMES) < 30

    def test_fan_in_of_one_is_rejected(self) -> None:
        with pytest.raises(
            ValueError, match="fan-in must be at least 2, got 1"
        ):
            choose_parents("s1", self.NAMES, 1)


class ReplaySuite:
    def test_keeps_parts_until_acknowledged(self) -> None:
        buffer = PartBuffer()
        for number in range(4):
            buffer.add(a_body(number, b"x"))
        buffer.acknowledge(2)
        retained = buffer.parts_from(3)
        assert retained is not None
        assert [part.sequence for part in retained] == [3]
        assert buffer.parts_from(1) is None
        buffer.acknowledge(9)
        assert (buffer.size_bytes, buffer.first_sequence) == (0, 4)

    def test_first_outcome_is_kept_until_it_expires(self) -> None:
        memory = OutcomeCache(keep_s=10.0, limit=100)
        memory.put(("q1", 1), Outcome.NOT_RUN, 0.0)
        memory.put(("q1", 1), Outcome.RAN, 1.0)
        assert memory.get(("q1", 1)) is Outcome.NOT_RUN
        memory.put(("q2", 1), Outcome.RAN, 11.0)
        assert memory.get(("q1", 1)) is None

    def test_outcome_cache_is_bounded(self) -> None:
        memory = OutcomeCache(keep_s=1000.0, limit=10)
        for number in range(50):
            memory.put((f"q{number}", 1), Outcome.RAN, 0.0)
        assert len(memory) == 10
        assert memory.get(("q49", 1)) is Outcome.RAN
