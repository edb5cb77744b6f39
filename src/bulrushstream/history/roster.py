"""The instances of a plan's fleet and their configuration."""

from __future__ import annotations

from typing import Final

from bulrushstream.history.plan import Plan
from bulrushstream.state.config import (
    FleetConfig,
    Service,
    ServiceKind,
    VersionedConfig,
    Workspace,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey, Role

SERVICE: Final = "s1"


def info_of(name: str, incarnation: int, role: Role) -> InstanceInfo:
    """Return the description of an instance.

    :param name: its name, which ends in a number.
    :param incarnation: its incarnation.
    :param role: its role.
    :returns: the instance, in one of three availability zones.
    """
    key = InstanceKey(name, incarnation)
    zone = f"zone-{int(name.rsplit('-', 1)[1]) % 3}"
    if role is Role.ROUTER:
        return InstanceInfo(key, role, "region", zone, "127.0.0.1", 0)
    endpoint = f"endpoint-{name}"
    return InstanceInfo(
        key, role, "region", zone, "127.0.0.1", 0, SERVICE, endpoint
    )


def config_of(plan: Plan) -> VersionedConfig:
    """Return the configuration of a plan's fleet.

    :param plan: the plan.
    :returns: the configuration, with the workspaces and one service.
    """
    workspaces = tuple(Workspace(name) for name in plan.workspaces)
    service = Service(SERVICE, ServiceKind.PLAIN, slots=plan.slots)
    return VersionedConfig(0, FleetConfig(workspaces, (service,)))
