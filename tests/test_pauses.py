"""A router that stood still decides by what it could hear.

Timers run first after a pause, before what has arrived meanwhile is read.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final

import pytest

from bulrushstream.coordination.fleetview import PEER_TIMEOUT_S
from bulrushstream.coordination.looplag import TICK_S
from bulrushstream.coordination.routerpresence import (
    ASSUMED_ALONE_S,
    FORGOTTEN_S,
    SILENT_S,
)
from bulrushstream.coordination.wakefulness import (
    PAUSE_S as PAUSE_GAP_S,
)
from bulrushstream.coordination.wakefulness import (
    Wakefulness,
)
from tests.checkedstreams import EVENTS, Answer, Endpoints
from tests.crashingendpoints import (
    After,
    Body,
    Ending,
    Link,
    Point,
    Unframed,
)
from tests.crashplans import TIMEOUT_S, CrashHistory, Prompts
from tests.deployments import a_prompt
from tests.pausedrouters import (
    ROUTERS,
    PausedPlay,
    PausedRouter,
    PausePlan,
    play_pauses,
    probe_as_it_stops,
    run_awake,
)
from tests.test_fleetstate import a_router_state
from tests.test_repeated_refusals import body_of

PAUSE_S: Final = 2.5
SOUND: Final = Prompts(b"sound", (("a1", "a2"),), per_s=20.0, end_s=6.0)
PEERS: Final = ROUTERS - 1


def a_plan(path: str, **changes: Any) -> PausePlan:
    """Return a run of one router that stands still amid many answers."""
    values: dict[str, Any] = {
        "prompts": (_prompts(path),),
        "routers": 1,
        "background_per_s": 0.01,
        "pauses": ((3.0, PAUSE_S),),
        "end_s": 12.0,
    }
    return PausePlan(**{**values, **changes})


def _prompts(path: str, body: bytes = b"sound") -> Prompts:
    return Prompts(
        SOUND.label, SOUND.groups, SOUND.per_s, body, path, end_s=6.0
    )


def overdue(history: CrashHistory) -> list[str]:
    """Return the attempts that were given up for want of progress."""
    return [
        line.reason
        for line in history.lines("attempt_failed")
        if "overdue" in line.reason
    ]


def silent(history: CrashHistory) -> list[str]:
    """Return the runs that were taken for silent."""
    return [
        line.reason
        for line in history.lines("run_broken")
        if line.reason == "silent"
    ]


class WakefulnessSuite:
    def test_any_timer_may_find_a_pause(self) -> None:
        """Guards against a pause that shows only with the next tick."""
        wakefulness = Wakefulness()
        wakefulness.tick(10.0)
        wakefulness.tick(10.0 + TICK_S)
        assert wakefulness.awake_since_s(10.1) == float("-inf")
        assert wakefulness.awake_since_s(13.0) == 13.0
        assert wakefulness.counts_from_s(10.0, 13.01) == 13.0
        assert wakefulness.counts_from_s(13.005, 13.01) == 13.005
        wakefulness.tick(13.02)
        assert wakefulness.awake_since_s(13.03) == 13.0

    def test_a_tick_finds_a_pause(self) -> None:
        """Guards against a pause that nobody asked for in time."""
        wakefulness = Wakefulness()
        wakefulness.tick(10.0)
        assert wakefulness.tick(13.0) == 3.0
        wakefulness.tick(13.0 + TICK_S)
        assert wakefulness.awake_since_s(13.06) == 13.0

    @pytest.mark.parametrize("ticks_first", (False, True))
    def test_a_suspended_machine_is_a_pause(self, ticks_first: bool) -> None:
        """Guards against a pause in which the loop's clock stops."""
        router = PausedRouter()
        router.run(2.0)
        wakefulness = router.router.front.wakefulness
        now_s = router.clock.now()
        assert wakefulness.awake_since_s(now_s) == float("-inf")
        router.suspended_s = 30.0
        if ticks_first:
            router.tick()
        assert wakefulness.awake_since_s(now_s) == now_s
        router.run(1.0)
        assert wakefulness.awake_since_s(router.clock.now()) == now_s

    def test_a_process_that_ticks_in_time_was_awake(self) -> None:
        """Guards against silence that never counts."""
        wakefulness = Wakefulness()
        assert wakefulness.awake_since_s(5.0) == float("-inf")
        for step in range(100):
            wakefulness.tick(10.0 + step * (PAUSE_GAP_S - 0.001))
            now_s = 10.0 + step * (PAUSE_GAP_S - 0.001) + 0.1
            assert wakefulness.awake_since_s(now_s) == float("-inf")


