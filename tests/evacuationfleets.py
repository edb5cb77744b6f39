"""Routers and endpoints in two zones, of which operators evacuate some."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Final, cast

from bulrushstream.daemon import evacuating
from bulrushstream.daemon.watch import TopicWatch
from bulrushstream.protocol.keyedstore import (
    Batch,
    KeyedRecord,
    KeyedStore,
    StoreError,
)
from bulrushstream.state.routes import EndpointEntry
from tests.crashfleets import CrashFleet, StoreWork
from tests.crashplans import CrashHistory, CrashPlan
from tests.crashrouters import Router
from tests.virtualnetwork import NetworkLoop

ZONES: Final = ("a", "b")  # Endpoints with even numbers are in the first one.
STORE_ONE_WAY_S: Final = 0.003


@dataclass(slots=True)
class OperatorTopic:
    """The operators' topic, with records that may be compacted away."""

    values: dict[str, bytes] = field(default_factory=dict)
    records: list[KeyedRecord] = field(default_factory=list)
    first_offset: int = 0
    resets: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)

    def put(self, key: str, value: bytes | None) -> None:
        self.records.append(KeyedRecord(key, value, self.end_offset))
        self.values.pop(key, None)
        if value is not None:
            self.values[key] = value
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Delete all records but the newest of each key that exists."""
        self.first_offset = self.end_offset
        self.records.clear()

    def reset(self) -> None:
        """Lose everything, as a store that starts anew; reads break."""
        self.resets += 1
        self.values.clear()
        self.records.clear()
        self.first_offset = 0


@dataclass(slots=True)
class TopicReader:
    """One router's access to the topic; implements reads of `KeyedStore`."""

    topic: OperatorTopic
    away: bool = False

    async def newest(self, name: str) -> tuple[dict[str, bytes], int]:
        await self._pass()
        return dict(self.topic.values), self.topic.end_offset

    async def read(
        self, name: str, offset: int, wait_s: float
    ) -> Batch | None:
        topic, resets = self.topic, self.topic.resets
        await self._pass()
        if offset == topic.end_offset:
            waiting = asyncio.ensure_future(topic.changed.wait())
            await asyncio.wait([waiting], timeout=wait_s)
            waiting.cancel()
        await self._pass()
        if resets != topic.resets:
            raise StoreError("reset")
        if offset < topic.first_offset:
            return None
        found = tuple(topic.records[offset - topic.first_offset :])
        return Batch(found, 0, offset + len(found), topic.end_offset)

    async def _pass(self) -> None:
        await asyncio.sleep(STORE_ONE_WAY_S)
        if self.away:
            raise StoreError("away")


def watch_topic(router: Router, reader: TopicReader) -> TopicWatch:
    """Return the task that follows the topic for a router."""
    front = router.front
    clock = asyncio.get_running_loop().time
    return TopicWatch(
        cast(KeyedStore, reader),
        "op",
        0.0,
        clock,
        partial(evacuating.apply_records, front),
        front.fleet_state.evacuations.confirmed,
        lambda reason: None,
        _fail,
        Random(1),
        lists_after_failures=True,
    )


def _fail(error: Exception) -> None:
    raise error


@dataclass(frozen=True, slots=True)
class EvacuationPlan(CrashPlan):
    """A run in which operators write and delete keys."""

    # Times, keys and values; None: it is deleted.
    keys: tuple[tuple[float, str, bytes | None], ...] = ()
    # Times and routers that reach the store no more, or again.
    losses: tuple[tuple[float, int], ...] = ()
    returns: tuple[tuple[float, int], ...] = ()
    mute: tuple[str, ...] = ()  # Zones to whose endpoints connections hang.


class EvacuationFleet(CrashFleet):
    """The routers and endpoints of one run."""

    def __init__(self, plan: EvacuationPlan) -> None:
        super().__init__(plan)
        self._plan = plan
        self._topic = OperatorTopic()
        self._readers = [TopicReader(self._topic) for _ in range(plan.routers)]
        self.zones: dict[
            str, str
        ] = {}  # By endpoint, also of those that ended.

    async def _play(self, loop: NetworkLoop) -> None:
        await super()._play(loop)
        tasks = [task for each in self._store_tasks.values() for task in each]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)  # Reads that were cancelled end, too.

    def schedule(self) -> None:
        super().schedule()
        for at_s, key, value in self._plan.keys:
            self.loop.call_later(at_s, self._topic.put, key, value)
        for at_s, number in self._plan.losses:
            self.loop.call_later(at_s, self._set_away, number, True)
        for at_s, number in self._plan.returns:
            self.loop.call_later(at_s, self._set_away, number, False)

    def store_work(self, router: Router) -> StoreWork:
        number = int(router.front.settings.instance.rsplit("-", 1)[1])
        watch = watch_topic(router, self._readers[number])
        return (*super().store_work(router), watch.run())

    def _set_away(self, number: int, away: bool) -> None:
        self._readers[number].away = away

    def _set_entry(self, name: str, entry: EndpointEntry | None) -> None:
        if entry is not None:
            zone = ZONES[self.endpoints[name].number % len(ZONES)]
            entry = replace(entry, availability_zone=zone)
            self.zones[name] = zone
            if zone in self._plan.mute:
                self.loop.mute.add((entry.host, entry.port))
        super()._set_entry(name, entry)


def play_evacuation(
    plan: EvacuationPlan,
) -> tuple[CrashHistory, dict[str, list[tuple[float, int]]]]:
    """Play a plan; return its history, and by zone what arrived when."""
    fleet = EvacuationFleet(plan)
    history = fleet.run()
    arrivals: dict[str, list[tuple[float, int]]] = {zone: [] for zone in ZONES}
    for name, sent in history.arrivals.items():
        times = [(each.at_s, each.router) for each in sent]
        arrivals[fleet.zones[name]] += times
    return history, arrivals
