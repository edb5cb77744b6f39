"""Event streams, cut at the ends of whole events."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.state.events import EventCutter


def events(first: int, last: int) -> bytes:
    """Return events with ids."""
    return b"".join(
        b"id: %d\ndata: x id: 9\n\n" % number
        for number in range(first, last + 1)
    )


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    """Return data cut at places."""
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[a:b] for a, b in itertools.pairwise(places)]


class CutterSuite:
    @given(st.lists(st.integers(0, 10_000), max_size=12))
    def test_whole_events_come_out_however_they_arrive(
        self, cuts: list[int]
    ) -> None:
        cutter = EventCutter()
        out = b""
        for piece in pieces(events(1, 12), cuts):
            whole = cutter.feed(piece)
            assert whole == b"" or whole.endswith(b"\n\n")
            out += whole
        assert out == events(1, 12)
        assert (cutter.last_id, cutter.events, cutter.torn) == (12, 12, False)

    @given(
        st.integers(0, 400),
        st.integers(1, 8),
        st.lists(st.integers(0, 10_000), max_size=8),
    )
    def test_a_broken_stream_goes_on_without_gap_or_repeat(
        self, broken_at: int, repeats: int, cuts: list[int]
    ) -> None:
        cutter = EventCutter()
        out = cutter.feed(events(1, 12)[:broken_at])
        cutter.restart()
        # The second source may start a little too early.
        first = max(1, (cutter.last_id or 0) + 1 - repeats)
        for piece in pieces(events(first, 20), cuts):
            out += cutter.feed(piece)
        assert out == events(1, 20)

    def test_half_an_event_is_kept_back(self) -> None:
        cutter = EventCutter()
        assert cutter.feed(b"id: 1\ndata") == b""
        assert cutter.torn
        assert cutter.feed(b": x\n") == b""
        assert cutter.feed(b"\n") == b"id: 1\ndata: x\n\n"
