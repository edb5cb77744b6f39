"""Records in the store of the software versions of services.

A router that starts does not know which versions served before, and if all
start at once no other one does either.  The record of a service names the
version that serves, so that a router notices if it was replaced while none
ran; or it says that there were several versions lately.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final

from bulrushstream.coordination.rendezvous import rank_hosts
from bulrushstream.coordination.streamorigins import KEEPERS
from bulrushstream.coordination.versionhistory import STORE
from bulrushstream.daemon.front import Front
from bulrushstream.daemon.originrecords import OriginRecords
from bulrushstream.protocol.keyedstore import KeyedStore, StoreError

CHECK_INTERVAL_S: Final = 0.25
RETRY_S: Final = 0.5

# A router knows its peers this long after its start; then one of them writes
# which version serves.
SETTLE_S: Final = 1.5

_SEVERAL: Final = b"1"
_ONE_PREFIX: Final = b"="


@dataclass(slots=True)
class VersionRecords:
    """Reads the records when needed and keeps them up to date."""

    store: KeyedStore
    topic: str
    front: Front
    _records: dict[str, bytes] = field(default_factory=dict)  # By service.
    _several_seen: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self) -> None:
        """Follow the services' versions until cancelled."""
        history = self.front.streams.history
        history.on_several = self._several_seen.set
        started_s = self.front.clock()
        while True:
            try:
                if not history.complete:
                    await self._load()
                settled = self.front.clock() - started_s >= SETTLE_S
                await self._update(settled=settled)
            except StoreError:
                await asyncio.sleep(RETRY_S)
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._several_seen.wait()
            self._several_seen.clear()

    async def _load(self) -> None:
        """Read what served before, as the endpoint list does not show."""
        streams = self.front.streams
        whole_reads = streams.history.whole_reads
        await self._read()
        self._apply()
        streams.history.records_read(whole_reads)

    async def _read(self) -> None:
        """Read the records."""
        self._records, _ = await self.store.newest(self.topic)

    def _apply(self) -> None:
        """Take the records for what served until now."""
        streams = self.front.streams
        for service, record in self._records.items():
            if record[:1] == _ONE_PREFIX:
                version = record[1:].decode(errors="replace")
                streams.history.served_before(service, version)
            elif record:
                streams.history.told((service,), STORE)
        if any(map(streams.history.had_several, self._records)):
            streams.request_stored()

    async def _update(self, *, settled: bool) -> None:
        """Write what has changed, if this router is one that writes."""
        history = self.front.streams.history
        for service in history.streaming_services():
            if history.lists_several(service):
                record, writers = _SEVERAL, KEEPERS
            elif history.had_several(service) or not settled:
                continue
            else:
                version = history.only_version(service)
                if not version:
                    continue
                record, writers = _ONE_PREFIX + version.encode(), 1
            if self._records.get(service) == record:
                continue
            if not self._is_among(writers, service):
                continue
            known = self._records.get(service)
            if record != _SEVERAL:
                # A router that is out of step does not know what others wrote.
                await self._read()
            if self._records.get(service) != known:
                self._apply()
                continue
            await self.store.append(self.topic, service, record)
            self._records[service] = record

    def _is_among(self, count: int, service: str) -> bool:
        """Return whether this router is among the first writers."""
        front = self.front
        hosts = {front.settings.host, *front.peers.live_hosts()}
        ranked = rank_hosts(hosts, service.encode())
        return front.settings.host in ranked[:count]


def version_tasks(
    store: KeyedStore, front: Front
) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
    """Return what keeps versions and origins in the store up to date.

    :param store: the platform's store
    :param front: the router
    :returns: functions that each start a task, which runs until cancelled
    """
    topics = front.dialect.topics
    origins = OriginRecords(store, topics.stream_origins, front)
    versions = VersionRecords(store, topics.service_versions, front)
    return versions.run, origins.write, origins.read
