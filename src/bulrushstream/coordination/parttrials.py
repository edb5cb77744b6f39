"""Trials: the requests with held parts, one at a time in the fleet.

Routers take turns by a hash, and learn of each other's trials from the
requests that they report to have placed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.rendezvous import host_weight

# The time between two trials of a part, and the time by which routers wait
# for each other.
TRIAL_S: Final = 2.0
TURN_S: Final = 0.05


@dataclass(slots=True)
class PartTrials:
    """When each held part was last tried, and on which endpoint."""

    own_host: str = ""  # This router's IP address.
    # Returns the IP addresses of the live peers.
    peer_hosts: Callable[[], Sequence[str]] = tuple
    _parts_s: dict[int, float] = field(default_factory=dict)
    _endpoints_s: dict[str, float] = field(default_factory=dict)

    def placed(
        self, endpoint: str, parts: Iterable[int], now_s: float
    ) -> None:
        """Record a trial, of this router or of a peer.

        :param endpoint: the endpoint's id
        :param parts: the held parts of its prompt
        :param now_s: the time
        """
        for part in parts:
            self._parts_s[part] = now_s
            self._endpoints_s[endpoint] = now_s

    def runs_at(self, endpoint: str, now_s: float) -> bool:
        """Return whether a trial runs on an endpoint.

        :param endpoint: the endpoint's id
        :param now_s: the time
        """
        tried_s = self._endpoints_s.get(endpoint, float("-inf"))
        return now_s - tried_s < TRIAL_S

    def last_s(self, part: int) -> float:
        """Return when a part was last tried; minus infinity: not yet.

        :param part: the part's id
        """
        return self._parts_s.get(part, float("-inf"))

    def turn_s(self, part: int, crash_s: float, crashes: int) -> float:
        """Return when this router may try a part.

        :param part: the part's id
        :param crash_s: when the last endpoint crashed on it
        :param crashes: the number of crashes, by which the turns differ
        """
        seed = (part + crashes) & 0xFFFFFFFF
        own = host_weight(self.own_host, seed)
        before = sum(
            host_weight(host, seed) < own for host in self.peer_hosts()
        )
        free_s = max(crash_s, self.last_s(part) + TRIAL_S)
        return free_s + before * TURN_S

    def forget(self, parts: Iterable[int]) -> None:
        """Forget the trials of parts that are no longer held.

        :param parts: the parts
        """
        for part in parts:
            self._parts_s.pop(part, None)

    def sweep(self, now_s: float) -> None:
        """Forget the endpoints without a trial; called often.

        :param now_s: the time
        """
        for endpoint, at_s in list(self._endpoints_s.items()):
            if now_s - at_s >= TRIAL_S:
                del self._endpoints_s[endpoint]
