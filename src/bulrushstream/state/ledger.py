"""The service ledger: how much service each workspace has received.

Service is weighted: units divided by the workspace's weight at the time.
Every start of every agent counts, per workspace, the service that it gave;
such a *cell* only grows.  The ledger of a service is the map of all cells,
and merging takes the larger of two copies, so that messages may be lost,
doubled or reordered.  What running requests are still expected to cost is
the cell's *in-flight estimate*; it goes up and down, so the copy from the
agent's latest report wins.

Cells of an agent's earlier incarnations are *folded*: their totals become
one sum per agent and workspace, and the highest folded incarnation is
remembered.  A sum that arrives for folded incarnations is a lower bound of
the same growing number, so the larger one is kept and nothing is added
twice.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Final, TypeAlias

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import ServedEntry

MAX_LIVE_INCARNATIONS: Final = 2
NO_INCARNATION: Final = -1
NO_REVISION: Final = 0

# Agent, incarnation (NO_INCARNATION for the folded sum), workspace.
_CellKey: TypeAlias = tuple[str, int, str]


@dataclass(frozen=True, slots=True)
class ServedTotal:
    """Service of one workspace, summed over cells."""

    total: float  # Weighted service units that were given.
    in_flight: float  # Weighted units that running requests still owe.


@dataclass(slots=True)
class _Cell:
    """What one incarnation of one agent gave to one workspace."""

    total: float = 0.0  # Weighted service units; grows only.
    in_flight: float = 0.0  # As the latest report estimated it.
    sequence: int = -1  # The number of that report.


@dataclass(slots=True)
class _Agent:
    """The cells of one agent."""

    folded_to: int = NO_INCARNATION  # The highest folded incarnation.
    folded: dict[str, float] = field(default_factory=dict)  # By workspace.
    live: dict[int, dict[str, _Cell]] = field(default_factory=dict)


def named(
    entry: ServedEntry, sender: InstanceKey, sequence: int
) -> ServedEntry:
    """Return an entry with its agent; one without a name is the sender's.

    :param entry: An entry as it was received.
    :param sender: Who sent it.
    :param sequence: The number of the message that held it.
    """
    if entry.agent:
        return entry
    return replace(
        entry,
        agent=sender.instance,
        incarnation=sender.incarnation,
        sequence=sequence,
    )


class Ledger:
    """The service ledger of one service.

    Sums over all agents are kept as cells change, so that reading one costs
    the same in a large fleet.  Every change takes the next *revision*, and
    what changed after a revision is listed without looking at the rest.
    """

    __slots__ = ("_agents", "_changed", "_sums", "_touched", "revision")

    # Cells by agent.
    _agents: dict[str, _Agent]
    # The revision of each cell's last change, oldest first.
    _changed: dict[_CellKey, int]
    # The same for whole workspaces.
    _touched: dict[str, int]
    # Sums over all cells, by workspace.
    _sums: dict[str, ServedTotal]
    # Grows with each change.
    revision: int

    def __init__(self) -> None:
        self._agents = {}
        self._changed = {}
        self._touched = {}
        self._sums = {}
        self.revision = NO_REVISION

    def merge(self, entry: ServedEntry) -> bool:
        """Take over a copy of a cell or of a folded sum.

        :param entry: The copy; its `sequence` orders the estimates of one
            incarnation, its `folded` marks a sum over incarnations.
        :returns: Whether the ledger changed, so that peers may want it.
        """
        agent = self._agents.setdefault(entry.agent, _Agent())
        if entry.folded and entry.incarnation > agent.folded_to:
            self.fold(entry.agent, entry.incarnation)
        if entry.folded or entry.incarnation <= agent.folded_to:
            return self._raise_folded(entry, agent)
        return self._merge_live(entry, agent)

    def fold(self, agent_name: str, incarnation: int) -> None:
        """Fold an agent's incarnations up to and including this one.

        Their in-flight estimates end: the runs ended with the process.

        :param agent_name: Whose cells to fold.
        :param incarnation: The last incarnation that is known to be over.
        """
        agent = self._agents.setdefault(agent_name, _Agent())
        if incarnation <= agent.folded_to:
            return
        agent.folded_to = incarnation
        for old in sorted(i for i in agent.live if i <= incarnation):
            for workspace, cell in agent.live.pop(old).items():
                self._changed.pop((agent_name, old, workspace), None)
                before = agent.folded.get(workspace, 0.0)
                agent.folded[workspace] = before + cell.total
                self._note(agent_name, NO_INCARNATION, workspace)
                self._add(workspace, 0.0, -cell.in_flight)

    def total(
        self, workspace: str, without: InstanceKey | None = None
    ) -> ServedTotal:
        """Return the sums over all cells of a workspace.

        :param workspace: Whose service.
        :param without: An incarnation whose cell is left out, if any.
        :returns: The sums; zero for a workspace that was never served.
        """
        everything = self._sums.get(workspace, ServedTotal(0.0, 0.0))
        cell = None if without is None else self._find(without, workspace)
        if cell is None:
            return everything
        return ServedTotal(
            max(0.0, everything.total - cell.total),
            max(0.0, everything.in_flight - cell.in_flight),
        )

    def entries(self, since: int = NO_REVISION) -> Iterator[ServedEntry]:
        """List the cells that changed after a revision, latest first.

        :param since: A value that `revision` had; 0 lists everything.
        :returns: Copies that another ledger can merge.
        """
        for key in reversed(self._changed):
            if self._changed[key] <= since:
                return
            yield self._entry(*key)

    def workspaces(self, since: int = NO_REVISION) -> Iterator[str]:
        """List the workspaces whose sums changed after a revision.

        :param since: A value that `revision` had; 0 lists everything.
        :returns: The names, latest change first.
        """
        for workspace in reversed(self._touched):
            if self._touched[workspace] <= since:
                return
            yield workspace

    def _merge_live(self, entry: ServedEntry, agent: _Agent) -> bool:
        """Merge a copy of the cell of an incarnation that is not folded."""
        cells = agent.live.setdefault(entry.incarnation, {})
        cell = cells.setdefault(entry.workspace, _Cell())
        total = max(cell.total, entry.total)
        # Equal numbers are copies of one report, but the larger estimate
        # is taken all the same, so that the order can never matter.
        latest = max(
            (cell.sequence, cell.in_flight), (entry.sequence, entry.in_flight)
        )
        if (total, latest) == (cell.total, (cell.sequence, cell.in_flight)):
            return False
        self._add(
            entry.workspace, total - cell.total, latest[1] - cell.in_flight
        )
        cell.total = total
        cell.sequence, cell.in_flight = latest
        self._note(entry.agent, entry.incarnation, entry.workspace)
        if len(agent.live) > MAX_LIVE_INCARNATIONS:
            self.fold(entry.agent, min(agent.live))
        return True

    def _raise_folded(self, entry: ServedEntry, agent: _Agent) -> bool:
        """Raise a folded sum to a lower bound that arrived for it."""
        before = agent.folded.get(entry.workspace, 0.0)
        if entry.total <= before:
            return False
        agent.folded[entry.workspace] = entry.total
        self._add(entry.workspace, entry.total - before, 0.0)
        self._note(entry.agent, NO_INCARNATION, entry.workspace)
        return True

    def _find(self, key: InstanceKey, workspace: str) -> _Cell | None:
        """Return the cell of an incarnation, if it has one."""
        agent = self._agents.get(key.instance)
        if agent is None:
            return None
        return agent.live.get(key.incarnation, {}).get(workspace)

    def _entry(
        self, agent_name: str, incarnation: int, workspace: str
    ) -> ServedEntry:
        """Return a copy of a cell or of a folded sum."""
        agent = self._agents[agent_name]
        if incarnation == NO_INCARNATION:
            return ServedEntry(
                agent=agent_name,
                incarnation=agent.folded_to,
                workspace=workspace,
                total=agent.folded[workspace],
                in_flight=0.0,
                folded=True,
            )
        cell = agent.live[incarnation][workspace]
        return ServedEntry(
            agent=agent_name,
            incarnation=incarnation,
            workspace=workspace,
            total=cell.total,
            in_flight=cell.in_flight,
            sequence=cell.sequence,
        )

    def _add(self, workspace: str, total: float, in_flight: float) -> None:
        """Add a change to the sums of a workspace."""
        before = self._sums.get(workspace, ServedTotal(0.0, 0.0))
        self._sums[workspace] = ServedTotal(
            before.total + total, max(0.0, before.in_flight + in_flight)
        )

    def _note(self, agent: str, incarnation: int, workspace: str) -> None:
        """Give a cell and its workspace the next revision."""
        self.revision += 1
        key = (agent, incarnation, workspace)
        # Taken out first, so that the latest change stands last.
        self._changed.pop(key, None)
        self._changed[key] = self.revision
        self._touched.pop(workspace, None)
        self._touched[workspace] = self.revision
