"""The part of a shared limit that the routers heard here may use.

A router that is not heard may have ended, or may only be cut off and go on
sending.  Its share is left to it for a time, and for longer if endpoints run
requests of which no router that is heard tells.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.wakefulness import Wakefulness

# A router counts as silent without an update for this time, a few heartbeats.
SILENT_S: Final = 1.2

# How long a silent router counts if another one is heard, or if an endpoint's
# load shows that nobody else sends there; and if neither is known.
ASSUMED_S: Final = 10.0
ASSUMED_ALONE_S: Final = 60.0

# How long requests of unknown routers count after they were seen.
FOREIGN_S: Final = 10.0

# A router is forgotten after this time.
FORGOTTEN_S: Final = 600.0


@dataclass(slots=True)
class _Load:
    """What endpoints told of their load, for one of them."""

    told_s: float  # When it was last told.
    # When it last ran more requests than the known ones.
    foreign_s: float = float("-inf")


@dataclass(slots=True)
class RouterPresence:
    """When each router was last heard, and signs of those that are not."""

    started_s: float  # When this router started.
    expected: Callable[[], int]  # Returns the presumed number of routers.
    wakefulness: Wakefulness = field(default_factory=Wakefulness)
    _heard_s: dict[str, float] = field(default_factory=dict)  # By instance.
    _loads: dict[str, _Load] = field(default_factory=dict)  # By endpoint.

    def heard(self, instance: str, now_s: float, *, leaving: bool) -> None:
        """Record an update of a router.

        :param instance: the router's name
        :param now_s: the time
        :param leaving: whether it is stopping
        """
        if leaving:
            self._heard_s.pop(instance, None)
        else:
            self._heard_s[instance] = now_s

    def load_told(
        self, endpoint: str, requests: int, known: int, now_s: float
    ) -> None:
        """Record the load that an endpoint tells.

        :param endpoint: the endpoint's id
        :param requests: the requests that run or wait there
        :param known: those of them that this router knows of
        :param now_s: the time
        """
        load = self._loads.setdefault(endpoint, _Load(now_s))
        load.told_s = now_s
        if requests > known:
            load.foreign_s = now_s

    def forget_endpoint(self, endpoint: str) -> None:
        """Remove an endpoint that is no longer in the list.

        :param endpoint: the endpoint's id
        """
        self._loads.pop(endpoint, None)

    def sweep(self, now_s: float) -> None:
        """Forget routers that are silent for long; called often.

        :param now_s: the time
        """
        counts_from_s = self.wakefulness.counts_from_s
        for instance, heard_s in list(self._heard_s.items()):
            if now_s - counts_from_s(heard_s, now_s) > FORGOTTEN_S:
                del self._heard_s[instance]

    def heard_share(self, endpoint: str, now_s: float) -> float:
        """Return the share of the routers that are heard, this one included.

        :param endpoint: the endpoint whose limit is shared
        :param now_s: the time
        """
        # What those that were not heard since a pause use is not known, so
        # that they do not count as heard, and not as gone.
        counts_from_s = self.wakefulness.counts_from_s
        unheard_s = [
            now_s - counts_from_s(heard_s, now_s)
            for heard_s in self._heard_s.values()
            if now_s - heard_s > SILENT_S
        ]
        heard = len(self._heard_s) - len(unheard_s)
        assumed_s = self._assumed_s(endpoint, heard > 0, now_s)
        silent = sum(each_s <= assumed_s for each_s in unheard_s)
        if now_s - self.started_s <= assumed_s and not heard:
            silent = max(silent, self.expected() - 1)
        elif now_s - self.started_s <= SILENT_S:
            silent = max(silent, self.expected() - 1 - heard)
        return (1 + heard) / (1 + heard + silent)

    def _assumed_s(
        self, endpoint: str, any_heard: bool, now_s: float
    ) -> float:
        """Return how long silent routers count."""
        load = self._loads.get(endpoint)
        told = load is not None and now_s - load.told_s <= FOREIGN_S
        if load is not None and now_s - load.foreign_s <= FOREIGN_S:
            return float("inf")
        return ASSUMED_S if told or any_heard else ASSUMED_ALONE_S
