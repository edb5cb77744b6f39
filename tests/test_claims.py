"""A keyed request runs at most once, despite faults of the log.

Copies of a request may arrive at several routers at once. Each router appends
a claim to the shared log, and only the first claim of a key may run. An append
may take effect although its reply is lost or late.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.appender import Appender, AppenderOptions
from bulrushstream.messages import (
    EXPIRED,
    KEY_ANSWER_LOST,
    KEY_OUTCOME_UNKNOWN,
    KEY_PENDING,
    KEY_REUSED,
    LOG_DOWN,
    TIMED_OUT,
)
from bulrushstream.state.claim import (
    ClaimBatch,
    ClaimRecord,
    ClaimTable,
    ResultRecord,
    claim_key,
    decode_batch,
    encode_batch,
    request_digest,
)
from bulrushstream.state.effect import AppendLog, Effect, FailRequest, Reply
from bulrushstream.state.event import (
    CallerDisconnected,
    LogAppended,
    LogFailed,
    LogRead,
    LogRecord,
    PeerLost,
)
from bulrushstream.state.message import Cancel, Dispatch, PartKind, Revoke
from bulrushstream.state.request import Outcome
from bulrushstream.state.streamclock import StreamClock
from tests.builders import (
    a_body,
    a_head,
    a_request,
    a_router,
    an_agent,
    an_end,
)
from tests.fleets import Faults, RouterFleet
from tests.routers import RouterDriver, sent

AGENT = an_agent()


def append_effects(effects: list[Effect]) -> list[AppendLog]:
    return [each for each in effects if isinstance(each, AppendLog)]


def a_claim(key: str, claim_id: str) -> ClaimRecord:
    return ClaimRecord(key, claim_id, "router-1", 1, "digest")


class LogDriver(RouterDriver):
    """A router whose log appends are answered by the test."""

    offset = 0

    def read_batch(self, batch: ClaimBatch) -> list[Effect]:
        """Deliver a batch of the claims stream to the router."""
        record = LogRecord(self.offset, encode_batch(batch))
        self.offset += 1
        return self.on(LogRead("claims", (record,), True))

    def commit(self, append: AppendLog, lost: bool = False) -> list[Effect]:
        """Commit an append; its reply may be lost."""
        batch = decode_batch(append.body)
        assert batch is not None
        effects = self.read_batch(batch)
        answer = LogFailed(append.token)
        if not lost:
            return effects + self.on(LogAppended(append.token, 0))
        return effects + self.on(answer)

    def submit_keyed(self, name: str = "q1", key: str = "k") -> list[Effect]:
        """Submit a keyed request after the claims stream was read."""
        self.connect(AGENT)
        self.on(LogRead("claims", (), True))
        return self.arrive(a_request(name, key=key))

    def dispatch_keyed(self) -> None:
        """Commit a keyed request's claim and dispatch the request."""
        self.commit(append_effects(self.submit_keyed())[0])
        assert len(sent(self.pull(AGENT), Dispatch)) == 1


class OnceSuite:
    @given(
        seed=st.integers(0, 1 << 30),
        lose_answer=st.sampled_from([0.0, 0.5]),
        delay_s=st.sampled_from([0.002, 0.2, 2.0]),
    )
    def test_each_key_runs_at_most_once(
        self, seed: int, lose_answer: float, delay_s: float
    ) -> None:
        """Copies race on three routers; one restarts without state."""
        faults = Faults(max_delay_s=delay_s, log_reply_loss_rate=lose_answer)
        fleet = RouterFleet(seed, 3, faults)
        rng = random.Random(seed)
        names = {}
        for index in range(24):
            at_s = rng.uniform(0.0, 4.0)
            key = f"k{rng.randrange(6)}"
            names[f"q{index}"] = key
            request = a_request(
                f"q{index}", key=key, arrived_s=at_s, deadline_s=at_s + 20.0
            )
            fleet.arrive(at_s, request)
        fleet.run(2.0)
        fleet.crash_router(a_router("router-1").key)
        fleet.start_router(a_router("router-1b"))
        fleet.run(60.0)
        assert not fleet.leftovers()
        for key in set(names.values()):
            same = [name for name in names if names[name] == key]
            assert sum(fleet.runs[name] for name in same) <= 1
        for name, ends in fleet.final_effects.items():
            assert len(ends) == 1
            end = ends[0]
            if isinstance(end, FailRequest) and end.outcome is Outcome.NOT_RUN:
                assert fleet.runs[name] == 0

    def test_every_copy_gets_the_one_answer(self) -> None:
        fleet = RouterFleet(3, 3, Faults(log_reply_loss_rate=0.5))
        for index in range(9):
            fleet.arrive(index * 0.05, a_request(f"q{index}", key="k"))
        fleet.run(30.0)
        assert sum(fleet.runs.values()) == 1
        assert len(fleet.final_effects) == 9
        assert all(
            isinstance(ends[0], Reply) for ends in fleet.final_effects.values()
        )

    def test_appends_are_grouped_under_load(self) -> None:
        """1,000 keys per second stay within the fleet's limit on appends."""
        fleet = RouterFleet(4, 2, Faults(max_delay_s=0.01), agents=40)
        for index in range(2000):
            request = a_request(f"q{index}", key=f"k{index}")
            fleet.arrive(index * 0.001, request)
        fleet.run(2.0)
        assert fleet.appends <= 2 * 200 + 2


