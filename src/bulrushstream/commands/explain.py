"""`bulrushstream explain`: a request's way through the fleet, from logs."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec

from bulrushstream.logs import DECISION_EVENT

NOT_FOUND_EXIT: Final = 1
UNREADABLE_EXIT: Final = 2

# Decisions that bear on every request of an instance.
_SURROUNDINGS: Final = frozenset(
    ("config", "dependency_lost", "dependency_back", "start", "stop", "reload")
)

# How long before a request's first line these still explain it.
_BEFORE_S: Final = 10.0

_SKIPPED: Final = frozenset(
    ("time_s", "level", "instance", "event", "kind", "reason", "inputs")
)


def explain(request_id: str, *files: str) -> int:
    """Print what the fleet decided about a request, in order.

    :param request_id: the id that the caller sent
    :param files: the logs of some or all instances; none: standard input
    :returns: the exit code
    """
    try:
        lines = list(_read(files))
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return UNREADABLE_EXIT
    found = trace(request_id, lines)
    for line in found:
        print(line)
    if not found:
        print(f"no decision about {request_id}", file=sys.stderr)
        return NOT_FOUND_EXIT
    return 0


def trace(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the decisions about a request as text, in order.

    :param request_id: the request's id
    :param lines: lines of logs, in any order
    """
    decisions = [each for each in map(_decode, lines) if each is not None]
    decisions.sort(key=lambda each: float(each["time_s"]))
    own = [each for each in decisions if each.get("request_id") == request_id]
    if not own:
        return []
    instances = {each.get("instance") for each in own}
    first_s, last_s = own[0]["time_s"], own[-1]["time_s"]
    around = [
        each
        for each in decisions
        if each.get("kind") in _SURROUNDINGS
        and each.get("instance") in instances
        and first_s - _BEFORE_S <= each["time_s"] <= last_s
    ]
    shown = sorted(own + around, key=lambda each: float(each["time_s"]))
    return [_text(each, first_s) for each in shown]


def _read(files: Iterable[str]) -> Iterator[str]:
    """Yield the lines of files, or of standard input."""
    if not files:
        yield from sys.stdin
    for name in files:
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            yield from file


def _decode(line: str) -> dict[str, Any] | None:
    """Return a decision; None if the line holds none."""
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        found = msgspec.json.decode(line[begin:])
    except msgspec.DecodeError:
        return None
    if not isinstance(found, dict) or found.get("event") != DECISION_EVENT:
        return None
    return found if isinstance(found.get("time_s"), float | int) else None


def _text(decision: dict[str, Any], first_s: float) -> str:
    """Return one decision as a line."""
    after_s = decision["time_s"] - first_s
    head = f"{after_s:+9.4f} s  {decision.get('instance', '?')}"
    text = f"{head}  {decision.get('kind')}: {decision.get('reason')}"
    values = {
        name: value
        for name, value in decision.items()
        if name not in _SKIPPED and value not in ("", 0.0)
    }
    values |= decision.get("inputs", {})
    details = " ".join(f"{name}={value}" for name, value in values.items())
    return f"{text}  [{details}]" if details else text
