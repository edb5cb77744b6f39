"""Updates between routers about endpoints, without a network.

Updates may be lost, and a router may stall, stop or restart: its peers must
neither count its calls without limit nor take its delays for the engines'.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from hypothesis import given
from hypothesis import strategies as st

from bulrushstream.coordination.crashrecords import CrashRecords
from bulrushstream.coordination.crashsuspects import CrashSuspects
from bulrushstream.coordination.endpointlimits import EndpointLimits
from bulrushstream.coordination.endpointnotices import EndpointNotices
from bulrushstream.coordination.fairshare import FairShares
from bulrushstream.coordination.fleetstate import (
    PEER_CALL_TIMEOUT_S,
    FleetState,
)
from bulrushstream.coordination.fleetview import PEER_TIMEOUT_S, FleetView
from bulrushstream.coordination.partsuspects import PartSuspects
from bulrushstream.coordination.routerpresence import RouterPresence
from bulrushstream.coordination.streamorigins import StreamOrigins
from bulrushstream.coordination.streamversions import StreamVersions
from bulrushstream.coordination.versionhistory import VersionHistory
from bulrushstream.state.effect import Decision
from bulrushstream.state.evacuation import EvacuationReport
from bulrushstream.state.partevidence import PartProof, PartStrikes
from bulrushstream.state.peerupdate import (
    ColdEndpoint,
    CrashSuspect,
    EndpointLimit,
    FirstEvent,
    PeerUpdate,
    RequestPlaced,
    WorkspaceTotals,
)
from bulrushstream.state.returns import ReturnPromise
from bulrushstream.state.routes import EngineTraits
from bulrushstream.state.streamorigin import StreamOrigin
from tests.deployments import a_prompt, an_entry
from tests.pausedrouters import run_awake

TRAITS = EngineTraits(64, 200_000)


@dataclass(slots=True)
class UpdateRecorder:
    """Records a router's reports as updates for its peers."""

    identity: PeerUpdate
    updates: list[PeerUpdate] = field(default_factory=list)
    totals: dict[str, list[int]] = field(default_factory=dict)

    def report_placed(self, placed: RequestPlaced) -> None:
        self.updates.append(replace(self.identity, placements=(placed,)))

    def report_started(self, started: FirstEvent) -> None:
        self.updates.append(replace(self.identity, first_events=(started,)))

    def report_ended(self, call: int) -> None:
        self.updates.append(replace(self.identity, ended_calls=(call,)))

    def report_usage(
        self, workspace: str, requested: int, granted: int
    ) -> None:
        totals = self.totals.setdefault(workspace, [0, 0])
        totals[0] += requested
        totals[1] += granted
        entry = WorkspaceTotals(workspace, totals[0], totals[1], 0.0)
        self.updates.append(replace(self.identity, totals=(entry,)))

    def repeat_usage(self) -> None:
        self.updates.append(
            replace(
                self.identity,
                totals=tuple(
                    WorkspaceTotals(name, totals[0], totals[1], 0.0)
                    for name, totals in self.totals.items()
                ),
            )
        )

    def report_strike(self, suspect: CrashSuspect) -> None:
        self.updates.append(replace(self.identity, crash_suspects=(suspect,)))

    def report_cleared(self, fingerprint: int) -> None:
        self.updates.append(replace(self.identity, cleared=(fingerprint,)))

    def report_limit(self, limit: EndpointLimit) -> None:
        self.updates.append(replace(self.identity, limits=(limit,)))

    def report_leaving(self, endpoint: str, born: str) -> None:
        update = replace(
            self.identity,
            leaving_endpoints=(endpoint,),
            leaving_starts=(born,) if born else (),
        )
        self.updates.append(update)

    def report_promise(self, promise: ReturnPromise) -> None:
        self.updates.append(replace(self.identity, promises=(promise,)))

    def report_returned(self, digest: int) -> None:
        self.updates.append(replace(self.identity, returned=(digest,)))

    def report_part_strikes(self, strikes: PartStrikes) -> None:
        self.updates.append(replace(self.identity, part_strikes=(strikes,)))

    def report_part_proof(self, proof: PartProof) -> None:
        self.updates.append(replace(self.identity, part_proofs=(proof,)))

    def report_cold(self, cold: ColdEndpoint) -> None:
        self.updates.append(replace(self.identity, cold_endpoints=(cold,)))

    def report_mixed(self, service: str) -> None:
        update = replace(self.identity, mixed_services=(service,))
        self.updates.append(update)

    def report_evacuations(self, report: EvacuationReport) -> None:
        self.updates.append(replace(self.identity, evacuations=report))

    def send_origin(self, host: str, origin: StreamOrigin) -> None:
        self.updates.append(replace(self.identity, origins=(origin,)))

    def ask_origin(self, host: str, stream: int) -> None:
        self.updates.append(replace(self.identity, asked_origins=(stream,)))


