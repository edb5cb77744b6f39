"""A test driver for the agent core."""

from __future__ import annotations

from random import Random
from typing import TypeVar

from bulrushstream.coordination.agent import (
    AgentOptions,
    AgentState,
    handle,
    new_agent,
)
from bulrushstream.state.effect import (
    Effect,
    Send,
    StartRun,
)
from bulrushstream.state.event import (
    ConfigChanged,
    MessageReceived,
    PeerUp,
    RunBody,
    RunEnd,
    RunHead,
    TimerFired,
)
from bulrushstream.state.message import (
    Backlog,
    BacklogEntry,
    Message,
)
from tests.builders import a_config, a_router, an_agent

ROUTER = a_router()
MessageT = TypeVar("MessageT")


class AgentDriver:
    """An agent core with a clock, connected to one router."""

    def __init__(
        self,
        slots: int = 2,
        max_slots: int = 0,
        options: AgentOptions | None = None,
    ) -> None:
        self.now_s = 100.0
        self.effects: list[Effect] = []
        self.state: AgentState = new_agent(
            an_agent(), options or AgentOptions(), Random(1), self.now_s
        )
        self.on(ConfigChanged(a_config(slots=slots, max_slots=max_slots)))
        self.on(PeerUp(ROUTER))

    def on(self, event: object, after_s: float = 0.0) -> list[Effect]:
        self.now_s += after_s
        self.effects = handle(self.state, event, self.now_s)  # type: ignore
        return self.effects

    def receive(self, message: Message) -> list[Effect]:
        return self.on(MessageReceived(ROUTER.key, message))

    def sent(self, kind: type[MessageT]) -> list[MessageT]:
        sends = [e for e in self.effects if isinstance(e, Send)]
        return [s.message for s in sends if isinstance(s.message, kind)]

    def started(self) -> list[str]:
        runs = [e for e in self.effects if isinstance(e, StartRun)]
        return [run.dispatch.request_id for run in runs]

    def tick(self, after_s: float) -> list[Effect]:
        return self.on(TimerFired(), after_s)

    def respond(self, request_id: str = "q1", chunks: int = 1) -> None:
        self.on(RunHead(request_id, 1, 200, ()))
        for _ in range(chunks):
            self.on(RunBody(request_id, 1, b"x", 1))

    def announce_backlog(
        self, *counts: tuple[str, int], sequence: int = 1
    ) -> None:
        entries = tuple(
            BacklogEntry("proofwriter", name, 0, count, 0)
            for name, count in counts
        )
        self.receive(Backlog(sequence, False, entries))


def run_end(
    request_id: str = "q1",
    *,
    complete: bool = True,
    started: bool = True,
    crashed: bool = False,
) -> RunEnd:
    return RunEnd(request_id, 1, complete, started, crashed)
