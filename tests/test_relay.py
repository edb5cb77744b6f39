"""Service counters survive restarts of agents and routers.

Otherwise a workspace that was served much by an agent which is now lost counts
as little served after the routers have restarted, and is preferred.
"""

from __future__ import annotations

from random import Random

from bulrushstream.coordination.router import (
    RouterOptions,
    RouterState,
    handle,
    new_router,
)
from bulrushstream.state.effect import Send
from bulrushstream.state.event import (
    ConfigChanged,
    Event,
    MessageReceived,
    PeerDown,
    PeerLost,
    PeerUp,
    TimerFired,
)
from bulrushstream.state.message import Digest, Served, ServedEntry
from tests.builders import a_config, a_router, an_agent


class RelaySuite:
    def test_a_new_router_learns_the_counters_of_lost_agents(self) -> None:
        lost_agent, second_agent = an_agent(), an_agent("agent-2")
        old = new_router(a_router("r1"), RouterOptions(), Random(1), 0.0)
        new = new_router(a_router("r2"), RouterOptions(), Random(2), 0.0)
        for router in (old, new):
            handle(router, ConfigChanged(a_config()), 0.0)
        handle(old, PeerUp(lost_agent), 0.0)
        entry = ServedEntry(lost_agent.key.instance, 1, "school", 40.0, 0.0, 1)
        served = Served("proofwriter", 1, (entry,))
        handle(old, MessageReceived(lost_agent.key, served), 0.1)
        handle(old, PeerDown(lost_agent.key), 0.2)
        handle(old, PeerLost(lost_agent.key), 0.3)
        handle(old, PeerUp(second_agent), 0.4)
        # The new router never connects to the first agent.
        handle(new, PeerUp(second_agent), 1.0)
        self.exchange(new, old, 1.0)
        handle(new, PeerDown(second_agent.key), 20.0)
        effects = handle(new, PeerUp(second_agent), 20.1)
        digests = [
            effect.message
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, Digest)
        ]
        assert digests[0].entries[0].total == 40.0

    def exchange(
        self, one: RouterState, two: RouterState, now_s: float
    ) -> None:
        """Connect two routers and let them exchange messages for 15 s."""
        for step in range(60):
            at_s = now_s + step * 0.25
            for source, target in ((one, two), (two, one)):
                event = TimerFired() if step else PeerUp(target.me)
                self.deliver(source, target, event, at_s)

    def deliver(
        self,
        source: RouterState,
        target: RouterState,
        event: Event,
        now_s: float,
    ) -> None:
        """Handle an event at one router; deliver its messages to the other."""
        for effect in handle(source, event, now_s):
            if isinstance(effect, Send) and effect.peer == target.me.key:
                message = MessageReceived(source.me.key, effect.message)
                self.deliver(target, source, message, now_s)
