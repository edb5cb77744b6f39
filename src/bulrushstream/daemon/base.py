"""What a router's and an agent's process have in common.

An instance owns a mesh, a driver with its cores, the clients of the
platform and the tasks around them.  It stops in one of two ways: *drain*
takes no new work and waits for what runs, up to a limit; *kill* drops
everything at once, as a lost process would.
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
from bulrushstream.daemon.driver import Core, Driver, takes_messages
from bulrushstream.daemon.platform import (
    Health,
    LogAppender,
    LogFollower,
    follow_list,
    keep_registered,
)
from bulrushstream.metrics import Metrics, count_message, encode_metrics
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
from bulrushstream.state.identity import InstanceInfo
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
REGISTER_INTERVAL_S: Final = 10.0
FAULT: Final = "fault"  # The kind of report of a fault of ours.

Report = Callable[[str, str], None]
Observe = Callable[[Decision], None]


def new_incarnation() -> int:
    """Return an incarnation for a start that happens now."""
    return time.time_ns() // 1_000_000


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What an instance is given beside its settings."""

    mesh: MeshOptions  # How it connects to its peers.
    metrics: Metrics  # What it counts.
    report: Report  # Takes a kind and a line for the log.
    observe: Observe  # Takes each routing or placement decision.
    seed: int | None = None  # For its random numbers; None: any.
    delay_for: Callable[[InstanceInfo], float] | None = None  # See `Link`.
    cpu_clock: Callable[[], float] | None = None  # See `Driver`.


