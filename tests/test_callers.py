"""The HTTP front for callers over real sockets.

Tests admission, refusals, answers and disconnects.
"""

from __future__ import annotations

import asyncio

import httpx
import msgspec
import openai
import pytest

from bulrushstream.standins.answer import (
    Answer,
    encode_completion,
    encode_event,
)
from bulrushstream.state.effect import FailRequest, Reply
from bulrushstream.state.message import Part, PartKind
from bulrushstream.state.request import Outcome, Request
from bulrushstream.transport.callers import CallersOptions, Exchange
from bulrushstream.transport.incoming import BodyLimits
from bulrushstream.transport.port import (
    AnswerItem,
    AnswerQueue,
    Overflowed,
)
from bulrushstream.transport.server import ServerLimits
from tests.builders import a_body, an_end, chat_body
from tests.fronts import BEARER, TOKEN, FakePort, serve_front

CHAT = "/v1/chat/completions"
ANSWER = Answer("chatcmpl-1", "model", "abc", 3, 1)
EVENTS = [encode_event(ANSWER, index) for index in range(ANSWER.event_count)]


def answer_items(
    chunks: list[bytes], kind: str, end: Part | None = None
) -> list[AnswerItem]:
    head = Part(
        "q1",
        1,
        0,
        PartKind.HEAD,
        status=200,
        headers=(
            ("content-type", kind),
            ("connection", "x-hop"),
            ("bulrushstream-execution", "forged"),
        ),
    )
    parts = [head]
    parts += [a_body(n, chunk) for n, chunk in enumerate(chunks, 1)]
    parts += [end or an_end(len(parts))]
    return [Reply("q1", part) for part in parts]


def complete_answer(request: Request) -> list[AnswerItem]:
    if request.stream:
        return answer_items(EVENTS, "text/event-stream")
    return answer_items([encode_completion(ANSWER)], "application/json")


def no_answer(request: Request) -> list[AnswerItem]:
    del request
    return []


def raw_request_head(length: int) -> bytes:
    head = (
        f"POST {CHAT} HTTP/1.1\r\nhost: x\r\n"
        f"authorization: {BEARER['Authorization']}\r\n"
        f"content-length: {length}\r\n\r\n"
    )
    return head.encode()


def execution(answer: httpx.Response) -> str:
    return str(answer.headers["bulrushstream-execution"])


