"""Deltas between configurations.

A *delta* lists the names of the removed items, and the items that are new
or changed.  When it is applied, items keep their order and new ones are
added at the end.  If that does not give the new configuration's order, the
delta also lists the names in their order.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from bulrushstream.state.config import FleetConfig, Rule, Service, Workspace

Item = TypeVar("Item", Workspace, Service, Rule)


@dataclass(frozen=True, slots=True)
class SectionDelta(Generic[Item]):
    """The changes in one section of a configuration."""

    removed: tuple[str, ...] = ()  # Names.
    changed: tuple[Item, ...] = ()  # New and changed items.
    order: tuple[str, ...] = ()  # All names; empty: the default order.


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """The changes from one configuration to another."""

    workspaces: SectionDelta[Workspace] = SectionDelta()
    services: SectionDelta[Service] = SectionDelta()
    rules: SectionDelta[Rule] = SectionDelta()


def make_delta(old: FleetConfig, new: FleetConfig) -> ConfigDelta:
    """Return the delta from one configuration to another.

    :param old: The configuration that the delta applies to.
    :param new: The configuration that results from it.
    :returns: A delta with `apply_delta(old, delta) == new`.
    """
    return ConfigDelta(
        _make_section(old.workspaces, new.workspaces),
        _make_section(old.services, new.services),
        _make_section(old.rules, new.rules),
    )


def apply_delta(old: FleetConfig, delta: ConfigDelta) -> FleetConfig:
    """Return the configuration that results from a delta.

    :param old: The configuration that the delta was made from.
    :param delta: The changes.
    :returns: The new configuration.  With a different `old` it is wrong;
        callers detect that by the digest of the result.
    """
    return FleetConfig(
        _apply_section(old.workspaces, delta.workspaces),
        _apply_section(old.services, delta.services),
        _apply_section(old.rules, delta.rules),
    )


def _make_section(
    old: Sequence[Item], new: Sequence[Item]
) -> SectionDelta[Item]:
    old_items = {item.name: item for item in old}
    new_names = {item.name for item in new}
    removed = tuple(item.name for item in old if item.name not in new_names)
    changed = tuple(item for item in new if old_items.get(item.name) != item)
    unordered = SectionDelta(removed, changed)
    if _apply_section(old, unordered) == tuple(new):
        return unordered
    return SectionDelta(removed, changed, tuple(item.name for item in new))


def _apply_section(
    old: Sequence[Item], delta: SectionDelta[Item]
) -> tuple[Item, ...]:
    items = {item.name: item for item in old}
    for name in delta.removed:
        items.pop(name, None)
    for item in delta.changed:
        items[item.name] = item
    if not delta.order:
        return tuple(items.values())
    return tuple(items[name] for name in delta.order if name in items)
