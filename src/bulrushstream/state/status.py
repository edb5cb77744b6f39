"""What an instance tells operators about itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class DrainState(StrEnum):
    """How far a planned stop is."""

    SERVING = "serving"  # It takes new work.
    DRAINING = "draining"  # It finishes what runs.
    DRAINED = "drained"  # Nothing runs any more.


@dataclass(frozen=True, slots=True)
class Degraded:
    """One use of the platform that does not work at present."""

    use: str  # Such as config, claims, leases, instances.
    since_s: float  # How long it has not worked.
    effect: str  # What does not work meanwhile.


@dataclass(frozen=True, slots=True)
class Status:
    """One instance at one moment."""

    instance: str  # Its name.
    incarnation: int  # Its incarnation.
    role: str  # What it does.
    availability_zone: str  # Where it runs.
    config_version: int  # The version in force; -1: none.
    config_digest: str  # Its digest.
    highest_version: int  # The highest that it or a peer has shown.
    drain: DrainState  # How far a planned stop is.
    peers: int  # Connections to peers that are up.
    suspected: tuple[str, ...] = ()  # Instances without a sign of life.
    leaving: tuple[str, ...] = ()  # Instances that take no new work.
    degraded: tuple[Degraded, ...] = ()  # What does not work.
