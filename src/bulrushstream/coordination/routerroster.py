"""The routers that may exist, for limits that must hold in partitions.

`RouterPresence` drops silent routers within seconds, so that the others use
their share.  Here they are kept for long: a router that is cut off goes on
sending, and only what all others leave to it keeps the sum bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.rendezvous import rank_hosts
from bulrushstream.coordination.routerpresence import FORGOTTEN_S, SILENT_S
from bulrushstream.coordination.wakefulness import Wakefulness

# A router that starts has heard from all routers that it can reach by now:
# three heartbeats.  Its process before sent nothing in the last second.
SETTLE_S: Final = 1.5


@dataclass(slots=True)
class RouterRoster:
    """The hosts on which routers may run, and when each was heard."""

    own_host: str = ""  # This router's IP address.
    started_s: float = float("-inf")  # When this router started.
    # Returns hosts on which others may run, such as those of the settings.
    hosts: Callable[[], Iterable[str]] = tuple
    version: int = 0  # Grows with each change of the members.
    wakefulness: Wakefulness = field(default_factory=Wakefulness)
    _heard_s: dict[str, float] = field(default_factory=dict)  # By host.
    # When there was last a sign of each host.
    _known_s: dict[str, float] = field(default_factory=dict)
    _left: set[str] = field(default_factory=set)  # Hosts of planned stops.
    # The share at a time: one choice asks for it once for each endpoint.
    _share: tuple[float, float] = (float("-inf"), 1.0)

    def heard(self, host: str, now_s: float, *, leaving: bool) -> None:
        """Record an update of a router.

        :param host: its IP address
        :param now_s: the time
        :param leaving: whether it is stopping
        """
        if host == self.own_host:
            return
        self._share = float("-inf"), 1.0
        if leaving:
            self._left.add(host)
            self._heard_s.pop(host, None)
            if self._known_s.pop(host, None) is not None:
                self.version += 1
            return
        self._left.discard(host)
        self._heard_s[host] = now_s
        if host not in self._known_s:
            self.version += 1
        self._known_s[host] = now_s

    def sweep(self, now_s: float) -> None:
        """Add hosts that others name, forget old ones; called often.

        :param now_s: the time
        """
        self._share = float("-inf"), 1.0
        for host in self.hosts():
            if host in self._left or host in self._known_s:
                continue
            if host != self.own_host:
                self._known_s[host] = now_s
                self.version += 1
        counts_from_s = self.wakefulness.counts_from_s
        for host, known_s in list(self._known_s.items()):
            if now_s - counts_from_s(known_s, now_s) > FORGOTTEN_S:
                del self._known_s[host]
                self._heard_s.pop(host, None)
                self.version += 1

    @property
    def count(self) -> int:
        """Return the number of routers that may exist, with this one."""
        return 1 + len(self._known_s)

    def own_rank(self, key: str) -> int:
        """Return this router's place among all, from 0, for a key.

        :param key: gives the order, the same at all routers
        """
        hosts = (self.own_host, *self._known_s)
        return rank_hosts(hosts, key.encode()).index(self.own_host)

    def heard_share(self, now_s: float) -> float:
        """Return the share of the routers that are heard, with this one.

        :param now_s: the time
        """
        if self._share[0] != now_s:
            heard = sum(
                now_s - heard_s <= SILENT_S
                for heard_s in self._heard_s.values()
            )
            self._share = now_s, (1 + heard) / self.count
        return self._share[1]

    @property
    def settled_s(self) -> float:
        """Return when this router knows the others that it can reach."""
        return self.started_s + SETTLE_S
