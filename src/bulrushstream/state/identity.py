"""Who an instance is.

An *instance* is one running process of the fleet.  Each start of it has a
new *incarnation*, a number that grows from start to start, so that a
message meant for an earlier start can be told from one meant for this one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Role(StrEnum):
    """What an instance does in the fleet."""

    ROUTER = "router"
    AGENT = "agent"


@dataclass(frozen=True, slots=True, order=True)
class InstanceKey:
    """One start of one instance."""

    instance: str  # The instance's name, unique in the fleet.
    incarnation: int  # Grows with each start of the instance.


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """What the fleet knows of one instance."""

    key: InstanceKey  # Which start of which instance.
    role: Role  # What the instance does.
    region: str  # The region that it runs in.
    availability_zone: str  # The availability zone that it runs in.
    host: str  # The IP number that its peers dial.
    port: int  # The port that its peers dial.
    service: str = ""  # For an agent: the service of its endpoint.
    endpoint: str = ""  # For an agent: the name of its endpoint.
    leaving: bool = False  # Whether it takes no new work any more.
