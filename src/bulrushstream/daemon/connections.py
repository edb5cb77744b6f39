"""The connections from one router to its endpoints."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.transport.upstream import Pool, PoolOptions

# Connections to an endpoint of a service that the configuration lacks.
DEFAULT_CONNECTIONS: Final = 64

# A router may have this many, however many routers there are; an endpoint
# resets what is too much.
MIN_CONNECTIONS: Final = 8


@dataclass(slots=True)
class EndpointConnections:
    """A pool of connections for each endpoint."""

    clock: Callable[[], float]  # The time in seconds.

    # Returns how many connections a service's endpoint takes from all
    # routers; None if the configuration does not say.
    limit: Callable[[str], int | None]

    routers: Callable[[], int]  # Returns how many routers there may be.
    _pools: dict[str, Pool] = field(default_factory=dict)

    def to(self, endpoint: Endpoint) -> Pool:
        """Return the connections to an endpoint.

        :param endpoint: the endpoint
        """
        found = self._pools.get(endpoint.name)
        if found is None:
            entry = endpoint.entry
            found = Pool(entry.host, entry.port, self.clock)
            self._pools[endpoint.name] = found
        # Routers come and go, and configurations change.
        found.options = self._options(endpoint.entry.service)
        return found

    def forget(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint; what runs goes on.

        :param endpoint: its id
        """
        pool = self._pools.pop(endpoint, None)
        if pool is not None:
            pool.drop_idle()

    def expire_idle(self) -> None:
        """Close the connections that were idle for long enough."""
        for pool in self._pools.values():
            pool.expire_idle()

    def _options(self, service: str) -> PoolOptions:
        """Return how many connections an endpoint may get from here."""
        limit = self.limit(service)
        if limit is None:
            return PoolOptions(max_connections=DEFAULT_CONNECTIONS)
        own = limit // self.routers()
        return PoolOptions(max_connections=max(MIN_CONNECTIONS, own))
