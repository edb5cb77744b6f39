"""Frames: the fleet's messages as Thrift structures in bytes.

``fleet.thrift`` names one structure for each message dataclass, with the
same field names, and a ``Frame`` of which exactly one field is set.  The
converters between the two are built once, from the dataclasses' own field
types.  A field that holds its default is left out of the frame.

Two of Thrift's protocols are used, and a frame says which.  Messages that
come with every piece of an answer take the binary one, which thriftpy2
implements in Cython.  The rest takes the compact one: it is pure Python
and takes some five times as long, but its frames are little more than half
as long, and control traffic is bounded in bytes.
"""

from __future__ import annotations

import dataclasses
import enum
import operator
import types
import typing
from collections.abc import Callable
from importlib import resources
from typing import Any, Final, cast

import thriftpy2
from expression import Error, Ok, Result
from thriftpy2.protocol import (
    TCompactProtocolFactory,
    TCyBinaryProtocolFactory,
)
from thriftpy2.utils import deserialize, serialize

from bulrushstream.state import message
from bulrushstream.state.message import Message

Converter = Callable[[Any], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class BadFrame:
    """Bytes that are no frame of the fleet."""

    why: str  # What is wrong with them.


def _load_schema() -> types.ModuleType:
    """Load the Thrift schema that is packaged beside this module."""
    source = resources.files(__package__) / "fleet.thrift"
    with resources.as_file(source) as path:
        loaded = thriftpy2.load(str(path), module_name="fleet_thrift")
    return loaded


_SCHEMA: Final = _load_schema()
_BINARY: Final = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]
_COMPACT: Final = TCompactProtocolFactory()  # type: ignore[no-untyped-call]
_FACTORIES: Final[dict[bytes, Any]] = {b"B": _BINARY, b"C": _COMPACT}
_FAST_KINDS: Final = (message.Ack, message.Dispatch, message.Part)

# A field whose name is a word of the schema language goes by another one.
_WIRE_NAMES: Final = {"service": "service_name"}


def _identity(value: Any) -> Any:
    return value


def _headers_to_wire(value: Any) -> Any:
    """Turn header pairs into Thrift structures."""
    return [_SCHEMA.Header(name, text) for name, text in value]


def _headers_from_wire(value: Any) -> Any:
    """Turn Thrift structures into header pairs."""
    return tuple((item.name, item.value) for item in value)


def _pair_for(annotation: Any) -> tuple[Converter, Converter]:
    """Return the converters to and from the wire for one field type."""
    origin = typing.get_origin(annotation)
    if annotation == tuple[tuple[str, str], ...]:
        return _headers_to_wire, _headers_from_wire
    if origin is tuple:
        to_item, from_item = _pair_for(typing.get_args(annotation)[0])
        return (
            lambda value: [to_item(item) for item in value],
            lambda value: tuple(from_item(item) for item in value),
        )
    if dataclasses.is_dataclass(annotation):
        return _struct_pair(cast(type[Any], annotation))
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return (lambda value: value.value), annotation
    if annotation is bytes:
        return _identity, bytes
    return _identity, _identity


def _wire_name(name: str) -> str:
    """Return the schema's name for a field."""
    return _WIRE_NAMES.get(name, name)


def _struct_pair(kind: type[Any]) -> tuple[Converter, Converter]:
    """Return the converters for one message or entry dataclass."""
    struct = getattr(_SCHEMA, kind.__name__)
    hints = typing.get_type_hints(kind)
    plan = [
        (
            _wire_name(field.name),
            field.name,
            field.default,
            *_pair_for(hints[field.name]),
        )
        for field in dataclasses.fields(kind)
    ]

    def to_wire(value: Any) -> Any:
        item = struct()
        for wire, name, default, to_field, _ in plan:
            held = getattr(value, name)
            if held != default:
                setattr(item, wire, to_field(held))
        return item

    if not plan:
        return (lambda _: struct()), (lambda _: kind())
    read_all = operator.attrgetter(*(wire for wire, *_ in plan))
    # Most fields are taken as they are; only these need a look.
    converted = [
        (place, from_field)
        for place, (*_, from_field) in enumerate(plan)
        if from_field is not _identity
    ]

    def fill_in(held: list[Any]) -> None:
        for place, (_, name, default, _, _) in enumerate(plan):
            if held[place] is not None:
                continue
            if default is dataclasses.MISSING:
                raise ValueError(f"{kind.__name__} lacks {name}")
            held[place] = default

    def from_wire(item: Any) -> Any:
        found = read_all(item)
        held = list(found) if len(plan) > 1 else [found]
        for place, from_field in converted:
            if held[place] is not None:
                held[place] = from_field(held[place])
        if None in held:
            fill_in(held)
        return kind(*held)

    return to_wire, from_wire


def _field_name(kind: type[Any]) -> str:
    """Return the name of the frame's field for a message class."""
    name = kind.__name__
    parts = ["_" + c.lower() if c.isupper() else c for c in name]
    return "".join(parts).removeprefix("_")


_KINDS: Final = typing.get_args(message.Message)
_PAIRS: Final = {kind: _struct_pair(kind) for kind in _KINDS}
_TO_WIRE: Final = {
    kind: (_field_name(kind), pair[0]) for kind, pair in _PAIRS.items()
}
_FROM_WIRE: Final = {
    _field_name(kind): pair[1] for kind, pair in _PAIRS.items()
}


def encode(value: Message) -> bytes:
    """Return a message as the bytes of one frame.

    :param value: any message of the fleet
    :returns: the frame, without the length that the link puts before it
    """
    name, to_wire = _TO_WIRE[type(value)]
    frame = _SCHEMA.Frame()
    setattr(frame, name, to_wire(value))
    if isinstance(value, _FAST_KINDS):
        return b"B" + serialize(frame, _BINARY)
    return b"C" + serialize(frame, _COMPACT)


def decode(data: bytes) -> Result[Message, BadFrame]:
    """Return the message that a frame holds.

    The bytes must come from `encode`: the Thrift reader may read past the
    end of others, so `bulrushstream.protocol.frame` checks a seal first.

    :param data: the bytes of one frame, as `encode` made them
    :returns: the message, or what is wrong with the bytes
    """
    # The Thrift reader raises many kinds of errors on foreign bytes, and
    # each of them means the same here: this is no frame of the fleet.
    try:
        factory = _FACTORIES[data[:1]]
        frame = deserialize(_SCHEMA.Frame(), data[1:], factory)
        held = [
            (name, item)
            for name, item in frame.__dict__.items()
            if item is not None
        ]
        if len(held) != 1:
            return Error(BadFrame(f"{len(held)} messages in one frame"))
        name, item = held[0]
        return Ok(cast(Message, _FROM_WIRE[name](item)))
    except Exception as error:
        return Error(BadFrame(f"{type(error).__name__}: {error}"))
