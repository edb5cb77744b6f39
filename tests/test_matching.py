"""Rule matching, rule defaults and token authentication."""

from __future__ import annotations

from dataclasses import replace
from hashlib import sha256

import pytest

from bulrushstream.coordination.matching import (
    ConfigIndex,
    RequestFacts,
    authenticate,
    match,
)
from bulrushstream.state.config import (
    Condition,
    FleetConfig,
    Rule,
    Service,
    ServiceKind,
    Treatment,
    VersionedConfig,
    Workspace,
)

MODEL = Service("llm", ServiceKind.MODEL, models=("m1",), deadline_s=9.0)
DESK = Service("desk", ServiceKind.PLAIN, queue_limit=7)
FACTS = RequestFacts("w", "", "POST", "/v1/x", (), "m1", False, 10)
PLAIN_FACTS = replace(FACTS, service="desk", model="", path="/services/desk/t")

# Condition, request facts, whether they match.
CONDITIONS = [
    (Condition(), FACTS, True),
    (Condition(workspaces=("w", "v")), FACTS, True),
    (Condition(workspaces=("v",)), FACTS, False),
    (Condition(services=("desk",)), PLAIN_FACTS, True),
    (Condition(services=("desk",)), FACTS, False),
    (Condition(methods=("GET",)), FACTS, False),
    (Condition(models=("m1",)), FACTS, True),
    (Condition(stream=True), FACTS, False),
    (Condition(stream=False), FACTS, True),
    (Condition(path_pattern="/v1/*"), FACTS, True),
    (Condition(path_pattern="/v1"), FACTS, False),
    (Condition(path_pattern="/v1/*"), replace(FACTS, path="/v1/a\n"), True),
    (Condition(min_body_bytes=11), FACTS, False),
    (Condition(min_body_bytes=10, max_body_bytes=10), FACTS, True),
    (Condition(max_body_bytes=9), FACTS, False),
    (Condition(headers=(("X-Kind", "a*"),)), FACTS, False),
    (
        Condition(headers=(("X-Kind", "a*"),)),
        replace(FACTS, headers=(("x-kind", "b"), ("x-kind", "ab"))),
        True,
    ),
]


def _index(*rules: Rule) -> ConfigIndex:
    token = sha256(b"secret").hexdigest()
    workspaces = (Workspace("w", 2.0, (token,)), Workspace("v"))
    config = FleetConfig(workspaces, (MODEL, DESK), rules)
    return ConfigIndex(VersionedConfig(3, config))


class MatchingSuite:
    @pytest.mark.parametrize(("when", "facts", "expected"), CONDITIONS)
    def test_condition(
        self, when: Condition, facts: RequestFacts, expected: bool
    ) -> None:
        index = _index(Rule("r", when, Treatment(refuse="no")))
        denial = match(index, facts).error
        assert (denial.rule == "r") is expected
        assert denial.notice.code == ("B103" if expected else "B102")

    def test_first_match_wins_and_defaults_come_from_the_service(self) -> None:
        first = Rule("a", Condition(min_body_bytes=99), Treatment("desk"))
        second = Rule("b", Condition(), Treatment(retry_limit=2))
        third = Rule("c", Condition(), Treatment("desk"))
        index = _index(first, second, third)
        matched = match(index, FACTS).ok
        assert (matched.rule, matched.service) == ("b", MODEL)
        assert (matched.deadline_s, matched.retry_limit) == (9.0, 2)
        assert match(index, PLAIN_FACTS).ok.queue_limit == 7
        large_facts = replace(PLAIN_FACTS, body_bytes=100)
        assert match(index, large_facts).ok.rule == "a"

    def test_an_unknown_model_is_refused(self) -> None:
        with_service = _index(Rule("r", Condition(), Treatment("llm")))
        without_service = _index(Rule("r", Condition(), Treatment()))
        facts = replace(FACTS, model="m2")
        assert match(with_service, facts).error.notice.code == "B118"
        assert match(without_service, facts).error.notice.code == "B118"

    def test_authenticates_only_the_exact_token(self) -> None:
        index = _index()
        assert authenticate(index, "secret") == "w"
        assert authenticate(index, "secret ") is None
        assert authenticate(index, "\udcff") is None
