"""A part of a prompt that crashes endpoints is found; sound ones go on.

Guards against crashes that count only against whole requests, of which no
two are alike, and against refusals of all that shares a part with them.
"""

from __future__ import annotations

import re
from dataclasses import replace
from itertools import product
from typing import Any, Final

import pytest

from bulrushstream.coordination.parttrials import TRIAL_S
from bulrushstream.messages import CRASHES_ENDPOINTS, PART_HELD
from tests.crashfleets import play
from tests.crashingendpoints import After, Body, Ending, Link, Point, Proxied
from tests.crashplans import (
    CONTACT_S,
    LATENCY_TARGET_S,
    CrashHistory,
    CrashPlan,
    Prompts,
    RouterFault,
)

# Sends of requests with one part by routers in touch, long after the fifth
# endpoint has ended under them.
MAX_LATE_SENDS: Final = 3

# Sound requests are served at this share of their usual rate or better.
MIN_SERVED: Final = 0.5
MIN_ANSWERS: Final = 20

RETRY_AFTER: Final = re.compile(rb"Retry-After: ([0-9.]+)")

FIRST: Final = ("a1", "a2", "a3")
SECOND: Final = tuple(f"c{n}" for n in range(12))
BAD: Final = ("bad",)
OTHER_BAD: Final = ("dad",)

ENDINGS = [
    Ending(point, link, after)
    for point, link, after in product(Point, Link, After)
]
SOUND: Final = Prompts(b"sound", (FIRST, SECOND), per_s=20.0)
CRASHING: Final = Prompts(
    b"crashing",
    (FIRST, BAD),
    body=Body.CRASH,
    begin_s=6.0,
)


def a_plan(*prompts: Prompts, **changes: Any) -> CrashPlan:
    """Return a run of sound requests beside others, with nine engines."""
    plan = CrashPlan(
        prompts=(SOUND, *prompts), engines=9, background_per_s=0.5
    )
    return replace(plan, **changes)


def check(history: CrashHistory, label: bytes = CRASHING.label) -> None:
    """Check that crashing requests stop and that sound ones go on."""
    crashes_s = sorted(history.crashed_by[label])
    assert len(crashes_s) >= 3
    late = history.sent_after_fifth_crash(label)
    assert len(late) <= MAX_LATE_SENDS
    usual = history.served_share(SOUND.label, 1.0, CRASHING.begin_s)
    from_s = crashes_s[min(5, len(crashes_s)) - 1] + 2 * CONTACT_S
    if history.answers_since(SOUND.label, from_s) >= MIN_ANSWERS:
        served = history.served_share(SOUND.label, from_s)
        assert served >= MIN_SERVED * usual


def refused(history: CrashHistory, label: bytes) -> int:
    """Return how many requests were refused or held for crashes."""
    codes = {CRASHES_ENDPOINTS.code, PART_HELD.code}
    return sum(code in codes for code in history.codes(label))


