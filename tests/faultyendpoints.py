"""Endpoints that cut, repeat and spoil streams, or hang amid them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Final, cast

from tests.crashingendpoints import (
    EVENT_STREAM,
    EVENTS,
    HEAD_S,
    Endpoint,
    Serving,
)
from tests.soakplans import CUTS, EXTRAS, SoakPlan
from tests.spoilings import (
    End,
    framing_for,
    framing_header,
    spoil,
)
from tests.virtualnetwork import Transport

if TYPE_CHECKING:
    from tests.streamsoak import SoakFleet

REPEAT_SHARE: Final = 0.5  # Of the faulty runs that take a stream up.


@dataclass(slots=True, eq=False)
class FaultyEndpoint(Endpoint):
    """An endpoint that may serve streams wrongly."""

    def accept(self, transport: Transport) -> Serving:
        return FaultyServing(self, transport)


class FaultyServing(Serving):
    """One connection to it."""

    _writes = False  # Whether it writes a spoiled answer.
    _unread = b""  # What came meanwhile.

    _on_closed: Callable[[], None] | None = None

    def _event(self, number: int) -> bytes:
        plan = cast(SoakPlan, cast("SoakFleet", self.endpoint.fleet).plan)
        return plan.shape.encode(number, 1, b"\n")

    def closed(self) -> None:
        if self._on_closed is not None:
            self._on_closed()
        super().closed()

    def received(self, data: bytes) -> None:
        if self._writes:
            self._unread += data
        else:
            super().received(data)

    def _run(self, headers: dict[bytes, bytes], body: bytes) -> None:
        fleet = cast("SoakFleet", self.endpoint.fleet)
        plan = cast(SoakPlan, fleet.plan)
        after = plan.shape.number_of(int(headers.get(b"last-event-id", b"0")))
        if not body.startswith(b"stream"):
            headers[b"last-event-id"] = b"%d" % after
            super()._run(headers, body)
            return
        request_id = headers[b"x-request-id"].decode()
        run = fleet.begin_run()
        self._running = True
        self.endpoint.running += 1
        rng = Random(f"{fleet.plan.seed} {run}")
        unframed = rng.random() < plan.unframed_share
        fault = ""
        faulty = self.endpoint.name in fleet.faulty
        if faulty and rng.random() < plan.fault_share:
            fault = rng.choice(plan.fault_kinds)
            if after and rng.random() < REPEAT_SHARE:
                fault = "repeat"
        if faulty and plan.spoilings and rng.random() < plan.spoiled_share:
            self._later(
                rng.uniform(0.0, HEAD_S),
                partial(self._spoil, headers, rng, run),
            )
            return
        if unframed and plan.live_cut_share:
            cut = faulty and rng.random() < plan.live_cut_share
            fault = "fin" if cut else ""
        elif unframed and fault == "fin":
            # Nothing tells it from the end of a whole answer.
            fault = "rst"
        first = 1 if fault == "repeat" else after + 1
        stop = rng.randint(min(after, EVENTS), EVENTS)
        last = stop if fault in CUTS else EVENTS
        framing = b"" if unframed else b"Transfer-Encoding: chunked\r\n"
        framing = plan.shape.header(framing)

        def begin() -> None:
            self._send_head(b"200 OK", headers, EVENT_STREAM + framing)
            step(first)

        def send(data: bytes) -> None:
            if not unframed:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            cut = rng.randrange(len(data)) if rng.random() < 0.2 else 0
            for piece in (data[:cut], data[cut:]):
                self.transport.send(piece)

        def step(number: int) -> None:
            if number > last:
                end()
                return
            send(plan.shape.encode(number, run, b"\n"))
            pause_s = rng.choice((0.0, 0.01, 0.1))
            if fault == "stall" and number == stop:
                pause_s = rng.choice(plan.stalls_s)
            self._later(pause_s, partial(step, number + 1))

        def end() -> None:
            if fault == "amid event":
                send(b"id: %d\nda" % (last + 1))
            elif fault == "garbage":
                self.transport.send(b"\0\xffnot an answer\r\n" * 20)
            if fault not in CUTS and not unframed:
                self.transport.send(b"0\r\n\r\n")
            if fault == "late extra":
                self._later(rng.uniform(0.1, 0.4), extra)
            elif fault in EXTRAS:
                extra()
            else:
                finish()

        def extra() -> None:
            data = b"".join(
                plan.shape.encode(number, run, b"\n")
                for number in range(1, EVENTS + 1)
            )
            length = b"Content-Length: %d\r\n" % len(data)
            if fault == "extra in parts":
                data = data[: rng.randrange(len(data))]
            self._send_head(b"200 OK", headers, EVENT_STREAM + length)
            self.transport.send(data)
            finish()

        def finish() -> None:
            if fault in CUTS or unframed:
                reset = ConnectionResetError("reset by peer")
                resets = fault in CUTS and fault != "fin"
                self.transport.end(reset if resets else None)
                self.closed()
            else:
                self._end_run()
            if not fault and after < EVENTS:
                fleet.run_was_whole(request_id, self.endpoint)

        self._later(rng.uniform(0.0, HEAD_S), begin)

    def _spoil(
        self, headers: dict[bytes, bytes], rng: Random, run: int
    ) -> None:
        """Write a spoiled answer."""
        fleet = cast("SoakFleet", self.endpoint.fleet)
        after = int(headers.get(b"last-event-id", b"0"))
        plan = cast(SoakPlan, fleet.plan)
        kind = rng.choice(plan.spoilings)
        framing = framing_for(kind, rng)
        events = [
            plan.shape.encode(number, run, b"\n")
            for number in range(after + 1, EVENTS + 1)
        ]
        more = EVENT_STREAM + framing_header(framing, events)
        head = self._encode_head(b"200 OK", headers, more)
        answer = spoil(kind, head, events, framing, rng)
        request_id = headers[b"x-request-id"].decode()
        link = self.endpoint.name, str(fleet.requests[request_id][0])
        now_s = fleet.loop.time
        spoiled = fleet.spoiled.begin(
            request_id, link, kind, answer, after, now_s()
        )
        written = 0

        def ended() -> None:
            fleet.spoiled.end(spoiled, written, now_s())

        def write(number: int) -> None:
            nonlocal written
            written = number
            if number == len(answer.pieces):
                ended()
                self._on_closed = None
                if answer.end is End.NONE:
                    self._end_run()
                    self._writes = False
                    unread, self._unread = self._unread, b""
                    self.received(unread)
                    return
                reset = ConnectionResetError("reset by peer")
                resets = answer.end is End.RESET
                self.transport.end(reset if resets else None)
                self.closed()
                return
            self.transport.send(answer.pieces[number])
            pause_s = rng.choice((0.0, 0.01, 0.1))
            self._later(pause_s, partial(write, number + 1))

        self._writes = True
        self._on_closed = ended
        write(0)
