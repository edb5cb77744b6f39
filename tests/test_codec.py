"""Messages round-trip through the codec; malformed frames are refused."""

from __future__ import annotations

import dataclasses
import enum
import typing
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushstream.protocol.codec import decode, encode
from bulrushstream.protocol.frame import LENGTH, pack, unpack
from bulrushstream.protocol.framemac import initial_key, session_key
from bulrushstream.state import message
from bulrushstream.state.message import Message

_INTS = st.integers(-(2**31), 2**31 - 1)
_TEXT = st.text(
    st.characters(exclude_categories=["Cs"], exclude_characters="\0"),
    max_size=12,
)


def strategy_for(annotation: Any) -> st.SearchStrategy[Any]:
    origin = typing.get_origin(annotation)
    if origin is tuple:
        inner = typing.get_args(annotation)
        if inner[-1] is Ellipsis:
            return st.lists(strategy_for(inner[0]), max_size=3).map(tuple)
        return st.tuples(*(strategy_for(item) for item in inner))
    if dataclasses.is_dataclass(annotation):
        return dataclass_strategy(typing.cast(type[Any], annotation))
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return st.sampled_from(list(annotation))
    scalars: dict[Any, st.SearchStrategy[Any]] = {
        int: _INTS,
        str: _TEXT,
        bytes: st.binary(max_size=40),
        bool: st.booleans(),
        float: st.floats(allow_nan=False),
    }
    return scalars[annotation]


def dataclass_strategy(kind: type[Any]) -> st.SearchStrategy[Any]:
    hints = typing.get_type_hints(kind)
    fields = {name: strategy_for(hint) for name, hint in hints.items()}
    return st.builds(kind, **fields)


class CodecSuite:
    @pytest.mark.parametrize("kind", typing.get_args(message.Message))
    def test_round_trip(self, kind: type[Any]) -> None:
        @settings(max_examples=30)
        @given(dataclass_strategy(kind))
        def check(value: Message) -> None:
            assert decode(encode(value)).ok == value

        check()

    def test_frame_without_a_message_is_refused(self) -> None:
        assert decode(b"\0").is_error()


KEY = session_key(initial_key("secret"), b"a" * 16, b"b" * 16)


class FrameSuite:
    @given(st.data())
    def test_a_truncated_frame_is_refused(self, data: st.DataObject) -> None:
        kind = data.draw(st.sampled_from(typing.get_args(message.Message)))
        frame = pack(KEY, data.draw(dataclass_strategy(kind)))[LENGTH.size :]
        size = data.draw(st.integers(0, len(frame) - 1))
        assert unpack(KEY, frame[:size]).is_error()

    @given(st.data())
    def test_a_frame_with_a_flipped_bit_is_refused(
        self, data: st.DataObject
    ) -> None:
        kind = data.draw(st.sampled_from(typing.get_args(message.Message)))
        value = data.draw(dataclass_strategy(kind))
        frame = bytearray(pack(KEY, value)[LENGTH.size :])
        bit = data.draw(st.integers(0, len(frame) * 8 - 1))
        assert unpack(KEY, bytes(frame)).ok == value
        frame[bit // 8] ^= 1 << bit % 8
        assert unpack(KEY, bytes(frame)).is_error()

    @given(st.binary(max_size=80))
    def test_arbitrary_bytes_are_refused(self, data: bytes) -> None:
        assert unpack(KEY, data).is_error()

    def test_another_connections_key_is_refused(self) -> None:
        other = session_key(initial_key("secret"), b"b" * 16, b"a" * 16)
        frame = pack(KEY, message.NoWork(7))[LENGTH.size :]
        assert unpack(KEY, frame).ok == message.NoWork(7)
        assert unpack(other, frame).is_error()
