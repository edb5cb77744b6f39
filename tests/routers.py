"""Drives a router's core in tests and picks its effects apart."""

from __future__ import annotations

import random
from typing import TypeVar

from bulrushstream.coordination.router import (
    RouterOptions,
    RouterState,
    handle,
    new_router,
)
from bulrushstream.state.effect import Effect, FailRequest, Reply, Send
from bulrushstream.state.event import (
    Event,
    LogRead,
    MessageReceived,
    PeerUp,
    RequestArrived,
    TimerFired,
)
from bulrushstream.state.identity import InstanceInfo, InstanceKey
from bulrushstream.state.message import Dispatch, Idle, Message, Part, Pull
from bulrushstream.state.request import Request
from tests.builders import a_router

MessageT = TypeVar("MessageT")


class RouterDriver:
    """A router's core with a clock and a record of its effects."""

    state: RouterState  # The router.
    now_s: float  # The time on its clock.
    effects: list[Effect]  # All effects so far.

    def __init__(
        self,
        options: RouterOptions | None = None,
        me: InstanceInfo | None = None,
    ) -> None:
        self.now_s = 0.0
        self.effects = []
        self.state = new_router(
            me or a_router(), options or RouterOptions(), random.Random(7), 0.0
        )
        self.on(LogRead("strikes", (), caught_up=True))

    def on(self, event: Event) -> list[Effect]:
        """Hand the core an event and return its effects."""
        effects = handle(self.state, event, self.now_s)
        self.effects.extend(effects)
        return effects

    def wait(self, seconds_s: float) -> list[Effect]:
        """Let time pass, with a tick at each time that the core asks for."""
        end_s = self.now_s + seconds_s
        effects: list[Effect] = []
        while True:
            due_s = self.state.timers.next_s()
            if due_s is None or due_s > end_s:
                break
            self.now_s = max(self.now_s, due_s)
            effects.extend(self.on(TimerFired()))
        self.now_s = end_s
        return effects

    def up(self, info: InstanceInfo) -> list[Effect]:
        """Connect a peer."""
        return self.on(PeerUp(info))

    def get(self, peer: InstanceInfo, message: Message) -> list[Effect]:
        """Let the router receive a message."""
        return self.on(MessageReceived(peer.key, message))

    def arrive(self, request: Request) -> list[Effect]:
        """Let a request arrive."""
        return self.on(RequestArrived(request))

    def pull(
        self, peer: InstanceInfo, workspace: str = "school", pull_id: int = 1
    ) -> list[Effect]:
        """Let an agent pull a workspace."""
        return self.get(peer, Pull(pull_id, peer.service, workspace))

    def idle(
        self, peer: InstanceInfo, free_slots: int = 1, sequence: int = 1
    ) -> list[Effect]:
        """Let an agent announce free slots."""
        return self.get(peer, Idle(sequence, free_slots))

    def replies(self, request_id: str = "q1") -> list[Part]:
        """Return the parts that a caller was given."""
        return [
            effect.part
            for effect in self.effects
            if isinstance(effect, Reply) and effect.request_id == request_id
        ]

    def failures(self, request_id: str = "q1") -> list[FailRequest]:
        """Return how a caller's request failed."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, FailRequest)
            and effect.request_id == request_id
        ]


def sent(
    effects: list[Effect],
    kind: type[MessageT],
    peer: InstanceInfo | None = None,
) -> list[MessageT]:
    """Return the messages of a kind that are to be sent."""
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, kind)
        and (peer is None or effect.peer == peer.key)
    ]


def dispatch_peers(effects: list[Effect]) -> list[InstanceKey]:
    """Return the agents to which requests are dispatched."""
    return [
        effect.peer
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, Dispatch)
    ]
