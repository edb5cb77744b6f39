"""The process of a routing router: its sockets, tasks and signals."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any, Final

from bulrushstream.coordination.fleetstate import SWEEP_S
from bulrushstream.daemon import knowledge
from bulrushstream.daemon.front import Front, Wiring
from bulrushstream.daemon.recovery import Recovery
from bulrushstream.daemon.watch import Snapshot, TopicWatch, repeat
from bulrushstream.metrics import CONTENT_TYPE, encode_metrics
from bulrushstream.protocol.dialect import DocumentError
from bulrushstream.protocol.keyedstore import Keyed, StoreError
from bulrushstream.state.effect import Decision
from bulrushstream.state.nodesettings import NodeSettings
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.transport.datagrams import HEARTBEAT_S, PeerPort
from bulrushstream.transport.ingress import Exchange, Ingress, IngressLimits

# Endpoints write often and matter within seconds; reads are gathered.
ENDPOINTS_INTERVAL_S: Final = 0.6

# How often the routers' topic is read again for routers not heard from.
ROUTERS_INTERVAL_S: Final = 15.0

# How often a router looks whether it has to ask a peer.
ASK_PEER_INTERVAL_S: Final = 0.4

# An endpoint that vanishes from the list within this time of an outage of
# the store may be back: the platform lets live ones return in two seconds.
RETURN_S: Final = 2.0

# How long callers are still taken after the router is not ready: the
# balancer asks every second and needs two misses.
BALANCER_NOTICE_S: Final = 2.2

# What is left of the platform's grace when the last requests are cut.
GRACE_MARGIN_S: Final = 0.6

SETTINGS_INTERVAL_S: Final = 1.0


def boot_clock() -> float:
    """Return a time that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FrontProcess:
    """One router's process."""

    def __init__(
        self, settings_path: str, settings: NodeSettings, wiring: Wiring
    ) -> None:
        """Make a process that runs nothing yet.

        :param settings_path: where the settings came from
        :param settings: the checked settings
        :param wiring: what the router is given beside them
        """
        self._path = settings_path
        self._settings = settings
        self._wiring = wiring
        self.front = Front(settings, wiring)
        self._port: PeerPort | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self.ports: list[int] = []  # Bound: callers, readiness, service.
        self._recovery = Recovery(
            front=self.front,
            clock=wiring.clock,
            boot_clock=wiring.boot_clock,
            rng=wiring.rng,
            port=settings.control_port,
            take_config=self._take_raw_config,
            take_endpoints=lambda found: self._take_endpoints(Snapshot(found)),
        )
        self._store_ok = True
        self._store_failed_s = float("-inf")
        self._vanished: dict[str, float] = {}
        self._dialect = wiring.dialect
        self.store = wiring.dialect.make_store(
            settings.store_address, wiring.clock, self._count_call
        )
        self._incarnation = time.time_ns() // 1_000_000

    async def start(self) -> None:
        """Listen, and start every task."""
        settings, front = self._settings, self.front
        loop = asyncio.get_running_loop()
        identity = PeerUpdate(
            settings.instance, self._incarnation, settings.host
        )
        port = PeerPort(
            identity,
            settings.peers_port,
            lambda update: front.state.take_update(
                update, self._wiring.clock()
            ),
            self._wiring.report,
        )
        port.hosts = front.fleet.told_hosts
        await loop.create_datagram_endpoint(
            lambda: port, local_addr=(settings.host, settings.peers_port)
        )
        self._port = port
        front.state.tell = port
        await self._listen(
            front.ingress,
            settings.caller_address.host,
            settings.caller_address.port,
        )
        await self._listen_small(
            self._answer_readiness, settings.readiness_address.port
        )
        await self._listen_small(self._answer_service, settings.control_port)
        topics = self._dialect.topics
        self._watch(
            topics.config, 0.0, self._take_config, front.freshness.confirm
        )
        self._watch(
            topics.endpoints, ENDPOINTS_INTERVAL_S, self._take_endpoints
        )
        self._spawn(self._join())
        self._spawn(repeat(HEARTBEAT_S, port.flush))
        self._spawn(repeat(SWEEP_S, self._sweep))
        if self._path:
            self._spawn(repeat(SETTINGS_INTERVAL_S, self.reload))
        self._spawn(repeat(ASK_PEER_INTERVAL_S, self._recovery.ask))
        self._wiring.observe(
            Decision(
                "start",
                "listening",
                inputs={
                    "incarnation": self._incarnation,
                    "callers": settings.caller_address.port,
                    "zone": settings.availability_zone,
                },
            )
        )

    async def stop(self) -> None:
        """Take no new work, finish what runs, and stop."""
        front = self.front
        begun_s = self._wiring.clock()
        front.draining = True
        self._wiring.observe(
            Decision(
                "stop",
                "told to stop",
                inputs={"requests": len(front.forwards)},
            )
        )
        front.ingress.closing = True
        for connection in front.ingress.connections:
            connection.closing = True
        end_s = begun_s + self._settings.grace_s - GRACE_MARGIN_S
        notice_s = begun_s + BALANCER_NOTICE_S
        while self._wiring.clock() < end_s:
            if self._wiring.clock() >= notice_s:
                self.close_door()
                if not front.forwards:
                    break
            await asyncio.sleep(0.05)
        for server in self._servers:
            server.close()
        for forward in list(front.forwards):
            forward.stop()
        if self._port is not None:
            self._port.leaving = True
            self._port.flush()
        await asyncio.sleep(0.05)
        for task in self._tasks:
            task.cancel()
        if self._port is not None:
            self._port.close()
        self._wiring.observe(Decision("stop", "stopped"))

    def close_door(self) -> None:
        """Take no more callers; those who are answered are not disturbed."""
        self.front.closed = True
        self._servers[0].close()
        self.front.ingress.close_idle()

    def reload(self) -> None:
        """Read the settings again and take over what may change."""
        found = self._dialect.read_settings(self._path)
        if not isinstance(found, NodeSettings):
            for finding in found:
                self._wiring.report("bad_settings", str(finding))
            return
        if found == self._settings:
            return
        self._settings = found
        self.front.reconfigure(found)
        self._wiring.observe(Decision("reload", "the settings changed"))

    # --- Sockets.

    async def _listen(self, ingress: Ingress, host: str, port: int) -> None:
        """Listen for HTTP."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            ingress.make_connection, host, port, backlog=1024
        )
        self._servers.append(server)
        self.ports.append(server.sockets[0].getsockname()[1])

    async def _listen_small(
        self, handle: Callable[[Exchange], None], port: int
    ) -> None:
        """Listen for the platform's and the peers' own questions."""
        limits = IngressLimits(connections=64)
        ingress = Ingress(handle, limits, self._wiring.clock)
        await self._listen(ingress, self._settings.host, port)

    def _answer_readiness(self, exchange: Exchange) -> None:
        """Tell the balancer whether to send callers."""
        exchange.answer(200 if self.front.ready else 503, [])

    def _answer_service(self, exchange: Exchange) -> None:
        """Answer for metrics, and a peer that asks for the configuration."""
        if exchange.target == b"/metrics":
            exchange.answer(
                200,
                [(b"content-type", CONTENT_TYPE.encode())],
                encode_metrics(self._wiring.metrics),
            )
        elif not self._recovery.answer(exchange):
            exchange.answer(404, [])

    # --- The store.

    def _watch(
        self,
        topic: str,
        interval_s: float,
        take: Callable[[Snapshot | Keyed], None],
        proven: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Start to follow a topic."""

        def good(sent_s: float) -> None:
            proven(sent_s)
            self._store_answered()

        watch = TopicWatch(
            self.store,
            topic,
            interval_s,
            self._wiring.boot_clock,
            take,
            good,
            self._store_failed,
            self._wiring.rng,
        )
        self._spawn(watch.run())

    def _count_call(self, name: str, good: bool) -> None:
        """Count a call of the store."""
        if not good:
            self._wiring.metrics.platform_failures.labels(name).inc()

    def _store_failed(self, why: str) -> None:
        """Note that a read of the store failed."""
        self._store_failed_s = self._wiring.clock()
        if self._store_ok:
            self._store_ok = False
            self._wiring.observe(Decision("dependency_lost", why))
            self._wiring.metrics.degraded.labels("store").set(1)

    def _store_answered(self) -> None:
        """Note that a read of the store went well."""
        if not self._store_ok:
            self._store_ok = True
            self._wiring.observe(Decision("dependency_back", "the store"))
            self._wiring.metrics.degraded.labels("store").set(0)

    def _take_config(self, found: Snapshot | Keyed) -> None:
        """Take a record of the operators."""
        key = self._dialect.topics.config_key
        if isinstance(found, Snapshot):
            data = found.values.get(key)
        else:
            data = found.value if found.key == key else None
        if data is not None:
            self._take_raw_config(data)

    def _take_raw_config(self, data: bytes) -> None:
        """Put a configuration in force if it is newer."""
        try:
            config = self._dialect.decode_config(
                data, lambda line: self._wiring.report("bad_config", line)
            )
        except DocumentError as error:
            self._wiring.report("bad_config", str(error))
            return
        if knowledge.take_config(self.front, config):
            self._recovery.config = data

    def _take_endpoints(self, found: Snapshot | Keyed) -> None:
        """Take what the list says of endpoints."""
        if isinstance(found, Keyed):
            self._take_endpoint(found.key, found.value)
            return
        for name, value in found.values.items():
            self._take_endpoint(name, value)
        for name in set(self.front.pool.by_name) - set(found.values):
            self._take_endpoint(name, None)
        self.front.listed = True

    def _take_endpoint(self, name: str, value: bytes | None) -> None:
        """Take what the list says of one endpoint."""
        if value is None:
            if name in self.front.pool.by_name:
                self._vanished.setdefault(name, self._wiring.clock())
            return
        try:
            entry = self._dialect.decode_entry(name, value)
        except DocumentError as error:
            self._wiring.report("bad_entry", f"{name}: {error}")
            return
        self._vanished.pop(name, None)
        self._recovery.entries[name] = value
        knowledge.take_entry(self.front, entry)

    def _sweep(self) -> None:
        """Forget what is over."""
        now_s = self._wiring.clock()
        for name, since_s in list(self._vanished.items()):
            outage_s = since_s - self._store_failed_s
            if outage_s > RETURN_S or now_s - since_s > RETURN_S:
                del self._vanished[name]
                self._recovery.entries.pop(name, None)
                knowledge.drop_entry(self.front, name)
        self.front.sweep()

    # --- Peers.

    async def _join(self) -> None:
        """Enter this router in the routers' topic, and learn of others."""
        settings, front = self._settings, self.front
        topic = self._dialect.topics.routers
        entered = False
        while True:
            try:
                if not entered:
                    await self.store.append(topic, settings.host, b"1")
                    entered = True
                hosts, _ = await self.store.newest(topic)
                now_s = self._wiring.clock()
                for host in hosts:
                    front.fleet.suggest(host, now_s)
            except StoreError as error:
                self._store_failed(str(error))
                await asyncio.sleep(self._wiring.rng.uniform(0.5, 1.0))
                continue
            await asyncio.sleep(ROUTERS_INTERVAL_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task until the process stops; a fault of it ends us."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Report a task that ended by a fault."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._wiring.report("fault", repr(task.exception()))


async def serve(
    path: str, make: Callable[[NodeSettings], Wiring], settings: NodeSettings
) -> int:
    """Run a router until it is told to stop.

    :param path: the settings file
    :param make: returns what the router is given beside its settings
    :param settings: the checked settings
    :returns: the exit code
    """
    loop = asyncio.get_running_loop()
    process = FrontProcess(path, settings, make(settings))
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    await process.start()
    await stopping.wait()
    await process.stop()
    return 0


def seed() -> random.Random:
    """Return a source of randomness that differs from process to process."""
    return random.Random(os.urandom(16))
