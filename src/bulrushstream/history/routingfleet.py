"""Routing routers in virtual time, with simulated callers and endpoints.

The routers are the real ones, from a caller's request to its answer, and
what they tell each other is encoded as on the wire.  Only connections, the
store and the platform's dialect are simulated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Final, cast

from bulrushstream.coordination.fleetstate import SWEEP_INTERVAL_S
from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.connections import EndpointConnections
from bulrushstream.daemon.front import Front, FrontDeps
from bulrushstream.history.routingendpoint import Attempt
from bulrushstream.history.routingplan import (
    CALLS_END_S,
    END_S,
    ENDPOINTS,
    Mishap,
    RouterFault,
    RoutingPlan,
    Trouble,
    Visit,
)
from bulrushstream.history.routingplatform import (
    DIALECT,
    config_of,
    entry_of,
    host_of,
    settings_of,
)
from bulrushstream.history.routingrecord import (
    Reply,
    RoutingHistory,
    Run,
)
from bulrushstream.metrics import make_metrics
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.state.routes import (
    RouteConfig,
)
from bulrushstream.transport.datagrams import HEARTBEAT_S, PeerSocket
from bulrushstream.transport.ingress import ClientConnection, Exchange
from bulrushstream.transport.upstream import Sink

POLL_S: Final = 0.5  # How often a router reads the store.
STORE_DELAY_S: Final = 0.02  # The store's delay, each way.


class _Caller:
    """A caller's connection; see `ClientConnection`."""

    closing = False
    accepts_chunked = True

    def __init__(self, reply: Reply, clock: Callable[[], float]) -> None:
        self._reply = reply
        self._clock = clock

    def write(self, data: bytes) -> None:
        """Take what the router writes."""
        self._reply.data += data

    def exchange_finished(self, exchange: Exchange) -> None:
        """Take the end of an answer."""
        del exchange
        self._reply.ends += 1
        self._reply.ended_s = self._clock()

    def abort(self) -> None:
        """Take the end of the connection."""
        self._reply.aborted = True
        self._reply.ended_s = self._clock()


@dataclass(slots=True)
class _Connections:
    """One router's connections to an endpoint; see `Pool`."""

    fleet: RoutingFleet
    router: int
    endpoint: str

    def send(self, method: bytes, sink: Sink, *, fresh: bool) -> Attempt:
        """Send a request."""
        del method, fresh
        self.fleet.check_drained(self.router, self.endpoint)
        return Attempt(self.fleet, self.endpoint, sink)

    def drop_idle(self) -> None:
        """Close idle connections, of which there are none."""


@dataclass(slots=True)
class _AllConnections:
    """One router's connections; see `EndpointConnections`."""

    fleet: RoutingFleet
    router: int

    def pool_for(self, endpoint: Any) -> _Connections:
        """Return the connections to an endpoint."""
        return _Connections(self.fleet, self.router, endpoint.name)

    def remove(self, endpoint: str) -> None:
        """Close idle connections, of which there are none."""

    def expire_idle(self) -> None:
        """Close idle connections, of which there are none."""


@dataclass(slots=True)
class _Wire:
    """The datagrams of one router; see `asyncio.DatagramTransport`."""

    fleet: RoutingFleet
    router: int

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.fleet.carry(self.router, address[0], data)

    def close(self) -> None:
        """Close the socket."""

    def is_closing(self) -> bool:
        """Return whether it is closed."""
        return False


