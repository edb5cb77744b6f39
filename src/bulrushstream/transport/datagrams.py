"""Datagrams with updates to and from the other routers.

Changes are batched for a few milliseconds before they are sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final, Protocol

from bulrushstream.coordination.fleetview import Paths
from bulrushstream.protocol.peercodec import (
    DatagramError,
    decode_update,
    encode_update,
)
from bulrushstream.state.evacuation import EvacuationReport
from bulrushstream.state.partevidence import PartProof, PartStrikes
from bulrushstream.state.peerupdate import (
    ColdEndpoint,
    CrashSuspect,
    EndpointLimit,
    FirstEvent,
    LatelyMixed,
    PeerUpdate,
    RepeatedReports,
    RequestPlaced,
    WorkspaceTotals,
)
from bulrushstream.state.returns import ReturnPromise
from bulrushstream.state.streamorigin import StreamOrigin

# How long events are batched; a fraction of the time between requests.
FLUSH_DELAY_S: Final = 0.004

# Each datagram costs every router processor time, so a large fleet batches
# events for longer, by up to the first factor, and totals alone by up to the
# second one.
ROUTERS_PER_DELAY: Final = 16
MAX_DELAY_FACTOR: Final = 3.0
MAX_TOTALS_DELAY_FACTOR: Final = 16.0

# The longest time between two updates, so that peers know of each other.
HEARTBEAT_S: Final = 0.5

# Events, and workspaces' totals, strikes or parts, per datagram; these keep
# its size far below a network link's limit.
MAX_EVENTS: Final = 24
MAX_TOTALS: Final = 64

# Other hosts that a heartbeat names, so that routers find each other.
MAX_TOLD_HOSTS: Final = 4


@dataclass(slots=True)
class _PendingEvents:
    """Events that have not been sent yet."""

    placements: list[RequestPlaced] = field(default_factory=list)
    first_events: list[FirstEvent] = field(default_factory=list)
    ended_calls: list[int] = field(default_factory=list)
    changed_totals: set[str] = field(default_factory=set)  # Workspaces.
    crash_suspects: list[CrashSuspect] = field(default_factory=list)
    cleared: list[int] = field(default_factory=list)
    part_strikes: list[PartStrikes] = field(default_factory=list)
    part_proofs: list[PartProof] = field(default_factory=list)
    limits: list[EndpointLimit] = field(default_factory=list)
    mixed_services: set[str] = field(default_factory=set)
    # The starts of the processes, by the endpoint's id.
    leaving_endpoints: dict[str, str] = field(default_factory=dict)
    evacuations: EvacuationReport | None = None
    lately_mixed: tuple[LatelyMixed, ...] = ()  # Only in heartbeats.
    list_age_s: float | None = None  # The same.
    cold_endpoints: list[ColdEndpoint] = field(default_factory=list)
    # With the time at which they were made.
    promises: list[tuple[float, ReturnPromise]] = field(default_factory=list)
    returned: list[int] = field(default_factory=list)

    def size(self) -> int:
        """Return the number of events, totals not included."""
        events = (
            len(self.placements)
            + len(self.first_events)
            + len(self.ended_calls)
        )
        events += len(self.crash_suspects) + len(self.cleared)
        events += len(self.part_strikes) + len(self.part_proofs)
        events += len(self.promises) + len(self.returned)
        return events + len(self.limits) + len(self.cold_endpoints)

    @property
    def has_events(self) -> bool:
        """Return whether requests were placed, began, ended or return."""
        return bool(
            self.placements
            or self.first_events
            or self.ended_calls
            or self.promises
            or self.returned
        )

    @property
    def has_reports(self) -> bool:
        """Return whether there is anything else, totals not included."""
        return bool(
            self.crash_suspects
            or self.cleared
            or self.part_strikes
            or self.part_proofs
            or self.limits
            or self.mixed_services
            or self.leaving_endpoints
            or self.evacuations
            or self.cold_endpoints
        )


@dataclass(slots=True)
class _Totals:
    """Requested and granted tokens of one workspace."""

    since_s: float  # When counting began.
    requested: int = 0
    granted: int = 0


class DatagramSender(Protocol):
    """Sends datagrams, as `udp.UdpSocket` does."""

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""

    def close(self) -> None:
        """Close the socket."""


class PeerSocket:
    """The UDP socket on which routers report their requests to each other."""

    def __init__(
        self,
        identity: PeerUpdate,
        port: int,
        receive: Callable[[PeerUpdate], None],
        report: Callable[[str, str], None],
    ) -> None:
        """Make an object that has no socket yet.

        :param identity: an update that only identifies this router
        :param port: every router's port for these datagrams
        :param receive: called with each update of another router
        :param report: called with a kind and a text for the log
        """
        self._identity = identity
        self._port = port
        self._receive = receive
        self._report = report
        self._sender: DatagramSender | None = None
        self._pending = _PendingEvents()
        self._pending_origins: dict[str, list[StreamOrigin]] = {}  # By host.
        self._totals: dict[str, _Totals] = {}  # By workspace.
        # Workspaces whose totals go with the next heartbeat as well.
        self._repeated_totals: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._routers = 1  # Other routers at the last heartbeat.
        # Hosts that have been told of in heartbeats so far.
        self._told_hosts = 0
        self.hosts: Callable[[], tuple[str, ...]] = tuple
        self.zone = ""  # This router's availability zone.
        # How an update reaches all routers.
        self.paths: Callable[[], Paths] = lambda: Paths(self.hosts())
        # Returns the hosts to which a received update is to be passed on.
        self.pass_on_to: Callable[[PeerUpdate], tuple[str, ...]] = (
            lambda update: ()
        )
        # Returns the reports that the next heartbeat repeats.
        self.repeated_reports: Callable[[], RepeatedReports] = RepeatedReports
        self.leaving = False
        self.sent_bytes = 0
        self.received_bytes = 0

    def attach(self, sender: DatagramSender) -> None:
        """Set the socket that updates are sent with.

        :param sender: the socket
        """
        self._sender = sender

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Decode an update and pass it on; see `udp.DatagramReceiver`."""
        self.received_bytes += len(data)
        try:
            update = decode_update(data)
        except DatagramError as error:
            self._report("bad_datagram", str(error))
            return
        own = self._identity
        if update.instance == own.instance:
            return
        try:
            self._receive(update)
        except Exception as error:
            self._report("bad_datagram", f"{update.instance}: {error!r}")
            return
        # Not if it was passed on already.
        sender = addr[0] if isinstance(addr, tuple) else ""
        if update.pass_on and sender == update.host:
            self._send_data(self.pass_on_to(update), data)

    def error_received(self, exc: Exception) -> None:
        """Log an unreachable peer; it is detected by its missing updates."""
        self._report("peer_unreachable", str(exc))

    def report_placed(self, placed: RequestPlaced) -> None:
        """Report that a request was sent to an endpoint.

        :param placed: the request and the endpoint
        """
        self._pending.placements.append(placed)
        self._schedule_flush()

    def report_started(self, started: FirstEvent) -> None:
        """Report that the first event of a request arrived.

        :param started: the request and the observed prefill rate
        """
        self._pending.first_events.append(started)
        self._schedule_flush()

    def report_ended(self, call: int) -> None:
        """Report that a request ended.

        :param call: the request's number
        """
        self._pending.ended_calls.append(call)
        self._schedule_flush()

    def report_usage(
        self, workspace: str, requested: int, granted: int
    ) -> None:
        """Add to a workspace's totals and report them with the next update.

        :param workspace: the workspace's name
        :param requested: the tokens that its requests need
        :param granted: the tokens of requests that an engine got; negative:
            of those that it did not run
        """
        totals = self._totals.get(workspace)
        if totals is None:
            totals = _Totals(asyncio.get_running_loop().time())
            self._totals[workspace] = totals
        totals.requested += requested
        totals.granted += granted
        self._pending.changed_totals.add(workspace)
        self._schedule_flush(only_totals=True)

    def repeat_usage(self) -> None:
        """Report the totals of all workspaces with the next heartbeat."""
        self._repeated_totals.update(self._totals)

    def report_strike(self, suspect: CrashSuspect) -> None:
        """Report that a request was in flight when an endpoint crashed.

        :param suspect: the request and the endpoint
        """
        self._pending.crash_suspects.append(suspect)
        self._schedule_flush()

    def report_cleared(self, fingerprint: int) -> None:
        """Report that an endpoint answered a request and did not crash.

        :param fingerprint: the request's digest
        """
        self._pending.cleared.append(fingerprint)
        self._schedule_flush()

    def report_part_strikes(self, strikes: PartStrikes) -> None:
        """Report parts that were in flight when an endpoint crashed.

        :param strikes: the parts and the endpoint
        """
        self._pending.part_strikes.append(strikes)
        self._schedule_flush()

    def report_part_proof(self, proof: PartProof) -> None:
        """Report that an endpoint wrote a whole answer on a part.

        :param proof: the part and the time
        """
        self._pending.part_proofs.append(proof)
        self._schedule_flush()

    def report_limit(self, limit: EndpointLimit) -> None:
        """Report a limit that an endpoint names, or that has ended.

        :param limit: the limit
        """
        self._pending.limits.append(limit)
        self._schedule_flush()

    def report_cold(self, cold: ColdEndpoint) -> None:
        """Report that an endpoint is cold.

        :param cold: the endpoint
        """
        self._pending.cold_endpoints.append(cold)
        self._schedule_flush()

    def report_mixed(self, service: str) -> None:
        """Report that a service's endpoints have several versions.

        :param service: the service's name
        """
        self._pending.mixed_services.add(service)
        self._schedule_flush()

    def report_leaving(self, endpoint: str, born: str) -> None:
        """Report that an endpoint says that it leaves.

        :param endpoint: the endpoint's id
        :param born: the start of its process; empty: not told
        """
        self._pending.leaving_endpoints[endpoint] = born
        self._schedule_flush()

    def report_evacuations(self, report: EvacuationReport) -> None:
        """Report the evacuated zones, as they changed.

        :param report: all of them
        """
        self._pending.evacuations = report

    def report_promise(self, promise: ReturnPromise) -> None:
        """Report that a refused caller was given a time to return.

        :param promise: the promise
        """
        now_s = asyncio.get_running_loop().time()
        self._pending.promises.append((now_s, promise))
        self._schedule_flush()

    def report_returned(self, digest: int) -> None:
        """Report that a request returned that had a promise.

        :param digest: the request's digest
        """
        self._pending.returned.append(digest)
        self._schedule_flush()

    def send_origin(self, host: str, origin: StreamOrigin) -> None:
        """Tell one router where a stream began; see `OriginNotifier`."""
        waiting = self._pending_origins.setdefault(host, [])
        waiting.append(origin)
        if len(waiting) >= MAX_EVENTS:
            self._send_origins()
        else:
            self._schedule_flush()

    def ask_origin(self, host: str, stream: int) -> None:
        """Ask one router where a stream began; see `OriginNotifier`."""
        own = self._identity
        update = PeerUpdate(
            own.instance, own.incarnation, own.host, asked_origins=(stream,)
        )
        self._send_to((host,), update)

    def beat(self) -> None:
        """Send a heartbeat: an update even if nothing is pending.

        It repeats the totals that changed since the last one, and other
        recent reports, in case that the updates with them were lost.
        """
        reports = self.repeated_reports()
        self._pending.crash_suspects.extend(reports.crash_suspects)
        self._pending.part_strikes.extend(reports.part_strikes)
        self._pending.part_proofs.extend(reports.part_proofs)
        self._pending.limits.extend(reports.limits)
        self._pending.mixed_services.update(reports.mixed_services)
        self._pending.leaving_endpoints.update(reports.leaving_endpoints)
        self._pending.evacuations = reports.evacuations
        self._pending.lately_mixed = reports.lately_mixed
        self._pending.list_age_s = reports.list_age_s
        self._pending.cold_endpoints.extend(reports.cold_endpoints)
        repeated, self._repeated_totals = self._repeated_totals, set()
        self._pending.changed_totals |= repeated
        self._flush(heartbeat=True)
        # They were repeated now, so the next heartbeat leaves them out.
        self._repeated_totals.clear()

    def flush(self) -> None:
        """Send the pending events and reports."""
        self._flush(heartbeat=self.leaving)

    def _flush(self, *, heartbeat: bool) -> None:
        """Send what is pending, and a heartbeat if that is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._send_origins()
        pending, self._pending = self._pending, _PendingEvents()
        self._repeated_totals |= pending.changed_totals
        totals = self._report_totals(pending.changed_totals)
        events = replace(
            self._identity,
            placements=tuple(pending.placements),
            first_events=tuple(pending.first_events),
            ended_calls=tuple(pending.ended_calls),
            totals=tuple(totals[:MAX_TOTALS]),
            promises=_aged(pending.promises),
            returned=tuple(pending.returned),
            leaving=self.leaving,
        )
        paths = self.paths()
        if heartbeat:
            self._routers = len(self.hosts())
        if not (heartbeat or pending.has_reports):
            self._send_by_zone(events, paths)
        elif not paths.relays:
            self._send(self._add_reports(events, pending, heartbeat))
        else:
            if pending.has_events or totals:
                self._send_by_zone(events, paths)
            self._send(self._add_reports(self._identity, pending, heartbeat))
        for begin in range(MAX_TOTALS, len(totals), MAX_TOTALS):
            part = tuple(totals[begin : begin + MAX_TOTALS])
            self._send_by_zone(replace(self._identity, totals=part), paths)
        strikes, proofs = pending.crash_suspects, pending.part_proofs
        last = max(len(strikes), len(proofs))
        for begin in range(MAX_TOTALS, last, MAX_TOTALS):
            chunk = slice(begin, begin + MAX_TOTALS)
            self._send(
                replace(
                    self._identity,
                    crash_suspects=tuple(strikes[chunk]),
                    part_proofs=tuple(proofs[chunk]),
                )
            )
        for group in _group_by_size(pending.part_strikes):
            self._send(replace(self._identity, part_strikes=tuple(group)))

    def _add_reports(
        self, update: PeerUpdate, pending: _PendingEvents, heartbeat: bool
    ) -> PeerUpdate:
        """Add what each router must get from this one itself."""
        leaving = sorted(pending.leaving_endpoints.items())
        starts = tuple(born for _, born in leaving)
        return replace(
            update,
            crash_suspects=tuple(pending.crash_suspects[:MAX_TOTALS]),
            cleared=tuple(pending.cleared),
            part_proofs=tuple(pending.part_proofs[:MAX_TOTALS]),
            limits=tuple(pending.limits),
            mixed_services=tuple(sorted(pending.mixed_services)),
            lately_mixed=pending.lately_mixed,
            list_age_s=pending.list_age_s,
            leaving_endpoints=tuple(name for name, _ in leaving),
            leaving_starts=starts if any(starts) else (),
            cold_endpoints=tuple(pending.cold_endpoints),
            known_hosts=self._next_hosts() if heartbeat else (),
            zone=self.zone if heartbeat else "",
            leaving=self.leaving,
            evacuations=pending.evacuations,
        )

    def _next_hosts(self) -> tuple[str, ...]:
        """Return the hosts that the next heartbeat names, all in turn."""
        hosts = self.hosts()
        if len(hosts) <= MAX_TOLD_HOSTS:
            return hosts
        begin = self._told_hosts % len(hosts)
        self._told_hosts = begin + MAX_TOLD_HOSTS
        return (hosts + hosts)[begin : begin + MAX_TOLD_HOSTS]

    def _send_origins(self) -> None:
        """Send the pending origins, each to its router."""
        pending, self._pending_origins = self._pending_origins, {}
        own = self._identity
        for host, origins in pending.items():
            update = PeerUpdate(
                own.instance,
                own.incarnation,
                own.host,
                origins=tuple(origins),
            )
            self._send_to((host,), update)

    def _send(self, update: PeerUpdate) -> None:
        """Send an update to all peers."""
        self._send_to(self.hosts(), update)

    def _send_by_zone(self, update: PeerUpdate, paths: Paths) -> None:
        """Send an update to all peers, once to each other zone."""
        if paths.relays:
            update = replace(update, pass_on=True)
        self._send_to(paths.direct + paths.relays, update)

    def _send_to(self, hosts: tuple[str, ...], update: PeerUpdate) -> None:
        """Send an update to some routers."""
        if hosts:
            self._send_data(hosts, encode_update(update))

    def _send_data(self, hosts: tuple[str, ...], data: bytes) -> None:
        """Send a datagram to some routers."""
        sender = self._sender
        if sender is None or sender.is_closing():
            return
        for host in hosts:
            sender.sendto(data, (host, self._port))
            self.sent_bytes += len(data)

    def _report_totals(self, workspaces: set[str]) -> list[WorkspaceTotals]:
        """Return the totals of some workspaces."""
        if not workspaces:
            return []
        now_s = asyncio.get_running_loop().time()
        return [
            WorkspaceTotals(
                name,
                self._totals[name].requested,
                self._totals[name].granted,
                now_s - self._totals[name].since_s,
            )
            for name in sorted(workspaces)
        ]

    def close(self) -> None:
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._sender is not None:
            self._sender.close()

    def _schedule_flush(self, *, only_totals: bool = False) -> None:
        """Schedule a flush; flush now if a datagram is full."""
        if self._pending.size() >= MAX_EVENTS:
            self.flush()
            return
        loop = asyncio.get_running_loop()
        delay_s = flush_delay_s(self._routers, only_totals=only_totals)
        at_s = loop.time() + delay_s
        if self._timer is not None:
            if self._timer.when() <= at_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(at_s, self.flush)


def flush_delay_s(routers: int, *, only_totals: bool) -> float:
    """Return how long events are batched, in seconds.

    :param routers: the number of other routers
    :param only_totals: whether only totals of workspaces have changed
    """
    factor = min(MAX_DELAY_FACTOR, routers / ROUTERS_PER_DELAY)
    if only_totals:
        factor = min(MAX_TOTALS_DELAY_FACTOR, 4 * routers / ROUTERS_PER_DELAY)
    return FLUSH_DELAY_S * max(1.0, factor)


def _aged(
    promises: list[tuple[float, ReturnPromise]],
) -> tuple[ReturnPromise, ...]:
    """Return promises as of now; a process may stall before it sends."""
    if not promises:
        return ()
    now_s = asyncio.get_running_loop().time()
    return tuple(promise.after(now_s - at_s) for at_s, promise in promises)


def _group_by_size(reports: list[PartStrikes]) -> list[list[PartStrikes]]:
    """Split reports so that each group fits in a datagram."""
    groups: list[list[PartStrikes]] = []
    size = MAX_TOTALS
    for report in reports:
        size += len(report.parts) + 1
        if size > MAX_TOTALS:
            groups.append([])
            size = len(report.parts) + 1
        groups[-1].append(report)
    return groups
