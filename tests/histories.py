"""Hand-made histories: one that is right, and one for each violation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from bulrushstream.history.record import (
    AnswerBytes,
    AnswerEnded,
    AnswerHead,
    BacklogChanged,
    CallAborted,
    CallSent,
    CoreFailed,
    EndpointCrashed,
    LeavingAnnounced,
    LoadChanged,
    Record,
    Refused,
    RunBytes,
    RunEnded,
    RunStarted,
    ServiceReceived,
    Stopped,
    VersionApplied,
)
from bulrushstream.history.violation import ViolationKind
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.request import Outcome

ROUTER: Final = InstanceKey("router-1", 1)
AGENT: Final = InstanceKey("agent-1", 1)
OTHER_AGENT: Final = InstanceKey("agent-2", 1)


def called(
    request_id: str = "r1",
    *,
    idempotent: bool = False,
    key: str = "",
    at_s: float = 0.0,
) -> CallSent:
    due_s = at_s + 9.0
    return CallSent(
        at_s, request_id, ROUTER, "w1", "s1", idempotent, due_s, 7, key
    )


def started(
    at_s: float, request_id: str = "r1", agent: InstanceKey = AGENT
) -> RunStarted:
    return RunStarted(at_s, request_id, 1, agent)


def sent(at_s: float, data: bytes, request_id: str = "r1") -> RunBytes:
    return RunBytes(at_s, request_id, 1, AGENT, data)


def ran(request_id: str = "r1") -> tuple[Record, ...]:
    """Return a run that sends b"one-", b"two-" and b"end"."""
    mark = request_id.encode()
    return (
        started(1.0, request_id),
        sent(1.1, mark + b"one-", request_id),
        sent(1.2, mark + b"two-", request_id),
        sent(1.3, mark + b"end", request_id),
        RunEnded(1.4, request_id, 1, AGENT, True),
    )


def answered(
    *pieces: bytes,
    request_id: str = "r1",
    whole: bool = True,
    outcome: Outcome = Outcome.RAN,
) -> tuple[Record, ...]:
    """Return what a caller receives, ended at 2 s."""
    return (
        AnswerHead(1.5, request_id, 200),
        *(AnswerBytes(1.6, request_id, piece) for piece in pieces),
        AnswerEnded(2.0, request_id, whole, outcome),
    )


def refused(
    request_id: str = "r1",
    outcome: Outcome = Outcome.NOT_RUN,
    at_s: float = 2.0,
) -> Refused:
    return Refused(at_s, request_id, "B106", outcome)


WHOLE: Final = (b"r1one-", b"r1two-", b"r1end")

RIGHT: Final[tuple[Record, ...]] = (
    VersionApplied(0.0, ROUTER, 3),
    called(),
    called("r2", idempotent=True),
    called("r3"),
    called("r4"),
    *ran(),
    *ran("r2"),
    *answered(*WHOLE),
    *answered(b"r2one-", request_id="r2", whole=False),
    refused("r3"),
    CallAborted(2.0, "r4"),
    LeavingAnnounced(2.0, AGENT),
    VersionApplied(2.5, ROUTER, 4),
    Stopped(3.0, AGENT, True),
    Stopped(20.0, ROUTER, True),
)


@dataclass(frozen=True, slots=True)
class FaultyHistory:
    """A history that breaks one promise."""

    name: str  # What is wrong with it.
    kind: ViolationKind  # What the checker must report.
    records: tuple[Record, ...]  # The history.


K = ViolationKind

FAULTY: Final = (
    FaultyHistory(
        "bytes of another request",
        K.FOREIGN_ANSWER,
        (called(), *ran(), *ran("r2"), *answered(b"r2one-", whole=False)),
    ),
    FaultyHistory(
        "bytes of no run at all",
        K.FOREIGN_ANSWER,
        (called(), *ran(), *answered(b"made up", whole=False)),
    ),
    FaultyHistory(
        "an answer to nobody",
        K.FOREIGN_ANSWER,
        (AnswerHead(1.0, "r9", 200),),
    ),
    FaultyHistory(
        "whole, but the last piece is missing",
        K.TRUNCATED_WHOLE,
        (called(), *ran(), *answered(*WHOLE[:2])),
    ),
    FaultyHistory(
        "whole, but empty",
        K.TRUNCATED_WHOLE,
        (called(), *ran(), *answered()),
    ),
    FaultyHistory(
        "whole, but the endpoint broke off",
        K.TRUNCATED_WHOLE,
        (
            called(),
            *ran()[:4],
            RunEnded(1.4, "r1", 1, AGENT, False),
            *answered(*WHOLE),
        ),
    ),
    FaultyHistory(
        "pieces reordered",
        K.GARBLED_ANSWER,
        (called(), *ran(), *answered(WHOLE[1], WHOLE[0], WHOLE[2])),
    ),
    FaultyHistory(
        "a piece doubled",
        K.GARBLED_ANSWER,
        (called(), *ran(), *answered(WHOLE[0], *WHOLE)),
    ),
    FaultyHistory(
        "a piece lost in the middle",
        K.GARBLED_ANSWER,
        (called(), *ran(), *answered(WHOLE[0], WHOLE[2])),
    ),
    FaultyHistory(
        "bytes after the end",
        K.AFTER_END,
        (called(), *ran(), *answered(*WHOLE), AnswerBytes(3.0, "r1", b"x")),
    ),
    FaultyHistory(
        "two final answers",
        K.AFTER_END,
        (called(), *ran(), *answered(*WHOLE), refused(outcome=Outcome.RAN)),
    ),
    FaultyHistory(
        "no final answer",
        K.NO_ANSWER,
        (called(), *ran(), LoadChanged(30.0, "s1", 0, 0)),
    ),
    FaultyHistory(
        "a final answer long after the deadline",
        K.NO_ANSWER,
        (called(), Refused(20.0, "r1", "B106", Outcome.NOT_RUN)),
    ),
    FaultyHistory(
        "a refusal in a calm fleet",
        K.CALM_FAILURE,
        (called(at_s=50.0), refused(at_s=51.0)),
    ),
    FaultyHistory(
        "a truncated answer in a calm fleet",
        K.CALM_FAILURE,
        (
            called(at_s=50.0),
            started(50.1),
            AnswerEnded(51.0, "r1", False, Outcome.RAN),
        ),
    ),
    FaultyHistory(
        "not-run, but it ran before",
        K.FALSE_NOT_RUN,
        (called(), *ran(), refused()),
    ),
    FaultyHistory(
        "not-run, but it ran afterwards",
        K.FALSE_NOT_RUN,
        (called(), refused(), started(3.0)),
    ),
    FaultyHistory(
        "ran, but it never did",
        K.FALSE_RAN,
        (called(), refused(outcome=Outcome.RAN)),
    ),
    FaultyHistory(
        "a non-idempotent request at two endpoints",
        K.RUN_TWICE,
        (called(), *ran(), started(2.0, agent=OTHER_AGENT)),
    ),
    FaultyHistory(
        "two requests with one key",
        K.RUN_TWICE,
        (called(key="k"), called("r2", key="k"), *ran(), *ran("r2")),
    ),
    FaultyHistory(
        "four endpoints down",
        K.CRASH_BOUND,
        tuple(EndpointCrashed(float(n), AGENT, 7) for n in range(4)),
    ),
    FaultyHistory(
        "new work long after leaving",
        K.LATE_WORK,
        (called(), LeavingAnnounced(0.0, AGENT), started(3.5)),
    ),
    FaultyHistory(
        "an agent stopped under a run",
        K.CUT_REQUEST,
        (called(), started(1.0), Stopped(2.0, AGENT, True)),
    ),
    FaultyHistory(
        "a router stopped under a caller",
        K.CUT_REQUEST,
        (called(), Stopped(2.0, ROUTER, True)),
    ),
    FaultyHistory(
        "one workspace gets everything",
        K.UNFAIR,
        (
            BacklogChanged(0.0, "s1", "w1", 2),
            BacklogChanged(0.0, "s1", "w2", 2),
            *(ServiceReceived(float(n), "s1", "w1", 1.0) for n in range(6)),
        ),
    ),
    FaultyHistory(
        "a slot idles beside work",
        K.IDLE_SLOT,
        (LoadChanged(0.0, "s1", 1, 1), LoadChanged(0.5, "s1", 0, 0)),
    ),
    FaultyHistory(
        "a slot idles beside work to the end",
        K.IDLE_SLOT,
        (LoadChanged(0.0, "s1", 1, 1), LoadChanged(0.5, "s1", 2, 1)),
    ),
    FaultyHistory(
        "a version goes down",
        K.VERSION_FELL,
        (VersionApplied(0.0, ROUTER, 4), VersionApplied(1.0, ROUTER, 3)),
    ),
    FaultyHistory(
        "a core raises an exception",
        K.CORE_FAILED,
        (CoreFailed(1.0, ROUTER, "KeyError"),),
    ),
)
