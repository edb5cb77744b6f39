"""The agent core: admission, pulls, replay of parts, drain and reports."""

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
from tests.agents import ROUTER, AgentDriver, run_end
from tests.builders import a_config, a_router, an_attempt


class LoadedModelSuite:
    def test_an_engine_without_a_loaded_model_gets_no_work(self) -> None:
        agent = AgentDriver()
        agent.state.loaded_models = frozenset()
        agent.announce_backlog(("school", 3))
        assert not agent.sent(Pull)
        agent.receive(an_attempt("q1"))
        assert not agent.started()
        assert agent.sent(Refuse)
        agent.state.loaded_models = frozenset({"m"})
        agent.tick(1.0)
        assert agent.sent(Pull)


class AdmissionSuite:
    def test_starts_within_its_slots_and_refuses_beyond(self) -> None:
        agent = AgentDriver(slots=2)
        for number in range(3):
            agent.receive(an_attempt(f"q{number}"))
        assert agent.started() == []
        assert agent.sent(Refuse) == [Refuse("q2", 1, RefuseReason.BUSY)]
        assert agent.state.running_count == 2

    def test_a_refused_attempt_never_starts(self) -> None:
        agent = AgentDriver(slots=1)
        agent.receive(an_attempt("q1"))
        agent.receive(an_attempt("q2"))
        agent.on(run_end("q1"))
        agent.receive(an_attempt("q2"))
        assert agent.sent(Refuse) == [Refuse("q2", 1, RefuseReason.REVOKED)]
        agent.receive(an_attempt("q2", attempt=2))
        assert agent.started() == ["q2"]

    def test_a_duplicate_dispatch_runs_once(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt())
        assert agent.started() == ["q1"]
        agent.receive(an_attempt())
        assert agent.started() == []
        agent.on(run_end())
        agent.receive(Ack("q1", 1, 1))
        agent.receive(an_attempt())
        assert agent.started() == []
        assert agent.state.running_count == 0

    @pytest.mark.parametrize(
        ("dispatch", "reason"),
        [
            (an_attempt(incarnation=7), RefuseReason.STALE),
            (an_attempt(timeout_s=0.0), RefuseReason.EXPIRED),
            (an_attempt(model="other"), RefuseReason.LOADING),
        ],
    )
    def test_refusal_reason(
        self, dispatch: Dispatch, reason: RefuseReason
    ) -> None:
        agent = AgentDriver()
        agent.state.loaded_models = frozenset({"model"})
        agent.receive(dispatch)
        assert agent.sent(Refuse) == [Refuse("q1", 1, reason)]
        assert agent.started() == []

    def test_logs_a_refusal(self) -> None:
        agent = AgentDriver()
        effects = agent.receive(an_attempt(timeout_s=0.0))
        decisions = [e for e in effects if isinstance(e, Decision)]
        assert [(d.kind, d.reason) for d in decisions] == [
            ("refuse", "expired")
        ]

    def test_a_suspected_request_runs_alone(self) -> None:
        agent = AgentDriver(slots=2)
        agent.receive(an_attempt("q1"))
        agent.receive(an_attempt("bad", alone=True))
        assert agent.started() == []
        agent.receive(an_attempt("q2"))
        assert agent.sent(Refuse) == [Refuse("q2", 1, RefuseReason.BUSY)]
        agent.receive(an_attempt("bad2", alone=True))
        assert agent.sent(Refuse) == [Refuse("bad2", 1, RefuseReason.SUSPECT)]
        agent.on(run_end("q1"))
        assert agent.started() == ["bad"]
        agent.announce_backlog(("school", 3))
        assert agent.sent(Pull) == []
        agent.on(run_end("bad"))
        assert len(agent.sent(Pull)) == 2


