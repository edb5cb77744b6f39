"""Endpoints of which one byte of an answer's head becomes another."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.state.effect import Decision
from tests.simulatedcallers import Caller, an_exchange
from tests.test_cut_answers import answer_probe, make_front
from tests.virtualnetwork import NetworkLoop, Transport, run_in_network

EVENTS: Final = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 4)
)
BODY: Final = b"the whole body of it"
SOUND_ANSWERS: Final = 40  # Before the first that is damaged.
WAIT_S: Final = 10.0
_REQUEST_ID: Final = re.compile(rb"(?i)x-request-id: *([^\r]*)\r\n")


def encode_head(request_id: bytes, framing: bytes, streams: bool) -> bytes:
    """Return a typical head; `framing` is the line that tells it."""
    kind = b"text/event-stream" if streams else b"application/json"
    lines = (
        b"HTTP/1.1 200 OK",
        b"X-Request-Id: " + request_id,
        framing,
        b"Content-Type: " + kind,
        b"X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1",
        b"Connection: keep-alive",
        b"Keep-Alive: timeout=5",
    )
    return b"\r\n".join(line for line in lines if line) + b"\r\n\r\n"


def chunked(body: bytes) -> bytes:
    """Return a body in three chunks and the last one."""
    third = len(body) // 3
    pieces = (body[:third], body[third : 2 * third], body[2 * third :], b"")
    return b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in pieces)


@dataclass(frozen=True, slots=True)
class Answer:
    """What an endpoint writes."""

    head: bytes
    body: bytes
    split: bool = False  # Whether head and body arrive one by one.
    closes: bool = False  # Whether the connection ends in order after it.
    cut_at: int = 0  # Where the body is cut into two reads; 0: it is not.


# Returns an endpoint's answer from the id of the request.
Answering = Callable[[bytes], Answer]


def sound(framing: str, streams: bool) -> Answering:
    """Return what answers soundly; framing is length, chunks or close."""
    body = EVENTS if streams else BODY

    def answer(request_id: bytes) -> Answer:
        line = b""
        if framing == "length":
            line = b"Content-Length: %d" % len(body)
        elif framing == "chunks":
            line = b"Transfer-Encoding: chunked"
        return Answer(
            encode_head(request_id, line, streams),
            chunked(body) if framing == "chunks" else body,
            closes=framing == "close",
        )

    return answer


@dataclass
class _Endpoint:
    """An endpoint's end of a connection."""

    transport: Transport
    answering: Answering
    _data: bytes = b""

    def received(self, data: bytes) -> None:
        self._data += data
        if b"\r\n\r\n" not in self._data:
            return
        request, self._data = self._data, b""
        if probed := answer_probe(request):
            self.transport.send(probed)
            return
        found = _REQUEST_ID.search(request)
        assert found is not None
        answer = self.answering(found[1])
        if answer.split:
            self.transport.send(answer.head)
            self.transport.send(answer.body)
        else:
            first = answer.body[: answer.cut_at or None]
            self.transport.send(answer.head + first)
            if answer.cut_at:
                self.transport.send(answer.body[answer.cut_at :])
        if answer.closes:
            self.transport.end(None)

    def closed(self) -> None:
        """Do nothing."""


@dataclass
class Played:
    """What callers got, and what the router logged."""

    callers: list[Caller] = field(default_factory=list)
    decisions: list[Decision] = field(default_factory=list)


def play(
    path: str, usual: Answering, answers: Iterable[Callable[[bytes], Answer]]
) -> Played:
    """Ask for answers one by one; return what the callers got.

    Each request's first attempt gets one of the answers, and all others,
    like the requests before the first, get a usual one.
    """
    streams = path.startswith("/t")
    played = Played()
    first_answers: dict[bytes, Answering] = {}

    def answering(request_id: bytes) -> Answer:
        return first_answers.pop(request_id, usual)(request_id)

    async def ask(loop: NetworkLoop) -> None:
        front = make_front(
            loop,
            "llm" if streams else "desk",
            lambda _, transport: _Endpoint(transport, answering),
            played.decisions.append,
        )
        for number, first in enumerate([usual] * SOUND_ANSWERS + [*answers]):
            name = f"q{number}"
            first_answers[name.encode()] = first
            caller, ended = Caller(), asyncio.Event()
            caller.on_end = ended.set
            prefix = f"5c1e07a2:20,{number:x}b:40"
            exchange = an_exchange(caller, name, path, b"body", prefix)
            exchange.arrived_s = loop.time()
            front.freshness.confirm(loop.time())
            front.streams.history.list_read(loop.time())
            front.handle(exchange)
            async with asyncio.timeout(WAIT_S):
                await ended.wait()
            # Long enough for endpoints to be used again.
            await asyncio.sleep(2.0)
            if number >= SOUND_ANSWERS:
                played.callers.append(caller)

    assert run_in_network(ask) == []
    return played


@dataclass(frozen=True, slots=True)
class Seen:
    """An answer as its caller sees it."""

    status: int  # 0: none.
    head: bytes
    body: bytes  # As far as it came.
    whole: bool  # Whether it looks complete.


def see(data: bytes) -> Seen:
    """Return what a caller of HTTP/1.1 sees in what it received."""
    head, _, rest = data.partition(b"\r\n\r\n")
    if not head:
        return Seen(0, b"", b"", False)
    status = int(head.split(b" ")[1])
    length = re.search(rb"(?i)\r\ncontent-length: ([0-9]+)", head)
    if length is not None:
        return Seen(status, head, rest, len(rest) >= int(length[1]))
    body = b""
    while found := re.match(rb"([0-9a-f]+)\r\n", rest):
        size = int(found[1], 16)
        if not size:
            return Seen(status, head, body, True)
        body += rest[found.end() : found.end() + size]
        rest = rest[found.end() + size + 2 :]
    return Seen(status, head, body, not rest and status in (204, 304))
