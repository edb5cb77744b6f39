"""A simulated endpoint at work on one request of a routing router."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

from bulrushstream.history.routingplan import ENDPOINTS, Mishap
from bulrushstream.transport.upstream import ResponseFailure, Sink

CONNECT_S: Final = 0.001  # To make a connection.
EVENTS: Final = 4  # In each stream.
STATUSES: Final = {Mishap.BUSY: 503, Mishap.ERROR: 500, Mishap.DENIED: 404}
SIGNED: Final = (b"signature", b"yes")


class Endpoints(Protocol):
    """Who decides what endpoints do, and takes note."""

    rng: Random

    def draw_mishap(self) -> Mishap:
        """Return what happens to the next attempt."""

    def begin_run(
        self,
        attempt: Attempt,
        request_id: str,
        mishap: Mishap,
        left_s: float,
    ) -> None:
        """Note that an endpoint was handed a request."""


def event_of(request_id: str, number: int) -> bytes:
    """Return an event of a stream.

    :param request_id: whose stream it is
    :param number: its place, from 1
    """
    return f"id: {number}\ndata: {request_id}\n\n".encode()


class Attempt:
    """One request at an endpoint; see `Pending`."""

    def __init__(self, fleet: Endpoints, endpoint: str, sink: Sink) -> None:
        """Begin to connect.

        :param fleet: whose endpoint it is
        :param endpoint: the endpoint's id
        :param sink: takes the answer
        """
        self._fleet = fleet
        self.endpoint = endpoint
        self._sink: Sink | None = sink
        self._later(CONNECT_S, self._connected)

    @property
    def working(self) -> bool:
        """Return whether the endpoint still works on it."""
        return self._sink is not None

    def cancel(self) -> None:
        """Stop working on it; the sink hears nothing more."""
        self._sink = None

    def _later(self, delay_s: float, step: Callable[[Sink], None]) -> None:
        def go() -> None:
            if self._sink is not None:
                step(self._sink)

        asyncio.get_running_loop().call_later(delay_s, go)

    def _lose(self, loss: ResponseFailure) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.failed(loss, "simulated")

    def _connected(self, sink: Sink) -> None:
        fleet, rng = self._fleet, self._fleet.rng
        mishap = fleet.draw_mishap()
        if mishap is Mishap.REFUSED:
            self._lose(ResponseFailure.REFUSED)
            return
        payload = sink.payload()
        if payload is None:
            self._lose(ResponseFailure.WITHDRAWN)
            return
        request_id, left_ms, resume_after = payload.decode().split()
        fleet.begin_run(self, request_id, mishap, int(left_ms) / 1000.0)
        if mishap is Mishap.SILENT:
            return
        work_s = rng.expovariate(1 / 0.05)
        if ENDPOINTS[self.endpoint] == "llm":
            self._later(
                work_s,
                lambda sink: self._stream(
                    sink, request_id, mishap, int(resume_after) + 1
                ),
            )
        else:
            self._later(
                work_s, lambda sink: self._answer(sink, request_id, mishap)
            )

    def _head(
        self, sink: Sink, request_id: str, mishap: Mishap, kind: bytes
    ) -> None:
        status = STATUSES.get(mishap, 200)
        headers = [(b"id", request_id.encode()), (b"kind", kind)]
        if mishap is Mishap.BUSY:
            headers.append((b"not-executed", b"yes"))
        else:
            headers.append(SIGNED)
        sink.head(status, headers)

    def _answer(self, sink: Sink, request_id: str, mishap: Mishap) -> None:
        if mishap is Mishap.FOREIGN:
            if sink.head(200, [(b"id", b"another"), SIGNED]):
                sink.data(b"answer of another")
                sink.end()
            self._lose(ResponseFailure.BROKEN)
            return
        self._head(sink, request_id, mishap, b"plain")
        sink.data(b"answer of ")
        if mishap is Mishap.BREAK:
            self._lose(ResponseFailure.BROKEN)
            return
        sink.data(request_id.encode())
        self._sink = None
        sink.end()

    def _stream(
        self, sink: Sink, request_id: str, mishap: Mishap, number: int
    ) -> None:
        if mishap in STATUSES or mishap is Mishap.FOREIGN:
            self._answer(sink, request_id, mishap)
            return
        self._head(sink, request_id, mishap, b"events")
        self._event(sink, request_id, mishap, number)

    def _event(
        self, sink: Sink, request_id: str, mishap: Mishap, number: int
    ) -> None:
        event = event_of(request_id, number)
        last = number >= EVENTS
        if mishap is Mishap.BREAK and self._fleet.rng.random() < 0.5:
            sink.data(event[:7])
            self._lose(ResponseFailure.BROKEN)
            return
        sink.data(event)
        if last:
            self._sink = None
            sink.end()
        else:
            self._later(
                0.02,
                lambda sink: self._event(sink, request_id, mishap, number + 1),
            )
