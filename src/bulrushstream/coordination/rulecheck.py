"""Checks of a configuration's values beyond their types.

The same checks run when an operator checks a file and when a process
applies a record of the log, so all processes agree on whether a record is
valid.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final, TypeAlias

from bulrushstream import messages
from bulrushstream.messages import Notice
from bulrushstream.state.config import (
    Condition,
    FleetConfig,
    Rule,
    Service,
    ServiceKind,
    Workspace,
)

Path: TypeAlias = tuple[str | int, ...]

SHA256_HEX_CHARS: Final = 64
MAX_NAME_CHARS: Final = 200
_HEX_DIGITS: Final = frozenset("0123456789abcdef")


@dataclass(frozen=True, slots=True)
class Problem:
    """An error in a configuration."""

    path: Path  # Leads to the wrong value.
    code: str  # Of the notice.
    text: str  # One sentence.


def problem(path: Path, notice: Notice, **values: object) -> Problem:
    """Return a problem with a notice's code and filled-in text."""
    return Problem(path, notice.code, notice.format(**values))


def check_config(config: FleetConfig) -> Iterator[Problem]:
    """Yield all problems of a configuration.

    :param config: The configuration.
    :returns: The problems, in no particular order.
    """
    yield from _check_names("workspaces", config.workspaces)
    yield from _check_names("services", config.services)
    yield from _check_names("rules", config.rules)
    yield from _check_tokens(config.workspaces)
    for index, workspace in enumerate(config.workspaces):
        yield from _check_workspace(("workspaces", index), workspace)
    for index, service in enumerate(config.services):
        yield from _check_service(("services", index), service)
    known_names = _KnownNames.collect(config)
    for index, rule in enumerate(config.rules):
        yield from _check_rule(("rules", index), rule, known_names)
    yield from _check_reachable(config.rules)


@dataclass(frozen=True, slots=True)
class _KnownNames:
    """The names that rules can refer to."""

    workspaces: frozenset[str]
    services: dict[str, Service]
    models: frozenset[str]

    @classmethod
    def collect(cls, config: FleetConfig) -> _KnownNames:
        """Return the names that a configuration defines."""
        models = (m for s in config.services for m in s.models)
        return cls(
            frozenset(w.name for w in config.workspaces),
            {s.name: s for s in config.services},
            frozenset(models),
        )


def _check_names(
    section: str, items: Iterable[Workspace | Service | Rule]
) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, item in enumerate(items):
        path = (section, index, "name")
        if not 0 < len(item.name) <= MAX_NAME_CHARS:
            why = f"A name has 1 to {MAX_NAME_CHARS} characters."
            yield problem(path, messages.BAD_VALUE, why=why)
        if item.name in seen:
            yield problem(path, messages.DUPLICATE_NAME, name=item.name)
        seen.add(item.name)


def _check_tokens(workspaces: Iterable[Workspace]) -> Iterator[Problem]:
    """Yield malformed token digests and digests that are used twice."""
    seen: set[str] = set()
    for index, workspace in enumerate(workspaces):
        for position, digest in enumerate(workspace.token_sha256):
            path = ("workspaces", index, "token_sha256", position)
            if len(digest) != SHA256_HEX_CHARS or set(digest) - _HEX_DIGITS:
                yield problem(path, messages.BAD_TOKEN_DIGEST)
            if digest in seen:
                yield problem(path, messages.DUPLICATE_NAME, name=digest)
            seen.add(digest)


def _check_workspace(path: Path, workspace: Workspace) -> Iterator[Problem]:
    if not (workspace.weight > 0 and math.isfinite(workspace.weight)):
        why = "A weight must be greater than 0."
        yield problem((*path, "weight"), messages.BAD_VALUE, why=why)


def _check_service(path: Path, service: Service) -> Iterator[Problem]:
    yield from _check_at_least(path, "slots", service.slots, 1)
    yield from _check_at_least(path, "max_slots", service.max_slots, 0)
    yield from _check_at_least(path, "queue_limit", service.queue_limit, 1)
    yield from _check_positive(path, "deadline_s", service.deadline_s)
    if 0 < service.max_slots < service.slots:
        why = "max_slots must not be less than slots."
        yield problem((*path, "max_slots"), messages.BAD_VALUE, why=why)
    is_plain = service.kind is ServiceKind.PLAIN
    if is_plain and (service.models or service.placement is not None):
        why = "A plain service has neither models nor a placement."
        yield problem(path, messages.BAD_VALUE, why=why)


def _check_rule(
    path: Path, rule: Rule, known: _KnownNames
) -> Iterator[Problem]:
    when = (*path, "when")
    yield from _check_references(
        (*when, "workspaces"),
        "workspace",
        rule.when.workspaces,
        known.workspaces,
    )
    yield from _check_references(
        (*when, "services"), "service", rule.when.services, known.services
    )
    yield from _check_references(
        (*when, "models"), "model", rule.when.models, known.models
    )
    yield from _check_condition(when, rule.when)
    yield from _check_treatment((*path, "then"), rule, known)


