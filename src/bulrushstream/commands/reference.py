"""`bulrushstream reference`: reference pages generated from the code.

A setting's meaning is read from the trailing comment of its field, its
type and limits from the annotation, so the page always matches what a
daemon accepts.
"""

from __future__ import annotations

import ast
import inspect
import json
from collections.abc import Iterator, Mapping
from typing import Any, Final

from pydantic import TypeAdapter

from bulrushstream import messages
from bulrushstream.messages import Notice
from bulrushstream.settings import AgentSettings, RouterSettings

ROLES: Final = (("Router", RouterSettings), ("Agent", AgentSettings))
COLUMNS: Final = ("key", "type", "default", "meaning")
LIMIT_TEXTS: Final = (
    ("exclusiveMinimum", "> {}"),
    ("minimum", "≥ {}"),
    ("maximum", "≤ {}"),
    ("minLength", "at least {} character"),
    ("pattern", "like `{}`"),
)


def settings() -> None:
    """Print the settings of a router and of an agent as a page."""
    print(settings_page(), end="")


def errors() -> None:
    """Print every message's code and text as a page."""
    print(errors_page(), end="")


def settings_page() -> str:
    """Return the page of settings.

    :returns: Markdown, as printed by `bulrushstream reference settings`
    """
    lines = [
        "# Settings",
        "",
        "Made by `bulrushstream reference settings`; change the code, not "
        "this page.",
        "",
        "A settings file is JSON with comments. A daemon reads it once, "
        "when it starts, and reports every finding together. A key that "
        "has no default must be given.",
    ]
    for title, kind in ROLES:
        lines += [
            "",
            f"## {title}",
            "",
            *_table(COLUMNS, _settings_rows(kind)),
        ]
    return "\n".join(lines) + "\n"


def errors_page() -> str:
    """Return the tables of messages.

    :returns: Markdown, as printed by `bulrushstream reference errors`
    """
    lines = ["# Messages by code", ""]
    return "\n".join([*lines, *error_rows("B")]) + "\n"


def error_rows(prefix: str) -> list[str]:
    """Return the table of the messages whose codes have a prefix.

    :param prefix: the prefix of the codes
    :returns: the lines of the table
    """
    notices = [each for each in _notices() if each.code.startswith(prefix)]
    if any(notice.status for notice in notices):
        return _table(
            ("code", "status", "text"),
            ((each.code, str(each.status), each.text) for each in notices),
        )
    return _table(
        ("code", "text"), ((each.code, each.text) for each in notices)
    )


def _notices() -> list[Notice]:
    """Return every message, sorted by code."""
    notices = [
        each for each in vars(messages).values() if isinstance(each, Notice)
    ]
    return sorted(notices, key=lambda each: each.code)


def _table(columns: tuple[str, ...], rows: Any) -> list[str]:
    """Return the lines of a Markdown table."""
    ruler = tuple("---" for _ in columns)
    return [f"| {' | '.join(row)} |" for row in (columns, ruler, *rows)]


def _settings_rows(kind: type) -> Iterator[tuple[str, ...]]:
    """Yield one row per key of a settings file."""
    schema = TypeAdapter(kind).json_schema()
    yield from _dataclass_rows(kind, schema, schema.get("$defs", {}), "")


def _dataclass_rows(
    kind: type,
    schema: Mapping[str, Any],
    definitions: Mapping[str, Any],
    prefix: str,
) -> Iterator[tuple[str, ...]]:
    """Yield the rows of a dataclass and of its nested dataclasses."""
    meanings = field_comments(kind)
    for name, field in schema["properties"].items():
        key = f"{prefix}{name}"
        definition_name = _definition_name(field)
        definition = definitions.get(definition_name, field)
        if "properties" in definition:
            nested = vars(inspect.getmodule(kind))[definition_name]
            yield from _dataclass_rows(
                nested, definition, definitions, f"{key}."
            )
            continue
        default = json.dumps(field["default"]) if "default" in field else ""
        default = f"`{default}`" if default else "must be given"
        yield f"`{key}`", _type(definition), default, meanings.get(name, "")


def _definition_name(field: Mapping[str, Any]) -> str:
    """Return the name of the definition that a field refers to."""
    return str(field.get("$ref", "")).rpartition("/")[2]


def _type(field: Mapping[str, Any]) -> str:
    """Return a field's type and its limits as text."""
    if "enum" in field:
        return " or ".join(f'`"{value}"`' for value in field["enum"])
    limits = [
        text.format(field[key]) for key, text in LIMIT_TEXTS if key in field
    ]
    return ", ".join([str(field["type"]), *limits])


def field_comments(kind: type) -> dict[str, str]:
    """Return the trailing comments of a dataclass's fields.

    :param kind: the dataclass
    :returns: the comments by field name
    """
    source = inspect.getsource(kind)
    lines = source.splitlines()
    (body,) = ast.parse(source).body
    assert isinstance(body, ast.ClassDef)
    comments = {}
    for node in body.body:
        if not isinstance(node, ast.AnnAssign):
            continue
        assert isinstance(node.target, ast.Name)
        line = lines[(node.end_lineno or 0) - 1]
        _, mark, text = (
            line.encode()[node.end_col_offset :].decode().partition("#")
        )
        if mark:
            comments[node.target.id] = text.strip()
    return comments
