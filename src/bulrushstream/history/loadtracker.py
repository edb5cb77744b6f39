"""Waiting requests and free slots, counted outside the cores.

The tracker writes the records that the checks of fairness and utilisation
need.  It counts a request as waiting from its call until an agent first
sends it to an endpoint, and a slot as free from the end of a run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bulrushstream.history.record import BacklogChanged, LoadChanged, Record
from bulrushstream.state.identity import InstanceKey


@dataclass(slots=True)
class LoadTracker:
    """Counts the waiting requests and free slots of one service."""

    service: str
    slots: int  # Slots of each endpoint.
    record: Callable[[Record], None]  # Appends to the history.
    is_fully_connected: Callable[[], bool]
    enabled: bool = False  # Whether idle slots are checked now.
    _waiting: dict[str, str] = field(default_factory=dict)  # By request.
    _counts: Counter[str] = field(default_factory=Counter)  # By workspace.
    _busy: dict[InstanceKey, int] = field(default_factory=dict)
    _removed: set[InstanceKey] = field(default_factory=set)
    _last_load: tuple[int, int] = (0, 0)  # As last recorded.

    def add_waiting(
        self, now_s: float, request_id: str, workspace: str
    ) -> None:
        """Start counting a request as waiting.

        :param now_s: the time.
        :param request_id: the request.
        :param workspace: its workspace.
        """
        self._waiting[request_id] = workspace
        self._change_waiting(now_s, workspace, 1)

    def remove_waiting(self, now_s: float, request_id: str) -> None:
        """Stop counting a request, because it runs or has its answer.

        :param now_s: the time.
        :param request_id: the request.
        """
        workspace = self._waiting.pop(request_id, None)
        if workspace is not None:
            self._change_waiting(now_s, workspace, -1)

    def update(self, now_s: float) -> None:
        """Update the load after a connection was opened or broke.

        :param now_s: the time.
        """
        self._record_load(now_s)

    def add_agent(self, now_s: float, agent: InstanceKey) -> None:
        """Start counting the slots of an agent, from its first connection.

        :param now_s: the time.
        :param agent: the agent.
        """
        if agent in self._removed:
            return
        self._busy.setdefault(agent, 0)
        self._record_load(now_s)

    def remove_agent(self, now_s: float, agent: InstanceKey) -> None:
        """Stop counting the slots of an agent.

        :param now_s: the time.
        :param agent: the agent.
        """
        self._removed.add(agent)
        self._busy.pop(agent, None)
        self._record_load(now_s)

    def change_busy_slots(
        self, now_s: float, agent: InstanceKey, by: int
    ) -> None:
        """Change the number of an agent's busy slots.

        :param now_s: the time.
        :param agent: the agent.
        :param by: 1 when a run starts, -1 when it ends.
        """
        if agent not in self._busy:
            return
        self._busy[agent] += by
        self._record_load(now_s)

    def _change_waiting(self, now_s: float, workspace: str, by: int) -> None:
        """Change and record the number of a workspace's waiting requests."""
        self._counts[workspace] += by
        waiting = self._counts[workspace]
        self.record(BacklogChanged(now_s, self.service, workspace, waiting))
        self._record_load(now_s)

    def _record_load(self, now_s: float) -> None:
        """Record free slots and waiting requests if they changed.

        They count as zero while idle slots are not checked.
        """
        busy = self._busy.values()
        free = sum(max(0, self.slots - busy_slots) for busy_slots in busy)
        checked = self.enabled and self.is_fully_connected()
        load = (free, len(self._waiting)) if checked else (0, 0)
        if load == self._last_load:
            return
        self._last_load = load
        self.record(LoadChanged(now_s, self.service, *load))
