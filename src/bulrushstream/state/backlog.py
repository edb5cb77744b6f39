"""An agent's view of the requests that wait at the routers.

Routers send counts per workspace and omit unchanged ones, so a count is
valid until the router sends another.  If a router turns out to have no work
for a pull, it is *muted* for that workspace for a short time, or until it
sends the workspace's next count.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Backlog, BacklogEntry

MS_PER_S: Final = 1000.0


@dataclass(slots=True)
class BacklogCount:
    """The number of requests of one workspace waiting at one router."""

    interactive: int
    batch: int
    oldest_s: float  # When the oldest arrived, on the agent's clock.
    muted_until_s: float = 0.0  # No pulls are sent before this time.
    pending_pulls: int = 0  # Pulls that are not answered yet.

    @property
    def total(self) -> int:
        """Return the number of waiting requests."""
        return self.interactive + self.batch

    def pull_done(self) -> None:
        """Count a pull as answered or given up."""
        self.pending_pulls = max(0, self.pending_pulls - 1)

    def can_pull(self, now_s: float) -> bool:
        """Return whether a pull is likely to get a request.

        :param now_s: The current time.
        """
        return self.total > self.pending_pulls and now_s >= self.muted_until_s


@dataclass(slots=True)
class _RouterBacklog:
    """The backlog of one router."""

    sequence: int = -1  # Sequence number of its latest message.
    # Counts by workspace.
    counts: dict[str, BacklogCount] = field(default_factory=dict)


class Backlogs:
    """The backlogs of all connected routers for one service."""

    __slots__ = ("_by_workspace", "_routers", "_service")

    # Counts by workspace and router; the inner dictionaries are not empty.
    _by_workspace: dict[str, dict[InstanceKey, BacklogCount]]
    _routers: dict[InstanceKey, _RouterBacklog]
    # The agent's service; entries of other services are ignored.
    _service: str

    def __init__(self, service: str) -> None:
        self._by_workspace = {}
        self._routers = {}
        self._service = service

    def update(
        self, router: InstanceKey, message: Backlog, now_s: float
    ) -> list[str]:
        """Apply a router's backlog message; late ones are ignored.

        :param router: The sender.
        :param message: Changed counts, or all counts if it is full.
        :param now_s: When it arrived.
        :returns: Workspaces that had no requests waiting at any router
            before.
        """
        known = self._routers.setdefault(router, _RouterBacklog())
        if message.sequence <= known.sequence:
            return []
        known.sequence = message.sequence
        entries = [e for e in message.entries if e.service == self._service]
        if message.full:
            named = {entry.workspace for entry in entries}
            for workspace in [w for w in known.counts if w not in named]:
                self._remove(router, workspace)
        before = set(self._by_workspace)
        for entry in entries:
            self._set(router, entry, now_s)
        return [w for w in self._by_workspace if w not in before]

    def drop_router(self, router: InstanceKey) -> None:
        """Remove the backlog of a router that is no longer connected.

        :param router: The router.
        """
        if router not in self._routers:
            return
        for workspace in list(self._routers[router].counts):
            self._remove(router, workspace)
        del self._routers[router]

    def workspaces(self) -> Iterator[str]:
        """List the workspaces that have waiting requests."""
        return iter(self._by_workspace)

    def pull_candidates(
        self, workspace: str, now_s: float
    ) -> Iterator[tuple[InstanceKey, BacklogCount]]:
        """List the routers that a pull may be sent to.

        :param workspace: The workspace to pull for.
        :param now_s: The current time.
        """
        for router, waiting in self.routers_with_work(workspace):
            if waiting.can_pull(now_s):
                yield router, waiting

    def routers_with_work(
        self, workspace: str
    ) -> Iterator[tuple[InstanceKey, BacklogCount]]:
        """List the routers at which a workspace has waiting requests.

        :param workspace: The workspace.
        """
        return iter(self._by_workspace.get(workspace, {}).items())

    def total_waiting(self) -> int:
        """Return the number of requests known to wait at all routers."""
        return sum(
            waiting.total
            for holders in self._by_workspace.values()
            for waiting in holders.values()
        )

    def find(self, router: InstanceKey, workspace: str) -> BacklogCount | None:
        """Return a workspace's count at a router; None if nothing waits.

        :param router: The router.
        :param workspace: The workspace.
        """
        return self._by_workspace.get(workspace, {}).get(router)

    def _set(
        self, router: InstanceKey, entry: BacklogEntry, now_s: float
    ) -> None:
        """Replace one count."""
        if entry.interactive + entry.batch <= 0:
            self._remove(router, entry.workspace)
            return
        oldest_s = now_s - entry.oldest_age_ms / MS_PER_S
        old = self.find(router, entry.workspace)
        waiting = BacklogCount(
            interactive=entry.interactive,
            batch=entry.batch,
            oldest_s=oldest_s,
            pending_pulls=old.pending_pulls if old else 0,
        )
        self._routers[router].counts[entry.workspace] = waiting
        holders = self._by_workspace.setdefault(entry.workspace, {})
        holders[router] = waiting

    def _remove(self, router: InstanceKey, workspace: str) -> None:
        """Remove one count."""
        self._routers[router].counts.pop(workspace, None)
        holders = self._by_workspace.get(workspace, {})
        holders.pop(router, None)
        if not holders:
            self._by_workspace.pop(workspace, None)
