"""A simulated endpoint behind an agent, with planned faults.

Every chunk of an answer contains the request, the attempt and the chunk's
number.  So no two answers share bytes, and reordered chunks are detected.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, TypeAlias

import xxhash

from bulrushstream.history.plan import PlannedCall, RunFault
from bulrushstream.history.record import (
    EndpointCrashed,
    Record,
    RunBytes,
    RunEnded,
    RunStarted,
    ServiceReceived,
)
from bulrushstream.history.timeline import Timeline
from bulrushstream.state.event import Event, RunBody, RunEnd, RunHead
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Dispatch

ACCEPT_S: Final = 0.0003  # From the agent's send to the start of the run.
RESTART_S: Final = 1.0  # Until a crashed endpoint accepts requests again.

Deliver: TypeAlias = Callable[[InstanceKey, Event], None]


@dataclass(slots=True, eq=False)
class _Run:
    """A request that the endpoint runs."""

    agent: InstanceKey  # The agent that sent it.
    dispatch: Dispatch
    call: PlannedCall
    chunks_sent: int = 0
    accounted_until_s: float = 0.0  # Service is recorded up to here.


@dataclass(slots=True)
class Endpoint:
    """An endpoint; it keeps running when its agent restarts."""

    timeline: Timeline
    rng: Random
    record: Callable[[Record], None]  # Appends to the history.
    deliver: Deliver  # Delivers an event to an agent.
    calls: dict[str, PlannedCall]  # By request id.
    up: bool = True  # Whether it accepts requests.
    runs: list[_Run] = field(default_factory=list)  # In progress.

    def start(self, agent: InstanceKey, dispatch: Dispatch) -> None:
        """Receive a request after a short delay.

        :param agent: the agent that sent it.
        :param dispatch: the request.
        """
        call = self.calls[dispatch.request_id]
        run = _Run(agent, dispatch, call)
        self.timeline.schedule(ACCEPT_S, lambda: self._accept(run))

    def cancel(
        self, agent: InstanceKey, request_id: str, attempt: int
    ) -> None:
        """Cancel a run after a short delay.

        :param agent: the agent that cancels it.
        :param request_id: the request.
        :param attempt: the attempt.
        """

        def stop() -> None:
            """End the run if it is still in progress."""
            for run in list(self.runs):
                same = run.dispatch.request_id == request_id
                if same and run.dispatch.attempt == attempt:
                    self._end(run, complete=False, cancelled=True)

        self.timeline.schedule(ACCEPT_S, stop)

    def _accept(self, run: _Run) -> None:
        """Start a run, or refuse the connection."""
        dispatch = run.dispatch
        fault = run.call.fault
        refused = fault is RunFault.REFUSE and dispatch.attempt == 1
        if refused or not self.up:
            end = RunEnd(
                dispatch.request_id,
                dispatch.attempt,
                complete=False,
                started=False,
                detail="connection refused",
            )
            self.deliver(run.agent, end)
            return
        now_s = self.timeline.now_s
        run.accounted_until_s = now_s
        self.runs.append(run)
        self.record(
            RunStarted(now_s, dispatch.request_id, dispatch.attempt, run.agent)
        )
        self._advance_later(run)

    def _advance_later(self, run: _Run) -> None:
        """Send the next chunk after the time that it takes."""
        delay_s = run.call.run_s / max(1, run.call.chunks)
        self.timeline.schedule(delay_s, lambda: self._advance(run))

    def _advance(self, run: _Run) -> None:
        """Send the next chunk of an answer, or fail as planned."""
        if run not in self.runs:
            return
        half_way = run.chunks_sent >= run.call.chunks // 2
        if half_way and run.call.fault is RunFault.CRASH:
            self._crash(run)
            return
        if half_way and run.call.fault is RunFault.BREAK:
            self._end(run, complete=False)
            return
        if run.chunks_sent < run.call.chunks:
            self._send_chunk(run)
        if run.chunks_sent < run.call.chunks:
            self._advance_later(run)
            return
        self._end(run, complete=True)

    def _send_chunk(self, run: _Run) -> None:
        """Send one chunk, and the head before the first one."""
        dispatch = run.dispatch
        request_id, attempt = dispatch.request_id, dispatch.attempt
        if run.chunks_sent == 0:
            head = RunHead(request_id, attempt, 200, ())
            self.deliver(run.agent, head)
        data = f"<{request_id} {attempt} {run.chunks_sent}>".encode()
        run.chunks_sent += 1
        self._record_service(run)
        now_s = self.timeline.now_s
        self.record(RunBytes(now_s, request_id, attempt, run.agent, data))
        self.deliver(run.agent, RunBody(request_id, attempt, data, 1))

    def _record_service(self, run: _Run) -> None:
        """Record the service received since the last chunk."""
        now_s = self.timeline.now_s
        amount = now_s - run.accounted_until_s
        run.accounted_until_s = now_s
        workspace, service = run.dispatch.workspace, run.dispatch.service
        self.record(ServiceReceived(now_s, service, workspace, amount))

    def _end(
        self,
        run: _Run,
        *,
        complete: bool,
        crashed: bool = False,
        cancelled: bool = False,
    ) -> None:
        """End a run and report it to its agent."""
        self.runs.remove(run)
        dispatch = run.dispatch
        request_id, attempt = dispatch.request_id, dispatch.attempt
        now_s = self.timeline.now_s
        self.record(
            RunEnded(
                now_s, request_id, attempt, run.agent, complete, cancelled
            )
        )
        end = RunEnd(
            request_id,
            attempt,
            complete=complete,
            started=True,
            crashed=crashed,
        )
        self.deliver(run.agent, end)

    def _crash(self, crashing: _Run) -> None:
        """Crash: end all runs, and restart after a delay."""
        self.up = False
        now_s = self.timeline.now_s
        fingerprint = fingerprint_of(crashing.call)
        self.record(EndpointCrashed(now_s, crashing.agent, fingerprint))
        for run in list(self.runs):
            self._end(run, complete=False, crashed=True)
        self.timeline.schedule(RESTART_S, self._restart)

    def _restart(self) -> None:
        """Accept requests again."""
        self.up = True


def fingerprint_of(call: PlannedCall) -> int:
    """Return the fingerprint of a planned call.

    :param call: the call.
    :returns: a number that is equal for calls with the same body.
    """
    text = f"{call.workspace}/{call.body.hex() or call.request_id}"
    return xxhash.xxh64_intdigest(text.encode()) >> 1
