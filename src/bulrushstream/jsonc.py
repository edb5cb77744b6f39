"""JSON with comments, with the place of every value.

A *path* is the tuple of keys and indexes that leads from the outermost
value to one inside it.  Findings about a value are reported at the place
where the value stands; an unknown key is reported where the key stands.
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

_PLACE_IN_ERROR: Final = re.compile(r"line (\d+) column (\d+)")


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where something stands in a text."""

    line: int  # From 1.
    column: int  # From 1.


START: Final = Place(1, 1)


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed text."""

    source: str  # The file that it was read from.
    data: Json  # Plain dicts, lists, strings, numbers, booleans, None.
    values: dict[Path, Place]  # Where each value stands.
    keys: dict[Path, Place]  # Where the key of each member stands.

    def place_of(self, path: Path) -> Place:
        """Return where a value stands, or the nearest one around it."""
        for length in range(len(path), -1, -1):
            place = self.values.get(path[:length])
            if place is not None:
                return place
        return START

    def place_of_key(self, path: Path) -> Place:
        """Return where a member's key stands."""
        return self.keys.get(path) or self.place_of(path)

    def finding(
        self, path: Path, notice: messages.Notice, **values: object
    ) -> Finding:
        """Return a finding about the value at a path.

        :param path: Which value.
        :param notice: What is wrong with it.
        :param values: What the notice's text is filled in with.
        :returns: The finding with its place.
        """
        return self.finding_at(self.place_of(path), path, notice, **values)

    def finding_at(
        self,
        place: Place,
        path: Path,
        notice: messages.Notice,
        **values: object,
    ) -> Finding:
        """Return a finding about a path that is reported at a place."""
        return Finding(
            self.source,
            place.line,
            place.column,
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
    reader = _Reader(document, [])
    data = reader.read(root.value, ())
    if reader.findings:
        return Error(tuple(sorted(reader.findings)))
    return Ok(Document(source, data, document.values, document.keys))


@dataclass(frozen=True, slots=True)
class _Reader:
    """The state of one walk over a syntax tree."""

    document: Document  # Its places are filled in.
    findings: list[Finding]  # What the walk found.

    def read(self, node: Node, path: Path) -> Json:
        """Return a node as plain data and note where it stands."""
        self.document.values[path] = _place(node)
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
                        _place(pair.key),
                        member,
                        messages.DUPLICATE_NAME,
                        name=key,
                    )
                )
            self.document.keys[member] = _place(pair.key)
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


def _place(node: Node) -> Place:
    return Place(node.lineno or 1, (node.col_offset or 0) + 1)


def _syntax_finding(
    error: JSON5DecodeError, text: str, source: str
) -> Finding:
    """Return a syntax error as a finding; only the first one is sure."""
    first = " ".join(str(error).split("Additionally")[0].split())
    match = _PLACE_IN_ERROR.search(first)
    if match:
        place = Place(int(match[1]), int(match[2]))
    else:
        place = Place(text.count("\n") + 1, 1)
    why = first.replace(
        "There were multiple errors parsing the JSON5 document. "
        "The primary error was: ",
        "",
    )
    return Finding(
        source,
        place.line,
        place.column,
        messages.NOT_JSON.code,
        messages.NOT_JSON.format(why=why),
    )
