"""A lease has at most one holder, despite pauses and log outages."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bulrushstream.coordination import lease
from bulrushstream.coordination.lease import (
    STREAM,
    LeaseKind,
    LeaseOptions,
    LeaseRecord,
    LeaseState,
)
from bulrushstream.state.effect import AppendLog
from bulrushstream.state.event import Event, LogRead, TimerFired
from tests.fakelog import FakeLog

OPTIONS = LeaseOptions(term_s=30.0)
NAME = "load/0"


@dataclass(slots=True)
class Holder:
    """An instance that contends for the lease, with its own clock."""

    state: LeaseState
    rate: float  # Of its clock; 1 is exact.
    paused: bool = False
    unsent: list[bytes] = field(default_factory=list)  # Record bodies.

    def now_s(self, log: FakeLog) -> float:
        return 1000.0 + log.now_s * self.rate

    def feed(self, log: FakeLog, event: Event) -> None:
        for effect in lease.handle(self.state, event, self.now_s(log)):
            if isinstance(effect, AppendLog):
                self.unsent.append(effect.body)

    def step(self, log: FakeLog) -> None:
        if not log.down:
            self.flush(log)
            page = log.read_now(STREAM, self.state.next_offset)
            event = LogRead(
                STREAM,
                page.records,
                True,
                page.first_offset,
                self.state.next_offset,
            )
            self.feed(log, event)
        self.feed(log, TimerFired())

    def flush(self, log: FakeLog) -> None:
        for body in self.unsent:
            log.append_now(STREAM, body)
        self.unsent.clear()

    def token(self, log: FakeLog) -> int | None:
        return lease.held_token(self.state, NAME, self.now_s(log))


def _holder(name: str, seed: int, rate: float = 1.0) -> Holder:
    state = lease.new_leases(name, Random(seed), OPTIONS)
    lease.acquire(state, NAME)
    return Holder(state, rate)


class LeaseMachine(RuleBasedStateMachine):
    """Three instances contend while pauses, outages and restarts happen."""

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.rng = Random(seed)
        self.log = FakeLog(retention_s=300.0)
        self.start_count = 0
        self.highest = -1
        self.holders = {name: self.start(name) for name in "abc"}

    def start(self, name: str) -> Holder:
        self.start_count += 1
        rate = self.rng.uniform(0.96, 1.04)
        return _holder(f"{name}#{self.start_count}", self.start_count, rate)

    def advance(self, by_s: float) -> None:
        until_s = self.log.now_s + by_s
        while self.log.now_s < until_s:
            self.log.now_s += 0.5
            for holder in self.holders.values():
                if not holder.paused:
                    holder.step(self.log)
            self.check_single_holder()

    @rule(by_s=st.sampled_from([0.5, 3.0, 15.0, 60.0, 400.0]))
    def pass_time(self, by_s: float) -> None:
        self.advance(by_s)

    @rule(name=st.sampled_from("abc"))
    def pause(self, name: str) -> None:
        self.holders[name].paused = True

    @rule(by_s=st.sampled_from([3.0, 27.0, 60.0]))
    def pause_holder(self, by_s: float) -> None:
        for holder in self.holders.values():
            holder.paused |= holder.token(self.log) is not None
        self.advance(by_s)

    @rule(name=st.sampled_from("abc"))
    def resume(self, name: str) -> None:
        """Resume; unsent records are appended before the log is read."""
        self.holders[name].paused = False
        self.holders[name].flush(self.log)

    @rule(name=st.sampled_from("abc"))
    def lose_unsent_records(self, name: str) -> None:
        self.holders[name].unsent.clear()

    @rule(by_s=st.sampled_from([3.0, 27.0, 60.0]))
    def outage(self, by_s: float) -> None:
        self.log.down = True
        self.advance(by_s)
        self.log.down = False

    @rule(name=st.sampled_from("abc"))
    def restart(self, name: str) -> None:
        self.holders[name] = self.start(name)

    @rule(name=st.sampled_from("abc"))
    def release(self, name: str) -> None:
        holder = self.holders[name]
        now_s = holder.now_s(self.log)
        for effect in lease.release(holder.state, NAME, now_s):
            assert isinstance(effect, AppendLog)
            holder.unsent.append(effect.body)
        assert holder.token(self.log) is None
        lease.acquire(holder.state, NAME)

    @rule()
    def check_acquired(self) -> None:
        for holder in self.holders.values():
            holder.paused = False
        self.advance(80.0)
        tokens = {h.token(self.log) for h in self.holders.values()}
        assert tokens != {None}

    @invariant()
    def check_single_holder(self) -> None:
        if not hasattr(self, "holders"):
            return
        tokens = [h.token(self.log) for h in self.holders.values()]
        held = [token for token in tokens if token is not None]
        assert len(held) <= 1
        if held:
            assert held[0] >= self.highest
            self.highest = held[0]


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=40, stateful_step_count=25)


def _run(log: FakeLog, by_s: float, *holders: Holder) -> None:
    until_s = log.now_s + by_s
    while log.now_s < until_s:
        log.now_s += 0.5
        for holder in holders:
            holder.step(log)


class LeaseSuite:
    def test_renewal_keeps_the_token(self) -> None:
        log = FakeLog()
        holder = _holder("a", 1)
        _run(log, 2.0, holder)
        first = holder.token(log)
        assert first is not None
        for _ in range(20):
            _run(log, 10.0, holder)
            assert holder.token(log) == first
        assert len(log.all_records[STREAM]) < 40

    def test_term_starts_before_the_append(self) -> None:
        """An append that takes 29 s leaves 1 s of the 30 s term."""
        log = FakeLog()
        holder = _holder("a", 1)
        holder.step(log)
        assert holder.unsent
        log.now_s = 29.0
        holder.flush(log)
        holder.step(log)
        assert holder.token(log) is not None
        log.now_s = 30.0
        assert holder.token(log) is None

    def test_paused_holder_does_not_keep_an_expired_lease(self) -> None:
        """A holder that resumes after its term must not act on the lease."""
        log = FakeLog()
        paused, other = _holder("a", 1), _holder("b", 2)
        _run(log, 2.0, paused)
        old = paused.token(log)
        _run(log, 40.0, other)
        new = other.token(log)
        assert old is not None
        assert new is not None
        assert new > old
        assert paused.token(log) is None
        _run(log, 2.0, paused, other)
        assert paused.token(log) is None
        assert other.token(log) == new

    def test_released_lease_is_acquired_immediately(self) -> None:
        log = FakeLog()
        first, second = _holder("a", 1), _holder("b", 2)
        _run(log, 2.0, first, second)
        now_s = first.now_s(log)
        for effect in lease.release(first.state, NAME, now_s):
            assert isinstance(effect, AppendLog)
            first.unsent.append(effect.body)
        first.flush(log)
        _run(log, 3.0, second)
        assert second.token(log) is not None

    def test_invalid_records_are_skipped(self) -> None:
        """A record with an infinite term would block the lease permanently."""
        log = FakeLog()
        infinite_term = LeaseRecord(
            LeaseKind.CLAIM, NAME, "x", "x/1", 0, float("1e999")
        )
        for body in (b"", b"\xff", b"{}", msgspec.json.encode(infinite_term)):
            log.append_now(STREAM, body)
        holder = _holder("a", 1)
        _run(log, 2.0, holder)
        assert holder.token(log) == 4

    def test_waiting_instances_poll_less_often(self) -> None:
        log = FakeLog()
        first, second = _holder("a", 1), _holder("b", 2)
        _run(log, 2.0, first, second)
        assert lease.poll_interval_s(first.state) < 1.0
        assert lease.poll_interval_s(second.state) > 1.0
