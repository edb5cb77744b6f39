"""A keyed request runs at most once, whatever the log does."""

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


def appends(effects: list[Effect]) -> list[AppendLog]:
    return [each for each in effects if isinstance(each, AppendLog)]


def a_claim(key: str, claim_id: str) -> ClaimRecord:
    return ClaimRecord(key, claim_id, "router-1", 1, "digest")


class LogDriver(RouterDriver):
    """A router whose appends the test answers."""

    offset = 0

    def read(self, batch: ClaimBatch) -> list[Effect]:
        """Let the router read a record of the stream of claims."""
        record = LogRecord(self.offset, encode_batch(batch))
        self.offset += 1
        return self.on(LogRead("claims", (record,), True))

    def log(self, append: AppendLog, lost: bool = False) -> list[Effect]:
        """Let an append take effect, and perhaps lose its answer."""
        batch = decode_batch(append.body)
        assert batch is not None
        effects = self.read(batch)
        answer = LogFailed(append.token)
        if not lost:
            return effects + self.on(LogAppended(append.token, 0))
        return effects + self.on(answer)

    def start(self, name: str = "q1", key: str = "k") -> list[Effect]:
        """Let a keyed request arrive after the stream was read."""
        self.up(AGENT)
        self.on(LogRead("claims", (), True))
        return self.arrive(a_request(name, key=key))

    def run(self) -> None:
        """Let a keyed request win its claim and go out."""
        self.log(appends(self.start())[0])
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
        """Copies race through three routers; one of them restarts empty."""
        faults = Faults(delay_s=delay_s, lose_answer=lose_answer)
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
        fleet.stop(a_router("router-1").key)
        fleet.start(a_router("router-1b"))
        fleet.run(60.0)
        assert not fleet.leftovers()
        for key in set(names.values()):
            same = [name for name in names if names[name] == key]
            assert sum(fleet.runs[name] for name in same) <= 1
        for name, words in fleet.ends.items():
            assert len(words) == 1
            word = words[0]
            if (
                isinstance(word, FailRequest)
                and word.outcome is Outcome.NOT_RUN
            ):
                assert fleet.runs[name] == 0

    def test_every_copy_gets_the_one_answer(self) -> None:
        fleet = RouterFleet(3, 3, Faults(lose_answer=0.5))
        for index in range(9):
            fleet.arrive(index * 0.05, a_request(f"q{index}", key="k"))
        fleet.run(30.0)
        assert sum(fleet.runs.values()) == 1
        assert len(fleet.ends) == 9
        assert all(isinstance(w[0], Reply) for w in fleet.ends.values())

    def test_appends_are_grouped_under_load(self) -> None:
        """A thousand keys a second take what the fleet may append."""
        fleet = RouterFleet(4, 2, Faults(delay_s=0.01), agents=40)
        for index in range(2000):
            request = a_request(f"q{index}", key=f"k{index}")
            fleet.arrive(index * 0.001, request)
        fleet.run(2.0)
        assert fleet.appends <= 2 * 200 + 2


class OutageSuite:
    def test_the_outage_ends_in_a_refusal_at_the_deadline(self) -> None:
        fleet = RouterFleet(1, 1, Faults(log_down=True))
        fleet.arrive(0.0, a_request(key="k", deadline_s=10.0))
        fleet.run(9.9)
        assert not fleet.ends
        fleet.run(10.1)
        end = fleet.ends["q1"][0]
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
        router.up(AGENT)
        assert not appends(router.arrive(a_request(key="k")))
        assert appends(router.on(LogRead("claims", (), True)))

    def test_a_lost_answer_is_found_by_reading(self) -> None:
        router = LogDriver()
        effects = router.log(appends(router.start())[0], lost=True)
        assert not router.failures()
        assert len(sent(router.pull(AGENT), Dispatch)) == 1
        again = appends([*effects, *router.wait(1.0)])
        for append in again:
            router.log(append)
        assert not sent(router.pull(AGENT), Dispatch)

    def test_a_claim_that_wins_too_late_is_released(self) -> None:
        router = LogDriver()
        claim = appends(router.start())[0]
        router.wait(61.0)
        assert router.failures()[0].code == LOG_DOWN.code
        release = decode_batch(appends(router.log(claim))[0].body)
        assert release is not None
        assert release.results[0].outcome is Outcome.NOT_RUN