class PartsSuite:
    def test_numbers_parts_and_marks_a_complete_answer(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt())
        agent.respond()
        agent.on(run_end())
        part = agent.sent(Part)[0]
        assert (part.sequence, part.kind) == (2, PartKind.END)
        assert (part.whole, part.outcome) == (True, Outcome.RAN)

    @pytest.mark.parametrize(
        ("event", "outcome"),
        [
            (run_end(complete=False), Outcome.UNKNOWN),
            (run_end(complete=False, crashed=True), Outcome.UNKNOWN),
            (run_end(complete=False, started=False), Outcome.NOT_RUN),
        ],
    )
    def test_reports_the_outcome_of_an_incomplete_run(
        self, event: RunEnd, outcome: Outcome
    ) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt())
        agent.on(event)
        part = agent.sent(Part)[0]
        assert (part.whole, part.outcome) == (False, outcome)
        assert part.crashed is event.crashed

    def test_resumes_from_the_first_missing_part(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt())
        agent.respond(chunks=3)
        agent.receive(Ack("q1", 1, 2))
        agent.on(PeerDown(ROUTER.key))
        agent.on(RunBody("q1", 1, b"late", 1))
        assert agent.sent(Part) == []
        agent.on(PeerUp(ROUTER), 1.0)
        agent.receive(Resume("q1", 1, 3))
        assert [p.sequence for p in agent.sent(Part)] == [3, 4]
        agent.on(run_end())
        assert agent.sent(Part)[0].sequence == 5

    def test_resends_unacknowledged_parts(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt())
        agent.respond()
        agent.receive(Ack("q1", 1, 1))
        agent.on(run_end())
        agent.tick(0.5)
        assert agent.sent(Part) == []
        agent.tick(0.6)
        assert [part.sequence for part in agent.sent(Part)] == [1, 2]
        agent.tick(0.5)
        assert agent.sent(Part) == []
        agent.receive(Ack("q1", 1, 3))
        agent.tick(1.0)
        assert agent.sent(Part) == []

    def test_resuming_an_unknown_attempt_bars_it_from_starting(self) -> None:
        agent = AgentDriver()
        agent.receive(Resume("q1", 1, 0))
        assert agent.sent(Gone) == [Gone("q1", 1, Outcome.NOT_RUN)]
        agent.receive(an_attempt())
        assert agent.sent(Refuse) == [Refuse("q1", 1, RefuseReason.REVOKED)]

    def test_drops_an_acknowledged_answer_and_keeps_its_outcome(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt())
        agent.on(run_end())
        agent.receive(Ack("q1", 1, 1))
        assert not agent.state.runs
        assert agent.state.replay_bytes == 0
        agent.receive(Resume("q1", 1, 1))
        assert agent.sent(Gone) == [Gone("q1", 1, Outcome.RAN)]

    def test_a_full_replay_buffer_prevents_resumption_only(self) -> None:
        agent = AgentDriver(options=AgentOptions(replay_limit_bytes=300))
        agent.receive(an_attempt())
        agent.respond(chunks=4)
        assert agent.sent(Part)[0].sequence == 4
        assert agent.state.replay_bytes <= 300
        agent.receive(Resume("q1", 1, 1))
        assert agent.sent(Gone) == [Gone("q1", 1, Outcome.UNKNOWN)]


class RevokeSuite:
    def test_revoke_before_the_dispatch_prevents_the_run(self) -> None:
        agent = AgentDriver()
        agent.receive(Revoke("q1", 1))
        assert agent.sent(Refuse) == [Refuse("q1", 1, RefuseReason.REVOKED)]
        agent.receive(an_attempt())
        assert agent.started() == []

    def test_revoke_does_not_stop_a_run(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt())
        agent.receive(Revoke("q1", 1))
        assert agent.sent(Gone) == [Gone("q1", 1, Outcome.UNKNOWN)]
        assert agent.state.running_count == 1

    def test_cancel_stops_a_run_and_frees_its_slot(self) -> None:
        agent = AgentDriver(slots=1)
        agent.receive(an_attempt())
        effects = agent.receive(Cancel("q1", 1))
        assert CancelRun("q1", 1) in effects
        assert agent.state.running_count == 1
        agent.tick(3.0)
        assert agent.state.running_count == 0

    def test_cancel_leaves_a_tombstone(self) -> None:
        agent = AgentDriver()
        agent.receive(Cancel("q1", 1))
        agent.receive(an_attempt())
        assert agent.started() == []


class LostRouterSuite:
    def test_a_disconnected_routers_backlog_is_dropped_at_once(self) -> None:
        agent = AgentDriver()
        agent.announce_backlog(("school", 1))
        assert len(agent.sent(Pull)) == 1
        agent.on(PeerDown(ROUTER.key))
        assert not list(agent.state.backlogs.workspaces())
        assert not agent.state.pulls

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_only_idempotent_runs_are_stopped_after_a_timeout(
        self, idempotent: bool
    ) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt(idempotent=idempotent))
        agent.on(PeerDown(ROUTER.key))
        assert not any(isinstance(e, CancelRun) for e in agent.tick(9.0))
        stopped = any(isinstance(e, CancelRun) for e in agent.tick(2.0))
        assert stopped is idempotent

    def test_a_lost_routers_idempotent_runs_are_stopped_at_once(
        self,
    ) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt(idempotent=True))
        agent.on(PeerDown(ROUTER.key))
        effects = agent.on(PeerLost(ROUTER.key))
        assert CancelRun("q1", 1) in effects

    def test_a_new_incarnation_ends_runs_of_the_old_one(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt(idempotent=True))
        agent.on(PeerDown(ROUTER.key))
        restarted = replace(ROUTER, key=InstanceKey(ROUTER.key.instance, 2))
        assert CancelRun("q1", 1) in agent.on(PeerUp(restarted))

    def test_peer_lost_does_not_drop_a_connected_router(self) -> None:
        agent = AgentDriver(slots=1)
        agent.on(PeerLost(ROUTER.key))
        agent.announce_backlog(("school", 1))
        assert len(agent.sent(Pull)) == 1
        agent.receive(an_attempt(idempotent=True))
        assert CancelRun("q1", 1) in agent.on(PeerDown(ROUTER.key))


