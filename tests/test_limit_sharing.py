"""How routers share the limits that endpoints name."""

from __future__ import annotations

from random import Random

import pytest

from bulrushstream.coordination.endpointlimits import (
    BURST_S,
    MAX_REPEATED,
    MIN_PER_S,
    EndpointLimits,
)
from bulrushstream.coordination.routerpresence import (
    ASSUMED_ALONE_S,
    ASSUMED_S,
    SILENT_S,
    RouterPresence,
)
from bulrushstream.platform.headers import MAX_REQUEST_LIMIT, decode_answer
from bulrushstream.protocol.peercodec import decode_update, encode_update
from bulrushstream.state.effect import Decision
from bulrushstream.state.peerupdate import EndpointLimit, PeerUpdate


def some_limits(routers: int = 1) -> tuple[EndpointLimits, list[Decision]]:
    decisions: list[Decision] = []
    presence = RouterPresence(-1000.0, lambda: routers)
    return EndpointLimits(decisions.append, presence, Random(1)), decisions


def take(limits: EndpointLimits, begin_s: float, end_s: float) -> int:
    """Send as many requests as there is room for; return their number."""
    count, now_s = 0, begin_s
    while now_s < end_s:
        if limits.room_s("e-1", now_s) <= 0.0:
            limits.placed("e-1", now_s)
            count += 1
        now_s += 0.01
    return count


class BucketSuite:
    @pytest.mark.parametrize("per_s", (0.5, 3.0, 40.0))
    def test_one_router_gets_the_limit(self, per_s: float) -> None:
        limits, _ = some_limits()
        limits.observe("e-1", per_s, -0.1, 0.0)
        assert take(limits, 0.0, 20.0) == pytest.approx(20.0 * per_s, abs=2.0)

    def test_an_idle_limit_is_not_saved_up(self) -> None:
        limits, _ = some_limits()
        limits.observe("e-1", 10.0, -0.1, 0.0)
        assert take(limits, 100.0, 104.0) <= 40 + 3 + 10 * BURST_S

    def test_debt_is_made_up_for(self) -> None:
        limits, _ = some_limits()
        limits.observe("e-1", 2.0, -0.1, 0.0)
        for _ in range(6):
            limits.placed("e-1", 1.0, elsewhere=True)
        assert take(limits, 1.0, 3.0) == 0
        assert take(limits, 3.0, 8.0) <= 10

    def test_a_limit_of_zero_is_still_tried(self) -> None:
        limits, _ = some_limits()
        limits.observe("e-1", 0.0, -0.1, 0.0)
        assert take(limits, 0.0, 40.0) == pytest.approx(
            40.0 * MIN_PER_S, abs=2.0
        )

    def test_it_ends_with_an_answer_to_a_later_request(self) -> None:
        limits, decisions = some_limits()
        limits.observe("e-1", 1.0, 0.0, 1.0)
        limits.observe("e-1", None, 0.9, 1.5)
        assert limits
        limits.observe("e-1", None, 1.1, 1.6)
        assert not limits
        assert [line.inputs["per_s"] for line in decisions] == [1.0, -1.0]

    def test_a_fall_counts_at_once(self) -> None:
        limits, _ = some_limits()
        limits.observe("e-1", 40.0, -0.1, 0.0)
        limits.observe("e-1", 0.5, 9.9, 10.0)
        assert take(limits, 10.0, 14.0) <= 3


class PeerSuite:
    def test_peers_learn_of_a_limit_and_of_its_end(self) -> None:
        one, _ = some_limits()
        two, decisions = some_limits()
        sent: list[EndpointLimit] = []
        one.report = sent.append
        one.observe("e-1", 2.5, 0.0, 1.0)
        one.observe("e-1", 2.5, 1.0, 1.5)
        one.observe("e-1", None, 2.0, 3.0)
        for limit, now_s in zip(sent, (1.0, 3.0), strict=True):
            update = PeerUpdate("front-1", 1, "h", limits=(limit,))
            two.apply_update(decode_update(encode_update(update)), now_s)
        assert [line.inputs["per_s"] for line in decisions] == [2.5, -1.0]
        assert not two

    def test_older_reports_do_not_count(self) -> None:
        limits, _ = some_limits()
        limits.observe("e-1", 2.0, 4.0, 5.0)
        old = EndpointLimit("e-1", None, 1.0)
        update = PeerUpdate("front-2", 1, "h", limits=(old,))
        limits.apply_update(update, 5.5)
        assert limits

    def test_heartbeats_repeat_a_few_in_turn(self) -> None:
        limits, _ = some_limits()
        for number in range(2 * MAX_REPEATED):
            limits.observe(f"e-{number}", 1.0, 0.0, 1.0)
        names = set()
        for _ in range(2):
            repeated = limits.limits_to_repeat(2.0)
            assert len(repeated) == MAX_REPEATED
            names |= {limit.endpoint for limit in repeated}
        assert len(names) == 2 * MAX_REPEATED


