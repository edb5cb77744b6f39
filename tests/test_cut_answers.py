"""Endpoints that stop at any byte of an answer, and close."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import pytest

from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front
from bulrushstream.state.effect import Decision
from tests.crashplans import CrashPlan
from tests.crashrouters import Router, make_router
from tests.deployments import an_entry
from tests.simulatedcallers import Caller, an_exchange
from tests.virtualnetwork import (
    Address,
    NetworkLoop,
    ServerSide,
    Transport,
    run_in_network,
)

WAIT_S: Final = 6.0
EVENTS: Final = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
BODY: Final = b"the whole body"
_STATUS: Final = re.compile(rb"HTTP/1.1 ([0-9]+)")
_PROBE: Final = re.compile(
    rb"(?s)GET (?:/health|/v1/report) .*X-Expect-Instance: (\S+)"
)
BORN: Final = "7"  # When each process started, as it says.
_REQUEST_ID: Final = re.compile(rb"(?i)x-request-id: *([^\r]*)\r\n")

# Serves a connection, from what ends the process.
Connect = Callable[[Callable[[], None], Transport], ServerSide]


@dataclass(frozen=True, slots=True)
class Cut:
    """An answer of which the caller gets a part only."""

    framing: str  # length, chunks or close.
    kept_bytes: int
    reset: bool = False  # Whether the connection is reset.
    prefix: bytes = b""  # What comes before the answer.
    ends: bool = False  # Whether the endpoint's process ends.


def encode_answer(request_id: bytes, framing: str, streams: bool) -> bytes:
    """Return an endpoint's whole answer."""
    body = EVENTS if streams else BODY
    lines = [
        b"HTTP/1.1 200 OK",
        b"X-Request-Id: " + request_id,
        b"X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1",
    ]
    if streams:
        lines.append(b"Content-Type: text/event-stream")
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        half = len(body) // 2
        body = b"".join(
            b"%x\r\n%b\r\n" % (len(each), each)
            for each in (body[:half], body[half:], b"")
        )
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def answer_probe(request: bytes) -> bytes:
    """Return the answer to a probe; empty: it is none."""
    probe = _PROBE.match(request)
    if probe is None:
        return b""
    report = b'{"born":%b}' % BORN.encode()
    return (
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
        b"X-Instance-Id: %b\r\n\r\n%b" % (len(report), probe[1], report)
    )


class _CutEndpoint:
    """The endpoint's end of a connection."""

    def __init__(
        self,
        cut: Cut,
        streams: bool,
        end_process: Callable[[], None],
        transport: Transport,
    ) -> None:
        self._cut = cut
        self._end_process = end_process
        self._streams = streams
        self._transport = transport
        self._data = b""

    def received(self, data: bytes) -> None:
        self._data += data
        if b"\r\n\r\n" not in self._data:
            return
        probed = answer_probe(self._data)
        found = _REQUEST_ID.search(self._data)
        self._data = b""
        if probed:
            self._transport.send(probed)
            return
        assert found is not None
        cut = self._cut
        answer = encode_answer(found[1], cut.framing, self._streams)
        self._transport.send(cut.prefix + answer[: cut.kept_bytes])
        self._transport.end(ConnectionResetError() if cut.reset else None)
        if cut.ends:
            self._end_process()

    def closed(self) -> None:
        """Do nothing."""


def play(path: str, cut: Cut) -> Caller:
    """Send one request to endpoints that stop amid their answers."""
    return play_before(
        path,
        lambda end_process, transport: _CutEndpoint(
            cut, path.startswith("/t"), end_process, transport
        ),
    )


def listen(loop: NetworkLoop, address: Address, connect: Connect) -> None:
    """Start a process that accepts connections; see `play_before`."""
    transports: list[Transport] = []

    def end_process() -> None:
        loop.listeners.pop(address, None)
        for transport in transports:
            transport.end(None)

    def accept(transport: Transport) -> ServerSide:
        transports.append(transport)
        return connect(end_process, transport)

    loop.listeners[address] = accept