class OutageSuite:
    def test_keyed_requests_fail_at_the_deadline_during_an_outage(
        self,
    ) -> None:
        fleet = RouterFleet(1, 1, Faults(log_down=True))
        fleet.arrive(0.0, a_request(key="k", deadline_s=10.0))
        fleet.run(9.9)
        assert not fleet.final_effects
        fleet.run(10.1)
        end = fleet.final_effects["q1"][0]
        assert isinstance(end, FailRequest)
        assert (end.code, end.outcome) == (LOG_DOWN.code, Outcome.NOT_RUN)
        assert not fleet.runs

    def test_requests_without_a_key_run_during_an_outage(self) -> None:
        fleet = RouterFleet(1, 1, Faults(log_down=True))
        fleet.arrive(0.0, a_request())
        fleet.run(1.0)
        assert fleet.runs["q1"] == 1

    def test_keyed_requests_wait_until_the_stream_was_read(self) -> None:
        router = LogDriver()
        router.connect(AGENT)
        assert not append_effects(router.arrive(a_request(key="k")))
        assert append_effects(router.on(LogRead("claims", (), True)))

    def test_a_claim_whose_reply_was_lost_is_found_in_the_stream(self) -> None:
        router = LogDriver()
        effects = router.commit(
            append_effects(router.submit_keyed())[0], lost=True
        )
        assert not router.failures()
        assert len(sent(router.pull(AGENT), Dispatch)) == 1
        again = append_effects([*effects, *router.wait(1.0)])
        for append in again:
            router.commit(append)
        assert not sent(router.pull(AGENT), Dispatch)

    def test_a_claim_won_after_the_deadline_is_released(self) -> None:
        # Otherwise the key stays claimed by a request that never runs.
        router = LogDriver()
        claim = append_effects(router.submit_keyed())[0]
        router.wait(61.0)
        assert router.failures()[0].code == LOG_DOWN.code
        release = decode_batch(append_effects(router.commit(claim))[0].body)
        assert release is not None
        assert release.results[0].outcome is Outcome.NOT_RUN


class RepeatSuite:
    def test_a_repeat_gets_the_recorded_answer(self) -> None:
        router = LogDriver()
        router.dispatch_keyed()
        router.receive(AGENT, a_head())
        router.receive(AGENT, a_body(1, b"done"))
        router.receive(AGENT, an_end(2))
        router.arrive(a_request("q2", key="k"))
        parts = router.replies("q2")
        assert [part.kind for part in parts] == [
            PartKind.HEAD,
            PartKind.BODY,
            PartKind.END,
        ]
        assert parts[1].data == b"done"
        assert parts[2].outcome is Outcome.RAN

    def test_a_large_answer_is_not_stored_but_its_outcome_is(self) -> None:
        router = LogDriver()
        router.dispatch_keyed()
        router.receive(AGENT, a_head())
        router.receive(AGENT, a_body(1, bytes(5000)))
        router.receive(AGENT, an_end(2))
        router.arrive(a_request("q2", key="k"))
        failure = router.failures("q2")[0]
        assert (failure.code, failure.outcome) == (
            KEY_ANSWER_LOST.code,
            Outcome.RAN,
        )

    def test_a_reused_key_with_another_body_is_refused(self) -> None:
        router = LogDriver()
        router.dispatch_keyed()
        router.arrive(a_request("q2", key="k", body=b"other"))
        failure = router.failures("q2")[0]
        assert failure.code == KEY_REUSED.code
        assert failure.outcome is Outcome.NOT_RUN

    def test_a_repeat_waits_for_the_first_request(self) -> None:
        router = LogDriver()
        router.dispatch_keyed()
        router.arrive(a_request("q2", key="k", deadline_s=30.0))
        router.wait(31.0)
        failure = router.failures("q2")[0]
        assert failure.code == KEY_PENDING.code
        assert failure.outcome is Outcome.UNKNOWN

    def test_a_request_that_expired_leaves_its_key_free(self) -> None:
        router = LogDriver()
        effects = router.commit(append_effects(router.submit_keyed())[0])
        effects += router.wait(61.0)
        assert router.failures()[0].code == EXPIRED.code
        router.commit(append_effects(effects)[-1])
        late = a_request("q2", key="k", arrived_s=61.0, deadline_s=99.0)
        router.commit(append_effects(router.arrive(late))[0])
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    @pytest.mark.parametrize("disconnects", [True, False])
    def test_a_keyed_run_continues_without_its_caller(
        self, disconnects: bool
    ) -> None:
        router = LogDriver()
        router.dispatch_keyed()
        if disconnects:
            effects = router.on(CallerDisconnected("q1"))
        else:
            effects = router.wait(61.0)
            assert router.failures()[0].code == TIMED_OUT.code
        assert sent(effects, Revoke)
        assert not sent(effects, Cancel)
        router.receive(AGENT, a_head())
        router.receive(AGENT, an_end(1))
        now_s = router.now_s
        repeat = a_request("q2", key="k", arrived_s=now_s, deadline_s=99.0)
        router.arrive(repeat)
        assert router.replies("q2")[-1].whole

    def test_a_lost_routers_claim_has_an_unknown_outcome(self) -> None:
        router = LogDriver()
        other = a_router("router-2")
        router.connect(other)
        router.on(LogRead("claims", (), True))
        request = a_request(key="k")
        claim = ClaimRecord(
            claim_key(request), "c", "router-2", 1, request_digest(request)
        )
        router.read_batch(ClaimBatch(0, (), (claim,)))
        router.arrive(request)
        assert not router.failures()
        router.on(PeerLost(other.key))
        failure = router.failures()[0]
        assert failure.code == KEY_OUTCOME_UNKNOWN.code
        assert failure.outcome is Outcome.UNKNOWN


