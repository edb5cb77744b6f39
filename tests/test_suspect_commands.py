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

    # Guards against a wrong verdict that only time ends.
    @pytest.mark.parametrize(
        ("name", "fingerprints", "parts"),
        [
            ("request 77", (77, 77, 77, 77), ()),
            # Crashes of one request would not count against its part.
            ("part 5c1e", (1, 2, 3, 4), (0x5C1E,)),
        ],
    )
    async def test_operators_clear_suspects(
        self,
        fleet: Deployment,
        name: str,
        fingerprints: tuple[int, ...],
        parts: tuple[int, ...],
    ) -> None:
        state = fleet.process.front.fleet_state
        clock = fleet.process.front.clock
        began_s = clock()
        for number, fingerprint in enumerate(fingerprints):
            at_s = began_s - 5.0 + number
            run = broken_run(fingerprint, at_s, parts)
            endpoint = f"e-{number}"
            safeguards.endpoint_crashed(state, endpoint, run, began_s)

        def is_refused() -> bool:
            if not parts:
                return state.suspects.is_refused(77, clock())
            judgement = state.parts.judge(parts, clock())
            return judgement.verdict is PartVerdict.REFUSE

        # What is computed now and then must not change the verdict.
        state.sweep(clock())
        assert is_refused()
        url = f"http://127.0.0.1:{fleet.process.ports[2]}"
        clear = partial(operate.suspects, url, clear=name)
        assert await asyncio.to_thread(clear) == 0
        assert not is_refused()
        assert await asyncio.to_thread(clear) == 1

    @pytest.mark.parametrize(
        "name", ["request x", "part", "?", "request " + "9" * 5000]
    )
    async def test_odd_names_clear_nothing(
        self, fleet: Deployment, name: str
    ) -> None:
        url = f"http://127.0.0.1:{fleet.process.ports[2]}"
        clear = partial(operate.suspects, url, clear=name)
        assert await asyncio.to_thread(clear) == 1


def broken_run(
    fingerprint: int, at_s: float, parts: tuple[int, ...]
) -> BrokenRun:
    """Return a run that broke as its answer had just begun.

    :param fingerprint: the request's digest
    :param at_s: when it broke, in seconds
    :param parts: the shared parts of its prompt
    """
    return BrokenRun(
        request_id=f"q{fingerprint}",
        fingerprint=fingerprint,
        broke_s=at_s,
        silent=False,
        unproven_connection=False,
        progress=AnswerProgress.BODY,
        parts=parts,
        sent_s=at_s - 0.1,
        began_s=at_s,
    )