class PresenceSuite:
    def test_all_are_heard(self) -> None:
        presence = RouterPresence(0.0, lambda: 4)
        for name in "abc":
            presence.heard(name, 100.0, leaving=False)
        assert presence.heard_share("e-1", 100.5) == 1.0

    def test_a_silent_router_counts_for_a_time(self) -> None:
        presence = RouterPresence(0.0, lambda: 3)
        presence.heard("a", 100.0, leaving=False)
        presence.heard("b", 100.0, leaving=False)
        silent_s = 100.0 + SILENT_S + 0.1
        presence.heard("a", silent_s, leaving=False)
        assert presence.heard_share("e-1", silent_s) == pytest.approx(2 / 3)
        gone_s = 100.0 + ASSUMED_S + 0.1
        presence.heard("a", gone_s, leaving=False)
        assert presence.heard_share("e-1", gone_s) == 1.0

    def test_one_that_leaves_does_not(self) -> None:
        presence = RouterPresence(0.0, lambda: 2)
        presence.heard("a", 100.0, leaving=False)
        presence.heard("a", 100.1, leaving=True)
        assert presence.heard_share("e-1", 102.0) == 1.0

    def test_a_router_that_starts_expects_the_others(self) -> None:
        presence = RouterPresence(100.0, lambda: 4)
        assert presence.heard_share("e-1", 100.1) == 0.25
        presence.heard("a", 100.2, leaving=False)
        assert presence.heard_share("e-1", 100.3) == 0.5
        presence.heard("a", 103.0, leaving=False)
        assert presence.heard_share("e-1", 103.0) == 1.0

    def test_alone_by_the_load_that_endpoints_tell(self) -> None:
        presence = RouterPresence(0.0, lambda: 4)
        for name in "abc":
            presence.heard(name, 100.0, leaving=False)
        late_s = 100.0 + ASSUMED_S + 1.0
        # Nothing is known of the others: they may be cut off.
        assert presence.heard_share("e-1", late_s) == 0.25
        presence.load_told("e-1", 2, 2, late_s)
        assert presence.heard_share("e-1", late_s) == 1.0
        presence.load_told("e-1", 3, 2, late_s)
        assert presence.heard_share("e-1", late_s) == 0.25
        end_s = 100.0 + ASSUMED_ALONE_S + 1.0
        assert presence.heard_share("e-2", end_s) == 1.0


class HeaderSuite:
    @pytest.mark.parametrize(
        ("values", "limit", "bad"),
        (
            ((), None, ""),
            ((b"4.4",), 4.4, ""),
            ((b" 7 ",), 7.0, ""),
            ((b".5",), 0.5, ""),
            ((b"0",), 0.0, ""),
            ((b"9" * 299,), MAX_REQUEST_LIMIT, ""),
            ((b"5, 3",), 3.0, ""),
            ((b"5", b"4"), 4.0, ""),
            ((b"5", b"x"), 5.0, "x"),
            ((b"-1",), None, "-1"),
            ((b"",), None, "(empty)"),
            ((b"nan",), None, "nan"),
            ((b"1e3",), None, "1e3"),
            ((b"1_0",), None, "1_0"),
            ((b"y" * 999,), None, "y" * 40),
        ),
    )
    def test_values(
        self, values: tuple[bytes, ...], limit: float | None, bad: str
    ) -> None:
        headers = [(b"Server-Limit", value) for value in values]
        head = decode_answer(200, headers)
        assert head.request_limit == limit
        assert head.bad_limit == bad
