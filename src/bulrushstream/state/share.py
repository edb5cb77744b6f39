"""An agent's view of the service that each workspace has received.

A workspace's *counter* is the weighted service that it received from all
agents, plus its *lift*.  Service is divided by the workspace's weight at the
time when it is counted, so a later change of weights does not alter past
service.  The agent counts its own service itself.  Each connected router
sends digests with the totals of all other agents.  A digest total is a lower
bound of a number that only grows, so the largest one received is used.

A workspace that becomes backlogged after being idle gets a lift that raises
its counter to the level of the others, so it gains no credit for idle time.
Lifts are merged by maximum, so agents that lift concurrently converge.

A counter can also be lowered, for this agent only: if it is far above the
others, as after a partition or after totals were lost, it is cut to a limit.
This bounds how long past service can keep a workspace waiting.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Digest


@dataclass(slots=True)
class _RouterDigests:
    """The merged digests of one router."""

    sequence: int = -1  # Sequence number of its latest digest.
    totals: dict[str, float] = field(default_factory=dict)


class ServiceCounters:
    """Counters of all workspaces, as known to one agent."""

    __slots__ = (
        "_digests",
        "_reductions",
        "_remote_estimates",
        "_remote_totals",
        "_router_lifts",
        "informed",
        "lifts",
        "served",
    )

    # Largest digest total by workspace.
    _remote_totals: dict[str, float]
    # The latest in-flight estimate of other agents, and the router that sent
    # it, by workspace.
    _remote_estimates: dict[str, tuple[InstanceKey, float]]
    # Digests by router incarnation.
    _digests: dict[InstanceKey, _RouterDigests]
    # How much counters were lowered on this agent, by workspace.
    _reductions: dict[str, float]
    # Lifts that the routers are known to have, by workspace.
    _router_lifts: dict[str, float]
    # Lifts by workspace, in weighted units.
    lifts: dict[str, float]
    # Weighted service given by this incarnation, by workspace.
    served: dict[str, float]
    # Whether any router has sent a digest.
    informed: bool

    def __init__(self) -> None:
        self._remote_totals = {}
        self._remote_estimates = {}
        self._digests = {}
        self._reductions = {}
        self._router_lifts = {}
        self.lifts = {}
        self.served = {}
        self.informed = False

    def add_served(self, workspace: str, units: float) -> None:
        """Count service given by this agent.

        :param workspace: The workspace that received it.
        :param units: Weighted service units.
        """
        self.served[workspace] = self.served.get(workspace, 0.0) + units

    def merge_digest(self, router: InstanceKey, digest: Digest) -> None:
        """Merge a router's digest; late and duplicate digests are harmless.

        :param router: The sender.
        :param digest: Totals and in-flight estimates of the other agents.
        """
        self.informed = True
        source = self._digests.setdefault(router, _RouterDigests())
        late = digest.sequence <= source.sequence
        source.sequence = max(source.sequence, digest.sequence)
        for entry in digest.entries:
            known = source.totals.get(entry.workspace, 0.0)
            source.totals[entry.workspace] = max(known, entry.total)
            if not late:
                self._remote_estimates[entry.workspace] = (
                    router,
                    entry.in_flight,
                )
            self._raise_total(entry.workspace, entry.total)
            self.merge_lift(entry.workspace, entry.floor)
            known_lift = self._router_lifts.get(entry.workspace, 0.0)
            self._router_lifts[entry.workspace] = max(known_lift, entry.floor)

    def drop_estimates(self, router: InstanceKey) -> None:
        """Drop a router's in-flight estimates, but keep its totals.

        :param router: The router, which is no longer connected.
        """
        for workspace in [
            w for w, o in self._remote_estimates.items() if o[0] == router
        ]:
            del self._remote_estimates[workspace]

    def forget_router(self, router: InstanceKey) -> None:
        """Drop the digests of a router incarnation that will not return.

        If all routers lost their ledgers at once, the totals of agents that
        ended earlier are lost everywhere.  They must be dropped here too, so
        that this agent counts like the others.

        :param router: The router.
        """
        self.drop_estimates(router)
        if self._digests.pop(router, None) is None:
            return
        self._remote_totals.clear()
        for source in self._digests.values():
            for workspace, total in source.totals.items():
                self._raise_total(workspace, total)

    def merge_lift(self, workspace: str, lift: float) -> None:
        """Merge a lift that another agent set.

        :param workspace: The lifted workspace.
        :param lift: The lift, in weighted units.
        """
        if lift > self.lifts.get(workspace, 0.0):
            self.lifts[workspace] = lift

    def lift_to(self, workspace: str, level: float) -> None:
        """Raise a counter to a level if it is below.

        :param workspace: The workspace to lift.
        :param level: The level, in weighted units.
        """
        missing = level - self.counter(workspace)
        if missing > 0:
            self.lifts[workspace] = self.lifts.get(workspace, 0.0) + missing

    def lower_to(self, workspace: str, level: float) -> None:
        """Lower a counter to a level if it is above, on this agent only.

        :param workspace: The workspace.
        :param level: The level, in weighted units.
        """
        excess = self.counter(workspace) - level
        if excess > 0:
            before = self._reductions.get(workspace, 0.0)
            self._reductions[workspace] = before + excess

    def counter(self, workspace: str) -> float:
        """Return a workspace's counter, in weighted units.

        :param workspace: The workspace.
        """
        return (
            self.served.get(workspace, 0.0)
            + self._remote_totals.get(workspace, 0.0)
            + self.lifts.get(workspace, 0.0)
            - self._reductions.get(workspace, 0.0)
        )

    def with_in_flight(self, workspace: str, local_in_flight: float) -> float:
        """Return a counter plus the expected cost of running requests.

        :param workspace: The workspace.
        :param local_in_flight: What requests running at this agent are
            expected to add.
        """
        return (
            self.counter(workspace)
            + self.remote_in_flight(workspace)
            + local_in_flight
        )

    def remote_in_flight(self, workspace: str) -> float:
        """Return what requests running at other agents are expected to add.

        :param workspace: The workspace.
        """
        return (
            self._remote_estimates[workspace][1]
            if workspace in self._remote_estimates
            else 0.0
        )

    def highest_counter(self) -> float:
        """Return the highest counter of all workspaces."""
        names = (
            self.served.keys() | self._remote_totals.keys() | self.lifts.keys()
        )
        return max((self.counter(name) for name in names), default=0.0)

    def pending_lifts(self, min_gain: float) -> Iterator[tuple[str, float]]:
        """List lifts that the routers lack, and mark them as sent.

        :param min_gain: A lift is listed if it exceeds the value known to
            the routers by more than this.
        :returns: Workspaces and their lifts.
        """
        for workspace, lift in self.lifts.items():
            if lift > self._router_lifts.get(workspace, 0.0) + min_gain:
                self._router_lifts[workspace] = lift
                yield workspace, lift

    def _raise_total(self, workspace: str, total: float) -> None:
        """Merge a digest's total."""
        if total > self._remote_totals.get(workspace, 0.0):
            self._remote_totals[workspace] = total
