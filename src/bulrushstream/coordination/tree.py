"""The aggregation tree over live instances.

In a large fleet service totals travel up a tree and digests travel down.
The tree follows from the names of the live instances alone: sorted by
their hashes, the first is the root, the next ones form levels that grow by
the fan-in.  A child's parent is the instance of the level above that
follows the child's own hash, with the next one in order if that has as
many children as it may (consistent hashing with bounded loads, Mirrokni,
Thorup and Zadimoghaddam 2018).  No instance is set aside, and a lost
parent is replaced by the next.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

DEFAULT_FAN_IN: Final = 4


def _rank(use: str, name: str) -> tuple[int, str]:
    """Return the place of a name in one of the orders."""
    return xxhash.xxh3_64_intdigest(f"{use}\0{name}".encode()), name


def choose_parents(
    tree: str, names: Iterable[str], fan_in: int = DEFAULT_FAN_IN
) -> Mapping[str, str | None]:
    """Return the parent of every instance.

    :param tree: The name of the tree, such as its service.
    :param names: The live instances.
    :param fan_in: How many children an instance has at most; above 1.
    :returns: Parents by name; the root has None.
    :raises ValueError: If the fan-in is below 2.
    """
    if fan_in < 2:
        raise ValueError(f"fan-in {fan_in} is below 2")
    order = [name for _, name in sorted(_rank(tree, n) for n in set(names))]
    parents: dict[str, str | None] = {}
    above: list[str] = []
    start, size = 0, 1
    while start < len(order):
        level = order[start : start + size]
        parents.update(_attach(tree, level, above, fan_in))
        above = level
        start, size = start + size, size * fan_in
    return parents


def _attach(
    tree: str, level: list[str], above: list[str], fan_in: int
) -> dict[str, str | None]:
    """Return the parents of one level's instances."""
    if not above:
        return dict.fromkeys(level)
    # Ranks within a level lie close together, so that the children look
    # for their parents in an order of its own.
    ring = sorted(_rank(f"{tree}\0parent", name) for name in above)
    free = dict.fromkeys(above, fan_in)
    parents: dict[str, str | None] = {}
    for name in level:
        place = bisect_left(ring, _rank(f"{tree}\0child", name))
        while not free[ring[place % len(ring)][1]]:
            place += 1
        parent = ring[place % len(ring)][1]
        free[parent] -= 1
        parents[name] = parent
    return parents
