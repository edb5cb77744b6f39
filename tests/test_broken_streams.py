"""A stream that breaks off holds no byte of another endpoint's error.

Guards against an error's text or head in the middle of a stream, and against
a stream that ends as if it were complete.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import partial
from itertools import product
from typing import Final

import httptools
import pytest

from bulrushstream.daemon import platformupdates
from bulrushstream.state.routes import EndpointEntry
from tests.simulatedcallers import Caller, an_exchange
from tests.test_repeated_refusals import body_of, events_of, start_router
from tests.virtualnetwork import NetworkLoop, Transport, run_in_network

REQUEST_ID: Final = "q1"
WHOLE: Final = events_of(REQUEST_ID.encode())
ENDPOINTS: Final = 6
EVENT_LIKE: Final = b"id: 2\ndata: error\n\nid: 9\ndata: error\n\n"


class Framing(StrEnum):
    """How the error's end is known."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "until close"


class Break(StrEnum):
    """How the stream breaks off, after its first event."""

    CLOSED = "closed"
    RESET = "reset"
    AMID = "amid an event"
    NO_LAST_CHUNK = "amid a chunk"


@dataclass(frozen=True, slots=True)
class Error:
    """An endpoint's answer that is no stream."""

    status: bytes
    framing: Framing = Framing.LENGTH
    headers: bytes = b""
    body: bytes = EVENT_LIKE
    in_pieces: bool = False  # Whether its bytes come one by one.

    def __str__(self) -> str:
        return f"{self.status.decode()}, {self.framing}, {len(self.body)}"


STATUSES: Final = (
    b"400 Bad Request",
    b"404 Not Found",
    b"429 Too Many Requests",
    b"500 Error",
    b"502 Bad Gateway",
    b"503 Unavailable",
    b"200 OK",
    b"204 No Content",
    b"206 Partial Content",
)
STREAM_KIND: Final = b"Content-Type: text/event-stream\r\n"
NOT_RUN: Final = b"X-Not-Executed: 1\r\n"

ERRORS: Final = [
    Error(status, framing, in_pieces=in_pieces)
    for status, framing, in_pieces in product(STATUSES, Framing, (False, True))
] + [
    Error(b"500 Error", headers=STREAM_KIND),
    Error(b"500 Error", Framing.CHUNKS, STREAM_KIND),
    Error(b"503 Full", headers=NOT_RUN),
    Error(b"503 Full", Framing.CLOSE, NOT_RUN + STREAM_KIND),
    Error(b"421 Misdirected", headers=NOT_RUN),
    Error(b"500 Error", body=b"x" * 300_000),
    Error(b"404 Not Found", Framing.CHUNKS, body=b"x" * 300_000),
    Error(b"500 Error", body=b""),
]


@dataclass(slots=True)
class Endpoints:
    """What the endpoints do, in the order in which they get the request."""

    break_: Break
    error: Error
    errors: int  # So many of them answer with it.
    sends: list[int] = field(default_factory=list)  # Last event ids.
    first: bytes = WHOLE[0]  # The events before the break.


class Serving:
    """An endpoint's end of one connection."""

    def __init__(self, endpoints: Endpoints, transport: Transport) -> None:
        self._endpoints = endpoints
        self._transport = transport
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[bytes, bytes] = {}

    def received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def closed(self) -> None:
        pass

    def on_message_begin(self) -> None:
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        if b"x-request-id" not in self._headers:
            self._transport.end(None)
            return
        endpoints = self._endpoints
        after = int(self._headers.get(b"last-event-id", b"0"))
        endpoints.sends.append(after)
        if len(endpoints.sends) == 1:
            self._break_off()
        elif len(endpoints.sends) <= 1 + endpoints.errors:
            self._answer_error(endpoints.error)
        else:
            self._send_head(b"200 OK", STREAM_KIND + CHUNKED)
            for event in WHOLE[after:]:
                self._transport.send(chunk(event))
            self._transport.send(b"0\r\n\r\n")

    def _break_off(self) -> None:
        send, how = self._transport.send, self._endpoints.break_
        self._send_head(b"200 OK", STREAM_KIND + CHUNKED)
        send(chunk(self._endpoints.first))
        if how is Break.AMID:
            send(chunk(WHOLE[1][:8]))
        elif how is Break.NO_LAST_CHUNK:
            send(chunk(WHOLE[1])[:7])
        reset = ConnectionResetError("reset by peer")
        error = reset if how is Break.RESET else None
        later(0.01, lambda: self._transport.end(error))

    def _answer_error(self, error: Error) -> None:
        framing = {
            Framing.LENGTH: b"Content-Length: %d\r\n" % len(error.body),
            Framing.CHUNKS: CHUNKED,
            Framing.CLOSE: b"",
        }[error.framing]
        head = self._head(error.status, error.headers + framing)
        body = error.body
        if error.status.startswith(b"204"):
            body = b""
        elif error.framing is Framing.CHUNKS:
            body = (chunk(body) if body else b"") + b"0\r\n\r\n"
        if error.in_pieces:
            data = head + body
            for number in range(len(data)):
                piece = data[number : number + 1]
                later(0.0005 * number, partial(self._transport.send, piece))
            delay_s = 0.0005 * len(data)
        else:
            self._transport.send(head)
            self._transport.send(body)
            delay_s = 0.0
        if error.framing is Framing.CLOSE:
            later(delay_s, lambda: self._transport.end(None))

    def _send_head(self, status: bytes, headers: bytes) -> None:
        self._transport.send(self._head(status, headers))

    def _head(self, status: bytes, headers: bytes) -> bytes:
        return (
            b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\n"
            b"X-Response-Signature: s\r\n%b\r\n"
            % (status, REQUEST_ID.encode(), headers)
        )


