"""Which peers are members, leaving, suspected or lost."""

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

SELF = a_router("me")
AGENT = an_agent("a1")
NEWER = an_agent("a1", incarnation=2)


Steps: TypeAlias = list[tuple[Event, float]]


def _notifications(
    state: MembershipState, *steps: tuple[Event, float]
) -> list[PeerLeaving | PeerLost]:
    notified: list[PeerLeaving | PeerLost] = []
    for event, now_s in steps:
        effects = membership.handle(state, event, now_s)
        notified += [e.event for e in effects if isinstance(e, NotifyCores)]
    return notified


def _dialled_names(effects: list[Effect]) -> list[list[str]]:
    return [
        [info.key.instance for info in effect.peers]
        for effect in effects
        if isinstance(effect, SetPeers)
    ]


class MembershipSuite:
    def test_connected_agent_stays_when_no_longer_listed(self) -> None:
        state = membership.new_membership(SELF)
        effects = membership.handle(state, InstancesListed((SELF, AGENT)), 0.0)
        assert _dialled_names(effects) == [["a1"]]
        assert (
            _notifications(
                state, (PeerUp(AGENT), 1.0), (InstancesListed(()), 2.0)
            )
            == []
        )
        assert _notifications(state, (InstancesListed(()), 999.0)) == []
        assert membership.instances(state, Role.AGENT) == (AGENT,)

    def test_leaving_persists_and_is_repeated_on_reconnect(
        self,
    ) -> None:
        """A list older than the goodbye must not undo it."""
        for first in (
            MessageReceived(AGENT.key, Goodbye(1)),
            InstancesListed((replace(AGENT, leaving=True),)),
        ):
            state = membership.new_membership(SELF)
            notified = _notifications(
                state,
                (PeerUp(AGENT), 0.0),
                (first, 1.0),
                (InstancesListed((AGENT,)), 2.0),
                (PeerDown(AGENT.key), 3.0),
                (MessageReceived(AGENT.key, Goodbye(1)), 4.0),
            )
            assert notified == [PeerLeaving(AGENT.key)]
            assert _notifications(state, (PeerUp(AGENT), 5.0)) == notified
            assert membership.instances(state, Role.AGENT)[0].leaving
            assert _notifications(state, (PeerUp(NEWER), 6.0)) == []
            assert not membership.instances(state, Role.AGENT)[0].leaving

    def test_older_incarnation_is_lost_when_its_connection_ends(
        self,
    ) -> None:
        """A list that shows a restart does not end a working connection."""
        state = membership.new_membership(SELF)
        steps: Steps = [(PeerUp(AGENT), 0.0), (InstancesListed((NEWER,)), 1.0)]
        assert _notifications(state, *steps) == []
        assert _notifications(state, (PeerDown(AGENT.key), 2.0)) == [
            PeerLost(AGENT.key)
        ]
        assert _notifications(state, (InstancesListed((AGENT,)), 3.0)) == []
        assert membership.instances(state, Role.AGENT) == (NEWER,)

    def test_partitioned_agent_is_suspected_until_reconnect(self) -> None:
        state = membership.new_membership(SELF)
        steps: Steps = [(InstancesListed((AGENT,)), 0.0), (PeerUp(AGENT), 1.0)]
        steps += [
            (PeerDown(AGENT.key), 2.0),
            (InstancesListed((AGENT,)), 200.0),
        ]
        assert _notifications(state, *steps) == []
        assert membership.suspected(state) == (AGENT,)
        assert _notifications(state, (PeerUp(AGENT), 201.0)) == []
        assert membership.suspected(state) == ()

    def test_listed_agent_is_lost_once_and_still_dialled(self) -> None:
        state = membership.new_membership(SELF)
        steps: Steps = [(InstancesListed((AGENT,)), 0.0), (PeerUp(AGENT), 1.0)]
        steps += [(PeerDown(AGENT.key), 2.0), (TimerFired(), 301.9)]
        assert _notifications(state, *steps) == []
        steps = [(TimerFired(), 302.0), (InstancesListed((AGENT,)), 303.0)]
        steps += [(TimerFired(), 900.0)]
        assert _notifications(state, *steps) == [PeerLost(AGENT.key)]
        assert [info.key for info in state.dial_targets] == [AGENT.key]
        assert _notifications(state, (PeerUp(AGENT), 901.0)) == []
        assert membership.instances(state, Role.AGENT) == (AGENT,)

    def test_unlisted_agent_is_lost_sooner(self) -> None:
        state = membership.new_membership(SELF)
        steps: Steps = [(PeerUp(AGENT), 1.0), (PeerDown(AGENT.key), 2.0)]
        steps += [(InstancesListed(()), 11.0)]
        assert _notifications(state, *steps) == []
        assert _notifications(state, (TimerFired(), 12.0)) == [
            PeerLost(AGENT.key)
        ]
        assert state.members == {}

    def test_unavailable_list_does_not_unlist_agents(self) -> None:
        """Without a newer list, the longer limit applies to an agent."""
        state = membership.new_membership(SELF)
        steps: Steps = [(InstancesListed(()), 0.0), (PeerUp(AGENT), 1.0)]
        steps += [(PeerDown(AGENT.key), 100.0), (TimerFired(), 399.0)]
        assert _notifications(state, *steps) == []

    def test_agents_outside_the_subset_are_not_lost(self) -> None:
        """Agents that this router never dials must not time out."""
        agents = tuple(an_agent(f"a{i}") for i in range(20))
        few = SubsetOptions(agents_per_router=4, routers_per_agent=1)
        options = MembershipOptions(subset=few)
        state = membership.new_membership(SELF, options)
        routers = tuple(a_router(f"r{i}") for i in range(9))
        listed = InstancesListed((*agents, *routers, SELF))
        dialled = _dialled_names(membership.handle(state, listed, 0.0))
        named = [name for name in dialled[0] if name.startswith("a")]
        assert 4 <= len(named) < 20
        for at_s in range(1, 1000, 5):
            assert _notifications(state, (listed, float(at_s))) == []

    def test_flapping_peer_is_not_dialled_for_a_while(self) -> None:
        agents = tuple(an_agent(f"a{i}") for i in range(9))
        state = membership.new_membership(SELF)
        membership.handle(state, InstancesListed(agents), 0.0)
        for at_s in range(5):
            membership.handle(state, PeerUp(agents[0]), float(at_s))
            effects = membership.handle(
                state, PeerDown(agents[0].key), at_s + 0.5
            )
        assert "a0" not in _dialled_names(effects)[0]
        effects = membership.handle(state, TimerFired(), 100.0)
        assert "a0" in _dialled_names(effects)[0]

    def test_no_peer_is_damped_when_all_flap(self) -> None:
        """Damping every peer would leave the instance without connections."""
        agents = tuple(an_agent(f"a{i}") for i in range(9))
        state = membership.new_membership(SELF)
        membership.handle(state, InstancesListed(agents), 0.0)
        for at_s in range(8):
            for agent in agents:
                membership.handle(state, PeerUp(agent), float(at_s))
            for agent in agents:
                membership.handle(state, PeerDown(agent.key), at_s + 0.5)
        assert len(state.dial_targets) == 9

    def test_memory_is_bounded_over_many_restarts(self) -> None:
        options = MembershipOptions(max_remembered=200)
        state = membership.new_membership(SELF, options)
        for restart in range(1800):
            name = f"a{restart}" if restart % 2 else "a"
            info = an_agent(name, incarnation=restart)
            now_s = restart * 480.0
            _notifications(
                state,
                (InstancesListed((info,)), now_s),
                (PeerUp(info), now_s + 1.0),
            )
            _notifications(
                state,
                (MessageReceived(info.key, Goodbye(restart)), now_s + 2.0),
            )
            _notifications(state, (PeerDown(info.key), now_s + 3.0))
        assert len(state.members) <= 3
        assert len(state.highest_incarnations) <= 203
        assert len(state.departed) <= 200
        assert len(state.flaps) <= 3


