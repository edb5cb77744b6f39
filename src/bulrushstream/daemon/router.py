"""The router instance, which queues requests until agents pull them."""

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
from bulrushstream.daemon.base import Instance, InstanceDeps, new_incarnation
from bulrushstream.daemon.driver import Core
from bulrushstream.daemon.port import CallersPort
from bulrushstream.daemon.status import QuarantineStatus, RouterStatus
from bulrushstream.messages import NO_TOKEN
from bulrushstream.metrics import count_exchange, set_queued
from bulrushstream.settings import RouterSettings
from bulrushstream.state.config import VersionedConfig
from bulrushstream.state.decoding import DECODE_ERRORS
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

# Peers forward versions and strikes, and a router reads its own appends at
# once, so these intervals only limit the delay of all other records.
CLAIMS_INTERVAL_S: Final = 1.0
STRIKES_INTERVAL_S: Final = 3.0

# How long requests are still accepted after the router reports not ready.
BALANCER_NOTICE_S: Final = 0.9

# The sender of messages that operators submit.
OPERATOR: Final = InstanceKey("operator", 0)

_FINGERPRINT_BITS: Final = 64


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as 16 hexadecimal digits."""
    return f"{fingerprint % 2**_FINGERPRINT_BITS:016x}"


def parse_fingerprint(text: str) -> int:
    """Return the fingerprint for an operator's input, as a signed number.

    :param text: hexadecimal digits
    :raises ValueError: if the text is not a 64-bit hexadecimal number
    """
    bits = int(text, 16)
    if not 0 <= bits < 2**_FINGERPRINT_BITS:
        raise ValueError("a fingerprint has at most 64 bits")
    sign: int = 1 << (_FINGERPRINT_BITS - 1)
    return (bits ^ sign) - sign


class RouterInstance(Instance):
    """One router and its callers' HTTP server."""

    callers_port: CallersPort  # Connects the HTTP server with the core.
    server: Server  # The callers' HTTP server.

    def __init__(
        self,
        settings: RouterSettings,
        deps: InstanceDeps,
        options: RouterOptions | None = None,
    ) -> None:
        """Create a router that is not started.

        :param settings: the validated settings
        :param deps: its other collaborators
        :param options: the core's options; None: from the settings
        """
        host = settings.advertised_host or settings.peers.host
        info = InstanceInfo(
            key=InstanceKey(settings.instance, new_incarnation()),
            role=Role.ROUTER,
            region=settings.region,
            availability_zone=settings.availability_zone,
            host=host,
            port=settings.peers.port,
        )
        super().__init__(info, settings.platform, deps, reads_log=True)
        self._settings = settings
        self.callers_port = CallersPort(
            lambda event: self.driver.post(event), self.clock
        )
        limits = settings.limits
        self.core = new_router(
            info,
            options or RouterOptions(max_tracked_bytes=limits.queue_bytes),
            self.rng,
            self.clock(),
        )
        self.callers_app = make_callers(
            self.callers_port,
            CallersOptions(
                body_limits=BodyLimits(
                    max_body_bytes=limits.body_bytes,
                    read_timeout_s=limits.read_timeout_s,
                ),
                observe=self._record_exchange,
            ),
        )
        self.server = Server(
            self.callers_app.asgi,
            settings.callers.host,
            settings.callers.port,
            ServerLimits(
                max_connections=limits.connections,
                max_header_bytes=limits.header_bytes,
                header_timeout_s=limits.read_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            ),
            on_excess=self.peer_exceeded,
        )

    async def start(self) -> None:
        """Start the servers and the tasks."""
        self.start_cores([self.role_core()], self._execute_role_effect)
        await self.listen(self._settings.peers.host, self.info.port)
        await self.server.start()
        await self.start_operators(self._settings.operators)
        self.register()
        self.follow_list()
        options = self.core.options
        self.follow(CONFIG_STREAM, self._config_interval_s)
        self.follow(options.claims.stream, lambda: CLAIMS_INTERVAL_S)
        self.follow(options.strikes_stream, lambda: STRIKES_INTERVAL_S)

    def role_core(self) -> Core:
        """Return the core that queues and dispatches requests."""
        return Core(
            "router", lambda event, now_s: handle(self.core, event, now_s)
        )

    @property
    def busy(self) -> bool:
        """Return whether any request is in flight; see `Instance`."""
        return bool(self.callers_port.waiting) or not self.core.idle

    def read_metrics(self) -> bytes:
        """Return the metrics with current queue lengths; see `Instance`."""
        queues = self.core.queues
        waiting = {
            (key.service, key.workspace): queues.counts(key).total
            for key in queues.queue_keys()
        }
        set_queued(self.deps.metrics, waiting, queues.size_bytes)
        return super().read_metrics()

    def status(self) -> RouterStatus:
        """Return the router's status; see `Instance`."""
        return RouterStatus(
            common=self.common_status(),
            waiting=len(self.core.queues),
            waiting_bytes=self.core.queues.size_bytes,
            unanswered=self.callers_port.waiting,
        )

    def actions(self) -> Mapping[str, Action]:
        """Return the actions that operators may trigger, by name."""
        return {
            "config": self._accept_config,
            "quarantine": self._list_quarantine,
            "pardon": self._lift_quarantine,
        }

    def _config_interval_s(self) -> float:
        """Return the interval of reads of the configuration stream."""
        others = instances(self.membership, Role.ROUTER)
        return poll_interval_s(1 + len(others))

    async def _accept_config(self, body: bytes) -> bool:
        """Accept a configuration that an operator just published."""
        try:
            push = msgspec.json.decode(body, type=ConfigPush)
        except DECODE_ERRORS as error:
            raise ActionError(str(error)) from error
        self.driver.post(MessageReceived(OPERATOR, push))
        return True

    async def _list_quarantine(self, _: bytes) -> list[QuarantineStatus]:
        """Return the fingerprints with strikes, for operators."""
        now_s = self.clock()
        quarantine = self.core.quarantine
        return [
            QuarantineStatus(
                fingerprint=format_fingerprint(fingerprint),
                strikes=quarantine.count(fingerprint, now_s),
                refused=quarantine.is_refused(fingerprint, now_s),
                ends_s=max(
                    0.0, quarantine.remaining_s(fingerprint, now_s) - now_s
                ),
            )
            for fingerprint in quarantine.fingerprints()
        ]

    async def _lift_quarantine(self, body: bytes) -> bool:
        """Lift the quarantine of a fingerprint."""
        try:
            fingerprint = parse_fingerprint(body.decode())
        except ValueError as error:
            raise ActionError(
                "not a 64-bit hexadecimal fingerprint"
            ) from error
        self.driver.post(QuarantineLifted((fingerprint,)))
        return True

    def unfinished(self) -> list[str]:
        """Return the ids of unanswered requests; see `Instance`."""
        return self.callers_port.unfinished()

    async def stop(self, limit_s: float) -> bool:
        """Drain and stop.

        :param limit_s: the longest wait for requests in flight, in seconds
        :returns: whether all of them ended in time
        """
        # Wait until the load balancer sees that the router is not ready and
        # sends nothing more; so a planned stop refuses no request.
        self.draining = True
        await asyncio.sleep(min(BALANCER_NOTICE_S, limit_s))
        self.callers_port.closed = True
        completed = await self.drain(limit_s)
        await self.server.stop()
        await self.close()
        return completed

    async def kill(self) -> None:
        """Drop everything at once; see `Instance`."""
        await self.server.stop(grace_s=0.0)
        await super().kill()

    def on_config(self, current: VersionedConfig) -> None:
        """Index the configuration for rule matching; see `Instance`."""
        self.callers_port.index = ConfigIndex(current)

    def _record_exchange(self, exchange: Exchange) -> None:
        """Count an exchange; log a refusal that did not reach the core."""
        count_exchange(self.deps.metrics, exchange)
        sent = exchange.sent
        if exchange.request is not None:
            return
        if sent.code == NO_TOKEN.code:
            # Clients without a token may send any number of these, so they
            # go to the rate-limited report, not to the decisions.
            self.deps.report("refuse", NO_TOKEN.text)
            return
        self.deps.observe(
            Decision("refuse", sent.code, outcome=sent.outcome.value)
        )

    def _execute_role_effect(self, effect: Effect) -> bool:
        """Deliver answers to callers; return False for other effects."""
        if not isinstance(effect, Reply | FailRequest):
            return False
        self.callers_port.deliver(effect)
        return True
