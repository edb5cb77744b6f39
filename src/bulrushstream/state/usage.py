"""What one router reports about the shares of its callers' workspaces."""

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
