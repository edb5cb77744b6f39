"""Entries that are missing from the endpoint list, around outages.

Guards against a router that uses an endpoint long after its entry was
removed, as the store had been away, and against one that drops endpoints
which live, as their entries had expired meanwhile.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Final

import pytest

from bulrushstream.daemon.endpointlist import EndpointList
from bulrushstream.daemon.frontprocess import ENDPOINTS_INTERVAL_S
from bulrushstream.daemon.watch import TopicWatch
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.platform.store import CALL_TIMEOUT_S
from bulrushstream.protocol.keyedstore import Batch, KeyedRecord, StoreError
from tests.crashplans import CrashPlan
from tests.crashrouters import make_router
from tests.deployments import wire_entry

DRAIN_S: Final = 2.0  # From a removal until the last request.
CONTACT_S: Final = 3.0  # From the end of an outage until bounds hold.
RETURN_S: Final = 1.8  # Until live endpoints have entered themselves again.
HEARTBEAT_S: Final = 1.2
ONE_WAY_S: Final = 0.002
STEP_S: Final = 0.01


class How(StrEnum):
    """What a store that is away does with calls."""

    SILENT = "silent"  # There is no answer.
    BUSY = "busy"  # It refuses them at once.
    RESET = "reset"  # It resets the connections.


@dataclass(slots=True)
class ListStore:
    """The store's endpoint list, as one router can read it."""

    how: How
    away_s: tuple[float, float]  # Begin and end of the outage.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    records: list[KeyedRecord] = field(default_factory=list)

    def is_away(self) -> bool:
        begin_s, end_s = self.away_s
        return begin_s <= asyncio.get_running_loop().time() < end_s

    def put(self, key: str, value: bytes | None) -> None:
        self.records.append(KeyedRecord(key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        values = {each.key: each.value for each in self.records}
        found = {key: value for key, value in values.items() if value}
        return found, len(self.records)

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Batch | None:
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + wait_s + CALL_TIMEOUT_S
        until_s = loop.time() + wait_s
        await self._pass(give_up_s)
        while len(self.records) <= offset and loop.time() < until_s:
            times_s = [until_s, *(each for each in self.away_s)]
            next_s = min(each for each in times_s if each > loop.time())
            waiting = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait([waiting], timeout=next_s - loop.time())
            waiting.cancel()
            await self._pass(give_up_s)
        await self._pass(give_up_s)
        end = len(self.records)
        return Batch(tuple(self.records[offset:]), 0, end, end)

    async def _pass(self, give_up_s: float) -> None:
        """Take a message over the network, or fail as the outage does."""
        loop = asyncio.get_running_loop()
        if self.is_away():
            if self.how is How.SILENT:
                await asyncio.sleep(give_up_s - loop.time())
            raise StoreError(self.how.value)
        await asyncio.sleep(ONE_WAY_S)

    async def read_retained(self, topic: str, part: int, offset: int) -> Batch:
        raise NotImplementedError

    async def append(self, *args: object, **options: object) -> int:
        raise NotImplementedError


@dataclass(slots=True)
class Follower:
    """A router that follows the list of a store."""

    store: ListStore
    seen: list[tuple[float, set[str]]] = field(default_factory=list)

    async def follow(self, changes: dict[float, tuple[str, bool]]) -> None:
        """Follow the list; change entries at the given times."""
        loop = asyncio.get_running_loop()
        router = make_router(
            1,
            1,
            CrashPlan(),
            loop.time,
            lambda line: None,
            lambda host, data: None,
        )
        faults: list[Exception] = []
        found = EndpointList(router.front, faults.append, HEARTBEAT_S)
        watch = TopicWatch(
            self.store,
            "endpoints",
            ENDPOINTS_INTERVAL_S,
            loop.time,
            found.follow,
            lambda sent_s: found.confirm(),
            lambda reason: found.interrupt(),
            faults.append,
            Random(1),
        )
        found.request_read = watch.check
        tasks = [
            loop.create_task(watch.run()),
            loop.create_task(watch.run_checks()),
        ]
        for at_s, (name, there) in sorted(changes.items()):
            value = wire_entry("desk", 9) if there else None
            loop.call_at(at_s, self.store.put, name, value)
        end_s = max(changes) + CONTACT_S + DRAIN_S
        while loop.time() < end_s:
            self.seen.append((loop.time(), set(router.front.pool.by_name)))
            await asyncio.sleep(STEP_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)  # Reads that were cancelled end, too.
        assert faults == []

    def last_seen_s(self, name: str) -> float:
        """Return when an endpoint was last in use."""
        return max(at_s for at_s, names in self.seen if name in names)

    def gap_s(self, name: str, since_s: float) -> float:
        """Return for how long an endpoint was not in use."""
        missing = [
            at_s
            for at_s, names in self.seen
            if at_s > since_s and name not in names
        ]
        return len(missing) * STEP_S


def play(store: ListStore, changes: dict[float, tuple[str, bool]]) -> Follower:
    follower = Follower(store)
    assert run_virtually(follower.follow(changes)) == []
    return follower


class AbsenceSuite:
    @pytest.mark.parametrize("how", How)
    @pytest.mark.parametrize("seed", range(25))
    def test_a_removed_endpoint_is_not_used(self, how: How, seed: int) -> None:
        """Guards against an outage that delays later removals."""
        rng = Random(seed)
        begin_s = 3.0 + rng.random() * 2.0
        end_s = begin_s + rng.choice((0.8, 1.5, 3.0, 4.5, 8.0))
        changes = {0.0: ("a", True)}
        removed_s = {}
        for number in range(12):
            changes[0.001 * (number + 1)] = (f"b{number}", True)
            at_s = begin_s - 1.0 + rng.random() * (end_s - begin_s + 6.0)
            changes[at_s] = (f"b{number}", False)
            removed_s[f"b{number}"] = at_s
        follower = play(ListStore(how, (begin_s, end_s)), changes)
        for name, at_s in removed_s.items():
            bound_s = at_s + DRAIN_S
            if at_s >= begin_s - DRAIN_S:
                bound_s = max(bound_s, end_s + CONTACT_S)
            assert follower.last_seen_s(name) < bound_s
            if at_s >= end_s + CONTACT_S:
                # Nothing of the outage is left.
                late_s = ENDPOINTS_INTERVAL_S + 4 * STEP_S
                assert follower.last_seen_s(name) < at_s + late_s
        assert follower.gap_s("a", 2.0) == 0.0

    @pytest.mark.parametrize("how", How)
    @pytest.mark.parametrize("seed", range(60))
    def test_a_live_endpoint_is_kept(self, how: How, seed: int) -> None:
        """Guards against the loss of endpoints whose entries expired."""
        rng = Random(seed)
        begin_s = 3.0 + rng.random() * 2.0
        end_s = begin_s + rng.choice((2.45, 2.6, 2.8, 3.0, 4.5, 8.0))
        changes = {0.0: ("b", True), end_s + RETURN_S: ("b", True)}
        for number in range(6):
            name = f"a{number}"
            first_s = begin_s + 2 * HEARTBEAT_S
            changes[0.001 * (number + 1)] = (name, True)
            changes[first_s + rng.random() * (end_s - first_s)] = (name, False)
            changes[end_s + rng.random() * RETURN_S] = (name, True)
        follower = play(ListStore(how, (begin_s, end_s)), changes)
        for number in range(6):
            assert follower.gap_s(f"a{number}", 2.0) == 0.0

    def test_a_removal_without_an_outage_holds_at_once(self) -> None:
        changes = {0.0: ("a", True), 0.001: ("b", True), 5.0: ("b", False)}
        follower = play(ListStore(How.SILENT, (90.0, 91.0)), changes)
        late_s = ENDPOINTS_INTERVAL_S + 4 * STEP_S
        assert follower.last_seen_s("b") < 5.0 + late_s
