"""Adapters that start the real cores in the harness."""

from __future__ import annotations

from random import Random
from typing import Final

from bulrushstream.coordination import agent, router
from bulrushstream.history.cores import CoreFactories, RunningCore
from bulrushstream.state.identity import InstanceInfo


def start_router(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
    """Start a router's core.

    :param info: the instance.
    :param rng: the core's random number generator.
    :param now_s: the core's local time.
    :returns: the running core.
    """
    state = router.new_router(info, router.RouterOptions(), rng, now_s)
    return RunningCore(
        lambda event, at_s: router.handle(state, event, at_s),
        lambda: state.idle,
    )


def start_agent(info: InstanceInfo, rng: Random, now_s: float) -> RunningCore:
    """Start an agent's core.

    :param info: the instance.
    :param rng: the core's random number generator.
    :param now_s: the core's local time.
    :returns: the running core.
    """
    state = agent.new_agent(info, agent.AgentOptions(), rng, now_s)
    return RunningCore(
        lambda event, at_s: agent.handle(state, event, at_s),
        lambda: state.idle,
    )


REAL_CORES: Final = CoreFactories(start_router, start_agent)
