"""The router core, from a request's arrival to the end of its answer."""

from __future__ import annotations

from bulrushstream.coordination.options import RouterOptions
from bulrushstream.messages import (
    DRAINING,
    ENDPOINT_LOST,
    EXPIRED,
    QUEUE_FULL,
    SHED,
    TIMED_OUT,
)
from bulrushstream.state.config import (
    Condition,
    FleetConfig,
    Rule,
    Treatment,
    VersionedConfig,
)
from bulrushstream.state.event import (
    CallerDisconnected,
    ConfigChanged,
    DrainStarted,
    PeerDown,
    PeerLost,
    PeerUp,
)
from bulrushstream.state.message import (
    Ack,
    Backlog,
    Cached,
    Cancel,
    Dispatch,
    Gone,
    Goodbye,
    NoWork,
    PartKind,
    Refuse,
    RefuseReason,
    Resume,
)
from bulrushstream.state.request import Outcome
from tests.builders import a_body, a_head, a_request, an_agent, an_end
from tests.routers import RouterDriver, dispatch_peers, sent

AGENT = an_agent()
OTHER = an_agent("agent-2", "akl-b")


def router_with_running_request(idempotent: bool = False) -> RouterDriver:
    """Return a router with one request in flight at an agent."""
    router = RouterDriver()
    router.connect(AGENT)
    router.arrive(a_request(idempotent=idempotent, retry_limit=2))
    assert len(sent(router.pull(AGENT), Dispatch)) == 1
    return router


