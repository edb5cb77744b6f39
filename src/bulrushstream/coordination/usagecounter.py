"""Counts what workspaces ask of one router and are granted by it.

Each report starts the counts again from zero, so their size is bounded by
the number of workspaces.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushstream.state.usage import WorkspaceUsage


@dataclass(slots=True)
class UsageCounter:
    """Quota tokens by workspace since the last report."""

    requested: dict[str, int] = field(default_factory=dict)
    granted: dict[str, int] = field(default_factory=dict)
    not_run: dict[str, int] = field(default_factory=dict)

    def take(self) -> dict[str, WorkspaceUsage]:
        """Return the counts by workspace, and start again from zero."""
        names = sorted({*self.requested, *self.granted, *self.not_run})
        usage = {
            name: WorkspaceUsage(
                self.requested.get(name, 0),
                self.granted.get(name, 0),
                self.not_run.get(name, 0),
            )
            for name in names
        }
        self.requested = {}
        self.granted = {}
        self.not_run = {}
        return usage


def add_tokens(counts: dict[str, int], workspace: str, tokens: int) -> None:
    """Add tokens to the count of a workspace.

    :param counts: one of the counts of a `UsageCounter`
    :param workspace: the workspace's name
    :param tokens: the tokens to add
    """
    counts[workspace] = counts.get(workspace, 0) + tokens