class PullSuite:
    def test_pulls_for_each_free_slot(self) -> None:
        agent = AgentDriver(slots=2)
        agent.announce_backlog(("school", 5))
        assert len(agent.sent(Pull)) == 2

    def test_no_more_pulls_than_requests_wait(self) -> None:
        agent = AgentDriver(slots=2)
        agent.announce_backlog(("school", 1))
        assert len(agent.sent(Pull)) == 1

    def test_pulls_again_when_no_reply_arrives(self) -> None:
        agent = AgentDriver(slots=1)
        agent.announce_backlog(("school", 1))
        agent.tick(0.5)
        assert agent.sent(Pull) == []
        agent.tick(0.6)
        assert len(agent.sent(Pull)) == 1

    def test_a_router_without_work_gets_no_pull_until_its_next_backlog(
        self,
    ) -> None:
        agent = AgentDriver(slots=1)
        agent.announce_backlog(("school", 1))
        agent.receive(NoWork(agent.sent(Pull)[0].pull_id))
        assert agent.sent(Pull) == []
        agent.announce_backlog(("school", 1), sequence=2)
        assert len(agent.sent(Pull)) == 1

    def test_pulls_ahead_when_runs_are_short(self) -> None:
        agent = AgentDriver(slots=2)
        agent.announce_backlog(("school", 20))
        for pull in agent.sent(Pull):
            agent.now_s += 0.01
            agent.receive(an_attempt(f"q{pull.pull_id}", pull_id=pull.pull_id))
        agent.on(run_end("q1"), 0.05)
        pulls = agent.sent(Pull)
        assert len(pulls) == 2
        for pull in pulls:
            agent.receive(an_attempt(f"q{pull.pull_id}", pull_id=pull.pull_id))
        held = [r for r in agent.state.active.values() if r.started_s == 0]
        assert [run.dispatch.request_id for run in held] == ["q4"]
        agent.receive(Revoke("q4", 1))
        assert agent.sent(Refuse) == [Refuse("q4", 1, RefuseReason.REVOKED)]

    def test_a_newly_active_workspace_overtakes_a_held_request(self) -> None:
        agent = AgentDriver(slots=1)
        agent.announce_backlog(("council", 20))
        agent.now_s += 0.01
        agent.receive(an_attempt("q1", pull_id=1, workspace="council"))
        agent.on(run_end("q1"), 0.05)
        for pull_id in (2, 3):
            agent.receive(
                an_attempt(f"q{pull_id}", pull_id=pull_id, workspace="council")
            )
        agent.announce_backlog(("club", 1), sequence=2)
        assert [pull.workspace for pull in agent.sent(Pull)] == ["club"]
        agent.receive(an_attempt("q4", pull_id=4, workspace="club"))
        assert agent.started() == []
        agent.on(run_end("q2"), 0.05)
        assert agent.started() == ["q4"]
        agent.on(run_end("q4"), 0.05)
        assert agent.started() == ["q3"]

    def test_refuses_held_requests_when_nothing_else_waits(self) -> None:
        agent = AgentDriver(slots=1)
        agent.announce_backlog(("school", 20))
        pull_id = agent.sent(Pull)[0].pull_id
        agent.now_s += 0.01
        agent.receive(an_attempt("q1", pull_id=pull_id))
        agent.on(run_end("q1"), 0.05)
        for pull in agent.sent(Pull):
            agent.receive(an_attempt(f"q{pull.pull_id}", pull_id=pull.pull_id))
        assert len(agent.state.active) == 2
        agent.announce_backlog(("school", 0), sequence=2)
        assert agent.sent(Refuse) == [Refuse("q3", 1, RefuseReason.BUSY)]
        assert list(agent.state.active) == [("q2", 1)]

    def test_announces_free_slots_while_no_work_waits(self) -> None:
        agent = AgentDriver(slots=2)
        assert [idle.free_slots for idle in agent.sent(Idle)] == [2]
        agent.receive(an_attempt("q1"))
        agent.receive(an_attempt("q2"))
        # The router subtracts a slot for each dispatch itself.
        agent.tick(0.1)
        assert agent.sent(Idle) == []
        agent.on(run_end("q1"))
        assert [idle.free_slots for idle in agent.sent(Idle)] == [1]


