"""`explain` prints the decisions that led to a request's outcome."""

from __future__ import annotations

from pathlib import Path

import pytest

from bulrushstream.commands.explain import explain, trace

LINES = [
    '12.1 front-2 {"time_s":12.5,"instance":"front-2","event":"decision",'
    '"kind":"finish","reason":"refuse","request_id":"q1","outcome":"B124"}',
    '{"time_s":12.0,"instance":"front-2","event":"decision","kind":"shed",'
    '"reason":"late","request_id":"q1","inputs":{"wait_s":0.7}}',
    '{"time_s":11.0,"instance":"front-2","event":"decision",'
    '"kind":"dependency_lost","reason":"status 503"}',
    '{"time_s":11.0,"instance":"front-1","event":"decision",'
    '"kind":"dependency_lost","reason":"status 503"}',
    '{"time_s":12.2,"instance":"front-2","event":"decision","kind":"shed",'
    '"reason":"late","request_id":"q2"}',
    '{"time_s":12.2,"instance":"front-2","event":"dec',
    "no json at all",
    "[1]",
]


class TraceSuite:
    def test_decisions_on_a_request_are_in_order(self) -> None:
        lines = trace("q1", LINES)
        expected = ("dependency_lost: status 503", "shed: late", "finish: ")
        assert len(lines) == len(expected)
        for line, text in zip(lines, expected, strict=True):
            assert f"front-2  {text}" in line
        assert "wait_s=0.7" in lines[1]

    def test_the_command_reads_files(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = tmp_path / "log"
        file.write_text("\n".join(LINES))
        assert explain("q1", str(file)) == 0
        assert capsys.readouterr().out.count("\n") == 3
        assert explain("q9", str(file)) == 1
        assert explain("q1", str(tmp_path / "none")) == 2
