"""The choice of an engine skips work that can not change it."""

from __future__ import annotations

from random import Random

import pytest

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.placement import (
    NO_CAPACITY_PENALTY_S,
    PREFILL_WEIGHT,
    RUNNING_PENALTY_S,
    TIE_S,
    choose_engine,
)
from bulrushstream.state.call import Prompt
from tests.deployments import a_prompt, an_engine

RATE = 30_000.0


def random_engines(rng: Random) -> list[Endpoint]:
    engines = [an_engine(f"e-{number}") for number in range(39)]
    for number in range(rng.choice((0, 20, 200))):
        view = rng.choice(engines).view
        assert view is not None
        prompt = a_prompt((rng.randrange(6), 4000), (1000 + number, 800))
        view.place(number, prompt, RATE, 0.0, 1e9)
        if rng.random() < 0.5:
            view.start(number, rng.random())
    for engine in engines:
        assert engine.view is not None
        engine.view.slowness = rng.choice((1.0, 1.0, 3.0))
    return engines


def score(engine: Endpoint, prompt: Prompt, now_s: float) -> float:
    """Return an engine's score, but for the tie-break."""
    view = engine.view
    assert view is not None
    prefill_s = view.prefill_s(view.prefill_tokens(prompt), RATE, now_s)
    penalty_s = RUNNING_PENALTY_S * len(view.running)
    if not view.has_capacity(prompt):
        penalty_s += NO_CAPACITY_PENALTY_S
    return view.backlog_s(now_s) + PREFILL_WEIGHT * prefill_s + penalty_s


class EngineChoiceSuite:
    @pytest.mark.parametrize("seed", range(40))
    def test_the_best_engine_and_the_best_idle_one(self, seed: int) -> None:
        rng = Random(seed)
        engines = random_engines(rng)
        now_s = rng.random()
        prompt = a_prompt((rng.randrange(6), 4000), (10**6, 800))
        found = choose_engine(engines, prompt, RATE, now_s)
        assert found is not None
        scores = {each.name: score(each, prompt, now_s) for each in engines}
        best = scores[found.best.endpoint.name]
        assert best <= min(scores.values()) + TIE_S
        idle = [
            each.name
            for each in engines
            if each.view is not None
            and each.view.has_capacity(prompt)
            and each.view.backlog_s(now_s) == 0.0
        ]
        assert found.idle_engines == len(idle)
        assert (found.idle is not None) == bool(idle)
        if found.idle is not None:
            least = min(scores[name] for name in idle)
            assert scores[found.idle.endpoint.name] <= least + TIE_S