class CrashingPartSuite:
    """Requests that share a part under which endpoints end reach few."""

    @pytest.mark.parametrize("ending", ENDINGS, ids=str)
    def test_it_stops_however_endpoints_end(self, ending: Ending) -> None:
        """Guards against crashes that count against whole requests only."""
        check(play(a_plan(CRASHING, ending=ending)))

    @pytest.mark.parametrize("per_s", (0.3, 1.0, 8.0, 30.0, 100.0))
    @pytest.mark.parametrize("seed", range(3))
    def test_it_stops_at_each_rate(self, per_s: float, seed: int) -> None:
        """Guards against waiting for answers while all endpoints end."""
        crashing = replace(CRASHING, per_s=per_s)
        end_s = 34.0 if per_s >= 8.0 else 56.0
        check(play(a_plan(crashing, seed=seed, end_s=end_s)))

    @pytest.mark.parametrize("point", Point, ids=str)
    @pytest.mark.parametrize("link", (Link.CLOSED, Link.RESET), ids=str)
    def test_often_while_endpoints_fall_mute(
        self, point: Point, link: Link
    ) -> None:
        """Guards against verdicts that wait for the endpoint list."""
        crashing = replace(CRASHING, per_s=60.0, groups=(BAD,))
        ending = Ending(point, link, After.MUTE)
        plan = a_plan(crashing, ending=ending, seed=140, loss=0.0)
        check(play(replace(plan, background_per_s=0.3)))

    def test_often_while_endpoints_fall_silent_and_mute(self) -> None:
        """Guards against evidence that comes with the endpoint list only."""
        groups = (FIRST, BAD, SECOND)
        crashing = replace(CRASHING, per_s=60.0, groups=groups)
        ending = Ending(Point.AMID, Link.SILENT, After.MUTE)
        plan = a_plan(crashing, ending=ending, seed=145, routers=2)
        check(play(replace(plan, background_per_s=0.3)))

    @pytest.mark.parametrize(
        "groups",
        ((BAD, SECOND), (FIRST, BAD, SECOND), (FIRST, SECOND, BAD)),
        ids=("first", "in the middle", "before the last"),
    )
    @pytest.mark.parametrize("per_s", (1.0, 8.0))
    def test_it_stops_wherever_the_part_is(
        self, groups: tuple[tuple[str, ...], ...], per_s: float
    ) -> None:
        """Guards against looking at some positions only."""
        check(play(a_plan(replace(CRASHING, groups=groups, per_s=per_s))))

    @pytest.mark.parametrize("per_s", (1.0, 5.0))
    def test_two_parts_at_once(self, per_s: float) -> None:
        """Guards against one part that hides another."""
        other = replace(CRASHING, label=b"other", groups=(FIRST, OTHER_BAD))
        history = play(
            a_plan(replace(CRASHING, per_s=per_s), replace(other, per_s=per_s))
        )
        check(history)
        check(history, other.label)

    @pytest.mark.parametrize("sound_per_s", (1.0, 100.0))
    def test_few_or_many_runs_in_flight(self, sound_per_s: float) -> None:
        """Guards against evidence that depends on what else runs."""
        sound = replace(SOUND, per_s=sound_per_s, begin_s=0.1)
        plan = a_plan(CRASHING, end_s=34.0 if sound_per_s > 1.0 else 90.0)
        plan = replace(plan, prompts=(sound, CRASHING))
        history = play(plan)
        late = history.sent_after_fifth_crash(CRASHING.label)
        assert len(late) <= MAX_LATE_SENDS
        begin_s = sorted(history.crashes_s)[-1] + 2 * CONTACT_S
        assert history.served_share(SOUND.label, begin_s) >= MIN_SERVED

    @pytest.mark.parametrize("per_s", (2.0, 30.0))
    def test_many_routers(self, per_s: float) -> None:
        """Guards against trials that routers begin at the same time."""
        plan = a_plan(replace(CRASHING, per_s=per_s), routers=27)
        check(play(replace(plan, background_per_s=0.02)))

    @pytest.mark.parametrize("per_s", (1.0, 8.0))
    def test_crashes_of_another_cause_beside_it(self, per_s: float) -> None:
        """Guards against taking each crash for the part's."""
        kills = tuple((5.0 + 2.1 * n, "llm") for n in range(10))
        check(play(a_plan(replace(CRASHING, per_s=per_s), kills=kills)))

    @pytest.mark.parametrize(
        "faults",
        (
            tuple(RouterFault(8.0 + 2 * n, (n % 4,)) for n in range(8)),
            (RouterFault(7.0, (1, 2), cut_s=6.0),),
            (RouterFault(5.0, (3,), cut_s=2.0), RouterFault(8.0, (3,), 2.0)),
            (RouterFault(11.0, (0, 1, 2)), RouterFault(16.0, (3, 0))),
            (RouterFault(7.0, (1, 2), frozen_s=3.0),),
        ),
        ids=(
            "restarted in turn",
            "two cut off",
            "cut off twice",
            "together",
            "frozen",
        ),
    )
    def test_routers_that_restart_or_are_cut_off(
        self, faults: tuple[RouterFault, ...]
    ) -> None:
        """Guards against evidence that some routers never get."""
        check(play(a_plan(CRASHING, faults=faults)))

    def test_a_refused_part_is_tried_again_seldom(self) -> None:
        """Guards against a refusal that is never put to the test."""
        history = play(a_plan(CRASHING, end_s=75.0))
        check(history)
        retrials = [at_s for at_s in history.crashes_s if at_s > 34.0]
        assert len(retrials) == 1

    def test_all_routers_restart(self) -> None:
        """Guards against a part that is forgotten with its routers."""
        fault = RouterFault(20.0, (0, 1, 2, 3))
        check(play(a_plan(CRASHING, faults=(fault,))))

    def test_callers_that_leave_before_the_crash(self) -> None:
        """Guards against counting only runs that routers still follow."""
        crashing = replace(CRASHING, body=Body.CRASH_UNHEARD, leave_s=0.08)
        check(play(a_plan(crashing)))


