"""The status that an instance reports to operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class DrainState(StrEnum):
    """The progress of a planned stop."""

    SERVING = "serving"  # It takes new work; no stop is in progress.
    DRAINING = "draining"  # It finishes running requests.
    DRAINED = "drained"  # No requests are running.


@dataclass(frozen=True, slots=True)
class Degraded:
    """A use of the platform that is failing."""

    use: str  # Such as config, claims, leases, instances.
    since_s: float  # For how many seconds it has been failing.
    effect: str  # What does not work meanwhile.


@dataclass(frozen=True, slots=True)
class Status:
    """The status of one instance."""

    instance: str  # The instance's name.
    incarnation: int
    role: str
    availability_zone: str
    config_version: int  # The version in force; -1: none.
    config_digest: str  # The digest of that configuration.
    highest_version: int  # The highest version seen here or at a peer.
    drain: DrainState
    peers: int  # Number of connected peers.
    suspected: tuple[str, ...] = ()  # Instances that may be down.
    leaving: tuple[str, ...] = ()  # Instances that take no new work.
    degraded: tuple[Degraded, ...] = ()
