"""Parse JSON with comments and keep the position of every value.

A *path* is the tuple of keys and indexes from the root value to a nested
one.  Findings about a value are reported at the position of the value, those
about an unknown key at the position of the key.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

from expression import Error, Ok, Result
from json5 import JSON5DecodeError
from json5.loader import ModelLoader, loads
from json5.model import (
    BooleanLiteral,
    Identifier,
    JSONArray,
    JSONObject,
    Node,
    NullLiteral,
    String,
    UnaryOp,
)

from bulrushstream import messages
from bulrushstream.state.finding import Finding

Path: TypeAlias = tuple[str | int, ...]
Json: TypeAlias = Any

_POSITION_IN_ERROR: Final = re.compile(r"line (\d+) column (\d+)")


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in a text."""

    line: int  # From 1.
    column: int  # From 1.


START: Final = Position(1, 1)


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed text."""

    source: str  # The file's name.
    data: Json  # Plain dicts, lists, strings, numbers, booleans, None.
    values: dict[Path, Position]  # The position of each value.
    keys: dict[Path, Position]  # The position of each member's key.

    def position_of(self, path: Path) -> Position:
        """Return the position of a value, or of the nearest enclosing one."""
        for length in range(len(path), -1, -1):
            position = self.values.get(path[:length])
            if position is not None:
                return position
        return START

    def position_of_key(self, path: Path) -> Position:
        """Return the position of a member's key."""
        return self.keys.get(path) or self.position_of(path)

    def finding(
        self, path: Path, notice: messages.Notice, **values: object
    ) -> Finding:
        """Return a finding about the value at a path.

        :param path: The path of the value.
        :param notice: The message template.
        :param values: The values for the template.
        :returns: The finding with its position.
        """
        return self.finding_at(self.position_of(path), path, notice, **values)

    def finding_at(
        self,
        position: Position,
        path: Path,
        notice: messages.Notice,
        **values: object,
    ) -> Finding:
        """Return a finding about a path that is reported at a position."""
        return Finding(
            self.source,
            position.line,
            position.column,
            notice.code,
            notice.format(**values),
            format_path(path),
        )


def format_path(path: Path) -> str:
    """Return a path as text, such as ``rules[2].when``."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        elif text:
            text += f".{step}"
        else:
            text = step
    return text


def parse(text: str, source: str) -> Result[Document, tuple[Finding, ...]]:
    """Parse JSON with comments.

    :param text: The text.
    :param source: The file's name, for findings.
    :returns: The document, or every finding, sorted.
    """
    try:
        root = loads(text, loader=ModelLoader())
    except JSON5DecodeError as error:
        return Error((_syntax_finding(error, text, source),))
    document = Document(source, None, {}, {})
    reader = _TreeReader(document, [])
    data = reader.read(root.value, ())
    if reader.findings:
        return Error(tuple(sorted(reader.findings)))
    return Ok(Document(source, data, document.values, document.keys))


@dataclass(frozen=True, slots=True)
class _TreeReader:
    """Converts a syntax tree to plain data."""

    document: Document  # Positions are added to it.
    findings: list[Finding]  # Findings are added to it.

    def read(self, node: Node, path: Path) -> Json:
        """Convert a node to plain data and record its position."""
        self.document.values[path] = _node_position(node)
        if isinstance(node, JSONObject):
            return self._read_object(node, path)
        if isinstance(node, JSONArray):
            items = enumerate(node.values)
            return [self.read(item, (*path, i)) for i, item in items]
        if isinstance(node, String):
            return node.characters
        if isinstance(node, NullLiteral):
            return None
        if isinstance(node, BooleanLiteral):
            return node.value
        return self._read_number(node, path)

    def _read_object(self, node: JSONObject, path: Path) -> Json:
        data: dict[str, Json] = {}
        for pair in node.key_value_pairs:
            key = _key(pair.key)
            member = (*path, key)
            if key in data:
                self.findings.append(
                    self.document.finding_at(
                        _node_position(pair.key),
                        member,
                        messages.DUPLICATE_NAME,
                        name=key,
                    )
                )
            self.document.keys[member] = _node_position(pair.key)
            data[key] = self.read(pair.value, member)
        return data

    def _read_number(self, node: Node, path: Path) -> Json:
        sign = 1
        if isinstance(node, UnaryOp):
            sign = -1 if node.op == "-" else 1
            node = node.value
        number = getattr(node, "value", None)
        if isinstance(number, int | float) and abs(number) < float("inf"):
            return sign * number
        self.findings.append(
            self.document.finding(
                path, messages.NOT_JSON, why="not a finite number."
            )
        )
        return None


def _key(node: Node) -> str:
    if isinstance(node, Identifier):
        return str(node.name)
    return str(getattr(node, "characters", ""))


def _node_position(node: Node) -> Position:
    return Position(node.lineno or 1, (node.col_offset or 0) + 1)


def _syntax_finding(
    error: JSON5DecodeError, text: str, source: str
) -> Finding:
    """Convert a syntax error to a finding.

    Only the parser's first error is used: later ones may result from it.
    """
    first = " ".join(str(error).split("Additionally")[0].split())
    match = _POSITION_IN_ERROR.search(first)
    if match:
        position = Position(int(match[1]), int(match[2]))
    else:
        position = Position(text.count("\n") + 1, 1)
    reason = first.replace(
        "There were multiple errors parsing the JSON5 document. "
        "The primary error was: ",
        "",
    )
    return Finding(
        source,
        position.line,
        position.column,
        messages.NOT_JSON.code,
        messages.NOT_JSON.format(why=reason),
    )