class RepeatSuite:
    def test_a_repeat_gets_the_recorded_answer(self) -> None:
        router = LogDriver()
        router.run()
        router.get(AGENT, a_head())
        router.get(AGENT, a_body(1, b"done"))
        router.get(AGENT, an_end(2))
        router.arrive(a_request("q2", key="k"))
        parts = router.replies("q2")
        assert [part.kind for part in parts] == [
            PartKind.HEAD,
            PartKind.BODY,
            PartKind.END,
        ]
        assert parts[1].data == b"done"
        assert parts[2].outcome is Outcome.RAN

    def test_a_large_answer_is_not_kept_but_its_outcome_is(self) -> None:
        router = LogDriver()
        router.run()
        router.get(AGENT, a_head())
        router.get(AGENT, a_body(1, bytes(5000)))
        router.get(AGENT, an_end(2))
        router.arrive(a_request("q2", key="k"))
        failure = router.failures("q2")[0]
        assert (failure.code, failure.outcome) == (
            KEY_ANSWER_LOST.code,
            Outcome.RAN,
        )

    def test_another_body_is_refused(self) -> None:
        router = LogDriver()
        router.run()
        router.arrive(a_request("q2", key="k", body=b"other"))
        failure = router.failures("q2")[0]
        assert failure.code == KEY_REUSED.code
        assert failure.outcome is Outcome.NOT_RUN

    def test_a_repeat_waits_for_the_first(self) -> None:
        router = LogDriver()
        router.run()
        router.arrive(a_request("q2", key="k", deadline_s=30.0))
        router.wait(31.0)
        failure = router.failures("q2")[0]
        assert failure.code == KEY_PENDING.code
        assert failure.outcome is Outcome.UNKNOWN

    def test_a_request_that_expired_leaves_its_key_free(self) -> None:
        router = LogDriver()
        effects = router.log(appends(router.start())[0])
        effects += router.wait(61.0)
        assert router.failures()[0].code == EXPIRED.code
        router.log(appends(effects)[-1])
        late = a_request("q2", key="k", arrived_s=61.0, deadline_s=99.0)
        router.log(appends(router.arrive(late))[0])
        assert len(sent(router.pull(AGENT), Dispatch)) == 1

    @pytest.mark.parametrize("leaves", [True, False])
    def test_a_run_goes_on_without_its_caller(self, leaves: bool) -> None:
        router = LogDriver()
        router.run()
        if leaves:
            effects = router.on(CallerDisconnected("q1"))
        else:
            effects = router.wait(61.0)
            assert router.failures()[0].code == TIMED_OUT.code
        assert sent(effects, Revoke)
        assert not sent(effects, Cancel)
        router.get(AGENT, a_head())
        router.get(AGENT, an_end(1))
        now_s = router.now_s
        repeat = a_request("q2", key="k", arrived_s=now_s, deadline_s=99.0)
        router.arrive(repeat)
        assert router.replies("q2")[-1].whole

    def test_the_key_of_a_lost_router_is_open(self) -> None:
        router = LogDriver()
        other = a_router("router-2")
        router.up(other)
        router.on(LogRead("claims", (), True))
        request = a_request(key="k")
        claim = ClaimRecord(
            claim_key(request), "c", "router-2", 1, request_digest(request)
        )
        router.read(ClaimBatch(0, (), (claim,)))
        router.arrive(request)
        assert not router.failures()
        router.on(PeerLost(other.key))
        failure = router.failures()[0]
        assert failure.code == KEY_OUTCOME_UNKNOWN.code
        assert failure.outcome is Outcome.UNKNOWN


class FoldSuite:
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
    def test_every_reader_names_the_same_winners(
        self, steps: list[tuple[str, int, bool, int]], seed: int
    ) -> None:
        """Readers differ in their clocks, and in records read twice."""
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

    def test_a_claim_holds_for_its_window_on_the_streams_clock(self) -> None:
        table = ClaimTable(10.0)
        table.apply_batch(0, ClaimBatch(1000, (), (a_claim("k", "a"),)), 500.0)
        assert table.get_at("k", 509.0) is not None
        assert table.get_at("k", 510.0) is None
        late = ClaimBatch(10_999, (), (a_claim("k", "b"),))
        assert table.apply_batch(1, late, 509.9) == []
        later = ClaimBatch(11_000, (), (a_claim("k", "c"),))
        assert table.apply_batch(2, later, 510.0) == list(later.claims)

    def test_kept_answers_are_bounded(self) -> None:
        table = ClaimTable(100.0, max_result_bytes=250)
        for index in range(4):
            key = f"k{index}"
            batch = ClaimBatch(0, (), (a_claim(key, key),))
            table.apply_batch(index, batch, 0.0)
            kept = ResultRecord(
                key, key, Outcome.RAN, True, 200, (), bytes(100)
            )
            table.apply_result(kept)
        results = [table.get(f"k{index}") for index in range(4)]
        kept_flags = [r.result.kept for r in results if r and r.result]
        assert kept_flags == [False, False, True, True]

    def test_what_is_no_batch_is_skipped(self) -> None:
        assert decode_batch(b"{}") is None
        assert decode_batch(b"\xff") is None


class StreamClockSuite:
    def test_a_reader_that_is_long_up_does_not_move_the_stream(self) -> None:
        """Its own clock may be far ahead of the stream's."""
        clock = StreamClock()
        clock.observe(1000, 500.0)
        assert clock.now_ms(500.0) == 1000
        assert clock.now_ms(502.5) == 3500
        assert StreamClock().now_ms(9000.0) == 0

    def test_it_never_falls_behind_what_it_has_read(self) -> None:
        clock = StreamClock()
        clock.observe(1000, 5.0)
        clock.observe(1001, 9.0)
        assert clock.now_ms(9.0) == 5000


class AppenderSuite:
    def test_records_gather_while_an_append_is_under_way(self) -> None:
        appender: Appender[int] = Appender(AppenderOptions())
        appender.add(1)
        assert appender.start_append(10, 0.0, 0.0) == (1,)
        appender.add(2)
        appender.add(3)
        assert appender.start_append(11, 0.0, 0.0) == ()
        appender.appended(10)
        assert appender.start_append(11, 0.0, 0.0) == (2, 3)

    def test_a_failed_append_is_made_again_with_the_same_records(self) -> None:
        appender: Appender[int] = Appender(AppenderOptions())
        appender.add(1)
        appender.start_append(10, 0.0, 0.0)
        appender.add(2)
        appender.failed(10, random.Random(1), 0.0)
        assert appender.start_append(11, 9.0, 0.0) == (1,)

    def test_it_holds_a_bounded_number(self) -> None:
        appender: Appender[int] = Appender(AppenderOptions(max_waiting=2))
        assert [appender.add(n) for n in range(3)] == [True, True, False]
