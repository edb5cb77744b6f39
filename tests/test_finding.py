"""Findings sort by location and print on one line."""

from __future__ import annotations

from bulrushstream.state.finding import Finding


class FindingSuite:
    def test_sorts_by_location(self) -> None:
        late = Finding("a.json", 9, 1, "B203", "late")
        early = Finding("a.json", 2, 5, "B201", "early", "rules[0]")
        assert sorted([late, early]) == [early, late]

    def test_prints_location_code_and_path(self) -> None:
        finding = Finding("a.json", 2, 5, "B201", "early", "rules[0]")
        assert str(finding) == "a.json:2:5: B201: early at rules[0]"
