"""Parse a text into frozen dataclasses and report all findings.

Unknown keys, values of a wrong type and values out of range are reported
together, sorted by position.  If there are none, a check of the whole value
may report further problems.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from pathlib import Path as FilePath
from typing import Any, Final, TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, ValidationError, create_model
from pydantic_core import ErrorDetails

from bulrushstream import messages
from bulrushstream.coordination.rulecheck import Problem
from bulrushstream.jsonc import Document, parse
from bulrushstream.state.finding import Finding

T = TypeVar("T")

_UNKNOWN_KEY_TYPES: Final = ("extra_forbidden", "unexpected_keyword_argument")
_RANGE_TYPES: Final = (
    "greater_than",
    "greater_than_equal",
    "less_than",
    "less_than_equal",
    "multiple_of",
    "string_too_short",
    "string_too_long",
    "string_pattern_mismatch",
    "too_short",
    "too_long",
    "value_error",
)


def read(
    text: str,
    source: str,
    kind: type[T],
    check: Callable[[T], Iterable[Problem]] | None = None,
) -> Result[T, tuple[Finding, ...]]:
    """Parse JSON with comments into a frozen dataclass.

    :param text: The text.
    :param source: The file's name, for findings.
    :param kind: The dataclass.
    :param check: Yields the problems of a value; None: no check.
    :returns: The value, or every finding, sorted by position.
    """
    parsed = parse(text, source)
    if parsed.is_error():
        return Error(parsed.error)
    document = parsed.ok
    try:
        root = _model(kind).model_validate_json(
            json.dumps({"value": document.data}), strict=True
        )
    except ValidationError as error:
        details = error.errors(include_url=False)
        return Error(_sorted(_type_finding(document, d) for d in details))
    value: T = getattr(root, "value")  # noqa: B009
    problems = check(value) if check else ()
    findings = _sorted(_problem_finding(document, p) for p in problems)
    return Error(findings) if findings else Ok(value)


def read_file(
    path: str,
    kind: type[T],
    check: Callable[[T], Iterable[Problem]] | None = None,
) -> Result[T, tuple[Finding, ...]]:
    """Read a file of JSON with comments into a frozen dataclass.

    :param path: The file's name.
    :param kind: The dataclass.
    :param check: Yields the problems of a value; None: no check.
    :returns: The value, or every finding, sorted by position.
    """
    loaded = load_text(path)
    if loaded.is_error():
        return Error(loaded.error)
    return read(loaded.ok, path, kind, check)


def load_text(path: str) -> Result[str, tuple[Finding, ...]]:
    """Return a file's text, or a finding if it can not be read."""
    try:
        return Ok(FilePath(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        why = getattr(error, "strerror", None) or str(error)
        text = messages.UNREADABLE.format(why=why)
        return Error((Finding(path, 0, 0, messages.UNREADABLE.code, text),))


def _model(kind: type[Any]) -> type[BaseModel]:
    """Return a model whose options also apply to nested dataclasses."""
    config = ConfigDict(extra="forbid", strict=True)
    return create_model("Root", __config__=config, value=(kind, ...))


def _sorted(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    return tuple(sorted(findings))


def _problem_finding(document: Document, problem: Problem) -> Finding:
    notice = messages.Notice(problem.code, "{text}")
    return document.finding(problem.path, notice, text=problem.text)


def _type_finding(document: Document, details: ErrorDetails) -> Finding:
    """Convert an error of pydantic to a finding with its position."""
    path = tuple(details["loc"])[1:]
    error_type = details["type"]
    if error_type in _UNKNOWN_KEY_TYPES:
        position = document.position_of_key(path)
        notice = messages.UNKNOWN_KEY
        return document.finding_at(position, path, notice, key=path[-1])
    if error_type in ("missing", "missing_argument"):
        return document.finding(path, messages.MISSING_KEY, key=path[-1])
    notice = messages.WRONG_TYPE
    if error_type in _RANGE_TYPES:
        notice = messages.OUT_OF_RANGE
    return document.finding(path, notice, why=f"{details['msg']}.")
