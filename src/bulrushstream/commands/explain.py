"""`bulrushstream explain`: trace a request through the fleet's logs."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec

from bulrushstream.logs import DECISION_EVENT

NOT_FOUND_EXIT: Final = 1
UNREADABLE_EXIT: Final = 2

# Decisions that affect every request of an instance.
_INSTANCE_WIDE_KINDS: Final = frozenset(
    ("config", "dependency_lost", "dependency_back", "start", "stop", "reload")
)

# Instance-wide decisions are shown if they are at most this much older
# than the request's first decision.
_CONTEXT_S: Final = 10.0

_HIDDEN_FIELDS: Final = frozenset(
    ("time_s", "level", "instance", "event", "kind", "reason", "inputs")
)


def explain(request_id: str, *files: str) -> int:
    """Print the fleet's decisions about a request, ordered by time.

    :param request_id: the id that the caller sent
    :param files: log files of instances; none: standard input
    :returns: the exit code
    """
    try:
        lines = list(_read_lines(files))
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return UNREADABLE_EXIT
    decisions = trace(request_id, lines)
    for line in decisions:
        print(line)
    if not decisions:
        print(f"no decision about {request_id}", file=sys.stderr)
        return NOT_FOUND_EXIT
    return 0


def trace(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the decisions about a request as text, ordered by time.

    :param request_id: the request's id
    :param lines: log lines, in any order
    """
    decisions = [each for each in map(_decode, lines) if each is not None]
    decisions.sort(key=lambda each: float(each["time_s"]))
    of_request = [
        each for each in decisions if each.get("request_id") == request_id
    ]
    if not of_request:
        return []
    instances = {each.get("instance") for each in of_request}
    first_s, last_s = of_request[0]["time_s"], of_request[-1]["time_s"]
    context = [
        each
        for each in decisions
        if each.get("kind") in _INSTANCE_WIDE_KINDS
        and each.get("instance") in instances
        and first_s - _CONTEXT_S <= each["time_s"] <= last_s
    ]
    shown = sorted(
        of_request + context, key=lambda each: float(each["time_s"])
    )
    return [_format_decision(each, first_s) for each in shown]


def _read_lines(files: Iterable[str]) -> Iterator[str]:
    """Yield the lines of files, or of standard input."""
    if not files:
        yield from sys.stdin
    for name in files:
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            yield from file


def _decode(line: str) -> dict[str, Any] | None:
    """Return the decision in a log line, or None."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        entry = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(entry, dict) or entry.get("event") != DECISION_EVENT:
        return None
    return entry if isinstance(entry.get("time_s"), float | int) else None


def _format_decision(decision: dict[str, Any], first_s: float) -> str:
    """Return one decision as a line of text."""
    after_s = decision["time_s"] - first_s
    prefix = f"{after_s:+9.4f} s  {decision.get('instance', '?')}"
    text = f"{prefix}  {decision.get('kind')}: {decision.get('reason')}"
    values = {
        name: value
        for name, value in decision.items()
        if name not in _HIDDEN_FIELDS and value not in ("", 0.0)
    }
    values |= decision.get("inputs", {})
    details = " ".join(f"{name}={value}" for name, value in values.items())
    return f"{text}  [{details}]" if details else text
