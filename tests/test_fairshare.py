"""Max-min shares among workspaces, in virtual time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.fairshare import FairShares, fair_share_level

AMOUNTS = st.lists(st.floats(0, 1000), min_size=1, max_size=20)


class LevelSuite:
    @given(AMOUNTS, st.floats(1, 5000))
    def test_the_level_uses_what_there_is_and_no_more(
        self, asked: list[float], capacity: float
    ) -> None:
        level = fair_share_level(asked, capacity)
        given_out = sum(min(amount, level) for amount in asked)
        assert given_out <= capacity * (1 + 1e-9)
        if sum(asked) > capacity:
            assert given_out >= capacity * (1 - 1e-9)
        else:
            assert level == float("inf")

    def test_small_askers_get_all_that_they_ask(self) -> None:
        assert fair_share_level([1, 2, 100, 100], 53) == 25


class ShareSuite:
    def test_a_flood_is_surplus_and_the_others_are_not(self) -> None:
        shares = FairShares(4.0, tokens_per_s=1000.0)
        now_s, refused = 0.0, {"flood": 0, "club": 0}
        for step in range(400):
            now_s = step * 0.02
            for workspace, tokens in (("flood", 100.0), ("club", 4.0)):
                if shares.used_share(workspace, tokens, now_s) <= 1.0:
                    shares.add_grant(workspace, tokens, now_s)
                else:
                    refused[workspace] += 1
                shares.add_demand(workspace, tokens, now_s)
        assert refused["club"] == 0
        # 5,000 tokens a second are asked for and 800 are left for it.
        assert 0.7 < refused["flood"] / 400 < 0.95

    def test_a_window_forgets(self) -> None:
        shares = FairShares(4.0, tokens_per_s=100.0)
        shares.add_demand("a", 1000, 0.0)
        shares.add_grant("a", 390, 0.0)
        shares.add_demand("a", 10, 1.0)
        assert shares.used_share("a", 20, 1.0) > 1.0
        assert shares.used_share("a", 20, 9.0) <= 1.0
        assert shares.granted == {}

    def test_without_a_figure_everything_is_covered(self) -> None:
        shares = FairShares(4.0)
        shares.add_grant("a", 1e9, 0.0)
        assert shares.used_share("a", 1e9, 0.0) == 0.0
