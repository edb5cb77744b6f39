"""Routers and endpoints in two zones, of which operators evacuate some."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Final, cast

from bulrushstream.daemon import evacuating
from bulrushstream.daemon.watch import TopicWatch
from bulrushstream.history.simulatedtopic import SimulatedTopic, TopicReader
from bulrushstream.protocol.keyedstore import KeyedStore
from bulrushstream.state.routes import EndpointEntry
from tests.crashfleets import CrashFleet, StoreWork
from tests.crashplans import CrashHistory, CrashPlan
from tests.crashrouters import Router
from tests.virtualnetwork import NetworkLoop

ZONES: Final = ("a", "b")  # Endpoints with even numbers are in the first one.


def watch_topic(router: Router, reader: TopicReader) -> TopicWatch:
    """Return the task that follows the topic for a router."""
    return TopicWatch(
        cast(KeyedStore, reader),
        "op",
        0.0,
        router.front.boot_clock,
        partial(evacuating.apply_records, router.front),
        router.front.fleet_state.evacuations.confirmed,
        lambda reason: None,
        _raise,
        Random(1),
        lists_after_failures=True,
    )


def _raise(error: Exception) -> None:
    raise error


@dataclass(frozen=True, slots=True)
class EvacuationPlan(CrashPlan):
    """A run in which operators write and delete keys."""

    # Times, keys and values; None: it is deleted.
    keys: tuple[tuple[float, str, bytes | None], ...] = ()
    losses: tuple[tuple[float, int], ...] = ()  # Who loses the store, when.
    mute: str = ""  # The zone to whose endpoints connections hang.


class EvacuationFleet(CrashFleet):
    """The routers and endpoints of one run."""

    def __init__(self, plan: EvacuationPlan) -> None:
        super().__init__(plan)
        self._plan = plan
        self._topic = SimulatedTopic()
        self._readers = [TopicReader(self._topic) for _ in range(plan.routers)]
        self.zones: dict[str, str] = {}  # By endpoint.

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
            lost = partial(setattr, self._readers[number], "away", True)
            self.loop.call_later(at_s, lost)

    def store_work(self, router: Router) -> StoreWork:
        number = int(router.front.settings.instance.rsplit("-", 1)[1])
        watch = watch_topic(router, self._readers[number])
        return (*super().store_work(router), watch.run())

    def _set_entry(self, name: str, entry: EndpointEntry | None) -> None:
        if entry is not None:
            zone = ZONES[self.endpoints[name].number % len(ZONES)]
            entry = replace(entry, availability_zone=zone)
            self.zones[name] = zone
            if zone == self._plan.mute:
                self.loop.mute.add((entry.host, entry.port))
        super()._set_entry(name, entry)


def play_evacuation(
    plan: EvacuationPlan,
) -> tuple[CrashHistory, list[tuple[float, int]]]:
    """Return a run's history, and when who sent to the first zone."""
    fleet = EvacuationFleet(plan)
    history = fleet.run()
    found = [name for name, zone in fleet.zones.items() if zone == ZONES[0]]
    sent = [each for name in found for each in history.arrivals[name]]
    return history, [(each.at_s, each.router) for each in sent]
