"""What routers learn of the parts of prompts under which endpoints end."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StruckPart:
    """A part of the prompt of a run that was in flight at a crash."""

    part_id: int
    in_flight_s: float  # How long before the crash its last run was sent.


@dataclass(frozen=True, slots=True)
class PartStrikes:
    """The parts that were in flight at one router when an endpoint crashed."""

    endpoint: str  # The endpoint's id.
    age_s: float  # How long ago it crashed.
    parts: tuple[StruckPart, ...]
    # Whether it is only suspected that the endpoint crashed.
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class PartProof:
    """An endpoint wrote a whole answer to a prompt with a part."""

    part_id: int
    age_s: float  # How long ago the endpoint began to write.
