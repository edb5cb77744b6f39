"""Connection pools from one router to its endpoints."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.state.excess import OnExcess
from bulrushstream.state.memorybudget import MemoryBudget
from bulrushstream.state.routes import EndpointEntry
from bulrushstream.transport.readturns import ReadTurns
from bulrushstream.transport.upstream import Pool, PoolOptions
from bulrushstream.transport.witnesses import UnframedAnswers

# Connections per endpoint of a service that the configuration does not name.
DEFAULT_CONNECTIONS: Final = 64

# Each router may open this many connections to an endpoint, even if all
# routers together then exceed its limit; the endpoint resets the excess.
MIN_CONNECTIONS: Final = 8

# Callers crowd some routers.  A router may exceed its even share while the
# requests of all routers at an endpoint are fewer than this part of its limit.
SHARED_FRACTION: Final = 1.0 / 3.0


@dataclass(frozen=True, slots=True)
class _EndpointPool:
    """The connections to one process."""

    endpoint: Endpoint
    pool: Pool


@dataclass(slots=True)
class EndpointConnections:
    """A pool of connections for each endpoint."""

    clock: Callable[[], float]  # The event loop's time, in seconds.

    # Returns the connection limit of a service's endpoints, over all
    # routers; None if the configuration does not name the service.
    limit: Callable[[str], int | None]

    routers: Callable[[], int]  # Returns the presumed number of routers.
    on_excess: OnExcess | None = None
    memory: MemoryBudget | None = None  # Of all that the process keeps.
    # Of all connections, whatever endpoint they lead to.
    turns: ReadTurns = field(default_factory=ReadTurns)
    _pools: dict[str, _EndpointPool] = field(default_factory=dict)
    _unframed: dict[str, UnframedAnswers] = field(  # By service.
        default_factory=lambda: defaultdict(UnframedAnswers)
    )

    def pool_for(self, endpoint: Endpoint) -> Pool:
        """Return the connection pool of an endpoint.

        The pool of one that was removed or replaced is not kept.

        :param endpoint: the endpoint
        """
        known = self._pools.get(endpoint.name)
        if known is None or known.endpoint is not endpoint:
            pool = self._make_pool(endpoint.entry)
            if endpoint.removed:
                pool.drop_idle()
            else:
                self.remove(endpoint.name)
                self._pools[endpoint.name] = _EndpointPool(endpoint, pool)
        else:
            pool = known.pool
        # The number of routers and the configured limit may have changed.
        pool.options = self._options(endpoint)
        return pool

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint's pool; requests in flight are not affected.

        :param endpoint: the endpoint's id
        """
        known = self._pools.pop(endpoint, None)
        if known is not None:
            known.pool.wind_down()

    def expire_idle(self) -> None:
        """Close connections that exceeded their idle time."""
        for known in self._pools.values():
            known.pool.expire_idle()

    def _make_pool(self, entry: EndpointEntry) -> Pool:
        """Return a pool without connections to an endpoint's address."""
        return Pool(
            entry.host,
            entry.port,
            self.clock,
            on_excess=self.on_excess,
            memory=self.memory,
            turns=self.turns,
            unframed=self._unframed[entry.service],
        )

    def _options(self, endpoint: Endpoint) -> PoolOptions:
        """Return the options for this router's share of the limit."""
        limit = self.limit(endpoint.entry.service)
        if limit is None:
            return PoolOptions(max_connections=DEFAULT_CONNECTIONS)
        routers, shared = self.routers(), int(limit * SHARED_FRACTION)
        share = max(MIN_CONNECTIONS, limit // routers)
        unused = shared - endpoint.outstanding
        return PoolOptions(
            max_connections=share + max(0, unused),
            # The excess would be at the cost of others.
            keeps_witnesses=limit >= MIN_CONNECTIONS * routers
            or (unused > 0 and shared >= routers),
        )
