"""What routers learn from each other while the platform's store is away.

A router gives its peers the configuration, the age of its proof and the
list of endpoints, as it read them.  One whose own proof grows old, or that
started without the store, asks a peer for them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from bulrushstream.daemon.front import Front
from bulrushstream.state.effect import Decision
from bulrushstream.transport.httpcall import Answer, CallError, call
from bulrushstream.transport.ingress import Exchange
from bulrushstream.transport.upstream import Pool

# A router asks a peer if its own proof is older than this: two reads of the
# store, each of which waits for 1.5 s, may give none before.
ASK_AGE_S: Final = 2.2
ASK_TIMEOUT_S: Final = 0.4

_CONFIG: Final = b"/config?than="
_ENDPOINTS: Final = b"/endpoints"
_AGE_HEADER: Final = b"bulrushstream-config-age-ms"
_VERSION_HEADER: Final = b"bulrushstream-config-version"

# Rounds an age up, and stands for one that is not known.
_MAX_AGE_S: Final = 1e6


@dataclass(slots=True)
class Recovery:
    """One router's side of the exchange."""

    front: Front  # The router.
    clock: Callable[[], float]  # The time in seconds.
    boot_clock: Callable[[], float]  # Counts while suspended.
    rng: random.Random  # Picks a peer.
    port: int  # Where every router answers.
    take_config: Callable[[bytes], None]  # Takes a configuration.
    take_endpoints: Callable[[dict[str, bytes]], None]  # Takes a list.
    config: bytes = b""  # The configuration in force, as it was read.
    entries: dict[str, bytes] = field(default_factory=dict)  # By endpoint.
    _pools: dict[str, Pool] = field(default_factory=dict)

    def answer(self, exchange: Exchange) -> bool:
        """Answer a peer; return whether it asked for something here.

        :param exchange: the peer's request
        """
        if exchange.target.startswith(_CONFIG):
            self._give_config(exchange)
        elif exchange.target == _ENDPOINTS and self.front.listed:
            exchange.answer(200, [], msgspec.json.encode(self.entries))
        elif exchange.target == _ENDPOINTS:
            exchange.answer(503, [])
        else:
            return False
        return True

    async def ask(self) -> None:
        """Ask a peer for what this router lacks, if it lacks anything."""
        front = self.front
        age_s = front.freshness.age_s(self.boot_clock())
        if age_s < ASK_AGE_S and front.listed:
            return
        hosts = [peer.host for peer in front.fleet.peers.values()]
        hosts = hosts or list(front.fleet.hosts)
        if not hosts:
            return
        host = self.rng.choice(hosts)
        await self._ask_config(host)
        if not front.listed:
            await self._ask_endpoints(host)

    def _give_config(self, exchange: Exchange) -> None:
        """Give a peer the configuration, if it has another one."""
        table = self.front.table
        if table is None or not self.config:
            exchange.answer(503, [])
            return
        age_s = self.front.freshness.age_s(self.boot_clock())
        version = b"%d" % table.config.version
        headers = [
            (_AGE_HEADER, b"%d" % int(min(age_s, _MAX_AGE_S) * 1000 + 1)),
            (_VERSION_HEADER, version),
        ]
        same = exchange.target.removeprefix(_CONFIG) == version
        exchange.answer(200, headers, b"" if same else self.config)

    async def _ask_config(self, host: str) -> None:
        """Ask a peer for its configuration and its proof."""
        front = self.front
        sent_s = self.boot_clock()
        target = f"{_CONFIG.decode()}{self._version()}"
        answer = await self._call(host, target)
        if answer is None:
            return
        headers = {name.lower(): value for name, value in answer.headers}
        age, told = headers.get(_AGE_HEADER), headers.get(_VERSION_HEADER)
        if age is None or told is None:
            return
        if answer.body:
            self.take_config(answer.body)
        if self._version() >= int(told):
            front.freshness.confirm(sent_s - int(age) / 1000.0)

    async def _ask_endpoints(self, host: str) -> None:
        """Ask a peer for the list of endpoints."""
        answer = await self._call(host, _ENDPOINTS.decode())
        if answer is None or self.front.listed:
            return
        try:
            entries = msgspec.json.decode(answer.body, type=dict[str, bytes])
        except msgspec.DecodeError as error:
            self.front.report("peer_silent", f"{host}: {error}")
            return
        self.take_endpoints(entries)
        self.front.observe(
            Decision(
                "endpoints_from_peer",
                "started without the store",
                inputs={"peer": host, "endpoints": len(entries)},
            )
        )

    async def _call(self, host: str, target: str) -> Answer | None:
        """Call a peer; return None unless it gave what was asked."""
        pool = self._pools.get(host)
        if pool is None:
            pool = self._pools[host] = Pool(host, self.port, self.clock)
        try:
            answer = await call(pool, "GET", target, timeout_s=ASK_TIMEOUT_S)
        except CallError as error:
            pool.drop_idle()
            self.front.report("peer_silent", f"{host}: {error}")
            return None
        return answer if answer.status == 200 else None

    def _version(self) -> int:
        """Return the version in force; -1: none."""
        table = self.front.table
        return table.config.version if table is not None else -1
