"""Zones that operators have evacuated, as routers tell each other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvacuationKey:
    """A key of the operators' topic that concerns a zone."""

    zone: str  # Empty: the key names no zone that can exist.
    fault: str = ""  # What is wrong with the key or its value; empty: nothing.


@dataclass(frozen=True, slots=True)
class EvacuatedZone:
    """A zone whose endpoints get no requests."""

    zone: str
    offset: int  # The offset in the store's topic from which that is known.


@dataclass(frozen=True, slots=True)
class EvacuationReport:
    """All evacuated zones that a router knows of."""

    zones: tuple[EvacuatedZone, ...]
    end_offset: int  # Records of the topic before this one are included.
    # How long ago a read was sent of which the store's answer shows this.
    age_s: float = 0.0
