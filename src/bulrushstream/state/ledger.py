"""The service ledger: how much service each workspace has received.

Service is weighted: units divided by the workspace's weight at the time.
A *cell* holds the service that one agent incarnation gave to one workspace;
its total only grows.  The ledger of a service is the map of all cells.
Merging keeps the larger total, so messages may be lost, duplicated or
reordered.  A cell also has an *in-flight estimate*: the cost that running
requests are still expected to add.  It goes up and down, so the value of the
agent's latest report is kept.

Cells of an agent's earlier incarnations are *folded*: their totals are added
up per agent and workspace, and the highest folded incarnation is stored.  A
received sum over folded incarnations is a lower bound of the same growing
number, so the larger one is kept and nothing is counted twice.
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

    total: float  # Weighted service units.
    in_flight: float  # Weighted units that running requests may still add.


@dataclass(slots=True)
class _Cell:
    """Service that one agent incarnation gave to one workspace."""

    total: float = 0.0  # Weighted service units; never decreases.
    in_flight: float = 0.0  # The estimate of the latest report.
    sequence: int = -1  # Sequence number of that report.


@dataclass(slots=True)
class _AgentCells:
    """The cells of one agent."""

    folded_to: int = NO_INCARNATION  # The highest folded incarnation.
    # Folded totals by workspace.
    folded: dict[str, float] = field(default_factory=dict)
    # Cells by incarnation and workspace.
    live: dict[int, dict[str, _Cell]] = field(default_factory=dict)


def with_sender(
    entry: ServedEntry, sender: InstanceKey, sequence: int
) -> ServedEntry:
    """Fill in the agent of an entry that an agent sent about itself.

    :param entry: A received entry; no agent name means the sender's own.
    :param sender: The instance that sent it.
    :param sequence: Sequence number of the message.
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

    Sums over all agents are updated with each change, so reading one takes
    constant time however large the fleet is.  Every change gets the next
    *revision* number; listing the changes after a revision does not visit
    older cells.
    """

    __slots__ = (
        "_agents",
        "_cell_revisions",
        "_sums",
        "_workspace_revisions",
        "revision",
    )

    _agents: dict[str, _AgentCells]
    # The revision of each cell's latest change, oldest first.
    _cell_revisions: dict[_CellKey, int]
    # The revision of each workspace's latest change, oldest first.
    _workspace_revisions: dict[str, int]
    # Sums over all cells, by workspace.
    _sums: dict[str, ServedTotal]
    # The number of the latest change.
    revision: int

    def __init__(self) -> None:
        self._agents = {}
        self._cell_revisions = {}
        self._workspace_revisions = {}
        self._sums = {}
        self.revision = NO_REVISION

    def merge(self, entry: ServedEntry) -> bool:
        """Merge a copy of a cell or of a folded sum.

        :param entry: The copy; its `sequence` orders the estimates of one
            incarnation, its `folded` marks a sum over incarnations.
        :returns: Whether the ledger changed, so that peers need the entry.
        """
        agent = self._agents.setdefault(entry.agent, _AgentCells())
        if entry.folded and entry.incarnation > agent.folded_to:
            self.fold(entry.agent, entry.incarnation)
        if entry.folded or entry.incarnation <= agent.folded_to:
            return self._raise_folded(entry, agent)
        return self._merge_live(entry, agent)

    def fold(self, agent_name: str, incarnation: int) -> None:
        """Fold an agent's incarnations up to and including this one.

        Their in-flight estimates are dropped, since the runs ended with the
        process.

        :param agent_name: The agent.
        :param incarnation: The latest incarnation that is known to have
            ended.
        """
        agent = self._agents.setdefault(agent_name, _AgentCells())
        if incarnation <= agent.folded_to:
            return
        agent.folded_to = incarnation
        for old in sorted(i for i in agent.live if i <= incarnation):
            for workspace, cell in agent.live.pop(old).items():
                self._cell_revisions.pop((agent_name, old, workspace), None)
                before = agent.folded.get(workspace, 0.0)
                agent.folded[workspace] = before + cell.total
                self._mark_changed(agent_name, NO_INCARNATION, workspace)
                self._add_to_sums(workspace, 0.0, -cell.in_flight)

    def total(
        self, workspace: str, excluding: InstanceKey | None = None
    ) -> ServedTotal:
        """Return the sums over all cells of a workspace.

        :param workspace: The workspace.
        :param excluding: An agent incarnation whose cell is not counted.
        :returns: The sums; zero for a workspace that was never served.
        """
        sums = self._sums.get(workspace, ServedTotal(0.0, 0.0))
        cell = None if excluding is None else self._find(excluding, workspace)
        if cell is None:
            return sums
        return ServedTotal(
            max(0.0, sums.total - cell.total),
            max(0.0, sums.in_flight - cell.in_flight),
        )

    def entries(self, since: int = NO_REVISION) -> Iterator[ServedEntry]:
        """List the cells that changed after a revision, latest first.

        :param since: An earlier value of `revision`; 0 lists all cells.
        :returns: Entries that another ledger can merge.
        """
        for key in reversed(self._cell_revisions):
            if self._cell_revisions[key] <= since:
                return
            yield self._entry(*key)

    def workspaces(self, since: int = NO_REVISION) -> Iterator[str]:
        """List the workspaces whose sums changed after a revision.

        :param since: An earlier value of `revision`; 0 lists all workspaces.
        :returns: The names, latest change first.
        """
        for workspace in reversed(self._workspace_revisions):
            if self._workspace_revisions[workspace] <= since:
                return
            yield workspace

    def _merge_live(self, entry: ServedEntry, agent: _AgentCells) -> bool:
        """Merge a copy of the cell of an incarnation that is not folded."""
        cells = agent.live.setdefault(entry.incarnation, {})
        cell = cells.setdefault(entry.workspace, _Cell())
        total = max(cell.total, entry.total)
        # Equal sequence numbers mean copies of one report.  The larger
        # estimate is kept nevertheless, so the merge order never matters.
        latest = max(
            (cell.sequence, cell.in_flight), (entry.sequence, entry.in_flight)
        )
        if (total, latest) == (cell.total, (cell.sequence, cell.in_flight)):
            return False
        self._add_to_sums(
            entry.workspace, total - cell.total, latest[1] - cell.in_flight
        )
        cell.total = total
        cell.sequence, cell.in_flight = latest
        self._mark_changed(entry.agent, entry.incarnation, entry.workspace)
        if len(agent.live) > MAX_LIVE_INCARNATIONS:
            self.fold(entry.agent, min(agent.live))
        return True

    def _raise_folded(self, entry: ServedEntry, agent: _AgentCells) -> bool:
        """Raise a folded sum to a received lower bound."""
        before = agent.folded.get(entry.workspace, 0.0)
        if entry.total <= before:
            return False
        agent.folded[entry.workspace] = entry.total
        self._add_to_sums(entry.workspace, entry.total - before, 0.0)
        self._mark_changed(entry.agent, NO_INCARNATION, entry.workspace)
        return True

    def _find(self, key: InstanceKey, workspace: str) -> _Cell | None:
        """Return the live cell of an incarnation, if there is one."""
        agent = self._agents.get(key.instance)
        if agent is None:
            return None
        return agent.live.get(key.incarnation, {}).get(workspace)

    def _entry(
        self, agent_name: str, incarnation: int, workspace: str
    ) -> ServedEntry:
        """Return a cell or a folded sum as a ledger entry."""
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

    def _add_to_sums(
        self, workspace: str, total: float, in_flight: float
    ) -> None:
        """Add differences to the sums of a workspace."""
        before = self._sums.get(workspace, ServedTotal(0.0, 0.0))
        self._sums[workspace] = ServedTotal(
            before.total + total, max(0.0, before.in_flight + in_flight)
        )

    def _mark_changed(
        self, agent: str, incarnation: int, workspace: str
    ) -> None:
        """Give a cell and its workspace the next revision."""
        self.revision += 1
        key = (agent, incarnation, workspace)
        # Removed first, so that the new revision is inserted at the end.
        self._cell_revisions.pop(key, None)
        self._cell_revisions[key] = self.revision
        self._workspace_revisions.pop(workspace, None)
        self._workspace_revisions[workspace] = self.revision
