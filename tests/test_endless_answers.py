"""Answers that never end, or that end with their connection.

Guards against bytes that are no answer and that a router reads for as long
as they come, and against answers without a length that pass for whole, or
for crashes.
"""

from __future__ import annotations

import re
from dataclasses import replace
from itertools import product

import pytest

from tests.crashfleets import play
from tests.crashingendpoints import (
    After,
    Body,
    Ending,
    Endless,
    Link,
    Point,
    Proxied,
    Unframed,
)
from tests.crashplans import TIMEOUT_S, CrashHistory, CrashPlan, Prompts

PATHS = ("/talk/", "/tell/", "/safe/", "/once/")
REPEATABLE = ("/talk/", "/safe/")

# What one attempt may read of bytes that are no answer.
MAX_READ_BYTES = 600_000

ASKING = Prompts(
    b"asking", (("a1",), ("c1",)), per_s=1.0, begin_s=2.0, end_s=8.0
)


def play_one_kind(body: bytes, path: str) -> CrashHistory:
    asking = replace(ASKING, path=path, body=body)
    plan = CrashPlan(prompts=(asking,), background_per_s=1.0, end_s=14.0)
    return play(plan)


def is_whole(reply: bytes) -> bool:
    """Return whether a caller can take a reply for a complete one."""
    head, _, body = reply.partition(b"\r\n\r\n")
    if b"chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head)
    return bool(head) and (length is None or len(body) == int(length[1]))


class EndlessSuite:
    """Bytes without end cost little, and the request gets its outcome."""

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize(
        ("how", "speed"), list(product(Endless, ("fast", "trickle")))
    )
    def test_they_are_not_read_for_long(
        self, how: Endless, speed: str, path: str
    ) -> None:
        body = b"%b:%b:%b" % (Body.ENDLESS, how.encode(), speed.encode())
        history = play_one_kind(body, path)
        sent = len(history.sent[ASKING.label])
        assert sent >= 3
        assert sum(history.useless_bytes) <= MAX_READ_BYTES * sent
        statuses = {status for status, _ in history.answers[ASKING.label]}
        if how is Endless.AFTER and path in ("/safe/", "/once/"):
            assert statuses == {"200"}
            return
        if how is not Endless.AFTER:
            assert not [
                r for r in history.replies[ASKING.label] if is_whole_200(r)
            ]
        allowed = {"500", "502", "503", "504", "200"}
        assert statuses <= allowed
        if speed == "fast" and path in REPEATABLE and how is not Endless.AFTER:
            assert sent > len(history.ids[ASKING.label])
        if how is not Endless.FULL:
            # "Not run" would be untrue.
            assert "503" not in statuses

    @pytest.mark.parametrize("path", PATHS)
    def test_others_are_served(self, path: str) -> None:
        body = b"%b:%b:fast" % (Body.ENDLESS, Endless.HEADER.encode())
        history = play_one_kind(body, path)
        others = [
            status
            for label, answers in history.answers.items()
            if label != ASKING.label
            for status, _ in answers
        ]
        assert others.count("200") >= 0.9 * len(others)


def is_whole_200(reply: bytes) -> bool:
    return reply.startswith(b"HTTP/1.1 200") and is_whole(reply)


