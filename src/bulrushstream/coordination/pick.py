"""Choice of the workspace and the router that an agent pulls from next.

The workspace with the least weighted service goes first.  Requests in
flight are charged at their estimated cost, so that a slow request counts
before it ends.  Within the workspace, the router with the most urgent and
oldest request goes first.
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
    """Lift the counters of workspaces that were idle.

    They are lifted to the lowest counter of the workspaces that stayed
    backlogged, so that idle time earns no credit.  If none did, they are
    lifted to the highest counter of all, so that earlier service no longer
    counts.

    :param shares: The counters; lifts are set in them.
    :param returning: Workspaces that had no waiting requests before.
    :param backlogged: All workspaces with waiting requests.
    """
    was_idle = set(returning)
    stayed = [name for name in backlogged if name not in was_idle]
    if stayed:
        level = min(shares.counter(name) for name in stayed)
    else:
        level = shares.highest_counter()
    for workspace in was_idle:
        shares.lift_to(workspace, level)


def bound_lead(
    shares: ServiceCounters,
    backlogged: Iterable[str],
    limits: Mapping[str, float],
) -> None:
    """Bound the lead of backlogged workspaces over the least served one.

    Counters above the bound are lowered to it.

    :param shares: The counters.
    :param backlogged: All workspaces with waiting requests.
    :param limits: The largest lead of each workspace, in weighted units.
    """
    counters = {name: shares.counter(name) for name in backlogged}
    least = min(counters.values(), default=0.0)
    for name, counter in counters.items():
        limit = limits[name]
        if counter > least + limit:
            shares.lower_to(name, least + limit)


def least_served(agent: str, charged: Mapping[str, float]) -> str | None:
    """Return the workspace that is served next.

    :param agent: The agent's name.  Agents break ties differently, so that
        they do not all serve the same workspace while all counters are 0.
    :param charged: By workspace, the counter with the estimated cost of
        the requests in flight.
    :returns: The workspace with the lowest value; None if there is none.
    """
    if not charged:
        return None
    least = min(charged.values())
    ties = [name for name, value in charged.items() if value == least]
    return max(ties, key=lambda name: (pair_score(agent, name), name))


def most_urgent(
    pull_candidates: Iterable[tuple[InstanceKey, BacklogCount]], aging_s: float
) -> InstanceKey | None:
    """Return the router to pull from.

    :param pull_candidates: Routers and their backlogs of the workspace.
    :param aging_s: By how much interactive requests count as older.
    :returns: The router with the oldest request; None if there is none.
    """
    ranked = [
        (waiting.oldest_s - (aging_s if waiting.interactive else 0.0), key)
        for key, waiting in pull_candidates
    ]
    return min(ranked)[1] if ranked else None
