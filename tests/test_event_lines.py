"""Events whose lines end with LF, CRLF or CR."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.state.events import EventSplitter, split_done
from tests.eventstreams import LINE_ENDS, encode, pieces

ENDS = (*((end,) for end in LINE_ENDS), LINE_ENDS)
all_ends = pytest.mark.parametrize("ends", ENDS)


class LineEndSuite:
    """Guards against streams that are refused as their lines end with CR."""

    @all_ends
    @pytest.mark.parametrize("bom", [False, True])
    def test_cut_at_each_byte(
        self, ends: tuple[bytes, ...], bom: bool
    ) -> None:
        for seed in range(20):
            stream = encode(range(1, 9), ends, seed, bom=bom)
            for cut in range(len(stream.data) + 1):
                splitter = EventSplitter()
                first = splitter.feed(stream.data[:cut])
                assert first == stream.passed_on(cut)
                rest = splitter.feed(stream.data[cut:])
                assert first + rest == stream.data
                assert (splitter.last_id, splitter.event_count) == (8, 8)
                assert not splitter.mid_event

    @all_ends
    @given(
        seed=st.integers(0, 10_000),
        cuts=st.lists(st.integers(0, 10_000), max_size=40),
    )
    def test_cut_anywhere(
        self, ends: tuple[bytes, ...], seed: int, cuts: list[int]
    ) -> None:
        stream = encode(range(1, 9), ends, seed)
        splitter = EventSplitter()
        output, fed = b"", 0
        for piece in pieces(stream.data, cuts):
            output += splitter.feed(piece)
            fed += len(piece)
            assert output == stream.passed_on(fed)
            done = [end for end in stream.ends if end[0] <= fed]
            assert splitter.event_count == len(done)
            assert splitter.last_id == (len(done) or None)
            assert splitter.mid_event == (len(output) < fed)

    @all_ends
    @given(
        seed=st.integers(0, 10_000),
        broken_at=st.integers(0, 10_000),
        repeats=st.integers(1, 9),
        cuts=st.lists(st.integers(0, 10_000), max_size=20),
    )
    def test_a_stream_is_resumed(
        self,
        ends: tuple[bytes, ...],
        seed: int,
        broken_at: int,
        repeats: int,
        cuts: list[int],
    ) -> None:
        stream = encode(range(1, 9), ends, seed)
        size = broken_at % len(stream.data)
        splitter = EventSplitter()
        begun = splitter.feed(stream.data[:size])
        assert begun == stream.passed_on(size)
        splitter.restart()
        last = splitter.last_id or 0
        first = max(1, last + 1 - repeats)
        resumed = encode(range(first, 13), ends, seed + 1, bom=True)
        output = b"".join(map(splitter.feed, pieces(resumed.data, cuts)))
        skipped = resumed.ends[last - first][1] if first <= last else 3
        if not last:
            skipped = 0
        # The line end that was cut is completed.
        missing = b"\n" if begun.endswith(b"\r\n\r") else b""
        assert output == missing + resumed.data[skipped:]
        assert (splitter.last_id, splitter.event_count) == (12, 12)

    @pytest.mark.parametrize("ends", ENDS)
    @pytest.mark.parametrize("number", [1, 2, 3])
    def test_an_id_does_not_rise(
        self, ends: tuple[bytes, ...], number: int
    ) -> None:
        splitter = EventSplitter()
        before = encode(range(1, 4), ends, number)
        after = encode(range(number, number + 1), ends, number)
        assert splitter.feed(before.data + after.data) == before.data
        assert splitter.out_of_order
        assert splitter.last_id == 3

    def test_an_event_ends_within_a_line_end(self) -> None:
        """Guards against a wait for a line feed that never comes."""
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\rdata: x\r\r") == b"id: 1\rdata: x\r\r"
        assert splitter.feed(b"id: 2\r\n\r") == b"id: 2\r\n\r"
        assert not splitter.mid_event
        assert splitter.feed(b"\n") == b"\n"
        assert splitter.event_count == 2

    def test_a_stream_ends_with_empty_lines(self) -> None:
        """Guards against an end that counts as amid an event."""
        splitter = EventSplitter()
        for piece in (b"id: 1\ndata: x\n\n", b"\n", b"\r\n"):
            assert splitter.feed(piece) == piece
        assert not splitter.mid_event
        assert splitter.event_count == 1

    def test_the_longest_event(self) -> None:
        for end in LINE_ENDS:
            splitter = EventSplitter()
            splitter.feed(b"data: " + b"x" * 262_138)
            assert not splitter.is_too_long
            splitter.feed(end)
            assert splitter.is_too_long

    def test_the_last_event_of_a_model(self) -> None:
        """Guards against a comment below it, which callers do not read."""
        for end in LINE_ENDS:
            events, done = b"data: x" + 2 * end, b"data: [DONE]" + 2 * end
            assert split_done(events + done) == (events, done)
            assert split_done(done) == (b"", done)
            assert split_done(events) == (events, b"")
