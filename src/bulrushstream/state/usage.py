"""What one router reports about its callers and their workspaces."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkspaceUsage:
    """Quota tokens of one workspace at one router between two reports."""

    requested_tokens: int = 0  # Of all requests, served or not.
    granted_tokens: int = 0  # Of attempts that were given to an engine.
    not_run_tokens: int = 0  # Of attempts that no engine worked on.


@dataclass(frozen=True, slots=True)
class ShareReport:
    """The shares as one router sees them, and its part of their use."""

    usage: Mapping[str, WorkspaceUsage]  # By workspace; since the last one.
    window_s: float  # The length of the sliding window.
    throughput_tokens_per_s: float  # Granted in the window.
    level_tokens: float  # The fair-share level in the window.
    demand_tokens: Mapping[str, float]  # The fleet's, in the window.
    granted_tokens: Mapping[str, float]  # The fleet's, in the window.
    peers: int  # The other routers that count as live.
    oldest_peer: str  # The one not heard from for the longest time.
    oldest_peer_age_s: float  # The time since its last update.


@dataclass(frozen=True, slots=True)
class ColdUse:
    """Cold endpoints at one router, and what was decided for them lately."""

    cold: int = 0  # Endpoints that are cold now.
    ramped_up: int = 0  # Those that were cold before and are ramped up.
    share: float = 1.0  # Of the routers that may exist, those heard here.
    diverted: int = 0  # Requests that went to another endpoint.
    refused: int = 0  # Requests that no endpoint could take.
    withdrawn: int = 0  # Requests that waited for a connection in vain.


@dataclass(frozen=True, slots=True)
class Crowd:
    """Signs that too many callers use one router, since the last report."""

    loop_lag_s: float = 0.0  # How late its event loop was at most.
    turned_away: int = 0  # Requests that were refused for that.
    # Callers' connections without a request that made room for others.
    closed_connections: int = 0
    refused_connections: int = 0  # New ones for which there was no room.

    @property
    def is_crowded(self) -> bool:
        """Return whether callers noticed anything."""
        return bool(
            self.turned_away
            or self.closed_connections
            or self.refused_connections
        )