class RefusalSuite:
    @pytest.mark.parametrize(
        ("method", "path", "body", "code"),
        [
            ("POST", CHAT, b"{", "B112"),
            ("GET", CHAT, b"", "B112"),
            ("POST", CHAT, chat_body("x", model="other"), "B102"),
            ("GET", "/elsewhere", b"", "B102"),
            ("GET", "/services/", b"", "B102"),
            ("GET", "/services/floordesk%2Ftickets", b"", "B102"),
            ("GET", "/services/closed/x", b"", "B103"),
            ("GET", "/services/floordesk/a/%2e%2e/b", b"", "B112"),
            ("POST", CHAT, b"x" * 2000, "B111"),
        ],
    )
    async def test_refusal_is_a_problem_document_with_not_run(
        self, method: str, path: str, body: bytes, code: str
    ) -> None:
        port = FakePort(no_answer)
        options = CallersOptions(BodyLimits(max_body_bytes=1000))
        async with serve_front(port, options) as (client, _):
            answer = await client.request(method, path, content=body)
        problem = answer.json()
        assert answer.headers["content-type"] == "application/problem+json"
        assert (problem["code"], problem["execution"]) == (code, "not-run")
        assert problem["status"] == answer.status_code
        assert execution(answer) == "not-run"
        assert port.requests == []

    @pytest.mark.parametrize("header", ["", "Bearer wrong", "Basic x"])
    async def test_request_without_a_valid_token_is_refused(
        self, header: str
    ) -> None:
        port = FakePort(no_answer)
        async with serve_front(port) as (client, _):
            answer = await client.post(
                CHAT,
                content=chat_body("x"),
                headers={"Authorization": header},
            )
        assert answer.status_code == 401
        assert answer.headers["www-authenticate"] == "Bearer"
        assert port.requests == []

    async def test_body_is_not_read_without_a_valid_token(self) -> None:
        async with serve_front(FakePort(no_answer)) as (_, server):
            reader, writer = await asyncio.open_connection(
                server.host, server.port
            )
            head = raw_request_head(9).replace(TOKEN.encode(), b"wrong")
            writer.write(head + b"ab")
            answer = await reader.read()
            writer.close()
        assert answer.startswith(b"HTTP/1.1 401")

    async def test_unready_and_draining_routers_refuse(self) -> None:
        port = FakePort(no_answer, index=None)
        async with serve_front(port) as (client, _):
            unready = await client.post(CHAT, content=chat_body("x"))
            port.leaving = True
            draining = await client.post(CHAT, content=chat_body("x"))
        assert unready.json()["code"] == "B109"
        assert draining.json()["code"] == "B110"
        assert int(unready.headers["retry-after"]) >= 1

    async def test_body_that_does_not_arrive_times_out(self) -> None:
        options = CallersOptions(BodyLimits(read_timeout_s=0.02))
        async with serve_front(FakePort(no_answer), options) as (_, server):
            reader, writer = await asyncio.open_connection(
                server.host, server.port
            )
            head = raw_request_head(9)
            writer.write(head + b"ab")
            answer = await reader.read()
            writer.close()
        assert answer.startswith(b"HTTP/1.1 408")

    async def test_bodies_over_the_shared_limit_are_refused(self) -> None:
        options = CallersOptions(BodyLimits(max_reading_bytes=100))
        async with serve_front(FakePort(no_answer), options) as (client, _):
            answer = await client.post(CHAT, content=chat_body("x" * 200))
        assert answer.json()["code"] == "B105"

    async def test_oversized_request_head_is_refused(self) -> None:
        limits = ServerLimits(max_header_bytes=500)
        port = FakePort(no_answer)
        async with serve_front(port, None, limits) as (client, server):
            headers = {"x-large": "y" * 1000}
            answer = await client.get(CHAT, headers=headers)
            reader, writer = await asyncio.open_connection(
                server.host, server.port
            )
            writer.write(b"GET / HTTP/1.1\r\nx: " + b"y" * 1000)
            unfinished = await reader.read()
            writer.close()
        assert answer.status_code == 431
        assert unfinished.startswith(b"HTTP/1.1 431")

    async def test_head_that_does_not_arrive_closes_the_connection(
        self,
    ) -> None:
        limits = ServerLimits(header_timeout_s=0.02)
        port = FakePort(no_answer)
        async with serve_front(port, None, limits) as (_, server):
            reader, writer = await asyncio.open_connection(
                server.host, server.port
            )
            writer.write(b"GET / HT")
            assert await reader.read() == b""
            writer.close()

    async def test_connection_over_the_limit_is_refused(self) -> None:
        limits = ServerLimits(max_connections=1)
        port = FakePort(no_answer)
        async with serve_front(port, None, limits) as (client, server):
            await client.get("/elsewhere")
            reader, writer = await asyncio.open_connection(
                server.host, server.port
            )
            answer = await reader.read()
            writer.close()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"B119" in answer

    async def test_bytes_that_are_not_http_are_refused(self) -> None:
        async with serve_front(FakePort(no_answer)) as (_, server):
            reader, writer = await asyncio.open_connection(
                server.host, server.port
            )
            writer.write(b"\x16\x03\x01\r\n\r\n")
            answer = await reader.read()
            writer.close()
        assert answer.startswith(b"HTTP/1.1 400")


