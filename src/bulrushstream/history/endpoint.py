"""An endpoint as its agent sees it, with faults on demand.

Every piece of an answer names the request, the attempt and its number, so
that no two answers share bytes and no piece can change places unseen.
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
    ServiceGiven,
)
from bulrushstream.history.timeline import Timeline
from bulrushstream.state.event import Event, RunBody, RunEnd, RunHead
from bulrushstream.state.identity import InstanceKey
from bulrushstream.state.message import Dispatch

ACCEPT_S: Final = 0.0003  # From the agent's send to the endpoint's start.
RESTART_S: Final = 1.0  # How long a crashed endpoint stays down.

Deliver: TypeAlias = Callable[[InstanceKey, Event], None]


@dataclass(slots=True, eq=False)
class _Run:
    """One request that the endpoint works on."""

    agent: InstanceKey  # The agent that sent it.
    dispatch: Dispatch  # What was sent.
    call: PlannedCall  # What the plan says of it.
    sent: int = 0  # How many pieces were sent.
    since_s: float = 0.0  # When the last piece was sent.


@dataclass(slots=True)
class Endpoint:
    """One endpoint; it outlives the agents beside it."""

    timeline: Timeline  # The virtual time.
    rng: Random  # Of small delays.
    record: Callable[[Record], None]  # Writes the history.
    deliver: Deliver  # Hands an event to an agent.
    calls: dict[str, PlannedCall]  # The plan, by request.
    up: bool = True  # Whether it accepts requests.
    runs: list[_Run] = field(default_factory=list)  # What it works on.

    def start(self, agent: InstanceKey, dispatch: Dispatch) -> None:
        """Receive a request, in a moment.

        :param agent: the agent that sent it.
        :param dispatch: what was sent.
        """
        call = self.calls[dispatch.request_id]
        run = _Run(agent, dispatch, call)
        self.timeline.after(ACCEPT_S, lambda: self._accept(run))

    def cancel(
        self, agent: InstanceKey, request_id: str, attempt: int
    ) -> None:
        """Stop a request, in a moment.

        :param agent: the agent that asks.
        :param request_id: which request.
        :param attempt: which attempt.
        """

        def stop() -> None:
            """Stop what still runs."""
            for run in list(self.runs):
                same = run.dispatch.request_id == request_id
                if same and run.dispatch.attempt == attempt:
                    self._end(run, whole=False, cancelled=True)

        self.timeline.after(ACCEPT_S, stop)

    def _accept(self, run: _Run) -> None:
        """Start a request, or refuse its connection."""
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
        run.since_s = now_s
        self.runs.append(run)
        self.record(
            RunStarted(now_s, dispatch.request_id, dispatch.attempt, run.agent)
        )
        self._step_later(run)

    def _step_later(self, run: _Run) -> None:
        """Send the next piece of an answer when it is ready."""
        delay_s = run.call.run_s / max(1, run.call.pieces)
        self.timeline.after(delay_s, lambda: self._step(run))

    def _step(self, run: _Run) -> None:
        """Send the next piece of an answer, or fail as the plan says."""
        if run not in self.runs:
            return
        half_way = run.sent >= run.call.pieces // 2
        if half_way and run.call.fault is RunFault.CRASH:
            self._crash(run)
            return
        if half_way and run.call.fault is RunFault.BREAK:
            self._end(run, whole=False)
            return
        if run.sent < run.call.pieces:
            self._send_piece(run)
        if run.sent < run.call.pieces:
            self._step_later(run)
            return
        self._end(run, whole=True)

    def _send_piece(self, run: _Run) -> None:
        """Send one piece, after the head if it is the first."""
        dispatch = run.dispatch
        request_id, attempt = dispatch.request_id, dispatch.attempt
        if run.sent == 0:
            head = RunHead(request_id, attempt, 200, ())
            self.deliver(run.agent, head)
        data = f"<{request_id} {attempt} {run.sent}>".encode()
        run.sent += 1
        self._charge(run)
        now_s = self.timeline.now_s
        self.record(RunBytes(now_s, request_id, attempt, run.agent, data))
        self.deliver(run.agent, RunBody(request_id, attempt, data, 1))

    def _charge(self, run: _Run) -> None:
        """Write down the service that was given since the last piece."""
        now_s = self.timeline.now_s
        amount = now_s - run.since_s
        run.since_s = now_s
        workspace, service = run.dispatch.workspace, run.dispatch.service
        self.record(ServiceGiven(now_s, service, workspace, amount))

    def _end(
        self,
        run: _Run,
        *,
        whole: bool,
        crashed: bool = False,
        cancelled: bool = False,
    ) -> None:
        """End a run and tell its agent."""
        self.runs.remove(run)
        dispatch = run.dispatch
        request_id, attempt = dispatch.request_id, dispatch.attempt
        now_s = self.timeline.now_s
        self.record(
            RunEnded(now_s, request_id, attempt, run.agent, whole, cancelled)
        )
        end = RunEnd(
            request_id, attempt, complete=whole, started=True, crashed=crashed
        )
        self.deliver(run.agent, end)

    def _crash(self, culprit: _Run) -> None:
        """Go down with everything that runs, and come back later."""
        self.up = False
        now_s = self.timeline.now_s
        fingerprint = fingerprint_of(culprit.call)
        self.record(EndpointCrashed(now_s, culprit.agent, fingerprint))
        for run in list(self.runs):
            self._end(run, whole=False, crashed=True)
        self.timeline.after(RESTART_S, self._restart)

    def _restart(self) -> None:
        """Accept requests again."""
        self.up = True


def fingerprint_of(call: PlannedCall) -> int:
    """Return the fingerprint of a planned call.

    :param call: the call.
    :returns: a number that calls with the same body share.
    """
    text = f"{call.workspace}/{call.body.hex() or call.request_id}"
    return xxhash.xxh64_intdigest(text.encode()) >> 1
