"""Parts come late, twice and out of order; the answer comes whole."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.state.answer import Answer
from bulrushstream.state.message import Part
from tests.builders import a_body, a_head, an_end


def an_answer(pieces: int) -> list[Part]:
    """Return the parts of an answer with this many pieces."""
    bodies = [a_body(n, b"%d" % n) for n in range(1, pieces + 1)]
    return [a_head(), *bodies, an_end(pieces + 1)]


class AnswerSuite:
    @given(st.data(), st.integers(0, 12))
    def test_any_order_gives_the_same_answer(
        self, data: st.DataObject, pieces: int
    ) -> None:
        parts = an_answer(pieces)
        order = data.draw(st.permutations(parts + parts[: pieces // 2]))
        answer = Answer()
        given_on = [ready for part in order for ready in answer.accept(part)]
        assert given_on == parts
        assert answer.ended
        assert answer.early_bytes == 0

    @given(st.data(), st.integers(0, 12))
    def test_what_was_lost_is_asked_for_and_completes_it(
        self, data: st.DataObject, pieces: int
    ) -> None:
        parts = an_answer(pieces)
        answer = Answer(max_early_parts=3)
        given_on = []
        for _ in range(len(parts)):
            rest = parts[answer.next_sequence :]
            arrived = data.draw(st.permutations(rest))
            lost = data.draw(st.integers(0, max(0, len(rest) - 1)))
            # The first missing part arrives in the end.
            for part in [*arrived[lost:], *rest[:1]]:
                given_on += answer.accept(part)
        assert given_on == parts

    def test_early_parts_are_bounded_in_bytes(self) -> None:
        answer = Answer(max_early_bytes=10)
        answer.accept(a_body(2, bytes(8)))
        answer.accept(a_body(3, bytes(8)))
        assert answer.early_bytes == 8
        answer.accept(a_head())
        assert answer.accept(a_body(1, b"")) == [
            a_body(1, b""),
            a_body(2, bytes(8)),
        ]
        assert answer.next_sequence == 3

    def test_nothing_follows_the_end(self) -> None:
        answer = Answer()
        answer.accept(a_body(2, b"beyond"))
        answer.accept(a_head())
        assert answer.accept(an_end(1)) == [an_end(1)]
        assert answer.accept(a_body(2, b"beyond")) == []
