"""Splitting event streams after complete events."""

from __future__ import annotations

from itertools import accumulate

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.state.events import EventSplitter
from tests.eventstreams import pieces


def events(first: int, last: int) -> bytes:
    """Return a stream of events with ids from first to last."""
    return b"".join(
        b"id: %d\ndata: x id: 9\n\n" % number
        for number in range(first, last + 1)
    )


class SplitterSuite:
    @given(st.lists(st.integers(0, 10_000), max_size=12))
    def test_events_are_complete_however_the_stream_is_cut(
        self, cuts: list[int]
    ) -> None:
        splitter = EventSplitter()
        output = b""
        for piece in pieces(events(1, 12), cuts):
            complete = splitter.feed(piece)
            assert complete == b"" or complete.endswith(b"\n\n")
            output += complete
        assert output == events(1, 12)
        assert (
            splitter.last_id,
            splitter.event_count,
            splitter.mid_event,
        ) == (
            12,
            12,
            False,
        )

    @given(
        st.integers(0, 400),
        st.integers(1, 8),
        st.lists(st.integers(0, 10_000), max_size=8),
    )
    def test_a_resumed_stream_has_no_gap_or_repeat(
        self, broken_at: int, repeats: int, cuts: list[int]
    ) -> None:
        splitter = EventSplitter()
        output = splitter.feed(events(1, 12)[:broken_at])
        splitter.restart()
        # The second endpoint may repeat events that were passed on.
        first = max(1, (splitter.last_id or 0) + 1 - repeats)
        for piece in pieces(events(first, 20), cuts):
            output += splitter.feed(piece)
        assert output == events(1, 20)

    @given(
        st.integers(0, 12),
        st.integers(0, 12),
        st.lists(st.integers(0, 10_000), max_size=8),
    )
    def test_a_caller_goes_on_without_gap_or_repeat(
        self, after: int, repeats: int, cuts: list[int]
    ) -> None:
        """Guards against a first endpoint that repeats what a caller has."""
        splitter = EventSplitter(last_id=after)
        first = max(1, after + 1 - repeats)
        output = b"".join(map(splitter.feed, pieces(events(first, 20), cuts)))
        assert output == events(after + 1, 20)
        assert splitter.last_id == 20

    def test_an_id_falls_within_an_event(self) -> None:
        """Guards against a later resumption from too early an event."""
        splitter = EventSplitter()
        assert splitter.feed(b"id: 9\ndata: x\n\n")
        assert splitter.feed(b"id: 10\nid: 3\ndata: x\n\n") == b""
        assert splitter.out_of_order
        assert splitter.last_id == 9
        splitter = EventSplitter()
        first, second = b"id: 9\ndata: x\n\n", b"id: 10\nid: 3\ndata: x\n\n"
        assert splitter.feed(first + second) == first
        assert splitter.last_id == 9

    def test_the_last_id_of_an_event_counts(self) -> None:
        """Guards against an event that is lost as one of its ids is seen."""
        splitter = EventSplitter(last_id=5)
        event = b"id: 3\nid: 10\ndata: x\n\n"
        assert splitter.feed(event) == event
        assert splitter.last_id == 10

    def test_events_without_id_are_not_repeated(self) -> None:
        """Guards against events that come twice between those with ids."""
        splitter = EventSplitter(last_id=3)
        unseen = b"data: c\n\nid: 4\ndata: x\n\ndata: d\n\n"
        for event in (b"id: 1\n\n", b"data: a\n\n", b"id: 2\n\n"):
            assert splitter.feed(event) == b""
        assert splitter.feed(b"data: b\n\nid: 3\n\n" + unseen) == unseen
        assert splitter.last_id == 4
        assert not splitter.can_resume

    @given(
        st.lists(st.integers(0, 3), min_size=1, max_size=9),
        st.integers(0, 10_000),
        st.integers(0, 10_000),
        st.lists(st.integers(0, 10_000), max_size=20),
    )
    def test_some_events_have_no_id(
        self, rises: list[int], broken_at: int, begin: int, cuts: list[int]
    ) -> None:
        """Guards against events that come twice or never on a retry."""
        # An event has an id if the id rises.
        ids = [n if rises[i] else 0 for i, n in enumerate(accumulate(rises))]
        encoded = [
            (b"id: %d\n" % number if number else b"") + b"data: %d\n\n" % index
            for index, number in enumerate(ids)
        ]
        stream = b"".join(encoded)
        splitter = EventSplitter()
        output = splitter.feed(stream[: broken_at % (len(stream) + 1)])
        if not splitter.can_resume:
            return
        splitter.restart()
        starts = [0]
        if splitter.last_id is not None:
            last = ids.index(splitter.last_id)
            starts = [last + 1, *(i for i in range(last + 1) if ids[i])]
        resumed = b"".join(encoded[starts[begin % len(starts)] :])
        output += b"".join(map(splitter.feed, pieces(resumed, cuts)))
        assert output == stream

    @pytest.mark.parametrize("value", ["", "x", "1" * 19, "-1"])
    def test_an_id_is_no_number(self, value: str) -> None:
        """Guards against a stream that goes on before such an event."""
        splitter = EventSplitter()
        assert splitter.feed(b"id: 7\ndata: x\n\n")
        assert splitter.can_resume
        assert splitter.feed(f"id: {value}\ndata: x\n\n".encode())
        assert not splitter.can_resume
        assert splitter.feed(b"id: 9\ndata: x\n\n")
        assert splitter.can_resume

    def test_an_incomplete_event_is_held_back(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata") == b""
        assert splitter.mid_event
        assert splitter.feed(b": x\n") == b""
        assert splitter.feed(b"\n") == b"id: 1\ndata: x\n\n"
