"""Applies configurations and endpoint entries of the platform to a router."""

from __future__ import annotations

from dataclasses import replace

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.promptmix import mixed_services
from bulrushstream.coordination.routetable import index_routes
from bulrushstream.daemon import processproofs, runwatch, streamchecks
from bulrushstream.daemon.front import Front
from bulrushstream.state.effect import Decision
from bulrushstream.state.routes import EndpointEntry, RouteConfig


def apply_config(front: Front, config: RouteConfig) -> bool:
    """Apply a configuration if it is newer than the current one.

    :param front: the router
    :param config: the configuration
    :returns: whether it was applied
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
    front.streams.history.configure(config.routes)
    front.fleet_state.prompt_mixes.configure(config)
    front.fleet_state.returns.configure(mixed_services(config))
    for service in config.services:
        front.pool.set_traits(service.name, service.engine)
    front.fleet_state.cold.configure(config.services, front.clock())
    front.metrics.config_version.set(config.version)
    front.observe(
        Decision(
            "config",
            "newer version applied",
            inputs={
                "version": config.version,
                "routes": len(config.routes),
                "workspaces": len(config.workspaces),
                "tokens_per_s": config.tokens_per_s,
            },
        )
    )
    return True


def apply_entry(
    front: Front, entry: EndpointEntry, *, from_peer: bool = False
) -> None:
    """Add an endpoint or update it from its list entry.

    :param front: the router
    :param entry: the list's entry
    :param from_peer: whether a peer passed it on, at any time after it was
        read from the store
    """
    # Also an entry that is equal to the one before is news.  The remaining
    # cold time of one that a peer kept may have ended long ago.
    if from_peer:
        entry = replace(entry, warmup_remaining_s=0.0)
    front.fleet_state.cold.listed(entry, front.clock())
    known = front.pool.by_name.get(entry.endpoint)
    if known is not None and known.entry.may_be_process_of(entry):
        entry = entry.after(known.entry)
        if known.entry == entry:
            return
    traits = None
    if front.table is not None:
        service = front.table.services.get(entry.service)
        traits = service.engine if service is not None else None
    front.pool.update(entry, traits)
    if known is not None and known.removed:
        _process_replaced(front, known, front.pool.by_name[entry.endpoint])
    front.fleet_state.notices.listed(entry)
    front.streams.endpoints_changed(entry.service, front.pool)
    front.observe(
        Decision(
            "endpoint",
            "leaving" if entry.leaving else "serving",
            service=entry.service,
            endpoint=entry.endpoint,
            inputs={
                "address": f"{entry.host}:{entry.port}",
                "version": entry.version,
                "born": entry.born,
            },
        )
    )


def _process_replaced(front: Front, before: Endpoint, after: Endpoint) -> None:
    """Forget what is known of a process, as another one has its id.

    :param front: the router
    :param before: the endpoint as it was listed
    :param after: the endpoint as it is listed now
    """
    name = before.name
    ended_s = front.connections.pool_for(before).last_ended_s
    processproofs.process_replaced(front, before, after, ended_s)
    runwatch.process_replaced(front, name)
    front.connections.remove(name)
    front.fleet_state.limits.forget(name)
    front.fleet_state.notices.process_replaced(name)


def remove_endpoint(front: Front, endpoint: str) -> None:
    """Remove an endpoint that is no longer in the list.

    :param front: the router
    :param endpoint: the endpoint's id
    """
    removed = front.pool.remove(endpoint)
    if removed is None:
        return
    front.streams.endpoints_changed(removed.entry.service, front.pool)
    streamchecks.endpoint_removed(front, removed.entry.service)
    runwatch.endpoint_removed(front, endpoint)
    front.connections.remove(endpoint)
    front.fleet_state.limits.forget(endpoint)
    front.fleet_state.notices.delisted(endpoint, front.clock())
    front.observe(
        Decision(
            "endpoint",
            "removed from the endpoint list",
            service=removed.entry.service,
            endpoint=endpoint,
        )
    )
