"""Parts arrive late, twice and out of order; the answer is complete."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.state.answer import AnswerAssembler
from bulrushstream.state.message import Part
from tests.builders import a_body, a_head, an_end


def an_answer(pieces: int) -> list[Part]:
    """Return the parts of an answer with this many body parts."""
    bodies = [a_body(n, b"%d" % n) for n in range(1, pieces + 1)]
    return [a_head(), *bodies, an_end(pieces + 1)]


class AnswerSuite:
    @given(st.data(), st.integers(0, 12))
    def test_any_order_gives_the_same_answer(
        self, data: st.DataObject, pieces: int
    ) -> None:
        parts = an_answer(pieces)
        order = data.draw(st.permutations(parts + parts[: pieces // 2]))
        answer = AnswerAssembler()
        passed_on = [ready for part in order for ready in answer.add(part)]
        assert passed_on == parts
        assert answer.ended
        assert answer.early_bytes == 0

    @given(st.data(), st.integers(0, 12))
    def test_resent_parts_complete_an_answer_with_losses(
        self, data: st.DataObject, pieces: int
    ) -> None:
        parts = an_answer(pieces)
        answer = AnswerAssembler(max_early_parts=3)
        passed_on = []
        for _ in range(len(parts)):
            missing = parts[answer.next_sequence :]
            arrived = data.draw(st.permutations(missing))
            lost = data.draw(st.integers(0, max(0, len(missing) - 1)))
            # The first missing part always arrives.
            for part in [*arrived[lost:], *missing[:1]]:
                passed_on += answer.add(part)
        assert passed_on == parts

    def test_early_parts_are_bounded_in_bytes(self) -> None:
        answer = AnswerAssembler(max_early_bytes=10)
        answer.add(a_body(2, bytes(8)))
        answer.add(a_body(3, bytes(8)))
        assert answer.early_bytes == 8
        answer.add(a_head())
        assert answer.add(a_body(1, b"")) == [
            a_body(1, b""),
            a_body(2, bytes(8)),
        ]
        assert answer.next_sequence == 3

    def test_nothing_follows_the_end(self) -> None:
        answer = AnswerAssembler()
        answer.add(a_body(2, b"beyond"))
        answer.add(a_head())
        assert answer.add(an_end(1)) == [an_end(1)]
        assert answer.add(a_body(2, b"beyond")) == []
