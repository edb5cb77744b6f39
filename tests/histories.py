"""Hand-written histories: a correct one and one for each violation."""

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


def call_sent(
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


def run_started(
    at_s: float, request_id: str = "r1", agent: InstanceKey = AGENT
) -> RunStarted:
    return RunStarted(at_s, request_id, 1, agent)


def run_bytes(at_s: float, data: bytes, request_id: str = "r1") -> RunBytes:
    return RunBytes(at_s, request_id, 1, AGENT, data)


def complete_run(request_id: str = "r1") -> tuple[Record, ...]:
    """Return a complete run; each chunk starts with the request's id."""
    prefix = request_id.encode()
    return (
        run_started(1.0, request_id),
        run_bytes(1.1, prefix + b"one-", request_id),
        run_bytes(1.2, prefix + b"two-", request_id),
        run_bytes(1.3, prefix + b"end", request_id),
        RunEnded(1.4, request_id, 1, AGENT, True),
    )


def answer(
    *chunks: bytes,
    request_id: str = "r1",
    complete: bool = True,
    outcome: Outcome = Outcome.RAN,
) -> tuple[Record, ...]:
    """Return the answer that a caller receives; it ends at 2 s."""
    return (
        AnswerHead(1.5, request_id, 200),
        *(AnswerBytes(1.6, request_id, chunk) for chunk in chunks),
        AnswerEnded(2.0, request_id, complete, outcome),
    )


def refusal(
    request_id: str = "r1",
    outcome: Outcome = Outcome.NOT_RUN,
    at_s: float = 2.0,
) -> Refused:
    return Refused(at_s, request_id, "B106", outcome)


ANSWER_CHUNKS: Final = (b"r1one-", b"r1two-", b"r1end")

CORRECT_HISTORY: Final[tuple[Record, ...]] = (
    VersionApplied(0.0, ROUTER, 3),
    call_sent(),
    call_sent("r2", idempotent=True),
    call_sent("r3"),
    call_sent("r4"),
    *complete_run(),
    *complete_run("r2"),
    *answer(*ANSWER_CHUNKS),
    *answer(b"r2one-", request_id="r2", complete=False),
    refusal("r3"),
    CallAborted(2.0, "r4"),
    LeavingAnnounced(2.0, AGENT),
    VersionApplied(2.5, ROUTER, 4),
    Stopped(3.0, AGENT, True),
    Stopped(20.0, ROUTER, True),
)


@dataclass(frozen=True, slots=True)
class FaultyHistory:
    """A history with one violation."""

    name: str  # Describes the fault.
    kind: ViolationKind  # The violation that must be reported.
    records: tuple[Record, ...]


K = ViolationKind

FAULTY_HISTORIES: Final = (
    FaultyHistory(
        "bytes of another request",
        K.FOREIGN_ANSWER,
        (
            call_sent(),
            *complete_run(),
            *complete_run("r2"),
            *answer(b"r2one-", complete=False),
        ),
    ),
    FaultyHistory(
        "bytes of no run at all",
        K.FOREIGN_ANSWER,
        (call_sent(), *complete_run(), *answer(b"made up", complete=False)),
    ),
    FaultyHistory(
        "an answer to nobody",
        K.FOREIGN_ANSWER,
        (AnswerHead(1.0, "r9", 200),),
    ),
    FaultyHistory(
        "whole, but the last piece is missing",
        K.TRUNCATED_WHOLE,
        (call_sent(), *complete_run(), *answer(*ANSWER_CHUNKS[:2])),
    ),
    FaultyHistory(
        "whole, but empty",
        K.TRUNCATED_WHOLE,
        (call_sent(), *complete_run(), *answer()),
    ),
    FaultyHistory(
        "whole, but the endpoint broke off",
        K.TRUNCATED_WHOLE,
        (
            call_sent(),
            *complete_run()[:4],
            RunEnded(1.4, "r1", 1, AGENT, False),
            *answer(*ANSWER_CHUNKS),
        ),
    ),
    FaultyHistory(
        "pieces reordered",
        K.GARBLED_ANSWER,
        (
            call_sent(),
            *complete_run(),
            *answer(ANSWER_CHUNKS[1], ANSWER_CHUNKS[0], ANSWER_CHUNKS[2]),
        ),
    ),
    FaultyHistory(
        "a piece doubled",
        K.GARBLED_ANSWER,
        (
            call_sent(),
            *complete_run(),
            *answer(ANSWER_CHUNKS[0], *ANSWER_CHUNKS),
        ),
    ),
    FaultyHistory(
        "a piece lost in the middle",
        K.GARBLED_ANSWER,
        (
            call_sent(),
            *complete_run(),
            *answer(ANSWER_CHUNKS[0], ANSWER_CHUNKS[2]),
        ),
    ),
    FaultyHistory(
        "bytes after the end",
        K.AFTER_END,
        (
            call_sent(),
            *complete_run(),
            *answer(*ANSWER_CHUNKS),
            AnswerBytes(3.0, "r1", b"x"),
        ),
    ),
    FaultyHistory(
        "two final answers",
        K.AFTER_END,
        (
            call_sent(),
            *complete_run(),
            *answer(*ANSWER_CHUNKS),
            refusal(outcome=Outcome.RAN),
        ),
    ),
    FaultyHistory(
        "no final answer",
        K.NO_ANSWER,
        (call_sent(), *complete_run(), LoadChanged(30.0, "s1", 0, 0)),
    ),
    FaultyHistory(
        "a final answer long after the deadline",
        K.NO_ANSWER,
        (call_sent(), Refused(20.0, "r1", "B106", Outcome.NOT_RUN)),
    ),
    FaultyHistory(
        "a refusal in a calm fleet",
        K.CALM_FAILURE,
        (call_sent(at_s=50.0), refusal(at_s=51.0)),
    ),
    FaultyHistory(
        "a truncated answer in a calm fleet",
        K.CALM_FAILURE,
        (
            call_sent(at_s=50.0),
            run_started(50.1),
            AnswerEnded(51.0, "r1", False, Outcome.RAN),
        ),
    ),
    FaultyHistory(
        "not-run, but it ran before",
        K.FALSE_NOT_RUN,
        (call_sent(), *complete_run(), refusal()),
    ),
    FaultyHistory(
        "not-run, but it ran afterwards",
        K.FALSE_NOT_RUN,
        (call_sent(), refusal(), run_started(3.0)),
    ),
    FaultyHistory(
        "ran, but it never did",
        K.FALSE_RAN,
        (call_sent(), refusal(outcome=Outcome.RAN)),
    ),
    FaultyHistory(
        "a non-idempotent request at two endpoints",
        K.RUN_TWICE,
        (call_sent(), *complete_run(), run_started(2.0, agent=OTHER_AGENT)),
    ),
    FaultyHistory(
        "two requests with one key",
        K.RUN_TWICE,
        (
            call_sent(key="k"),
            call_sent("r2", key="k"),
            *complete_run(),
            *complete_run("r2"),
        ),
    ),
    FaultyHistory(
        "four endpoints down",
        K.CRASH_BOUND,
        tuple(EndpointCrashed(float(n), AGENT, 7) for n in range(4)),
    ),
    FaultyHistory(
        "new work long after leaving",
        K.LATE_WORK,
        (call_sent(), LeavingAnnounced(0.0, AGENT), run_started(3.5)),
    ),
    FaultyHistory(
        "an agent stopped under a run",
        K.CUT_REQUEST,
        (call_sent(), run_started(1.0), Stopped(2.0, AGENT, True)),
    ),
    FaultyHistory(
        "a router stopped under a caller",
        K.CUT_REQUEST,
        (call_sent(), Stopped(2.0, ROUTER, True)),
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