class OverdueSuite:
    @pytest.mark.parametrize("path", ("/talk/", "/tell/", "/safe/"))
    @pytest.mark.parametrize("begin_s", (3.0, 3.01, 3.02, 3.03, 3.04))
    def test_an_endpoint_that_was_not_heard_is_not_overdue(
        self, path: str, begin_s: float
    ) -> None:
        """Guards against attempts given up with their answers unread."""
        plan = a_plan(path, pauses=((begin_s, PAUSE_S),))
        history = play_pauses(plan)
        assert overdue(history) == []
        assert len(history.sent[SOUND.label]) == len(history.ids[SOUND.label])
        assert history.served_share(SOUND.label, 0.0) == 1.0

    def test_one_that_is_silent_after_the_pause_is(self) -> None:
        """Guards against a pause after which nothing is overdue."""
        plan = a_plan(
            "/talk/",
            prompts=(
                Prompts(
                    SOUND.label,
                    SOUND.groups,
                    2.0,
                    Body.CRASH,
                    "/talk/",
                    begin_s=2.5,
                    end_s=3.0,
                ),
            ),
            ending=Ending(Point.BEFORE, Link.SILENT, After.MUTE),
            pauses=((3.0, 1.0),),
        )
        history = play_pauses(plan)
        assert history.crashes_s
        assert overdue(history)

    def test_a_pause_does_not_lengthen_a_deadline(self) -> None:
        """Guards against callers who are kept beyond their deadline."""
        plan = a_plan(
            "/talk/",
            prompts=(_prompts("/talk/", Body.CRASH),),
            ending=Ending(Point.BEFORE, Link.SILENT, After.MUTE),
        )
        history = play_pauses(plan)
        ends = [
            (at_s, at_s - line.waited_s)
            for at_s, _, line in history.decisions
            if line.kind == "finish"
        ]
        assert ends
        for end_s, arrived_s in ends:
            assert end_s <= max(arrived_s + TIMEOUT_S, 3.0 + PAUSE_S)


class SilenceSuite:
    @pytest.mark.parametrize("path", ("/talk/", "/tell/", "/safe/", "/once/"))
    @pytest.mark.parametrize("begin_s", (3.0, 3.01, 3.02, 3.03, 3.04))
    def test_an_endpoint_that_was_not_heard_is_not_silent(
        self, path: str, begin_s: float
    ) -> None:
        """Guards against endpoints taken for dead with bytes unread."""
        plan = a_plan(path, pauses=((begin_s, PAUSE_S),))
        assert silent(play_pauses(plan)) == []

    @pytest.mark.parametrize("path", ("/talk/", "/safe/"))
    def test_a_run_that_is_cancelled_after_a_pause_is_not(
        self, path: str
    ) -> None:
        """Guards against strikes for callers who left during a pause."""
        prompts = Prompts(
            SOUND.label,
            SOUND.groups,
            SOUND.per_s,
            b"sound",
            path,
            end_s=6.0,
            leave_s=0.9,
        )
        history = play_pauses(a_plan(path, prompts=(prompts,)))
        assert silent(history) == []

    def test_one_that_is_silent_after_the_pause_is(self) -> None:
        """Guards against crashes that a pause hides."""
        plan = a_plan(
            "/tell/",
            prompts=(_prompts("/tell/", Body.CRASH),),
            ending=Ending(Point.BEFORE, Link.SILENT, After.MUTE),
            pauses=((0.9, 0.5),),
        )
        assert silent(play_pauses(plan))

    def test_each_silence_is_judged_once(self) -> None:
        """Guards against a second strike after each pause."""
        plan = a_plan(
            "/tell/",
            prompts=(_prompts("/tell/", Body.CRASH),),
            ending=Ending(Point.BEFORE, Link.SILENT, After.MUTE),
            pauses=((2.0, 0.3), (2.5, 0.3), (3.0, 0.3)),
        )
        history = play_pauses(plan)
        runs = [
            (line.request_id, line.endpoint)
            for line in history.lines("run_broken")
            if line.reason == "silent"
        ]
        assert runs
        assert len(set(runs)) == len(runs)


class PeersSuite:
    """What a router that stood still thinks of its peers."""

    def test_no_peer_is_removed_unheard(self) -> None:
        """Guards against peers whose heartbeats lie unread."""
        router = PausedRouter()
        router.run(2.0)
        router.stand_still(PEER_TIMEOUT_S + 1.0)
        router.sweep()
        assert len(router.state.peers.peers) == PEERS
        router.tick()
        router.sweep()
        assert len(router.state.peers.peers) == PEERS

    def test_a_peer_that_is_silent_after_the_pause_is_removed(self) -> None:
        """Guards against peers that a pause keeps for good."""
        router = PausedRouter()
        router.run(2.0)
        router.stand_still(PEER_TIMEOUT_S + 1.0)
        router.run(PEER_TIMEOUT_S + 0.5, peers=(1,))
        assert set(router.state.peers.peers) == {"front-1"}

    def test_hosts_are_told_on(self) -> None:
        """Guards against a router that tells nobody after a long pause."""
        router = PausedRouter()
        router.run(2.0)
        router.stand_still(100.0)
        router.sweep()
        assert router.state.peers.router_count == ROUTERS


