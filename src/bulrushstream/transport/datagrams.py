"""Updates to and from the other routers, gathered for a few milliseconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, cast

from bulrushstream.protocol.peercodec import (
    DatagramError,
    decode_update,
    encode_update,
)
from bulrushstream.state.peerupdate import (
    CrashSuspect,
    FirstEvent,
    PeerUpdate,
    RequestPlaced,
    TokenDemand,
)

# How long events are gathered; a fraction of the time between requests.
GATHER_S: Final = 0.004

# An update is sent at the latest after this, so that peers know each other.
HEARTBEAT_S: Final = 0.5

# Events in one datagram, so that it stays far below what a link takes.
MAX_EVENTS: Final = 24


@dataclass(slots=True)
class _Gathered:
    """What is to be told."""

    placed: list[RequestPlaced] = field(default_factory=list)
    started: list[FirstEvent] = field(default_factory=list)
    ended: list[int] = field(default_factory=list)
    asked: dict[str, list[int]] = field(default_factory=dict)
    struck: list[CrashSuspect] = field(default_factory=list)

    def size(self) -> int:
        """Return how many events there are."""
        events = len(self.placed) + len(self.started) + len(self.ended)
        return events + len(self.struck)


class PeerPort(asyncio.DatagramProtocol):
    """The socket on which routers tell each other of their requests."""

    def __init__(
        self,
        identity: PeerUpdate,
        port: int,
        receive: Callable[[PeerUpdate], None],
        report: Callable[[str, str], None],
    ) -> None:
        """Make a port that is not open yet.

        :param identity: an update with nothing but who this router is
        :param port: the port of every router
        :param receive: takes the updates of others
        :param report: takes a kind and a line for the log
        """
        self._identity = identity
        self._port = port
        self._receive = receive
        self._report = report
        self._transport: asyncio.DatagramTransport | None = None
        self._gathered = _Gathered()
        self._timer: asyncio.TimerHandle | None = None
        self.hosts: Callable[[], tuple[str, ...]] = tuple
        self.leaving = False
        self.sent_bytes = 0
        self.received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket over; see `asyncio.DatagramProtocol`."""
        # The library's own class is no subclass of the one that it names.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Hand an update on; see `asyncio.DatagramProtocol`."""
        del addr
        self.received_bytes += len(data)
        try:
            update = decode_update(data)
        except DatagramError as error:
            self._report("bad_datagram", str(error))
            return
        own = self._identity
        if update.instance != own.instance:
            self._receive(update)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer is not there; its updates would miss too."""
        self._report("peer_unreachable", str(exc))

    def report_placed(self, placed: RequestPlaced) -> None:
        """Tell that a request was sent.

        :param placed: where and what
        """
        self._gathered.placed.append(placed)
        self._gather()

    def report_started(self, started: FirstEvent) -> None:
        """Tell that a request's first event came.

        :param started: which request, and what it told of its engine
        """
        self._gathered.started.append(started)
        self._gather()

    def report_ended(self, call: int) -> None:
        """Tell that a request ended.

        :param call: the request's number
        """
        self._gathered.ended.append(call)
        self._gather()

    def report_usage(self, workspace: str, asked: int, granted: int) -> None:
        """Tell what a workspace asked for, with the next update.

        :param workspace: the workspace's name
        :param asked: tokens that it asked for
        :param granted: tokens that were sent to an engine
        """
        entry = self._gathered.asked.setdefault(workspace, [0, 0])
        entry[0] += asked
        entry[1] += granted
        self._gather()

    def report_strike(self, struck: CrashSuspect) -> None:
        """Tell that a request was in flight at a crash.

        :param struck: which request and which endpoint
        """
        self._gathered.struck.append(struck)
        self._gather()

    def flush(self) -> None:
        """Send what was gathered, or just who this router is."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        gathered, self._gathered = self._gathered, _Gathered()
        transport = self._transport
        hosts = self.hosts()
        if transport is None or transport.is_closing() or not hosts:
            return
        own = self._identity
        data = encode_update(
            PeerUpdate(
                own.instance,
                own.incarnation,
                own.host,
                placements=tuple(gathered.placed),
                first_events=tuple(gathered.started),
                ended_calls=tuple(gathered.ended),
                demands=tuple(
                    TokenDemand(name, asked, granted)
                    for name, (asked, granted) in gathered.asked.items()
                ),
                crash_suspects=tuple(gathered.struck),
                known_hosts=hosts,
                leaving=self.leaving,
            )
        )
        for host in hosts:
            transport.sendto(data, (host, self._port))
            self.sent_bytes += len(data)

    def close(self) -> None:
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def _gather(self) -> None:
        """Send soon, or at once if there is much to tell."""
        if self._gathered.size() >= MAX_EVENTS:
            self.flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(GATHER_S, self.flush)
