"""The documentation agrees with the code."""

from __future__ import annotations

import importlib.util
import inspect
import re
import shlex
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from types import ModuleType

import pytest
from fire.core import FireExit

from bulrushstream import cli, messages
from bulrushstream.commands import reference
from bulrushstream.coordination.matching import ConfigIndex, authenticate
from bulrushstream.messages import Notice
from bulrushstream.metrics import make_metrics
from bulrushstream.rulefile import read_rule_file
from bulrushstream.settings import read_agent, read_router
from bulrushstream.state.config import VersionedConfig

ROOT = Path(__file__).parents[1]
PAGES = sorted(
    page
    for pattern in ("*.md", "docs/**/*.md", "examples/**/*.md")
    for page in ROOT.glob(pattern)
)
NAMES = [str(page.relative_to(ROOT)) for page in PAGES]
LINK = re.compile(r"(?<!!)\[[^\]]*\]\(([^)\s]+)\)")
CODE = re.compile(r"\bB[123]\d\d\b")
FENCE = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
INDENTED = re.compile(r"(?:\A|\n)\n((?:(?: {4}.*)\n)+)")
JSON = re.compile(r"^```json\n(.*?)^```$", re.MULTILINE | re.DOTALL)
TOKEN = re.compile(r"Bearer ([\w-]+)")
METRIC = re.compile(r"\bbulrushstream_(\w+)")
MODULE = re.compile(r"`((?:\w+/)+\w+\.py)`")


def _text(name: str) -> str:
    return (ROOT / name).read_text(encoding="utf-8")


def _notices() -> dict[str, Notice]:
    found = vars(messages).values()
    return {each.code: each for each in found if isinstance(each, Notice)}


def _anchors(page: Path) -> set[str]:
    """Return the anchors of a page's headings."""
    lines = page.read_text(encoding="utf-8").splitlines()
    headings = [line.lstrip("#").strip() for line in lines if line[:1] == "#"]
    words = [re.sub(r"[^\w\- ]", "", head.lower()) for head in headings]
    return {each.replace(" ", "-") for each in words}


def _commands(text: str) -> Iterator[list[str]]:
    """Yield the arguments of each of our commands in code blocks."""
    blocks = FENCE.findall(text) + INDENTED.findall(text)
    for block in blocks:
        for line in block.replace("\\\n", " ").splitlines():
            for part in re.split(r"&&|\||;", line):
                if part.split()[:1] == [cli.PROGRAM]:
                    words = shlex.split(part, comments=True)
                    yield _without_redirections(words[1:])


def _without_redirections(words: list[str]) -> list[str]:
    """Return words up to the first redirection or background sign."""
    shell_positions = [k for k, word in enumerate(words) if word[0] in "<>&"]
    return words[: shell_positions[0]] if shell_positions else words


def _is_valid(words: list[str]) -> bool:
    """Return whether words are a command with valid arguments."""
    if words[-1:] == ["--help"]:
        return _names_command(words[:-1])
    try:
        call = cli._parse(words)
        if not isinstance(call, cli._Call):
            return False
        signature = inspect.signature(call.command)
        bound = signature.bind(*call.positional, **call.keywords)
    except (FireExit, TypeError):
        return False
    return all(
        signature.parameters[name].annotation == "bool"
        for name, value in bound.arguments.items()
        if value is True
    )


def _names_command(words: list[str]) -> bool:
    """Return whether words name a command or a group of commands."""
    found: object = cli.COMMANDS
    for word in words:
        if not isinstance(found, Mapping) or word not in found:
            return False
        found = found[word]
    return True


