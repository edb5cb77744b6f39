"""Who else routes, and the requests that they have told of.

A router counts as live while it is heard from; its requests are forgotten
when it restarts, stops, or falls silent for long.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.peerupdate import PeerUpdate

# A router that was not heard from for so long is taken to be gone.
SILENT_S: Final = 2.5

# A host that nobody answers from is told again, more and more rarely; after
# this it is dropped from the list.
FORGET_HOST_S: Final = 60.0


@dataclass(slots=True)
class PeerView:
    """What is known of one start of another router."""

    instance: str  # Its name.
    incarnation: int  # Which start.
    host: str  # Its IP number.
    heard_s: float  # When it was last heard from.
    calls: set[int] = field(default_factory=set)  # Its open requests.


@dataclass(slots=True)
class FleetView:
    """The other routers."""

    own_host: str  # Our own IP number.
    peers: dict[str, PeerView] = field(default_factory=dict)  # By name.
    hosts: dict[str, float] = field(default_factory=dict)  # Since when.

    def suggest(self, host: str, now_s: float) -> None:
        """Take note of a host on which a router may run.

        :param host: its IP number
        :param now_s: the time
        """
        if host and host != self.own_host:
            self.hosts.setdefault(host, now_s)

    def hear(self, update: PeerUpdate, now_s: float) -> set[int]:
        """Take note of who sent an update.

        :param update: the update
        :param now_s: the time
        :returns: requests that are to be forgotten, as their router
            restarted or is stopping
        """
        known = self.peers.get(update.instance)
        lost: set[int] = set()
        if known is not None and update.incarnation < known.incarnation:
            return lost
        if known is None or known.incarnation != update.incarnation:
            if known is not None:
                lost = known.calls
            known = PeerView(
                update.instance, update.incarnation, update.host, now_s
            )
            self.peers[update.instance] = known
        known.heard_s = now_s
        self.hosts[update.host] = now_s
        for host in update.known_hosts:
            self.suggest(host, now_s)
        return lost

    def sweep(self, now_s: float) -> set[int]:
        """Forget routers that have been silent.

        :param now_s: the time
        :returns: requests that are to be forgotten with them
        """
        lost: set[int] = set()
        for name, peer in list(self.peers.items()):
            if now_s - peer.heard_s > SILENT_S:
                lost |= peer.calls
                del self.peers[name]
        for host, since_s in list(self.hosts.items()):
            if now_s - since_s > FORGET_HOST_S:
                del self.hosts[host]
        return lost

    def told_hosts(self) -> tuple[str, ...]:
        """Return the hosts that updates go to."""
        return tuple(self.hosts)

    @property
    def routers(self) -> int:
        """Return how many routers there may be, this one included."""
        return 1 + max(len(self.peers), len(self.hosts))
