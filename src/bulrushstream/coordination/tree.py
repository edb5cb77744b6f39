"""The aggregation tree over live instances.

In a large fleet, service totals are sent up a tree and digests down it.
The tree depends only on the names of the live instances.  Sorted by the
hashes of their names, the first instance is the root, and the next ones
form levels whose size grows by the fan-in.  The parent of an instance is
the one in the level above whose hash follows the instance's own; if that
one has the maximum of children, the next is used (consistent hashing with
bounded loads, Mirrokni, Thorup and Zadimoghaddam 2018).  No instance needs
to be reserved as a parent, and a lost parent is replaced by the next one.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

DEFAULT_FAN_IN: Final = 4


def _hash_order(ordering: str, name: str) -> tuple[int, str]:
    """Return the sort key of a name in one of the orderings."""
    return xxhash.xxh3_64_intdigest(f"{ordering}\0{name}".encode()), name


def choose_parents(
    tree: str, names: Iterable[str], fan_in: int = DEFAULT_FAN_IN
) -> Mapping[str, str | None]:
    """Return the parent of every instance.

    :param tree: The name of the tree, such as its service.
    :param names: The live instances.
    :param fan_in: Maximum number of children per instance; at least 2.
    :returns: Parents by name; None for the root.
    :raises ValueError: If the fan-in is below 2.
    """
    if fan_in < 2:
        raise ValueError(f"fan-in must be at least 2, got {fan_in}")
    order = [
        name for _, name in sorted(_hash_order(tree, n) for n in set(names))
    ]
    parents: dict[str, str | None] = {}
    level_above: list[str] = []
    start, size = 0, 1
    while start < len(order):
        level = order[start : start + size]
        parents.update(_attach(tree, level, level_above, fan_in))
        level_above = level
        start, size = start + size, size * fan_in
    return parents


def _attach(
    tree: str, level: list[str], level_above: list[str], fan_in: int
) -> dict[str, str | None]:
    """Return the parents of one level's instances."""
    if not level_above:
        return dict.fromkeys(level)
    # Hashes within a level are close together in the tree's ordering, so
    # parents are looked up in separate orderings to spread the children.
    ring = sorted(_hash_order(f"{tree}\0parent", name) for name in level_above)
    free_places = dict.fromkeys(level_above, fan_in)
    parents: dict[str, str | None] = {}
    for name in level:
        index = bisect_left(ring, _hash_order(f"{tree}\0child", name))
        while not free_places[ring[index % len(ring)][1]]:
            index += 1
        parent = ring[index % len(ring)][1]
        free_places[parent] -= 1
        parents[name] = parent
    return parents
