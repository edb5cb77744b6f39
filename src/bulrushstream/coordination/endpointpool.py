"""The endpoints that a router may send to, and the state of each.

An endpoint whose failure rate is well above that of the others is *ejected*
for a time, provided that enough others stay in use.

A process may start again under the id of the one before it, with another
software version, and answers before the endpoint list names it.  So the list
shows which process had an id at a time only once it was read `LIST_LAG_S`
later.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.endpointnotices import EndpointNotices
from bulrushstream.coordination.endpointspeed import (
    PLAIN_TUNING,
    EndpointSpeed,
)
from bulrushstream.coordination.engineview import EngineView
from bulrushstream.state.routes import EndpointEntry, EngineTraits

# The weight of one result in the moving average of the failure rate.
FAILURE_GAIN: Final = 0.15

# An endpoint is ejected if its failure rate is above the mean of the others
# by at least this much.
EJECT_FAILURE_RATE: Final = 0.45

FIRST_EJECTION_S: Final = 1.5
MAX_EJECTION_S: Final = 8.0

# At least this share of a service's endpoints stays in use.
MIN_IN_USE_SHARE: Final = 0.5

# An endpoint that spoiled an answer is trusted less for this time.
DISTRUST_S: Final = 30.0

# A process that starts under the id of another one is listed within this time.
LIST_LAG_S: Final = 1.0

# An endpoint that refuses a connection is avoided for this time.
UNREACHABLE_PAUSE_S: Final = 1.0


@dataclass(slots=True)
class Endpoint:
    """One endpoint and its state as the router sees it."""

    entry: EndpointEntry  # The entry in the platform's list.
    view: EngineView | None  # None: a plain service.
    outstanding: int = 0  # Requests in flight, from all routers.
    failure_rate: float = 0.0  # A moving average.
    ejections: int = 0  # Consecutive ejections.
    avoid_until_s: float = 0.0  # The end of an ejection or pause.
    removed: bool = False  # Whether the platform's list dropped it.
    # When the list named another process under its id.
    replaced_s: float = float("-inf")
    # Since when another process may have its id; infinity: the same as listed.
    unverified_s: float = float("inf")
    verified_s: float = float("-inf")  # Before this it was the same process.
    # When the last read was sent that named it, once the list does not.
    last_listed_s: float = float("-inf")
    # Checks of its streams' ends that found nothing, since one did.
    vain_end_checks: int = 0
    cuts_streams: bool = False  # Whether one of them found a cut, lately.
    # When it last wrote what is no answer, or cut one in good framing.
    spoiled_s: float = float("-inf")
    # The speed of a plain endpoint; an engine's is in its view.
    plain_speed: EndpointSpeed = field(
        default_factory=lambda: EndpointSpeed(PLAIN_TUNING)
    )

    @property
    def speed(self) -> EndpointSpeed:
        """Return how it compares with the others of its service."""
        return self.plain_speed if self.view is None else self.view.speed

    def is_distrusted(self, now_s: float) -> bool:
        """Return whether it spoiled an answer lately.

        :param now_s: the time
        """
        return now_s - self.spoiled_s < DISTRUST_S

    def is_same_at(self, at_s: float) -> bool:
        """Return whether the listed process had its id at a time.

        :param at_s: the time
        """
        return at_s < self.unverified_s

    @property
    def name(self) -> str:
        """Return the endpoint's id."""
        return self.entry.endpoint


