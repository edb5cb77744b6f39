"""The composition of a local fleet."""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushstream.standins.engine import EngineOptions
from bulrushstream.standins.instances import InstancesOptions
from bulrushstream.standins.log import LogOptions
from bulrushstream.standins.plain import PlainOptions
from bulrushstream.state.config import FleetConfig, ServiceKind


@dataclass(frozen=True, slots=True)
class LocalService:
    """The endpoints of one service."""

    name: str  # The service's name in the configuration.
    kind: ServiceKind
    endpoints: int  # Number of endpoints.
    engine: EngineOptions = field(default_factory=EngineOptions)
    plain: PlainOptions = field(default_factory=PlainOptions)


@dataclass(frozen=True, slots=True)
class LocalPlan:
    """The composition and settings of a local fleet."""

    config: FleetConfig  # Published at startup.
    services: tuple[LocalService, ...]  # Services with their endpoints.
    routers: int = 2  # Number of routers.
    availability_zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    region: str = "region-1"  # Of every instance.
    zone_delay_s: float = 0.0  # One way, between availability zones.
    caller_ports: tuple[int, ...] = ()  # By router; missing: a free one.
    log: LogOptions = field(default_factory=LogOptions)
    instances: InstancesOptions = field(default_factory=InstancesOptions)
    list_interval_s: float = 0.2  # Between reads of the instance list.
    drain_timeout_s: float = 30.0  # For running requests at a stop.
    log_retention_s: float = 86_400.0  # As the instances are configured.
