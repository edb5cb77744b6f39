"""The base class of router and agent instances that use pulling.

An instance owns a mesh of links to its peers, a driver that runs its cores
(state machines without I/O), the clients of the platform's services and
their tasks.  It stops in one of two ways: `drain` refuses new requests and
waits for those in flight, up to a time limit; `kill` drops everything at
once, like a process that is lost.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, Final

from bulrushstream.coordination import configcore
from bulrushstream.coordination import membership as members
from bulrushstream.coordination.configcore import ConfigOptions
from bulrushstream.coordination.membership import MembershipState
from bulrushstream.daemon.driver import Core, Driver, accept_messages
from bulrushstream.daemon.platformtasks import (
    LogAppender,
    LogFollower,
    PlatformHealth,
    follow_list,
    keep_registered,
)
from bulrushstream.metrics import (
    Metrics,
    count_excess,
    count_message,
    encode_metrics,
)
from bulrushstream.settings import ListenSettings, PlatformSettings
from bulrushstream.state.config import VersionedConfig
from bulrushstream.state.effect import (
    AppendLog,
    ApplyConfig,
    Decision,
    Effect,
    NotifyCores,
    ReadLog,
    Send,
    SetPeers,
)
from bulrushstream.state.event import (
    ConfigChanged,
    DrainStarted,
    InstancesListed,
)
from bulrushstream.state.excess import Excess, PeerKind
from bulrushstream.state.identity import InstanceInfo
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.state.message import ConfigFetch, ConfigPush, Goodbye
from bulrushstream.state.status import DrainState, Status
from bulrushstream.transport.instances import InstanceListClient
from bulrushstream.transport.log import LogClient
from bulrushstream.transport.mesh import Mesh, MeshOptions, Traffic
from bulrushstream.transport.operators import (
    Action,
    OperatorsOptions,
    Readiness,
    make_operators,
)
from bulrushstream.transport.server import Server, ServerLimits

IDLE_POLL_S: Final = 0.02
# After a goodbye, until the peers have read it and nothing they sent before
# is on its way.
GOODBYE_GRACE_S: Final = 0.5
REGISTER_INTERVAL_S: Final = 10.0
# The limit of all answers of the platform's services that are being read.
MAX_COLLECTED_BYTES: Final = 32 * 2**20
FAULT: Final = "fault"  # The log event for an internal error.

Report = Callable[[str, str], None]
Observe = Callable[[Decision], None]


def new_incarnation() -> int:
    """Return the incarnation of an instance that starts now."""
    return time.time_ns() // 1_000_000


@dataclass(frozen=True, slots=True)
class InstanceDeps:
    """Collaborators that an instance needs besides its settings."""

    mesh: MeshOptions
    metrics: Metrics
    report: Report  # Logs an event's kind and text.
    observe: Observe  # Logs and counts a routing or placement decision.
    seed: int | None = None  # For random numbers; None: a random one.
    delay_for: Callable[[InstanceInfo], float] | None = None  # See `Link`.
    cpu_clock: Callable[[], float] | None = None  # See `Driver`.


class Instance:
    """A router or an agent in a running process."""

    info: InstanceInfo  # How peers and the instance list know it.
    mesh: Mesh  # Its links to peers.
    health: PlatformHealth  # Which uses of the platform are degraded.
    config: configcore.ConfigState  # State of the configuration core.
    membership: MembershipState  # State of the membership core.
    operators: Server  # The operators' HTTP server.
    draining: bool  # Whether new requests are refused.
    driver: Driver  # Runs the cores.
    _tasks: set[asyncio.Task[Any]]  # All running tasks.
    # Messages sent and received that the metrics already include.
    _counted_traffic: tuple[Traffic, Traffic]
    _followers: dict[str, LogFollower]  # By stream.

    def __init__(
        self,
        info: InstanceInfo,
        platform: PlatformSettings,
        deps: InstanceDeps,
        *,
        reads_log: bool,
    ) -> None:
        """Create an instance that is not started.

        :param info: its identity and address
        :param platform: the addresses of the platform's services
        :param deps: its other collaborators
        :param reads_log: whether it reads the configuration from the log;
            if not, it receives it from its peers
        """
        self.info = info
        self.rng = random.Random(deps.seed)
        self.deps = deps
        self.health = PlatformHealth(asyncio.get_running_loop().time)
        self.draining = False
        memory = MemoryBudget(MAX_COLLECTED_BYTES)
        self.log = LogClient(
            platform.log_url, platform.timeout_s, self.peer_exceeded, memory
        )
        self.listing = InstanceListClient(
            platform.instances_url,
            platform.timeout_s,
            self.peer_exceeded,
            memory,
        )
        self._platform = platform
        self._tasks = set()
        self._followers = {}
        self._counted_traffic = (Traffic(), Traffic())
        self.config = configcore.new_config(
            ConfigOptions(
                reads_log=reads_log,
                log_retention_s=platform.log_retention_s,
            ),
            self.rng,
        )
        self.membership = members.new_membership(info)
        self.clock = asyncio.get_running_loop().time

    def peer_exceeded(self, excess: Excess) -> None:
        """Log and count a connection whose peer sent too much; `OnExcess`.

        :param excess: what it sent
        """
        self.deps.report("excess", str(excess))
        count_excess(self.deps.metrics, excess)

    def start_cores(
        self,
        role_cores: Sequence[Core],
        execute_role_effect: Callable[[Effect], bool],
    ) -> None:
        """Create the mesh and the driver, and start the driver.

        :param role_cores: the cores that only this role has
        :param execute_role_effect: executes an effect that only this role
            has; returns False for any other effect
        """
        execute_own = execute_role_effect

        def execute(effect: Effect) -> None:
            if not execute_own(effect):
                self._execute_effect(effect)

        config = Core(
            "configuration",
            lambda event, now_s: configcore.handle(self.config, event, now_s),
            accept_messages(ConfigPush, ConfigFetch),
        )
        membership = Core(
            "membership",
            lambda event, now_s: members.handle(self.membership, event, now_s),
            accept_messages(Goodbye),
        )
        self.driver = Driver(
            [config, membership, *role_cores],
            execute,
            self.clock,
            self.deps.cpu_clock,
        )
        self.appender = LogAppender(
            self.log, self.driver.post, self.health, self.read_now
        )
        self.mesh = Mesh(
            self.info,
            self.deps.mesh,
            self.driver.post,
            self.deps.report,
            rng=self.rng,
            delay_for=self.deps.delay_for,
            on_excess=self.peer_exceeded,
        )
        self.spawn(self.driver.run(), "driver")

    async def listen(self, host: str, port: int) -> None:
        """Listen for peers, and record the bound port in `info`.

        :param host: the IP address to bind
        :param port: the port to bind; 0: any free one
        """
        bound = await self.mesh.listen(host, port)
        self.info = replace(self.info, port=bound)

    def follow_list(self) -> None:
        """Start reading the instance list."""
        self.spawn(
            follow_list(
                self.listing.list,
                self._platform.list_interval_s,
                lambda listing: self.driver.post(InstancesListed(listing)),
                self.health,
                self.rng,
            ),
            "instances",
        )

    def register(self) -> None:
        """Start registering this instance in the instance list."""
        self.spawn(
            keep_registered(
                lambda: self.listing.register(
                    replace(self.info, leaving=self.draining)
                ),
                REGISTER_INTERVAL_S,
                self.health,
                self.rng,
            ),
            "register",
        )

    async def start_operators(self, listen: ListenSettings) -> None:
        """Start the operators' server.

        :param listen: the address to listen on
        """
        app = make_operators(
            OperatorsOptions(
                readiness=self.readiness,
                status=self.status,
                metrics=self.read_metrics,
                actions=self.actions(),
            )
        )
        self.operators = Server(
            app,
            listen.host,
            listen.port,
            ServerLimits(max_connections=64),
            PeerKind.OPERATOR,
            self.peer_exceeded,
        )
        await self.operators.start()

    def readiness(self) -> Readiness:
        """Return whether requests are accepted, and what is degraded."""
        degraded = tuple(
            f"{each.use}: {each.effect}"
            for each in self.health.degraded_uses(self.clock())
        )
        if self.draining:
            return Readiness(False, ("draining", *degraded))
        if not self.config.ready:
            return Readiness(False, ("no configuration", *degraded))
        return Readiness(True, degraded)

    def status(self) -> object:
        """Return the status document for operators."""
        raise NotImplementedError

    def common_status(self) -> Status:
        """Return the part of the status that all roles share."""
        current = self.config.current
        others = self.membership.members
        drain = DrainState.SERVING
        if self.draining:
            drain = DrainState.DRAINING if self.busy else DrainState.DRAINED
        return Status(
            instance=self.info.key.instance,
            incarnation=self.info.key.incarnation,
            role=self.info.role.value,
            availability_zone=self.info.availability_zone,
            config_version=current.version,
            config_digest=current.digest,
            highest_version=self.config.highest_version,
            drain=drain,
            peers=len(self.mesh.links),
            suspected=tuple(
                sorted(
                    key.instance
                    for key, member in others.items()
                    if member.was_connected and not member.connected
                )
            ),
            leaving=tuple(
                sorted(
                    key.instance
                    for key, member in others.items()
                    if member.info.leaving
                )
            ),
            degraded=self.health.degraded_uses(self.clock()),
        )

    def actions(self) -> Mapping[str, Action]:
        """Return the actions that operators may trigger, by name."""
        return {}

    def read_metrics(self) -> bytes:
        """Update the gauges and return all metrics as text."""
        metrics = self.deps.metrics
        metrics.config_version.set(self.config.current.version)
        metrics.degraded.clear()
        for each in self.health.degraded_uses(self.clock()):
            metrics.degraded.labels(each.use).set(1)
        self._count_messages("out", self.mesh.sent, self._counted_traffic[0])
        self._count_messages(
            "in", self.mesh.received, self._counted_traffic[1]
        )
        return encode_metrics(metrics)

    def _count_messages(
        self, direction: str, now: Traffic, counted: Traffic
    ) -> None:
        """Add the messages since the last call to the metrics."""
        for kind, size_bytes in now.size_bytes.items():
            count_message(
                self.deps.metrics,
                direction,
                kind,
                size_bytes - counted.size_bytes[kind],
                now.messages[kind] - counted.messages[kind],
            )
        counted.size_bytes = now.size_bytes.copy()
        counted.messages = now.messages.copy()

    def read_now(self, stream: str) -> None:
        """Read a stream without further wait, if it is followed.

        :param stream: the stream's name
        """
        follower = self._followers.get(stream)
        if follower is not None:
            follower.read_now()

    def follow(self, stream: str, interval_s: Callable[[], float]) -> None:
        """Start following a stream of the log.

        :param stream: the stream's name
        :param interval_s: returns the time between reads at the stream's
            end, in seconds
        """
        follower = LogFollower(
            self.log,
            stream,
            interval_s,
            self.driver.post,
            self.health,
            self.rng,
        )
        self._followers[stream] = follower
        self.spawn(follower.run(), f"follow {stream}")

    def spawn(
        self, work: Coroutine[Any, Any, None], name: str
    ) -> asyncio.Task[None]:
        """Start a task that is cancelled when the instance shuts down.

        :param work: the coroutine to run
        :param name: the task's name in error reports
        :returns: the task
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def on_config(self, current: VersionedConfig) -> None:
        """React to a newer configuration; a hook for subclasses.

        :param current: the configuration that now applies
        """

    @property
    def busy(self) -> bool:
        """Return whether any request is still in flight."""
        raise NotImplementedError

    def unfinished(self) -> list[str]:
        """Return the ids of the requests that have not ended."""
        raise NotImplementedError

    async def drain(self, limit_s: float) -> bool:
        """Refuse new requests and wait for those in flight.

        :param limit_s: the longest wait, in seconds
        :returns: whether all of them ended in time
        """
        self.draining = True
        self.driver.post(DrainStarted())
        try:
            async with asyncio.timeout(limit_s):
                await self._wait_until_idle()
                # Peers that have not read the goodbye yet still send
                # requests.  They are refused while the links are open.
                await asyncio.sleep(GOODBYE_GRACE_S)
                await self._wait_until_idle()
        except TimeoutError:
            return not self.busy
        return True

    async def _wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.busy:
            await asyncio.sleep(IDLE_POLL_S)

    async def close(self) -> None:
        """Close all links and clients and cancel all tasks."""
        await self.mesh.close()
        await self._shut_down()

    async def kill(self) -> None:
        """Drop everything at once, like a process that is lost."""
        self.mesh.abort()
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Cancel the tasks and close the clients."""
        await self.operators.stop(grace_s=0.0)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.appender.close()
        await self.log.close()
        await self.listing.close()

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        """Report a task that failed; this is always an internal error."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            reason = f"{task.get_name()}: {task.exception()!r}"
            self.deps.report(FAULT, reason)

    def _execute_effect(self, effect: Effect) -> None:
        """Execute an effect that is common to all roles."""
        match effect:
            case Send(peer, message):
                self.mesh.send(peer, message)
            case AppendLog():
                self.appender.append(effect)
            case ReadLog(stream, offset):
                self._followers[stream].seek(offset)
            case ApplyConfig(current):
                self.on_config(current)
                self.driver.post(ConfigChanged(current))
            case NotifyCores(event):
                self.driver.post(event)
            case SetPeers(peers):
                self.mesh.set_peers(peers)
            case Decision():
                self.deps.observe(effect)
            case _:
                name = type(effect).__name__
                self.deps.report(FAULT, f"effect without a handler: {name}")
