"""What agents served outlives their restarts and those of routers."""

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
    def test_a_new_router_learns_of_agents_that_are_over(self) -> None:
        first, again = an_agent(), an_agent("agent-2")
        old = new_router(a_router("r1"), RouterOptions(), Random(1), 0.0)
        new = new_router(a_router("r2"), RouterOptions(), Random(2), 0.0)
        for router in (old, new):
            handle(router, ConfigChanged(a_config()), 0.0)
        handle(old, PeerUp(first), 0.0)
        entry = ServedEntry(first.key.instance, 1, "school", 40.0, 0.0, 1)
        served = Served("proofwriter", 1, (entry,))
        handle(old, MessageReceived(first.key, served), 0.1)
        handle(old, PeerDown(first.key), 0.2)
        handle(old, PeerLost(first.key), 0.3)
        handle(old, PeerUp(again), 0.4)
        # The new router hears the second agent only.
        handle(new, PeerUp(again), 1.0)
        self.exchange(new, old, 1.0)
        handle(new, PeerDown(again.key), 20.0)
        effects = handle(new, PeerUp(again), 20.1)
        digests = [
            effect.message
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, Digest)
        ]
        assert digests[0].entries[0].total == 40.0

    def exchange(
        self, one: RouterState, two: RouterState, now_s: float
    ) -> None:
        """Connect two routers and let them relay for a while."""
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
        """Hand an event to one router, and what it sends to the other."""
        for effect in handle(source, event, now_s):
            if isinstance(effect, Send) and effect.peer == target.me.key:
                message = MessageReceived(source.me.key, effect.message)
                self.deliver(target, source, message, now_s)
