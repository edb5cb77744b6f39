"""Crashes of endpoints as routers keep them in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecordedPart:
    """A part of a prompt that was in flight at a crash."""

    part_id: int
    in_flight_ms: int  # How long before the crash its last run was sent.


@dataclass(frozen=True, slots=True)
class RecordedCrash:
    """A crash, and the suspects that one router had in flight there."""

    endpoint: str  # The endpoint's id.
    number: int  # Among the crashes under this id, from 0.
    at_ms: int  # The time of day, in Unix time.
    fingerprints: tuple[int, ...] = ()  # Digests of requests.
    parts: tuple[RecordedPart, ...] = ()