@dataclass(slots=True)
class EndpointPool:
    """All endpoints, by id and by service."""

    notices: EndpointNotices  # What they say in their answers.
    by_name: dict[str, Endpoint] = field(default_factory=dict)
    by_service: dict[str, dict[str, Endpoint]] = field(default_factory=dict)
    evacuated: Collection[str] = ()  # Zones whose endpoints get no requests.
    # Returns when the last read of the list was sent that was current.
    list_confirmed_s: Callable[[], float] = lambda: float("-inf")
    # Services whose processes start again under their ids.
    _reusing_ids: set[str] = field(default_factory=set)

    def update(
        self, entry: EndpointEntry, traits: EngineTraits | None
    ) -> None:
        """Add an endpoint, or update its entry.

        An endpoint whose address, service, version or start changed is
        another process and gets a fresh state.

        :param entry: the entry in the platform's list
        :param traits: the engine's slots and memory; None: a plain service
        """
        known = self.by_name.get(entry.endpoint)
        if known is not None and known.entry.may_be_process_of(entry):
            known.entry = entry.after(known.entry)
            return
        if known is not None:
            self.remove(entry.endpoint)
        if known is not None or entry.born:
            self._reusing_ids.add(entry.service)
        view = None
        if traits is not None:
            view = EngineView(traits.slots, traits.memory_tokens)
        endpoint = Endpoint(entry, view)
        self.by_name[entry.endpoint] = endpoint
        self.by_service.setdefault(entry.service, {})[entry.endpoint] = (
            endpoint
        )

    def may_be_listed(self, name: str, born: str) -> bool:
        """Return whether a process may be the one that is listed.

        :param name: its id
        :param born: when it started, as told; empty: not told
        """
        known = self.by_name.get(name)
        told = known.entry.born if known is not None else ""
        return not born or not told or born == told

    def service_of(self, name: str) -> str | None:
        """Return an endpoint's service; None: it is not listed.

        :param name: its id
        """
        known = self.by_name.get(name)
        return None if known is None else known.entry.service

    def forget_history(self, name: str) -> None:
        """Forget what an engine that began anew had cached.

        :param name: its id
        """
        known = self.by_name.get(name)
        if known is None:
            return
        known.plain_speed.forget()
        if known.view is not None:
            known.view.forget_history()

    def is_replaced(self, endpoint: Endpoint) -> bool:
        """Return whether another process has an endpoint's id now.

        :param endpoint: the endpoint
        """
        return self.by_name.get(endpoint.name, endpoint) is not endpoint

    def reuses_ids(self, service: str) -> bool:
        """Return whether processes of a service start again under their ids.

        :param service: the service's name
        """
        return service in self._reusing_ids

    def listed_until_s(self, endpoint: Endpoint) -> float:
        """Return until when the listed process surely had an endpoint's id.

        :param endpoint: the endpoint
        :returns: the time; nobody had the id later if the process had ended
        """
        if endpoint.removed:
            return endpoint.last_listed_s - LIST_LAG_S
        return self.list_confirmed_s() - LIST_LAG_S

    def remove(self, name: str) -> Endpoint | None:
        """Remove an endpoint that the platform's list dropped.

        :param name: the endpoint's id
        :returns: the endpoint; None if it was unknown
        """
        endpoint = self.by_name.pop(name, None)
        if endpoint is not None:
            endpoint.removed = True
            endpoint.last_listed_s = self.list_confirmed_s()
            self.by_service[endpoint.entry.service].pop(name, None)
        return endpoint

    def set_traits(self, service: str, traits: EngineTraits | None) -> None:
        """Apply the traits that a configuration gives a service's engines.

        :param service: the service's name
        :param traits: slots and memory of its engines; None: a plain
            service
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
        self,
        service: str,
        now_s: float,
        exclude: Iterable[str] = (),
        version: str | None = None,
    ) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests.

        If all of them are to be avoided, all are returned; those that rest
        and those of evacuated zones are left out in any case.

        :param service: the service's name
        :param now_s: the time
        :param exclude: ids of endpoints that were tried before
        :param version: the software version that they must have; None: any
        """
        unavailable = self.notices.unavailable(now_s).union(exclude)
        serving = [
            endpoint
            for name, endpoint in self.by_service.get(service, {}).items()
            if name not in unavailable
            and not endpoint.entry.leaving
            and (version is None or version == endpoint.entry.version)
        ]
        if self.evacuated:
            serving = [
                each
                for each in serving
                if each.entry.availability_zone not in self.evacuated
            ]
        good = [each for each in serving if each.avoid_until_s <= now_s]
        return good or serving

    def resting(
        self, service: str, now_s: float, version: str | None = None
    ) -> dict[str, float]:
        """Return the endpoints of a service that rest, and how long.

        :param service: the service's name
        :param now_s: the time
        :param version: the software version that they must have; None: any
        """
        left_s = {
            endpoint.name: self.notices.rest_left_s(endpoint.name, now_s)
            for endpoint in self.by_service.get(service, {}).values()
            if version in (None, endpoint.entry.version)
            and endpoint.entry.availability_zone not in self.evacuated
            and not self.is_leaving(endpoint)
        }
        return {name: rest_s for name, rest_s in left_s.items() if rest_s}

    def evacuated_of(
        self, service: str, version: str | None = None
    ) -> list[Endpoint]:
        """Return the endpoints of a service that only evacuations exclude.

        :param service: the service's name
        :param version: the software version that they must have; None: any
        """
        return [
            endpoint
            for endpoint in self.by_service.get(service, {}).values()
            if endpoint.entry.availability_zone in self.evacuated
            and version in (None, endpoint.entry.version)
            and not self.is_leaving(endpoint)
        ]

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint takes no new requests.

        :param endpoint: the endpoint
        """
        return endpoint.entry.leaving or self.notices.is_leaving(endpoint.name)

    def work_factors(self) -> dict[str, float]:
        """Return how long work takes at the endpoints that differ."""
        return {
            name: endpoint.speed.measured
            for name, endpoint in self.by_name.items()
            if endpoint.speed.measured != 1.0
        }

    def succeeded(self, endpoint: Endpoint) -> None:
        """Count a request that an endpoint answered.

        :param endpoint: the endpoint
        """
        endpoint.failure_rate *= 1.0 - FAILURE_GAIN
        if endpoint.failure_rate < EJECT_FAILURE_RATE / 2:
            endpoint.ejections = 0

    def failed(self, endpoint: Endpoint, now_s: float) -> bool:
        """Count a request that failed; eject the endpoint if it is due.

        :param endpoint: the endpoint
        :param now_s: the time
        :returns: whether the endpoint is ejected now
        """
        endpoint.failure_rate += FAILURE_GAIN * (1.0 - endpoint.failure_rate)
        others = [
            each
            for each in self.by_service.get(
                endpoint.entry.service, {}
            ).values()
            if each is not endpoint
            and each.entry.availability_zone not in self.evacuated
            and not self.is_leaving(each)
        ]
        if not others or endpoint.avoid_until_s > now_s:
            return False
        mean = sum(each.failure_rate for each in others) / len(others)
        if endpoint.failure_rate < mean + EJECT_FAILURE_RATE:
            return False
        in_use = sum(each.avoid_until_s <= now_s for each in others)
        if in_use < MIN_IN_USE_SHARE * (len(others) + 1):
            return False
        endpoint.avoid_until_s = now_s + min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**endpoint.ejections
        )
        endpoint.ejections += 1
        endpoint.failure_rate = EJECT_FAILURE_RATE
        return True

    def unreachable(self, endpoint: Endpoint, now_s: float) -> None:
        """Avoid an endpoint that refused a connection, for a short time.

        :param endpoint: the endpoint
        :param now_s: the time
        """
        endpoint.avoid_until_s = max(
            endpoint.avoid_until_s, now_s + UNREACHABLE_PAUSE_S
        )
