"""A test driver for the router core."""

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
    """A router core with a clock and a record of its effects."""

    state: RouterState
    now_s: float
    effects: list[Effect]  # All effects so far.

    def __init__(
        self,
        options: RouterOptions | None = None,
        info: InstanceInfo | None = None,
    ) -> None:
        self.now_s = 0.0
        self.effects = []
        self.state = new_router(
            info or a_router(),
            options or RouterOptions(),
            random.Random(7),
            0.0,
        )
        self.on(LogRead("strikes", (), caught_up=True))

    def on(self, event: Event) -> list[Effect]:
        """Pass the core an event and return its effects."""
        effects = handle(self.state, event, self.now_s)
        self.effects.extend(effects)
        return effects

    def wait(self, seconds_s: float) -> list[Effect]:
        """Advance the clock and fire the timers that become due."""
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

    def connect(self, info: InstanceInfo) -> list[Effect]:
        """Connect a peer."""
        return self.on(PeerUp(info))

    def receive(self, peer: InstanceInfo, message: Message) -> list[Effect]:
        """Deliver a message from a peer."""
        return self.on(MessageReceived(peer.key, message))

    def arrive(self, request: Request) -> list[Effect]:
        """Admit a request."""
        return self.on(RequestArrived(request))

    def pull(
        self, peer: InstanceInfo, workspace: str = "school", pull_id: int = 1
    ) -> list[Effect]:
        """Deliver an agent's pull for a workspace."""
        return self.receive(peer, Pull(pull_id, peer.service, workspace))

    def announce_idle(
        self, peer: InstanceInfo, free_slots: int = 1, sequence: int = 1
    ) -> list[Effect]:
        """Deliver an agent's announcement of free slots."""
        return self.receive(peer, Idle(sequence, free_slots))

    def replies(self, request_id: str = "q1") -> list[Part]:
        """Return the parts of the answer that were sent to the caller."""
        return [
            effect.part
            for effect in self.effects
            if isinstance(effect, Reply) and effect.request_id == request_id
        ]

    def failures(self, request_id: str = "q1") -> list[FailRequest]:
        """Return the failures reported to the caller."""
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
    """Return the messages of a kind that the effects send."""
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
