"""What an agent knows of the service that each workspace has received.

A workspace's *counter* is the weighted service that it received from every
agent, plus its *lift*.  Weighted means divided by the workspace's weight at
the time, so that a change of weights never rewrites the past.  The agent
counts its own service itself; each router that it is connected to sends a
digest of everybody else's.  Digest totals are lower bounds of a number
that only grows, so the largest one is used.

A workspace that comes back from idle gets a lift that brings its counter to
the others', so that it has no credit from the time when it wanted nothing.
Lifts are merged by maximum; whichever agents lift at once, agree.

*Relief* is the opposite, and local: a counter far above the others', as
after a partition or after totals were lost, is brought down to a limit, so
that no workspace waits for long because of the past.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Digest


@dataclass(slots=True)
class _Source:
    """What one router said."""

    sequence: int = -1  # The number of its latest digest.
    totals: dict[str, float] = field(default_factory=dict)


class Shares:
    """Counters of all workspaces, as one agent sees them."""

    __slots__ = (
        "_digested_lifts",
        "_others",
        "_owed",
        "_relief",
        "_sources",
        "informed",
        "lifts",
        "served",
    )

    # Largest digest total by workspace.
    _others: dict[str, float]
    # The latest estimate of what runs elsewhere owe, and who sent it.
    _owed: dict[str, tuple[InstanceKey, float]]
    # Digests by router incarnation.
    _sources: dict[InstanceKey, _Source]
    # What was taken off a counter here, by workspace.
    _relief: dict[str, float]
    # Lifts that routers are known to have.
    _digested_lifts: dict[str, float]
    # Lifts by workspace, in weighted units.
    lifts: dict[str, float]
    # Weighted service of this incarnation, by workspace.
    served: dict[str, float]
    # Whether any router sent a digest.
    informed: bool

    def __init__(self) -> None:
        self._others = {}
        self._owed = {}
        self._sources = {}
        self._relief = {}
        self._digested_lifts = {}
        self.lifts = {}
        self.served = {}
        self.informed = False

    def serve(self, workspace: str, amount: float) -> None:
        """Count weighted service that this agent gave.

        :param workspace: Whose.
        :param amount: The weighted units.
        """
        self.served[workspace] = self.served.get(workspace, 0.0) + amount

    def take_digest(self, router: InstanceKey, digest: Digest) -> None:
        """Take in a router's digest; late and doubled ones do no harm.

        :param router: Who sent it.
        :param digest: What it knows of the other agents.
        """
        self.informed = True
        source = self._sources.setdefault(router, _Source())
        late = digest.sequence <= source.sequence
        source.sequence = max(source.sequence, digest.sequence)
        for entry in digest.entries:
            known = source.totals.get(entry.workspace, 0.0)
            source.totals[entry.workspace] = max(known, entry.total)
            if not late:
                self._owed[entry.workspace] = (router, entry.in_flight)
            self._raise_total(entry.workspace, entry.total)
            self.raise_lift(entry.workspace, entry.floor)
            told = self._digested_lifts.get(entry.workspace, 0.0)
            self._digested_lifts[entry.workspace] = max(told, entry.floor)

    def silence(self, router: InstanceKey) -> None:
        """Let a router's estimates no longer count; its totals still do.

        :param router: Which router.
        """
        for workspace in [w for w, o in self._owed.items() if o[0] == router]:
            del self._owed[workspace]

    def drop_source(self, router: InstanceKey) -> None:
        """Forget what a router said, once it will not come back.

        If every router lost its ledger at once, the totals of agents that
        ended earlier are gone for all, and must be gone here too.

        :param router: Which router.
        """
        self.silence(router)
        if self._sources.pop(router, None) is None:
            return
        self._others.clear()
        for source in self._sources.values():
            for workspace, total in source.totals.items():
                self._raise_total(workspace, total)

    def raise_lift(self, workspace: str, lift: float) -> None:
        """Merge a lift that another agent set.

        :param workspace: Whose.
        :param lift: The lift.
        """
        if lift > self.lifts.get(workspace, 0.0):
            self.lifts[workspace] = lift

    def lift_to(self, workspace: str, level: float) -> None:
        """Lift a counter to a level, if it is below.

        :param workspace: Whose.
        :param level: The level, in weighted units.
        """
        missing = level - self.counter(workspace)
        if missing > 0:
            self.lifts[workspace] = self.lifts.get(workspace, 0.0) + missing

    def relieve_to(self, workspace: str, level: float) -> None:
        """Bring a counter down to a level, if it is above.

        :param workspace: Whose.
        :param level: The level, in weighted units.
        """
        excess = self.counter(workspace) - level
        if excess > 0:
            before = self._relief.get(workspace, 0.0)
            self._relief[workspace] = before + excess

    def counter(self, workspace: str) -> float:
        """Return the weighted service that a workspace counts from.

        :param workspace: Whose.
        """
        return (
            self.served.get(workspace, 0.0)
            + self._others.get(workspace, 0.0)
            + self.lifts.get(workspace, 0.0)
            - self._relief.get(workspace, 0.0)
        )

    def charged(self, workspace: str, owed: float) -> float:
        """Return a counter with what is in flight.

        :param workspace: Whose counter.
        :param owed: What runs at this agent are expected to add.
        """
        return self.counter(workspace) + self.owed_elsewhere(workspace) + owed

    def owed_elsewhere(self, workspace: str) -> float:
        """Return what runs at other agents are expected to add.

        :param workspace: Whose.
        """
        return self._owed[workspace][1] if workspace in self._owed else 0.0

    def highest(self) -> float:
        """Return the highest counter of all."""
        names = self.served.keys() | self._others.keys() | self.lifts.keys()
        return max((self.counter(name) for name in names), default=0.0)

    def news(self, step: float) -> Iterator[tuple[str, float]]:
        """List lifts that routers lack, and take them as told.

        :param step: By how much a lift must be above what they know.
        :returns: Workspaces and their lifts.
        """
        for workspace, lift in self.lifts.items():
            if lift > self._digested_lifts.get(workspace, 0.0) + step:
                self._digested_lifts[workspace] = lift
                yield workspace, lift

    def _raise_total(self, workspace: str, total: float) -> None:
        """Merge a digest's total."""
        if total > self._others.get(workspace, 0.0):
            self._others[workspace] = total
