"""Finds out whether an endpoint's process outlived one of its connections.

The kernel closes the connections of a process that ends in the same way as
the process does at the end of an answer.  A new connection proves nothing, as
a proxy, a kernel's backlog or another process may accept it, and neither does
a refused one, as an endpoint that is leaving may run on without its port.  So
only what the process itself says proves that it lives:

- the head of its answer to a request that was sent after the connection ended
- bytes on a connection that is older than the request and stays open, once
  those of an ended process would have arrived
- its answer to a probe, which is sent if nothing else comes soon; one proves
  the life for all connections that ended before
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.connection import PendingRequest
from bulrushstream.transport.probe import ProbeAnswer, ask_identity
from bulrushstream.transport.upstream import EXIT_S, Pool

# The pause between two looks at the connections of an endpoint.
POLL_S: Final = 0.02

# How long an endpoint that works on other requests is left to prove its life
# without a probe.
UNPROBED_S: Final = 0.25

# The pause between two probes of one endpoint, and the limit of one on an old
# connection, which may be dead.
PROBE_INTERVAL_S: Final = 0.5
OLD_CONNECTION_S: Final = 0.5

# Probes of one endpoint at a time, as one may wait there for long.
MAX_PROBES: Final = 3


class Proof(StrEnum):
    """What proved that a process outlived a connection."""

    NONE = "none"
    ANSWER = "answer"  # To a request that was sent after the end.
    BYTES = "bytes on an older connection"
    PROBE = "answer to a probe"


OnProof = Callable[[Proof], None]


@dataclass(frozen=True, slots=True)
class EndedConnection:
    """A connection that ended with an answer."""

    sent_s: float  # When the request was sent on it.
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
    answered_s: float = float("-inf")  # When the last answered probe was sent.
    gone_s: float = float("-inf")  # When its address was last not its own.


@dataclass(slots=True)
class LifeProofs:
    """The connections of one router whose endpoints may have ended with them.

    A second probe of an endpoint is sent while one is in flight only if that
    one takes long and was sent too early to prove what is waited for.
    """

    clock: Callable[[], float]
    # Encodes a probe of an endpoint; None: it gets none now.
    encode_probe: Callable[[Endpoint], bytes | None]
    # Returns whether the head of an answer to a probe is the endpoint's own;
    # None: it does not tell.
    is_own: Callable[[Endpoint, int, RawHeaders], bool | None]
    _waiting: dict[str, _Waiting] = field(default_factory=dict)

    def wait(
        self,
        endpoint: Endpoint,
        pool: Pool,
        sent_s: float,
        wait_until_s: float,
        on_result: OnProof,
    ) -> PendingRequest:
        """Wait for a proof that an endpoint lives, as a connection ended now.

        :param endpoint: the endpoint
        :param pool: the connections to it
        :param sent_s: when the request was sent whose answer ended
        :param wait_until_s: how long a proof is waited for
        :param on_result: called with the proof, or that there is none
        :returns: a handle to cancel the wait
        """
        pending = PendingRequest()
        waiting = self._waiting.get(endpoint.name)
        if waiting is None:
            waiting = _Waiting(endpoint, pool)
            self._waiting[endpoint.name] = waiting
            loop = asyncio.get_running_loop()
            loop.call_later(EXIT_S, self._look, waiting)
        waiting.ended.append(
            EndedConnection(
                sent_s, self.clock(), wait_until_s, on_result, pending
            )
        )
        return pending

    def _look(self, waiting: _Waiting) -> None:
        """Look for proofs; probe the endpoint if there are none."""
        now_s = self.clock()
        still_open, results = [], []
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
            del self._waiting[waiting.endpoint.name]
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
        pool, exited_s = waiting.pool, ended.closed_s + EXIT_S
        if waiting.answered_s >= exited_s:
            return Proof.PROBE
        if pool.answered_s > ended.closed_s:
            return Proof.ANSWER
        if pool.goes_on(ended.sent_s, exited_s):
            return Proof.BYTES
        if now_s >= ended.wait_until_s:
            return Proof.NONE
        if waiting.gone_s >= exited_s and not pool.seen(ended.sent_s).open:
            return Proof.NONE
        return None

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
        due = [
            each.wait_until_s
            for each in waiting.ended
            if now_s >= each.closed_s + unprobed_s
            and (not in_flight or each.closed_s + EXIT_S > waiting.probed_s)
        ]
        request = self.encode_probe(waiting.endpoint) if due else None
        if request is None:
            return
        loop = asyncio.get_running_loop()
        waiting.probed_s = now_s
        probe = loop.create_task(self._probe(waiting, request, max(due)))
        waiting.probes.add(probe)
        probe.add_done_callback(waiting.probes.discard)

    async def _probe(
        self, waiting: _Waiting, request: bytes, until_s: float
    ) -> None:
        """Ask an endpoint on an idle connection, then on a new one.

        One that is leaving may accept no new connections, and one that is
        full may answer late.
        """
        pool, sent_s = waiting.pool, self.clock()
        try:
            old = pool.pop_witness(sent_s)
            if old is not None:
                answer = await ask_identity(
                    pool, request, OLD_CONNECTION_S, old
                )
                if answer is not None:
                    self._take_answer(waiting, answer, sent_s)
                    return
            sent_s = self.clock()
            answer = await ask_identity(pool, request, until_s - sent_s)
            self._take_answer(waiting, answer, sent_s)
        finally:
            if waiting.answered_s < sent_s:
                waiting.probe_due_s = self.clock() + PROBE_INTERVAL_S

    def _take_answer(
        self, waiting: _Waiting, answer: ProbeAnswer, sent_s: float
    ) -> None:
        """Record the answer to a probe."""
        own: bool | None = None
        if isinstance(answer, ConnectionRefusedError):
            own = False
        elif answer is not None:
            own = self.is_own(waiting.endpoint, *answer)
        if own:
            waiting.answered_s = max(waiting.answered_s, sent_s)
            waiting.pool.record_answer(sent_s)
        elif own is not None:
            waiting.gone_s = self.clock()
