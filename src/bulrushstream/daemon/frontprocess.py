"""The process of a front-end router: its sockets, tasks and signals."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Final

from bulrushstream.coordination.fleetstate import SWEEP_INTERVAL_S
from bulrushstream.coordination.looplag import TICK_S
from bulrushstream.daemon import evacuating, platformupdates
from bulrushstream.daemon.crashstore import CrashStore
from bulrushstream.daemon.endpointlist import EndpointList
from bulrushstream.daemon.front import Front, FrontDeps
from bulrushstream.daemon.recovery import MAX_ANSWER_BYTES, Recovery
from bulrushstream.daemon.routeexplain import answer_where
from bulrushstream.daemon.suspectlist import clear_suspect, encode_suspects
from bulrushstream.daemon.versionrecords import version_tasks
from bulrushstream.daemon.watch import (
    Snapshot,
    TopicWatch,
    run_periodically,
    run_supervised,
)
from bulrushstream.metrics import CONTENT_TYPE, encode_metrics
from bulrushstream.protocol.dialect import DocumentError, StoreDeps
from bulrushstream.protocol.keyedstore import KeyedRecord, StoreError
from bulrushstream.state.effect import Decision
from bulrushstream.state.excess import PeerKind
from bulrushstream.state.nodesettings import NodeSettings
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.transport.callbackfaults import end_failed_connection
from bulrushstream.transport.datagrams import HEARTBEAT_S, PeerSocket
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import Ingress, IngressLimits
from bulrushstream.transport.listening import open_listener
from bulrushstream.transport.udp import open_udp

# Minimum time between reads of the endpoints' topic.  It changes often, and
# a change matters only within seconds, so several are read at once.
ENDPOINTS_INTERVAL_S: Final = 0.6

# How often the routers' topic is read for routers that sent no update yet.
ROUTERS_INTERVAL_S: Final = 15.0

# How often a router checks whether it has to query a peer.
PEER_QUERY_INTERVAL_S: Final = 0.4

# How long requests are still accepted after readiness fails: the load
# balancer probes every second and needs two failed probes.
BALANCER_NOTICE_S: Final = 2.2

# Requests still in flight this long before the end of the platform's grace
# period are ended.
GRACE_MARGIN_S: Final = 0.6

SETTINGS_INTERVAL_S: Final = 1.0

# Longer texts of errors are cut.
MAX_FAULT_CHARS: Final = 400

# How often the shares of the workspaces are logged.
SHARES_INTERVAL_S: Final = 1.0


def boot_clock() -> float:
    """Return the time since boot, suspension included, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def internal_limits() -> IngressLimits:
    """Return the limits of requests of the platform or of peer routers.

    A peer may be sent a configuration or an endpoint list at once.
    """
    return IngressLimits(connections=64, unread_bytes=MAX_ANSWER_BYTES)