class ClaimTableSuite:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("ab"),
                st.integers(0, 5),
                st.booleans(),
                st.integers(0, 40),
            ),
            max_size=30,
        ),
        st.integers(0, 1000),
    )
    def test_all_readers_agree_on_the_winners(
        self, steps: list[tuple[str, int, bool, int]], seed: int
    ) -> None:
        """Readers have different clocks and may read a record twice."""
        records = []
        time_ms = 0
        for key, number, is_result, later_ms in steps:
            time_ms += later_ms
            claim_id = f"{key}{number}"
            batch = ClaimBatch(time_ms, (), (a_claim(key, claim_id),))
            if is_result:
                outcome = random.Random(seed + number).choice(list(Outcome))
                result = ResultRecord(key, claim_id, outcome)
                batch = ClaimBatch(time_ms, (result,))
            records.append(batch)
        fast, slow = ClaimTable(0.1), ClaimTable(0.1)
        for offset, batch in enumerate(records):
            won = fast.apply_batch(offset, batch, offset * 0.001)
            assert slow.apply_batch(offset, batch, 50.0 + offset * 9.0) == won
            assert slow.apply_batch(offset, batch, 99.0) == []

    def test_a_claim_expires_by_the_streams_clock(self) -> None:
        table = ClaimTable(10.0)
        table.apply_batch(0, ClaimBatch(1000, (), (a_claim("k", "a"),)), 500.0)
        assert table.get_at("k", 509.0) is not None
        assert table.get_at("k", 510.0) is None
        late = ClaimBatch(10_999, (), (a_claim("k", "b"),))
        assert table.apply_batch(1, late, 509.9) == []
        later = ClaimBatch(11_000, (), (a_claim("k", "c"),))
        assert table.apply_batch(2, later, 510.0) == list(later.claims)

    def test_stored_answers_are_bounded(self) -> None:
        table = ClaimTable(100.0, max_result_bytes=250)
        for index in range(4):
            key = f"k{index}"
            batch = ClaimBatch(0, (), (a_claim(key, key),))
            table.apply_batch(index, batch, 0.0)
            record = ResultRecord(
                key, key, Outcome.RAN, True, 200, (), bytes(100)
            )
            table.apply_result(record)
        results = [table.get(f"k{index}") for index in range(4)]
        kept_flags = [r.result.kept for r in results if r and r.result]
        assert kept_flags == [False, False, True, True]

    def test_invalid_batches_are_not_decoded(self) -> None:
        assert decode_batch(b"{}") is None
        assert decode_batch(b"\xff") is None


class StreamClockSuite:
    def test_a_readers_uptime_does_not_advance_the_stream(self) -> None:
        """A reader's clock may be far ahead of the stream's."""
        clock = StreamClock()
        clock.observe(1000, 500.0)
        assert clock.now_ms(500.0) == 1000
        assert clock.now_ms(502.5) == 3500
        assert StreamClock().now_ms(9000.0) == 0

    def test_a_lagging_record_does_not_set_the_clock_back(self) -> None:
        clock = StreamClock()
        clock.observe(1000, 5.0)
        clock.observe(1001, 9.0)
        assert clock.now_ms(9.0) == 5000


class AppenderSuite:
    def test_records_are_batched_while_an_append_is_in_flight(self) -> None:
        appender: Appender[int] = Appender(AppenderOptions())
        appender.add(1)
        assert appender.start_append(10, 0.0, 0.0) == (1,)
        appender.add(2)
        appender.add(3)
        assert appender.start_append(11, 0.0, 0.0) == ()
        appender.appended(10)
        assert appender.start_append(11, 0.0, 0.0) == (2, 3)

    def test_a_failed_append_is_retried_with_the_same_records(self) -> None:
        appender: Appender[int] = Appender(AppenderOptions())
        appender.add(1)
        appender.start_append(10, 0.0, 0.0)
        appender.add(2)
        appender.failed(10, random.Random(1), 0.0)
        assert appender.start_append(11, 9.0, 0.0) == (1,)

    def test_waiting_records_are_bounded(self) -> None:
        appender: Appender[int] = Appender(AppenderOptions(max_waiting=2))
        assert [appender.add(n) for n in range(3)] == [True, True, False]