def a_router_state(number: int) -> tuple[FleetState, UpdateRecorder]:
    """Return a router's state with three engines, and its recorder."""
    decisions: list[Decision] = []
    suspects = CrashSuspects(decisions.append)
    parts = PartSuspects(decisions.append)
    state = FleetState(
        FleetView(f"10.0.0.{number}"),
        FairShares(4.0),
        number << 30,
        suspects,
        parts,
        EndpointLimits(
            decisions.append, RouterPresence(0.0, lambda: 2), random.Random(1)
        ),
        StreamVersions(
            VersionHistory(decisions.append, lambda: 0.0),
            StreamOrigins(f"10.0.0.{number}", tuple),
        ),
        EndpointNotices(decisions.append),
        CrashRecords(suspects, parts, lambda: 0.0, decisions.append),
    )
    for name in ("e-1", "e-2", "e-3"):
        state.pool.update(an_entry(name, service="llm"), TRAITS)
    recorder = UpdateRecorder(
        PeerUpdate(f"front-{number}", 1, f"10.0.0.{number}")
    )
    state.set_notifier(recorder)
    return state, recorder


def deliver(recorder: UpdateRecorder, to: FleetState, now_s: float) -> None:
    """Apply the recorded updates at another router."""
    for update in recorder.updates:
        to.apply_update(update, now_s)
    recorder.updates.clear()


