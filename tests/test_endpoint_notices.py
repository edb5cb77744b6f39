"""Endpoints that ask for rest get it, and those that leave are left alone.

Guards against requests that are sent to such endpoints all the same, and
against capacity that idles for it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final

import pytest

from bulrushstream.coordination.endpointnotices import (
    MAX_REST_S,
    EndpointNotices,
)
from bulrushstream.messages import ENDPOINTS_REST
from tests.crashingendpoints import Body
from tests.crashplans import Prompts, RouterFault
from tests.deployments import an_entry
from tests.noticefleets import NoticePlan, Shedding, play_notices

FIRST: Final = ("a1", "a2", "a3")
SECOND: Final = tuple(f"c{n}" for n in range(12))
SOUND: Final = Prompts(b"sound", (FIRST, SECOND), per_s=60.0)
MIN_SERVED: Final = 0.98
SERVICES: Final = (("/tell/", "llm"), ("/talk/", "llm"), ("/safe/", "desk"))


def a_plan(*shedding: Shedding, **changes: Any) -> NoticePlan:
    """Return a run of many requests to endpoints, of which some shed."""
    plan = NoticePlan(
        prompts=(SOUND,),
        engines=9,
        background_per_s=0.1,
        shedding=shedding,
        end_s=16.0,
    )
    return replace(plan, **changes)


class RestSuite:
    """Endpoints that ask for rest."""

    @pytest.mark.parametrize("routers", (1, 4, 27))
    @pytest.mark.parametrize(("path", "service"), SERVICES)
    def test_endpoints_that_ask_for_rest_get_it(
        self, routers: int, path: str, service: str
    ) -> None:
        """Guards against a rest that nobody reads."""
        shedding = Shedding(4.0, 9.0, service=service)
        sound = replace(SOUND, path=path)
        plan = a_plan(shedding, prompts=(sound,), routers=routers)
        history = play_notices(plan)
        assert len(history.rests) == shedding.endpoints
        assert history.broken_rests() == []

    @pytest.mark.parametrize(
        ("value", "kept"),
        (
            (b"0.7", True),
            (b"1000", True),
            (b"9" * 99, True),
            (b"0", False),
            (b"-3", False),
            (b"soon", False),
            (b"Fri, 04 Dec 2026 17:00:00 GMT", False),
        ),
    )
    def test_unusual_values(self, value: bytes, kept: bool) -> None:
        """Guards against values that stop all, or are logged for each."""
        history = play_notices(a_plan(Shedding(4.0, 6.0, value)))
        assert history.broken_rests() == []
        assert bool(history.lines("endpoint_rest")) == kept
        assert len(history.lines("bad_rest")) <= 4 * 2
        assert history.served_share(SOUND.label, 7.0) >= MIN_SERVED

    def test_an_endpoint_that_does_not_say_that_it_did_not_run(self) -> None:
        """Guards against a rest that counts only beside other headers."""
        shedding = Shedding(4.0, 6.0, says_not_run=False)
        plan = a_plan(shedding, prompts=(replace(SOUND, path="/talk/"),))
        history = play_notices(plan)
        assert history.rests
        assert history.broken_rests() == []
        assert history.lines("eject") == []

    def test_all_endpoints_rest(self) -> None:
        """Guards against sends for want of another endpoint."""
        plan = a_plan(Shedding(4.0, 5.0, b"2", endpoints=100))
        history = play_notices(plan)
        assert history.broken_rests() == []
        assert ENDPOINTS_REST.code in history.codes(SOUND.label)
        assert history.served_share(SOUND.label, 7.5) >= MIN_SERVED

    def test_requests_that_wait_and_routers_that_stand_still(self) -> None:
        """Guards against requests that are sent as a router wakes."""
        faults = tuple(
            RouterFault(4.2 + n, (n % 4,), frozen_s=1.0) for n in range(4)
        )
        plan = a_plan(Shedding(4.0, 9.0, endpoints=4), faults=faults)
        assert play_notices(plan).broken_rests() == []

    def test_a_rest_is_not_kept_by_other_routers(self) -> None:
        """Guards against capacity that idles for another router's rest."""
        sound = replace(SOUND, routers=(0,))
        others = replace(
            SOUND, label=b"others", routers=(1, 2, 3), begin_s=4.5
        )
        shedding = Shedding(4.0, 4.2, b"8", endpoints=9)
        plan = a_plan(shedding, prompts=(sound, others), end_s=11.0)
        history = play_notices(replace(plan, background_per_s=0.01))
        asked = {
            (name, router)
            for name, rests in history.rests.items()
            for _, router, _ in rests
        }
        free = [
            sent
            for name, arrivals in history.arrivals.items()
            for sent in arrivals
            if 5.0 < sent.at_s < 10.0
            and (name, sent.router) not in asked
            and any(each == name for each, _ in asked)
        ]
        assert free

    def test_an_endpoint_is_used_again_when_its_rest_ends(self) -> None:
        """Guards against capacity that idles after a rest."""
        plan = a_plan(Shedding(4.0, 4.5, b"2"), end_s=12.0)
        history = play_notices(plan)
        for name, rests in history.rests.items():
            end_s = max(at_s + rest_s for at_s, _, rest_s in rests)
            times_s = [each.at_s for each in history.arrivals[name]]
            assert any(end_s <= at_s < end_s + 1.0 for at_s in times_s)

    def test_an_endpoint_that_rests_is_not_probed(self) -> None:
        """Guards against probes within a rest."""
        plan = a_plan(Shedding(4.0, 12.0, b"9"), routers=1)
        lost = replace(SOUND, label=b"lost", body=Body.LOST, per_s=10.0)
        history = play_notices(replace(plan, prompts=(SOUND, lost)))
        for name, rests in history.rests.items():
            begin_s = rests[0][0] + 0.5
            late = [s for s in history.probes_s[name] if begin_s < s < 12.0]
            assert late == []

    def test_the_later_of_two_ends_counts(self) -> None:
        """Guards against a rest that a shorter one cuts."""
        notices = EndpointNotices(lambda decision: None)
        notices.asked_for_rest("e-1", 5.0, 0.0)
        notices.asked_for_rest("e-1", 1.0, 1.0)
        assert notices.rest_left_s("e-1", 1.0) == 4.0
        notices.delisted("e-1", 2.0)
        assert notices.rest_left_s("e-1", 2.0) == 3.0

    def test_a_rest_has_a_bound(self) -> None:
        """Guards against an endpoint that is never used again."""
        notices = EndpointNotices(lambda decision: None)
        notices.asked_for_rest("e-1", 1e300, 0.0)
        assert notices.rest_left_s("e-1", 0.0) == MAX_REST_S


