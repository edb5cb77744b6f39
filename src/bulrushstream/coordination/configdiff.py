"""The difference between two configurations, for operators to read."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, fields
from enum import StrEnum

from bulrushstream.coordination.configdelta import Item
from bulrushstream.state.config import FleetConfig, Rule, Service, Workspace


class ChangeKind(StrEnum):
    """What happened to an item, as the sign before its line."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"
    MOVED = "="


@dataclass(frozen=True, slots=True)
class Change:
    """One difference."""

    kind: ChangeKind  # What happened.
    part: str  # workspace, service or rule.
    name: str  # The item's name.
    details: tuple[str, ...] = ()  # The fields that changed.

    def __str__(self) -> str:
        """Return the change as one line."""
        line = f"{self.kind} {self.part} {self.name}"
        if self.details:
            line += ": " + ", ".join(self.details)
        return line


def compare(old: FleetConfig, new: FleetConfig) -> tuple[Change, ...]:
    """Return the differences from one configuration to another.

    :param old: The one before.
    :param new: The one after.
    :returns: The differences; empty if they are the same.
    """
    return (
        *_compare_part("workspace", old.workspaces, new.workspaces),
        *_compare_part("service", old.services, new.services),
        *_compare_part("rule", old.rules, new.rules),
    )


def _compare_part(
    part: str, old: Sequence[Item], new: Sequence[Item]
) -> Iterator[Change]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    for name in before:
        if name not in after:
            yield Change(ChangeKind.REMOVED, part, name)
    for name, item in after.items():
        if name not in before:
            yield Change(ChangeKind.ADDED, part, name)
        elif before[name] != item:
            details = tuple(_compare_fields(before[name], item))
            yield Change(ChangeKind.CHANGED, part, name, details)
    yield from _moved(part, list(before), list(after))


def _compare_fields(
    old: Workspace | Service | Rule, new: Workspace | Service | Rule
) -> Iterator[str]:
    for item in fields(old):
        was = getattr(old, item.name)
        now = getattr(new, item.name)
        if was != now:
            yield f"{item.name} {was!r} -> {now!r}"


def _moved(
    part: str, before: Sequence[str], after: Sequence[str]
) -> Iterator[Change]:
    """Yield the first item whose place among those that stay changed."""
    stayed = [name for name in before if name in set(after)]
    now = [name for name in after if name in set(before)]
    for was, name in zip(stayed, now, strict=True):
        if was != name:
            yield Change(ChangeKind.MOVED, part, name, ("order changed",))
            return