class SharedViewSuite:
    @given(st.integers(0, 10_000))
    def test_routers_that_exchange_updates_agree(self, seed: int) -> None:
        rng = random.Random(seed)
        states = [a_router_state(1), a_router_state(2)]
        open_calls: list[tuple[int, str, int]] = []
        now_s = 0.0
        for _ in range(40):
            now_s += 0.01
            side = rng.randrange(2)
            state, _ = states[side]
            own_calls = [each for each in open_calls if each[0] == side]
            if own_calls and rng.random() < 0.5:
                each = rng.choice(own_calls)
                endpoint = state.pool.by_name[each[1]]
                state.first_event(endpoint, each[2], now_s)
                state.ended(endpoint, each[2])
                open_calls.remove(each)
            else:
                name = rng.choice(("e-1", "e-2", "e-3"))
                prompt = a_prompt((rng.randrange(5), 900), (99, 300))
                number = state.place(
                    state.pool.by_name[name], prompt, "club", now_s, 1e9
                )
                open_calls.append((side, name, number))
            for index, (_, recorder) in enumerate(states):
                deliver(recorder, states[1 - index][0], now_s)
        for name in ("e-1", "e-2", "e-3"):
            one, two = (s.pool.by_name[name] for s, _ in states)
            assert one.view is not None
            assert two.view is not None
            assert one.outstanding == two.outstanding
            assert one.view.cached == two.view.cached
            assert one.view.running.keys() == two.view.running.keys()
            assert one.view.running_tokens == two.view.running_tokens
            assert (
                abs(one.view.prefill_done_s - two.view.prefill_done_s) < 1e-6
            )
        assert states[0][0].shares.granted == states[1][0].shares.granted

    def test_a_stall_of_the_router_does_not_distort_the_rate(self) -> None:
        (first, recorder), (second, _) = a_router_state(1), a_router_state(2)
        rate = first.prefill_rate
        now_s = 0.0
        for number in range(60):
            # The first router is never stalled and measures the true rate.
            now_s += 1.0
            run_awake(first, now_s - 1.0, now_s)
            endpoint = first.pool.by_name["e-1"]
            prompt = a_prompt((number, 6000))
            call = first.place(endpoint, prompt, "", now_s - 0.29, 1e9)
            first.first_event(endpoint, call, now_s)
            first.ended(endpoint, call)
        # The second router was stalled and gets all updates at once.
        run_awake(second, -1.0, 0.0)
        deliver(recorder, second, now_s)
        assert abs(second.prefill_rate - first.prefill_rate) < 1.0
        assert 0.7 < second.prefill_rate / rate < 1.3
        # It is stalled between placing a request and the first event.
        endpoint = second.pool.by_name["e-2"]
        run_awake(second, now_s - 1.0, now_s)
        call = second.place(endpoint, a_prompt((9, 6000)), "", now_s, 1e9)
        second.first_event(endpoint, call, now_s + 5.0)
        view = endpoint.view
        assert view is not None
        assert view.slowness_at(now_s + 5.0) == 1.0

    def test_a_peers_call_expires_if_its_end_was_lost(self) -> None:
        (first, recorder), (second, _) = a_router_state(1), a_router_state(2)
        endpoint = first.pool.by_name["e-1"]
        number = first.place(endpoint, a_prompt((1, 900)), "", 0.0, 1e9)
        deliver(recorder, second, 0.0)
        first.ended(endpoint, number)
        recorder.updates.clear()
        view = second.pool.by_name["e-1"].view
        assert view is not None
        view.expire(PEER_CALL_TIMEOUT_S + 0.1)
        assert not view.running

    def test_a_plain_endpoints_call_expires_if_its_end_was_lost(self) -> None:
        (first, recorder), (second, _) = a_router_state(1), a_router_state(2)
        for state in (first, second):
            state.pool.update(an_entry("d-1"), None)
        endpoint = second.pool.by_name["d-1"]
        first.place(first.pool.by_name["d-1"], None, "", 0.0, 1e9)
        deliver(recorder, second, 0.0)
        now_s = 0.0
        while now_s <= PEER_CALL_TIMEOUT_S + 1.0:
            # The end was lost, but the peer still sends updates.
            assert endpoint.outstanding == (now_s <= PEER_CALL_TIMEOUT_S)
            now_s += 0.5
            second.apply_update(recorder.identity, now_s)
            second.sweep(now_s)
        assert endpoint.outstanding == 0
        assert not second.peers.peers["front-1"].calls

    def test_calls_of_a_restarted_or_silent_router_are_removed(self) -> None:
        for restarted in (True, False):
            (first, recorder), (second, _) = (
                a_router_state(1),
                a_router_state(2),
            )
            endpoint = first.pool.by_name["e-1"]
            first.place(endpoint, a_prompt((1, 900)), "", 0.0, 1e9)
            deliver(recorder, second, 0.0)
            assert second.pool.by_name["e-1"].outstanding == 1
            if restarted:
                second.apply_update(
                    replace(recorder.identity, incarnation=2), 0.1
                )
            else:
                second.sweep(PEER_TIMEOUT_S + 0.1)
            assert second.pool.by_name["e-1"].outstanding == 0

    def test_a_router_starts_again_after_its_clock_was_set_back(
        self,
    ) -> None:
        """Guards against a router that others do not listen to."""
        _, recorder = a_router_state(1)
        second, _ = a_router_state(2)
        endpoint = second.pool.by_name["e-1"]
        calls = [RequestPlaced(number, "e-1") for number in (1, 2, 3)]
        before = replace(recorder.identity, incarnation=5)
        again = replace(recorder.identity, incarnation=4)
        second.apply_update(replace(before, placements=(calls[0],)), 0.0)
        assert endpoint.outstanding == 1
        second.apply_update(replace(again, placements=tuple(calls[1:])), 0.3)
        assert endpoint.outstanding == 2
        # A datagram of the process before may be late.
        second.apply_update(replace(before, leaving=True), 0.31)
        assert endpoint.outstanding == 2
        assert second.peers.peers["front-1"].incarnation == 4

    def test_each_crash_counts_one_strike(self) -> None:
        (first, recorder), (second, _) = a_router_state(1), a_router_state(2)
        for name in ("e-1", "e-2", "e-3"):
            first.suspects.endpoint_crashed(name, 77, 1.0, 1.5)
            first.suspects.endpoint_crashed(name, 77, 1.1, 1.6)
            updates = list(recorder.updates)
            deliver(recorder, second, 1.6)
            for update in updates:
                second.apply_update(update, 1.7)
        for state in (first, second):
            assert state.suspects.strikes.count(77, 2.0) == 3
            assert state.suspects.is_refused(77, 2.0)
            assert not state.suspects.is_refused(78, 2.0)

    def test_an_endpoint_that_crashes_again_counts_again(self) -> None:
        state, _ = a_router_state(1)
        for at_s in (1.0, 5.0, 9.0):
            state.suspects.endpoint_crashed("e-1", 77, at_s, at_s)
        assert state.suspects.is_refused(77, 10.0)

    def test_strikes_that_another_request_explains_do_not_count(self) -> None:
        state, _ = a_router_state(1)
        for number in range(4):
            state.suspects.endpoint_crashed(f"e-{number}", 77, number, number)
            if number:
                state.suspects.endpoint_crashed(
                    f"e-{number}", 78, number, number
                )
        assert state.suspects.is_refused(77, 10.0)
        assert not state.suspects.is_refused(78, 10.0)

    def test_more_strikes_are_needed_while_others_crash(self) -> None:
        state, _ = a_router_state(1)
        for number in range(8):
            state.suspects.endpoint_crashed(
                f"e-{number}", 100 + number, number, number
            )
        for number in (0, 3, 7):
            state.suspects.endpoint_crashed(f"e-{number}", 77, number, number)
        assert not state.suspects.is_refused(77, 10.0)
        state.suspects.endpoint_crashed("e-9", 77, 9.0, 9.0)
        assert state.suspects.is_refused(77, 10.0)

    def test_an_answer_clears_the_strikes_at_all_routers(self) -> None:
        (first, recorder), (second, _) = a_router_state(1), a_router_state(2)
        for name in ("e-1", "e-2", "e-3"):
            first.suspects.endpoint_crashed(name, 77, 1.0, 1.5)
        deliver(recorder, second, 1.6)
        first.suspects.request_ran(77, 2.0)
        deliver(recorder, second, 2.1)
        for state in (first, second):
            assert not state.suspects.is_refused(77, 3.0)

    def test_a_new_peer_is_told_all_strikes(self) -> None:
        (first, _), (second, _) = a_router_state(1), a_router_state(2)
        first.suspects.endpoint_crashed("e-1", 77, 1.0, 1.5)
        assert first.suspects.strikes_to_repeat(3.0)
        assert first.suspects.strikes_to_repeat(20.0) == ()
        first.apply_update(PeerUpdate("front-2", 1, "10.0.0.2"), 20.0)
        (repeated,) = first.suspects.strikes_to_repeat(20.5)
        assert repeated == CrashSuspect(77, "e-1", 19.5)
        update = PeerUpdate(
            "front-1", 1, "10.0.0.1", crash_suspects=(repeated,)
        )
        second.apply_update(update, 20.5)
        assert second.suspects.strikes.count(77, 20.5) == 1

    def test_a_watched_request_is_known_to_all_routers(self) -> None:
        (first, recorder), (second, _) = a_router_state(1), a_router_state(2)
        first.suspects.end_unknown("e-1", 77, 1.0, 1.5)
        deliver(recorder, second, 1.5)
        for state in (first, second):
            assert state.suspects.is_watched(77, 2.0)
            assert state.suspects.strikes.count(77, 2.0) == 0