class AdmissionSuite:
    async def test_request_carries_the_rule_and_filtered_headers(self) -> None:
        port = FakePort(complete_answer)
        headers = {
            "Idempotency-Key": "k",
            "Bulrushstream-Timeout": "5",
            "Bulrushstream-Cost": "7.5",
            "X-Resume-Offset": "3",
            "X-Mine": "1",
            "Bulrushstream-Request-Id": "forged",
            "X-Hop": "2",
            "Connection": "keep-alive, x-hop",
        }
        async with serve_front(port) as (client, _):
            path = "/services/floordesk/jobs%20a?b=1"
            await client.put(path, content=b"ink", headers=headers)
        request = port.requests[0]
        assert (request.method, request.path) == ("PUT", "/jobs%20a?b=1")
        assert (request.rule, request.idempotent) == ("reads", True)
        assert (request.workspace, request.body) == ("club", b"ink")
        assert request.idempotency_key == "k"
        assert request.deadline_s == 105.0
        assert request.cost_hint == 7.5
        names = {name for name, _ in request.headers}
        assert "x-mine" in names
        assert not any(name.startswith("bulrushstream") for name in names)
        dropped = {"authorization", "host", "x-hop", "x-resume-offset"}
        assert not dropped & names

    @pytest.mark.parametrize(
        "path",
        [
            "/floordesk/%74ickets",
            "/floordesk//tickets",
            "/floordesk/tickets/1",
            "/floor%64esk/tickets",
        ],
    )
    async def test_path_encoding_does_not_change_the_rule(
        self, path: str
    ) -> None:
        port = FakePort(complete_answer)
        async with serve_front(port) as (client, _):
            await client.post("/services" + path)
        assert port.requests[0].rule == "tickets"

    async def test_same_prompt_has_same_digests(self) -> None:
        port = FakePort(complete_answer)
        async with serve_front(port) as (client, _):
            for message in ("a", "a", "b"):
                await client.post(CHAT, content=chat_body(message))
        first, second, third = port.requests
        assert first.prefix_digest == second.prefix_digest != 0
        assert first.fingerprint == second.fingerprint
        assert third.prefix_digest != first.prefix_digest
        assert -(2**63) <= third.fingerprint < 2**63


class AnswerSuite:
    async def test_short_answer_has_the_outcome_in_its_header(self) -> None:
        async with serve_front(FakePort(complete_answer)) as (client, _):
            answer = await client.post(CHAT, content=chat_body("x"))
        assert answer.content == encode_completion(ANSWER)
        assert execution(answer) == "ran"
        assert answer.headers["bulrushstream-request-id"] == "q1"
        assert "connection" not in answer.headers

    async def test_long_answer_is_streamed_with_unknown_outcome(self) -> None:
        chunks = [b"x" * 100_000] * 5

        def script(request: Request) -> list[AnswerItem]:
            return answer_items(chunks, "text/plain")

        async with serve_front(FakePort(script)) as (client, _):
            answer = await client.get("/services/floordesk/plan")
        assert answer.content == b"".join(chunks)
        assert execution(answer) == "unknown"

    async def test_complete_stream_ends_with_done(self) -> None:
        async with serve_front(FakePort(complete_answer)) as (client, _):
            body = chat_body("x", stream=True)
            answer = await client.post(CHAT, content=body)
        comment = b": bulrushstream-execution ran\n\n"
        expected = b"".join(EVENTS[:-1]) + comment + EVENTS[-1]
        assert answer.content == expected

    async def test_done_is_withheld_until_the_outcome_is_known(
        self,
    ) -> None:
        end = an_end(9, outcome=Outcome.UNKNOWN, whole=False)

        parts = answer_items(EVENTS, "text/event-stream", end)
        port = FakePort(lambda _: parts[:-1])
        async with serve_front(port) as (client, _):
            body = chat_body("x", stream=True)
            received = b""
            with pytest.raises(httpx.RemoteProtocolError):
                async with client.stream("POST", CHAT, content=body) as answer:
                    async for chunk in answer.aiter_raw():
                        received += chunk
                        if received.endswith(EVENTS[-2]):
                            port.queues[0].put(Reply("q1", end))
        assert b"[DONE]" not in received
        event = received.split(b"\n\n")[-2]
        assert event.startswith(b"event: error\ndata: ")
        problem = msgspec.json.decode(event.split(b"data: ")[1])
        assert problem["execution"] == "unknown"

    async def test_truncated_body_is_a_protocol_error(self) -> None:
        end = an_end(9, outcome=Outcome.RAN, whole=False)

        def script(request: Request) -> list[AnswerItem]:
            return answer_items([b"x" * 300_000], "text/plain", end)

        async with serve_front(FakePort(script)) as (client, _):
            with pytest.raises(httpx.RemoteProtocolError):
                await client.get("/services/floordesk/plan")

    async def test_truncated_short_answer_is_a_problem_document(self) -> None:
        end = an_end(9, outcome=Outcome.RAN, whole=False)

        def script(request: Request) -> list[AnswerItem]:
            return answer_items([b"half"], "text/plain", end)

        async with serve_front(FakePort(script)) as (client, _):
            answer = await client.get("/services/floordesk/plan")
        assert (answer.status_code, execution(answer)) == (502, "ran")

    async def test_failure_carries_retry_after(self) -> None:
        fail = FailRequest("q1", "B104", Outcome.NOT_RUN, retry_after_s=2.4)
        async with serve_front(FakePort(lambda _: [fail])) as (client, _):
            answer = await client.post(CHAT, content=chat_body("x"))
        assert answer.status_code == 429
        assert answer.headers["retry-after"] == "3"
        assert answer.json()["request_id"] == "q1"

    async def test_exchange_is_observed(self) -> None:
        observed: list[Exchange] = []
        options = CallersOptions(observe=observed.append)
        async with serve_front(FakePort(complete_answer), options) as (
            client,
            _,
        ):
            await client.post(CHAT, content=chat_body("x"))
            await client.get("/elsewhere")
        assert observed[0].request is not None
        assert observed[0].sent.outcome is Outcome.RAN
        assert (observed[1].request, observed[1].sent.code) == (None, "B102")

    async def test_openai_client_reads_complete_and_streamed_answers(
        self,
    ) -> None:
        async with serve_front(FakePort(complete_answer)) as (_, server):
            client = openai.AsyncOpenAI(
                api_key=TOKEN, base_url=f"{server.url}/v1", max_retries=0
            )
            complete = await client.chat.completions.create(
                model="model", messages=[{"role": "user", "content": "x"}]
            )
            stream = await client.chat.completions.create(
                model="model",
                messages=[{"role": "user", "content": "x"}],
                stream=True,
            )
            deltas = [
                chunk.choices[0].delta.content or "" async for chunk in stream
            ]
            await client.close()
        assert complete.choices[0].message.content == ANSWER.text
        assert "".join(deltas) == ANSWER.text


