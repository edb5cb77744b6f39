"""Drives an agent's core in tests and picks its effects apart."""

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
M = TypeVar("M")


class Bench:
    """One agent, one router, and the time."""

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
        self.do(ConfigChanged(a_config(slots=slots, max_slots=max_slots)))
        self.do(PeerUp(ROUTER))

    def do(self, event: object, after_s: float = 0.0) -> list[Effect]:
        self.now_s += after_s
        self.effects = handle(self.state, event, self.now_s)  # type: ignore
        return self.effects

    def get(self, message: Message) -> list[Effect]:
        return self.do(MessageReceived(ROUTER.key, message))

    def sent(self, kind: type[M]) -> list[M]:
        sends = [e for e in self.effects if isinstance(e, Send)]
        return [s.message for s in sends if isinstance(s.message, kind)]

    def started(self) -> list[str]:
        runs = [e for e in self.effects if isinstance(e, StartRun)]
        return [run.dispatch.request_id for run in runs]

    def tick(self, after_s: float) -> list[Effect]:
        return self.do(TimerFired(), after_s)

    def answer(self, request_id: str = "q1", pieces: int = 1) -> None:
        self.do(RunHead(request_id, 1, 200, ()))
        for _ in range(pieces):
            self.do(RunBody(request_id, 1, b"x", 1))

    def waiting(self, *counts: tuple[str, int], sequence: int = 1) -> None:
        entries = tuple(
            BacklogEntry("proofwriter", name, 0, count, 0)
            for name, count in counts
        )
        self.get(Backlog(sequence, False, entries))


def end(
    request_id: str = "q1",
    *,
    whole: bool = True,
    started: bool = True,
    crashed: bool = False,
) -> RunEnd:
    return RunEnd(request_id, 1, whole, started, crashed)
