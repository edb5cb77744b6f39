"""What routers know of the usage at their peers, in virtual time.

Guards against a router that takes usage which it does not know of for free
capacity: updates that were lost, peers that it does not hear, and peers that
were there before it.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.fleetstate import (
    CUT_OFF_TIMEOUT_S,
    FleetState,
)
from bulrushstream.coordination.fleetview import PEER_TIMEOUT_S
from bulrushstream.coordination.peerusage import PeerUsage
from bulrushstream.coordination.routerpresence import SILENT_S
from bulrushstream.state.peerupdate import PeerUpdate, WorkspaceTotals
from tests.test_fleetstate import a_router_state, deliver

WORKSPACES = ("club", "school")


def an_update(
    requested: int, granted: int, *, peer: int = 2, counted_s: float = 0.0
) -> PeerUpdate:
    """Return an update with the totals of one workspace."""
    return PeerUpdate(
        f"front-{peer}",
        1,
        f"10.0.0.{peer}",
        totals=(WorkspaceTotals("club", requested, granted, counted_s),),
    )


def demand_of(state: FleetState, now_s: float) -> float:
    """Return the workspace's demand in the window."""
    state.shares.used_share("club", 0, now_s)
    return state.shares.demand.get("club", 0.0)


class TotalsSuite:
    @given(st.integers(0, 10_000))
    def test_any_later_update_makes_up_for_lost_ones(self, seed: int) -> None:
        rng = random.Random(seed)
        usage = PeerUsage(0.0)
        sent = dict.fromkeys(WORKSPACES, 0)
        counted: defaultdict[str, float] = defaultdict(float)
        now_s = 0.0
        for _ in range(rng.randrange(60)):
            now_s += rng.random()
            name = rng.choice(WORKSPACES)
            sent[name] += rng.randrange(-20, 900)
            if rng.random() < 0.7:
                continue
            changes = (
                usage.extrapolate(now_s)
                if rng.random() < 0.5
                else usage.receive(
                    [WorkspaceTotals(name, sent[name], sent[name], now_s)],
                    now_s,
                )
            )
            for change in changes:
                counted[change.workspace] += change.granted_tokens
        last = [
            WorkspaceTotals(name, 0, sent[name], now_s) for name in WORKSPACES
        ]
        for change in usage.receive(last, now_s):
            counted[change.workspace] += change.granted_tokens
        for name in WORKSPACES:
            assert counted[name] == pytest.approx(sent[name], abs=1e-6)

    def test_lost_increments_are_spread_over_the_silence(self) -> None:
        state, _ = a_router_state(1)
        state.apply_update(an_update(0, 0), 10.0)
        # 20 s later only what falls into the window of 4 s counts.
        state.apply_update(an_update(20_000, 20_000), 30.0)
        assert demand_of(state, 30.0) == pytest.approx(4_000, rel=0.15)

    def test_a_new_router_knows_the_rate_of_a_peer_at_once(self) -> None:
        state, _ = a_router_state(1)
        state.apply_update(an_update(60_000, 30_000, counted_s=60.0), 1.0)
        assert demand_of(state, 1.0) == pytest.approx(4_000, rel=0.3)

    def test_what_a_peer_counted_before_is_no_burst(self) -> None:
        """The first update that a new router hears may lack workspaces."""
        state, _ = a_router_state(1)
        state.apply_update(PeerUpdate("front-2", 1, "10.0.0.2"), 0.9)
        state.apply_update(an_update(60_000, 30_000, counted_s=60.0), 1.0)
        assert demand_of(state, 1.0) == pytest.approx(4_000, rel=0.3)
        # A workspace that sends its first requests counts in full.
        state.apply_update(
            replace(
                an_update(0, 0),
                totals=(WorkspaceTotals("school", 900, 0, 0.004),),
            ),
            1.1,
        )
        assert state.shares.demand["school"] == pytest.approx(900)

    def test_a_new_peer_is_told_of_all_workspaces(self) -> None:
        (one, recorder), (two, _) = a_router_state(1), a_router_state(2)
        one.add_demand("club", 700, 0.0)
        recorder.updates.clear()
        one.apply_update(PeerUpdate("front-2", 1, "10.0.0.2"), 0.1)
        deliver(recorder, two, 0.2)
        assert demand_of(two, 0.2) == 700


class SilenceSuite:
    def hear(self, state: FleetState, *, peers: int, until_s: float) -> None:
        """Let a router hear its peers, each of 1,000 tokens per second."""
        for step in range(int(until_s * 2) + 1):
            for peer in range(2, 2 + peers):
                update = an_update(step * 500, step * 100, peer=peer)
                state.apply_update(update, step / 2)
            state.sweep(step / 2)

    def sweep(self, state: FleetState, begin_s: float, end_s: float) -> None:
        now_s = begin_s
        while (now_s := now_s + 0.25) <= end_s:
            state.sweep(now_s)

    def test_a_router_that_hears_no_one_assumes_no_less_demand(self) -> None:
        state, _ = a_router_state(1)
        self.hear(state, peers=3, until_s=8.0)
        before = demand_of(state, 8.0)
        assert not state.shares.stale
        self.sweep(state, 8.0, 8.0 + 0.9 * CUT_OFF_TIMEOUT_S)
        now_s = 8.0 + 0.9 * CUT_OFF_TIMEOUT_S
        assert state.shares.stale
        assert demand_of(state, now_s) == pytest.approx(before, rel=0.2)
        # What it assumed is corrected by the next update.
        state.apply_update(an_update(16_000 // 2, 0), now_s)
        after = demand_of(state, now_s)
        assert after == pytest.approx(before * 2 / 3, rel=0.3)

    def test_a_cut_off_router_forgets_its_peers_in_the_end(self) -> None:
        state, _ = a_router_state(1)
        self.hear(state, peers=3, until_s=8.0)
        end_s = 8.0 + CUT_OFF_TIMEOUT_S + 6.0
        self.sweep(state, 8.0, end_s)
        assert demand_of(state, end_s) == 0.0
        assert not state.shares.stale

    def test_a_peer_that_alone_is_silent_is_not_assumed_to_go_on(self) -> None:
        state, _ = a_router_state(1)
        self.hear(state, peers=3, until_s=8.0)
        now_s = 8.0
        while now_s < 8.0 + PEER_TIMEOUT_S + 5.0:
            now_s += 0.25
            for peer in (3, 4):
                update = PeerUpdate(f"front-{peer}", 1, f"10.0.0.{peer}")
                state.apply_update(update, now_s)
            state.sweep(now_s)
        assert demand_of(state, now_s) == 0.0
        assert not state.shares.stale

    def test_one_lost_heartbeat_is_no_silence(self) -> None:
        state, _ = a_router_state(1)
        self.hear(state, peers=3, until_s=8.0)
        before = demand_of(state, 8.0)
        self.sweep(state, 8.0, 8.0 + 0.9 * SILENT_S)
        assert not state.shares.stale
        assert demand_of(state, 8.0 + 0.9 * SILENT_S) <= before
