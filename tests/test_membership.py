"""Who is there, who leaves and who is given up."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeAlias

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bulrushstream.coordination import membership
from bulrushstream.coordination.membership import (
    MembershipOptions,
    MembershipState,
)
from bulrushstream.coordination.subset import SubsetOptions
from bulrushstream.state.effect import Effect, NotifyCores, SetPeers
from bulrushstream.state.event import (
    Event,
    InstancesListed,
    MessageReceived,
    PeerDown,
    PeerLeaving,
    PeerLost,
    PeerUp,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import Goodbye
from tests.builders import a_router, an_agent

ME = a_router("me")
AGENT = an_agent("a1")
NEWER = an_agent("a1", incarnation=2)


Steps: TypeAlias = list[tuple[Event, float]]


def _told(
    state: MembershipState, *steps: tuple[Event, float]
) -> list[PeerLeaving | PeerLost]:
    told: list[PeerLeaving | PeerLost] = []
    for event, now_s in steps:
        effects = membership.handle(state, event, now_s)
        told += [e.event for e in effects if isinstance(e, NotifyCores)]
    return told


def _dials(effects: list[Effect]) -> list[list[str]]:
    return [
        [info.key.instance for info in effect.peers]
        for effect in effects
        if isinstance(effect, SetPeers)
    ]


class MembershipSuite:
    def test_a_listed_agent_is_dialled_and_a_connected_one_stays(self) -> None:
        state = membership.new_membership(ME)
        effects = membership.handle(state, InstancesListed((ME, AGENT)), 0.0)
        assert _dials(effects) == [["a1"]]
        assert (
            _told(state, (PeerUp(AGENT), 1.0), (InstancesListed(()), 2.0))
            == []
        )
        assert _told(state, (InstancesListed(()), 999.0)) == []
        assert membership.instances(state, Role.AGENT) == (AGENT,)

    def test_leaving_is_sticky_and_told_again_on_a_new_connection(
        self,
    ) -> None:
        for first in (
            MessageReceived(AGENT.key, Goodbye(1)),
            InstancesListed((replace(AGENT, leaving=True),)),
        ):
            state = membership.new_membership(ME)
            told = _told(
                state,
                (PeerUp(AGENT), 0.0),
                (first, 1.0),
                (InstancesListed((AGENT,)), 2.0),
                (PeerDown(AGENT.key), 3.0),
                (MessageReceived(AGENT.key, Goodbye(1)), 4.0),
            )
            assert told == [PeerLeaving(AGENT.key)]
            assert _told(state, (PeerUp(AGENT), 5.0)) == told
            assert membership.instances(state, Role.AGENT)[0].leaving
            assert _told(state, (PeerUp(NEWER), 6.0)) == []
            assert not membership.instances(state, Role.AGENT)[0].leaving

    def test_a_newer_start_ends_the_older_when_its_connection_ends(
        self,
    ) -> None:
        state = membership.new_membership(ME)
        steps: Steps = [(PeerUp(AGENT), 0.0), (InstancesListed((NEWER,)), 1.0)]
        assert _told(state, *steps) == []
        assert _told(state, (PeerDown(AGENT.key), 2.0)) == [
            PeerLost(AGENT.key)
        ]
        assert _told(state, (InstancesListed((AGENT,)), 3.0)) == []
        assert membership.instances(state, Role.AGENT) == (NEWER,)

    def test_a_partitioned_agent_is_suspected_and_returns(self) -> None:
        state = membership.new_membership(ME)
        steps: Steps = [(InstancesListed((AGENT,)), 0.0), (PeerUp(AGENT), 1.0)]
        steps += [
            (PeerDown(AGENT.key), 2.0),
            (InstancesListed((AGENT,)), 200.0),
        ]
        assert _told(state, *steps) == []
        assert membership.suspected(state) == (AGENT,)
        assert _told(state, (PeerUp(AGENT), 201.0)) == []
        assert membership.suspected(state) == ()

    def test_it_is_given_up_once_after_the_limit_and_dialled_on(self) -> None:
        state = membership.new_membership(ME)
        steps: Steps = [(InstancesListed((AGENT,)), 0.0), (PeerUp(AGENT), 1.0)]
        steps += [(PeerDown(AGENT.key), 2.0), (TimerFired(), 301.9)]
        assert _told(state, *steps) == []
        steps = [(TimerFired(), 302.0), (InstancesListed((AGENT,)), 303.0)]
        steps += [(TimerFired(), 900.0)]
        assert _told(state, *steps) == [PeerLost(AGENT.key)]
        assert [info.key for info in state.dial_targets] == [AGENT.key]
        assert _told(state, (PeerUp(AGENT), 901.0)) == []
        assert membership.instances(state, Role.AGENT) == (AGENT,)

    def test_an_unlisted_one_is_given_up_sooner(self) -> None:
        state = membership.new_membership(ME)
        steps: Steps = [(PeerUp(AGENT), 1.0), (PeerDown(AGENT.key), 2.0)]
        steps += [(InstancesListed(()), 11.0)]
        assert _told(state, *steps) == []
        assert _told(state, (TimerFired(), 12.0)) == [PeerLost(AGENT.key)]
        assert state.members == {}

    def test_a_list_that_is_down_says_nothing(self) -> None:
        state = membership.new_membership(ME)
        steps: Steps = [(InstancesListed(()), 0.0), (PeerUp(AGENT), 1.0)]
        steps += [(PeerDown(AGENT.key), 100.0), (TimerFired(), 399.0)]
        assert _told(state, *steps) == []

    def test_agents_that_nobody_dials_are_not_given_up(self) -> None:
        agents = tuple(an_agent(f"a{i}") for i in range(20))
        few = SubsetOptions(agents_per_router=4, routers_per_agent=1)
        options = MembershipOptions(subset=few)
        state = membership.new_membership(ME, options)
        routers = tuple(a_router(f"r{i}") for i in range(9))
        listed = InstancesListed((*agents, *routers, ME))
        dials = _dials(membership.handle(state, listed, 0.0))
        named = [name for name in dials[0] if name.startswith("a")]
        assert 4 <= len(named) < 20
        for at_s in range(1, 1000, 5):
            assert _told(state, (listed, float(at_s))) == []

    def test_a_flapping_peer_is_damped_and_dialled_again(self) -> None:
        agents = tuple(an_agent(f"a{i}") for i in range(9))
        state = membership.new_membership(ME)
        membership.handle(state, InstancesListed(agents), 0.0)
        for at_s in range(5):
            membership.handle(state, PeerUp(agents[0]), float(at_s))
            effects = membership.handle(
                state, PeerDown(agents[0].key), at_s + 0.5
            )
        assert "a0" not in _dials(effects)[0]
        effects = membership.handle(state, TimerFired(), 100.0)
        assert "a0" in _dials(effects)[0]

    def test_when_all_flap_none_is_damped(self) -> None:
        agents = tuple(an_agent(f"a{i}") for i in range(9))
        state = membership.new_membership(ME)
        membership.handle(state, InstancesListed(agents), 0.0)
        for at_s in range(8):
            for agent in agents:
                membership.handle(state, PeerUp(agent), float(at_s))
            for agent in agents:
                membership.handle(state, PeerDown(agent.key), at_s + 0.5)
        assert len(state.dial_targets) == 9

    def test_memory_is_bounded_over_many_restarts(self) -> None:
        options = MembershipOptions(max_remembered=200)
        state = membership.new_membership(ME, options)
        for day_part in range(1800):
            name = f"a{day_part}" if day_part % 2 else "a"
            info = an_agent(name, incarnation=day_part)
            now_s = day_part * 480.0
            _told(
                state,
                (InstancesListed((info,)), now_s),
                (PeerUp(info), now_s + 1.0),
            )
            _told(
                state,
                (MessageReceived(info.key, Goodbye(day_part)), now_s + 2.0),
            )
            _told(state, (PeerDown(info.key), now_s + 3.0))
        assert len(state.members) <= 3
        assert len(state.highest_incarnations) <= 203
        assert len(state.departed) <= 200
        assert len(state.flaps) <= 3


class MembershipMachine(RuleBasedStateMachine):
    """Signs of three instances in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.state = membership.new_membership(ME)
        self.now_s = 0.0
        self.up: set[InstanceKey] = set()
        self.lost: set[InstanceKey] = set()
        self.leaving: set[InstanceKey] = set()
        self.listed_at_s = -1e9

    def feed(self, event: Event) -> None:
        for told in _told(self.state, (event, self.now_s)):
            if isinstance(told, PeerLost):
                assert told.peer not in self.up
                assert told.peer not in self.lost
                self.lost.add(told.peer)
            else:
                self.leaving.add(told.peer)

    @rule(name=st.sampled_from("abc"), incarnation=st.integers(1, 3))
    def come_up(self, name: str, incarnation: int) -> None:
        info = an_agent(name, incarnation=incarnation)
        self.up.add(info.key)
        self.lost.discard(info.key)
        effects = membership.handle(self.state, PeerUp(info), self.now_s)
        told = NotifyCores(PeerLeaving(info.key)) in effects
        assert told is (info.key in self.leaving)

    @rule(name=st.sampled_from("abc"), incarnation=st.integers(1, 3))
    def go_down(self, name: str, incarnation: int) -> None:
        key = InstanceKey(name, incarnation)
        self.up.discard(key)
        self.feed(PeerDown(key))

    @rule(name=st.sampled_from("abc"), incarnation=st.integers(1, 3))
    def say_goodbye(self, name: str, incarnation: int) -> None:
        self.feed(MessageReceived(InstanceKey(name, incarnation), Goodbye(1)))

    @rule(
        names=st.sets(st.sampled_from("abc")),
        incarnation=st.integers(1, 3),
        leaving=st.booleans(),
    )
    def list_some(
        self, names: set[str], incarnation: int, leaving: bool
    ) -> None:
        infos: list[InstanceInfo] = []
        for name in sorted(names):
            info = an_agent(name, incarnation=incarnation)
            infos.append(replace(info, leaving=leaving))
            if info.key not in self.state.members:
                self.lost.discard(info.key)
        self.feed(InstancesListed(tuple(infos)))

    @rule(by_s=st.sampled_from([0.5, 5.0, 30.0, 400.0]))
    def pass_time(self, by_s: float) -> None:
        self.now_s += by_s
        self.feed(TimerFired())

    @invariant()
    def connected_ones_are_members(self) -> None:
        present = {k for k, m in self.state.members.items() if m.connected}
        assert present == self.up

    @invariant()
    def leaving_is_never_forgotten(self) -> None:
        for key in self.leaving:
            member = self.state.members.get(key)
            assert member is None or member.info.leaving


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=40, stateful_step_count=25
)