class DisconnectSuite:
    async def test_disconnected_caller_cancels_its_request(self) -> None:
        port = FakePort(no_answer)
        async with serve_front(port) as (_, server):
            _, writer = await asyncio.open_connection(server.host, server.port)
            body = chat_body("x")
            writer.write(raw_request_head(len(body)) + body)
            while not port.requests:
                await asyncio.sleep(0.001)
            writer.transport.abort()
            while not port.cancelled:
                await asyncio.sleep(0.001)
        assert port.cancelled == ["q1"]

    async def test_answered_request_is_not_cancelled(self) -> None:
        port = FakePort(complete_answer)
        async with serve_front(port) as (client, _):
            await client.post(CHAT, content=chat_body("x"))
        assert port.cancelled == []

    async def test_overflow_of_the_answer_queue_cancels_the_request(
        self,
    ) -> None:
        answers = AnswerQueue(max_bytes=1000)
        answers.put(Reply("q1", a_body(1, b"x" * 600)))
        answers.put(Reply("q1", a_body(2, b"x" * 600)))
        answers.put(Reply("q1", an_end(3)))
        assert await answers.next() == Overflowed()
        assert answers.next_nowait() is None

        def script(request: Request) -> list[AnswerItem]:
            return [*answer_items([b"x"], "text/plain")[:2], Overflowed()]

        port = FakePort(script)
        async with serve_front(port) as (client, _):
            with pytest.raises(httpx.HTTPError):
                await client.get("/services/floordesk/plan")
        assert port.cancelled == ["q1"]

    async def test_unread_answer_times_out(self) -> None:
        options = CallersOptions(write_timeout_s=0.02)
        port = FakePort(lambda _: answer_items([], "text/plain")[:1])

        async def feed_slowly(queue: AnswerQueue) -> None:
            for _ in range(100):
                queue.put(Reply("q1", a_body(1, b"x" * 1_000_000)))
                await asyncio.sleep(0)

        async with serve_front(port, options) as (client, _):
            request = client.build_request("GET", "/services/floordesk/x")
            call = asyncio.ensure_future(client.send(request, stream=True))
            while not port.queues:
                await asyncio.sleep(0.001)
            feed = asyncio.ensure_future(feed_slowly(port.queues[0]))
            answer = await call
            while not port.cancelled:
                await asyncio.sleep(0.001)
            await feed
            await answer.aclose()
        assert port.cancelled == ["q1"]