class HeldRequestSuite:
    """Callers whose requests are held learn when they may come again."""

    def test_the_time_to_come_back(self) -> None:
        """Guards against callers that return while a trial goes on."""
        crashing = replace(CRASHING, per_s=60.0, groups=(FIRST, BAD))
        ending = Ending(Point.BEFORE, Link.CLOSED, After.REFUSES)
        history = play(a_plan(crashing, ending=ending, end_s=20.0))
        waits_s = [
            float(RETRY_AFTER.findall(reply)[0])
            for replies in history.replies.values()
            for reply in replies
            if PART_HELD.code.encode() in reply
        ]
        assert len(waits_s) >= 20
        # A part of the latency target is added, so that they do not return
        # all at once.
        assert min(waits_s) >= 0.2 * LATENCY_TARGET_S
        assert max(waits_s) >= TRIAL_S


class LogSuite:
    """The routers' logs show which part is suspected, and why."""

    def test_the_way_to_a_refusal(self) -> None:
        history = play(a_plan(CRASHING, loss=0.0))
        broken = [
            line
            for line in history.lines("run_broken")
            if line.request_id in history.ids[CRASHING.label]
        ]
        assert all("bad" in str(line.inputs["parts"]) for line in broken)
        refused_lines = [
            line
            for line in history.lines("part_refused")
            if line.inputs["part"] == "bad"
        ]
        assert len(refused_lines) == 4  # One of each router.
        for line in refused_lines:
            endpoints = str(line.inputs["endpoints"]).split(",")
            assert len(endpoints) == line.inputs["strikes"]
            assert "bad" in str(line.inputs["explained_by"]).split(",")
            for endpoint in endpoints:
                strikes = [
                    strike
                    for strike in history.lines("part_strikes", endpoint)
                    if "bad" in str(strike.inputs["parts"]).split(",")
                ]
                reporters = [strike.inputs["reporter"] for strike in strikes]
                assert reporters.count("") == 1
                assert len(reporters) == 4
        codes = history.codes(CRASHING.label).count(CRASHES_ENDPOINTS.code)
        refusals = [
            line
            for line in history.lines("refuse")
            if line.outcome == CRASHES_ENDPOINTS.code
        ]
        assert 0 < codes <= len(refusals)
        assert {line.inputs["part"] for line in refusals} == {"bad"}


class SoundPartSuite:
    """Requests are not refused for crashes that they do not cause."""

    @pytest.mark.parametrize("after", (*After, *Proxied), ids=str)
    @pytest.mark.parametrize("link", Link, ids=str)
    def test_endpoints_that_die_of_something_else(
        self, link: Link, after: After | Proxied
    ) -> None:
        """Guards against suspecting what all crashes have in common."""
        kills = tuple((3.0 + 1.3 * n, "llm") for n in range(16))
        history = play(
            a_plan(ending=Ending(Point.BEFORE, link, after), kills=kills)
        )
        assert refused(history, SOUND.label) == 0

    @pytest.mark.parametrize("per_s", (20.0, 100.0))
    def test_many_endpoints_die_at_once(self, per_s: float) -> None:
        """Guards against parts that are in flight everywhere."""
        kills = tuple((at_s, "llm") for at_s in (4.0, 9.0) for _ in range(6))
        sound = replace(SOUND, per_s=per_s)
        history = play(replace(a_plan(kills=kills), prompts=(sound,)))
        assert refused(history, SOUND.label) == 0

    @pytest.mark.parametrize(
        "prefix",
        (
            "a1:9",
            "a1:9,a1:9,a1:9",
            "a1:9,zz:9,c1:9",
            ",:,-",
            ",".join(f"{n:x}:1" for n in range(256)),
            ",".join(f"{n:x}:1" for n in range(300)),
        ),
        ids=("one", "repeated", "malformed", "empty", "256", "300"),
    )
    def test_unusual_prompts(self, prefix: str) -> None:
        """Guards against prompts that the search for parts breaks on."""
        odd = replace(SOUND, label=b"odd", prefix=prefix, per_s=5.0)
        history = play(a_plan(replace(CRASHING, per_s=3.0), odd))
        check(history)
        assert history.served_share(odd.label, 20.0) == 1.0

    @pytest.mark.parametrize("body", (Body.LOST, Body.CUT, Body.SPOILED))
    def test_lost_and_spoiled_answers(self, body: bytes) -> None:
        """Guards against lost answers that pass for crashes."""
        lost = replace(CRASHING, label=b"lost", body=body, per_s=5.0)
        history = play(a_plan(lost))
        assert len(history.sent[lost.label]) >= 100
        assert refused(history, lost.label) == 0
        assert refused(history, SOUND.label) == 0