class LeavingSuite:
    """Endpoints that say in their answers that they leave."""

    @pytest.mark.parametrize("routers", (1, 4))
    def test_endpoints_that_say_that_they_leave_are_left_alone(
        self, routers: int
    ) -> None:
        """Guards against a notice that nobody reads."""
        plan = a_plan(leaving=((4.0, "e-1"), (6.0, "e-8")), routers=routers)
        history = play_notices(plan)
        assert history.left_s
        assert history.late_arrivals() == []

    def test_the_list_does_not_call_an_endpoint_back(self) -> None:
        """Guards against an entry that still says ready."""
        notices = EndpointNotices(lambda decision: None)
        entry = an_entry("e-1")
        notices.leaves("e-1", entry, 0.0)
        notices.listed(replace(entry, warmup_remaining_s=1.0))
        assert notices.is_leaving("e-1")
        notices.delisted("e-1", 1.0)
        notices.sweep(2.0)
        notices.listed(entry)
        assert notices.is_leaving("e-1")

    def test_a_new_process_under_the_id_is_another_endpoint(self) -> None:
        """Guards against a notice that outlives its process."""
        notices = EndpointNotices(lambda decision: None)
        notices.leaves("e-1", an_entry("e-1"), 0.0)
        notices.listed(an_entry("e-1", version="v2"))
        assert not notices.is_leaving("e-1")

    def test_peers_are_told(self) -> None:
        """Guards against a caller that each router loses to learn of it."""
        history = play_notices(a_plan(leaving=((4.0, "e-1"),)))
        lines = history.lines("endpoint_leaving", "e-1")
        assert {line.inputs["reporter"] != "" for line in lines} == {
            True,
            False,
        }
