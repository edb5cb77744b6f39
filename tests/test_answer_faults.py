"""Errors of the router itself while it passes an answer on.

Guards against streams that go on behind events which were read and never
written, as memory ran out or a step failed in between.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any, Final

import pytest

from bulrushstream.coordination.fleetstate import FleetState
from bulrushstream.daemon import platformupdates, takeups
from bulrushstream.daemon.attempt import Attempt
from bulrushstream.daemon.forward import Forward
from bulrushstream.state.events import EventSplitter
from bulrushstream.state.routes import EndpointEntry
from tests.crashplans import ROUTES
from tests.simulatedcallers import Caller, an_exchange
from tests.test_broken_streams import (
    CHUNKED,
    REQUEST_ID,
    STREAM_KIND,
    WHOLE,
    Break,
    Endpoints,
    Error,
    Serving,
    chunk,
    later,
)
from tests.test_repeated_refusals import body_of, start_router
from tests.virtualnetwork import NetworkLoop, Transport, run_in_network

GAP_S: Final = 0.01  # Between two pieces of an answer.
LONG_BODY: Final = b"x" * 100_000  # Three of them are not buffered.

# Steps between the reading of an event and its writing, or right after it.
STEPS: Final = (
    (EventSplitter, "feed"),
    (FleetState, "first_event"),
    (Forward, "relay_events"),
    (Forward, "begin_stream"),
    (Attempt, "_keep"),
)


class Writing(Serving):
    """An endpoint that writes a whole answer, piece by piece."""

    def on_message_complete(self) -> None:
        if b"x-request-id" not in self._headers:
            self._transport.end(None)
            return
        after = int(self._headers.get(b"last-event-id", b"0"))
        self._endpoints.sends.append(after)
        pieces, kind = [LONG_BODY] * 3, b""
        if b"x-token-counts" in self._headers:
            pieces, kind = WHOLE[after:], STREAM_KIND
        self._send_head(b"200 OK", kind + CHUNKED)
        for number, data in enumerate([*map(chunk, pieces), b"0\r\n\r\n"]):
            later(GAP_S * (number + 1), partial(self._transport.send, data))


class FailingCaller(Caller):
    """A caller's connection that fails once to take what is written."""

    def __init__(self, failing_write: int, taken_bytes: int) -> None:
        super().__init__()
        self.writes_left = failing_write
        self.ended_s = 0.0
        self._taken_bytes = taken_bytes

    def write(self, data: bytes) -> None:
        self.writes_left -= 1
        if self.writes_left == 0:
            self.data += data[: self._taken_bytes]
            raise MemoryError
        super().write(data)

    def abort(self) -> None:
        self.ended_s = asyncio.get_running_loop().time()
        super().abort()


def fail_once_after(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, calls: int
) -> None:
    """Make a function fail at the end of one of its calls."""
    function: Callable[..., Any] = getattr(owner, name)
    counted = 0

    def fail(*arguments: Any, **named: Any) -> Any:
        nonlocal counted
        result = function(*arguments, **named)
        counted += 1
        if counted == calls:
            raise MemoryError
        return result

    monkeypatch.setattr(owner, name, fail)


def play(caller: Caller, path: str) -> Endpoints:
    """Send one request to endpoints that write whole answers."""
    endpoints = Endpoints(Break.CLOSED, Error(b""), errors=0)

    def connect(transport: Transport) -> Writing:
        return Writing(endpoints, transport)

    async def run(loop: NetworkLoop) -> None:
        router = start_router(loop)
        for number in range(3):
            address = (f"10.1.0.{number}", 80)
            loop.listeners[address] = connect
            service = ROUTES[path].services[0]
            entry = EndpointEntry(f"e-{number}", service, *address, "z", 64)
            entry = replace(entry, version="v1")
            platformupdates.apply_entry(router.front, entry)
        exchange = an_exchange(caller, REQUEST_ID, path, b"x")
        exchange.arrived_s = loop.time()
        router.front.handle(exchange)
        await asyncio.sleep(9.0)
        assert not router.front.forwards

    assert run_in_network(run) == []
    return endpoints


class AnswerFaultSuite:
    @pytest.mark.parametrize("taken_bytes", (0, 5, 10_000))
    @pytest.mark.parametrize("failing_write", (1, 2, 3, 4, 5))
    @pytest.mark.parametrize("path", ("/talk/", "/tell/", "/safe/"))
    def test_a_write_fails(
        self, path: str, failing_write: int, taken_bytes: int
    ) -> None:
        """Guards against events that come after some that were left out."""
        caller = FailingCaller(failing_write, taken_bytes)
        play(caller, path)
        # No write followed, and the caller need not wait for its deadline.
        assert caller.aborted
        assert caller.writes_left == 0
        assert 0.0 < caller.ended_s < 1.0

    @pytest.mark.parametrize("calls", (1, 2, 3))
    @pytest.mark.parametrize(("owner", "name"), STEPS)
    def test_a_step_fails(
        self,
        monkeypatch: pytest.MonkeyPatch,
        owner: Any,
        name: str,
        calls: int,
    ) -> None:
        """Guards against events that were read and never written."""
        fail_once_after(monkeypatch, owner, name, calls)
        caller = Caller()
        play(caller, "/talk/")
        status, body, complete = body_of(caller.data)
        assert status in ("200", "502")
        if status == "200":
            assert b"".join(WHOLE).startswith(body)
            assert not complete
        assert caller.ended

    def test_a_step_of_a_take_up_fails(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a stream that is not recorded, and goes on."""
        fail_once_after(monkeypatch, takeups, "stream_began", 1)
        caller = Caller()
        endpoints = play(caller, "/talk/")
        assert caller.ended
        assert caller.data.startswith(b"HTTP/1.1 502 ")
        assert endpoints.sends == [0]
