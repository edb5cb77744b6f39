"""Records of the configuration stream and how readers judge them."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.configdelta import apply_delta, make_delta
from bulrushstream.coordination.configlog import (
    ConfigRecord,
    RecordKind,
    Verdict,
    decode_record,
    encode_checkpoint,
    encode_publish,
    encode_record,
    encode_reset,
    judge,
    starting_point,
    versioned,
)
from bulrushstream.state.config import (
    EMPTY_CONFIG,
    Condition,
    FleetConfig,
    Rule,
    Treatment,
    Workspace,
)
from bulrushstream.state.event import LogRecord
from tests.builders import a_rule_list

NAMES = st.lists(st.sampled_from("abcdef"), unique=True)


@st.composite
def configs(draw: st.DrawFn) -> FleetConfig:
    weights = st.sampled_from([1.0, 2.0])
    rules = [
        Rule(name, Condition(stream=draw(st.booleans())), Treatment())
        for name in draw(NAMES)
    ]
    workspaces = [Workspace(name, draw(weights)) for name in draw(NAMES)]
    return FleetConfig(tuple(workspaces), (), tuple(rules))


CURRENT = versioned(5, a_rule_list(1))
NEXT = a_rule_list(2)
PUBLISH = encode_publish(CURRENT, NEXT, "id")
RECORD = decode_record(PUBLISH) or ConfigRecord(RecordKind.RESET, 0, "")
DUPLICATES = FleetConfig((Workspace("a"), Workspace("a")))

# A record's body and its verdict while version 5 is current.
VERDICTS = [
    (PUBLISH, Verdict.ACCEPTED),
    (encode_publish(replace(CURRENT, version=4), NEXT), Verdict.LOST),
    (encode_publish(EMPTY_CONFIG, NEXT), Verdict.LOST),
    (encode_publish(CURRENT, DUPLICATES), Verdict.INVALID),
    (encode_record(replace(RECORD, digest="0" * 64)), Verdict.WRONG_DIGEST),
    (
        encode_record(replace(RECORD, full=None, delta=None)),
        Verdict.UNDECODABLE,
    ),
    (PUBLISH[:-1], Verdict.UNDECODABLE),
    (b"\xff", Verdict.UNDECODABLE),
    (b"[" * 100_000, Verdict.UNDECODABLE),
    (encode_checkpoint(CURRENT), Verdict.REPEATED),
    (encode_checkpoint(replace(CURRENT, version=4)), Verdict.LOST),
    (encode_reset(NEXT), Verdict.ACCEPTED),
]


class ConfigLogSuite:
    @pytest.mark.parametrize(("body", "verdict"), VERDICTS)
    def test_verdicts(self, body: bytes, verdict: Verdict) -> None:
        judged = judge(CURRENT, LogRecord(9, body))
        assert judged.verdict is verdict
        if verdict is Verdict.ACCEPTED:
            assert judged.result == versioned(9, NEXT)
        else:
            assert judged.result == CURRENT

    def test_record_at_or_before_the_current_version_is_ignored(self) -> None:
        judged = judge(CURRENT, LogRecord(5, encode_reset(NEXT)))
        assert judged.verdict is Verdict.LOST

    def test_starting_points_are_checkpoints_and_resets(self) -> None:
        checkpoint = LogRecord(9, encode_checkpoint(CURRENT))
        assert starting_point(checkpoint) == CURRENT
        assert starting_point(LogRecord(4, checkpoint.body)) is None
        reset = starting_point(LogRecord(9, encode_reset(NEXT)))
        assert reset == versioned(9, NEXT)
        assert starting_point(LogRecord(9, PUBLISH)) is None

    def test_integer_weight_has_the_digest_of_a_float(self) -> None:
        """JSON may carry 1 or 1.0; readers must compute the same digest."""
        config = FleetConfig((Workspace("a", 1),))
        body = encode_publish(CURRENT, config)
        assert judge(CURRENT, LogRecord(9, body)).result == versioned(
            9, config
        )

    @given(configs(), configs())
    def test_a_delta_leads_to_the_new_configuration(
        self, old: FleetConfig, new: FleetConfig
    ) -> None:
        assert apply_delta(old, make_delta(old, new)) == new

    def test_a_small_change_makes_a_small_record(self) -> None:
        workspaces = tuple(Workspace(f"w{i}") for i in range(650))
        large = versioned(3, FleetConfig(workspaces))
        more = FleetConfig((*workspaces[1:], Workspace("new")))
        assert len(encode_publish(large, more, "id")) < 600
