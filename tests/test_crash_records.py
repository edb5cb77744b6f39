"""The records of crashes in the store, as one router keeps them.

Guards against records that are lost, late, odd, too large or out of date, and
against calls of the store while nothing crashes.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.crashids import CrashIds
from bulrushstream.coordination.crashrecords import MAX_SUSPECTS, CrashRecords
from bulrushstream.coordination.crashsuspects import MAX_STRIKES, CrashSuspects
from bulrushstream.coordination.partsuspects import PartSuspects, PartVerdict
from bulrushstream.daemon.crashstore import PARDON_S, REVIEW_S, CrashStore
from bulrushstream.history.simulatedstore import SimulatedStore
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.protocol.crashcodec import decode_crashes, encode_crashes
from bulrushstream.protocol.keyedstore import OutOfTurnError, Turn
from bulrushstream.state.crashrecord import RecordedCrash, RecordedPart
from bulrushstream.state.effect import Decision
from tests.crashplans import CrashPlan
from tests.crashrouters import EPOCH_S, Router, make_router

TOPIC = "crashes"
BAD_REQUEST, INNOCENT = 7, -8
PART = 11
MAX_RECORD_BYTES = 262_144  # That the platform's store takes.


class CountingStore(SimulatedStore):
    """A store that counts its calls."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[str] = []

    async def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        self.calls.append("newest")
        return await super().newest(topic)

    async def append(self, *args: Any, **more: Any) -> int:
        self.calls.append("append")
        return await super().append(*args, **more)


def a_router(
    number: int, clock_errors_s: dict[int, float] | None = None
) -> Router:
    """Return a router without peers."""
    loop = asyncio.get_running_loop()
    plan = CrashPlan(clock_errors_s=clock_errors_s or {})
    return make_router(
        number, 1, plan, loop.time, lambda decision: None, lambda *args: None
    )


def start(store: SimulatedStore, router: Router) -> list[asyncio.Task[None]]:
    """Start the tasks of a router."""
    crashes = CrashStore(store, TOPIC, router.front)
    loop = asyncio.get_running_loop()
    work = (crashes.read(), crashes.write())
    return [loop.create_task(each) for each in work]


def crash(router: Router, endpoint: str, *fingerprints: int) -> None:
    """Let an endpoint crash under some requests of a router."""
    now_s = asyncio.get_running_loop().time()
    state = router.front.fleet_state
    for fingerprint in fingerprints:
        state.suspects.endpoint_crashed(endpoint, fingerprint, now_s, now_s)
        state.crash_records.found(endpoint, now_s, fingerprint, (), now_s)


def is_refused(router: Router, fingerprint: int) -> bool:
    now_s = asyncio.get_running_loop().time()
    return router.front.fleet_state.suspects.is_refused(fingerprint, now_s)


def strikes(router: Router, fingerprint: int) -> int:
    now_s = asyncio.get_running_loop().time()
    suspects = router.front.fleet_state.suspects
    return suspects.strikes.count(fingerprint, now_s)


