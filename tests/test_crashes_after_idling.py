"""Crashes of endpoints that had closed an idle connection before.

Guards against a crash that counts against no request, as the connection that
the endpoint had closed for want of use passed for the end of its process.
"""

from __future__ import annotations

import asyncio

import pytest

from bulrushstream.coordination.crashevidence import BrokenRun
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.daemon.crashwatch import CrashWatch
from bulrushstream.state.call import AnswerProgress
from bulrushstream.state.endpointsigns import Sign
from bulrushstream.transport.upstream import Pool
from tests.deployments import an_entry
from tests.test_life_proofs import ADDRESS, Server
from tests.virtualnetwork import NetworkLoop, run_in_network


def counted_crashes(idle_end_s: float, sign: Sign) -> int:
    """Return how often a crash counts after an idle connection's end.

    :param idle_end_s: the time from that end to the request; 0: none ended
    :param sign: what is seen at the address after the crash
    """
    crashes: list[BrokenRun] = []

    async def run(loop: NetworkLoop) -> None:
        pool = Pool(*ADDRESS, loop.time)
        server = Server()
        loop.listeners[ADDRESS] = server.accept
        watch = CrashWatch(
            loop.time,
            lambda endpoint: None,
            lambda endpoint, status, headers: "",
            lambda decision: None,
            lambda endpoint: False,
            lambda name, run: crashes.append(run),
            lambda name, run: None,
        )
        pool.add_idle()
        await asyncio.sleep(0.01)
        pool.record_answer(loop.time())
        await asyncio.sleep(1.0)
        if idle_end_s:
            server.transports[0].end(None)
            await asyncio.sleep(idle_end_s)
        sent_s = loop.time()
        await asyncio.sleep(0.1)
        broken = BrokenRun(
            "q1",
            7,
            loop.time(),
            silent=False,
            unproven_connection=False,
            progress=AnswerProgress.NOTHING,
            sent_s=sent_s,
        )
        watch.add(Endpoint(an_entry("e-1"), None), pool, broken)
        if not idle_end_s:
            server.transports[0].end(None)
            await asyncio.sleep(0.01)
        watch.add_sign("e-1", sign)
        await asyncio.sleep(1.0)
        watch.sweep()
        pool.close()

    assert run_in_network(run) == []
    return len(crashes)


class IdleSuite:
    @pytest.mark.parametrize("idle_end_s", (0.0, 0.5, 3.0, 20.0))
    def test_a_port_that_refuses(self, idle_end_s: float) -> None:
        assert counted_crashes(idle_end_s, Sign.REFUSED) == 1

    @pytest.mark.parametrize("idle_end_s", (0.0, 20.0))
    def test_another_instance(self, idle_end_s: float) -> None:
        assert counted_crashes(idle_end_s, Sign.OTHER_INSTANCE) == 1
