"""Random faults around streams, in virtual time, and a judge of their order.

Endpoints cut, repeat and spoil streams, and end behind a port that accepts
connections without them; routers are restarted and stand still.  Callers take
broken streams up at other routers.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Final, cast

from bulrushstream.transport.exchange import Exchange
from tests.crashfleets import LEASE_S
from tests.crashingendpoints import (
    EVENT_STREAM,
    EVENTS,
    HEAD_S,
    Endpoint,
    Link,
    Proxy,
    Serving,
)
from tests.crashplans import TIMEOUT_S, RouterFault
from tests.eventshapes import PLAIN, Shape
from tests.simulatedcallers import Caller
from tests.spoiledruns import SpoiledRuns
from tests.spoilings import (
    End,
    Spoiling,
    framing_for,
    framing_header,
    spoil,
)
from tests.streamjudge import Answer, judge
from tests.versionfleets import VersionFleet
from tests.versionplans import Try, VersionPlan
from tests.virtualnetwork import Transport

CUTS: Final = ("fin", "rst", "amid event", "garbage")
EXTRAS: Final = ("extra", "late extra", "extra in parts")
STALL_S: Final = 1.5
# Shorter and longer than routers wait for an event, and than callers do.
STALLS_S: Final = (0.3, 0.6, 1.0, 2.0, 4.0)
LIVES_ON_S: Final = 1.0
RETURNS_S: Final = (0.0, 0.02, 0.2, 1.0, 4.0)  # From an end to the next start.
ELSEWHERE_SHARE: Final = 0.25
REPEAT_SHARE: Final = 0.5  # Of the faulty runs that take a stream up.
_CHUNK: Final = re.compile(rb"([0-9a-f]+)\r\n")
# From an answer's last byte to the moment when its router has read it.
READ_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class SoakPlan(VersionPlan):
    """A run with random faults."""

    fault_share: float = 0.3  # Of the runs at faulty endpoints.
    unframed_share: float = 0.3  # Of all answers.
    faulty_share: float = 0.5  # Of the endpoints.
    ends_per_s: float = 0.5  # Endpoints whose process ends.
    old_callers_share: float = 0.25  # Callers of HTTP/1.0.
    # Answers without a length that faulty endpoints end in order before their
    # end, of all that they write.
    live_cut_share: float = 0.0
    # Of the processes that end: those that start again under their id.
    return_share: float = 0.0
    # How faulty endpoints spoil answers, and the share of those.
    spoilings: tuple[Spoiling, ...] = ()
    spoiled_share: float = 0.3
    fault_kinds: tuple[str, ...] = (*CUTS, *EXTRAS, "stall")
    stalls_s: tuple[float, ...] = (STALL_S,)
    shape: Shape = PLAIN


def random_plan(seed: int, path: str) -> SoakPlan:
    """Return a plan with random faults of routers."""
    rng = Random(seed)
    faults = tuple(
        RouterFault(
            at_s,
            (rng.randrange(4),),
            frozen_s=rng.choice((0.0, rng.uniform(0.2, 3.0))),
        )
        for at_s in sorted(rng.uniform(1.0, 12.0) for _ in range(5))
    )
    return SoakPlan(
        seed=seed,
        path=path,
        faults=faults,
        end_s=18.0,
        background_per_s=0.5,
        tries=3 if path == "/talk/" else 1,
    )


def hanging_plan(seed: int, path: str) -> SoakPlan:
    """Return a plan whose endpoints hang amid streams and then go on."""
    return replace(
        random_plan(seed, path),
        fault_share=0.5,
        fault_kinds=("stall",),
        stalls_s=STALLS_S,
        ends_per_s=0.05,
    )


def live_cuts_plan(seed: int) -> SoakPlan:
    """Return a plan whose endpoints cut some streams without a length."""
    return SoakPlan(
        seed=seed,
        path="/talk/",
        end_s=18.0,
        background_per_s=0.5,
        tries=3,
        fault_share=0.1,
        unframed_share=0.05,
        ends_per_s=0.05,
        live_cut_share=0.3,
    )


def spoiling_plan(seed: int, path: str, *kinds: Spoiling) -> SoakPlan:
    """Return a plan whose endpoints live and spoil some answers."""
    return SoakPlan(
        seed=seed,
        path=path,
        end_s=14.0,
        background_per_s=0.5,
        tries=3 if path == "/talk/" else 1,
        fault_share=0.0,
        unframed_share=0.1,
        ends_per_s=0.01,
        spoilings=kinds,
    )


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
        plan = cast(SoakPlan, cast(SoakFleet, self.endpoint.fleet).plan)
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
        fleet = cast(SoakFleet, self.endpoint.fleet)
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
        fleet = cast(SoakFleet, self.endpoint.fleet)
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


class SoakFleet(VersionFleet):
    """A fleet whose endpoints and routers fail at random."""

    endpoint_type = FaultyEndpoint

    def __init__(self, plan: SoakPlan) -> None:
        super().__init__(plan)
        self._soak = plan
        self._runs = 0
        self._fault_rng = Random(f"{plan.seed} faults")
        self._moves = 0  # Of processes that start again elsewhere.
        self._return_rng = Random(f"{plan.seed} returns")
        self.faulty: set[str] = set()
        self.spoiled = SpoiledRuns(READ_S)
        self.judge = Judge(plan.tries > 1, self.spoiled, plan.shape)
        # Requests whose last run was whole, at an endpoint that lived on.
        self.answered: set[str] = set()

    def begin_run(self) -> int:
        """Return the number of a new run."""
        self._runs += 1
        return self._runs

    def run_was_whole(self, request_id: str, endpoint: Endpoint) -> None:
        """Record a whole answer unless the endpoint ends soon after it."""
        self.spoiled.whole_run(str(self.requests[request_id][0]))

        def record() -> None:
            if self.endpoints.get(endpoint.name) is endpoint:
                self.answered.add(request_id)

        self.loop.call_later(LIVES_ON_S, record)

    def given_up(self) -> list[Try]:
        """Return the whole answers that callers did not get as whole."""
        return [
            each
            for each in self.history.tries()
            if each.request_id in self.answered
            and not each.whole
            and not self._was_disturbed(each)
        ]

    def _was_disturbed(self, each: Try) -> bool:
        """Return whether the router of a request failed meanwhile."""
        return any(
            begin_s < each.at_s + TIMEOUT_S
            and each.at_s < end_s
            and router == each.router
            for begin_s, end_s, router in self.history.out_of_touch
        )

    def schedule(self) -> None:
        """Schedule the ends of endpoints, too."""
        super().schedule()
        names = [n for n, e in self.endpoints.items() if e.service == "llm"]
        count = int(len(names) * self._soak.faulty_share)
        self.faulty.update(names[:count])
        self._schedule_end()

    def _schedule_end(self) -> None:
        delay_s = self._fault_rng.expovariate(self._soak.ends_per_s)
        self.loop.call_later(delay_s, self._end_any)

    def _end_any(self) -> None:
        """End an endpoint, whose port may go on accepting connections."""
        found = [
            each
            for each in self.endpoints.values()
            if each.name in self.faulty and each.running
        ]
        if found:
            endpoint = self._fault_rng.choice(found)
            if self._return_rng.random() < self._soak.return_share:
                self._return(endpoint)
                self._schedule_end()
                return
            link = self._fault_rng.choice((Link.CLOSED, Link.RESET))
            how = self._fault_rng.choice(("refuses", "silent", "closes"))
            del self.endpoints[endpoint.name]
            endpoint.end(link)
            if how == "refuses":
                del self.loop.listeners[endpoint.address]
            else:
                self.loop.listeners[endpoint.address] = partial(
                    Proxy, how == "closes"
                )
            self.loop.call_later(LEASE_S, self._set_entry, endpoint.name, None)
            self.loop.call_later(1.0, self._start_faulty)
        self._schedule_end()

    def _return(self, endpoint: Endpoint) -> None:
        """End an endpoint, which starts again under its id, maybe elsewhere.

        It is listed all the while if that takes less than its lease.
        """
        rng, loop = self._return_rng, self.loop
        delay_s = rng.choice(RETURNS_S)
        del self.endpoints[endpoint.name]
        del loop.listeners[endpoint.address]
        endpoint.end(rng.choice((Link.CLOSED, Link.RESET)))
        address = endpoint.address
        if rng.random() < ELSEWHERE_SHARE:
            self._moves += 1
            address = (f"10.2.0.{self._moves}", 80)
        again = FaultyEndpoint(
            self,
            endpoint.name,
            endpoint.service,
            address,
            number=endpoint.number,
            version=endpoint.version,
        )
        if delay_s > LEASE_S:
            loop.call_later(LEASE_S, self._set_entry, endpoint.name, None)
        start = partial(self._start_endpoint, endpoint.service, again)
        loop.call_later(delay_s, start)

    def _restart(self, number: int) -> None:
        super()._restart(number)
        self.spoiled.restarted(str(number))

    def _start_faulty(self) -> None:
        self._start_endpoint("llm")
        self.faulty.add(next(reversed(self.endpoints)))

    def prepare(self, exchange: Exchange) -> None:
        """Let some callers speak HTTP/1.0."""
        old = self._fault_rng.random() < self._soak.old_callers_share
        exchange.accepts_chunked = not old
        for place, (name, value) in enumerate(exchange.headers):
            if name == b"Last-Event-Id":
                last_id = self._soak.shape.id_of(int(value))
                exchange.headers[place] = name, b"%d" % last_id

    def read_answer(self, current: Try, caller: Caller) -> None:
        """Judge an answer as its caller sees it."""
        self.judge.read(current, caller)


@dataclass(slots=True)
class Judge:
    """Reads callers' answers; collects what is wrong with them."""

    may_join: bool  # Whether a stream may go on in another run.
    spoiled: SpoiledRuns
    shape: Shape
    wrong: list[str] = field(default_factory=list)

    def read(self, current: Try, caller: Caller) -> None:
        """Read one answer.

        :param current: receives the events and whether the answer is whole
        :param caller: the caller's connection
        """
        current.data = caller.data
        head, _, rest = caller.data.partition(b"\r\n\r\n")
        current.status = head[9:12].decode()
        if current.status != "200":
            return
        answer = Answer(current.status)
        if b"transfer-encoding: chunked" in head:
            answer.body, answer.complete = _join_chunks(rest)
        else:
            answer.body = rest
            answer.complete = caller.ended and not caller.aborted
        name = current.request_id
        events = [(current.after, 0)]
        findings = judge(
            name, answer, events, self.may_join, EVENTS, self.shape
        )
        self.wrong += self.spoiled.blame(name, findings, self.may_join)
        current.events = [(number, str(run)) for number, run in events[1:]]
        current.whole = answer.complete


def _join_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the body in chunks, and whether its end was received."""
    body, position = b"", 0
    while found := _CHUNK.match(data, position):
        size = int(found[1], 16)
        if not size:
            return body, data[position:] == b"0\r\n\r\n"
        body += data[found.end() : found.end() + size]
        position = found.end() + size + 2
    return body, False


def play_soak(plan: SoakPlan) -> SoakFleet:
    """Play a plan and return the fleet, which knows what callers got."""
    fleet = SoakFleet(plan)
    fleet.run()
    return fleet
