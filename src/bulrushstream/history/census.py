"""Who waits and which slots are free, seen from outside the cores.

The census writes the records that the checks of fairness and utilisation
need.  It counts a request as waiting from its call until an agent first
sends it to an endpoint, and a slot as free from the end of a run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bulrushstream.history.record import Backlogged, Record, Supply
from bulrushstream.state.identity import InstanceKey


@dataclass(slots=True)
class Census:
    """The counts of one service."""

    service: str  # Which service.
    slots: int  # Slots of each endpoint.
    record: Callable[[Record], None]  # Writes the history.
    connected: Callable[[], bool]  # Whether all instances are connected.
    watch_supply: bool = False  # Whether idle slots are of interest now.
    _waiting: dict[str, str] = field(default_factory=dict)  # Workspaces.
    _counts: Counter[str] = field(default_factory=Counter)  # By workspace.
    _busy: dict[InstanceKey, int] = field(default_factory=dict)
    _closed: set[InstanceKey] = field(default_factory=set)
    _last: tuple[int, int] = (0, 0)  # The last supply that was written.

    def call(self, now_s: float, request_id: str, workspace: str) -> None:
        """Count a request that waits.

        :param now_s: the time.
        :param request_id: which request.
        :param workspace: whose.
        """
        self._waiting[request_id] = workspace
        self._change(now_s, workspace, 1)

    def settle(self, now_s: float, request_id: str) -> None:
        """Count a request no more, as it runs or has its answer.

        :param now_s: the time.
        :param request_id: which request.
        """
        workspace = self._waiting.pop(request_id, None)
        if workspace is not None:
            self._change(now_s, workspace, -1)

    def look(self, now_s: float) -> None:
        """Count again, as a connection was made or broke.

        :param now_s: the time.
        """
        self._write_supply(now_s)

    def open(self, now_s: float, agent: InstanceKey) -> None:
        """Count the slots of an agent that has its first connection.

        :param now_s: the time.
        :param agent: which agent.
        """
        if agent in self._closed:
            return
        self._busy.setdefault(agent, 0)
        self._write_supply(now_s)

    def close(self, now_s: float, agent: InstanceKey) -> None:
        """Count the slots of an agent no more.

        :param now_s: the time.
        :param agent: which agent.
        """
        self._closed.add(agent)
        self._busy.pop(agent, None)
        self._write_supply(now_s)

    def occupy(self, now_s: float, agent: InstanceKey, by: int) -> None:
        """Count a slot that was taken or given back.

        :param now_s: the time.
        :param agent: whose slot.
        :param by: 1 for taken, -1 for given back.
        """
        if agent not in self._busy:
            return
        self._busy[agent] += by
        self._write_supply(now_s)

    def _change(self, now_s: float, workspace: str, by: int) -> None:
        """Write a workspace's new count."""
        self._counts[workspace] += by
        waiting = self._counts[workspace]
        self.record(Backlogged(now_s, self.service, workspace, waiting))
        self._write_supply(now_s)

    def _write_supply(self, now_s: float) -> None:
        """Write the supply if it is of interest and has changed."""
        busy = self._busy.values()
        free = sum(max(0, self.slots - taken) for taken in busy)
        watched = self.watch_supply and self.connected()
        supply = (free, len(self._waiting)) if watched else (0, 0)
        if supply == self._last:
            return
        self._last = supply
        self.record(Supply(now_s, self.service, *supply))
