"""Faults in KNOWN-RED.txt still show; a mended one must leave the list."""

from __future__ import annotations

from pathlib import Path

import pytest

from bulrushstream.history.generate import random_plan
from bulrushstream.history.harness import run_plan
from bulrushstream.history.real import REAL_CORES
from bulrushstream.history.violation import Violation

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known() -> list[tuple[int, str]]:
    lines = LIST.read_text().splitlines()
    rows = [line.split(" | ") for line in lines if line[:1].isdigit()]
    return [(int(seed), kind) for seed, kind, _ in rows]


def violations_of(seed: int) -> tuple[Violation, ...]:
    return tuple(run_plan(random_plan(seed), REAL_CORES).violations)


class KnownRedSuite:
    @pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt")
    @pytest.mark.parametrize(("seed", "kind"), known())
    def test_the_known_promise_holds(self, seed: int, kind: str) -> None:
        assert [v for v in violations_of(seed) if v.kind == kind] == []

    @pytest.mark.parametrize(("seed", "kind"), known())
    def test_every_other_promise_holds(self, seed: int, kind: str) -> None:
        assert [v for v in violations_of(seed) if v.kind != kind] == []