class BreakerSuite:
    def test_opens_probes_and_closes(self) -> None:
        agent = AgentDriver(slots=3)
        for number in range(3):
            agent.receive(an_attempt(f"q{number}"))
        for number in range(3):
            agent.on(run_end(f"q{number}", complete=False, crashed=True))
        agent.announce_backlog(("school", 9))
        assert agent.sent(Pull) == []
        agent.receive(an_attempt("q9"))
        assert agent.sent(Refuse) == [Refuse("q9", 1, RefuseReason.OPEN)]
        agent.tick(1.3)
        pulls = agent.sent(Pull)
        assert len(pulls) == 1
        agent.receive(an_attempt("q10", pull_id=pulls[0].pull_id))
        agent.on(run_end("q10"))
        assert len(agent.sent(Pull)) == 3


class SlotsSuite:
    def test_limit_grows_while_full_and_shrinks_with_the_engine_queue(
        self,
    ) -> None:
        agent = AgentDriver(slots=2, max_slots=4)
        for number in range(2):
            agent.receive(an_attempt(f"q{number}"))
        agent.on(LoadReported(2, 0, True))
        assert agent.state.slots.limit == 3
        agent.receive(an_attempt("q2"))
        agent.on(LoadReported(3, 2, True), 1.0)
        assert agent.state.slots.limit == 3
        agent.on(LoadReported(2, 1, True), 1.5)
        assert agent.state.slots.limit == 2

    def test_limit_stays_fixed_without_a_range(self) -> None:
        agent = AgentDriver(slots=1)
        agent.receive(an_attempt())
        agent.on(LoadReported(1, 0, True))
        assert agent.state.slots.limit == 1


class DrainSuite:
    def test_refuses_new_requests_and_finishes_running_ones(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt("q1"))
        agent.on(DrainStarted())
        assert agent.sent(Goodbye) == [Goodbye(1)]
        agent.receive(an_attempt("q2"))
        assert agent.sent(Refuse) == [Refuse("q2", 1, RefuseReason.DRAINING)]
        agent.announce_backlog(("school", 1))
        assert agent.sent(Pull) == []
        agent.on(run_end("q1"))
        assert not agent.state.idle
        agent.receive(Ack("q1", 1, 1))
        assert agent.state.idle


class ReportSuite:
    def test_reports_service_seconds_while_a_request_runs(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt(cost_hint=5.0))
        agent.tick(2.0)
        entry = agent.sent(Served)[0].entries[0]
        assert (entry.workspace, entry.total) == ("school", 2.0)
        assert entry.in_flight == 3.0

    def test_service_is_weighted_by_the_weight_at_the_time(self) -> None:
        agent = AgentDriver()
        weighted = a_config(workspaces=(Workspace("school", weight=2.0),))
        agent.on(ConfigChanged(weighted))
        agent.receive(an_attempt())
        agent.on(run_end(), 3.0)
        agent.on(ConfigChanged(a_config()))
        assert agent.state.shares.counter("school") == 1.5

    def test_counts_prompt_and_output_tokens(self) -> None:
        agent = AgentDriver()
        by_tokens = a_config(unit=ServiceUnit.TOKENS)
        agent.on(ConfigChanged(by_tokens))
        dispatch = replace(an_attempt(), body=b"x" * 320)
        agent.receive(dispatch)
        agent.on(RunBody("q1", 1, b"data", 25), 4.0)
        assert agent.state.shares.counter("school") == 10 + 25

    def test_sends_no_report_when_nothing_changed(self) -> None:
        agent = AgentDriver()
        agent.receive(an_attempt())
        agent.on(run_end(), 1.0)
        agent.tick(1.0)
        agent.tick(5.0)
        assert agent.sent(Served) == []

    def test_a_gap_in_cache_reports_resets_the_known_cache(self) -> None:
        agent = AgentDriver()
        agent.on(CacheReported(1, (7,), ()))
        agent.on(CacheReported(3, (8,), ()))
        assert agent.sent(Cached) == [Cached(True, (8,), ())]
        agent.on(PeerUp(a_router("router-2")))
        assert agent.sent(Cached) == [Cached(True, (8,), ())]
