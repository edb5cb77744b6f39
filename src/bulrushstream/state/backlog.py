"""What waits at the routers, as an agent has been told.

Routers send counts per workspace and leave out what did not change, so a
count stays until the router changes it.  A router that had no work after
all is *muted* for that workspace for a short time, or until it sends the
workspace's next count.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Backlog, BacklogEntry

MS_PER_S: Final = 1000.0


@dataclass(slots=True)
class Waiting:
    """What waits for one workspace at one router."""

    interactive: int  # Waiting interactive requests.
    batch: int  # Waiting batch requests.
    oldest_s: float  # When the oldest arrived, on the agent's clock.
    muted_until_s: float = 0.0  # Before then it is not asked.
    asked: int = 0  # Pulls that it has not answered yet.

    @property
    def count(self) -> int:
        """Return how many requests wait."""
        return self.interactive + self.batch

    def answer(self) -> None:
        """Note that a pull was answered or given up."""
        self.asked = max(0, self.asked - 1)

    def ready(self, now_s: float) -> bool:
        """Return whether a pull is likely to get a request.

        :param now_s: The time.
        """
        return self.count > self.asked and now_s >= self.muted_until_s


@dataclass(slots=True)
class _Router:
    """What one router said."""

    sequence: int = -1  # The number of its latest message.
    waiting: dict[str, Waiting] = field(default_factory=dict)


class Backlogs:
    """The backlogs of all connected routers for one service."""

    __slots__ = ("_by_workspace", "_routers", "_service")

    # Routers that hold work of a workspace; no empty sets.
    _by_workspace: dict[str, dict[InstanceKey, Waiting]]
    # What each router said.
    _routers: dict[InstanceKey, _Router]
    # The agent's service; entries of other services are left out.
    _service: str

    def __init__(self, service: str) -> None:
        self._by_workspace = {}
        self._routers = {}
        self._service = service

    def update(
        self, router: InstanceKey, message: Backlog, now_s: float
    ) -> list[str]:
        """Take in what a router says.

        :param router: Who says it.
        :param message: Changes, or everything if it is full.
        :param now_s: When it arrived.
        :returns: Workspaces that had nothing waiting anywhere before.
        """
        known = self._routers.setdefault(router, _Router())
        if message.sequence <= known.sequence:
            return []
        known.sequence = message.sequence
        entries = [e for e in message.entries if e.service == self._service]
        if message.full:
            named = {entry.workspace for entry in entries}
            for workspace in [w for w in known.waiting if w not in named]:
                self._remove(router, workspace)
        before = set(self._by_workspace)
        for entry in entries:
            self._set(router, entry, now_s)
        return [w for w in self._by_workspace if w not in before]

    def drop(self, router: InstanceKey) -> None:
        """Forget a router's backlog, as its connection is gone.

        :param router: Which router.
        """
        if router not in self._routers:
            return
        for workspace in list(self._routers[router].waiting):
            self._remove(router, workspace)
        del self._routers[router]

    def workspaces(self) -> Iterator[str]:
        """List the workspaces with anything waiting."""
        return iter(self._by_workspace)

    def holders(
        self, workspace: str, now_s: float
    ) -> Iterator[tuple[InstanceKey, Waiting]]:
        """List the routers that a pull may go to.

        :param workspace: Whose.
        :param now_s: The time.
        """
        for router, waiting in self.all_holders(workspace):
            if waiting.ready(now_s):
                yield router, waiting

    def all_holders(
        self, workspace: str
    ) -> Iterator[tuple[InstanceKey, Waiting]]:
        """List the routers that hold work of a workspace.

        :param workspace: Whose.
        """
        return iter(self._by_workspace.get(workspace, {}).items())

    def total(self) -> int:
        """Return how many requests wait, as far as it is known."""
        return sum(
            waiting.count
            for holders in self._by_workspace.values()
            for waiting in holders.values()
        )

    def find(self, router: InstanceKey, workspace: str) -> Waiting | None:
        """Return what waits for a workspace at a router.

        :param router: Which router.
        :param workspace: Whose.
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
        waiting = Waiting(
            interactive=entry.interactive,
            batch=entry.batch,
            oldest_s=oldest_s,
            asked=old.asked if old else 0,
        )
        self._routers[router].waiting[entry.workspace] = waiting
        holders = self._by_workspace.setdefault(entry.workspace, {})
        holders[router] = waiting

    def _remove(self, router: InstanceKey, workspace: str) -> None:
        """Forget one count."""
        self._routers[router].waiting.pop(workspace, None)
        holders = self._by_workspace.get(workspace, {})
        holders.pop(router, None)
        if not holders:
            self._by_workspace.pop(workspace, None)
