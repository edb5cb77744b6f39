"""Patterns of load on model engines: who is sent where, who is refused.

Routers' own decisions, in virtual time and without a network.
"""

from __future__ import annotations

from bulrushstream.coordination.placement import (
    Admission,
    Prediction,
    admit_to_engine,
    choose_engine,
    wait_part,
)
from tests.deployments import a_prompt, an_engine

RATE = 30_000.0


class PrefixSuite:
    def test_prompts_that_share_parts_meet_on_one_engine(self) -> None:
        engines = [an_engine(f"e-{number}") for number in range(6)]
        places: dict[int, set[str]] = {}
        now_s = 0.0
        for number in range(120):
            subject = number % 6
            prompt = a_prompt((subject, 4000), (1000 + number, 800))
            now_s += 0.05
            found = choose_engine(engines, prompt, RATE, now_s)
            assert found is not None
            view = found.endpoint.view
            assert view is not None
            view.place(number, prompt, RATE, now_s, 1e9)
            view.start(number, now_s + found.first_s)
            view.end(number)
            places.setdefault(subject, set()).add(found.endpoint.name)
        assert all(len(names) == 1 for names in places.values())

    def test_a_hot_part_spreads_before_its_engine_is_late(self) -> None:
        engines = [an_engine(f"e-{number}") for number in range(4)]
        waits_s, used = [], set()
        for number in range(40):
            prompt = a_prompt((7, 4000), (1000 + number, 3000))
            found = choose_engine(engines, prompt, RATE, 0.0)
            assert found is not None
            view = found.endpoint.view
            assert view is not None
            view.place(number, prompt, RATE, 0.0, 1e9)
            waits_s.append(found.first_s)
            used.add(found.endpoint.name)
        assert len(used) == 4
        # Forty reads of 3,000 tokens take four engines a second.
        assert max(waits_s) < 2.0


class SheddingSuite:
    def prediction(self, wait_s: float, read_s: float) -> Prediction:
        return Prediction(an_engine(), wait_s, read_s, read_s * RATE, 0, True)

    def admits(self, wait_s: float, read_s: float, share_used: float) -> bool:
        found = self.prediction(wait_s, read_s)
        admission = admit_to_engine(found, 0.8, 0.8, share_used)
        return admission is Admission.SEND

    def test_a_request_in_time_is_sent(self) -> None:
        assert self.admits(0.3, 0.2, 0.0)

    def test_a_request_that_would_be_late_is_refused_at_once(self) -> None:
        for share_used in (0.0, 0.5, 1.0, 3.0):
            assert not self.admits(0.7, 0.2, share_used)

    def test_who_has_had_more_yields_sooner(self) -> None:
        used = [0.0, 0.5, 1.0, 2.0, 4.0]
        limits = [wait_part(each) for each in used]
        assert limits == sorted(limits, reverse=True)
        assert self.admits(0.3, 0.1, 0.1)
        assert not self.admits(0.3, 0.1, 1.1)

    def test_an_idle_engine_takes_anything(self) -> None:
        for read_s in (0.01, 0.5, 0.77, 5.0):
            for share_used in (0.0, 1.0, 9.0):
                assert self.admits(0.0, read_s, share_used)

    def test_a_prompt_longer_than_its_objective_is_still_served(self) -> None:
        assert self.admits(0.05, 1.4, 0.0)
