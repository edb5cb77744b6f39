"""The rollout measurement times each published configuration."""

from __future__ import annotations

import pytest

from bulrushstream.measure.rollout import (
    LogState,
    RolloutPlan,
    measure_rollout,
)


class RolloutSuite:
    @pytest.mark.parametrize("log", [LogState.HEALTHY, LogState.OUTAGE])
    async def test_every_publication_is_timed(self, log: LogState) -> None:
        rollout = await measure_rollout(RolloutPlan(log, 2, 2, 6))
        assert len(rollout.in_force_s) == 2
        assert min(rollout.in_force_s) > 0.0
        assert rollout.instances == 5
        assert rollout.sent_bytes > 0
