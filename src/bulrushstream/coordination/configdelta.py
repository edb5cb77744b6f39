"""What one configuration changes in another.

A *delta* names the items that were removed and those that are new or
different.  Items keep their order and new ones come last; where that does
not give the wanted order, the delta names the order as well.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from bulrushstream.state.config import FleetConfig, Rule, Service, Workspace

Item = TypeVar("Item", Workspace, Service, Rule)


@dataclass(frozen=True, slots=True)
class PartDelta(Generic[Item]):
    """What changes in one part of a configuration."""

    removed: tuple[str, ...] = ()  # Names of items that go.
    changed: tuple[Item, ...] = ()  # Items that are new or different.
    order: tuple[str, ...] = ()  # All names in order; empty: as it comes.


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """What changes from one configuration to the next."""

    workspaces: PartDelta[Workspace] = PartDelta()
    services: PartDelta[Service] = PartDelta()
    rules: PartDelta[Rule] = PartDelta()


def make_delta(old: FleetConfig, new: FleetConfig) -> ConfigDelta:
    """Return what leads from one configuration to another.

    :param old: The configuration that the delta starts from.
    :param new: The configuration that it leads to.
    :returns: A delta, so that `apply_delta(old, delta) == new`.
    """
    return ConfigDelta(
        _make_part(old.workspaces, new.workspaces),
        _make_part(old.services, new.services),
        _make_part(old.rules, new.rules),
    )


def apply_delta(old: FleetConfig, delta: ConfigDelta) -> FleetConfig:
    """Return the configuration that a delta leads to.

    :param old: The configuration that the delta starts from.
    :param delta: What changes.
    :returns: The new configuration; nonsense if `old` is another one,
        which the digest of the result shows.
    """
    return FleetConfig(
        _apply_part(old.workspaces, delta.workspaces),
        _apply_part(old.services, delta.services),
        _apply_part(old.rules, delta.rules),
    )


def _make_part(old: Sequence[Item], new: Sequence[Item]) -> PartDelta[Item]:
    before = {item.name: item for item in old}
    after = {item.name for item in new}
    removed = tuple(item.name for item in old if item.name not in after)
    changed = tuple(item for item in new if before.get(item.name) != item)
    plain = PartDelta(removed, changed)
    if _apply_part(old, plain) == tuple(new):
        return plain
    return PartDelta(removed, changed, tuple(item.name for item in new))


def _apply_part(
    old: Sequence[Item], delta: PartDelta[Item]
) -> tuple[Item, ...]:
    items = {item.name: item for item in old}
    for name in delta.removed:
        items.pop(name, None)
    for item in delta.changed:
        items[item.name] = item
    if not delta.order:
        return tuple(items.values())
    return tuple(items[name] for name in delta.order if name in items)
