"""What operators see of suspects at a router, and how they clear them."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from bulrushstream.commands import operate
from bulrushstream.coordination.crashevidence import BrokenRun
from bulrushstream.coordination.partsuspects import PartVerdict
from bulrushstream.daemon import safeguards
from bulrushstream.state.call import AnswerProgress
from tests.deployments import (
    Deployment,
)


class OperatorSuite:
    async def test_operators_list_suspects_and_limits(
        self, fleet: Deployment, capsys: pytest.CaptureFixture[str]
    ) -> None:
        front = fleet.process.front
        now_s = front.clock()
        for number in range(4):
            at_s = now_s - 5.0 + number
            front.fleet_state.parts.endpoint_crashed(
                f"e-{number}", (0x5C1E,), at_s - 0.1, at_s, now_s
            )
        front.fleet_state.suspects.endpoint_crashed("e-0", 77, now_s, now_s)
        front.fleet_state.limits.observe("d-1", 4.5, now_s, now_s)
        url = f"http://127.0.0.1:{fleet.process.ports[2]}"
        assert await asyncio.to_thread(operate.suspects, url) == 0
        printed = capsys.readouterr().out
        assert "5c1e" in printed
        assert "refused" in printed
        assert "e-0,e-1,e-2,e-3" in printed
        assert "77" in printed
        assert "4.5 a second" in printed
        assert await asyncio.to_thread(operate.suspects, f"{url}/x") == 1

    async def test_operators_clear_suspects(self, fleet: Deployment) -> None:
        """Guards against a wrong verdict that only time ends."""
        front = fleet.process.front
        now_s = front.clock()
        for number in range(4):
            at_s = now_s - 5.0 + number
            run = BrokenRun(
                "q1",
                77,
                at_s,
                False,
                False,
                AnswerProgress.BODY,
                (0x5C1E,),
                at_s - 0.1,
                at_s,
            )
            name = f"e-{number}"
            safeguards.endpoint_crashed(front.fleet_state, name, run, now_s)
        suspects, parts = front.fleet_state.suspects, front.fleet_state.parts
        assert suspects.is_refused(77, now_s)
        assert parts.judge((0x5C1E,), now_s).verdict is PartVerdict.REFUSE
        url = f"http://127.0.0.1:{fleet.process.ports[2]}"
        for name in ("request 77", "part 5c1e"):
            clear = partial(operate.suspects, url, clear=name)
            assert await asyncio.to_thread(clear) == 0
            assert await asyncio.to_thread(clear) == 1
        for name in ("request x", "part", "", "request " + "9" * 5000):
            clear = partial(operate.suspects, url, clear=name or "?")
            assert await asyncio.to_thread(clear) == 1
        assert not suspects.is_refused(77, now_s)
        assert parts.judge((0x5C1E,), now_s).verdict is PartVerdict.SERVE
