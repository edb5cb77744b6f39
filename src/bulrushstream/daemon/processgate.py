"""Holds an answer back that goes on with a stream, until its process is known.

A stream goes on only at the software version that began it.  The endpoint list
names the version of a process, but what answers under an id may have started
again since the list was read: a router may have stood still, may not reach the
store, or the next process is not listed yet.  The answer is passed on once one
of these shows that its process is the listed one:

- the list was read long enough after the answer's connection led there
- an older connection, from a time for which that holds, shows that the process
  lives on, or the process tells the listed start; see `lifeproof`
- the list was read long enough after that, and names one version only

If nothing does so in time, the attempt fails, and none of it was passed on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bulrushstream.coordination.endpointpool import LIST_LAG_S
from bulrushstream.daemon import answerfaults, processproofs
from bulrushstream.daemon.lifeproof import Proof
from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.connection import (
    PendingRequest,
    ResponseFailure,
    Sink,
)

if TYPE_CHECKING:
    from bulrushstream.daemon.attempt import Attempt

# How long an answer is held back: the time in which a process is listed, and
# a read of the list.  Callers wait for longer.
MAX_HOLD_S: Final = LIST_LAG_S + 0.5

# The pause between two looks at what is known.
POLL_S: Final = 0.02


class ProcessGate:
    """The sink of an attempt that goes on with a stream."""

    __slots__ = (
        "_attempt",
        "_ended_framed",
        "_held",
        "_held_since_s",
        "_pending_proof",
        "_proof",
        "_timer",
    )

    def __init__(self, attempt: Attempt) -> None:
        """Create the gate of an attempt that is not sent yet.

        :param attempt: the attempt
        """
        self._attempt = attempt
        self._held: list[bytes] | None = None  # None: nothing is held back.
        # How the answer ended, if it has; see `Sink.end`.
        self._ended_framed: bool | None = None
        self._held_since_s = 0.0
        self._pending_proof: PendingRequest | None = None
        self._proof = Proof.NONE  # What shows that the process is listed.
        self._timer: asyncio.TimerHandle | None = None

    @property
    def holds(self) -> bool:
        """Return whether the answer is held back."""
        return self._held is not None

    def close(self) -> None:
        """Drop what is held back, as the attempt is over."""
        self._held = None
        if self._timer is not None:
            self._timer.cancel()
        if self._pending_proof is not None:
            self._pending_proof.cancel()

    # --- The response; see `Sink`.

    def payload(self) -> bytes | None:
        """Return the bytes to send, or None to withdraw; see `Sink`."""
        return self._attempt.payload()

    def head(self, status: int, headers: RawHeaders) -> bool:
        """Handle an answer's head; see `Sink`."""
        is_own = self._attempt.head(status, headers)
        if is_own and self._attempt.is_stream and not self._is_shown():
            self._hold()
        return is_own

    def data(self, data: bytes) -> None:
        """Pass on or hold back a piece of the body; see `Sink`."""
        if self._held is None:
            self._attempt.data(data)
        else:
            self._held.append(data)
            self._attempt.stop_reading()

    def end(self, *, framed: bool = True) -> None:
        """Handle the end of the answer; see `Sink`."""
        if self._held is None:
            self._attempt.end(framed=framed)
        else:
            self._ended_framed = framed
            self._attempt.detach()

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        """Handle the lack of a complete answer; see `Sink`."""
        self.close()
        self._attempt.failed(failure, detail)

    # --- What is known of the process.

    def _is_shown(self) -> bool:
        """Return whether the version of the stream and of this are known."""
        return processproofs.is_origin_shown(self._attempt.forward) and (
            self._proof is not Proof.NONE
            or processproofs.is_process_shown(self._attempt)
        )

    def _hold(self) -> None:
        """Hold the answer back, and find out which process writes it."""
        attempt, front = self._attempt, self._attempt.front
        self._held = []
        self._held_since_s = front.clock()
        attempt.forward.cancel_overdue_timer()
        processproofs.prove_origin(attempt.forward)
        self._pending_proof = front.life_proofs.wait(
            attempt.endpoint,
            attempt.pool,
            front.pool.listed_until_s(attempt.endpoint),
            self._held_since_s + MAX_HOLD_S,
            self._process_checked,
            attempt.endpoint.entry.born,
        )
        self._look()

    def _process_checked(self, proof: Proof) -> None:
        """Record whether the listed process is known to live."""
        self._pending_proof = None
        self._proof = proof

    def _look(self) -> None:
        """Pass the answer on if its process is known; look again."""
        try:
            self._decide()
        except Exception as error:
            self.close()
            answerfaults.end_broken(self._attempt.forward, error)

    def _decide(self) -> None:
        """Pass the answer on, give it up, or look again later."""
        attempt, front = self._attempt, self._attempt.front
        if not self.holds or not attempt.in_flight:
            self.close()
            return
        now_s = front.clock()
        since_s = front.wakefulness.counts_from_s(self._held_since_s, now_s)
        late = now_s >= since_s + MAX_HOLD_S
        if self._is_shown():
            self._pass_on()
        elif late or processproofs.is_contradicted(attempt):
            self.close()
            attempt.give_up_unproven()
        else:
            if now_s >= processproofs.list_needed_s(attempt):
                front.streams.request_list()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(POLL_S, self._look)

    def _pass_on(self) -> None:
        """Pass on what was held back."""
        attempt, held = self._attempt, self._held
        assert held is not None
        self.close()
        held_s = attempt.front.clock() - self._held_since_s
        attempt.front.log_decision(
            "process_shown",
            "the process that answers is the listed one",
            attempt.forward,
            endpoint=attempt.endpoint.name,
            inputs={
                "held_s": round(held_s, 3),
                "proof": self._proof.value,
                "list_age_s": processproofs.list_age_s(attempt.front),
            },
        )
        for data in held:
            attempt.data(data)
            if not attempt.in_flight:
                # It was given up; another one may have begun.
                return
        if self._ended_framed is None:
            attempt.read_on()
        else:
            attempt.end(framed=self._ended_framed)


def sink_of(attempt: Attempt) -> Sink:
    """Return the sink of an attempt: a gate if it goes on with a stream.

    :param attempt: the attempt
    """
    attempt.gate = ProcessGate(attempt) if attempt.forward.resumes else None
    return attempt.gate or attempt