class SharesSuite:
    """What a router that stood still leaves to its peers."""

    @pytest.mark.parametrize("heard", (0, 1))
    @pytest.mark.parametrize("pause_s", (SILENT_S, 11.0, 1000.0))
    def test_the_share_of_peers_not_heard_yet_is_left_to_them(
        self, heard: int, pause_s: float
    ) -> None:
        """Guards against a limit that is used whole after a long pause."""
        router = PausedRouter()
        router.run(2.0)
        router.stand_still(pause_s + 0.1)
        router.sweep()
        for number in range(1, 1 + heard):
            router.hear(number)
        now_s = router.clock.now()
        share = router.state.limits.presence.heard_share("e-1", now_s)
        assert share == pytest.approx((1 + heard) / ROUTERS)

    def test_the_share_of_peers_that_are_gone_is_used(self) -> None:
        """Guards against limits that a pause leaves unused for good."""
        router = PausedRouter()
        router.run(2.0)
        router.stand_still(11.0)
        router.run(ASSUMED_ALONE_S, peers=(1,))
        now_s = router.clock.now()
        assert router.state.limits.presence.heard_share("e-1", now_s) == 1.0

    def test_the_roster_keeps_the_routers(self) -> None:
        """Guards against cold endpoints that get another router's part."""
        router = PausedRouter()
        router.run(2.0)
        roster = router.state.cold.bounds.roster
        roster.hosts = tuple
        assert roster.count == ROUTERS
        router.stand_still(FORGOTTEN_S + 1.0)
        router.sweep()
        assert roster.count == ROUTERS


class SpeedsSuite:
    def test_an_engine_is_not_slow_for_a_short_pause(self) -> None:
        """Guards against speeds learned from what was read after a pause."""
        state, _ = a_router_state(1)
        endpoint = state.pool.by_name["e-1"]
        run_awake(state, 0.0, 10.0)
        state.sweep(10.0)
        call = state.place(endpoint, a_prompt((9, 6000)), "", 10.0, 1e9)
        state.first_event(endpoint, call, 10.5)
        assert endpoint.view is not None
        assert endpoint.view.slowness_at(10.5) == 1.0


class ProofSuite:
    """Endpoints that are asked whether they live as the router stops."""

    @pytest.mark.parametrize("path", ("/talk/", "/tell/", "/safe/"))
    @pytest.mark.parametrize("begin_s", (3.0, 3.02, 3.04))
    def test_a_proof_of_life_may_lie_unread(
        self, path: str, begin_s: float
    ) -> None:
        """Guards against whole answers that are thrown away."""
        body = f"{Body.UNFRAMED.decode()}:{Unframed.CLOSED}:".encode()
        plan = a_plan(
            path,
            prompts=(_prompts(path, body),),
            pauses=((begin_s, PAUSE_S),),
        )
        history = play_pauses(plan)
        failed = [
            line.reason
            for line in history.lines("attempt_failed")
            if "nothing proves" in line.reason
        ]
        assert failed == []

    @pytest.mark.parametrize("delay_s", (0.1, 0.4, 9.0))
    def test_an_answer_to_a_probe_may_lie_unread(self, delay_s: float) -> None:
        """Guards against strikes for probes that were answered."""
        unanswered = probe_as_it_stops(delay_s, PAUSE_S)
        assert unanswered == (delay_s > 1.0)


class EndCheckSuite:
    @pytest.mark.parametrize("begin_s", (0.62, 0.65, 0.7, 0.75, 0.8))
    def test_a_check_may_have_its_result_unread(self, begin_s: float) -> None:
        """Guards against ends that are believed for want of time."""
        body = f"{Body.UNFRAMED.decode()}:{Unframed.CLOSED}:".encode()
        prompts = replace(_prompts("/talk/", body), per_s=60.0)
        plan = a_plan(
            "/talk/", prompts=(prompts,), pauses=((begin_s, PAUSE_S),)
        )
        checks = play_pauses(plan).lines("end_check")
        assert checks
        assert [
            line.reason
            for line in checks
            if "it took too long" in (line.reason, line.outcome)
            and line.waited_s < TIMEOUT_S - 0.5
        ] == []


class HeldEventSuite:
    @pytest.mark.parametrize("path", ("/talk/", "/tell/"))
    def test_what_followed_is_read_first(self, path: str) -> None:
        """Guards against a damaged event that a pause lets out."""
        damaged = b"xd: 2\ndata: x\n\n"
        odd = Answer(
            until=1,
            more=damaged + EVENTS[2],
            first_bytes=len(EVENTS[0] + damaged),
            pause_s=0.2,
        )
        endpoints = Endpoints([Answer()] * 80 + [odd, Answer()])
        play = PausedPlay(requests=81, path=path, alike=False, pause_s=PAUSE_S)
        play.run(endpoints)
        _, body, _ = body_of(play.callers[-1].data)
        assert body.startswith(EVENTS[0])
        assert damaged not in body
