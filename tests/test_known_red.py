"""Seeds in KNOWN-RED.txt still cause their violation, and no other.

The expected failures are strict: once a fault is fixed, its test fails
until the entry is removed from the list.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from bulrushstream.history.generate import random_plan
from bulrushstream.history.harness import run_plan
from bulrushstream.history.real import REAL_CORES
from bulrushstream.history.violation import Violation

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_violations() -> list[tuple[int, str]]:
    lines = KNOWN_RED_PATH.read_text().splitlines()
    rows = [line.split(" | ") for line in lines if line[:1].isdigit()]
    return [(int(seed), kind) for seed, kind, _ in rows]


def violations_of(seed: int) -> tuple[Violation, ...]:
    return tuple(run_plan(random_plan(seed), REAL_CORES).violations)


class KnownRedSuite:
    @pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt")
    @pytest.mark.parametrize(("seed", "kind"), known_violations())
    def test_known_violation_is_absent(self, seed: int, kind: str) -> None:
        assert [v for v in violations_of(seed) if v.kind == kind] == []

    @pytest.mark.parametrize(("seed", "kind"), known_violations())
    def test_no_other_violation(self, seed: int, kind: str) -> None:
        assert [v for v in violations_of(seed) if v.kind != kind] == []