def make_front(
    loop: NetworkLoop,
    service: str,
    connect: Connect,
    observe: Callable[[Decision], None] = lambda decision: None,
) -> Front:
    """Return a router with three endpoints; see `play_before`."""
    router: Router = make_router(
        0,
        1,
        CrashPlan(routers=1),
        loop.time,
        observe,
        lambda host, data: None,
    )
    front = router.front
    for number in range(3):
        address = (f"10.1.0.{number}", 80)
        listen(loop, address, connect)
        entry = an_entry(
            f"e-{number}",
            service=service,
            host=address[0],
            port=80,
            born=BORN,
        )
        platformupdates.apply_entry(front, entry)
    front.endpoints_listed = True
    front.streams.history.complete = True
    front.freshness.confirm(loop.time())
    return front


def play_before(
    path: str,
    connect: Connect,
) -> Caller:
    """Send one request through a router; return what its caller got.

    Each connection to an endpoint is served by what `connect` returns, from
    a function that ends the endpoint's process and the connection.
    """
    streams = path.startswith("/t")
    service = "llm" if streams else "desk"
    caller = Caller()

    async def work(loop: NetworkLoop) -> None:
        front = make_front(loop, service, connect)
        exchange = an_exchange(caller, "q1", path, b"body")
        exchange.arrived_s = loop.time()
        front.handle(exchange)
        await asyncio.sleep(WAIT_S)

    assert run_in_network(work) == []
    return caller


def status_of(data: bytes) -> bytes:
    """Return the status of what a caller got; empty: none."""
    found = _STATUS.match(data)
    return found[1] if found else b""


def body_that_looks_whole(data: bytes) -> bytes | None:
    """Return the body of a success whose end is marked; None: there is none.

    An end that only the end of the connection shows is no mark: it is also
    that of a router that is killed.
    """
    head, _, body = data.partition(b"\r\n\r\n")
    if status_of(data) != b"200":
        return None
    if b"transfer-encoding: chunked" in head.lower():
        if not body.endswith(b"0\r\n\r\n"):
            return None
        pieces = re.findall(rb"[0-9a-f]+\r\n(.*?)\r\n", body, re.DOTALL)
        return b"".join(pieces)
    length = re.search(rb"(?i)content-length: ([0-9]+)", head)
    if length is None or len(body) < int(length[1]):
        return None
    return body


PATHS: Final = ("/once/", "/safe/", "/tell/", "/talk/")
WHOLE: Final = 10**6


class CutAnswerSuite:
    """Answers that end at any byte.

    Guards against a success that looks whole though its endpoint stopped
    amid the head or the body and closed the connection.
    """

    @pytest.mark.parametrize("reset", [False, True])
    @pytest.mark.parametrize("framing", ["length", "chunks", "close"])
    @pytest.mark.parametrize("path", PATHS)
    def test_no_part_of_an_answer_looks_whole(
        self, path: str, framing: str, reset: bool
    ) -> None:
        streams = path.startswith("/t")
        whole = encode_answer(b"q1", framing, streams)
        for kept_bytes in range(len(whole)):
            # Without a length, an endpoint that runs and closes in order has
            # by that said that its answer is whole.
            ends = framing == "close" and not reset
            caller = play(path, Cut(framing, kept_bytes, reset, ends=ends))
            assert body_that_looks_whole(caller.data) is None, kept_bytes
            if status_of(caller.data) == b"200":
                assert caller.aborted

    @pytest.mark.parametrize("path", PATHS)
    def test_heads_without_a_body_are_no_success(self, path: str) -> None:
        whole = encode_answer(b"q1", "close", path.startswith("/t"))
        head_bytes = whole.index(b"\r\n\r\n") + 4
        for kept_bytes in range(head_bytes + 1):
            caller = play(path, Cut("close", kept_bytes))
            assert status_of(caller.data) == b"502"

    @pytest.mark.parametrize("interim", [b"100 Continue", b"103 Early Hints"])
    def test_heads_that_are_cut_after_an_interim_one(
        self, interim: bytes
    ) -> None:
        prefix = b"HTTP/1.1 %b\r\nA: b\r\n\r\n" % interim
        for kept_bytes in range(60):
            cut = Cut("length", kept_bytes, prefix=prefix)
            assert status_of(play("/once/", cut).data) == b"502"

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("framing", ["length", "chunks", "close"])
    def test_whole_answers_are_passed_on(
        self, path: str, framing: str
    ) -> None:
        caller = play(path, Cut(framing, WHOLE))
        assert status_of(caller.data) == b"200"
        assert not caller.aborted
        expected = EVENTS if path.startswith("/t") else BODY
        assert body_that_looks_whole(caller.data) == expected
