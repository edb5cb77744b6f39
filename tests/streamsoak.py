"""Random faults around streams, in virtual time, and a judge of their order.

Endpoints cut, repeat and spoil streams, and end behind a port that accepts
connections without them; routers are restarted and stand still.  Callers take
broken streams up at other routers.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Final

from bulrushstream.transport.exchange import Exchange
from tests.crashfleets import LEASE_S
from tests.crashingendpoints import EVENTS, Endpoint, Link, Proxy
from tests.crashplans import TIMEOUT_S
from tests.eventshapes import Shape
from tests.faultyendpoints import FaultyEndpoint
from tests.simulatedcallers import Caller
from tests.soakplans import SoakPlan
from tests.spoiledruns import SpoiledRuns
from tests.streamjudge import Answer, judge
from tests.versionfleets import VersionFleet
from tests.versionplans import Try

LIVES_ON_S: Final = 1.0
RETURNS_S: Final = (0.0, 0.02, 0.2, 1.0, 4.0)  # From an end to the next start.
ELSEWHERE_SHARE: Final = 0.25
_CHUNK: Final = re.compile(rb"([0-9a-f]+)\r\n")
# From an answer's last byte to the moment when its router has read it.
READ_S: Final = 0.02


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
