"""Connections of simulated routers: to callers, endpoints and each other."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from bulrushstream.history.routingendpoint import Attempt
from bulrushstream.history.routingrecord import Reply
from bulrushstream.history.singleusepool import SingleUsePool
from bulrushstream.transport.connection import Sink
from bulrushstream.transport.exchange import Exchange

if TYPE_CHECKING:
    from bulrushstream.history.routingfleet import RoutingFleet


class CallerConnection:
    """A caller's connection; see `ClientConnection`."""

    closing = False

    def __init__(
        self,
        reply: Reply,
        clock: Callable[[], float],
        broken_off: Callable[[], None],
    ) -> None:
        self._reply = reply
        self._clock = clock
        self._broken_off = broken_off

    def write(self, data: bytes) -> None:
        """Record the bytes that the router writes."""
        self._reply.data += data

    def has_peer_closed(self) -> bool:
        """Return whether the caller has closed; it is told at once."""
        return False

    def exchange_finished(self, exchange: Exchange) -> None:
        """Record the end of an answer."""
        del exchange
        self._reply.end_count += 1
        self._reply.ended_s = self._clock()

    def abort(self) -> None:
        """Record that the router closed the connection."""
        self._reply.aborted = True
        self._reply.ended_s = self._clock()
        self._broken_off()

    def reset_unless_finished(self) -> None:
        """Do nothing: all callers accept chunks."""


@dataclass(slots=True)
class _Pool(SingleUsePool):
    """One router's connections to an endpoint; stands in for `Pool`."""

    fleet: RoutingFleet
    router: int
    endpoint: str

    def send(
        self, method: bytes, sink: Sink, *, fresh: bool, reuse: bool
    ) -> Attempt:
        """Send a request."""
        del method, fresh, reuse
        self.fleet.check_not_draining(self.router, self.endpoint)
        return Attempt(self.fleet, self.router, self.endpoint, sink)


@dataclass(slots=True)
class RouterConnections:
    """One router's connections; stands in for `EndpointConnections`."""

    fleet: RoutingFleet
    router: int

    def pool_for(self, endpoint: Any) -> _Pool:
        """Return the connections to an endpoint."""
        return _Pool(self.fleet, self.router, endpoint.name)

    def remove(self, endpoint: str) -> None:
        """Do nothing: there are no idle connections."""

    def expire_idle(self) -> None:
        """Do nothing: there are no idle connections."""


@dataclass(slots=True)
class DatagramSender:
    """One router's socket; stands in for `UdpSocket`."""

    fleet: RoutingFleet
    router: int

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.fleet.send_datagram(self.router, address[0], data)

    def close(self) -> None:
        """Close the socket."""

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""
        return False
