"""Which parts of prompts are held or refused after crashes of endpoints."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from bulrushstream.coordination.crashsuspects import MAX_REPEATED
from bulrushstream.coordination.partreports import MAX_PARTS_OF_REPORT
from bulrushstream.coordination.partrules import (
    REFUSED_STRIKES,
    RETRIAL_S,
)
from bulrushstream.coordination.partstrikes import EXPIRY_S, MAX_STRUCK
from bulrushstream.coordination.partsuspects import (
    PartSuspects,
    PartVerdict,
)
from bulrushstream.coordination.parttrials import TRIAL_S
from bulrushstream.protocol.peercodec import decode_update, encode_update
from bulrushstream.state.call import Prompt, PromptPart
from bulrushstream.state.effect import Decision
from bulrushstream.state.partevidence import PartProof, PartStrikes
from bulrushstream.state.peerupdate import PeerUpdate

BAD, FIRST, OTHER = 1, 2, 3


class _Notifier:
    """Collects what is reported to the peers."""

    def __init__(self) -> None:
        self.strikes: list[PartStrikes] = []
        self.proofs: list[PartProof] = []

    def report_part_strikes(self, strikes: PartStrikes) -> None:
        self.strikes.append(strikes)

    def report_part_proof(self, proof: PartProof) -> None:
        self.proofs.append(proof)


def some_suspects() -> tuple[PartSuspects, _Notifier, list[Decision]]:
    decisions: list[Decision] = []
    suspects = PartSuspects(decisions.append)
    notifier = _Notifier()
    suspects.reports.notifier = notifier
    return suspects, notifier, decisions


def crash(
    suspects: PartSuspects,
    number: int,
    parts: Sequence[int],
    at_s: float | None = None,
) -> None:
    """Crash an endpoint, by default so many seconds after the start."""
    at_s = float(number) if at_s is None else at_s
    sent_s = at_s - 0.1
    suspects.endpoint_crashed(f"e-{number}", parts, sent_s, at_s, at_s + 0.3)


def verdict(
    suspects: PartSuspects, parts: Sequence[int], now_s: float
) -> PartVerdict:
    return suspects.judge(parts, now_s).verdict


class RefusalSuite:
    def test_a_part_that_alone_explains_the_crashes(self) -> None:
        suspects, _, _ = some_suspects()
        for number in range(REFUSED_STRIKES):
            crash(suspects, number, (FIRST, BAD))
            suspects.answered((FIRST,), number + 0.5, number + 0.8)
        now_s = REFUSED_STRIKES + 0.0
        assert verdict(suspects, (FIRST, BAD), now_s) is PartVerdict.REFUSE
        assert verdict(suspects, (BAD,), now_s) is PartVerdict.REFUSE
        assert verdict(suspects, (FIRST, OTHER), now_s) is PartVerdict.SERVE

    def test_a_request_without_the_whole_explanation_is_tried(self) -> None:
        suspects, _, _ = some_suspects()
        for number in range(REFUSED_STRIKES):
            crash(suspects, number, (FIRST, BAD))
        now_s = REFUSED_STRIKES + 0.0
        assert verdict(suspects, (FIRST, BAD), now_s) is PartVerdict.REFUSE
        assert verdict(suspects, (FIRST, OTHER), now_s) is PartVerdict.TRY
        suspects.placed("e-9", (FIRST, OTHER), now_s)
        assert suspects.trials.runs_at("e-9", now_s)
        assert verdict(suspects, (FIRST,), now_s) is PartVerdict.HOLD
        assert verdict(suspects, (FIRST,), now_s + TRIAL_S) is PartVerdict.TRY
        suspects.answered((FIRST, OTHER), now_s + 0.1, now_s + 1.0)
        assert verdict(suspects, (FIRST,), now_s + 1.0) is PartVerdict.SERVE

    def test_endpoints_that_end_at_once_are_one_event(self) -> None:
        suspects, _, _ = some_suspects()
        suspects.answered((FIRST,), -1.0, -0.5)
        for number in range(9):
            crash(suspects, number, (FIRST,), 0.0)
        assert verdict(suspects, (FIRST,), 0.5) is PartVerdict.SERVE

    def test_crashes_of_another_cause_need_more_strikes(self) -> None:
        suspects, _, _ = some_suspects()
        for number in range(REFUSED_STRIKES):
            crash(suspects, number, (BAD,))
            for other in (20, 40):
                at_s = number + other / 100
                crash(suspects, number + other, (other + number,), at_s)
        now_s = REFUSED_STRIKES + 2.5
        assert verdict(suspects, (BAD,), now_s) is PartVerdict.TRY

    def test_a_refused_part_is_tried_ever_more_seldom(self) -> None:
        suspects, _, _ = some_suspects()
        for number in range(REFUSED_STRIKES):
            crash(suspects, number, (BAD,))
        last_s = REFUSED_STRIKES - 1.0
        due_s = last_s + RETRIAL_S
        assert verdict(suspects, (BAD,), due_s - 0.1) is PartVerdict.REFUSE
        assert verdict(suspects, (BAD,), due_s) is PartVerdict.TRY
        crash(suspects, 50, (BAD,), due_s + 0.2)
        assert verdict(suspects, (BAD,), due_s + 60.0) is PartVerdict.REFUSE

    def test_strikes_expire(self) -> None:
        suspects, _, _ = some_suspects()
        for number in range(REFUSED_STRIKES):
            crash(suspects, number, (BAD,))
        suspects.sweep(EXPIRY_S + REFUSED_STRIKES)
        assert suspects.suspects() == []
        assert suspects.table.parts() == ()

    def test_repeats_of_one_request_explain_their_crashes(self) -> None:
        suspects, _, _ = some_suspects()
        for number in range(REFUSED_STRIKES):
            crash(suspects, number, (FIRST,))
        suspects.set_explained({f"e-{n}#0" for n in range(REFUSED_STRIKES)})
        now_s = REFUSED_STRIKES + 0.0
        assert verdict(suspects, (FIRST,), now_s) is PartVerdict.SERVE


class ProofSuite:
    def test_an_answer_that_began_before_the_crash_proves_nothing(
        self,
    ) -> None:
        suspects, notifier, _ = some_suspects()
        crash(suspects, 5, (BAD,))
        suspects.answered((BAD,), 4.9, 6.0)
        assert len(suspects.table.strikes(BAD)) == 1
        assert notifier.proofs == []
        suspects.answered((BAD,), 5.1, 6.0)
        assert suspects.table.strikes(BAD) == []
        assert [proof.part_id for proof in notifier.proofs] == [BAD]

    def test_a_peer_learns_of_a_proof_that_it_missed(self) -> None:
        suspects, notifier, _ = some_suspects()
        suspects.answered((FIRST,), 6.0, 7.0)
        other, _, _ = some_suspects()
        crash(other, 5, (FIRST,))
        update = PeerUpdate(
            "front-2",
            1,
            "h",
            part_strikes=other.reports.strikes_to_repeat(7.0),
        )
        suspects.apply_update(update, 7.0)
        assert suspects.table.strikes(FIRST) == []
        assert [proof.part_id for proof in notifier.proofs] == [FIRST]


class ReportSuite:
    def test_a_peer_gets_the_same_strikes(self) -> None:
        suspects, notifier, _ = some_suspects()
        for number in range(REFUSED_STRIKES):
            crash(suspects, number, (FIRST, BAD))
        other, _, decisions = some_suspects()
        for report in notifier.strikes:
            update = PeerUpdate("front-1", 1, "h", part_strikes=(report,))
            decoded = decode_update(encode_update(update))
            assert decoded.part_strikes[0].endpoint == report.endpoint
            at_s = float(report.endpoint[2:])
            other.apply_update(decoded, at_s + report.age_s)
        now_s = REFUSED_STRIKES + 0.0
        assert verdict(other, (FIRST, BAD), now_s) is PartVerdict.REFUSE
        assert {line.inputs["reporter"] for line in decisions} >= {"front-1"}

    def test_strikes_are_repeated_until_they_are_disproved(self) -> None:
        suspects, _, _ = some_suspects()
        crash(suspects, 1, (FIRST, BAD))
        (report,) = suspects.reports.strikes_to_repeat(2.0)
        assert {part.part_id for part in report.parts} == {FIRST, BAD}
        assert report.age_s == pytest.approx(1.0)
        suspects.answered((FIRST,), 2.1, 2.2)
        (report,) = suspects.reports.strikes_to_repeat(2.5)
        assert [part.part_id for part in report.parts] == [BAD]
        assert suspects.reports.strikes_to_repeat(10.0) == ()
        suspects.reports.peer_appeared(10.0)
        (report,) = suspects.reports.strikes_to_repeat(10.1)
        assert [part.part_id for part in report.parts] == [BAD]

    def test_reports_and_state_are_bounded(self) -> None:
        suspects, notifier, _ = some_suspects()
        crash(suspects, 1, range(MAX_STRUCK + 500))
        assert len(suspects.table.parts()) == MAX_STRUCK
        suspects.reports.peer_appeared(2.0)
        repeated = suspects.reports.strikes_to_repeat(2.0)
        assert sum(len(r.parts) for r in repeated) == MAX_REPEATED
        for report in (*notifier.strikes, *repeated):
            assert len(report.parts) <= MAX_PARTS_OF_REPORT
            update = PeerUpdate("front-1", 1, "h", part_strikes=(report,))
            assert len(encode_update(update)) < 1500

    def test_an_update_without_parts_is_decoded(self) -> None:
        decoded = decode_update(encode_update(PeerUpdate("front-1", 1, "h")))
        assert decoded.part_strikes == ()
        assert decoded.part_proofs == ()


class WatchSuite:
    def test_parts_of_a_run_with_an_unknown_end(self) -> None:
        suspects, notifier, _ = some_suspects()
        suspects.end_unknown("e-1", (FIRST, BAD), 1.0, 1.2)
        (report,) = notifier.strikes
        assert report.uncertain
        other, _, _ = some_suspects()
        update = PeerUpdate("front-1", 1, "h", part_strikes=(report,))
        other.apply_update(decode_update(encode_update(update)), 1.2)
        for each in (suspects, other):
            assert each.is_watched((BAD,), 2.0)
            each.answered((FIRST,), 1.5, 2.0)
            assert not each.is_watched((FIRST,), 2.0)
            assert each.is_watched((BAD,), 2.0)


class SharedPartsSuite:
    @pytest.mark.parametrize(
        ("parts", "shared"),
        (((), ()), ((7,), ()), ((7, 8), (7,)), ((7, 7, 9, 8), (7, 9))),
    )
    def test_the_last_part_is_not_shared(
        self, parts: tuple[int, ...], shared: tuple[int, ...]
    ) -> None:
        prompt = Prompt("m", tuple(PromptPart(p, 1) for p in parts), 9, 9)
        assert prompt.shared_parts == shared