class MembershipMachine(RuleBasedStateMachine):
    """Connections, listings and goodbyes of three agents in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.state = membership.new_membership(SELF)
        self.now_s = 0.0
        self.connected_keys: set[InstanceKey] = set()
        self.lost_keys: set[InstanceKey] = set()
        self.leaving_keys: set[InstanceKey] = set()
        self.listed_at_s = -1e9

    def feed(self, event: Event) -> None:
        for notified in _notifications(self.state, (event, self.now_s)):
            if isinstance(notified, PeerLost):
                assert notified.peer not in self.connected_keys
                assert notified.peer not in self.lost_keys
                self.lost_keys.add(notified.peer)
            else:
                self.leaving_keys.add(notified.peer)

    @rule(name=st.sampled_from("abc"), incarnation=st.integers(1, 3))
    def connect(self, name: str, incarnation: int) -> None:
        info = an_agent(name, incarnation=incarnation)
        self.connected_keys.add(info.key)
        self.lost_keys.discard(info.key)
        effects = membership.handle(self.state, PeerUp(info), self.now_s)
        notified = NotifyCores(PeerLeaving(info.key)) in effects
        assert notified is (info.key in self.leaving_keys)

    @rule(name=st.sampled_from("abc"), incarnation=st.integers(1, 3))
    def disconnect(self, name: str, incarnation: int) -> None:
        key = InstanceKey(name, incarnation)
        self.connected_keys.discard(key)
        self.feed(PeerDown(key))

    @rule(name=st.sampled_from("abc"), incarnation=st.integers(1, 3))
    def receive_goodbye(self, name: str, incarnation: int) -> None:
        self.feed(MessageReceived(InstanceKey(name, incarnation), Goodbye(1)))

    @rule(
        names=st.sets(st.sampled_from("abc")),
        incarnation=st.integers(1, 3),
        leaving=st.booleans(),
    )
    def list_instances(
        self, names: set[str], incarnation: int, leaving: bool
    ) -> None:
        infos: list[InstanceInfo] = []
        for name in sorted(names):
            info = an_agent(name, incarnation=incarnation)
            infos.append(replace(info, leaving=leaving))
            if info.key not in self.state.members:
                self.lost_keys.discard(info.key)
        self.feed(InstancesListed(tuple(infos)))

    @rule(by_s=st.sampled_from([0.5, 5.0, 30.0, 400.0]))
    def pass_time(self, by_s: float) -> None:
        self.now_s += by_s
        self.feed(TimerFired())

    @invariant()
    def members_match_connections(self) -> None:
        present = {k for k, m in self.state.members.items() if m.connected}
        assert present == self.connected_keys

    @invariant()
    def leaving_members_stay_leaving(self) -> None:
        for key in self.leaving_keys:
            member = self.state.members.get(key)
            assert member is None or member.info.leaving


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=40, stateful_step_count=25
)
