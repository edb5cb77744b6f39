"""What a local fleet is made of."""

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
    kind: ServiceKind  # What its endpoints are.
    endpoints: int  # How many there are.
    engine: EngineOptions = field(default_factory=EngineOptions)
    plain: PlainOptions = field(default_factory=PlainOptions)


@dataclass(frozen=True, slots=True)
class LocalPlan:
    """One local fleet."""

    config: FleetConfig  # What is published first.
    services: tuple[LocalService, ...]  # The endpoints, by service.
    routers: int = 2  # How many routers there are.
    availability_zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    region: str = "region-1"  # Where all of it runs.
    zone_delay_s: float = 0.0  # One way between availability zones.
    callers_ports: tuple[int, ...] = ()  # Of the routers; (): free ones.
    log: LogOptions = field(default_factory=LogOptions)
    instances: InstancesOptions = field(default_factory=InstancesOptions)
    list_interval_s: float = 0.2  # Between reads of the instance list.
    drain_timeout_s: float = 30.0  # For running requests at a stop.
    log_retention_s: float = 86_400.0  # What the instances believe.
