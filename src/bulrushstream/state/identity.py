"""Identities of instances.

An *instance* is a process of the fleet.  Each start of it has a new
*incarnation*, a number that grows with every start.  It distinguishes
messages for an earlier start from messages for the present one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Role(StrEnum):
    """The function of an instance in the fleet."""

    ROUTER = "router"
    AGENT = "agent"


@dataclass(frozen=True, slots=True, order=True)
class InstanceKey:
    """One start of one instance."""

    instance: str  # The instance's name, unique in the fleet.
    incarnation: int  # Grows with each start of the instance.


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """Identity, location and address of one instance."""

    key: InstanceKey
    role: Role
    region: str
    availability_zone: str
    host: str  # The IP address that its peers connect to.
    port: int  # The port that its peers connect to.
    service: str = ""  # For an agent: the service of its endpoint.
    endpoint: str = ""  # For an agent: the name of its endpoint.
    leaving: bool = False  # Whether it takes no new work.
