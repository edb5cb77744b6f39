"""Settings and rule lists: all findings are reported with positions."""

from __future__ import annotations

from pathlib import Path

import pytest

from bulrushstream import rulefile, settings
from bulrushstream.jsonc import Position, parse

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "examples"
# Shipped rule lists, each with its number of workspaces.
SHIPPED = [
    ("examples/kowhai/rules.json", 16),
    ("examples/lantern-path/rules.json", 16),
    ("src/bulrushstream/local/demo-rules.json", 4),
]

# Texts with the expected findings: line, column, code and path.
INVALID_RULES = [
    ("{,}", [(1, 2, "B205", "")]),
    ('{"rules": [\n  1 2]}', [(2, 5, "B205", "")]),
    ('{"a": NaN}', [(1, 7, "B205", "a")]),
    ('{"rules": [],\n "rules": []}', [(2, 2, "B207", "rules")]),
    (
        '{"workspaces": [{"nam": "a", "weight": "1"}],\n "rulez": []}',
        [
            (1, 17, "B202", "workspaces[0].name"),
            (1, 18, "B201", "workspaces[0].nam"),
            (1, 40, "B203", "workspaces[0].weight"),
            (2, 2, "B201", "rulez"),
        ],
    ),
    (
        '{"workspaces": [{"name": "a", "weight": 0, "token_sha256": ["z"]},'
        '\n{"name": "a"}]}',
        [
            (1, 41, "B215", "workspaces[0].weight"),
            (1, 61, "B214", "workspaces[0].token_sha256[0]"),
            (2, 10, "B207", "workspaces[1].name"),
        ],
    ),
    (
        '{"services": [{"name": "s", "kind": "plain", "slots": 0}]}',
        [(1, 55, "B215", "services[0].slots")],
    ),
    (
        '{"rules": [{"name": "r", "when": {"workspaces": ["w"],\n'
        '"path_pattern": "[a"}, "then": {"service": "s"}}]}',
        [
            (1, 50, "B208", "rules[0].when.workspaces[0]"),
            (2, 17, "B213", "rules[0].when.path_pattern"),
            (2, 17, "B213", "rules[0].when.path_pattern"),
            (2, 44, "B208", "rules[0].then.service"),
        ],
    ),
    (
        '{"rules": [{"name": "all", "when": {}, "then": {"refuse": "no"}},\n'
        '{"name": "late", "when": {"stream": true}, "then": {}}]}',
        [(2, 1, "B216", "rules[1]"), (2, 52, "B217", "rules[1].then")],
    ),
]

AGENT_TEXT = """{
  "instance": "a b", "region": "r", "availability_zone": "z",
  "platform": {"log_url": "x", "instances_url": "http://h", "timeout_s": 0},
  "security": {"shared_secret": "short", "tls_key_file": "k"},
  "endpoint": {"name": "e", "service": "s", "kind": "gpu", "url": "http://h"},
  "peers": {"host": "0.0.0.0", "port": 70000}
}"""


class RuleFileSuite:
    @pytest.mark.parametrize(("text", "expected"), INVALID_RULES)
    def test_all_findings_are_reported_with_positions(
        self, text: str, expected: list[tuple[int, int, str, str]]
    ) -> None:
        result = rulefile.read_rules(text, "rules.json")
        assert result.is_error()
        found = [(f.line, f.column, f.code, f.path) for f in result.error]
        assert found == expected

    @pytest.mark.parametrize(("path", "workspaces"), SHIPPED)
    def test_shipped_rule_lists_are_valid(
        self, path: str, workspaces: int
    ) -> None:
        result = rulefile.read_rule_file(str(ROOT / path))
        assert result.is_ok(), result.error
        config = result.ok
        assert len(config.workspaces) == workspaces
        assert {s.kind for s in config.services} == {"model", "plain"}

    def test_a_missing_file_is_a_finding(self) -> None:
        result = rulefile.read_rule_file("no/such/file.json")
        assert [f.code for f in result.error] == ["B206"]


class SettingsSuite:
    @pytest.mark.parametrize("name", ["kowhai", "lantern-path"])
    def test_example_settings_are_valid(self, name: str) -> None:
        router = settings.read_router(str(EXAMPLES / name / "router.json"))
        agent = settings.read_agent(str(EXAMPLES / name / "agent.json"))
        assert router.is_ok(), router.error
        assert agent.is_ok(), agent.error
        assert router.ok.limits.connections == 4096
        assert agent.ok.endpoint.kind is settings.EndpointKind.MODEL

    def test_type_and_range_errors_are_reported_together(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "agent.json"
        path.write_text(AGENT_TEXT)
        found = settings.read_agent(str(path)).error
        assert [(f.line, f.code, f.path) for f in found] == [
            (2, "B204", "instance"),
            (3, "B204", "platform.log_url"),
            (3, "B204", "platform.timeout_s"),
            (5, "B203", "endpoint.kind"),
            (6, "B204", "peers.port"),
        ]

    def test_errors_beyond_types_are_reported(self, tmp_path: Path) -> None:
        """Keys that are valid alone may be invalid together or unsafe."""
        path = tmp_path / "agent.json"
        text = AGENT_TEXT.replace("a b", "a").replace('"x"', '"http://l"')
        text = text.replace('"timeout_s": 0', '"timeout_s": 1.5')
        text = text.replace("gpu", "model").replace("70000", "7000")
        path.write_text(text)
        found = settings.read_agent(str(path)).error
        assert [(f.line, f.code) for f in found] == [
            (1, "B212"),
            (4, "B211"),
            (4, "B210"),
        ]


class JsoncSuite:
    def test_positions_of_keys_and_values(self) -> None:
        document = parse('// x\n{"a": [1, {b: -2.5}]}', "f").ok
        assert document.data == {"a": [1, {"b": -2.5}]}
        assert document.position_of(("a", 1, "b")) == Position(2, 15)
        assert document.position_of_key(("a", 1, "b")) == Position(2, 12)
        assert document.position_of(("a", 7)) == Position(2, 7)