class UnframedSuite:
    """Callers can tell whole answers without a length from broken ones."""

    @pytest.mark.parametrize(
        "after", [After.REFUSES, After.MUTE, After.OTHER_ID, *Proxied]
    )
    @pytest.mark.parametrize("path", PATHS)
    def test_the_end_of_a_process_is_not_that_of_an_answer(
        self, path: str, after: After | Proxied
    ) -> None:
        """Guards against an address that accepts for a process that ended."""
        body = b"%b:%b:" % (Body.UNFRAMED, Unframed.KILLED.encode())
        asking = replace(ASKING, path=path, body=body)
        ending = Ending(Point.AMID, Link.CLOSED, after)
        plan = CrashPlan(
            prompts=(asking,), ending=ending, background_per_s=1.0, end_s=14.0
        )
        history = play(plan)
        assert len(history.crashes_s) >= 2
        assert not [
            r for r in history.replies[ASKING.label] if is_whole_200(r)
        ]

    @pytest.mark.parametrize("tells_starts", [True, False])
    @pytest.mark.parametrize("path", PATHS)
    # The next process under the id answered for the one that had ended.
    def test_the_next_process_under_the_id_is_another(
        self, path: str, tells_starts: bool
    ) -> None:
        body = b"%b:%b:" % (Body.UNFRAMED, Unframed.KILLED.encode())
        asking = replace(ASKING, path=path, body=body, per_s=2.0)
        history = play(
            CrashPlan(
                prompts=(asking,),
                ending=Ending(Point.AMID, Link.CLOSED, After.SAME_ID),
                background_per_s=8.0,
                end_s=14.0,
                tells_starts=tells_starts,
            )
        )
        assert len(history.crashes_s) >= 2
        replies = history.replies[ASKING.label]
        assert not [reply for reply in replies if is_whole_200(reply)]

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize(
        "how", [h for h in Unframed if h is not Unframed.KILLED]
    )
    def test_what_the_caller_gets(self, how: Unframed, path: str) -> None:
        body = b"%b:%b:" % (Body.UNFRAMED, how.encode())
        history = play_one_kind(body, path)
        replies = history.replies[ASKING.label]
        assert len(replies) >= 3
        streams = path in ("/talk/", "/tell/")
        whole = how in (Unframed.CLOSED, Unframed.SLOWLY)
        if how is Unframed.AMID_EVENT and not streams:
            whole = True  # There are no events.
        for reply in replies:
            assert is_whole_200(reply) == whole

    @pytest.mark.parametrize("path", PATHS)
    def test_they_are_not_taken_for_crashes(self, path: str) -> None:
        body = b"%b:%b:" % (Body.UNFRAMED, Unframed.CLOSED.encode())
        asking = replace(ASKING, path=path, body=body, per_s=20.0, end_s=12.0)
        history = play(
            CrashPlan(prompts=(asking,), background_per_s=8.0, end_s=18.0)
        )
        assert history.served_share(ASKING.label, 2.0) >= 0.98
        assert history.lines("part_strikes") == []
        assert history.lines("strike") == []
        assert history.probes <= len(history.sent[ASKING.label])
        assert history.lines("endpoint_seen") == []

    def test_busy_endpoints_need_no_probes(self) -> None:
        """Guards against probes where streams prove that endpoints live."""
        body = b"%b:%b:" % (Body.UNFRAMED, Unframed.CLOSED.encode())
        asking = replace(ASKING, path="/talk/", body=body, per_s=20.0)
        history = play(
            CrashPlan(prompts=(asking,), background_per_s=100.0, end_s=12.0)
        )
        assert history.served_share(ASKING.label, 2.0) == 1.0
        assert history.probes <= 0.03 * len(history.sent[ASKING.label])

    @pytest.mark.parametrize("path", PATHS)
    def test_a_part_of_an_answer_is_not_whole(self, path: str) -> None:
        """Guards against a killed router, whose kernel closes in order."""
        body = b"%b:%b:" % (Body.UNFRAMED, Unframed.CLOSED.encode())
        replies = play_one_kind(body, path).replies[ASKING.label]
        assert len(replies) >= 3
        for reply in replies:
            body_start = reply.index(b"\r\n\r\n") + 4
            for size in range(body_start, len(reply)):
                assert not is_whole(reply[:size])

    def test_the_log_tells_how_they_ended(self) -> None:
        body = b"%b:%b:" % (Body.UNFRAMED, Unframed.CLOSED.encode())
        lines = [
            each.inputs
            for each in play_one_kind(body, "/once/").lines("finish")
            if each.inputs.get("framing") == "close"
        ]
        assert len(lines) >= 3
        for inputs in lines:
            assert inputs["answer_end"] == "connection closed in order"
            assert inputs["received_bytes"] == len("whole")
            assert inputs["proof"] != "none"
            assert 0.0 < float(inputs["proof_age_s"]) < 0.5
            assert inputs["sent_bytes"] == len("whole")
            assert inputs["attempts"] == 1

    def test_time_is_bounded(self) -> None:
        """Guards against waiting for an end beyond the caller's deadline."""
        body = b"%b:%b:trickle" % (Body.ENDLESS, Endless.EVENT.encode())
        history = play_one_kind(body, "/tell/")
        per_request = TIMEOUT_S / 0.02
        assert sum(history.useless_bytes) <= per_request * 1.1 * len(
            history.sent[ASKING.label]
        )
