"""Simulated endpoints of front-end routers, one object per attempt."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

from bulrushstream.daemon.attempt import MAX_BUFFERED_BYTES
from bulrushstream.history.keptconnection import (
    KeptConnection,
    encode_response,
)
from bulrushstream.history.routingplan import (
    ENDPOINTS,
    REST_S,
    AttemptFault,
)
from bulrushstream.transport.connection import ResponseFailure, Sink

CONNECT_S: Final = 0.001  # Time to open a connection.
EVENTS: Final = 4  # Number of events in each stream.
STATUSES: Final = {
    AttemptFault.BUSY: 503,
    AttemptFault.REST: 503,
    AttemptFault.ERROR: 500,
    AttemptFault.DENIED: 404,
}
# A failed run may be answered with a status that promises that it did not run.
ERROR_STATUSES: Final = (500, 503, 429, 408)
SIGNED: Final = (b"signature", b"yes")


class EndpointController(Protocol):
    """Draws the faults of endpoints and records their runs."""

    rng: Random

    def draw_fault(self) -> AttemptFault:
        """Draw the fault of the next attempt."""

    def says_leaving(self, attempt: Attempt) -> bool:
        """Return whether the answer to an attempt says that it leaves."""

    def rest_asked(self, attempt: Attempt) -> None:
        """Record that an endpoint asks a router for rest."""

    def event_sent(self, attempt: Attempt, request_id: str) -> None:
        """Record that an endpoint wrote an event."""

    def record_run(
        self,
        attempt: Attempt,
        request_id: str,
        fault: AttemptFault,
        timeout_s: float,
    ) -> None:
        """Record that an endpoint received a request."""


def event_of(request_id: str, number: int) -> bytes:
    """Return an event of a stream.

    :param request_id: the request that the stream answers
    :param number: the position of the event in the stream, from 1
    """
    return f"id: {number}\ndata: {request_id}\n\n".encode()


def long_part_of(request_id: str) -> bytes:
    """Return a part of an answer that is too long to be buffered.

    :param request_id: the request that it answers
    """
    line = b"long answer of " + request_id.encode()
    return line * (1 + MAX_BUFFERED_BYTES // len(line))


class Attempt:
    """One attempt at an endpoint; stands in for `Pending`."""

    def __init__(
        self,
        fleet: EndpointController,
        router: int,
        endpoint: str,
        sink: Sink,
    ) -> None:
        """Begin to open a connection.

        :param fleet: draws the fault and records the run
        :param router: the number of the router that sends the request
        :param endpoint: the endpoint's id
        :param sink: receives the answer
        """
        self._fleet = fleet
        self.router = router
        self.endpoint = endpoint
        self._sink: Sink | None = sink
        self.reused = False
        self.connection = None
        self._kept: KeptConnection | None = None  # Speaks HTTP, if any.
        self._later(CONNECT_S, self._connected)

    @property
    def working(self) -> bool:
        """Return whether the attempt is still in progress."""
        return self._sink is not None

    def record_answer(self, request_id: str) -> None:
        """Do nothing: the connection carries no other request."""

    def has_answered(self, request_id: str) -> bool:
        """Return that the connection carries no other answer."""
        del request_id
        return False

    def cancel(self) -> None:
        """Stop the attempt; the sink is not called any more."""
        self._sink = None
        if self._kept is not None:
            self._kept.cancel()

    def _later(self, delay_s: float, step: Callable[[Sink], None]) -> None:
        def run_step() -> None:
            if self._sink is not None:
                step(self._sink)

        asyncio.get_running_loop().call_later(delay_s, run_step)

    def _end_with_loss(self, loss: ResponseFailure) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.failed(loss, "simulated")

    def _connected(self, sink: Sink) -> None:
        fleet, rng = self._fleet, self._fleet.rng
        fault = fleet.draw_fault()
        if fault is AttemptFault.REFUSED:
            self._end_with_loss(ResponseFailure.REFUSED)
            return
        payload = sink.payload()
        if payload is None:
            self._end_with_loss(ResponseFailure.WITHDRAWN)
            return
        request_id, remaining_ms, resume_after = payload.decode().split()
        fleet.record_run(self, request_id, fault, int(remaining_ms) / 1000.0)
        if fault is AttemptFault.SILENT:
            return
        if fault is AttemptFault.REPEATED:
            self._use_kept_connection(
                sink, payload, request_id, int(resume_after) + 1
            )
            return
        work_s = rng.expovariate(1 / 0.05)
        if ENDPOINTS[self.endpoint] == "llm":
            self._later(
                work_s,
                lambda sink: self._start_stream(
                    sink, request_id, fault, int(resume_after) + 1
                ),
            )
        else:
            self._later(
                work_s,
                lambda sink: self._send_answer(sink, request_id, fault),
            )

    def _use_kept_connection(
        self, sink: Sink, payload: bytes, request_id: str, number: int
    ) -> None:
        """Refuse an earlier request once more, and answer this one."""
        rng, loop = self._fleet.rng, asyncio.get_running_loop()
        self.reused = True
        kept = self._kept = KeptConnection(loop.time)
        kept.send(payload, sink)
        named = rng.choice(([], [(b"id", b"another")]))
        status = rng.choice((400, 429, 503))
        refusal = encode_response(
            status, [*named, (b"not-executed", b"yes")], [b"full"]
        )
        kind, chunks = b"plain", [b"answer of ", request_id.encode()]
        if ENDPOINTS[self.endpoint] == "llm":
            kind = b"events"
            chunks = [
                event_of(request_id, each)
                for each in range(number, EVENTS + 1)
            ]
        headers = [(b"id", request_id.encode()), (b"kind", kind), SIGNED]
        answer = encode_response(200, headers, chunks)
        cut = rng.randrange(len(refusal))
        pieces = rng.choice(
            ([refusal + answer], [refusal[:cut], refusal[cut:], answer])
        )

        def receive(sink: Sink) -> None:
            del sink
            # No router takes an answer after a refusal that names nobody.
            if kind == b"events" and named:
                self._fleet.event_sent(self, request_id)
            kept.receive(pieces.pop(0))
            if not pieces:
                self._sink = None
            self._later(0.002, receive)

        self._later(rng.expovariate(1 / 0.05), receive)

    def _send_head(
        self, sink: Sink, request_id: str, fault: AttemptFault, kind: bytes
    ) -> None:
        status = STATUSES.get(fault, 200)
        if fault is AttemptFault.ERROR:
            # No random number, so that seeds keep their histories.
            turn = zlib.crc32(request_id.encode()) % len(ERROR_STATUSES)
            status = ERROR_STATUSES[turn]
        headers = [(b"id", request_id.encode()), (b"kind", kind)]
        if fault in (AttemptFault.BUSY, AttemptFault.REST):
            headers.append((b"not-executed", b"yes"))
        else:
            headers.append(SIGNED)
        if fault is AttemptFault.REST:
            headers.append((b"rest", b"%.1f" % REST_S))
            self._fleet.rest_asked(self)
        if self._fleet.says_leaving(self):
            headers.append((b"leaving", b"yes"))
        if fault is not AttemptFault.CUT_HEAD:
            headers.append((b"transfer-encoding", b"chunked"))
        sink.head(status, headers)

    def _send_answer(
        self, sink: Sink, request_id: str, fault: AttemptFault
    ) -> None:
        if fault is AttemptFault.FOREIGN:
            if sink.head(200, [(b"id", b"another"), SIGNED]):
                sink.data(b"answer of another")
                sink.end()
            self._end_with_loss(ResponseFailure.BROKEN)
            return
        self._send_head(sink, request_id, fault, b"plain")
        if fault is AttemptFault.CUT_HEAD:
            self._sink = None
            sink.end(framed=False)
            return
        if fault is AttemptFault.HANGS:
            sink.data(long_part_of(request_id))
            return
        sink.data(b"answer of ")
        if fault is AttemptFault.BREAK:
            self._end_with_loss(ResponseFailure.BROKEN)
            return
        sink.data(request_id.encode())
        self._sink = None
        sink.end()

    def _start_stream(
        self, sink: Sink, request_id: str, fault: AttemptFault, number: int
    ) -> None:
        if fault in STATUSES or fault is AttemptFault.FOREIGN:
            self._send_answer(sink, request_id, fault)
            return
        self._send_head(sink, request_id, fault, b"events")
        if fault is AttemptFault.CUT_HEAD:
            self._sink = None
            sink.end(framed=False)
            return
        self._send_event(sink, request_id, fault, number)

    def _send_event(
        self, sink: Sink, request_id: str, fault: AttemptFault, number: int
    ) -> None:
        event = event_of(request_id, number)
        last = number >= EVENTS
        if fault is AttemptFault.BREAK and self._fleet.rng.random() < 0.5:
            sink.data(event[:7])
            self._end_with_loss(ResponseFailure.BROKEN)
            return
        self._fleet.event_sent(self, request_id)
        sink.data(event)
        if last:
            self._sink = None
            sink.end()
        else:
            self._later(
                0.02,
                lambda sink: self._send_event(
                    sink, request_id, fault, number + 1
                ),
            )
