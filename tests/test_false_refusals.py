"""Refusals of endpoints that do not state that nothing ran (review/10)."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final

import msgspec
import pytest

from bulrushstream.commands.explain import trace
from bulrushstream.coordination.forwarding import NOT_RUN_STATUSES
from bulrushstream.daemon.front import Front
from bulrushstream.logs import DECISION_EVENT
from bulrushstream.messages import FALSE_REFUSAL
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Outcome
from bulrushstream.transport.answering import AnswerState, _send_head
from tests.checkedstreams import Answer, Endpoints, Play
from tests.simulatedcallers import Caller
from tests.test_repeated_refusals import body_of

FULL: Final = Answer(
    status=b"503 Full", headers=b"Retry-After: 1\r\n", more=b"after the run"
)
STATED: Final = replace(FULL, headers=b"X-Not-Executed: 1\r\n")
SERVED: Final = Answer(status=b"204 Done")
MAY_NOT_REPEAT: Final = ("/once/", "/tell/")
MAY_REPEAT: Final = ("/safe/", "/talk/")


def play(
    path: str, answers: list[Answer], **more: Any
) -> tuple[Caller, Endpoints]:
    """Play one request; return its caller and the endpoints.

    :param path: where it is sent
    :param answers: what the endpoints answer, in order
    :param more: how it is played
    """
    service = "desk" if path in ("/once/", "/safe/") else "llm"
    endpoints = Endpoints(answers)
    caller = Play(path=path, service=service, **more).run(endpoints)
    return caller, endpoints


def expect_replaced(caller: Caller) -> None:
    """Expect that the caller got a status which promises nothing."""
    head, _, body = caller.data.partition(b"\r\n\r\n")
    assert body_of(caller.data)[0] == "502"
    assert msgspec.json.decode(body)["code"] == FALSE_REFUSAL.code
    assert msgspec.json.decode(body)["execution"] == "unknown"
    assert b"retry-after" not in head.lower()
    assert b"signature" not in head.lower()


class FalseRefusalSuite:
    # Guards against a request that its caller sends again though it ran.
    @pytest.mark.parametrize("path", MAY_NOT_REPEAT)
    @pytest.mark.parametrize("status", [b"408 Late", b"429 Many", b"503 Full"])
    @pytest.mark.parametrize("framed", [True, False])
    @pytest.mark.parametrize("more", [b"", b"after the run", b"x" * 300_000])
    def test_it_is_replaced(
        self, path: str, status: bytes, framed: bool, more: bytes
    ) -> None:
        answer = replace(FULL, status=status, framed=framed, more=more)
        caller, endpoints = play(path, [answer])
        expect_replaced(caller)
        assert len(endpoints.sends) == 1

    # Guards against the same if it comes in pieces, or within a stream's head.
    @pytest.mark.parametrize("path", MAY_NOT_REPEAT)
    @pytest.mark.parametrize(
        "more",
        [
            {"first_bytes": 5, "pause_s": 0.3},
            {"headers": b"Content-Type: text/event-stream\r\n"},
            {"headers": b"Connection: close\r\n"},
        ],
    )
    def test_it_comes_in_other_ways(
        self, path: str, more: dict[str, Any]
    ) -> None:
        caller, _ = play(path, [replace(FULL, **more)])
        expect_replaced(caller)

    # Guards against a last attempt whose refusal is passed on.
    @pytest.mark.parametrize("path", MAY_NOT_REPEAT)
    def test_an_earlier_attempt_was_not_run(self, path: str) -> None:
        caller, endpoints = play(path, [STATED, FULL])
        expect_replaced(caller)
        assert len(endpoints.sends) == 2

    # Guards against a statement for the last attempt that is taken for all.
    @pytest.mark.parametrize("path", MAY_REPEAT)
    def test_a_statement_comes_after_a_run(self, path: str) -> None:
        caller, endpoints = play(path, [FULL, STATED])
        assert body_of(caller.data)[0] == "502"
        assert len(endpoints.sends) == 3

    # Guards against callers who may repeat and lose an endpoint's own answer.
    @pytest.mark.parametrize("path", MAY_REPEAT)
    @pytest.mark.parametrize("status", [b"408 Late", b"429 Many", b"503 Full"])
    def test_callers_who_may_repeat_get_it(
        self, path: str, status: bytes
    ) -> None:
        caller, _ = play(path, [replace(FULL, status=status)])
        got = body_of(caller.data)
        assert got == (status.split()[0].decode(), FULL.more, True)

    # Guards against refusals that are replaced though they state the truth.
    @pytest.mark.parametrize("path", MAY_NOT_REPEAT + MAY_REPEAT)
    def test_a_stated_one_is_tried_again(self, path: str) -> None:
        caller, endpoints = play(path, [STATED, SERVED])
        assert body_of(caller.data)[0] == "204"
        assert len(endpoints.sends) == 2
        caller, _ = play(path, [replace(STATED, status=b"429 Many")])
        assert body_of(caller.data)[0] == "503"

    @pytest.mark.parametrize("status", [b"400 Bad", b"404 None", b"500 Oh"])
    def test_other_errors_are_passed_on(self, status: bytes) -> None:
        caller, _ = play("/once/", [replace(FULL, status=status)])
        assert body_of(caller.data)[0] == status.split()[0].decode()


class RecordSuite:
    # Guards against an answer of which nothing is known, as it is replaced.
    def test_the_log_names_endpoint_and_status(self) -> None:
        lines: list[str] = []

        def watch(front: Front, caller: Caller) -> None:
            def note(decision: Any) -> None:
                entry = msgspec.to_builtins(decision)
                entry |= {"event": DECISION_EVENT, "time_s": front.clock()}
                lines.append(msgspec.json.encode(entry).decode())

            front.observe = note

        play("/once/", [FULL], do=watch)
        explained = "\n".join(trace("q0", lines))
        assert "false_refusal: status 503" in explained
        assert "endpoint=e-" in explained
        assert f"outcome=unknown {FALSE_REFUSAL.code}" in explained

    # Guards against an endpoint that goes on to fail requests, unnoticed.
    @pytest.mark.parametrize(
        ("answer", "counts"),
        [
            (replace(FULL, headers=b""), True),
            (replace(FULL, status=b"429 Many"), True),
            (FULL, False),  # It asks for rest.
            (STATED, False),
        ],
    )
    def test_it_counts_as_a_failure(
        self, answer: Answer, counts: bool
    ) -> None:
        fronts: list[Front] = []
        play("/once/", [answer], do=lambda front, caller: fronts.append(front))
        rates = [each.failure_rate for each in fronts[0].pool.by_name.values()]
        assert (max(rates) > 0) is counts


class OwnInterfaceSuite:
    # Guards against a caller of the own interface who is told to come back
    # with what ran.
    @pytest.mark.parametrize("status", [200, 404, 500, *NOT_RUN_STATUSES])
    async def test_no_retry_after_is_passed_on(self, status: int) -> None:
        sent: list[Any] = []

        async def send(message: Any) -> None:
            sent.append(message)

        headers = (("Retry-After", "3"), ("x-other", "1"))
        head = Part("q1", 1, 0, PartKind.HEAD, status=status, headers=headers)
        state = AnswerState("q1", {}, send, 1.0, head)
        await _send_head(state, head, Outcome.RAN, 0)
        names = {name.lower() for name, _ in sent[0]["headers"]}
        assert b"x-other" in names
        assert (b"retry-after" in names) is (status not in NOT_RUN_STATUSES)
