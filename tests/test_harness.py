"""The simulated timeline, network and log, and the plans' shrinking."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Final

from bulrushstream.history.generate import random_plan
from bulrushstream.history.network import MAX_DETECTION_S, Network
from bulrushstream.history.plan import Conditions, Plan
from bulrushstream.history.shrink import shrink
from bulrushstream.history.store import APPEND_TIMEOUT_S, Store
from bulrushstream.history.timeline import Timeline
from bulrushstream.state.effect import AppendLog
from bulrushstream.state.event import (
    Event,
    LogAppended,
    LogFailed,
    LogRead,
    MessageReceived,
    PeerDown,
    PeerUp,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import NoWork

ROUTER: Final = InstanceKey("router-0", 1)
AGENT: Final = InstanceKey("agent-0", 1)


class Mailbox:
    """Records the delivered events."""

    def __init__(self) -> None:
        self.events: list[tuple[InstanceKey, Event]] = []

    def deliver(self, to: InstanceKey, event: Event) -> None:
        self.events.append((to, event))

    def events_for(self, to: InstanceKey) -> list[Event]:
        return [event for key, event in self.events if key == to]


def make_info(key: InstanceKey, role: Role) -> InstanceInfo:
    return InstanceInfo(key, role, "region", "zone", "127.0.0.1", 0)


def make_network(conditions: Conditions, mailbox: Mailbox) -> Network:
    timeline = Timeline()
    net = Network(
        timeline, Random(1), conditions, mailbox.deliver, lambda name: True
    )
    net.join(make_info(ROUTER, Role.ROUTER))
    net.join(make_info(AGENT, Role.AGENT))
    timeline.run_until(1.0)
    return net


class TimelineSuite:
    def test_actions_run_by_time_then_by_insertion(self) -> None:
        timeline, seen = Timeline(), list[str]()
        timeline.schedule(2.0, lambda: seen.append("late"))
        timeline.schedule(1.0, lambda: seen.append("first"))
        timeline.schedule(1.0, lambda: seen.append("second"))
        timeline.run_until(1.5)
        assert seen == ["first", "second"]
        assert timeline.now_s == 1.5
        timeline.run_until(9.0)
        assert seen[-1] == "late"


class NetworkSuite:
    def test_a_connection_delivers_in_order(self) -> None:
        mailbox = Mailbox()
        net = make_network(Conditions(jitter_s=0.1), mailbox)
        for number in range(20):
            net.send(ROUTER, AGENT, NoWork(number))
        net.timeline.run_until(5.0)
        assert mailbox.events_for(AGENT) == [
            PeerUp(make_info(ROUTER, Role.ROUTER)),
            *(MessageReceived(ROUTER, NoWork(number)) for number in range(20)),
        ]

    def test_a_break_loses_messages_in_flight(self) -> None:
        mailbox = Mailbox()
        net = make_network(Conditions(delay_s=0.1), mailbox)
        net.send(ROUTER, AGENT, NoWork(1))
        net.cut(ROUTER.instance, AGENT.instance, 0.0)
        net.timeline.run_until(1.0 + MAX_DETECTION_S)
        assert mailbox.events_for(AGENT)[1] == PeerDown(ROUTER)
        assert not any(
            isinstance(e, MessageReceived) for e in mailbox.events_for(AGENT)
        )

    def test_peers_reconnect_after_a_cut(self) -> None:
        mailbox = Mailbox()
        net = make_network(Conditions(), mailbox)
        net.cut(ROUTER.instance, "", 3.0)
        net.timeline.run_until(3.9)
        assert len(mailbox.events_for(ROUTER)) == 2
        net.timeline.run_until(6.0)
        assert mailbox.events_for(ROUTER)[2] == PeerUp(
            make_info(AGENT, Role.AGENT)
        )

    def test_messages_are_lost_duplicated_and_reordered(self) -> None:
        mailbox = Mailbox()
        conditions = Conditions(loss=0.2, duplicated=0.2, reordered=0.5)
        net = make_network(conditions, mailbox)
        for number in range(200):
            net.send(ROUTER, AGENT, NoWork(number))
        net.timeline.run_until(5.0)
        numbers = [
            event.message.pull_id
            for event in mailbox.events_for(AGENT)
            if isinstance(event, MessageReceived)
            and isinstance(event.message, NoWork)
        ]
        assert len(set(numbers)) < 200
        assert len(set(numbers)) < len(numbers)
        assert numbers != sorted(numbers)


class StoreSuite:
    def test_append_with_a_lost_reply_may_be_stored(self) -> None:
        mailbox, timeline = Mailbox(), Timeline()
        conditions = Conditions(log_lost_replies=1.0)
        store = Store(timeline, Random(1), conditions, mailbox.deliver, ("s",))
        store.follow(ROUTER)
        store.append(ROUTER, AppendLog("s", 7, b"x"))
        timeline.run_until(5.0)
        assert LogFailed(7) in mailbox.events_for(ROUTER)
        reads = [
            e for e in mailbox.events_for(ROUTER) if isinstance(e, LogRead)
        ]
        assert [record.body for e in reads for record in e.records] == [b"x"]

    def test_readers_catch_up_after_an_outage(self) -> None:
        mailbox, timeline = Mailbox(), Timeline()
        store = Store(
            timeline, Random(1), Conditions(), mailbox.deliver, ("s",)
        )
        store.append(ROUTER, AppendLog("s", 1, b"x"))
        timeline.run_until(1.0)
        assert mailbox.events_for(ROUTER) == [LogAppended(1, 0)]
        store.begin_outage(5.0)
        store.follow(AGENT)
        store.append(ROUTER, AppendLog("s", 2, b"y"))
        timeline.run_until(2.0 + APPEND_TIMEOUT_S)
        assert mailbox.events_for(AGENT) == []
        assert mailbox.events_for(ROUTER)[-1] == LogFailed(2)
        timeline.run_until(9.0)
        read = mailbox.events_for(AGENT)[0]
        assert isinstance(read, LogRead)
        assert [record.body for record in read.records] == [b"x"]
        assert read.caught_up


class PlanSuite:
    def test_a_seed_always_gives_the_same_plan(self) -> None:
        assert random_plan(5) == random_plan(5)
        assert random_plan(5) != random_plan(6)

    def test_shrinking_keeps_only_what_makes_it_fail(self) -> None:
        plan = replace(random_plan(1), calls=random_plan(3).calls)
        needed = plan.calls[3]

        def fails(trial: Plan) -> bool:
            return needed in trial.calls

        small = shrink(plan, fails)
        assert small.calls == (needed,)
        assert small.faults == ()
        assert small.conditions == Conditions()