def _check_references(
    path: Path, kind: str, names: Iterable[str], known: Iterable[str]
) -> Iterator[Problem]:
    for index, name in enumerate(names):
        if name not in known:
            yield problem(
                (*path, index), messages.UNKNOWN_NAME, kind=kind, name=name
            )


def _check_condition(path: Path, when: Condition) -> Iterator[Problem]:
    for index, method in enumerate(when.methods):
        if not method.isalpha() or method != method.upper():
            why = "A method is written in capitals."
            yield problem(
                (*path, "methods", index), messages.BAD_VALUE, why=why
            )
    pattern = when.path_pattern
    if pattern and pattern[0] not in "/*":
        yield problem(
            (*path, "path_pattern"),
            messages.BAD_PATTERN,
            pattern=pattern,
            why="it must begin with / or *.",
        )
    yield from _check_glob((*path, "path_pattern"), pattern)
    for index, (name, value) in enumerate(when.headers):
        if not name:
            why = "A header needs a name."
            yield problem(
                (*path, "headers", index), messages.BAD_VALUE, why=why
            )
        yield from _check_glob((*path, "headers", index), value)
    yield from _check_at_least(path, "min_body_bytes", when.min_body_bytes, 0)
    max_body_bytes = when.max_body_bytes
    if max_body_bytes is not None and max_body_bytes < when.min_body_bytes:
        why = "max_body_bytes must not be less than min_body_bytes."
        yield problem((*path, "max_body_bytes"), messages.BAD_VALUE, why=why)


def _check_glob(path: Path, pattern: str) -> Iterator[Problem]:
    """Yield an unclosed bracket, which would match itself literally."""
    opened = pattern.find("[")
    if opened >= 0 and pattern.find("]", opened + 2) < 0:
        yield problem(
            path,
            messages.BAD_PATTERN,
            pattern=pattern,
            why="a bracket is not closed.",
        )


def _check_treatment(
    path: Path, rule: Rule, known: _KnownNames
) -> Iterator[Problem]:
    then = rule.then
    if then.service and then.service not in known.services:
        yield problem(
            (*path, "service"),
            messages.UNKNOWN_NAME,
            kind="service",
            name=then.service,
        )
    if not (then.service or then.refuse or _names_service(rule.when)):
        yield problem(path, messages.NO_SERVICE)
    if then.deadline_s is not None:
        yield from _check_positive(path, "deadline_s", then.deadline_s)
    if then.queue_limit is not None:
        yield from _check_at_least(path, "queue_limit", then.queue_limit, 1)
    yield from _check_at_least(path, "cost_hint", then.cost_hint, 0)
    yield from _check_at_least(path, "retry_limit", then.retry_limit, 0)


def _names_service(when: Condition) -> bool:
    return bool(when.services or when.models)


def _check_at_least(
    path: Path, name: str, value: float, least: int
) -> Iterator[Problem]:
    if not (value >= least and math.isfinite(value)):
        why = f"{name} must be at least {least}."
        yield problem((*path, name), messages.BAD_VALUE, why=why)


def _check_positive(path: Path, name: str, value: float) -> Iterator[Problem]:
    if not (value > 0 and math.isfinite(value)):
        why = f"{name} must be greater than 0."
        yield problem((*path, name), messages.BAD_VALUE, why=why)


def _check_reachable(rules: tuple[Rule, ...]) -> Iterator[Problem]:
    """Yield each rule whose requests all match an earlier rule."""
    for index, rule in enumerate(rules):
        for earlier in rules[:index]:
            if covers(earlier.when, rule.when):
                yield problem(
                    ("rules", index),
                    messages.UNREACHABLE_RULE,
                    earlier=earlier.name,
                )
                break


def covers(wide: Condition, narrow: Condition) -> bool:
    """Return whether a condition matches all requests that another does.

    :param wide: The condition that may cover the other.
    :param narrow: The condition that may be covered.
    :returns: Whether it certainly does; False if comparing the conditions'
        fields does not show it, as with overlapping path patterns.
    """
    return (
        _covers_names(wide.workspaces, narrow.workspaces)
        and _covers_names(wide.services, narrow.services)
        and _covers_names(wide.methods, narrow.methods)
        and _covers_names(wide.models, narrow.models)
        and wide.path_pattern in ("", "*", narrow.path_pattern)
        and set(wide.headers) <= set(narrow.headers)
        and wide.stream in (None, narrow.stream)
        and wide.min_body_bytes <= narrow.min_body_bytes
        and _max_body_bytes(wide) >= _max_body_bytes(narrow)
    )


def _covers_names(wide: tuple[str, ...], narrow: tuple[str, ...]) -> bool:
    return not wide or (bool(narrow) and set(narrow) <= set(wide))


def _max_body_bytes(when: Condition) -> float:
    if when.max_body_bytes is None:
        return math.inf
    return when.max_body_bytes
