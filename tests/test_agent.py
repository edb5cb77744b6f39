"""The agent's core takes, refuses, runs and resumes attempts truthfully."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bulrushstream.coordination.agent import (
    AgentOptions,
)
from bulrushstream.state.config import ServiceUnit, Workspace
from bulrushstream.state.effect import (
    CancelRun,
    Decision,
)
from bulrushstream.state.event import (
    CacheReported,
    ConfigChanged,
    DrainStarted,
    LoadReported,
    PeerDown,
    PeerLost,
    PeerUp,
    RunBody,
    RunEnd,
)
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import (
    Ack,
    Cached,
    Cancel,
    Dispatch,
    Gone,
    Goodbye,
    Idle,
    NoWork,
    Part,
    PartKind,
    Pull,
    Refuse,
    RefuseReason,
    Resume,
    Revoke,
    Served,
)
from bulrushstream.state.request import Outcome
from tests.agents import ROUTER, Bench, end
from tests.builders import a_config, a_router, an_attempt


class PlacementSuite:
    def test_an_engine_that_has_loaded_nothing_gets_no_work(self) -> None:
        bench = Bench()
        bench.state.loaded_models = frozenset()
        bench.waiting(("school", 3))
        assert not bench.sent(Pull)
        bench.get(an_attempt("q1"))
        assert not bench.started()
        assert bench.sent(Refuse)
        bench.state.loaded_models = frozenset({"m"})
        bench.tick(1.0)
        assert bench.sent(Pull)


class AdmissionSuite:
    def test_starts_within_its_slots_and_refuses_beyond(self) -> None:
        bench = Bench(slots=2)
        for number in range(3):
            bench.get(an_attempt(f"q{number}"))
        assert bench.started() == []
        assert bench.sent(Refuse) == [Refuse("q2", 1, RefuseReason.BUSY)]
        assert bench.state.running_count == 2

    def test_a_refused_attempt_never_starts(self) -> None:
        bench = Bench(slots=1)
        bench.get(an_attempt("q1"))
        bench.get(an_attempt("q2"))
        bench.do(end("q1"))
        bench.get(an_attempt("q2"))
        assert bench.sent(Refuse) == [Refuse("q2", 1, RefuseReason.REVOKED)]
        bench.get(an_attempt("q2", attempt=2))
        assert bench.started() == ["q2"]

    def test_a_doubled_dispatch_runs_once(self) -> None:
        bench = Bench()
        bench.get(an_attempt())
        assert bench.started() == ["q1"]
        bench.get(an_attempt())
        assert bench.started() == []
        bench.do(end())
        bench.get(Ack("q1", 1, 1))
        bench.get(an_attempt())
        assert bench.started() == []
        assert bench.state.running_count == 0

    @pytest.mark.parametrize(
        ("dispatch", "reason"),
        [
            (an_attempt(incarnation=7), RefuseReason.STALE),
            (an_attempt(timeout_s=0.0), RefuseReason.EXPIRED),
            (an_attempt(model="other"), RefuseReason.LOADING),
        ],
    )
    def test_refuses(self, dispatch: Dispatch, reason: RefuseReason) -> None:
        bench = Bench()
        bench.state.loaded_models = frozenset({"model"})
        bench.get(dispatch)
        assert bench.sent(Refuse) == [Refuse("q1", 1, reason)]
        assert bench.started() == []

    def test_logs_a_refusal(self) -> None:
        bench = Bench()
        effects = bench.get(an_attempt(timeout_s=0.0))
        decisions = [e for e in effects if isinstance(e, Decision)]
        assert [(d.kind, d.reason) for d in decisions] == [
            ("refuse", "expired")
        ]

    def test_a_suspect_runs_alone(self) -> None:
        bench = Bench(slots=2)
        bench.get(an_attempt("q1"))
        bench.get(an_attempt("bad", alone=True))
        assert bench.started() == []
        bench.get(an_attempt("q2"))
        assert bench.sent(Refuse) == [Refuse("q2", 1, RefuseReason.BUSY)]
        bench.get(an_attempt("bad2", alone=True))
        assert bench.sent(Refuse) == [Refuse("bad2", 1, RefuseReason.SUSPECT)]
        bench.do(end("q1"))
        assert bench.started() == ["bad"]
        bench.waiting(("school", 3))
        assert bench.sent(Pull) == []
        bench.do(end("bad"))
        assert len(bench.sent(Pull)) == 2


class PartsSuite:
    def test_numbers_parts_and_says_whole(self) -> None:
        bench = Bench()
        bench.get(an_attempt())
        bench.answer()
        bench.do(end())
        part = bench.sent(Part)[0]
        assert (part.sequence, part.kind) == (2, PartKind.END)
        assert (part.whole, part.outcome) == (True, Outcome.RAN)

    @pytest.mark.parametrize(
        ("event", "outcome"),
        [
            (end(whole=False), Outcome.UNKNOWN),
            (end(whole=False, crashed=True), Outcome.UNKNOWN),
            (end(whole=False, started=False), Outcome.NOT_RUN),
        ],
    )
    def test_says_what_is_known(self, event: RunEnd, outcome: Outcome) -> None:
        bench = Bench()
        bench.get(an_attempt())
        bench.do(event)
        part = bench.sent(Part)[0]
        assert (part.whole, part.outcome) == (False, outcome)
        assert part.crashed is event.crashed

    def test_resumes_from_the_first_missing_part(self) -> None:
        bench = Bench()
        bench.get(an_attempt())
        bench.answer(pieces=3)
        bench.get(Ack("q1", 1, 2))
        bench.do(PeerDown(ROUTER.key))
        bench.do(RunBody("q1", 1, b"late", 1))
        assert bench.sent(Part) == []
        bench.do(PeerUp(ROUTER), 1.0)
        bench.get(Resume("q1", 1, 3))
        assert [p.sequence for p in bench.sent(Part)] == [3, 4]
        bench.do(end())
        assert bench.sent(Part)[0].sequence == 5

    def test_sends_the_rest_again_until_it_is_acknowledged(self) -> None:
        bench = Bench()
        bench.get(an_attempt())
        bench.answer()
        bench.get(Ack("q1", 1, 1))
        bench.do(end())
        bench.tick(0.5)
        assert bench.sent(Part) == []
        bench.tick(0.6)
        assert [part.sequence for part in bench.sent(Part)] == [1, 2]
        bench.tick(0.5)
        assert bench.sent(Part) == []
        bench.get(Ack("q1", 1, 3))
        bench.tick(1.0)
        assert bench.sent(Part) == []

    def test_an_unknown_attempt_becomes_impossible(self) -> None:
        bench = Bench()
        bench.get(Resume("q1", 1, 0))
        assert bench.sent(Gone) == [Gone("q1", 1, Outcome.NOT_RUN)]
        bench.get(an_attempt())
        assert bench.sent(Refuse) == [Refuse("q1", 1, RefuseReason.REVOKED)]

    def test_forgets_an_acknowledged_answer_but_not_its_fate(self) -> None:
        bench = Bench()
        bench.get(an_attempt())
        bench.do(end())
        bench.get(Ack("q1", 1, 1))
        assert not bench.state.runs
        assert bench.state.replay_bytes == 0
        bench.get(Resume("q1", 1, 1))
        assert bench.sent(Gone) == [Gone("q1", 1, Outcome.RAN)]

    def test_a_full_replay_buffer_ends_resumption_only(self) -> None:
        bench = Bench(options=AgentOptions(replay_limit_bytes=300))
        bench.get(an_attempt())
        bench.answer(pieces=4)
        assert bench.sent(Part)[0].sequence == 4
        assert bench.state.replay_bytes <= 300
        bench.get(Resume("q1", 1, 1))
        assert bench.sent(Gone) == [Gone("q1", 1, Outcome.UNKNOWN)]


class RevokeSuite:
    def test_wins_over_a_start_that_has_not_come(self) -> None:
        bench = Bench()
        bench.get(Revoke("q1", 1))
        assert bench.sent(Refuse) == [Refuse("q1", 1, RefuseReason.REVOKED)]
        bench.get(an_attempt())
        assert bench.started() == []

    def test_comes_too_late_for_a_run(self) -> None:
        bench = Bench()
        bench.get(an_attempt())
        bench.get(Revoke("q1", 1))
        assert bench.sent(Gone) == [Gone("q1", 1, Outcome.UNKNOWN)]
        assert bench.state.running_count == 1

    def test_cancel_stops_a_run_and_frees_its_slot(self) -> None:
        bench = Bench(slots=1)
        bench.get(an_attempt())
        effects = bench.get(Cancel("q1", 1))
        assert CancelRun("q1", 1) in effects
        assert bench.state.running_count == 1
        bench.tick(3.0)
        assert bench.state.running_count == 0

    def test_cancel_leaves_a_tombstone(self) -> None:
        bench = Bench()
        bench.get(Cancel("q1", 1))
        bench.get(an_attempt())
        assert bench.started() == []


class LostRouterSuite:
    def test_its_backlog_vanishes_at_once(self) -> None:
        bench = Bench()
        bench.waiting(("school", 1))
        assert len(bench.sent(Pull)) == 1
        bench.do(PeerDown(ROUTER.key))
        assert not list(bench.state.backlogs.workspaces())
        assert not bench.state.pulls

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_only_idempotent_runs_are_stopped(self, idempotent: bool) -> None:
        bench = Bench()
        bench.get(an_attempt(idempotent=idempotent))
        bench.do(PeerDown(ROUTER.key))
        assert not any(isinstance(e, CancelRun) for e in bench.tick(9.0))
        stopped = any(isinstance(e, CancelRun) for e in bench.tick(2.0))
        assert stopped is idempotent

    def test_a_lost_routers_idempotent_runs_are_stopped_at_once(
        self,
    ) -> None:
        bench = Bench()
        bench.get(an_attempt(idempotent=True))
        bench.do(PeerDown(ROUTER.key))
        effects = bench.do(PeerLost(ROUTER.key))
        assert CancelRun("q1", 1) in effects

    def test_a_new_incarnation_ends_the_old_one(self) -> None:
        bench = Bench()
        bench.get(an_attempt(idempotent=True))
        bench.do(PeerDown(ROUTER.key))
        again = replace(ROUTER, key=InstanceKey(ROUTER.key.instance, 2))
        assert CancelRun("q1", 1) in bench.do(PeerUp(again))

    def test_a_connected_router_is_not_lost(self) -> None:
        bench = Bench(slots=1)
        bench.do(PeerLost(ROUTER.key))
        bench.waiting(("school", 1))
        assert len(bench.sent(Pull)) == 1
        bench.get(an_attempt(idempotent=True))
        assert CancelRun("q1", 1) in bench.do(PeerDown(ROUTER.key))


class PullSuite:
    def test_pulls_for_each_free_slot(self) -> None:
        bench = Bench(slots=2)
        bench.waiting(("school", 5))
        assert len(bench.sent(Pull)) == 2

    def test_no_more_pulls_than_requests_wait(self) -> None:
        bench = Bench(slots=2)
        bench.waiting(("school", 1))
        assert len(bench.sent(Pull)) == 1

    def test_asks_again_after_a_lost_answer(self) -> None:
        bench = Bench(slots=1)
        bench.waiting(("school", 1))
        bench.tick(0.5)
        assert bench.sent(Pull) == []
        bench.tick(0.6)
        assert len(bench.sent(Pull)) == 1

    def test_a_router_without_work_is_muted_until_it_says_more(
        self,
    ) -> None:
        bench = Bench(slots=1)
        bench.waiting(("school", 1))
        bench.get(NoWork(bench.sent(Pull)[0].pull_id))
        assert bench.sent(Pull) == []
        bench.waiting(("school", 1), sequence=2)
        assert len(bench.sent(Pull)) == 1

    def test_pulls_ahead_of_the_end_when_runs_are_short(self) -> None:
        bench = Bench(slots=2)
        bench.waiting(("school", 20))
        for pull in bench.sent(Pull):
            bench.now_s += 0.01
            bench.get(an_attempt(f"q{pull.pull_id}", pull_id=pull.pull_id))
        bench.do(end("q1"), 0.05)
        pulls = bench.sent(Pull)
        assert len(pulls) == 2
        for pull in pulls:
            bench.get(an_attempt(f"q{pull.pull_id}", pull_id=pull.pull_id))
        held = [r for r in bench.state.active.values() if r.started_s == 0]
        assert [run.dispatch.request_id for run in held] == ["q4"]
        bench.get(Revoke("q4", 1))
        assert bench.sent(Refuse) == [Refuse("q4", 1, RefuseReason.REVOKED)]

    def test_a_workspace_that_came_back_overtakes_what_is_held(self) -> None:
        bench = Bench(slots=1)
        bench.waiting(("council", 20))
        bench.now_s += 0.01
        bench.get(an_attempt("q1", pull_id=1, workspace="council"))
        bench.do(end("q1"), 0.05)
        for pull_id in (2, 3):
            bench.get(
                an_attempt(f"q{pull_id}", pull_id=pull_id, workspace="council")
            )
        bench.waiting(("club", 1), sequence=2)
        assert [pull.workspace for pull in bench.sent(Pull)] == ["club"]
        bench.get(an_attempt("q4", pull_id=4, workspace="club"))
        assert bench.started() == []
        bench.do(end("q2"), 0.05)
        assert bench.started() == ["q4"]
        bench.do(end("q4"), 0.05)
        assert bench.started() == ["q3"]

    def test_gives_back_what_it_holds_when_nothing_else_waits(self) -> None:
        bench = Bench(slots=1)
        bench.waiting(("school", 20))
        pull_id = bench.sent(Pull)[0].pull_id
        bench.now_s += 0.01
        bench.get(an_attempt("q1", pull_id=pull_id))
        bench.do(end("q1"), 0.05)
        for pull in bench.sent(Pull):
            bench.get(an_attempt(f"q{pull.pull_id}", pull_id=pull.pull_id))
        assert len(bench.state.active) == 2
        bench.waiting(("school", 0), sequence=2)
        assert bench.sent(Refuse) == [Refuse("q3", 1, RefuseReason.BUSY)]
        assert list(bench.state.active) == [("q2", 1)]

    def test_announces_room_without_work_and_takes_it_back(self) -> None:
        bench = Bench(slots=2)
        assert [idle.free_slots for idle in bench.sent(Idle)] == [2]
        bench.get(an_attempt("q1"))
        bench.get(an_attempt("q2"))
        # The router counted both down itself.
        bench.tick(0.1)
        assert bench.sent(Idle) == []
        bench.do(end("q1"))
        assert [idle.free_slots for idle in bench.sent(Idle)] == [1]


class BreakerSuite:
    def test_opens_probes_and_closes(self) -> None:
        bench = Bench(slots=3)
        for number in range(3):
            bench.get(an_attempt(f"q{number}"))
        for number in range(3):
            bench.do(end(f"q{number}", whole=False, crashed=True))
        bench.waiting(("school", 9))
        assert bench.sent(Pull) == []
        bench.get(an_attempt("q9"))
        assert bench.sent(Refuse) == [Refuse("q9", 1, RefuseReason.OPEN)]
        bench.tick(1.3)
        pulls = bench.sent(Pull)
        assert len(pulls) == 1
        bench.get(an_attempt("q10", pull_id=pulls[0].pull_id))
        bench.do(end("q10"))
        assert len(bench.sent(Pull)) == 3


class SlotsSuite:
    def test_grows_while_full_and_shrinks_by_the_engines_queue(
        self,
    ) -> None:
        bench = Bench(slots=2, max_slots=4)
        for number in range(2):
            bench.get(an_attempt(f"q{number}"))
        bench.do(LoadReported(2, 0, True))
        assert bench.state.slots.limit == 3
        bench.get(an_attempt("q2"))
        bench.do(LoadReported(3, 2, True), 1.0)
        assert bench.state.slots.limit == 3
        bench.do(LoadReported(2, 1, True), 1.5)
        assert bench.state.slots.limit == 2

    def test_stays_fixed_without_a_range(self) -> None:
        bench = Bench(slots=1)
        bench.get(an_attempt())
        bench.do(LoadReported(1, 0, True))
        assert bench.state.slots.limit == 1


class DrainSuite:
    def test_takes_nothing_new_and_finishes_what_runs(self) -> None:
        bench = Bench()
        bench.get(an_attempt("q1"))
        bench.do(DrainStarted())
        assert bench.sent(Goodbye) == [Goodbye(1)]
        bench.get(an_attempt("q2"))
        assert bench.sent(Refuse) == [Refuse("q2", 1, RefuseReason.DRAINING)]
        bench.waiting(("school", 1))
        assert bench.sent(Pull) == []
        bench.do(end("q1"))
        assert not bench.state.idle
        bench.get(Ack("q1", 1, 1))
        assert bench.state.idle


class ReportSuite:
    def test_reports_seconds_while_a_request_runs(self) -> None:
        bench = Bench()
        bench.get(an_attempt(cost_hint=5.0))
        bench.tick(2.0)
        entry = bench.sent(Served)[0].entries[0]
        assert (entry.workspace, entry.total) == ("school", 2.0)
        assert entry.in_flight == 3.0

    def test_weighs_service_at_the_time_of_its_use(self) -> None:
        bench = Bench()
        heavy = a_config(workspaces=(Workspace("school", weight=2.0),))
        bench.do(ConfigChanged(heavy))
        bench.get(an_attempt())
        bench.do(end(), 3.0)
        bench.do(ConfigChanged(a_config()))
        assert bench.state.shares.counter("school") == 1.5

    def test_counts_tokens_and_the_prompt(self) -> None:
        bench = Bench()
        tokens = a_config(unit=ServiceUnit.TOKENS)
        bench.do(ConfigChanged(tokens))
        dispatch = replace(an_attempt(), body=b"x" * 320)
        bench.get(dispatch)
        bench.do(RunBody("q1", 1, b"data", 25), 4.0)
        assert bench.state.shares.counter("school") == 10 + 25

    def test_says_nothing_when_nothing_changed(self) -> None:
        bench = Bench()
        bench.get(an_attempt())
        bench.do(end(), 1.0)
        bench.tick(1.0)
        bench.tick(5.0)
        assert bench.sent(Served) == []

    def test_a_gap_in_cache_reports_drops_what_was_known(self) -> None:
        bench = Bench()
        bench.do(CacheReported(1, (7,), ()))
        bench.do(CacheReported(3, (8,), ()))
        assert bench.sent(Cached) == [Cached(True, (8,), ())]
        bench.do(PeerUp(a_router("router-2")))
        assert bench.sent(Cached) == [Cached(True, (8,), ())]