class RequestSuite:
    def test_a_pulled_request_is_answered(self) -> None:
        router = router_with_running_request()
        router.receive(AGENT, a_head())
        router.receive(AGENT, a_body(1, b"hello"))
        effects = router.receive(AGENT, an_end(2))
        kinds = [part.kind for part in router.replies()]
        assert kinds == [PartKind.HEAD, PartKind.BODY, PartKind.END]
        assert sent(effects, Ack) == [Ack("q1", 1, 3)]
        assert router.state.idle

    def test_reordered_and_duplicate_parts_reach_the_caller_in_order(
        self,
    ) -> None:
        router = router_with_running_request()
        parts = [a_head(), a_body(1, b"a"), a_body(2, b"b"), an_end(3)]
        for index in (2, 1, 1, 3, 0, 2, 3):
            router.receive(AGENT, parts[index])
        assert [part.sequence for part in router.replies()] == [0, 1, 2, 3]

    def test_backlog_is_announced_at_once_when_a_queue_fills(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        first = sent(router.arrive(a_request("q1")), Backlog)
        assert first[0].entries[0].interactive == 1
        assert not sent(router.arrive(a_request("q2")), Backlog)
        assert not sent(router.wait(0.6), Backlog)
        for index in range(3, 10):
            router.arrive(a_request(f"q{index}"))
        later = sent(router.wait(0.6), Backlog)
        assert later[0].entries[0].interactive == 9

    def test_backlog_goes_to_a_few_agents_and_later_to_all(self) -> None:
        router = RouterDriver(RouterOptions(backlog_fanout=2))
        agents = [an_agent(f"agent-{n}") for n in range(5)]
        for agent in agents:
            router.connect(agent)
        assert len(sent(router.arrive(a_request("q1")), Backlog)) == 2
        assert not sent(router.wait(0.1), Backlog)
        lasting = router.wait(0.6)
        assert all(sent(lasting, Backlog, agent) for agent in agents)
        emptied = router.pull(agents[0])
        assert all(sent(emptied, Backlog, agent) for agent in agents)

    def test_backlog_goes_first_to_agents_that_run_least(self) -> None:
        """The agent that runs least is most likely free.

        Its announcement of free slots may have been lost.
        """
        router = RouterDriver(RouterOptions(backlog_fanout=1))
        for agent in (AGENT, OTHER):
            router.connect(agent)
        router.announce_idle(AGENT)
        router.arrive(a_request("q1"))
        announced = sent(router.arrive(a_request("q2")), Backlog, OTHER)
        assert len(announced) == 1

    def test_only_a_busy_refusal_clears_announced_slots(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        router.announce_idle(AGENT, 3)
        router.arrive(a_request("q1"))
        router.receive(AGENT, Refuse("q1", 1, RefuseReason.LOADING))
        router.wait(1.1)
        assert dispatch_peers(router.arrive(a_request("q2")))
        router.receive(AGENT, Refuse("q2", 1, RefuseReason.BUSY))
        assert not dispatch_peers(router.arrive(a_request("q3")))

    def test_an_empty_queue_is_announced_only_to_agents_that_know_it(
        self,
    ) -> None:
        router = RouterDriver(RouterOptions(backlog_fanout=1))
        agents = [an_agent(f"agent-{n}") for n in range(5)]
        for agent in agents:
            router.connect(agent)
        router.arrive(a_request("q1"))
        router.wait(0.1)
        puller = agents[2]
        router.announce_idle(puller)
        effects = router.pull(puller)
        zeros = [b.entries[0].interactive for b in sent(effects, Backlog)]
        assert 1 <= len(zeros) <= 2
        assert set(zeros) == {0}
        assert sent(effects, Backlog, puller)

    def test_backlog_goes_at_once_to_an_agent_with_free_slots(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        router.arrive(a_request("q1"))
        announced = sent(router.announce_idle(AGENT), Backlog)[0]
        assert announced.entries[0].interactive == 1

    def test_minor_backlog_changes_are_announced_rarely(self) -> None:
        """A steady queue is announced again when its head's age is off."""
        router = RouterDriver()
        router.connect(AGENT)
        for index in range(4):
            router.arrive(a_request(f"q{index}"))
        router.wait(0.1)
        announced = []
        for index in range(4, 44):
            announced += sent(router.wait(0.1), Backlog)
            router.arrive(a_request(f"q{index}", arrived_s=router.now_s))
            router.pull(AGENT)
        assert 1 <= len(announced) <= 2

    def test_a_new_request_goes_to_an_idle_agent_in_its_zone(self) -> None:
        router = RouterDriver()
        for agent in (OTHER, AGENT):
            router.connect(agent)
            router.announce_idle(agent)
        peers = dispatch_peers(router.arrive(a_request("q1")))
        assert peers == [AGENT.key]
        assert dispatch_peers(router.arrive(a_request("q2"))) == [OTHER.key]
        assert not dispatch_peers(router.arrive(a_request("q3")))

    def test_a_pull_prefers_a_prefix_that_the_agent_has_cached(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        router.receive(AGENT, Cached(False, (5, 6), ()))
        for number in (4, 5, 6):
            router.arrive(a_request(f"q{number}", prefix_digest=number))
        router.receive(AGENT, Cached(False, (), (5,)))
        dispatches = [sent(router.pull(AGENT), Dispatch)[0] for _ in range(3)]
        names = [dispatch.request_id for dispatch in dispatches]
        assert names == ["q6", "q4", "q5"]

    def test_a_pull_of_an_empty_workspace_gets_no_work(self) -> None:
        router = RouterDriver()
        router.connect(AGENT)
        assert sent(router.pull(AGENT, pull_id=9), NoWork) == [NoWork(9)]


class RefusalSuite:
    def test_a_refused_dispatch_goes_to_another_agent(self) -> None:
        router = router_with_running_request()
        router.connect(OTHER)
        router.receive(AGENT, Refuse("q1", 1, RefuseReason.BUSY))
        dispatch = sent(router.pull(OTHER), Dispatch)[0]
        assert dispatch.attempt == 2
        assert router.state.tracked["q1"].retries == 0

    def test_a_late_refusal_of_an_old_attempt_changes_nothing(self) -> None:
        router = router_with_running_request()
        router.receive(AGENT, Refuse("q1", 1, RefuseReason.BUSY))
        router.pull(AGENT)
        router.receive(AGENT, Refuse("q1", 1, RefuseReason.REVOKED))
        assert not sent(router.pull(AGENT), Dispatch)

    def test_a_full_queue_refuses_with_not_run(self) -> None:
        router = RouterDriver()
        rule = Rule("all", Condition(), Treatment(queue_limit=1))
        config = VersionedConfig(1, FleetConfig(rules=(rule,)))
        router.on(ConfigChanged(config))
        router.arrive(a_request("q1"))
        router.arrive(a_request("q2"))
        failure = router.failures("q2")[0]
        assert failure.code == QUEUE_FULL.code
        assert failure.outcome is Outcome.NOT_RUN

    def test_the_memory_limit_sheds_from_the_longest_queue(self) -> None:
        router = RouterDriver(RouterOptions(max_tracked_bytes=12_000))
        for index in range(9):
            router.arrive(a_request(f"flood-{index}", "council"))
        router.arrive(a_request("q1", "school", body=bytes(5_000)))
        assert not router.failures("q1")
        shed = router.failures("flood-8")[0]
        assert (shed.code, shed.outcome) == (SHED.code, Outcome.NOT_RUN)
        assert not router.failures("flood-0")

    def test_a_draining_router_finishes_its_requests(self) -> None:
        router = router_with_running_request()
        router.arrive(a_request("q2"))
        assert not sent(router.on(DrainStarted()), Goodbye)
        router.arrive(a_request("q3"))
        assert router.failures("q3")[0].code == DRAINING.code
        assert sent(router.pull(AGENT), Goodbye)
        for name in ("q1", "q2"):
            router.receive(AGENT, a_head(name))
            router.receive(AGENT, an_end(1, name))
        assert router.state.idle


class DeadlineSuite:
    def test_a_request_past_its_deadline_in_the_queue_is_not_run(self) -> None:
        router = RouterDriver()
        router.arrive(a_request(deadline_s=5.0))
        router.wait(6.0)
        failure = router.failures()[0]
        assert failure.code == EXPIRED.code
        assert failure.outcome is Outcome.NOT_RUN
        assert router.state.idle

    def test_a_running_request_past_its_deadline_has_unknown_outcome(
        self,
    ) -> None:
        router = router_with_running_request()
        effects = router.wait(61.0)
        assert sent(effects, Cancel) == [Cancel("q1", 1)]
        failure = router.failures()[0]
        assert failure.code == TIMED_OUT.code
        assert failure.outcome is Outcome.UNKNOWN

    def test_a_disconnected_caller_cancels_its_request(self) -> None:
        router = router_with_running_request()
        assert sent(router.on(CallerDisconnected("q1")), Cancel)
        assert not router.failures()


class LostAgentSuite:
    def test_an_answer_is_resumed_after_a_reconnect(self) -> None:
        router = router_with_running_request()
        router.receive(AGENT, a_head())
        router.on(PeerDown(AGENT.key))
        router.wait(1.0)
        effects = router.on(PeerUp(AGENT))
        assert sent(effects, Resume) == [Resume("q1", 1, 1)]
        router.receive(AGENT, a_body(1, b"x"))
        router.receive(AGENT, an_end(2))
        assert router.replies()[-1].whole

    def test_a_lost_agent_leaves_the_outcome_unknown(self) -> None:
        router = router_with_running_request()
        router.on(PeerLost(AGENT.key))
        failure = router.failures()[0]
        assert failure.code == ENDPOINT_LOST.code
        assert failure.outcome is Outcome.UNKNOWN

    def test_an_idempotent_request_is_retried_on_another_agent(self) -> None:
        router = router_with_running_request(idempotent=True)
        router.on(PeerLost(AGENT.key))
        router.connect(OTHER)
        router.wait(2.0)
        assert sent(router.pull(OTHER), Dispatch)[0].attempt == 2

    def test_an_interrupted_answer_ends_as_incomplete(self) -> None:
        router = router_with_running_request(idempotent=True)
        router.receive(AGENT, a_head())
        router.receive(AGENT, a_body(1, b"half"))
        router.on(PeerLost(AGENT.key))
        end = router.replies()[-1]
        assert end.kind is PartKind.END
        assert not end.whole
        assert not router.failures()

    def test_a_lost_dispatch_is_detected_and_sent_again(self) -> None:
        router = router_with_running_request()
        assert sent(router.wait(2.5), Resume) == [Resume("q1", 1, 0)]
        router.receive(AGENT, Gone("q1", 1, Outcome.NOT_RUN))
        router.wait(0.1)
        assert sent(router.pull(AGENT), Dispatch)[0].attempt == 2

    def test_a_new_incarnation_ends_requests_of_the_old_one(self) -> None:
        router = router_with_running_request()
        router.connect(an_agent(incarnation=2))
        assert router.failures()[0].outcome is Outcome.UNKNOWN
