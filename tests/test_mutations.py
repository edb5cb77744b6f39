"""Random histories detect faulty cores and accept the correct ones."""

from __future__ import annotations

from typing import Final

import pytest

from bulrushstream.history.generate import random_plan
from bulrushstream.history.harness import run_plan
from bulrushstream.history.real import REAL_CORES
from tests import mutations

SEEDS: Final = range(40)
MUTATION_SEEDS: Final = range(20)


class RandomHistoriesSuite:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_correct_cores_cause_no_violations(self, seed: int) -> None:
        assert run_plan(random_plan(seed), REAL_CORES).violations == ()

    def test_a_seed_always_gives_the_same_history(self) -> None:
        first = run_plan(random_plan(7), REAL_CORES)
        second = run_plan(random_plan(7), REAL_CORES)
        assert first.history == second.history
        assert first.steps == second.steps


class MutationsSuite:
    @pytest.mark.parametrize(
        "mutation", mutations.MUTATIONS, ids=lambda each: str(each.name)
    )
    def test_mutation_is_caught(self, mutation: mutations.Mutation) -> None:
        for seed in MUTATION_SEEDS:
            run = run_plan(mutation.make_plan(seed), mutation.cores)
            kinds = {violation.kind for violation in run.violations}
            if kinds & mutation.kinds:
                correct = run_plan(mutation.make_plan(seed), REAL_CORES)
                assert correct.violations == ()
                return
        pytest.fail("No history showed the fault.")
