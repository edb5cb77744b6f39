"""The endpoints that a router may send to, and what it believes of each.

An endpoint that fails more of its requests than the others do is *ejected*
for a time, as long as enough others remain.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.engineview import EngineView
from bulrushstream.state.routes import EndpointEntry, EngineTraits

# How much one result moves an endpoint's failure rate.
FAILURE_GAIN: Final = 0.15

# An endpoint is ejected if its failure rate is above this, and above the
# others' mean by as much.
EJECT_RATE: Final = 0.45

FIRST_EJECTION_S: Final = 1.5
MAX_EJECTION_S: Final = 8.0

# At least this share of a service's endpoints stays in use.
MIN_IN_USE: Final = 0.5

# An endpoint that refuses a connection is passed over for so long.
UNREACHABLE_S: Final = 1.0


@dataclass(slots=True)
class Endpoint:
    """One endpoint and what the router believes of it."""

    entry: EndpointEntry  # What the platform's list says.
    view: EngineView | None  # None: a plain service.
    outstanding: int = 0  # Requests that all routers have there.
    failure_rate: float = 0.0  # A moving average.
    ejections: int = 0  # How often in a row it was ejected.
    avoid_until_s: float = 0.0  # Until when it is passed over.
    gone: bool = False  # Whether the list no longer has it.

    @property
    def name(self) -> str:
        """Return the endpoint's id."""
        return self.entry.endpoint


@dataclass(slots=True)
class EndpointPool:
    """Every endpoint by id and by service."""

    by_name: dict[str, Endpoint] = field(default_factory=dict)
    by_service: dict[str, dict[str, Endpoint]] = field(default_factory=dict)

    def update(
        self, entry: EndpointEntry, traits: EngineTraits | None
    ) -> None:
        """Take what the list says of an endpoint.

        :param entry: the list's entry
        :param traits: what its engine holds; None: a plain service
        """
        known = self.by_name.get(entry.endpoint)
        if known is not None and _same_start(known.entry, entry):
            known.entry = entry
            return
        if known is not None:
            self.remove(entry.endpoint)
        view = None
        if traits is not None:
            view = EngineView(traits.slots, traits.memory_tokens)
        endpoint = Endpoint(entry, view)
        self.by_name[entry.endpoint] = endpoint
        self.by_service.setdefault(entry.service, {})[entry.endpoint] = (
            endpoint
        )

    def remove(self, name: str) -> Endpoint | None:
        """Forget an endpoint that the list no longer has.

        :param name: the endpoint's id
        :returns: the endpoint, if it was known
        """
        endpoint = self.by_name.pop(name, None)
        if endpoint is not None:
            endpoint.gone = True
            self.by_service[endpoint.entry.service].pop(name, None)
        return endpoint

    def set_traits(self, service: str, traits: EngineTraits | None) -> None:
        """Take over what a configuration says of a service's engines.

        :param service: the service's name
        :param traits: what its engines hold; None: a plain service
        """
        for endpoint in self.by_service.get(service, {}).values():
            if traits is None:
                endpoint.view = None
            elif endpoint.view is None:
                endpoint.view = EngineView(traits.slots, traits.memory_tokens)
            else:
                endpoint.view.slots = traits.slots
                endpoint.view.memory_tokens = traits.memory_tokens

    def usable(
        self, service: str, now_s: float, exclude: Iterable[str] = ()
    ) -> list[Endpoint]:
        """Return the endpoints of a service that take new work.

        Endpoints that are passed over come back in if nothing else is
        left.

        :param service: the service's name
        :param now_s: the time
        :param exclude: ids of endpoints that were tried before
        """
        serving = [
            endpoint
            for endpoint in self.by_service.get(service, {}).values()
            if not endpoint.entry.leaving and endpoint.name not in exclude
        ]
        good = [each for each in serving if each.avoid_until_s <= now_s]
        return good or serving

    def succeeded(self, endpoint: Endpoint) -> None:
        """Count a request that an endpoint answered.

        :param endpoint: where it ran
        """
        endpoint.failure_rate *= 1.0 - FAILURE_GAIN
        if endpoint.failure_rate < EJECT_RATE / 2:
            endpoint.ejections = 0

    def failed(self, endpoint: Endpoint, now_s: float) -> bool:
        """Count a request that an endpoint failed.

        :param endpoint: where it failed
        :param now_s: the time
        :returns: whether the endpoint is ejected for it
        """
        endpoint.failure_rate += FAILURE_GAIN * (1.0 - endpoint.failure_rate)
        others = [
            each
            for each in self.by_service.get(
                endpoint.entry.service, {}
            ).values()
            if each is not endpoint and not each.entry.leaving
        ]
        if not others or endpoint.avoid_until_s > now_s:
            return False
        mean = sum(each.failure_rate for each in others) / len(others)
        if endpoint.failure_rate < mean + EJECT_RATE:
            return False
        in_use = sum(each.avoid_until_s <= now_s for each in others)
        if in_use < MIN_IN_USE * (len(others) + 1):
            return False
        endpoint.avoid_until_s = now_s + min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**endpoint.ejections
        )
        endpoint.ejections += 1
        endpoint.failure_rate = EJECT_RATE
        return True

    def unreachable(self, endpoint: Endpoint, now_s: float) -> None:
        """Note that no connection to an endpoint could be made.

        :param endpoint: which one
        :param now_s: the time
        """
        endpoint.avoid_until_s = max(
            endpoint.avoid_until_s, now_s + UNREACHABLE_S
        )


def _same_start(known: EndpointEntry, entry: EndpointEntry) -> bool:
    """Return whether two entries are of the same start of an endpoint."""
    return (known.service, known.host, known.port) == (
        entry.service,
        entry.host,
        entry.port,
    )
