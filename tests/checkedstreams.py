"""Endpoints that end streams with their connections, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Final

import httptools

from bulrushstream.coordination.retryquota import RetryLimits, RetryQuota
from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front
from bulrushstream.state.routes import EndpointEntry
from tests.simulatedcallers import Caller, an_exchange
from tests.test_repeated_refusals import start_router
from tests.virtualnetwork import NetworkLoop, Transport, run_in_network

EVENTS: Final = [b"id: %d\ndata: x\n\n" % number for number in range(1, 6)]
WHOLE: Final = b"".join(EVENTS)
WORK_S: Final = 0.02
PLAY_S: Final = 9.0


@dataclass(frozen=True, slots=True)
class Answer:
    """How an endpoint answers one request."""

    until: int = len(EVENTS)  # The last event that it writes.
    framed: bool = True  # Whether more than its connection shows its end.
    status: bytes = b"200 OK"  # Another one has no events.
    headers: bytes = b""
    repeats: bool = False  # Whether it begins at the first event.
    resets: bool = False  # Whether it breaks off behind its events.
    hangs: bool = False  # Whether nothing is written.
    more: bytes = b""  # Follows the events.
    first_bytes: int = 0  # Of the body that come alone; 0: all in one piece.
    pause_s: float = WORK_S  # Before the rest of it.
    behind: bytes = b""  # Is written behind an answer that is over.
    closes: bool = False  # Whether its connection ends there in order.
    behind_s: float = 0.05  # How long after the end both of these come.


@dataclass(slots=True)
class Endpoints:
    """Endpoints, and the answers that they give, the last one for ever."""

    answers: list[Answer]
    count: int = 3
    events: list[bytes] = field(default_factory=lambda: EVENTS)
    sends: list[int] = field(default_factory=list)  # Last event ids.
    closed: int = 0  # Connections that the router closed amid a request.

    def next_answer(self, after: int) -> Answer:
        """Return the answer to a request.

        :param after: the last event that its sender has
        """
        self.sends.append(after)
        return self.answers[min(len(self.sends), len(self.answers)) - 1]


class Serving:
    """An endpoint's end of one connection."""

    def __init__(
        self, endpoints: Endpoints, name: bytes, transport: Transport
    ) -> None:
        self._endpoints = endpoints
        self._name = name
        self._transport = transport
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._working = False

    def received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def closed(self) -> None:
        self._endpoints.closed += self._working

    def on_message_begin(self) -> None:
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        if b"x-request-id" not in self._headers:
            self._transport.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                b"X-Instance-Id: %b\r\n\r\n" % self._name
            )
            return
        after = int(self._headers.get(b"last-event-id", b"0"))
        answer = self._endpoints.next_answer(after)
        self._working = True
        if not answer.hangs:
            asyncio.get_running_loop().call_later(
                WORK_S, self._write, answer, after
            )

    def _write(self, answer: Answer, after: int) -> None:
        self._working = False
        first = 0 if answer.repeats else after
        events = self._endpoints.events[first : answer.until]
        kind = b"Content-Type: text/event-stream\r\n"
        if not answer.status.startswith(b"200"):
            events, kind = [], b""
        body = b"".join(events) + answer.more
        framing = b"Content-Length: %d\r\n" % len(body)
        size = answer.first_bytes % len(body) if body else 0
        size = size or len(body)
        self._transport.send(
            b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\nX-Response-Signature: s\r\n"
            % (answer.status, self._headers[b"x-request-id"])
            + kind
            + answer.headers
            + (framing if answer.framed and not answer.resets else b"")
            + b"\r\n"
            + body[:size]
        )
        if size == len(body):
            self._end(answer)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(answer.pause_s, self._transport.send, body[size:])
        loop.call_later(answer.pause_s, self._end, answer)

    def _end(self, answer: Answer) -> None:
        if answer.resets:
            self._transport.end(ConnectionResetError("reset by peer"))
        elif not answer.framed:
            self._transport.end(None)
        elif answer.behind or answer.closes:
            loop = asyncio.get_running_loop()
            loop.call_later(answer.behind_s, self._follow, answer)

    def _follow(self, answer: Answer) -> None:
        """Write or close behind an answer that is over."""
        if answer.behind:
            self._transport.send(answer.behind)
        if answer.closes:
            self._transport.end(None)


@dataclass(slots=True)
class Play:
    """What callers do, and what became of it."""

    path: str = "/talk/"
    service: str = "llm"  # That of the path.
    requests: int = 1
    retry_slack: float = 50.0
    retry_ratio: float = 0.2
    old_caller: bool = False  # Whether it speaks HTTP/1.0.
    after: int = 0  # The last event that the caller has.
    deadline_s: float = 4.0
    known: bool = True  # Whether ends of connections are expected.
    alike: bool = True  # Whether all requests name the same output limit.
    at_s: float = 0.0  # When `do` is called.
    do: Callable[[Front, Caller], None] | None = None
    callers: list[Caller] = field(default_factory=list)
    ended_s: list[float] = field(default_factory=list)

    def run(self, endpoints: Endpoints) -> Caller:
        """Send the requests; return the first caller.

        :param endpoints: those that answer
        """

        async def work(loop: NetworkLoop) -> None:
            front = start_router(loop).front
            front.retry_quota = RetryQuota(
                RetryLimits(self.retry_ratio, self.retry_slack, 10.0)
            )
            self._start_endpoints(loop, front, endpoints)
            if self.known:
                for each in front.pool.by_name.values():
                    front.connections.pool_for(each).expect_unframed()
                await asyncio.sleep(0.02)
            for number in range(self.requests):
                self._send(loop, front, number)
                front.streams.history.list_read(loop.time())
                await asyncio.sleep(0.05)
                front.freshness.confirm(loop.time())
            await asyncio.sleep(PLAY_S)

        assert run_in_network(work) == []
        return self.callers[0]

    def _start_endpoints(
        self, loop: NetworkLoop, front: Front, endpoints: Endpoints
    ) -> None:
        for number in range(endpoints.count):
            name, address = f"e-{number}", (f"10.1.0.{number}", 80)
            loop.listeners[address] = partial(
                Serving, endpoints, name.encode()
            )
            entry = EndpointEntry(name, self.service, *address, "z", 64)
            platformupdates.apply_entry(front, replace(entry, version="v1"))

    def _send(self, loop: NetworkLoop, front: Front, number: int) -> None:
        caller = Caller()
        self.callers.append(caller)
        begin_s = loop.time()
        caller.on_end = lambda: self.ended_s.append(loop.time() - begin_s)
        exchange = an_exchange(caller, f"q{number}", self.path, b"x")
        exchange.arrived_s = begin_s
        exchange.accepts_chunked = not self.old_caller
        deadline_ms = b"%d" % (self.deadline_s * 1000)
        exchange.headers = [
            (name, deadline_ms if name == b"X-Deadline-Ms" else value)
            for name, value in exchange.headers
        ]
        if not self.alike:
            exchange.headers = [
                (name, b"60,%d" % number if b"Counts" in name else value)
                for name, value in exchange.headers
            ]
        if self.after:
            exchange.headers += [
                (b"Last-Event-Id", b"%d" % self.after),
                (b"Resumes", b"q-before"),
            ]
        front.handle(exchange)
        if self.do is not None:
            loop.call_later(self.at_s, self.do, front, caller)
