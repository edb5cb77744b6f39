"""Which software version of endpoints began a stream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began; it may go on at the same version only."""

    stream: int  # Digest of its first request, a signed 64-bit number.
    service: str  # The service's name.
    version: str  # Of the endpoint's software.
    age_s: float = 0.0  # How long ago a router last vouched for it.
