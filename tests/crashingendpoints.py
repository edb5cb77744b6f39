"""Simulated endpoints that a request can crash, in virtual time.

What an endpoint does with a request follows from the request's body: see
`Body`.  An endpoint that ends does so in the way of its fleet's `Ending`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from typing import Final, Protocol

import httptools

from tests.virtualnetwork import Address, Transport

HEAD_S: Final = 0.05  # From a request's arrival to its answer's head.
EVENT_S: Final = 0.1
EVENTS: Final = 8
CRASH_S: Final = 0.12  # From the arrival to a crash, after the first event.
HEALTH_PATH: Final = "/health"


class Body:
    """What a request does to the endpoint that runs it."""

    CRASH: Final = b"crash"  # The endpoint ends.
    # The endpoint ends, but for every third run, which it answers with 504.
    CRASH_OR_TIMEOUT: Final = b"crash or time out"
    # The same, also if its caller has left.
    CRASH_UNHEARD: Final = b"crash unheard"
    LOST: Final = b"lost"  # The connection ends without an answer.
    CUT: Final = b"cut"  # The connection ends in the middle of the answer.
    SPOILED: Final = b"spoiled"  # The answer is no HTTP response.


class Point(StrEnum):
    """How far the answer is when the endpoint ends."""

    BEFORE = "before the answer"
    HEAD = "after the head"
    AMID = "amid the answer"


class Link(StrEnum):
    """What clients see of the end on their connections."""

    CLOSED = "closed"
    RESET = "reset"
    SILENT = "silent"


class After(StrEnum):
    """What is at the address after the end."""

    REFUSES = "refuses"
    MUTE = "mute"
    OTHER_ID = "back at once under another id"
    SAME_ID = "back at once under the same id"


@dataclass(frozen=True, slots=True)
class Ending:
    """How endpoints end."""

    point: Point
    link: Link
    after: After

    def __str__(self) -> str:
        return f"{self.point}, {self.link}, {self.after}"


class Fleet(Protocol):
    """The fleet that an endpoint belongs to."""

    ending: Ending

    def record_run(self, request_id: str, endpoint: str) -> int:
        """Record a run; return the number of runs of this request so far."""

    def crash(self, endpoint: Endpoint, request_id: str) -> None:
        """End an endpoint because of a request."""

    def record_arrival(self, request_id: str, endpoint: str) -> None:
        """Record that a request reached an endpoint."""

    def name_limit(self, request_id: str, endpoint: Endpoint) -> bytes:
        """Return the limit that an answer names; empty: none."""


@dataclass(slots=True, eq=False)
class Endpoint:
    """One process of a service."""

    fleet: Fleet
    name: str
    service: str
    address: Address
    links: dict[Serving, None] = field(default_factory=dict)
    running: int = 0  # Requests that it works on.
    number: int = 0  # Among the first endpoints of its service, from 0.

    def accept(self, transport: Transport) -> Serving:
        return Serving(self, transport)

    def end(self, link: Link) -> None:
        """End the process, and its connections unless they go silent."""
        for serving in list(self.links):
            serving.transport.server = None
            if link is not Link.SILENT:
                reset = ConnectionResetError("reset by peer")
                serving.transport.end(reset if link is Link.RESET else None)
            serving.closed()
        self.links.clear()


class Serving:
    """An endpoint's end of one connection."""

    def __init__(self, endpoint: Endpoint, transport: Transport) -> None:
        self.endpoint = endpoint
        self.transport = transport
        self._open = True
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = b""
        self._running = False
        endpoint.links[self] = None

    def received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def closed(self) -> None:
        self._open = False
        self._end_run()
        self.endpoint.links.pop(self, None)

    # --- Called by the parser.

    def on_message_begin(self) -> None:
        self._headers, self._body = {}, b""

    def on_url(self, url: bytes) -> None:
        self._target = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        headers = self._headers
        name = self.endpoint.name.encode()
        if self._target.decode() != HEALTH_PATH:
            self.endpoint.fleet.record_arrival(
                headers[b"x-request-id"].decode(), self.endpoint.name
            )
        if headers.get(b"x-expect-instance", name) != name:
            self._answer(b"421 Misdirected", b"")
        elif self._target.decode() == HEALTH_PATH:
            self._answer(b"200 OK", b"", b"X-Instance-Id: %b\r\n" % name)
        else:
            self._run(headers, self._body)

    # --- Runs.

    def _end_run(self) -> None:
        self.endpoint.running -= self._running
        self._running = False

    def _run(self, headers: dict[bytes, bytes], body: bytes) -> None:
        request_id = headers[b"x-request-id"].decode()
        run = self.endpoint.fleet.record_run(request_id, self.endpoint.name)
        self._running = True
        self.endpoint.running += 1
        if body == Body.CRASH_OR_TIMEOUT and run % 3 == 0:
            self._later(
                HEAD_S, lambda: self._answer(b"504 Gateway Timeout", b"")
            )
        elif body.startswith(Body.CRASH):
            self._run_until_crash(headers, body, request_id)
        elif body.startswith(Body.LOST):
            self._later(HEAD_S, lambda: self.transport.end(None))
        elif body.startswith(Body.SPOILED):
            self._later(HEAD_S, lambda: self.transport.send(b"\0 no HTTP"))
        elif b"x-token-counts" in headers:
            last = EVENTS // 2 if body.startswith(Body.CUT) else EVENTS
            first = int(headers.get(b"last-event-id", b"0")) + 1
            self._later(HEAD_S, lambda: self._stream(headers, first, last))
        elif body.startswith(Body.CUT):
            self._later(HEAD_S, self._answer_in_part)
        else:
            self._later(HEAD_S, lambda: self._answer(b"200 OK", b"whole"))

    def _run_until_crash(
        self, headers: dict[bytes, bytes], body: bytes, request_id: str
    ) -> None:
        point = self.endpoint.fleet.ending.point
        if point is not Point.BEFORE:
            streams = b"x-token-counts" in headers
            begin = self._begin_stream if streams else self._begin_answer
            self._later(HEAD_S, lambda: begin(headers))
        if point is Point.AMID:
            piece = b"a piece"
            if b"x-token-counts" in headers:
                number = int(headers.get(b"last-event-id", b"0")) + 1
                piece = _chunk(_event(number))
            self._later(HEAD_S, lambda: self.transport.send(piece))
        crash = partial(self.endpoint.fleet.crash, self.endpoint, request_id)
        if body.startswith(Body.CRASH_UNHEARD):
            asyncio.get_running_loop().call_later(CRASH_S, crash)
        else:
            self._later(CRASH_S, crash)

    def _stream(
        self, headers: dict[bytes, bytes], first: int, last: int
    ) -> None:
        self._begin_stream(headers)
        self._send_event(first, last)

    def _send_event(self, number: int, last: int) -> None:
        if number <= last:
            self.transport.send(_chunk(_event(number)))
            self._later(EVENT_S, lambda: self._send_event(number + 1, last))
        elif last == EVENTS:
            self.transport.send(b"0\r\n\r\n")
            self._end_run()
        else:
            self.transport.end(None)

    def _begin_stream(self, headers: dict[bytes, bytes]) -> None:
        self._send_head(
            b"200 OK",
            headers,
            b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n",
        )

    def _begin_answer(self, headers: dict[bytes, bytes]) -> None:
        self._send_head(b"200 OK", headers, b"Content-Length: 99\r\n")

    def _answer_in_part(self) -> None:
        self._begin_answer(self._headers)
        self.transport.send(b"a piece")
        self.transport.end(None)

    def _answer(self, status: bytes, body: bytes, more: bytes = b"") -> None:
        length = b"Content-Length: %d\r\n" % len(body)
        self._send_head(status, self._headers, length + more)
        self.transport.send(body)
        self._end_run()

    def _send_head(
        self, status: bytes, headers: dict[bytes, bytes], more: bytes
    ) -> None:
        request_id = headers.get(b"x-request-id", b"")
        fleet = self.endpoint.fleet
        limit = fleet.name_limit(request_id.decode(), self.endpoint)
        if limit:
            more += b"Server-Limit: %b\r\n" % limit
        more += b"X-Server-Load: %d,0,64\r\n" % self.endpoint.running
        self.transport.send(
            b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\n"
            b"X-Response-Signature: s\r\n%b\r\n" % (status, request_id, more)
        )

    def _later(self, delay_s: float, step: Callable[[], None]) -> None:
        def run_step() -> None:
            if self._open:
                step()

        asyncio.get_running_loop().call_later(delay_s, run_step)


def _event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
