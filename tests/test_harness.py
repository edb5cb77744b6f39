"""The parts of the harness do what they say, faults included."""

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

A: Final = InstanceKey("router-0", 1)
B: Final = InstanceKey("agent-0", 1)


class Mailbox:
    """Keeps what was delivered."""

    def __init__(self) -> None:
        self.events: list[tuple[InstanceKey, Event]] = []

    def deliver(self, to: InstanceKey, event: Event) -> None:
        self.events.append((to, event))

    def of(self, to: InstanceKey) -> list[Event]:
        return [event for key, event in self.events if key == to]


def info(key: InstanceKey, role: Role) -> InstanceInfo:
    return InstanceInfo(key, role, "region", "zone", "127.0.0.1", 0)


def network(weather: Conditions, mailbox: Mailbox) -> Network:
    timeline = Timeline()
    net = Network(
        timeline, Random(1), weather, mailbox.deliver, lambda name: True
    )
    net.join(info(A, Role.ROUTER))
    net.join(info(B, Role.AGENT))
    timeline.run_until(1.0)
    return net


class TimelineSuite:
    def test_actions_run_by_time_then_by_call(self) -> None:
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
    def test_a_connection_keeps_the_order(self) -> None:
        mailbox = Mailbox()
        net = network(Conditions(jitter_s=0.1), mailbox)
        for number in range(20):
            net.send(A, B, NoWork(number))
        net.timeline.run_until(5.0)
        assert mailbox.of(B) == [
            PeerUp(info(A, Role.ROUTER)),
            *(MessageReceived(A, NoWork(number)) for number in range(20)),
        ]

    def test_a_break_loses_what_is_under_way(self) -> None:
        mailbox = Mailbox()
        net = network(Conditions(delay_s=0.1), mailbox)
        net.send(A, B, NoWork(1))
        net.cut(A.instance, B.instance, 0.0)
        net.timeline.run_until(1.0 + MAX_DETECTION_S)
        assert mailbox.of(B)[1] == PeerDown(A)
        assert not any(isinstance(e, MessageReceived) for e in mailbox.of(B))

    def test_it_connects_again_after_the_cut(self) -> None:
        mailbox = Mailbox()
        net = network(Conditions(), mailbox)
        net.cut(A.instance, "", 3.0)
        net.timeline.run_until(3.9)
        assert len(mailbox.of(A)) == 2
        net.timeline.run_until(6.0)
        assert mailbox.of(A)[2] == PeerUp(info(B, Role.AGENT))

    def test_bad_weather_loses_doubles_and_reorders(self) -> None:
        mailbox = Mailbox()
        weather = Conditions(loss=0.2, duplicated=0.2, reordered=0.5)
        net = network(weather, mailbox)
        for number in range(200):
            net.send(A, B, NoWork(number))
        net.timeline.run_until(5.0)
        numbers = [
            event.message.pull_id
            for event in mailbox.of(B)
            if isinstance(event, MessageReceived)
            and isinstance(event.message, NoWork)
        ]
        assert len(set(numbers)) < 200
        assert len(set(numbers)) < len(numbers)
        assert numbers != sorted(numbers)


class StoreSuite:
    def test_a_lost_answer_may_have_taken_effect(self) -> None:
        mailbox, timeline = Mailbox(), Timeline()
        weather = Conditions(log_lost_replies=1.0)
        store = Store(timeline, Random(1), weather, mailbox.deliver, ("s",))
        store.follow(A)
        store.append(A, AppendLog("s", 7, b"x"))
        timeline.run_until(5.0)
        assert LogFailed(7) in mailbox.of(A)
        reads = [e for e in mailbox.of(A) if isinstance(e, LogRead)]
        assert [record.body for e in reads for record in e.records] == [b"x"]

    def test_readers_catch_up_after_an_outage(self) -> None:
        mailbox, timeline = Mailbox(), Timeline()
        store = Store(
            timeline, Random(1), Conditions(), mailbox.deliver, ("s",)
        )
        store.append(A, AppendLog("s", 1, b"x"))
        timeline.run_until(1.0)
        assert mailbox.of(A) == [LogAppended(1, 0)]
        store.begin_outage(5.0)
        store.follow(B)
        store.append(A, AppendLog("s", 2, b"y"))
        timeline.run_until(2.0 + APPEND_TIMEOUT_S)
        assert mailbox.of(B) == []
        assert mailbox.of(A)[-1] == LogFailed(2)
        timeline.run_until(9.0)
        read = mailbox.of(B)[0]
        assert isinstance(read, LogRead)
        assert [record.body for record in read.records] == [b"x"]
        assert read.caught_up


class PlanSuite:
    def test_a_seed_always_gives_the_same_plan(self) -> None:
        assert random_plan(5) == random_plan(5)
        assert random_plan(5) != random_plan(6)

    def test_shrinking_keeps_only_what_the_failure_needs(self) -> None:
        plan = replace(random_plan(1), calls=random_plan(3).calls)
        needed = plan.calls[3]

        def fails(trial: Plan) -> bool:
            return needed in trial.calls

        small = shrink(plan, fails)
        assert small.calls == (needed,)
        assert small.faults == ()
        assert small.conditions == Conditions()
