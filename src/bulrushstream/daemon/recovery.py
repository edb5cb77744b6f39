"""Recovery of configuration and endpoint list from peers in a store outage.

A router serves its peers the configuration and the endpoint list as it read
them, and the age of its confirmation (the last store read that found nothing
newer).  A router whose own confirmation is too old, or that started while
the store was down, queries a peer for them.
"""

from __future__ import annotations

import base64
import binascii
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from bulrushstream.daemon.front import Front
from bulrushstream.protocol.peercodec import (
    DatagramError,
    decode_update,
    encode_update,
)
from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.effect import Decision
from bulrushstream.state.excess import PeerKind
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.httpcall import (
    Answer,
    CallError,
    CallLimits,
    call,
)
from bulrushstream.transport.upstream import Pool

# A router queries a peer if its own confirmation is older than this.  Before
# that, two reads of the store, which wait for up to 1.5 s each, may not have
# given a newer one.
MAX_CONFIRMATION_AGE_S: Final = 2.2
PEER_TIMEOUT_S: Final = 0.4

# A peer's endpoint list has some hundred bytes for each of many thousands.
MAX_ANSWER_BYTES: Final = 8 * 2**20

_CONFIG: Final = b"/config?than="
_ENDPOINTS: Final = b"/endpoints"
_AGE_HEADER: Final = b"bulrushstream-config-age-ms"
_VERSION_HEADER: Final = b"bulrushstream-config-version"
# An update with the evacuated zones, in base64; missing: none are known.
_EVACUATIONS_HEADER: Final = b"bulrushstream-evacuations"

_NUMBER: Final = re.compile(rb"[0-9]{1,19}")

# Upper limit of the age sent to a peer; stands for an unknown age.
_MAX_AGE_S: Final = 1e6


@dataclass(slots=True)
class Recovery:
    """Answers peers' queries and queries peers, for one router."""

    front: Front
    clock: Callable[[], float]  # The event loop's time, in seconds.
    boot_clock: Callable[[], float]  # Also runs while suspended; seconds.
    rng: random.Random  # Picks the peer to query.
    port: int  # The service port, the same on every router.
    apply_config: Callable[[bytes], None]
    apply_endpoints: Callable[[dict[str, bytes]], None]  # Entries by id.
    config: bytes = b""  # The current configuration, as read; empty: none.
    entries: dict[str, bytes] = field(default_factory=dict)  # By endpoint.
    _pools: dict[str, Pool] = field(default_factory=dict)

    def answer_peer(self, exchange: Exchange) -> bool:
        """Answer a peer's query.

        :param exchange: the peer's request
        :returns: False if the request is not a recovery query
        """
        if exchange.target.startswith(_CONFIG):
            self._answer_config(exchange)
        elif exchange.target == _ENDPOINTS and self.front.endpoints_listed:
            body = msgspec.json.encode(self.entries)
            exchange.answer(200, self._evacuation_headers(), body)
        elif exchange.target == _ENDPOINTS:
            exchange.answer(503, [])
        else:
            return False
        return True

    async def query_peer(self) -> None:
        """Query a peer if the confirmation is too old or the list missing."""
        front = self.front
        age_s = front.freshness.age_s(self.boot_clock())
        if age_s < MAX_CONFIRMATION_AGE_S and front.endpoints_listed:
            return
        hosts = [peer.host for peer in front.peers.peers.values()]
        hosts = hosts or list(front.peers.hosts)
        if not hosts:
            return
        host = self.rng.choice(hosts)
        await self._fetch_config(host)
        if not front.endpoints_listed:
            await self._fetch_endpoints(host)

    def _answer_config(self, exchange: Exchange) -> None:
        """Answer with the confirmation's age, and the configuration.

        The configuration is left out if the peer has the same version.
        """
        table = self.front.table
        if table is None or not self.config:
            exchange.answer(503, [])
            return
        age_s = self.front.freshness.age_s(self.boot_clock())
        version = b"%d" % table.config.version
        headers = [
            (_AGE_HEADER, b"%d" % int(min(age_s, _MAX_AGE_S) * 1000 + 1)),
            (_VERSION_HEADER, version),
            *self._evacuation_headers(),
        ]
        same = exchange.target.removeprefix(_CONFIG) == version
        exchange.answer(200, headers, b"" if same else self.config)

    async def _fetch_config(self, host: str) -> None:
        """Fetch a peer's configuration and its confirmation's age."""
        front = self.front
        sent_s = self.boot_clock()
        target = f"{_CONFIG.decode()}{self._version()}"
        answer = await self._call(host, target)
        if answer is None:
            return
        headers = {name.lower(): value for name, value in answer.headers}
        age, version = (
            headers.get(name, b"") for name in (_AGE_HEADER, _VERSION_HEADER)
        )
        if not _NUMBER.fullmatch(age) or not _NUMBER.fullmatch(version):
            return
        self._apply_evacuations(host, answer)
        if answer.body:
            self.apply_config(answer.body)
        if self._version() >= int(version):
            front.freshness.confirm(sent_s - int(age) / 1000.0)

    async def _fetch_endpoints(self, host: str) -> None:
        """Fetch the endpoint list from a peer."""
        answer = await self._call(host, _ENDPOINTS.decode())
        if answer is None or self.front.endpoints_listed:
            return
        try:
            entries = msgspec.json.decode(answer.body, type=dict[str, bytes])
        except DECODE_ERRORS as error:
            self.front.report("peer_silent", f"{host}: {error}")
            return
        self._apply_evacuations(host, answer)
        self.apply_endpoints(entries)
        self.front.observe(
            Decision(
                "endpoints_from_peer",
                "endpoint list not yet read from the store",
                inputs={"peer": host, "endpoints": len(entries)},
            )
        )

    def _evacuation_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header that tells a peer of evacuated zones.

        A router that starts without the store would otherwise serve before
        the first heartbeat of a peer tells it.
        """
        evacuations = self.front.fleet_state.evacuations
        report = evacuations.to_repeat(self.boot_clock())
        if report is None:
            return []
        settings = self.front.settings
        update = PeerUpdate(
            settings.instance, 0, settings.host, evacuations=report
        )
        value = base64.b64encode(encode_update(update))
        return [(_EVACUATIONS_HEADER, value)]

    def _apply_evacuations(self, host: str, answer: Answer) -> None:
        """Apply the evacuated zones that a peer's answer names."""
        headers = {name.lower(): value for name, value in answer.headers}
        value = headers.get(_EVACUATIONS_HEADER)
        if value is None:
            return
        try:
            update = decode_update(base64.b64decode(value, validate=True))
        except (binascii.Error, DatagramError) as error:
            self.front.report("peer_silent", f"{host}: {error}")
            return
        self.front.fleet_state.evacuations.apply_update(update)

    async def _call(self, host: str, target: str) -> Answer | None:
        """Call a peer; return its answer, or None unless that is a 200."""
        pool = self._pools.get(host)
        if pool is None:
            pool = self._pools[host] = Pool(
                host,
                self.port,
                self.clock,
                on_excess=self.front.peer_exceeded,
                peer=PeerKind.ROUTER,
            )
        limits = CallLimits(
            PEER_TIMEOUT_S, MAX_ANSWER_BYTES, self.front.memory
        )
        try:
            answer = await call(pool, "GET", target, limits=limits)
        except CallError as error:
            pool.drop_idle()
            self.front.report("peer_silent", f"{host}: {error}")
            return None
        return answer if answer.status == 200 else None

    def _version(self) -> int:
        """Return the current configuration's version; -1: none."""
        table = self.front.table
        return table.config.version if table is not None else -1