class RoutingFleet:
    """Every router of a run, and what happened."""

    def __init__(self, plan: RoutingPlan) -> None:
        """Make a fleet that has not started.

        :param plan: what to do
        """
        self.plan = plan
        self.rng = Random(plan.seed)
        self.history = RoutingHistory()
        self.fronts: list[Front] = []
        self.ports: list[PeerSocket] = []
        self.working: dict[str, list[Attempt]] = {}
        self._boot_offset_s = [0.0] * plan.routers
        self._troubles: list[set[RouterFault]] = [
            set() for _ in range(plan.routers)
        ]
        self._revoked: set[int] = set()
        self._leaving: set[str] = set()
        self._version = 1

    async def run(self) -> None:
        """Carry the plan out."""
        loop = asyncio.get_running_loop()
        plan = self.plan
        for number in range(plan.routers):
            self._start(number)
        for fault in plan.faults:
            loop.call_later(fault.at_s, self._begin_fault, fault)
        for at_s, key in plan.revokes:
            loop.call_later(at_s, self._revoke, key)
        for at_s, name in plan.drains:
            loop.call_later(at_s, self._leaving.add, name)
        for number, visit in enumerate(plan.visits):
            loop.call_later(visit.at_s, self._visit, f"q{number}", visit)
        await asyncio.sleep(END_S)
        for front in self.fronts:
            self._note_leftovers(front)

    # --- Endpoints.

    def draw_mishap(self) -> Mishap:
        """Return what happens to the next attempt."""
        if asyncio.get_running_loop().time() > CALLS_END_S:
            return Mishap.NONE
        for mishap, part in self.plan.mishaps:
            if self.rng.random() < part:
                return mishap
        return Mishap.NONE

    def begin_run(
        self,
        attempt: Attempt,
        request_id: str,
        mishap: Mishap,
        left_s: float,
    ) -> None:
        """Note that an endpoint was handed a request.

        :param attempt: the endpoint's work on it
        :param request_id: the caller's id
        :param mishap: what happens to it
        :param left_s: the time that it was given
        """
        self.working.setdefault(request_id, []).append(attempt)
        self.history.runs.append(
            Run(
                asyncio.get_running_loop().time(),
                request_id,
                ENDPOINTS[attempt.endpoint],
                attempt.endpoint,
                mishap is not Mishap.BUSY,
                left_s,
            )
        )

    def check_drained(self, router: int, endpoint: str) -> None:
        """Note an attempt at an endpoint that its router knows to leave.

        :param router: the router's number
        :param endpoint: the endpoint's id
        """
        known = self.fronts[router].pool.by_name.get(endpoint)
        if known is None or known.entry.leaving:
            self.history.drained.append(f"router {router} to {endpoint}")

    # --- Routers.

    def carry(self, sender: int, host: str, data: bytes) -> None:
        """Carry a datagram from one router to another.

        :param sender: the sending router's number
        :param host: the IP number of the receiver
        :param data: the datagram
        """
        receiver = int(host.rsplit(".", 1)[1]) - 1
        cut = self._in(sender, Trouble.PEERS) or self._in(
            receiver, Trouble.PEERS
        )
        if cut or self.rng.random() < self.plan.loss:
            return
        asyncio.get_running_loop().call_later(
            self.rng.random() * self.plan.delay_s,
            self.ports[receiver].datagram_received,
            data,
            None,
        )

    def _start(self, number: int) -> None:
        """Start a router."""
        loop = asyncio.get_running_loop()
        wiring = FrontDeps(
            dialect=DIALECT,
            clock=loop.time,
            boot_clock=lambda: loop.time() + self._boot_offset_s[number],
            rng=Random(self.plan.seed + number),
            metrics=make_metrics(),
            observe=lambda decision: None,
            report=lambda kind, text: None,
        )
        front = Front(settings_of(number, self.plan.routers), wiring)
        front.connections = cast(
            EndpointConnections, _AllConnections(self, number)
        )
        port = PeerSocket(
            PeerUpdate(f"front-{number}", 1, host_of(number)),
            1,
            lambda update: front.fleet_state.apply_update(update, loop.time()),
            lambda kind, text: None,
        )
        port.hosts = front.peers.notified_hosts
        port.connection_made(
            cast(asyncio.DatagramTransport, _Wire(self, number))
        )
        front.fleet_state.notifier = port
        self.fronts.append(front)
        self.ports.append(port)
        self._read_store(number)
        self._every(HEARTBEAT_S, port.flush)
        self._every(SWEEP_INTERVAL_S, front.sweep)
        self._every(POLL_S, lambda: self._read_store(number))

    def _every(self, interval_s: float, step: Callable[[], None]) -> None:
        """Do something again and again."""
        loop = asyncio.get_running_loop()

        def go() -> None:
            step()
            loop.call_later(interval_s, go)

        loop.call_later(self.rng.random() * interval_s, go)

    def _read_store(self, number: int) -> None:
        """Let a router read the configuration and the list."""
        if self._in(number, Trouble.STORE):
            return
        loop = asyncio.get_running_loop()
        front = self.fronts[number]
        sent_boot_s = front.boot_clock()

        def read() -> None:
            config = config_of(self._version, self._revoked)
            leaving = set(self._leaving)
            loop.call_later(STORE_DELAY_S, answered, config, leaving)

        def answered(config: RouteConfig, leaving: set[str]) -> None:
            platformupdates.apply_config(front, config)
            for name in ENDPOINTS:
                platformupdates.apply_entry(
                    front, entry_of(name, name in leaving)
                )
            front.endpoints_listed = True
            front.freshness.confirm(sent_boot_s)

        loop.call_later(STORE_DELAY_S, read)

    # --- Faults.

    def _in(self, router: int, trouble: Trouble) -> bool:
        """Return whether a router is in some trouble."""
        troubles = self._troubles[router]
        return any(fault.trouble is trouble for fault in troubles)

    def _begin_fault(self, fault: RouterFault) -> None:
        """Begin a fault."""
        if fault.trouble is Trouble.SUSPEND:
            # The steady clock does not count the time.
            self._boot_offset_s[fault.router] += fault.for_s
            return
        troubles = self._troubles[fault.router]
        troubles.add(fault)
        asyncio.get_running_loop().call_later(
            fault.for_s, troubles.discard, fault
        )

    def _revoke(self, key: int) -> None:
        """Take a key away."""
        self._revoked.add(key)
        self._version += 1
        self.history.revoked_boot_s[key] = tuple(
            front.boot_clock() for front in self.fronts
        )

    # --- Callers.

    def _visit(self, request_id: str, visit: Visit) -> None:
        """Let a caller send its request."""
        loop = asyncio.get_running_loop()
        front = self.fronts[visit.router]
        reply = Reply(visit, loop.time(), front.boot_clock())
        self.history.replies[request_id] = reply
        caller = _Caller(reply, loop.time)
        exchange = Exchange(cast(ClientConnection, caller))
        exchange.method = b"POST"
        exchange.target = f"/{visit.route}/{request_id}".encode()
        exchange.headers = [(b"key", b"key%d" % visit.key)]
        exchange.arrived_s = loop.time()
        front.handle(exchange)
        if visit.leaves_s is not None:
            loop.call_later(
                visit.leaves_s, self._leave, request_id, exchange, reply
            )

    def _leave(
        self, request_id: str, exchange: Exchange, reply: Reply
    ) -> None:
        """Let a caller leave."""
        if exchange.ended:
            return
        exchange.ended = True
        reply.left = True
        if exchange.on_disconnect is not None:
            exchange.on_disconnect()
        if any(each.working for each in self.working.get(request_id, [])):
            self.history.abandoned.append(f"{request_id} runs for nobody")

    def _note_leftovers(self, front: Front) -> None:
        """Note what a router has not forgotten at the end of a run."""
        name = front.settings.instance
        for endpoint in front.pool.by_name.values():
            running = len(endpoint.view.running) if endpoint.view else 0
            if endpoint.outstanding or running:
                self.history.leftovers.append(
                    f"{name} counts {endpoint.outstanding} requests and"
                    f" {running} runs at {endpoint.name}"
                )
        if front.forwards:
            self.history.leftovers.append(
                f"{name} still has {len(front.forwards)} requests"
            )
