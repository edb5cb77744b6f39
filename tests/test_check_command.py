"""The check command counts its histories and explains a failure."""

from __future__ import annotations

import pytest

from bulrushstream.check_command import run_check
from bulrushstream.coordination.retryquota import RetryQuota
from tests.mutations import MUTATIONS


class CheckCommandSuite:
    def test_correct_cores_pass(self) -> None:
        lines: list[str] = []
        times = iter((0.0, 1.0, 2.0))
        code = run_check(1.5, 3, show=lines.append, clock=lambda: next(times))
        assert code == 0
        assert len(lines) == 1
        assert lines[0].startswith("2 histories, ")
        assert lines[0].endswith(" 0 violations")

    def test_a_failure_prints_its_seed_and_a_small_plan(self) -> None:
        faulty = next(m for m in MUTATIONS if "twice" in m.name)
        lines: list[str] = []
        code = run_check(
            0.0, 3, faulty.cores, lines.append, lambda: 0.0, max_trials=40
        )
        assert code == 1
        assert lines[0] == "seed 3 fails:"
        assert any("run-twice" in line for line in lines)
        calls = [line for line in lines if "PlannedCall(" in line]
        assert len(calls) == 1
        assert any("StartRun" in line for line in lines)
        assert lines[-1].startswith("1 histories, ")

    def test_a_failure_of_front_end_routers_is_explained(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(RetryQuota, "acquire", lambda *_: True)
        lines: list[str] = []
        times = iter(range(100))
        code = run_check(
            90.0,
            1,
            show=lines.append,
            clock=lambda: float(next(times)),
            max_trials=30,
        )
        assert code == 1
        assert any("over-budget" in line for line in lines)
        assert any("smallest plan" in line for line in lines)
        assert any("Run(" in line for line in lines)
