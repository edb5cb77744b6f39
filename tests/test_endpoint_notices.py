"""Endpoints that ask for rest get it, and those that leave are left alone.

Guards against requests that are sent to such endpoints all the same, and
against capacity that idles for it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final

import pytest

from tests.crashplans import Prompts
from tests.noticefleets import NoticePlan, Shedding, play_notices

FIRST: Final = ("a1", "a2", "a3")
SECOND: Final = tuple(f"c{n}" for n in range(12))
SOUND: Final = Prompts(b"sound", (FIRST, SECOND), per_s=60.0)
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
