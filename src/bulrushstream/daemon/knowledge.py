"""What the platform says of routes and endpoints, taken into a router."""

from __future__ import annotations

from bulrushstream.coordination.routetable import index_routes
from bulrushstream.daemon.front import Front
from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import EndpointEntry, RouteConfig


def take_config(front: Front, config: RouteConfig) -> bool:
    """Put a configuration in force unless it is not newer.

    :param front: the router
    :param config: the configuration
    :returns: whether it is in force now
    """
    table = front.table
    if table is not None and config.version <= table.config.version:
        return False
    front.table = index_routes(config)
    limits = config.limits
    front.limits.header_bytes = limits.header_bytes
    front.limits.body_bytes = limits.body_bytes
    front.limits.header_timeout_s = limits.header_timeout_s
    front.limits.idle_timeout_s = limits.idle_timeout_s
    front.state.shares.tokens_per_s = config.tokens_per_s
    for service in config.services:
        front.pool.set_traits(service.name, service.engine)
    front.metrics.config_version.set(config.version)
    front.observe(
        Decision(
            "config",
            "a newer version",
            inputs={
                "version": config.version,
                "routes": len(config.routes),
                "workspaces": len(config.workspaces),
                "tokens_per_s": config.tokens_per_s,
            },
        )
    )
    return True


def take_entry(front: Front, entry: EndpointEntry) -> None:
    """Take what the list says of an endpoint.

    :param front: the router
    :param entry: the list's entry
    """
    known = front.pool.by_name.get(entry.endpoint)
    if known is not None and known.entry == entry:
        return
    traits = None
    if front.table is not None:
        service = front.table.services.get(entry.service)
        traits = service.engine if service is not None else None
    front.pool.update(entry, traits)
    front.observe(
        Decision(
            "endpoint",
            "leaving" if entry.leaving else "serving",
            service=entry.service,
            endpoint=entry.endpoint,
            inputs={"address": f"{entry.host}:{entry.port}"},
        )
    )


def drop_entry(front: Front, endpoint: str) -> None:
    """Take it that the list no longer has an endpoint.

    :param front: the router
    :param endpoint: its id
    """
    dropped = front.pool.remove(endpoint)
    if dropped is None:
        return
    front.connections.forget(endpoint)
    front.observe(
        Decision(
            "endpoint",
            "gone from the list",
            service=dropped.entry.service,
            endpoint=endpoint,
        )
    )
