"""The `rules` commands against a stand-in for the log service."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from bulrushstream import rulefile
from bulrushstream.commands import rules
from bulrushstream.coordination.configlog import encode_config, versioned
from bulrushstream.standins.log import LogOptions, make_log
from bulrushstream.state.config import FleetConfig, Workspace
from bulrushstream.state.message import ConfigPush
from bulrushstream.transport.operators import (
    OperatorsOptions,
    Readiness,
    make_operators,
)
from bulrushstream.transport.server import serve
from tests.builders import a_rule_list


@pytest.fixture
async def log_url() -> AsyncIterator[str]:
    async with serve(make_log(LogOptions()).asgi) as server:
        yield server.url


def _write(path: Path, config: FleetConfig, first_line: str = "") -> str:
    path.write_text(first_line + encode_config(config).decode())
    return str(path)


class RulesCommandSuite:
    async def test_publish_show_diff_and_conflict(
        self,
        log_url: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        def run_commands() -> None:
            one = _write(tmp_path / "1.json", a_rule_list(1))
            rules.publish(one, log_url, author="ann", note="first")
            rules.publish(one, log_url)
            out = capsys.readouterr().out
            assert out.splitlines() == [
                "Version 0 is accepted.",
                "Version 0 is in force and is the same.",
            ]
            rules.show(log_url)
            shown = capsys.readouterr().out
            assert rulefile.read_rules(shown, "f").ok == a_rule_list(1)
            two = _write(tmp_path / "2.json", a_rule_list(2))
            rules.publish(two, log_url, author="bob")
            edited = tmp_path / "3.json"
            edited.write_text(shown.replace('"w1-0"', '"w1-x"'))
            with pytest.raises(SystemExit) as stop:
                rules.publish(str(edited), log_url)
            assert stop.value.code == rules.EXIT_CONFLICT
            error = capsys.readouterr().err
            assert "version 1 by bob" in error
            assert "+ workspace w1-x" in error
            rules.diff(log_url, 0, str(edited))
            assert capsys.readouterr().out.splitlines() == [
                "- workspace w1-0",
                "+ workspace w1-x",
            ]

        await asyncio.to_thread(run_commands)

    async def test_each_failure_has_its_exit_code(
        self,
        log_url: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        good = _write(tmp_path / "good.json", a_rule_list(1))
        bad = _write(
            tmp_path / "bad.json", FleetConfig((Workspace("a", -1.0),))
        )
        unreachable_url = "http://127.0.0.1:9"

        def exit_code(*args: str, **options: str) -> object:
            with pytest.raises(SystemExit) as stop:
                rules.publish(*args, **options)  # type: ignore[arg-type]
            return stop.value.code

        def run_commands() -> None:
            rules.check(good)
            assert "1 services" in capsys.readouterr().out
            assert exit_code(bad, log_url) == rules.EXIT_FINDINGS
            assert "bad.json:1:" in capsys.readouterr().err
            assert exit_code(good, unreachable_url) == rules.EXIT_LOG_DOWN
            with pytest.raises(SystemExit) as stop:
                rules.show(log_url, 7)
            assert stop.value.code == rules.EXIT_FINDINGS

        await asyncio.to_thread(run_commands)

    async def test_accepted_list_is_pushed_to_routers(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        pushes: list[ConfigPush] = []

        async def receive(body: bytes) -> None:
            pushes.append(msgspec.json.decode(body, type=ConfigPush))

        options = OperatorsOptions(
            lambda: Readiness(True), dict, bytes, {"config": receive}
        )
        current = versioned(4, a_rule_list(1))
        async with serve(make_operators(options)) as server:
            await rules.push_to_routers(
                current, [server.url, "http://127.0.0.1:9"]
            )
        assert [(p.version, p.digest) for p in pushes] == [(4, current.digest)]
        assert "127.0.0.1:9 was not told" in capsys.readouterr().err
