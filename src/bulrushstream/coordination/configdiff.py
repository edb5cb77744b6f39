"""Human-readable differences between two configurations."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, fields
from enum import StrEnum

from bulrushstream.coordination.configdelta import Item
from bulrushstream.state.config import FleetConfig, Rule, Service, Workspace


class ChangeKind(StrEnum):
    """The kind of a change; the value is printed before its line."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"
    MOVED = "="


@dataclass(frozen=True, slots=True)
class Change:
    """One changed item."""

    kind: ChangeKind
    section: str  # "workspace", "service" or "rule".
    name: str  # Of the item.
    details: tuple[str, ...] = ()  # Changed fields, with both values.

    def __str__(self) -> str:
        """Return the change as one line."""
        line = f"{self.kind} {self.section} {self.name}"
        if self.details:
            line += ": " + ", ".join(self.details)
        return line


def compare(old: FleetConfig, new: FleetConfig) -> tuple[Change, ...]:
    """Return the differences from one configuration to another.

    :param old: The earlier configuration.
    :param new: The later configuration.
    :returns: The changes; empty if the configurations are equal.
    """
    return (
        *_compare_section("workspace", old.workspaces, new.workspaces),
        *_compare_section("service", old.services, new.services),
        *_compare_section("rule", old.rules, new.rules),
    )


def _compare_section(
    section: str, old: Sequence[Item], new: Sequence[Item]
) -> Iterator[Change]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    for name in before:
        if name not in after:
            yield Change(ChangeKind.REMOVED, section, name)
    for name, item in after.items():
        if name not in before:
            yield Change(ChangeKind.ADDED, section, name)
        elif before[name] != item:
            details = tuple(_compare_fields(before[name], item))
            yield Change(ChangeKind.CHANGED, section, name, details)
    yield from _first_moved(section, list(before), list(after))


def _compare_fields(
    old: Workspace | Service | Rule, new: Workspace | Service | Rule
) -> Iterator[str]:
    for item in fields(old):
        old_value = getattr(old, item.name)
        new_value = getattr(new, item.name)
        if old_value != new_value:
            yield f"{item.name} {old_value!r} -> {new_value!r}"


def _first_moved(
    section: str, before: Sequence[str], after: Sequence[str]
) -> Iterator[Change]:
    """Yield the first item that moved relative to the other common items."""
    old_order = [name for name in before if name in set(after)]
    new_order = [name for name in after if name in set(before)]
    for old_name, name in zip(old_order, new_order, strict=True):
        if old_name != name:
            yield Change(ChangeKind.MOVED, section, name, ("order changed",))
            return
