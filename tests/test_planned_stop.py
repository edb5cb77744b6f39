"""A router that is stopped in calm answers what it has read."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any, Final, cast

import pytest

from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import FrontDeps
from bulrushstream.daemon.frontprocess import FrontProcess
from bulrushstream.history.routingplatform import settings_of
from bulrushstream.metrics import make_metrics
from bulrushstream.platform.dialect import PLATFORM
from bulrushstream.transport.ingress import ClientConnection
from tests.crashplans import crash_config
from tests.deployments import HOST, KEY, an_entry
from tests.test_cut_answers import (
    body_that_looks_whole,
    encode_answer,
    status_of,
)
from tests.virtualnetwork import NetworkLoop, Transport, run_in_network

GRACE_S: Final = 8.0
RUN_S: Final = 0.4  # How long an endpoint works on a request.
LONG_S: Final = 3.8  # On the request that keeps the router up.
LONG_SENT_S: Final = 2.1  # When that one is sent.
_ID: Final = re.compile(rb"(?i)x-request-id: *([^\r]*)\r\n")


class _Listener:
    """Stands in for the server of a listening socket."""

    def close(self) -> None:
        """Do nothing: no one connects."""


class _CallerTransport(asyncio.Transport):
    """The router's end of a caller's kept connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self._loop = loop
        self.protocol: ClientConnection | None = None
        self.data = b""
        self.closed_s = float("inf")

    def write(self, data: Any) -> None:
        self.data += data

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: all bytes are written at once."""

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed_s < float("inf")

    def close(self) -> None:
        if not self.is_closing():
            self.closed_s = self._loop.time()
            assert self.protocol is not None
            self._loop.call_soon(self.protocol.connection_lost, None)

    abort = close


@dataclass(slots=True)
class Stop:
    """What came of the requests around one stop."""

    passed_on_s: dict[str, float] = field(default_factory=dict)
    # The connection of each request of which the router got bytes.
    begun: dict[str, _CallerTransport] = field(default_factory=dict)
    ended_s: float = float("inf")  # When the process ended.


class _Endpoint:
    """An endpoint's end of one connection."""

    def __init__(
        self, stop: Stop, streams: bool, transport: Transport
    ) -> None:
        self._stop = stop
        self._streams = streams
        self._transport = transport
        self._data = b""

    def received(self, data: bytes) -> None:
        self._data += data
        found = _ID.search(self._data)
        if b"\r\n\r\n" not in self._data or found is None:
            return
        self._data = b""
        loop = asyncio.get_running_loop()
        self._stop.passed_on_s[found[1].decode()] = loop.time()
        answer = encode_answer(found[1], "chunks", self._streams)
        run_s = LONG_S if found[1] == b"long" else RUN_S
        loop.call_later(run_s, self._transport.send, answer)

    def closed(self) -> None:
        """Do nothing."""


def encode_call(path: str, request_id: str) -> bytes:
    """Return a caller's request with a body of four bytes."""
    lines = [
        f"POST {path}x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 4000",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 4",
    ]
    if path.startswith("/t"):
        lines += ["X-Model: m", "X-Token-Counts: 60,20"]
        lines.append("X-Prompt-Prefix: a1:40,b2:20")
    return "\r\n".join([*lines, "", "body"]).encode()


