"""Front-end routers in virtual time, with simulated callers and endpoints.

The routers run their real code from a caller's request to its answer, and
the updates that they exchange are encoded as on the wire.  Connections, the
store and the platform's dialect are simulated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Final, cast

from bulrushstream.coordination.fleetstate import SWEEP_INTERVAL_S
from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.connections import EndpointConnections
from bulrushstream.daemon.crashstore import CrashStore
from bulrushstream.daemon.endpointlist import EndpointList
from bulrushstream.daemon.front import Front, FrontDeps
from bulrushstream.daemon.versionrecords import version_tasks
from bulrushstream.daemon.watch import Snapshot
from bulrushstream.history.routingconnections import (
    CallerConnection,
    DatagramSender,
    RouterConnections,
)
from bulrushstream.history.routingendpoint import Attempt
from bulrushstream.history.routingplan import (
    END_S,
    ENDPOINTS,
    FIRST_VERSION,
    MAX_TRIES,
    RELEASED,
    REQUESTS_END_S,
    REST_S,
    AttemptFault,
    PlannedRequest,
    RouterFault,
    RouterFaultKind,
    RoutingPlan,
)
from bulrushstream.history.routingplatform import (
    DIALECT,
    config_of,
    host_of,
    odd_record,
    record_of,
    settings_of,
)
from bulrushstream.history.routingrecord import (
    Reply,
    RoutingHistory,
    Run,
)
from bulrushstream.history.simulatedstore import SimulatedStore
from bulrushstream.metrics import make_metrics
from bulrushstream.state.peerupdate import PeerUpdate
from bulrushstream.state.routes import (
    RouteConfig,
)
from bulrushstream.transport.datagrams import HEARTBEAT_S, PeerSocket
from bulrushstream.transport.exchange import Exchange
from bulrushstream.transport.ingress import ClientConnection

CONNECT_AGAIN_S: Final = 0.05  # Until a caller tries again.
TAKEN_UP_ROUTE: Final = "talk"  # Its callers take up broken streams.
POLL_S: Final = 0.5  # Interval at which a router reads the store.
STORE_DELAY_S: Final = 0.02  # The store's latency, each way.
EPOCH_S: Final = 1.8e9  # The time of day at which runs begin.


class RoutingFleet:
    """The routers of a run and the history that they produce."""

    def __init__(self, plan: RoutingPlan) -> None:
        """Create a fleet that has not started.

        :param plan: the requests and faults of the run
        """
        self.plan = plan
        self.rng = Random(plan.seed)
        self.history = RoutingHistory()
        self.fronts: list[Front] = []
        self.ports: list[PeerSocket] = []
        self.attempts: dict[str, list[Attempt]] = {}
        self._boot_offset_s = [0.0] * plan.routers
        self._active_faults: list[set[RouterFault]] = [
            set() for _ in range(plan.routers)
        ]
        self._revoked: set[int] = set()
        self._draining: set[str] = set()
        self._version = 1
        self._store = SimulatedStore()
        self._incarnations = [0] * plan.routers
        self._tasks: list[asyncio.Task[None]] = []
        self._back_s = 0.0  # When the routers run again.
        # The first request of streams that callers take up, by request.
        self._first_ids: dict[str, str] = {}

    async def run(self) -> None:
        """Run the plan to its end."""
        loop = asyncio.get_running_loop()
        plan = self.plan
        self._start_all()
        for at_s, dark_s in plan.restarts:
            loop.call_later(at_s, self._end_all, dark_s)
        for fault in plan.faults:
            loop.call_later(fault.at_s, self._begin_fault, fault)
        for at_s, key in plan.revocations:
            loop.call_later(at_s, self._revoke_key, key)
        for at_s, name in plan.drains:
            loop.call_later(at_s, self._draining.add, name)
        for number, request in enumerate(plan.requests):
            loop.call_later(
                request.at_s, self._send_request, f"q{number}", request
            )
        await asyncio.sleep(END_S)
        for front in self.fronts:
            self._record_leaks(front)
        for task in self._tasks:
            task.cancel()

    # --- Endpoints.

    def draw_fault(self) -> AttemptFault:
        """Draw the fault of the next attempt."""
        if asyncio.get_running_loop().time() > REQUESTS_END_S:
            return AttemptFault.NONE
        for fault, rate in self.plan.fault_rates:
            if self.rng.random() < rate:
                return fault
        return AttemptFault.NONE

    def record_run(
        self,
        attempt: Attempt,
        request_id: str,
        fault: AttemptFault,
        timeout_s: float,
    ) -> None:
        """Record that an endpoint received a request.

        :param attempt: the attempt at the endpoint
        :param request_id: the caller's request id
        :param fault: the fault that the endpoint simulates
        :param timeout_s: the remaining time that the router sent
        """
        self.attempts.setdefault(request_id, []).append(attempt)
        self.history.runs.append(
            Run(
                asyncio.get_running_loop().time(),
                request_id,
                ENDPOINTS[attempt.endpoint],
                attempt.endpoint,
                fault not in (AttemptFault.BUSY, AttemptFault.REST),
                timeout_s,
                attempt.router,
            )
        )

    def says_leaving(self, attempt: Attempt) -> bool:
        """Return whether the answer to an attempt says that it leaves."""
        now_s = asyncio.get_running_loop().time()
        if not any(
            name == attempt.endpoint and at_s <= now_s
            for at_s, name in self.plan.notices
        ):
            return False
        key = attempt.router, attempt.endpoint
        self.history.left_s.setdefault(key, now_s)
        return True

    def rest_asked(self, attempt: Attempt) -> None:
        """Record that an endpoint asks a router for rest."""
        now_s = asyncio.get_running_loop().time()
        self.history.rests.append((now_s, attempt.router, attempt.endpoint))

    def event_sent(self, attempt: Attempt, request_id: str) -> None:
        """Record that an endpoint wrote an event."""
        version = RELEASED.get(attempt.endpoint, FIRST_VERSION)
        first_id = self._first_ids.get(request_id, request_id)
        self.history.versions.setdefault(first_id, set()).add(version)

    def check_not_draining(self, router: int, endpoint: str) -> None:
        """Record an attempt at an endpoint that its router knows is draining.

        :param router: the router's number
        :param endpoint: the endpoint's id
        """
        known = self.fronts[router].pool.by_name.get(endpoint)
        if known is None or known.entry.leaving:
            self.history.sent_to_draining.append(
                f"router {router} sent a request to draining {endpoint}"
            )

    # --- Routers.

    def send_datagram(self, sender: int, host: str, data: bytes) -> None:
        """Send a datagram from one router to another.

        :param sender: the sending router's number
        :param host: the receiver's IP address
        :param data: the datagram
        """
        receiver = int(host.rsplit(".", 1)[1]) - 1
        blocked = self._has_fault(
            sender, RouterFaultKind.PEERS
        ) or self._has_fault(receiver, RouterFaultKind.PEERS)
        if blocked or self.rng.random() < self.plan.loss:
            return
        delay_s = self.rng.random() * self.plan.delay_s
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, receiver, data)

    def _deliver(self, receiver: int, data: bytes) -> None:
        """Deliver a datagram if its receiver runs."""
        if self.ports:
            self.ports[receiver].datagram_received(data, None)

    def _start_all(self) -> None:
        """Start all routers."""
        for number in range(self.plan.routers):
            self._start(number)

    def _end_all(self, dark_s: float) -> None:
        """End all routers, without notice, until they start again."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._back_s:
            return
        self._back_s = loop.time() + dark_s
        for task in self._tasks:
            task.cancel()
        for front in self.fronts:
            for forward in list(front.forwards):
                forward.exchange.abort()
                forward.stop()
        for port in self.ports:
            port.close()
        self._tasks, self.fronts, self.ports = [], [], []
        # Routers forget what endpoints had asked of them.
        self.history.left_s.clear()
        self.history.rests = [
            rest
            for rest in self.history.rests
            if rest[0] + REST_S < loop.time()
        ]
        loop.call_later(dark_s, self._start_all)

    def _start(self, number: int) -> None:
        """Start a router."""
        loop = asyncio.get_running_loop()
        self._incarnations[number] += 1
        deps = FrontDeps(
            dialect=DIALECT,
            clock=loop.time,
            boot_clock=lambda: loop.time() + self._boot_offset_s[number],
            time_of_day=lambda: EPOCH_S + loop.time(),
            rng=Random(self.plan.seed + number),
            metrics=make_metrics(),
            observe=lambda decision: None,
            report=lambda kind, text: None,
            report_shares=lambda report: None,
        )
        settings = settings_of(number, self.plan.routers)
        first = self._incarnations[number] == 1
        front = Front(replace(settings, first_start=first), deps)
        front.connections = cast(
            EndpointConnections, RouterConnections(self, number)
        )
        port = PeerSocket(
            PeerUpdate(
                f"front-{number}", self._incarnations[number], host_of(number)
            ),
            1,
            lambda update: front.fleet_state.apply_update(update, loop.time()),
            lambda kind, text: None,
        )
        front.connect_peers(port)
        port.attach(DatagramSender(self, number))
        self.fronts.append(front)
        self.ports.append(port)
        crashes = CrashStore(self._store, DIALECT.topics.crashes, front)
        for work in (
            *version_tasks(self._store, front),
            crashes.read,
            crashes.write,
        ):
            self._tasks.append(loop.create_task(work()))
        endpoints = EndpointList(front, self._record_fault)
        self._read_store(number, endpoints)
        self._repeat(front, HEARTBEAT_S, port.beat)
        self._repeat(front, SWEEP_INTERVAL_S, front.sweep)
        self._repeat(
            front, POLL_S, lambda: self._read_store(number, endpoints)
        )

    def _repeat(
        self, front: Front, interval_s: float, step: Callable[[], None]
    ) -> None:
        """Call a function at an interval while a router runs.

        It begins at a random offset.
        """
        loop = asyncio.get_running_loop()

        def run_step() -> None:
            if front in self.fronts:
                step()
                loop.call_later(interval_s, run_step)

        loop.call_later(self.rng.random() * interval_s, run_step)

    def _record_fault(self, error: Exception) -> None:
        """Record a failure that only a record made to fail explains."""
        if not isinstance(error, ArithmeticError):
            self.history.exceptions.append(repr(error))

    def _read_store(self, number: int, endpoints: EndpointList) -> None:
        """Let a router read the configuration and the endpoint list."""
        if self._has_fault(number, RouterFaultKind.STORE):
            return
        loop = asyncio.get_running_loop()
        front = self.fronts[number]
        sent_boot_s = front.boot_clock()

        def read() -> None:
            config = config_of(self._version, self._revoked)
            draining = set(self._draining)
            loop.call_later(STORE_DELAY_S, apply, config, draining)

        def apply(config: RouteConfig, draining: set[str]) -> None:
            platformupdates.apply_config(front, config)
            endpoints.handle(Snapshot(self._list_endpoints(draining)))
            front.streams.history.list_read(sent_boot_s)
            front.freshness.confirm(sent_boot_s)

        loop.call_later(STORE_DELAY_S, read)

    def _list_endpoints(self, draining: set[str]) -> dict[str, bytes]:
        """Return the records of the endpoint list, odd ones first."""
        now_s = asyncio.get_running_loop().time()
        records = {
            f"odd-{kind}": odd_record(kind)
            for at_s, kind in self.plan.odd_records
            if at_s <= now_s
        }
        for name in ENDPOINTS:
            if name not in RELEASED or now_s >= self.plan.release_s:
                records[name] = record_of(name, name in draining)
        return records

    # --- Faults.

    def _has_fault(self, router: int, kind: RouterFaultKind) -> bool:
        """Return whether a router has an active fault of a kind."""
        active = self._active_faults[router]
        return any(fault.kind is kind for fault in active)

    def _begin_fault(self, fault: RouterFault) -> None:
        """Begin a fault and schedule its end."""
        if fault.kind is RouterFaultKind.SUSPEND:
            # Only the boot clock counts suspended time.
            self._boot_offset_s[fault.router] += fault.duration_s
            return
        active = self._active_faults[fault.router]
        active.add(fault)
        asyncio.get_running_loop().call_later(
            fault.duration_s, active.discard, fault
        )

    def _revoke_key(self, key: int) -> None:
        """Revoke a key in a new configuration version."""
        self._revoked.add(key)
        self._version += 1
        now_s = asyncio.get_running_loop().time()
        self.history.revoked_boot_s[key] = tuple(
            now_s + offset_s for offset_s in self._boot_offset_s
        )

    # --- Callers.

    def _send_request(
        self,
        request_id: str,
        request: PlannedRequest,
        after: int = 0,
    ) -> None:
        """Send a caller's request to its router.

        While no router runs, the caller tries to connect until one does.
        """
        loop = asyncio.get_running_loop()
        if not self.fronts:
            wait_s = self._back_s - loop.time() + CONNECT_AGAIN_S
            loop.call_later(
                wait_s, self._send_request, request_id, request, after
            )
            return
        front = self.fronts[request.router]
        reply = Reply(request, loop.time(), front.boot_clock(), after)
        self.history.replies[request_id] = reply
        caller = CallerConnection(
            reply, loop.time, lambda: self._take_up(request_id, reply)
        )
        exchange = Exchange(cast(ClientConnection, caller))
        exchange.method = b"POST"
        exchange.target = f"/{request.route}/{request_id}".encode()
        exchange.headers = [(b"key", b"key%d" % request.key)]
        if request_id in self._first_ids:
            first_id = self._first_ids[request_id].encode()
            exchange.headers.append((b"first", first_id))
            exchange.headers.append((b"after", b"%d" % after))
        exchange.arrived_s = loop.time()
        front.handle(exchange)
        if request.disconnects_after_s is not None:
            loop.call_later(
                request.disconnects_after_s,
                self._disconnect,
                request_id,
                exchange,
                reply,
            )

    def _take_up(self, request_id: str, reply: Reply) -> None:
        """Take a stream up at any router, if it broke off after an event."""
        loop = asyncio.get_running_loop()
        request = reply.request
        events = reply.data.count(b"\n\n")
        if request.route != TAKEN_UP_ROUTE or reply.disconnected:
            return
        first_id = self._first_ids.get(request_id, request_id)
        tries = list(self._first_ids.values()).count(first_id) + 1
        if not events or tries >= MAX_TRIES or loop.time() > REQUESTS_END_S:
            return
        next_id = f"q{len(self.plan.requests) + len(self._first_ids)}"
        self._first_ids[next_id] = first_id
        router = self.rng.randrange(self.plan.routers)
        again = replace(
            request,
            at_s=loop.time(),
            router=router,
            disconnects_after_s=None,
        )
        loop.call_later(
            CONNECT_AGAIN_S,
            self._send_request,
            next_id,
            again,
            reply.after + events,
        )

    def _disconnect(
        self, request_id: str, exchange: Exchange, reply: Reply
    ) -> None:
        """Close a caller's connection unless its request is done."""
        if exchange.ended:
            return
        exchange.ended = True
        reply.disconnected = True
        if exchange.on_disconnect is not None:
            exchange.on_disconnect()
        if any(
            attempt.working for attempt in self.attempts.get(request_id, [])
        ):
            self.history.orphaned_runs.append(
                f"{request_id} still runs after its caller disconnected"
            )

    def _record_leaks(self, front: Front) -> None:
        """Record request state that a router still has at the end."""
        name = front.settings.instance
        for endpoint in front.pool.by_name.values():
            running = len(endpoint.view.running) if endpoint.view else 0
            if endpoint.outstanding or running:
                self.history.leaks.append(
                    f"{name} still counts {endpoint.outstanding} requests and"
                    f" {running} runs at {endpoint.name}"
                )
        if front.forwards:
            self.history.leaks.append(
                f"{name} still forwards {len(front.forwards)} requests"
            )