class Instance:
    """One running process's worth of tasks."""

    me: InstanceInfo  # Who this is.
    mesh: Mesh  # Its links to peers.
    health: Health  # Which uses of the platform are degraded.
    config: configcore.ConfigState  # The configuration's core.
    members: MembershipState  # The membership's core.
    operators: Server  # Where operators connect.
    draining: bool  # Whether it takes no new work.
    driver: Driver  # Owns the cores.
    _tasks: set[asyncio.Task[Any]]  # Everything that runs.
    _counted: tuple[Traffic, Traffic]  # Sent and received, in metrics.
    _followers: dict[str, LogFollower]  # Readers, by stream.

    def __init__(
        self,
        me: InstanceInfo,
        platform: PlatformSettings,
        around: Surroundings,
        *,
        reads_log: bool,
    ) -> None:
        """Make an instance that runs nothing yet.

        :param me: who it is
        :param platform: where the platform's services are
        :param around: what else it is given
        :param reads_log: whether it reads the configuration from the log;
            if not, it hears of it from its peers
        """
        self.me = me
        self.rng = random.Random(around.seed)
        self.around = around
        self.health = Health(asyncio.get_running_loop().time)
        self.draining = False
        self.log = LogClient(platform.log_url, platform.timeout_s)
        self.listing = InstanceListClient(
            platform.instances_url, platform.timeout_s
        )
        self._platform = platform
        self._tasks = set()
        self._followers = {}
        self._counted = (Traffic(), Traffic())
        self.config = configcore.new_config(
            ConfigOptions(
                reads_log=reads_log,
                log_retention_s=platform.log_retention_s,
            ),
            self.rng,
        )
        self.members = members.new_membership(me)
        self.clock = asyncio.get_running_loop().time

    def start_cores(
        self, own_cores: Sequence[Core], carry_out: Callable[[Effect], bool]
    ) -> None:
        """Make the driver and the mesh.

        :param own_cores: the role's own cores
        :param carry_out: does an effect of the role's own; returns
            whether the effect was one
        """
        own = carry_out

        def do(effect: Effect) -> None:
            if not own(effect):
                self._carry_out(effect)

        config = Core(
            "configuration",
            lambda event, now_s: configcore.handle(self.config, event, now_s),
            takes_messages(ConfigPush, ConfigFetch),
        )
        membership = Core(
            "membership",
            lambda event, now_s: members.handle(self.members, event, now_s),
            takes_messages(Goodbye),
        )
        self.driver = Driver(
            [config, membership, *own_cores],
            do,
            self.clock,
            self.around.cpu_clock,
        )
        self.appender = LogAppender(
            self.log, self.driver.post, self.health, self.hurry
        )
        self.mesh = Mesh(
            self.me,
            self.around.mesh,
            self.driver.post,
            self.around.report,
            rng=self.rng,
            delay_for=self.around.delay_for,
        )
        self.spawn(self.driver.run(), "driver")

    async def listen(self, host: str, port: int) -> None:
        """Listen for peers and take the port over into who we are.

        :param host: the IP number to bind
        :param port: the port to bind; 0: any free one
        """
        bound = await self.mesh.listen(host, port)
        self.me = replace(self.me, port=bound)

    def follow_list(self) -> None:
        """Start to read the instance list."""
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
        """Start to enter this instance in the list."""
        self.spawn(
            keep_registered(
                lambda: self.listing.register(
                    replace(self.me, leaving=self.draining)
                ),
                REGISTER_INTERVAL_S,
                self.health,
                self.rng,
            ),
            "register",
        )

    async def start_operators(self, listen: ListenSettings) -> None:
        """Start the operators' port.

        :param listen: where it listens
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
            app, listen.host, listen.port, ServerLimits(max_connections=64)
        )
        await self.operators.start()

    def readiness(self) -> Readiness:
        """Return whether the instance takes work, and what is degraded."""
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
        """Return what operators ask to see."""
        raise NotImplementedError

    def common_status(self) -> Status:
        """Return the status that every role has."""
        current = self.config.current
        known = self.members.members
        drain = DrainState.SERVING
        if self.draining:
            drain = DrainState.DRAINING if self.busy else DrainState.DRAINED
        return Status(
            instance=self.me.key.instance,
            incarnation=self.me.key.incarnation,
            role=self.me.role.value,
            availability_zone=self.me.availability_zone,
            config_version=current.version,
            config_digest=current.digest,
            highest_version=self.config.highest_version,
            drain=drain,
            peers=len(self.mesh.links),
            suspected=tuple(
                sorted(
                    key.instance
                    for key, member in known.items()
                    if member.was_connected and not member.connected
                )
            ),
            leaving=tuple(
                sorted(
                    key.instance
                    for key, member in known.items()
                    if member.info.leaving
                )
            ),
            degraded=self.health.degraded_uses(self.clock()),
        )

    def actions(self) -> Mapping[str, Action]:
        """Return what operators may have the instance do."""
        return {}

    def read_metrics(self) -> bytes:
        """Return the metrics as text, with the latest gauges."""
        metrics = self.around.metrics
        metrics.config_version.set(self.config.current.version)
        metrics.degraded.clear()
        for each in self.health.degraded_uses(self.clock()):
            metrics.degraded.labels(each.use).set(1)
        self._count_messages("out", self.mesh.sent, self._counted[0])
        self._count_messages("in", self.mesh.received, self._counted[1])
        return encode_metrics(metrics)

    def _count_messages(
        self, direction: str, now: Traffic, counted: Traffic
    ) -> None:
        """Count the messages since the last time."""
        for kind, size_bytes in now.size_bytes.items():
            count_message(
                self.around.metrics,
                direction,
                kind,
                size_bytes - counted.size_bytes[kind],
                now.messages[kind] - counted.messages[kind],
            )
        counted.size_bytes = now.size_bytes.copy()
        counted.messages = now.messages.copy()

    def hurry(self, stream: str) -> None:
        """Read a stream at once, if it is followed.

        :param stream: the stream's name
        """
        follower = self._followers.get(stream)
        if follower is not None:
            follower.hurry()

    def follow(self, stream: str, interval_s: Callable[[], float]) -> None:
        """Start to read a stream of the log.

        :param stream: the stream's name
        :param interval_s: gives the time between reads at the stream's
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
        """Run a task for as long as the instance lives.

        :param work: the task's work
        :param name: names it in errors
        :returns: the task
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def configured(self, current: VersionedConfig) -> None:
        """Take note that a newer configuration is in force.

        :param current: the configuration
        """

    @property
    def busy(self) -> bool:
        """Return whether anything still runs."""
        raise NotImplementedError

    def unfinished(self) -> list[str]:
        """Return the requests that have not ended."""
        raise NotImplementedError

    async def drain(self, limit_s: float) -> bool:
        """Take no new work and wait for what runs.

        :param limit_s: the longest wait, in seconds
        :returns: whether everything ended by then
        """
        self.draining = True
        self.driver.post(DrainStarted())
        try:
            async with asyncio.timeout(limit_s):
                while self.busy:
                    await asyncio.sleep(IDLE_POLL_S)
        except TimeoutError:
            return False
        # The last acknowledgements and goodbyes leave before the links end.
        await asyncio.sleep(IDLE_POLL_S)
        return True

    async def close(self) -> None:
        """Close every link and client and end every task."""
        await self.mesh.close()
        await self._end()

    async def kill(self) -> None:
        """Drop everything at once, as a lost process would."""
        self.mesh.abort()
        await self._end()

    async def _end(self) -> None:
        """End the tasks and close the clients."""
        await self.operators.stop(grace_s=0.0)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.appender.close()
        await self.log.close()
        await self.listing.close()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        """Report a task that failed; that is always a fault of ours."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            why = f"{task.get_name()}: {task.exception()!r}"
            self.around.report(FAULT, why)

    def _carry_out(self, effect: Effect) -> None:
        """Do what any core may want."""
        match effect:
            case Send(peer, message):
                self.mesh.send(peer, message)
            case AppendLog():
                self.appender.append(effect)
            case ReadLog(stream, offset):
                self._followers[stream].seek(offset)
            case ApplyConfig(current):
                self.configured(current)
                self.driver.post(ConfigChanged(current))
            case NotifyCores(event):
                self.driver.post(event)
            case SetPeers(peers):
                self.mesh.set_peers(peers)
            case Decision():
                self.around.observe(effect)
            case _:
                name = type(effect).__name__
                self.around.report(FAULT, f"no way to carry out {name}")
