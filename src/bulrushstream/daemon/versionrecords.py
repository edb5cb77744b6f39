"""Records in the store which services have several software versions.

A router that starts does not know which versions served before, and if all
start at once no other one does either.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.streamorigins import KEEPERS, rank_hosts
from bulrushstream.daemon.front import Front
from bulrushstream.protocol.keyedstore import KeyedStore, StoreError

CHECK_INTERVAL_S: Final = 0.25
RETRY_S: Final = 0.5

_VALUE: Final = b"1"


@dataclass(slots=True)
class VersionRecords:
    """Reads the records once and keeps them up to date."""

    store: KeyedStore
    topic: str
    front: Front
    _recorded: set[str] = field(default_factory=set)  # Services.

    async def run(self) -> None:
        """Follow the services' versions until cancelled."""
        loaded = False
        while True:
            try:
                if not loaded:
                    await self._load()
                    loaded = True
                await self._update()
                await asyncio.sleep(CHECK_INTERVAL_S)
            except StoreError:
                await asyncio.sleep(RETRY_S)

    async def _load(self) -> None:
        """Read the services that had several versions lately."""
        history = self.front.streams.history
        services, _ = await self.store.newest(self.topic)
        self._recorded.update(
            name for name, value in services.items() if value
        )
        history.told(self._recorded, "store")
        history.complete = True

    async def _update(self) -> None:
        """Write what has changed, if this router is one that writes."""
        history = self.front.streams.history
        for service in history.listed_with_several():
            if service not in self._recorded and self._writes(service):
                await self.store.append(self.topic, service, _VALUE)
                self._recorded.add(service)
        for service in list(self._recorded):
            if history.had_several(service):
                continue
            if self._writes(service):
                await self.store.append(self.topic, service, b"")
            self._recorded.discard(service)

    def _writes(self, service: str) -> bool:
        """Return whether this router is one of those that write a record."""
        front = self.front
        hosts = {front.settings.host, *front.peers.live_hosts()}
        ranked = rank_hosts(hosts, service.encode())
        return front.settings.host in ranked[:KEEPERS]
