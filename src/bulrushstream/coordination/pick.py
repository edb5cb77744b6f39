"""Which workspace and which router an agent pulls from next.

The workspace with the least weighted service goes first.  What is in flight
is charged at its estimate, so that a slow request does not look like none.
Within the workspace, the router with the most urgent and oldest work goes
first.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from bulrushstream.coordination.subset import pair_score
from bulrushstream.state.backlog import BacklogCount
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.share import ServiceCounters


def lift_returning(
    shares: ServiceCounters,
    returning: Iterable[str],
    backlogged: Iterable[str],
) -> None:
    """Lift workspaces that came back from idle.

    They start level with the least served one that was backlogged all the
    while.  If there was none, nothing that was given before counts.

    :param shares: The counters; lifts are set in them.
    :param returning: Workspaces that had nothing waiting before.
    :param backlogged: All workspaces with anything waiting.
    """
    back = set(returning)
    stayed = [name for name in backlogged if name not in back]
    if stayed:
        level = min(shares.counter(name) for name in stayed)
    else:
        level = shares.highest_counter()
    for workspace in back:
        shares.lift_to(workspace, level)


def relieve(
    shares: ServiceCounters,
    backlogged: Iterable[str],
    limits: Mapping[str, float],
) -> None:
    """Bound how far a backlogged workspace may be ahead of the least.

    :param shares: The counters; relief is set in them.
    :param backlogged: All workspaces with anything waiting.
    :param limits: How far each may be ahead, in weighted units.
    """
    counters = {name: shares.counter(name) for name in backlogged}
    least = min(counters.values(), default=0.0)
    for name, counter in counters.items():
        limit = limits[name]
        if counter > least + limit:
            shares.lower_to(name, least + limit)


def least_served(agent: str, charged: Mapping[str, float]) -> str | None:
    """Return the workspace that is to be served next.

    :param agent: Who picks; agents break ties differently, so that they do
        not all serve the same workspace when nothing is known yet.
    :param charged: Counters with what is in flight, by workspace.
    :returns: The one with the least; None if there are none.
    """
    if not charged:
        return None
    least = min(charged.values())
    ties = [name for name, value in charged.items() if value == least]
    return max(ties, key=lambda name: (pair_score(agent, name), name))


def most_urgent(
    holders: Iterable[tuple[InstanceKey, BacklogCount]], aging_s: float
) -> InstanceKey | None:
    """Return the router to pull from.

    :param holders: Routers and what waits there.
    :param aging_s: By how much interactive work counts as older.
    :returns: The one with the oldest work; None if there are none.
    """
    ranked = [
        (waiting.oldest_s - (aging_s if waiting.interactive else 0.0), key)
        for key, waiting in holders
    ]
    return min(ranked)[1] if ranked else None
