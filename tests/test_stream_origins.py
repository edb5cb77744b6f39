"""Origins of streams that are written to the store, and read again.

Guards against an origin that is outdated, torn, or lost on the way.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import pytest

from bulrushstream.coordination.originqueue import (
    MAX_WAITING,
    OriginQueue,
    write_interval_s,
)
from bulrushstream.coordination.streamorigins import StreamOrigins
from bulrushstream.coordination.versionhistory import KEEP_S
from bulrushstream.platform.store import StoreClient
from bulrushstream.protocol.keyedstore import OutOfTurnError, StoreError, Turn
from bulrushstream.protocol.origincodec import decode_origins, encode_origins
from bulrushstream.standins.keyedlog import KeyedLog
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.state.streamorigin import StreamOrigin
from bulrushstream.transport.upstream import Pool
from tests.builders import an_origin
from tests.test_stream_versions import HALF, RELEASE, all_killed
from tests.versionfleets import play_versions
from tests.versionplans import VersionHistory, VersionPlan


class QueueSuite:
    def test_an_origin_is_written_once(self) -> None:
        queue = OriginQueue()
        assert queue.put(an_origin(1), 0.0)
        assert not queue.put(an_origin(1), 0.1)
        assert queue.next_batch() == (an_origin(1),)
        queue.written()
        assert not queue.put(an_origin(1), 1.0)
        assert queue.is_empty

    def test_a_stream_that_lasts_is_written_again(self) -> None:
        queue = OriginQueue()
        queue.put(an_origin(1), 0.0)
        queue.next_batch()
        assert queue.put(an_origin(1), KEEP_S / 2)

    def test_a_stream_at_another_version_is_disputed_until_written(
        self,
    ) -> None:
        """Guards against callers who get events that the store denies."""
        queue = OriginQueue()
        queue.put(an_origin(1, "v1"), 0.0)
        queue.next_batch()
        queue.put(an_origin(1, "v2"), 0.1)
        assert queue.is_disputed(1)
        queue.written()  # The first one.
        assert queue.is_disputed(1)
        assert queue.next_batch() == (an_origin(1, "v2"),)
        assert queue.is_disputed(1)
        queue.written()
        assert not queue.is_disputed(1)

    def test_an_origin_that_was_not_sent_is_replaced(self) -> None:
        queue = OriginQueue()
        queue.put(an_origin(1, "v1"), 0.0)
        queue.put(an_origin(1, "v2"), 0.1)
        assert not queue.is_disputed(1)
        assert queue.next_batch() == (an_origin(1, "v2"),)

    def test_a_stream_whose_version_is_not_known_is_disputed(self) -> None:
        queue = OriginQueue()
        assert not queue.put(an_origin(1, ""), 0.0)
        queue.put(an_origin(1), 0.0)
        queue.next_batch()
        queue.put(an_origin(1, ""), 0.1)
        assert queue.is_disputed(1)

    def test_it_is_bounded_while_the_store_is_away(self) -> None:
        queue = OriginQueue()
        for stream in range(MAX_WAITING + 10):
            queue.put(an_origin(stream), 0.0)
        first = queue.next_batch()[0]
        assert first.stream == 10
        queue.sweep(KEEP_S + 1.0)
        assert not queue.is_disputed(10)

    @pytest.mark.parametrize(
        ("routers", "writes_per_s"), ((4, 400), (27, 1200), (340, 3200))
    )
    def test_all_routers_stay_within_their_share_of_the_calls(
        self, routers: int, writes_per_s: float
    ) -> None:
        calls_per_s = routers / write_interval_s(routers, writes_per_s)
        assert calls_per_s <= 0.2 * writes_per_s * 1.001


class StoredSuite:
    """Origins that were read from the store."""

    def test_what_was_read_earlier_is_not_told_or_believed_unasked(
        self,
    ) -> None:
        """Guards against the origin of an attempt that another one followed.

        A router reads the store, the first attempt of a stream fails, and
        its next one begins it at another version.
        """
        origins = StreamOrigins("10.0.0.1", tuple)
        origins.apply_stored((an_origin(1, "v1"),), 0.0)
        assert origins.find(1, 0.1) is None
        told: list[StreamOrigin] = []

        class Notifier:
            def send_origin(self, host: str, origin: StreamOrigin) -> None:
                told.append(origin)

            def ask_origin(self, host: str, stream: int) -> None:
                pass

        origins.notifier = Notifier()
        asked = PeerUpdate("front-2", 1, "10.0.0.2", asked_origins=(1,))
        origins.apply_update(asked, 0.1)
        assert told == []
        origins.apply_stored((an_origin(1, "v2"),), 0.2)
        stored = origins.find_stored(1, 0.2)
        assert stored is not None
        assert stored.origin.version == "v2"
        assert origins.find_stored(1, KEEP_S + 1.0) is None


class CodecSuite:
    def test_records_of_several_versions(self) -> None:
        origins = {an_origin(-(2**63)), an_origin(7, "v2"), an_origin(8, "")}
        assert set(decode_origins(encode_origins(origins))) == origins

    @pytest.mark.parametrize(
        "record", (b"", b"1", b"\xff", b"\x91\x93\xa1s\xa1v\xc4\x01x")
    )
    def test_malformed_records(self, record: bytes) -> None:
        with pytest.raises(ValueError, match="malformed"):
            decode_origins(record)


class StoreSuite:
    """The client's calls, over HTTP against the stand-in."""

    @staticmethod
    @asynccontextmanager
    async def started() -> AsyncIterator[tuple[KeyedLog, StoreClient]]:
        loop = asyncio.get_running_loop()
        log = KeyedLog(loop.time)
        await log.start()
        pool = Pool("127.0.0.1", log.port, loop.time)
        try:
            yield log, StoreClient(pool, lambda name, success: None)
        finally:
            pool.close()
            await log.stop()

    async def test_partitions_are_apart(self) -> None:
        async with self.started() as (_, client):
            await client.append("origins", "a", b"x", 1)
            await client.append("origins", "b", b"y", 2)
            batch = await client.read_retained("origins", 2, 0)
        assert [each.key for each in batch.records] == ["b"]
        assert batch.next_offset == batch.end_offset == 1

    async def test_a_topic_that_does_not_exist_is_empty(self) -> None:
        async with self.started() as (log, client):
            log.faults.unknown_topics = True
            batch = await client.read_retained("origins", 0, 5)
        assert (batch.records, batch.next_offset) == ((), 0)

    async def test_reading_goes_on_after_records_that_expired(self) -> None:
        async with self.started() as (log, client):
            await client.append("origins", "a", b"x")
            log.trim("origins")
            await client.append("origins", "b", b"y")
            batch = await client.read_retained("origins", 0, 0)
        assert [each.key for each in batch.records] == ["b"]
        assert batch.next_offset == 2

    async def test_appends_are_carried_out_in_turn(self) -> None:
        """Guards against a late append that replaces a newer one."""
        async with self.started() as (log, client):
            first, second = Turn("r-1", 1, 1), Turn("r-1", 1, 2)
            log.faults.lose_answers = True
            with pytest.raises(StoreError):
                await client.append("origins", "a", b"x", 0, first)
            log.faults.lose_answers = False
            await client.append("origins", "a", b"x", 0, first)
            await client.append("origins", "a", b"y", 0, second)
            for late in (Turn("r-1", 1, 9), Turn("r-1", 0, 3)):
                with pytest.raises(OutOfTurnError):
                    await client.append("origins", "a", b"z", 0, late)
            await client.append("origins", "a", b"w", 0, Turn("r-1", 2, 1))
            batch = await client.read_retained("origins", 0, 0)
        values = [each.value for each in batch.records]
        assert values == [b"x", b"y", b"w"]


class AwaySuite:
    """The store is away, or was, as all routers end amid a release."""

    @staticmethod
    def plays(away: tuple[float, float]) -> Iterator[VersionHistory]:
        for changes in (RELEASE, HALF):
            for seed in (1, 2):
                yield play_versions(
                    VersionPlan(
                        changes=changes,
                        faults=(all_killed(6.0),),
                        store_away=(away,),
                        background_per_s=0.1,
                        end_s=14.0,
                        seed=seed,
                    )
                )

    @pytest.mark.parametrize(
        "away",
        ((3.0, 5.0), (5.5, 6.2), (5.9, 6.7), (6.4, 8.0)),
        ids=("before", "at the end", "around", "at the start"),
    )
    def test_no_stream_crosses(self, away: tuple[float, float]) -> None:
        for history in self.plays(away):
            assert history.crossings() == []
            assert history.gaps() == []

    def test_origins_that_were_held_up_are_written_later(self) -> None:
        """Guards against a store that is given up after one failure."""
        for history in self.plays((4.0, 5.5)):
            taken_up = history.serving_take_ups(6.5)
            went_on = [each for each in taken_up if each.events or each.whole]
            assert 2 * len(went_on) >= len(taken_up) > 0
