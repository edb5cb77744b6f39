"""The command line: invalid arguments, help and the demo command."""

from __future__ import annotations

import pytest

from bulrushstream.cli import run

INVALID_ARGUMENTS = [
    ["demo", "--nope", "1"],
    ["demo", "--requests", "many"],
    ["nope"],
    ["router"],
    ["router", "/no/such/file.json"],
    ["agent", "/no/such/file.json"],
]


class CliSuite:
    @pytest.mark.parametrize("words", INVALID_ARGUMENTS, ids=" ".join)
    def test_invalid_arguments_print_one_line_and_exit_2(
        self, words: list[str], capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(words) == 2
        printed = capsys.readouterr()
        assert printed.out == ""
        assert len(printed.err.splitlines()) == 1
        assert "Traceback" not in printed.err

    def test_missing_command_exits_2(self) -> None:
        assert run([]) == 2

    def test_help_lists_the_commands(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(["--help"]) == 0
        printed = capsys.readouterr().out
        assert "demo" in printed
        assert "router" in printed

    def test_demo_answers_all_requests(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(["demo", "--requests", "60"]) == 0
        printed = capsys.readouterr().out
        assert "60/60 answered" in printed
        assert "curl" in printed