def play_stop(
    path: str,
    at_s: list[float],
    late_bytes: int,
    *,
    long: bool,
    behind: int = 0,
) -> Stop:
    """Stop a router; send requests on kept connections at some times.

    :param path: the requests' route
    :param at_s: when they are sent, counted from the stop
    :param late_bytes: how many of their bytes come half a second later
    :param long: whether a long request keeps the process up
    :param behind: how many more requests come right behind each
    """
    stop = Stop()

    async def work(loop: NetworkLoop) -> None:
        settings = replace(settings_of(0, 1), grace_s=GRACE_S)
        process = FrontProcess(
            "",
            settings,
            FrontDeps(
                dialect=PLATFORM,
                clock=loop.time,
                boot_clock=loop.time,
                time_of_day=loop.time,
                rng=Random(1),
                metrics=make_metrics(),
                observe=lambda decision: None,
                report=lambda kind, text: None,
                report_shares=lambda report: None,
            ),
        )
        process._servers = [cast(asyncio.Server, _Listener())]
        front = process.front
        platformupdates.apply_config(front, crash_config())
        for service in ("llm", "desk", "till"):
            address = (f"10.1.0.{len(service)}", len(service) + len(path))
            if service == "till":
                address = ("10.1.0.9", 9)
            loop.listeners[address] = partial(
                _Endpoint, stop, service == "llm"
            )
            entry = an_entry(
                service, service=service, host=address[0], port=address[1]
            )
            platformupdates.apply_entry(front, entry)
        front.endpoints_listed = True
        front.streams.history.complete = True

        def confirm() -> None:
            front.freshness.confirm(loop.time())
            loop.call_later(0.5, confirm)

        confirm()
        begin_s = 1.0
        ids = [f"q{number}" for number in range(len(at_s))]
        calls = list(zip(ids, at_s, strict=True))
        if long:
            calls.append(("long", LONG_SENT_S))
        for request_id, sent_s in calls:
            transport = _CallerTransport(loop)
            connection = front.ingress.make_connection()
            transport.protocol = connection
            connection.connection_made(transport)
            data = encode_call(path, request_id)
            for number in range(behind):
                data += encode_call(path, f"{request_id}-{number}")
            cut = len(data) - late_bytes

            def send(
                transport: _CallerTransport,
                request_id: str,
                piece: bytes,
            ) -> None:
                if transport.is_closing() or loop.time() >= stop.ended_s:
                    return
                stop.begun[request_id] = transport
                assert transport.protocol is not None
                transport.protocol.data_received(piece)

            if late_bytes:
                loop.call_later(
                    begin_s + sent_s,
                    partial(send, transport, request_id, data[:cut]),
                )
            loop.call_later(
                begin_s + sent_s + (0.5 if late_bytes else 0.0),
                partial(
                    send,
                    transport,
                    request_id,
                    data[cut:] if late_bytes else data,
                ),
            )
        await asyncio.sleep(begin_s)
        await process.stop()
        stop.ended_s = loop.time()
        await asyncio.sleep(GRACE_S)

    assert run_in_network(work) == []
    return stop


def answers_of(data: bytes) -> list[bytes]:
    """Return the answers that were written to a connection."""
    begin = b"HTTP/1.1 "
    return [begin + each for each in data.split(begin)[1:]]


class WaitingRequestSuite:
    """Whole requests that wait behind another one on their connection.

    Guards against a stop that closes the connection in front of them.
    """

    @pytest.mark.parametrize("path", ["/talk/", "/safe/", "/once/"])
    def test_each_is_answered_in_order(self, path: str) -> None:
        statuses = []
        for step in range(-4, 24):
            stop = play_stop(path, [0.1 * step], 0, long=False, behind=3)
            assert stop.ended_s <= 1.0 + GRACE_S
            for transport in stop.begun.values():
                answers = answers_of(transport.data)
                assert len(answers) == 4
                for number, answer in enumerate(answers):
                    head = answer.partition(b"\r\n\r\n")[0]
                    closes = b"connection: close" in head
                    assert closes == (number == len(answers) - 1)
                    statuses.append(status_of(answer))
        assert set(statuses) <= {b"200", b"503"}
        assert statuses.count(b"200") >= 0.7 * len(statuses)


class PlannedStopSuite:
    """Requests on kept connections at each moment of the grace period.

    Guards against requests that are read, perhaps passed on, and cut without
    an answer as the process ends.
    """

    @pytest.mark.parametrize("long", [False, True])
    @pytest.mark.parametrize("late_bytes", [0, 2, 60])
    @pytest.mark.parametrize(
        "path", ["/talk/", "/tell/", "/safe/", "/once/", "/split/"]
    )
    def test_what_is_read_is_answered_or_refused(
        self, path: str, late_bytes: int, long: bool
    ) -> None:
        begun = 0
        for step in range(-4, 80):
            stop = play_stop(path, [0.1 * step], late_bytes, long=long)
            assert stop.ended_s <= 1.0 + GRACE_S
            for request_id, transport in stop.begun.items():
                begun += 1
                if request_id in stop.passed_on_s:
                    assert body_that_looks_whole(transport.data)
                else:
                    assert status_of(transport.data) == b"503"
        assert begun >= 20