async def end(tasks: list[asyncio.Task[None]]) -> None:
    """End a router's tasks, as the end of its process does."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run(work: Any) -> None:
    """Run a coroutine in virtual time."""
    assert run_virtually(work) == []


class StoredCrashSuite:
    """The record of one router."""

    def test_nothing_is_called_while_nothing_crashes(self) -> None:
        """Guards against calls that are paid for and useless."""

        async def play_one() -> None:
            store = CountingStore()
            tasks = start(store, a_router(0))
            await asyncio.sleep(100.0)
            assert store.calls == ["newest"]
            await end(tasks)

        run(play_one())

    def test_cleared_strikes_do_not_return(self) -> None:
        """Guards against pardons that end with the routers."""

        async def play_one() -> None:
            store = CountingStore()
            router = a_router(0)
            tasks = start(store, router)
            await asyncio.sleep(1.0)
            for name in ("e-1", "e-2"):
                crash(router, name, BAD_REQUEST, INNOCENT)
            await asyncio.sleep(1.0)
            now_s = asyncio.get_running_loop().time()
            suspects = router.front.fleet_state.suspects
            suspects.request_ran(INNOCENT, now_s)
            await asyncio.sleep(REVIEW_S + 0.1)
            await end(tasks)
            again = a_router(1)
            tasks = start(store, again)
            await asyncio.sleep(0.1)
            assert strikes(again, BAD_REQUEST) == 2
            assert strikes(again, INNOCENT) == 0
            crash(again, "e-3", BAD_REQUEST, INNOCENT)
            assert is_refused(again, BAD_REQUEST)
            assert not is_refused(again, INNOCENT)
            assert store.calls.count("append") <= 3
            await end(tasks)

        run(play_one())

    def test_a_pardon_just_before_the_end_counts(self) -> None:
        """Guards against innocent parts that are refused after an end."""

        async def play_one() -> None:
            store = CountingStore()
            router = a_router(0)
            tasks = start(store, router)
            await asyncio.sleep(1.0)
            state = router.front.fleet_state
            for number in range(4):
                now_s = asyncio.get_running_loop().time()
                name = f"e-{number}"
                state.parts.endpoint_crashed(
                    name, (PART,), now_s - 0.1, now_s, now_s
                )
                state.crash_records.found(name, now_s, 5, (PART,), now_s)
                await asyncio.sleep(1.0)
            now_s = asyncio.get_running_loop().time()
            state.parts.answered((PART,), now_s, now_s)
            await asyncio.sleep(2 * PARDON_S)
            await end(tasks)
            again = a_router(1)
            tasks = start(store, again)
            await asyncio.sleep(0.1)
            judgement = again.front.fleet_state.parts.judge((PART,), now_s)
            assert judgement.verdict is PartVerdict.SERVE
            await end(tasks)

        run(play_one())

    def test_a_late_append_does_not_undo_a_pardon(self) -> None:
        """Guards against an append that the store carries out seconds later.

        It may be of this process, or of the one before it.
        """

        async def play_one() -> None:
            store = SimulatedStore()
            router = a_router(0)
            host = router.front.settings.host
            epoch = int(EPOCH_S * 1000)
            late = encode_crashes(
                [RecordedCrash("e-1", 0, epoch, (INNOCENT,))]
            )
            tasks = start(store, router)
            await asyncio.sleep(1.0)
            crash(router, "e-1", INNOCENT)
            await asyncio.sleep(1.0)
            now_s = asyncio.get_running_loop().time()
            router.front.fleet_state.suspects.request_ran(INNOCENT, now_s)
            await asyncio.sleep(REVIEW_S + 0.1)
            for turn in (
                Turn(f"crashes-{host}", epoch, 1),
                Turn(f"crashes-{host}", epoch - 30_000, 5),
            ):
                with suppress(OutOfTurnError):
                    await store.append(TOPIC, host, late, 0, turn)
            await end(tasks)
            again = a_router(1)
            tasks = start(store, again)
            await asyncio.sleep(0.1)
            assert strikes(again, INNOCENT) == 0
            await end(tasks)

        run(play_one())

    def test_a_clock_that_was_set_back_does_not_stop_writes(self) -> None:
        """Guards against epochs that are lower than the store's."""

        async def play_one() -> None:
            store = SimulatedStore()
            for error_s, name in ((0.0, "e-1"), (-90.0, "e-2")):
                router = a_router(0, {0: error_s})
                tasks = start(store, router)
                await asyncio.sleep(1.0)
                crash(router, name, BAD_REQUEST)
                await asyncio.sleep(3.0)
                await end(tasks)
            last = a_router(1)
            tasks = start(store, last)
            await asyncio.sleep(0.1)
            assert strikes(last, BAD_REQUEST) == 2
            await end(tasks)

        run(play_one())

    def test_a_store_that_is_away_gets_it_later(self) -> None:
        """Guards against crashes amid an outage that are never written."""

        async def play_one() -> None:
            store = SimulatedStore()
            store.away = True
            router = a_router(0)
            tasks = start(store, router)
            crash(router, "e-1", BAD_REQUEST)
            await asyncio.sleep(5.0)
            store.away = False
            await asyncio.sleep(2.5)
            await end(tasks)
            again = a_router(1)
            tasks = start(store, again)
            await asyncio.sleep(0.1)
            assert strikes(again, BAD_REQUEST) == 1
            await end(tasks)

        run(play_one())

    def test_a_store_that_returns_from_an_older_copy(self) -> None:
        """Guards against crashes that only the lost copy had."""

        async def play_one() -> None:
            store = CountingStore()
            router = a_router(0)
            crashes = CrashStore(store, TOPIC, router.front)
            loop = asyncio.get_running_loop()
            work = (crashes.read(), crashes.write())
            tasks = [loop.create_task(each) for each in work]
            await asyncio.sleep(1.0)
            crash(router, "e-1", BAD_REQUEST)
            await asyncio.sleep(1.0)
            await store.append(TOPIC, router.front.settings.host, b"")
            crashes.rewrite()
            await asyncio.sleep(1.0)
            assert (await store.newest(TOPIC))[0]
            await end(tasks)

        run(play_one())

    def test_a_wrong_verdict_ends(self) -> None:
        """Guards against strikes that last longer than those in memory."""

        async def play_one() -> None:
            store = SimulatedStore()
            router = a_router(0)
            tasks = start(store, router)
            await asyncio.sleep(1.0)
            for number in range(MAX_STRIKES):
                crash(router, f"e-{number}", INNOCENT)
                await asyncio.sleep(2.0)
            assert is_refused(router, INNOCENT)
            await end(tasks)
            await asyncio.sleep(300.0)
            again = a_router(0)
            tasks = start(store, again)
            await asyncio.sleep(0.1)
            assert is_refused(again, INNOCENT)
            await asyncio.sleep(301.0)
            assert not is_refused(again, INNOCENT)
            await asyncio.sleep(REVIEW_S)
            assert (await store.newest(TOPIC))[0] == {}
            await end(tasks)

        run(play_one())

    @pytest.mark.parametrize(
        "odd",
        (
            b"\xc1",
            b"\x91" * 100_000,
            msgspec.msgpack.encode([["e-1", 0, 5, b"123"]]),
            msgspec.msgpack.encode([["e-1", -1, 5, b""]]),
            msgspec.msgpack.encode([["e-1", 0, 2**60, b"12345678"]]),
            msgspec.msgpack.encode([["e" * 300, 0, 5, b"12345678"]]),
            msgspec.msgpack.encode({"e-1": 5}),
        ),
    )
    def test_an_odd_record_leaves_the_others(self, odd: bytes) -> None:
        """Guards against a record that hides all the others."""

        async def play_one() -> None:
            store = SimulatedStore()
            at_ms = int(EPOCH_S * 1000)
            sound = encode_crashes(
                [RecordedCrash("e-1", 0, at_ms, (BAD_REQUEST,))]
            )
            await store.append(TOPIC, "10.0.0.7", odd)
            await store.append(TOPIC, "10.0.0.8", sound)
            await store.append(TOPIC, "10.0.0.9", odd)
            router = a_router(0)
            reports: list[str] = []
            router.front.report = lambda kind, text: reports.append(kind)
            tasks = start(store, router)
            await asyncio.sleep(0.1)
            assert strikes(router, BAD_REQUEST) == 1
            assert reports == ["bad_crashes"] * 2
            await end(tasks)

        run(play_one())


