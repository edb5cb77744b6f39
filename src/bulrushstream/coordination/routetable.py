"""Lookup of a request's route: the longest matching prefix of its host."""

from __future__ import annotations

import random
from dataclasses import dataclass

from bulrushstream.state.routes import (
    PooledService,
    Route,
    RouteConfig,
    WorkspaceKeys,
)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A configuration with indexes for the lookups of each request."""

    config: RouteConfig
    by_host: dict[str, dict[str, Route]]  # Routes by host and prefix.
    by_key: dict[bytes, WorkspaceKeys]  # Workspaces by digest of a key.
    services: dict[str, PooledService]
    shortest_latency_target_s: dict[str, float]  # By service.

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request; None if there is none.

        :param host: the host that the caller named, in lower case
        :param path: the path without the query
        """
        routes = self.by_host.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def index_routes(config: RouteConfig) -> RouteTable:
    """Return the route table of a configuration.

    :param config: a valid configuration
    """
    by_host: dict[str, dict[str, Route]] = {}
    for route in config.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    by_key = {
        digest: holder
        for holder in config.workspaces
        for digest in holder.key_digests
    }
    services = {service.name: service for service in config.services}
    tightest_s: dict[str, float] = {}
    for route in config.routes:
        for share in route.split:
            known_s = tightest_s.get(share.service, route.latency_target_s)
            tightest_s[share.service] = min(known_s, route.latency_target_s)
    return RouteTable(config, by_host, by_key, services, tightest_s)


def pick_service(route: Route, rng: random.Random) -> str:
    """Return the service for one request, drawn by the split's weights.

    :param route: the request's route
    :param rng: the source of randomness
    """
    if len(route.split) == 1:
        return route.split[0].service
    total = sum(share.weight for share in route.split)
    drawn = rng.uniform(0.0, total)
    for share in route.split:
        drawn -= share.weight
        if drawn <= 0 and share.weight > 0:
            return share.service
    return route.split[-1].service
