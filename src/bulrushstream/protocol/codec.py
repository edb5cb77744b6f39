"""Encode the fleet's messages as Thrift structures.

``fleet.thrift`` defines one structure for each message dataclass, with the
same field names, and a ``Frame`` of which exactly one field is set.  The
converters between dataclasses and structures are built at import from the
types of the dataclass fields.  A field with its default value is omitted
from the frame.

The first byte of a frame names one of two Thrift protocols.  Messages that
are sent for every part of an answer use the binary protocol, which thriftpy2
implements in Cython.  All others use the compact protocol: it is pure Python
and about five times as slow, but its frames are little more than half as
long, and control traffic is limited in bytes.
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
    """The reason why bytes could not be decoded as a frame."""

    reason: str


def _load_schema() -> types.ModuleType:
    """Load the Thrift schema that is packaged beside this module."""
    source = resources.files(__package__) / "fleet.thrift"
    with resources.as_file(source) as path:
        loaded = thriftpy2.load(str(path), module_name="fleet_thrift")
    return loaded


_SCHEMA: Final = _load_schema()
_BINARY: Final = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]
_COMPACT: Final = TCompactProtocolFactory()  # type: ignore[no-untyped-call]
_PROTOCOLS: Final[dict[bytes, Any]] = {b"B": _BINARY, b"C": _COMPACT}
_BINARY_MESSAGES: Final = (message.Ack, message.Dispatch, message.Part)

# Field names that are reserved words of Thrift, and their replacements.
_WIRE_NAMES: Final = {"service": "service_name"}


def _identity(value: Any) -> Any:
    return value


def _headers_to_wire(value: Any) -> Any:
    """Convert header pairs to Thrift structures."""
    return [_SCHEMA.Header(name, text) for name, text in value]


def _headers_from_wire(value: Any) -> Any:
    """Convert Thrift structures to header pairs."""
    return tuple((item.name, item.value) for item in value)


def _field_converters(annotation: Any) -> tuple[Converter, Converter]:
    """Return the converters of a field type, to and from Thrift."""
    origin = typing.get_origin(annotation)
    if annotation == tuple[tuple[str, str], ...]:
        return _headers_to_wire, _headers_from_wire
    if origin is tuple:
        to_item, from_item = _field_converters(typing.get_args(annotation)[0])
        return (
            lambda value: [to_item(item) for item in value],
            lambda value: tuple(from_item(item) for item in value),
        )
    if dataclasses.is_dataclass(annotation):
        return _struct_converters(cast(type[Any], annotation))
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return (lambda value: value.value), annotation
    if annotation is bytes:
        return _identity, bytes
    return _identity, _identity


def _wire_name(name: str) -> str:
    """Return the name of a field in the schema."""
    return _WIRE_NAMES.get(name, name)


def _struct_converters(message_type: type[Any]) -> tuple[Converter, Converter]:
    """Return the converters of a message or entry dataclass."""
    struct = getattr(_SCHEMA, message_type.__name__)
    hints = typing.get_type_hints(message_type)
    field_plan = [
        (
            _wire_name(field.name),
            field.name,
            field.default,
            *_field_converters(hints[field.name]),
        )
        for field in dataclasses.fields(message_type)
    ]

    def to_wire(value: Any) -> Any:
        item = struct()
        for wire, name, default, to_field, _ in field_plan:
            field_value = getattr(value, name)
            if field_value != default:
                setattr(item, wire, to_field(field_value))
        return item

    if not field_plan:
        return (lambda _: struct()), (lambda _: message_type())
    get_fields = operator.attrgetter(*(wire for wire, *_ in field_plan))
    # Most fields need no conversion; these do.
    to_convert = [
        (index, from_field)
        for index, (*_, from_field) in enumerate(field_plan)
        if from_field is not _identity
    ]

    def fill_defaults(values: list[Any]) -> None:
        for index, (_, name, default, _, _) in enumerate(field_plan):
            if values[index] is not None:
                continue
            if default is dataclasses.MISSING:
                raise ValueError(f"{message_type.__name__} lacks {name}")
            values[index] = default

    def from_wire(item: Any) -> Any:
        found = get_fields(item)
        values = list(found) if len(field_plan) > 1 else [found]
        for index, from_field in to_convert:
            if values[index] is not None:
                values[index] = from_field(values[index])
        if None in values:
            fill_defaults(values)
        return message_type(*values)

    return to_wire, from_wire


def _field_name(message_type: type[Any]) -> str:
    """Return the field of ``Frame`` that holds a message class."""
    name = message_type.__name__
    parts = ["_" + c.lower() if c.isupper() else c for c in name]
    return "".join(parts).removeprefix("_")


_MESSAGE_TYPES: Final = typing.get_args(message.Message)
_CONVERTERS: Final = {
    kind: _struct_converters(kind) for kind in _MESSAGE_TYPES
}
_TO_WIRE: Final = {
    kind: (_field_name(kind), pair[0]) for kind, pair in _CONVERTERS.items()
}
_FROM_WIRE: Final = {
    _field_name(kind): pair[1] for kind, pair in _CONVERTERS.items()
}


def encode(value: Message) -> bytes:
    """Encode a message as a frame.

    :param value: the message
    :returns: the frame, without the length and MAC that precede it
    """
    name, to_wire = _TO_WIRE[type(value)]
    frame = _SCHEMA.Frame()
    setattr(frame, name, to_wire(value))
    if isinstance(value, _BINARY_MESSAGES):
        return b"B" + serialize(frame, _BINARY)
    return b"C" + serialize(frame, _COMPACT)


def decode(data: bytes) -> Result[Message, BadFrame]:
    """Decode the message in a frame.

    The bytes must come from `encode`: on others the Thrift reader may read
    past the end, so `bulrushstream.protocol.frame` verifies a MAC first.

    :param data: a frame that `encode` returned
    :returns: the message, or why the bytes can not be decoded
    """
    # The Thrift reader raises errors of many types on invalid bytes; each
    # of them means that this is not a valid frame.
    try:
        factory = _PROTOCOLS[data[:1]]
        frame = deserialize(_SCHEMA.Frame(), data[1:], factory)
        messages = [
            (name, item)
            for name, item in frame.__dict__.items()
            if item is not None
        ]
        if len(messages) != 1:
            return Error(BadFrame(f"{len(messages)} messages in one frame"))
        name, item = messages[0]
        return Ok(cast(Message, _FROM_WIRE[name](item)))
    except Exception as error:
        return Error(BadFrame(f"{type(error).__name__}: {error}"))
