"""The other routers of the fleet and their open requests.

A router counts as live while its updates arrive; its requests are dropped
when it restarts, stops, or sends no update within a timeout.
"""

from __future__ import annotations

import ipaddress
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.rendezvous import rank_hosts
from bulrushstream.coordination.wakefulness import Wakefulness
from bulrushstream.state.peerupdate import PeerUpdate

# A router passes updates on while it was heard this lately: within one
# heartbeat, and its latency.
RELAY_SILENT_S: Final = 0.8

# In a smaller zone each router gets updates itself.
MIN_RELAYED_ROUTERS: Final = 3

# A router without an update for this time is removed.
PEER_TIMEOUT_S: Final = 2.5

# Updates are sent to a host that does not answer until this time has passed
# since the host was added or last heard from.
HOST_TIMEOUT_S: Final = 60.0

# Ended processes of a router whose late updates are recognised.
MAX_ENDED: Final = 8

# Routers, and hosts, that are known at most; further ones are ignored.
MAX_ROUTERS: Final = 2_048


@dataclass(slots=True)
class PeerView:
    """One incarnation of another router."""

    instance: str
    incarnation: int
    host: str  # Its IP address.
    last_heard_s: float  # When its last update arrived.
    calls: set[int] = field(default_factory=set)  # Its open requests.
    zone: str = ""  # Its availability zone; empty: not known.
    # Its incarnations before, the last one first.  Numbers tell no order, as
    # the time of day that they are made of may be set back.
    ended: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Paths:
    """The hosts to which an update is sent so that all routers get it."""

    direct: tuple[str, ...] = ()
    relays: tuple[str, ...] = ()  # They pass it on in their zones.


@dataclass(slots=True)
class FleetView:
    """The other routers."""

    own_host: str  # This router's IP address.
    own_zone: str = ""
    peers: dict[str, PeerView] = field(default_factory=dict)  # By name.
    # By IP address: when it was added or last heard from.
    hosts: dict[str, float] = field(default_factory=dict)
    wakefulness: Wakefulness = field(default_factory=Wakefulness)

    def add_host(self, host: str, now_s: float) -> None:
        """Add a host on which a router may run.

        :param host: its IP address
        :param now_s: the time
        """
        if host == self.own_host or host in self.hosts:
            return
        if len(self.hosts) >= MAX_ROUTERS:
            return
        # Anything else would be looked up as a name.
        with suppress(ValueError):
            ipaddress.ip_address(host)
            self.hosts[host] = now_s

    def receive(self, update: PeerUpdate, now_s: float) -> set[int]:
        """Record the sender of an update, and the hosts that it names.

        :param update: the update
        :param now_s: the time
        :returns: the requests of an older incarnation of the sender, which
            are to be dropped
        """
        known = self.peers.get(update.instance)
        lost: set[int] = set()
        if known is not None and update.incarnation in known.ended:
            return lost
        if known is None and len(self.peers) >= MAX_ROUTERS:
            return lost
        if known is None or known.incarnation != update.incarnation:
            ended: tuple[int, ...] = ()
            if known is not None:
                lost = known.calls
                ended = (known.incarnation, *known.ended)[:MAX_ENDED]
            known = PeerView(
                update.instance,
                update.incarnation,
                update.host,
                now_s,
                ended=ended,
            )
            self.peers[update.instance] = known
        known.last_heard_s = now_s
        known.zone = update.zone or known.zone
        self.add_host(update.host, now_s)
        if update.host in self.hosts:
            self.hosts[update.host] = now_s
        for host in update.known_hosts:
            self.add_host(host, now_s)
        return lost

    def sweep(self, now_s: float) -> set[int]:
        """Remove routers and hosts that were not heard from in time.

        :param now_s: the time
        :returns: the requests of these routers, which are to be dropped
        """
        lost: set[int] = set()
        counts_from_s = self.wakefulness.counts_from_s
        for name, peer in list(self.peers.items()):
            heard_s = counts_from_s(peer.last_heard_s, now_s)
            if now_s - heard_s > PEER_TIMEOUT_S:
                lost |= peer.calls
                del self.peers[name]
        for host, since_s in list(self.hosts.items()):
            if now_s - counts_from_s(since_s, now_s) > HOST_TIMEOUT_S:
                del self.hosts[host]
        return lost

    def live_hosts(self) -> tuple[str, ...]:
        """Return the IP addresses of the routers that count as live."""
        return tuple(peer.host for peer in self.peers.values())

    def notified_hosts(self) -> tuple[str, ...]:
        """Return the hosts that updates are sent to."""
        return tuple(self.hosts)

    def paths(self, now_s: float) -> Paths:
        """Return how an update reaches all routers.

        In each other zone with some routers one passes it on, picked by a
        hash of this one's host among those that were heard lately.

        :param now_s: the time
        """
        zones: dict[str, list[str]] = {}
        for peer in self.peers.values():
            fresh = now_s - peer.last_heard_s <= RELAY_SILENT_S
            if fresh and peer.zone and peer.zone != self.own_zone:
                zones.setdefault(peer.zone, []).append(peer.host)
        relays, passed_on = [], set()
        for hosts in zones.values():
            if len(hosts) < MIN_RELAYED_ROUTERS:
                continue
            relays.append(rank_hosts(hosts, self.own_host.encode())[0])
            passed_on.update(hosts)
        direct = tuple(host for host in self.hosts if host not in passed_on)
        return Paths(direct, tuple(relays))

    def pass_on_to(self, update: PeerUpdate) -> tuple[str, ...]:
        """Return the hosts to which a relay sends an update.

        :param update: an update that came from its router itself
        """
        sender = self.peers.get(update.instance)
        if not update.pass_on or sender is None or not sender.zone:
            return ()
        if sender.zone == self.own_zone:
            return ()
        return tuple(
            peer.host
            for peer in self.peers.values()
            if peer.zone == self.own_zone
        )

    @property
    def router_count(self) -> int:
        """Return an upper estimate of the number of routers in the fleet.

        This router is included.
        """
        return 1 + max(len(self.peers), len(self.hosts))
