"""Routers relay service counters to agents and routers, without repeats."""

from __future__ import annotations

from bulrushstream.state.event import PeerDown, PeerLost
from bulrushstream.state.message import (
    Digest,
    DigestEntry,
    Floor,
    Served,
    ServedEntry,
)
from tests.builders import a_router, an_agent
from tests.routers import RouterDriver, sent

AGENT = an_agent()
OTHER = an_agent("agent-2", "akl-b")
PEER = a_router("router-2")


def a_report(
    agent: str, total: float, incarnation: int = 1, sequence: int = 1
) -> Served:
    """Return an agent's report on one workspace."""
    entry = ServedEntry(
        agent, incarnation, "school", total, 0.5, sequence=sequence
    )
    return Served("proofwriter", sequence, (entry,))


def connected_router() -> RouterDriver:
    router = RouterDriver()
    router.connect(AGENT)
    router.connect(OTHER)
    return router


class DigestSuite:
    def test_agent_receives_service_counted_by_other_agents(self) -> None:
        router = connected_router()
        router.receive(AGENT, a_report(AGENT.key.instance, 3.0))
        router.receive(OTHER, a_report(OTHER.key.instance, 4.0))
        effects = router.wait(1.5)
        for agent, total in ((AGENT, 4.0), (OTHER, 3.0)):
            digests = sent(effects, Digest, agent)
            entry = DigestEntry("school", total, 0.5, 0.0)
            assert [each.entries for each in digests] == [(entry,)]

    def test_unchanged_entries_are_not_sent_again(self) -> None:
        router = connected_router()
        router.receive(AGENT, a_report(AGENT.key.instance, 3.0))
        router.wait(6.0)
        router.receive(AGENT, a_report(AGENT.key.instance, 3.0))
        assert not sent(router.wait(6.0), Digest)

    def test_service_of_an_older_incarnation_still_counts(self) -> None:
        """A restarted agent must not lose the service counted before."""
        router = connected_router()
        router.receive(AGENT, a_report(AGENT.key.instance, 3.0))
        restarted = an_agent(incarnation=2)
        digest = sent(router.connect(restarted), Digest, restarted)[0]
        assert digest.entries[0].total == 3.0
        router.receive(restarted, a_report(restarted.key.instance, 1.0, 2))
        effects = router.wait(1.5)
        assert sent(effects, Digest, OTHER)[0].entries[0].total == 4.0

    def test_responsible_router_sends_first(self) -> None:
        """Of two routers connected to the agent, one sends after a delay."""
        first, second = RouterDriver(), RouterDriver(info=PEER)
        first.connect(PEER)
        second.connect(first.state.me)
        connected_agents = Served("", 1, (), (OTHER.key.instance,))
        first.receive(PEER, connected_agents)
        second.receive(first.state.me, connected_agents)
        early_digests = 0
        for router in (first, second):
            router.connect(OTHER)
            router.receive(OTHER, a_report("agent-9", 3.0))
            early_digests += len(sent(router.wait(2.0), Digest))
        assert early_digests == 1
        late_effects = first.wait(11.0) + second.wait(11.0)
        assert len(sent(late_effects, Digest)) == 1

    def test_router_is_responsible_until_a_peer_reports_the_agent(
        self,
    ) -> None:
        """No router has reported the agent, so both send early."""
        first, second = RouterDriver(), RouterDriver(info=PEER)
        first.connect(PEER)
        second.connect(first.state.me)
        for router in (first, second):
            router.connect(OTHER)
            router.receive(OTHER, a_report("agent-9", 3.0))
            assert len(sent(router.wait(2.0), Digest)) == 1

    def test_floor_reaches_agents_and_routers(self) -> None:
        router = connected_router()
        router.connect(PEER)
        floor = Floor("proofwriter", "school", 7.0)
        effects = router.receive(AGENT, floor)
        assert sent(effects, Floor, PEER) == [floor]
        assert not sent(router.receive(AGENT, floor), Floor)
        router.receive(AGENT, a_report(AGENT.key.instance, 1.0))
        digests = sent(router.wait(11.0), Digest, OTHER)
        assert digests[-1].entries[0].floor == 7.0

    def test_floor_is_not_relayed_to_a_router_connected_to_the_agent(
        self,
    ) -> None:
        router = connected_router()
        router.connect(PEER)
        router.receive(PEER, Served("", 1, (), (AGENT.key.instance,)))
        floor = Floor("proofwriter", "school", 7.0)
        assert not sent(router.receive(AGENT, floor), Floor)

    def test_floor_without_service_is_sent(self) -> None:
        router = connected_router()
        router.receive(AGENT, Floor("proofwriter", "club", 7.0))
        digests = sent(router.wait(2.0), Digest, OTHER)
        assert digests[0].entries == (DigestEntry("club", 0.0, 0.0, 7.0),)


class RelaySuite:
    def test_reports_of_agents_connected_to_the_peer_are_not_relayed(
        self,
    ) -> None:
        router = connected_router()
        router.connect(PEER)
        connected_agents = Served("", 1, (), (AGENT.key.instance,))
        router.receive(PEER, connected_agents)
        router.receive(AGENT, a_report(AGENT.key.instance, 3.0))
        router.receive(OTHER, a_report(OTHER.key.instance, 4.0))
        entries = [
            entry.agent
            for served in sent(router.wait(3.0), Served, PEER)
            for entry in served.entries
        ]
        assert entries == [OTHER.key.instance]

    def test_peer_that_loses_an_agent_gets_missed_reports(self) -> None:
        router = connected_router()
        router.connect(PEER)
        both = (AGENT.key.instance, OTHER.key.instance)
        router.receive(PEER, Served("", 1, (), both))
        router.receive(AGENT, a_report(AGENT.key.instance, 3.0))
        assert not any(s.entries for s in sent(router.wait(3.0), Served))
        router.receive(PEER, Served("", 2, (), (OTHER.key.instance,)))
        served = [s for s in sent(router.wait(3.0), Served) if s.entries]
        assert served[0].entries[0].total == 3.0

    def test_lost_connection_is_reported_to_peers(self) -> None:
        router = connected_router()
        router.connect(PEER)
        router.wait(0.1)
        router.on(PeerDown(AGENT.key))
        served = sent(router.wait(3.0), Served, PEER)
        assert served[0].heard == (OTHER.key.instance,)

    def test_service_of_a_lost_agent_still_counts(self) -> None:
        router = connected_router()
        router.receive(AGENT, a_report(AGENT.key.instance, 3.0))
        router.wait(2.0)
        router.on(PeerLost(AGENT.key))
        router.receive(OTHER, a_report(OTHER.key.instance, 1.0))
        new_agent = an_agent("agent-3")
        digest = sent(router.connect(new_agent), Digest, new_agent)[0]
        assert digest.entries[0].total == 4.0
