"""Merging is idempotent and commutative, and counts nothing twice."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.ledger import Ledger, ServedTotal
from bulrushstream.state.message import ServedEntry

LIVE_ENTRIES = st.builds(
    ServedEntry,
    agent=st.sampled_from(["a1", "a2"]),
    incarnation=st.integers(1, 2),
    workspace=st.sampled_from(["w1", "w2"]),
    total=st.integers(0, 50).map(float),
    in_flight=st.integers(0, 5).map(float),
    sequence=st.integers(0, 5),
)


def cell(
    total: float,
    sequence: int = 1,
    incarnation: int = 1,
    in_flight: float = 0.0,
) -> ServedEntry:
    return ServedEntry("a1", incarnation, "w1", total, in_flight, sequence)


def merged(entries: list[ServedEntry]) -> Ledger:
    ledger = Ledger()
    for entry in entries:
        ledger.merge(entry)
    return ledger


def content(ledger: Ledger) -> set[ServedEntry]:
    return set(ledger.entries())


class MergeSuite:
    @given(st.lists(LIVE_ENTRIES, max_size=12), st.randoms())
    def test_order_and_copies_do_not_matter(
        self, entries: list[ServedEntry], rng: object
    ) -> None:
        again = entries + entries
        rng.shuffle(again)  # type: ignore[attr-defined]
        assert content(merged(entries)) == content(merged(again))

    @given(st.lists(LIVE_ENTRIES, max_size=12), st.integers(0, 12))
    def test_merging_halves_is_merging_all(
        self, entries: list[ServedEntry], cut: int
    ) -> None:
        left, right = merged(entries[:cut]), merged(entries[cut:])
        for entry in list(right.entries()):
            left.merge(entry)
        assert content(left) == content(merged(entries))

    @given(st.lists(LIVE_ENTRIES, max_size=12))
    def test_sums_are_the_sums_of_the_cells(
        self, entries: list[ServedEntry]
    ) -> None:
        ledger = merged(entries)
        cells = [e for e in ledger.entries() if e.workspace == "w1"]
        assert ledger.total("w1") == ServedTotal(
            sum(e.total for e in cells), sum(e.in_flight for e in cells)
        )

    def test_reports_no_change_for_a_copy(self) -> None:
        ledger = Ledger()
        assert ledger.merge(cell(5.0))
        assert not ledger.merge(cell(5.0))
        assert not ledger.merge(cell(3.0, sequence=0))

    def test_latest_estimate_wins(self) -> None:
        ledger = merged([cell(5, 7, in_flight=1), cell(4, 6, in_flight=9)])
        assert ledger.total("w1") == ServedTotal(5.0, 1.0)

    def test_excludes_one_incarnation(self) -> None:
        ledger = merged([cell(5.0), cell(3.0, incarnation=2, in_flight=1.0)])
        others = ledger.total("w1", InstanceKey("a1", 2))
        assert others == ServedTotal(5.0, 0.0)

    def test_lists_only_what_changed(self) -> None:
        ledger = merged([cell(5.0), cell(3.0, incarnation=2)])
        seen = ledger.revision
        ledger.merge(cell(6.0, sequence=2))
        assert list(ledger.entries(seen)) == [cell(6.0, sequence=2)]
        assert list(ledger.workspaces(seen)) == ["w1"]
        assert list(ledger.entries(ledger.revision)) == []


class FoldSuite:
    def test_keeps_the_sum_and_ends_the_estimate(self) -> None:
        ledger = merged([cell(5.0, in_flight=2.0), cell(3.0, incarnation=2)])
        ledger.fold("a1", 1)
        assert ledger.total("w1") == ServedTotal(8.0, 0.0)

    def test_late_copies_add_nothing(self) -> None:
        ledger = merged([cell(5.0)])
        ledger.fold("a1", 1)
        assert not ledger.merge(cell(5.0))
        assert ledger.total("w1").total == 5.0

    def test_folded_sum_replaces_what_it_covers(self) -> None:
        source = merged([cell(5.0), cell(3.0, incarnation=2)])
        source.fold("a1", 2)
        target = merged([cell(4.0)])
        for entry in list(source.entries()):
            target.merge(entry)
        assert target.total("w1").total == 8.0

    def test_stores_few_incarnations(self) -> None:
        starts = [cell(1.0, incarnation=i) for i in range(1, 181)]
        ledger = merged(starts)
        assert ledger.total("w1").total == 180.0
        assert len(content(ledger)) <= 3

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.integers(1, 3), st.integers(1, 9)),
                st.tuples(st.just(0), st.integers(1, 3)),
            ),
            max_size=20,
        )
    )
    def test_never_exceeds_the_service_given(
        self, steps: list[tuple[int, int]]
    ) -> None:
        # A step is a report (incarnation, units) or a fold (0, incarnation).
        # Each ledger gets some reports directly and the rest by merging.
        served = {1: 0.0, 2: 0.0, 3: 0.0}
        first, second = Ledger(), Ledger()
        for count, (incarnation, value) in enumerate(steps):
            if incarnation == 0:
                first.fold("a1", value)
            else:
                served[incarnation] += value
                target = first if count % 2 else second
                target.merge(cell(served[incarnation], count, incarnation))
            for entry in list(first.entries()):
                second.merge(entry)
            for entry in list(second.entries()):
                first.merge(entry)
        total_served = sum(served.values())
        assert first.total("w1").total <= total_served + 1e-9
        assert second.total("w1").total == pytest.approx(
            first.total("w1").total
        )