class FrontProcess:
    """The process of one front-end router."""

    def __init__(
        self, settings_path: str, settings: NodeSettings, deps: FrontDeps
    ) -> None:
        """Create a process that is not started.

        :param settings_path: the settings file, reread for changes
        :param settings: the validated settings
        :param deps: the router's other collaborators
        """
        self._path = settings_path
        self._settings = settings
        self._deps = deps
        self.front = Front(settings, deps)
        self._port: PeerSocket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self.ports: list[int] = []  # Callers, readiness, service.
        self._endpoints = EndpointList(
            self.front, self._report_fault, settings.heartbeat_s
        )
        self._recovery = Recovery(
            front=self.front,
            clock=deps.clock,
            boot_clock=deps.boot_clock,
            rng=deps.rng,
            port=settings.control_port,
            apply_config=self._apply_raw_config,
            apply_endpoints=self._endpoints.apply_from_peer,
            entries=self._endpoints.entries,
        )
        self._store_ok = True
        self._dialect = deps.dialect
        self.store = deps.dialect.make_store(
            settings,
            StoreDeps(
                deps.clock,
                self._count_store_call,
                self.front.peer_exceeded,
                self.front.memory,
            ),
        )
        self._crash_store = CrashStore(
            self.store, self._dialect.topics.crashes, self.front
        )
        self._incarnation = time.time_ns() // 1_000_000

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        settings, front, deps = self._settings, self.front, self._deps
        identity = PeerUpdate(
            settings.instance, self._incarnation, settings.host
        )
        port = PeerSocket(
            identity,
            settings.peers_port,
            lambda update: front.fleet_state.apply_update(
                update, self._deps.clock()
            ),
            self._deps.report,
        )
        front.connect_peers(port)
        port.attach(open_udp(settings.host, settings.peers_port, port))
        self._port = port
        await self._listen(
            front.ingress,
            settings.caller_address.host,
            settings.caller_address.port,
        )
        await self._listen_internal(
            self._answer_readiness, settings.readiness_address.port
        )
        await self._listen_internal(
            self._answer_service, settings.control_port
        )
        topics = self._dialect.topics
        self._watch(
            topics.config,
            0.0,
            self._handle_config,
            self._config_confirmed,
            lists_after_failures=True,
        )
        endpoints = self._watch(
            topics.endpoints,
            ENDPOINTS_INTERVAL_S,
            self._endpoints.follow,
            self._list_confirmed,
            self._endpoints.interrupt,
        )
        front.streams.request_list = endpoints.check
        self._endpoints.request_read = endpoints.check
        self._spawn(endpoints.run_checks)
        for work in version_tasks(self.store, front):
            self._spawn(work)
        self._spawn(self._crash_store.read)
        self._spawn(self._crash_store.write)
        self._spawn(self._announce)
        self._repeat(HEARTBEAT_S, port.beat)
        self._repeat(SWEEP_INTERVAL_S, self.front.sweep)
        self._repeat(TICK_S, lambda: front.loop_lag.tick(deps.clock()))
        self._repeat(SHARES_INTERVAL_S, front.report_shares)
        if self._path:
            self._repeat(SETTINGS_INTERVAL_S, self.reload)
        self._repeat(PEER_QUERY_INTERVAL_S, self._recovery.query_peer)
        self._deps.observe(
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
        """Drain and stop, within the platform's grace period."""
        front = self.front
        started_s = self._deps.clock()
        front.draining = True
        self._deps.observe(
            Decision(
                "stop",
                "stop requested",
                inputs={"requests": len(front.forwards)},
            )
        )
        front.ingress.closing = True
        for connection in front.ingress.connections:
            connection.closing = True
        end_s = started_s + self._settings.grace_s - GRACE_MARGIN_S
        notice_s = started_s + BALANCER_NOTICE_S
        while self._deps.clock() < end_s:
            if self._deps.clock() >= notice_s:
                self.stop_accepting()
                ingress = front.ingress
                if not (front.forwards or ingress.receiving or ingress.unsent):
                    break
            await asyncio.sleep(0.05)
        for server in self._servers:
            server.close()
        front.ingress.refuse_incomplete()
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
        self._deps.observe(Decision("stop", "stopped"))

    def stop_accepting(self) -> None:
        """Close the callers' port and idle connections, not the busy ones."""
        front = self.front
        front.refuse_from_s = min(front.refuse_from_s, self._deps.clock())
        self._servers[0].close()
        front.ingress.close_idle()

    def reload(self) -> None:
        """Reread the settings and apply those that may change at run time."""
        loaded = self._dialect.read_settings(self._path)
        if not isinstance(loaded, NodeSettings):
            for finding in loaded:
                self._deps.report("bad_settings", str(finding))
            return
        if loaded == self._settings:
            return
        self._settings = loaded
        self.front.reconfigure(loaded)
        self._deps.observe(Decision("reload", "settings file changed"))

    # --- Sockets.

    async def _listen(self, ingress: Ingress, host: str, port: int) -> None:
        """Listen for HTTP connections."""
        loop = asyncio.get_running_loop()
        server = await open_listener(loop, ingress.make_connection, host, port)
        self._servers.append(server)
        self.ports.append(server.sockets[0].getsockname()[1])

    async def _listen_internal(
        self, handle: Callable[[Exchange], None], port: int
    ) -> None:
        """Listen for requests of the platform or of peer routers."""
        ingress = Ingress(
            handle,
            internal_limits(),
            self._deps.clock,
            self.front.memory,
            PeerKind.OPERATOR,
            self.front.peer_exceeded,
        )
        await self._listen(ingress, self._settings.host, port)

    def _answer_readiness(self, exchange: Exchange) -> None:
        """Answer the load balancer's readiness probe."""
        exchange.answer(200 if self.front.ready else 503, [])

    def _answer_service(self, exchange: Exchange) -> None:
        """Answer requests of operators, and peers' recovery requests."""
        if exchange.target == b"/metrics":
            exchange.answer(
                200,
                [(b"content-type", CONTENT_TYPE.encode())],
                encode_metrics(self._deps.metrics),
            )
        elif exchange.target == b"/suspects":
            state, now_s = self.front.fleet_state, self._deps.clock()
            headers = [(b"content-type", b"application/json")]
            exchange.answer(200, headers, encode_suspects(state, now_s))
        elif exchange.target == b"/where":
            status, answer = answer_where(self.front, exchange.body)
            headers = [(b"content-type", b"application/json")]
            exchange.answer(status, headers, answer)
        elif exchange.target == b"/actions/clear":
            state, now_s = self.front.fleet_state, self._deps.clock()
            found = clear_suspect(state, exchange.body, now_s)
            exchange.answer(200 if found else 404, [], b"%d" % found)
        elif not self._recovery.answer_peer(exchange):
            exchange.answer(404, [])

    # --- The store.

    def _watch(
        self,
        topic: str,
        interval_s: float,
        handle: Callable[[Snapshot | KeyedRecord], None],
        on_confirmed: Callable[[float], None] = lambda _: None,
        on_failed: Callable[[], None] = lambda: None,
        *,
        lists_after_failures: bool = False,
    ) -> TopicWatch:
        """Start following a topic."""

        def confirmed(sent_s: float) -> None:
            on_confirmed(sent_s)
            self._store_answered()

        def failed(reason: str) -> None:
            on_failed()
            self._store_failed(reason)

        watch = TopicWatch(
            self.store,
            topic,
            interval_s,
            self._deps.boot_clock,
            handle,
            confirmed,
            failed,
            self._report_fault,
            self._deps.rng,
            lists_after_failures,
        )
        self._spawn(watch.run)
        return watch

    def _count_store_call(self, name: str, success: bool) -> None:
        """Count a store call in the metrics if it failed."""
        if not success:
            self._deps.metrics.platform_failures.labels(name).inc()

    def _store_failed(self, reason: str) -> None:
        """Record a failed store call; log the start of an outage."""
        if self._store_ok:
            self._store_ok = False
            self._deps.observe(Decision("dependency_lost", reason))
            self._deps.metrics.degraded.labels("store").set(1)

    def _store_answered(self) -> None:
        """Record a successful store read; log the end of an outage."""
        if not self._store_ok:
            self._store_ok = True
            self._deps.observe(
                Decision("dependency_back", "the store answers again")
            )
            self._crash_store.rewrite()
            self._deps.metrics.degraded.labels("store").set(0)

    def _list_confirmed(self, sent_s: float) -> None:
        """Record that the endpoint list was read to its end."""
        self._endpoints.confirm()
        self.front.streams.history.list_read(sent_s)

    def _config_confirmed(self, sent_s: float) -> None:
        """Record that the operators' topic was read to its end."""
        self.front.freshness.confirm(sent_s)
        self.front.fleet_state.evacuations.confirmed(sent_s)

    def _handle_config(self, update: Snapshot | KeyedRecord) -> None:
        """Apply evacuations and the configuration in the operators' topic.

        The router serves once it has a configuration, so evacuations are
        applied before.
        """
        try:
            evacuating.apply_records(self.front, update)
        except Exception as error:
            self._report_fault(error)
        key = self._dialect.topics.config_key
        if isinstance(update, Snapshot):
            data = update.values.get(key)
        else:
            data = update.value if update.key == key else None
        if data is not None:
            self._apply_raw_config(data)

    def _apply_raw_config(self, data: bytes) -> None:
        """Decode a configuration and apply it if it is newer."""
        try:
            config = self._dialect.decode_config(
                data, lambda line: self._deps.report("bad_config", line)
            )
        except DocumentError as error:
            self._deps.report("bad_config", str(error))
            return
        if platformupdates.apply_config(self.front, config):
            self._recovery.config = data

    # --- Peers.

    async def _announce(self) -> None:
        """Enter this router in the routers' topic and look for others."""
        settings, front = self._settings, self.front
        topic = self._dialect.topics.routers
        registered = False
        while True:
            try:
                if not registered:
                    await self.store.append(topic, settings.host, b"1")
                    registered = True
                hosts, _ = await self.store.newest(topic)
                now_s = self._deps.clock()
                for host in hosts:
                    front.peers.add_host(host, now_s)
            except StoreError as error:
                self._store_failed(str(error))
                await asyncio.sleep(self._deps.rng.uniform(0.5, 1.0))
                continue
            await asyncio.sleep(ROUTERS_INTERVAL_S)

    def _spawn(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task until the process stops; start it again if it fails."""
        work = run_supervised(run, self._report_fault)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _repeat(
        self, interval_s: float, action: Callable[[], Awaitable[None] | None]
    ) -> None:
        """Call a function periodically until the process stops."""
        self._spawn(
            lambda: run_periodically(interval_s, action, self._report_fault)
        )

    def _report_fault(self, error: Exception) -> None:
        """Log an error that only a fault of the program explains."""
        self._deps.report("fault", repr(error)[:MAX_FAULT_CHARS])


async def serve(
    path: str,
    make_deps: Callable[[NodeSettings], FrontDeps],
    settings: NodeSettings,
) -> int:
    """Run a router until a signal stops it.

    :param path: the settings file
    :param make_deps: returns the router's other collaborators
    :param settings: the validated settings
    :returns: the exit code
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(end_failed_connection)
    process = FrontProcess(path, settings, make_deps(settings))
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    await process.start()
    await stopping.wait()
    await process.stop()
    return 0


def make_rng() -> random.Random:
    """Return a random generator seeded by the operating system."""
    return random.Random(os.urandom(16))
