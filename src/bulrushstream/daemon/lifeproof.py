"""Finds out whether an endpoint's process outlived one of its connections.

The kernel closes the connections of a process that ends in the same way as
the process does at the end of an answer.  A new connection proves nothing: a
proxy or a kernel's backlog may accept it, and what answers may be the next
process under the same id.  A refused one proves nothing either, as an endpoint
that is leaving may run on without its port.  So only what the process says on
a connection from a time at which it ran proves that it lives on:

- the head of an answer to a request, or to a probe, that was sent after the
  other connection's end
- bytes that it wrote after that

Where no such connection is left, an answer on a new one counts if it says that
the process started at the time that the endpoint list gave for it before.

A proxy may lead a connection to a process later than it accepts it.  One that
has carried no answer yet, and was opened a moment before, therefore proves
something only if nothing better could: no older one ended with the answer or
may still prove it, and the endpoint does not tell when it started.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.wakefulness import Wakefulness
from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.connection import (
    EXIT_S,
    Connection,
    PendingRequest,
)
from bulrushstream.transport.probe import ask_identity, ask_report
from bulrushstream.transport.upstream import Pool

# The pause between two looks at the connections of an endpoint.
POLL_S: Final = 0.02

# How long an endpoint that works on other requests is left to prove its life
# without a probe.
UNPROBED_S: Final = 0.25

# The pause between two probes of one endpoint.
PROBE_INTERVAL_S: Final = 0.5

# Connections that ended so long before an answer did may have ended with it.
TOGETHER_S: Final = 0.15

# Probes of one endpoint at a time, as one may wait there for long.
MAX_PROBES: Final = 3


class Proof(StrEnum):
    """What proved that a process outlived a connection."""

    NONE = "none"
    ANSWER = "answer on an older connection"
    BYTES = "bytes on an older connection"
    SAME_START = "answer of the same start"


OnProof = Callable[[Proof], None]


@dataclass(frozen=True, slots=True)
class EndedConnection:
    """A connection that ended with an answer."""

    ran_s: float  # Its process ran at this time.
    # When that started, as the endpoint list said before the request was
    # sent; empty: not known.
    born: str
    closed_s: float  # When it ended.
    wait_until_s: float  # How long a proof is waited for.
    on_result: OnProof  # Called with the proof, or that there is none.
    pending: PendingRequest  # Cancels the wait.


@dataclass(slots=True)
class _Waiting:
    """An endpoint that has to prove that it lives."""

    endpoint: Endpoint
    pool: Pool
    ended: list[EndedConnection] = field(default_factory=list)
    probes: set[asyncio.Task[None]] = field(default_factory=set)
    probed_s: float = float("-inf")  # When the last one was begun.
    probe_due_s: float = float("-inf")
    # What the last report says of the start, and when it was asked for.
    born: str = ""
    reported_s: float = float("-inf")
    asked_s: float = float("-inf")  # The same of one that may have failed.


@dataclass(slots=True)
class LifeProofs:
    """The connections of one router whose endpoints may have ended with them.

    A second probe of an endpoint is sent while one is in flight only if that
    one takes long.
    """

    clock: Callable[[], float]
    # Encodes a probe of an endpoint; None: it gets none now.
    encode_probe: Callable[[Endpoint], bytes | None]
    # Returns whether the head of an answer to a probe is the endpoint's own;
    # None: it does not tell.
    is_own: Callable[[Endpoint, int, RawHeaders], bool | None]
    # Encodes a request for an endpoint's report; None: it gives none now.
    encode_report_call: Callable[[Endpoint], bytes | None]
    # Decodes from a report when the process started; empty: not told.
    decode_start: Callable[[bytes], str]
    wakefulness: Wakefulness = field(default_factory=Wakefulness)
    # By the identity of the pool, of which each process has its own.
    _waiting: dict[int, _Waiting] = field(default_factory=dict)

    def wait(
        self,
        endpoint: Endpoint,
        pool: Pool,
        ran_s: float,
        wait_until_s: float,
        on_result: OnProof,
        born: str = "",
    ) -> PendingRequest:
        """Wait for a proof that an endpoint lives, as a connection ended now.

        :param endpoint: the endpoint
        :param pool: the connections to it
        :param ran_s: a time at which the process ran that ended the answer,
            as when the request was sent
        :param wait_until_s: how long a proof is waited for
        :param on_result: called with the proof, or that there is none
        :param born: when the process started, as the endpoint list said
            before the request was sent; empty: not known
        :returns: a handle to cancel the wait
        """
        pending = PendingRequest()
        waiting = self._waiting.get(id(pool))
        if waiting is None:
            waiting = _Waiting(endpoint, pool)
            self._waiting[id(pool)] = waiting
            loop = asyncio.get_running_loop()
            loop.call_later(EXIT_S, self._look, waiting)
        waiting.ended.append(
            EndedConnection(
                ran_s, born, self.clock(), wait_until_s, on_result, pending
            )
        )
        return pending

    def _look(self, waiting: _Waiting) -> None:
        """Look for proofs; probe the endpoint if there are none."""
        now_s = self.clock()
        still_open, results = [], []
        exited_s = now_s - EXIT_S
        closed_s = [
            e.closed_s for e in waiting.ended if e.closed_s <= exited_s
        ]
        if closed_s:
            waiting.pool.watch_bytes(max(closed_s) + EXIT_S)
        for each in waiting.ended:
            result = self._judge(waiting, each, now_s)
            if each.pending.cancelled:
                continue
            if result is None:
                still_open.append(each)
            else:
                results.append((each, result))
        waiting.ended = still_open
        if still_open:
            self._probe_if_due(waiting, now_s)
            loop = asyncio.get_running_loop()
            loop.call_later(POLL_S, self._look, waiting)
        else:
            del self._waiting[id(waiting.pool)]
            for probe in waiting.probes:
                probe.cancel()
        for each, result in results:
            # An earlier one may have ended the request of this one.
            if not each.pending.cancelled:
                each.on_result(result)

    def _judge(
        self, waiting: _Waiting, ended: EndedConnection, now_s: float
    ) -> Proof | None:
        """Return the proof, or that there is none; None: it may come."""
        pool, proven = waiting.pool, self._must_be_proven(waiting, ended)
        if pool.outlived(ended.ran_s, ended.closed_s, proven=proven):
            return Proof.ANSWER
        watched_s = ended.closed_s + EXIT_S
        if pool.goes_on(ended.ran_s, watched_s, proven=proven):
            return Proof.BYTES
        told = waiting.reported_s > ended.closed_s
        if told and ended.born and ended.born == waiting.born:
            return Proof.SAME_START
        # After a pause the proof may lie unread.
        awake_since_s = self.wakefulness.awake_since_s(now_s)
        wait_s = ended.wait_until_s - ended.closed_s
        if now_s >= max(ended.wait_until_s, awake_since_s + wait_s):
            return Proof.NONE
        if waiting.probes or pool.has_opened_by(ended.ran_s, proven=proven):
            return None
        may_tell = ended.born and not told
        if may_tell and self.encode_report_call(waiting.endpoint):
            return None
        return Proof.NONE

    def _must_be_proven(
        self, waiting: _Waiting, ended: EndedConnection
    ) -> bool:
        """Return whether only a connection that surely led to it counts."""
        pool = waiting.pool
        if pool.lost_proven(ended.ran_s, ended.closed_s - TOGETHER_S):
            return True
        # One that stays open may carry a request, and be silent for long.
        if self.clock() < ended.closed_s + UNPROBED_S and pool.has_opened_by(
            ended.ran_s, proven=True
        ):
            return True
        asked = waiting.asked_s > ended.closed_s and not waiting.born
        call = self.encode_report_call(waiting.endpoint)
        return bool(ended.born) and not asked and call is not None

    def _probe_if_due(self, waiting: _Waiting, now_s: float) -> None:
        """Probe an endpoint unless that is done, or was a moment ago."""
        if now_s < waiting.probe_due_s:
            return
        in_flight = len(waiting.probes)
        if in_flight and (
            in_flight >= MAX_PROBES
            or now_s < waiting.probed_s + PROBE_INTERVAL_S
        ):
            return
        unprobed_s = UNPROBED_S if waiting.pool.is_busy else EXIT_S
        due = [e for e in waiting.ended if now_s >= e.closed_s + unprobed_s]
        if due:
            self._start_probe(waiting, sorted(due, key=lambda e: e.ran_s))

    def _start_probe(
        self, waiting: _Waiting, due: list[EndedConnection]
    ) -> None:
        """Probe an endpoint on an old connection, or ask who it is."""
        endpoint, pool = waiting.endpoint, waiting.pool
        until_s = max(each.wait_until_s for each in due)
        request, witness = self.encode_probe(endpoint), None
        if request is not None:
            found = (
                pool.pop_witness(
                    each.ran_s, proven=self._must_be_proven(waiting, each)
                )
                for each in due
            )
            witness = next((each for each in found if each), None)
        if request is not None and witness is not None:
            work = self._probe(waiting, request, until_s, witness)
        else:
            call = self.encode_report_call(endpoint)
            may_tell = any(
                each.born and waiting.reported_s <= each.closed_s
                for each in due
            )
            if call is None or not may_tell or waiting.probes:
                return
            work = self._ask_report(waiting, call, until_s)
        waiting.probed_s = self.clock()
        probe = asyncio.get_running_loop().create_task(work)
        waiting.probes.add(probe)
        probe.add_done_callback(waiting.probes.discard)

    async def _probe(
        self,
        waiting: _Waiting,
        request: bytes,
        until_s: float,
        witness: Connection,
    ) -> None:
        """Ask an endpoint on an old connection; it may answer late."""
        pool, sent_s, own = waiting.pool, self.clock(), False
        try:
            answer = await ask_identity(
                pool, request, until_s - sent_s, witness, self.wakefulness
            )
            if isinstance(answer, tuple):
                own = bool(self.is_own(waiting.endpoint, *answer))
            if own:
                pool.record_answer(sent_s, witness)
        finally:
            if not own:
                waiting.probe_due_s = self.clock() + PROBE_INTERVAL_S

    async def _ask_report(
        self, waiting: _Waiting, request: bytes, until_s: float
    ) -> None:
        """Ask an endpoint on a new connection when its process started."""
        sent_s = self.clock()
        body = await ask_report(
            waiting.pool, request, until_s - sent_s, self.wakefulness
        )
        if body is not None:
            waiting.born, waiting.reported_s = self.decode_start(body), sent_s
        waiting.asked_s = sent_s
        if body is None:
            waiting.probe_due_s = self.clock() + PROBE_INTERVAL_S