def _load(path: Path) -> ModuleType:
    """Import a file outside any package."""
    spec = importlib.util.spec_from_file_location(path.stem, path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[path.stem] = module
    spec.loader.exec_module(module)
    return module


class LinkSuite:
    @pytest.mark.parametrize("name", NAMES)
    def test_targets_of_relative_links_exist(self, name: str) -> None:
        missing = []
        for link in LINK.findall(_text(name)):
            if "://" in link or link.startswith("mailto:"):
                continue
            path, _, anchor = link.partition("#")
            page = (ROOT / name).parent / path if path else ROOT / name
            exists = page.exists()
            if exists and anchor:
                exists = anchor in _anchors(page)
            if not exists:
                missing.append(link)
        assert missing == []


class CodeSuite:
    @pytest.mark.parametrize("name", NAMES)
    def test_codes_exist(self, name: str) -> None:
        assert set(CODE.findall(_text(name))) - set(_notices()) == set()

    def test_callers_page_lists_every_code(self) -> None:
        rows = _text("docs/CALLERS.md").splitlines()
        assert [
            row for row in reference.error_rows("B1") if row not in rows
        ] == []

    @pytest.mark.parametrize("prefix", ["B2", "B3"])
    def test_operators_page_lists_every_code(self, prefix: str) -> None:
        rows = _text("docs/OPERATIONS.md").splitlines()
        wanted = reference.error_rows(prefix)
        assert [row for row in wanted if row not in rows] == []

    def test_no_two_messages_share_a_code(self) -> None:
        found = vars(messages).values()
        codes = [each.code for each in found if isinstance(each, Notice)]
        assert sorted(codes) == sorted(set(codes))


class SettingsSuite:
    def test_settings_page_is_up_to_date(self) -> None:
        assert _text("docs/SETTINGS.md") == reference.settings_page()

    def test_every_key_is_described(self) -> None:
        rows = reference.settings_page().splitlines()
        assert [row for row in rows if row.endswith("|  |")] == []


class GettingStartedSuite:
    """The first settings and call in the operators' page are valid."""

    def test_the_settings_are_valid(self, tmp_path: Path) -> None:
        blocks = JSON.findall(_text("docs/OPERATIONS.md"))
        assert len(blocks) == 2
        for block, read in zip(blocks, (read_router, read_agent), strict=True):
            file = tmp_path / "settings.json"
            file.write_text(block)
            assert read(str(file)).is_ok()

    def test_first_call_uses_a_token_of_the_rule_list(self) -> None:
        token = TOKEN.findall(_text("docs/OPERATIONS.md"))[0]
        config = read_rule_file(str(ROOT / "examples/kowhai/rules.json")).ok
        index = ConfigIndex(VersionedConfig(0, config))
        assert authenticate(index, token) is not None


class CommandSuite:
    @pytest.mark.parametrize("name", NAMES)
    def test_commands_and_flags_exist(self, name: str) -> None:
        wrong = [
            " ".join(words)
            for words in _commands(_text(name))
            if not _is_valid(words)
        ]
        assert wrong == []

    @pytest.mark.parametrize(
        "line",
        [
            "nope",
            "nope --help",
            "rules",
            "rules check",
            "agent a.json --nope 1",
            "rules show --log",
        ],
    )
    def test_invalid_commands_are_detected(self, line: str) -> None:
        assert not _is_valid(line.split())

    def test_commands_are_found_in_both_kinds_of_blocks(self) -> None:
        text = (
            "x\n\n    bulrushstream check --seed 2 && ls\n\n"
            "```sh\nbulrushstream agent a.json > x &\n```\n"
        )
        assert sorted(_commands(text)) == [
            ["agent", "a.json"],
            ["check", "--seed", "2"],
        ]

    def test_the_operators_page_names_every_command(self) -> None:
        text = _text("docs/OPERATIONS.md")
        assert [
            name
            for name in cli.COMMANDS
            if f"bulrushstream {name}" not in text
        ] == []


class NamesSuite:
    def test_documented_metrics_match_the_code(self) -> None:
        registry = make_metrics().registry
        known = {
            family.name.removeprefix("bulrushstream_")
            for family in registry.collect()
            if family.name.startswith("bulrushstream_")
        }
        named = set(METRIC.findall(_text("docs/OPERATIONS.md")))
        bare = {
            re.sub(r"_(total|bucket|count|sum)$", "", name) for name in named
        }
        assert bare == known

    @pytest.mark.parametrize("name", ["docs/GLOSSARY.md", "docs/LIBRARY.md"])
    def test_modules_exist(self, name: str) -> None:
        named = MODULE.findall(_text(name))
        source = ROOT / "src" / "bulrushstream"
        missing = [
            path
            for path in named
            if not (source / path).exists() and not (ROOT / path).exists()
        ]
        assert named
        assert missing == []


class ExampleSuite:
    def test_library_example_serves_all_workspaces(self) -> None:
        fleet = _load(ROOT / "examples" / "embed.py").run_example()
        assert fleet.served == {"council": 40, "club": 8}
        assert len(fleet.outcomes) == 48
        assert all(line.endswith(": ran") for line in fleet.outcomes)

    def test_small_workspace_is_not_delayed_by_the_large_one(self) -> None:
        fleet = _load(ROOT / "examples" / "embed.py").run_example()
        last = max(
            position
            for position, line in enumerate(fleet.outcomes)
            if line.startswith("club")
        )
        assert last < 24
