"""The router's process: callers in front, agents behind."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

import msgspec

from bulrushstream.coordination.configcore import poll_interval_s
from bulrushstream.coordination.configlog import STREAM as CONFIG_STREAM
from bulrushstream.coordination.matching import ConfigIndex
from bulrushstream.coordination.membership import instances
from bulrushstream.coordination.options import RouterOptions
from bulrushstream.coordination.router import handle, new_router
from bulrushstream.daemon.base import Instance, Surroundings, new_incarnation
from bulrushstream.daemon.driver import Core
from bulrushstream.daemon.port import CallersPort
from bulrushstream.daemon.status import QuarantineStatus, RouterStatus
from bulrushstream.messages import NO_TOKEN
from bulrushstream.metrics import count_exchange, set_queued
from bulrushstream.settings import RouterSettings
from bulrushstream.state.config import VersionedConfig
from bulrushstream.state.effect import Decision, Effect, FailRequest, Reply
from bulrushstream.state.event import MessageReceived, QuarantineLifted
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role
from bulrushstream.state.message import ConfigPush
from bulrushstream.transport.admission import BodyLimits
from bulrushstream.transport.callers import (
    CallersOptions,
    Exchange,
    make_callers,
)
from bulrushstream.transport.operators import Action, ActionError
from bulrushstream.transport.server import Server, ServerLimits

# Peers pass versions and strikes on, and a router reads at once what it
# has appended itself, so these only bound how late the rest is.
CLAIMS_INTERVAL_S: Final = 1.0
STRIKES_INTERVAL_S: Final = 3.0

# How long callers are still taken after the router is not ready.
BALANCER_NOTICE_S: Final = 0.9

# Who an operator's message comes from.
OPERATOR: Final = InstanceKey("operator", 0)

_FINGERPRINT_BITS: Final = 64


def fingerprint_text(fingerprint: int) -> str:
    """Return a fingerprint as operators see it."""
    return f"{fingerprint % 2**_FINGERPRINT_BITS:016x}"


def fingerprint_of(text: str) -> int:
    """Return the fingerprint that operators name.

    :param text: hexadecimal digits
    :raises ValueError: if it is not one
    """
    bits = int(text, 16)
    if not 0 <= bits < 2**_FINGERPRINT_BITS:
        raise ValueError("more than 64 bits")
    sign: int = 1 << (_FINGERPRINT_BITS - 1)
    return (bits ^ sign) - sign


class RouterInstance(Instance):
    """One router and its callers' front."""

    port: CallersPort  # The front's way to the core.
    server: Server  # Where callers connect.

    def __init__(
        self,
        settings: RouterSettings,
        around: Surroundings,
        options: RouterOptions | None = None,
    ) -> None:
        """Make a router that runs nothing yet.

        :param settings: its checked settings
        :param around: what else it is given
        :param options: its core's options; None: from the settings
        """
        host = settings.advertised_host or settings.peers.host
        me = InstanceInfo(
            key=InstanceKey(settings.instance, new_incarnation()),
            role=Role.ROUTER,
            region=settings.region,
            availability_zone=settings.availability_zone,
            host=host,
            port=settings.peers.port,
        )
        super().__init__(me, settings.platform, around, reads_log=True)
        self._settings = settings
        self.port = CallersPort(
            lambda event: self.driver.post(event), self.clock
        )
        limits = settings.limits
        self.core = new_router(
            me,
            options or RouterOptions(max_tracked_bytes=limits.queue_bytes),
            self.rng,
            self.clock(),
        )
        self.callers = make_callers(
            self.port,
            CallersOptions(
                body_limits=BodyLimits(
                    max_body_bytes=limits.body_bytes,
                    read_timeout_s=limits.read_timeout_s,
                ),
                observe=self._observe,
            ),
        )
        self.server = Server(
            self.callers.asgi,
            settings.callers.host,
            settings.callers.port,
            ServerLimits(
                max_connections=limits.connections,
                max_header_bytes=limits.header_bytes,
                header_timeout_s=limits.read_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            ),
        )

    async def start(self) -> None:
        """Listen, and start every task."""
        self.start_cores([self.role_core()], self._carry_out_own)
        await self.listen(self._settings.peers.host, self.me.port)
        await self.server.start()
        await self.start_operators(self._settings.operators)
        self.register()
        self.follow_list()
        options = self.core.options
        self.follow(CONFIG_STREAM, self._config_interval_s)
        self.follow(options.claims.stream, lambda: CLAIMS_INTERVAL_S)
        self.follow(options.strikes_stream, lambda: STRIKES_INTERVAL_S)

    def role_core(self) -> Core:
        """Return the core that decides where requests run."""
        return Core(
            "router", lambda event, now_s: handle(self.core, event, now_s)
        )

    @property
    def busy(self) -> bool:
        """Return whether a caller still waits for its answer."""
        return bool(self.port.waiting) or not self.core.idle

    def read_metrics(self) -> bytes:
        """Return the metrics with what waits now; see `Instance`."""
        queues = self.core.queues
        waiting = {
            (key.service, key.workspace): queues.counts(key).total
            for key in queues.queue_keys()
        }
        set_queued(self.around.metrics, waiting, queues.size_bytes)
        return super().read_metrics()

    def status(self) -> RouterStatus:
        """Return what operators ask to see; see `Instance`."""
        return RouterStatus(
            common=self.common_status(),
            waiting=len(self.core.queues),
            waiting_bytes=self.core.queues.size_bytes,
            unanswered=self.port.waiting,
        )

    def actions(self) -> Mapping[str, Action]:
        """Return what operators may have the router do."""
        return {
            "config": self._take_config,
            "quarantine": self._list_quarantine,
            "pardon": self._pardon,
        }

    def _config_interval_s(self) -> float:
        """Return when to read the configuration's stream next."""
        others = instances(self.members, Role.ROUTER)
        return poll_interval_s(1 + len(others))

    async def _take_config(self, body: bytes) -> bool:
        """Take a version that an operator published just now."""
        try:
            push = msgspec.json.decode(body, type=ConfigPush)
        except msgspec.DecodeError as error:
            raise ActionError(str(error)) from error
        self.driver.post(MessageReceived(OPERATOR, push))
        return True

    async def _list_quarantine(self, _: bytes) -> list[QuarantineStatus]:
        """Return the requests that have crashed endpoints."""
        now_s = self.clock()
        held = self.core.quarantine
        return [
            QuarantineStatus(
                fingerprint=fingerprint_text(fingerprint),
                strikes=held.count(fingerprint, now_s),
                refused=held.is_refused(fingerprint, now_s),
                ends_s=max(0.0, held.ends_s(fingerprint, now_s) - now_s),
            )
            for fingerprint in held.fingerprints()
        ]

    async def _pardon(self, body: bytes) -> bool:
        """Lift the quarantine of the requests with a fingerprint."""
        try:
            fingerprint = fingerprint_of(body.decode())
        except ValueError as error:
            raise ActionError("not a fingerprint") from error
        self.driver.post(QuarantineLifted((fingerprint,)))
        return True

    def unfinished(self) -> list[str]:
        """Return the requests whose callers wait; see `Instance`."""
        return self.port.unfinished()

    async def stop(self, limit_s: float) -> bool:
        """Drain and stop.

        :param limit_s: the longest wait for what runs, in seconds
        :returns: whether every request ended by then
        """
        # The balancer learns that we are not ready before we refuse what it
        # sends, so that a planned stop refuses nobody.
        self.draining = True
        await asyncio.sleep(min(BALANCER_NOTICE_S, limit_s))
        self.port.closed = True
        whole = await self.drain(limit_s)
        await self.server.stop()
        await self.close()
        return whole

    async def kill(self) -> None:
        """Drop everything at once, as a lost process would."""
        await self.server.stop(grace_s=0.0)
        await super().kill()

    def configured(self, current: VersionedConfig) -> None:
        """Make the configuration ready for matching; see `Instance`."""
        self.port.index = ConfigIndex(current)

    def _observe(self, exchange: Exchange) -> None:
        """Count an exchange, and log a refusal that met no core."""
        count_exchange(self.around.metrics, exchange)
        sent = exchange.sent
        if exchange.request is not None:
            return
        if sent.code == NO_TOKEN.code:
            # Strangers may send any number of these.
            self.around.report("refuse", NO_TOKEN.text)
            return
        self.around.observe(
            Decision("refuse", sent.code, outcome=sent.outcome.value)
        )

    def _carry_out_own(self, effect: Effect) -> bool:
        """Give callers their answers."""
        if not isinstance(effect, Reply | FailRequest):
            return False
        self.port.give(effect)
        return True