CHUNKED: Final = b"Transfer-Encoding: chunked\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def later(delay_s: float, step: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(delay_s, step)


def play(endpoints: Endpoints, path: str) -> Caller:
    """Send one request; return what its caller received."""
    caller = Caller()

    async def run(loop: NetworkLoop) -> None:
        router = start_router(loop)
        for number in range(ENDPOINTS):
            address = (f"10.1.0.{number}", 80)
            loop.listeners[address] = lambda transport: Serving(
                endpoints, transport
            )
            entry = EndpointEntry(f"e-{number}", "llm", *address, "z", 64)
            platformupdates.apply_entry(
                router.front, replace(entry, version="v1")
            )
        exchange = an_exchange(caller, REQUEST_ID, path, b"x")
        exchange.arrived_s = loop.time()
        router.front.handle(exchange)
        await asyncio.sleep(9.0)

    assert run_in_network(run) == []
    return caller


class BrokenStreamSuite:
    @pytest.mark.parametrize("error", ERRORS, ids=str)
    @pytest.mark.parametrize("break_", Break)
    def test_the_caller_gets_nothing_of_an_error(
        self, break_: Break, error: Error
    ) -> None:
        endpoints = Endpoints(break_, error, errors=100)
        caller = play(endpoints, "/talk/")
        status, body, complete = body_of(caller.data)
        assert (status, body, complete) == ("200", WHOLE[0], False)
        assert caller.ended
        # All attempts of the route were used before.
        assert endpoints.sends == [0, 1, 1]

    @pytest.mark.parametrize("error", ERRORS[::7], ids=str)
    def test_retries_that_remain_are_used(self, error: Error) -> None:
        endpoints = Endpoints(Break.CLOSED, error, errors=4)
        caller = play(endpoints, "/often/")
        status, body, complete = body_of(caller.data)
        assert (status, body, complete) == ("200", b"".join(WHOLE), True)
        assert endpoints.sends == [0, 1, 1, 1, 1, 1]

    @pytest.mark.parametrize("break_", Break)
    def test_a_stream_that_may_not_go_on_breaks_off(
        self, break_: Break
    ) -> None:
        endpoints = Endpoints(break_, ERRORS[0], errors=100)
        caller = play(endpoints, "/tell/")
        assert body_of(caller.data) == ("200", WHOLE[0], False)
        assert endpoints.sends == [0]

    @pytest.mark.parametrize(
        "first", [b"data: x\n\n", WHOLE[0] + b"data: x\n\n"]
    )
    @pytest.mark.parametrize("break_", Break)
    def test_no_id_tells_where_to_go_on(
        self, break_: Break, first: bytes
    ) -> None:
        """Guards against events that come twice, or of two runs."""
        endpoints = Endpoints(break_, ERRORS[0], errors=0, first=first)
        caller = play(endpoints, "/talk/")
        assert body_of(caller.data) == ("200", first, False)
        assert endpoints.sends == [0]

    def test_comments_need_no_id(self) -> None:
        first = WHOLE[0] + b": x\n\n"
        endpoints = Endpoints(Break.CLOSED, ERRORS[0], errors=0, first=first)
        caller = play(endpoints, "/talk/")
        body = first + b"".join(WHOLE[1:])
        assert body_of(caller.data) == ("200", body, True)
