"""`bulrushstream reference`: pages that are made from the code.

What a field means stands in the comment behind it, its type and its limits
in its annotation, so the page is read from the source and can not differ
from what a daemon accepts.
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
BOUNDS: Final = (
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

    :returns: Markdown, made by `bulrushstream reference settings`
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
        lines += ["", f"## {title}", "", *_table(COLUMNS, _rows(kind))]
    return "\n".join(lines) + "\n"


def errors_page() -> str:
    """Return the tables of messages.

    :returns: Markdown, made by `bulrushstream reference errors`
    """
    lines = ["# Messages by code", ""]
    return "\n".join([*lines, *error_rows("B")]) + "\n"


def error_rows(prefix: str) -> list[str]:
    """Return the table of the messages whose codes begin alike.

    :param prefix: how the codes begin
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
    """Return every message by its code."""
    found = [
        each for each in vars(messages).values() if isinstance(each, Notice)
    ]
    return sorted(found, key=lambda each: each.code)


def _table(columns: tuple[str, ...], rows: Any) -> list[str]:
    """Return the lines of a table."""
    ruler = tuple("---" for _ in columns)
    return [f"| {' | '.join(row)} |" for row in (columns, ruler, *rows)]


def _rows(kind: type) -> Iterator[tuple[str, ...]]:
    """Yield a row for each key of a settings file."""
    schema = TypeAdapter(kind).json_schema()
    yield from _group(kind, schema, schema.get("$defs", {}), "")


def _group(
    kind: type, schema: Mapping[str, Any], parts: Mapping[str, Any], path: str
) -> Iterator[tuple[str, ...]]:
    """Yield the rows of a data class and of those within it."""
    meanings = comments(kind)
    for name, field in schema["properties"].items():
        place = f"{path}{name}"
        target = _target(field)
        part = parts.get(target, field)
        if "properties" in part:
            inner = vars(inspect.getmodule(kind))[target]
            yield from _group(inner, part, parts, f"{place}.")
            continue
        default = json.dumps(field["default"]) if "default" in field else ""
        default = f"`{default}`" if default else "must be given"
        yield f"`{place}`", _type(part), default, meanings.get(name, "")


def _target(field: Mapping[str, Any]) -> str:
    """Return the name of the definition that a field refers to."""
    return str(field.get("$ref", "")).rpartition("/")[2]


def _type(field: Mapping[str, Any]) -> str:
    """Return a field's type and its limits in words."""
    if "enum" in field:
        return " or ".join(f'`"{value}"`' for value in field["enum"])
    limits = [text.format(field[key]) for key, text in BOUNDS if key in field]
    return ", ".join([str(field["type"]), *limits])


def comments(kind: type) -> dict[str, str]:
    """Return the comments behind the fields of a data class.

    :param kind: the data class
    :returns: the comments by the fields' names
    """
    source = inspect.getsource(kind)
    lines = source.splitlines()
    (body,) = ast.parse(source).body
    assert isinstance(body, ast.ClassDef)
    found = {}
    for node in body.body:
        if not isinstance(node, ast.AnnAssign):
            continue
        assert isinstance(node.target, ast.Name)
        line = lines[(node.end_lineno or 0) - 1]
        _, mark, text = (
            line.encode()[node.end_col_offset :].decode().partition("#")
        )
        if mark:
            found[node.target.id] = text.strip()
    return found