# --- Records without a store.

crashes_strategy = st.lists(
    st.builds(
        RecordedCrash,
        st.text("abc-1", min_size=1, max_size=9),
        st.integers(0, 2**31 - 1),
        st.integers(0, 2**47 - 1),
        st.lists(st.integers(-(2**63), 2**63 - 1)).map(tuple),
        st.lists(
            st.builds(
                RecordedPart,
                st.integers(-(2**63), 2**63 - 1),
                st.integers(0, 2**31 - 1),
            )
        ).map(tuple),
    )
)


def some_records() -> CrashRecords:
    """Return the records of a router that knows of no crash."""
    crash_ids = CrashIds()
    decisions: list[Decision] = []
    return CrashRecords(
        CrashSuspects(decisions.append, crash_ids=crash_ids),
        PartSuspects(decisions.append, crash_ids),
        lambda: EPOCH_S,
        decisions.append,
    )


class CrashRecordSuite:
    @given(crashes_strategy)
    def test_records_are_read_as_written(
        self, crashes: list[RecordedCrash]
    ) -> None:
        assert decode_crashes(encode_crashes(crashes)) == tuple(crashes)

    @given(st.binary())
    def test_any_bytes_are_read_or_refused(self, record: bytes) -> None:
        with suppress(ValueError):
            decode_crashes(record)

    @given(st.lists(st.tuples(st.text("0.1", max_size=3), crashes_strategy)))
    def test_any_records_are_applied(
        self, records: list[tuple[str, list[RecordedCrash]]]
    ) -> None:
        """Guards against values that break what follows."""
        known = some_records()
        known.restore(records, "0.1", 5.0)
        known.suspects.strikes_to_repeat(5.0)
        encode_crashes(known.current(5.0))
        known.parts.sweep(5.0)

    @pytest.mark.parametrize("more", ((), ([],), ([], 5, {"new": 1})))
    def test_records_of_other_versions_are_read(
        self, more: tuple[Any, ...]
    ) -> None:
        fields = ["e-1", 0, 5, b"\0\0\0\0\0\0\0\x07", *more]
        record = msgspec.msgpack.encode([fields])
        assert decode_crashes(record) == (RecordedCrash("e-1", 0, 5, (7,)),)

    def test_a_crash_read_and_heard_of_counts_once(self) -> None:
        """Guards against a second strike as clocks differ by seconds."""
        known = some_records()
        at_ms = int(EPOCH_S * 1000) - 9_000
        crash = RecordedCrash("e-1", 0, at_ms, (INNOCENT,))
        known.restore([("a", [crash])], "b", 100.0)
        known.suspects.endpoint_crashed("e-1", INNOCENT, 95.0, 100.0)
        assert known.suspects.strikes.count(INNOCENT, 100.0) == 1

    def test_crashes_of_one_id_count_each(self) -> None:
        """Guards against crashes of an id that are taken for one."""
        known = some_records()
        at_ms = int(EPOCH_S * 1000) - 9_000
        crashes = [
            RecordedCrash("e-1", number, at_ms + 2_000 * number, (INNOCENT,))
            for number in range(3)
        ]
        known.restore([("a", crashes[1:]), ("b", crashes[:1])], "b", 100.0)
        assert known.suspects.strikes.count(INNOCENT, 100.0) == 3

    def test_a_refused_part_stays_refused(self) -> None:
        known = some_records()
        at_ms = int(EPOCH_S * 1000) - 20_000
        crashes = [
            RecordedCrash(
                f"e-{n}", 0, at_ms + 3_000 * n, (), (RecordedPart(PART, 100),)
            )
            for n in range(5)
        ]
        known.restore([("a", crashes)], "b", 100.0)
        judgement = known.parts.judge((PART,), 100.0)
        assert judgement.verdict is PartVerdict.REFUSE

    def test_a_record_is_bounded(self) -> None:
        """Guards against a record that no store takes."""
        known = some_records()
        for crash in range(300):
            for fingerprint in range(200):
                known.suspects.endpoint_crashed(
                    f"e-{crash}", 1000 * crash + fingerprint, 5.0, 5.0
                )
                known.found(
                    f"e-{crash}", 5.0, 1000 * crash + fingerprint, (), 5.0
                )
        record = encode_crashes(known.current(5.0))
        assert len(record) < MAX_RECORD_BYTES
        assert b"e-299" in record

    def test_the_newest_stay_if_there_are_too_many(self) -> None:
        known = some_records()
        now_ms = int(EPOCH_S * 1000)
        old = RecordedCrash(
            "e-1", 0, now_ms - 9_000, tuple(range(MAX_SUSPECTS))
        )
        new = replace(
            old, endpoint="e-2", at_ms=now_ms - 1_000, fingerprints=(-1,)
        )
        known.restore([("a", [new]), ("b", [old])], "c", 100.0)
        assert known.suspects.strikes.count(-1, 100.0) == 1
        assert known.suspects.strikes.count(5, 100.0) == 0
