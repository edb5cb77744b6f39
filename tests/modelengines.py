"""Simulated model engines, in virtual time.

An engine does prefill in order of arrival and keeps the parts of prompts.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Final, Protocol

from bulrushstream.coordination.engineview import ATTENTION_CONTEXT_TOKENS
from bulrushstream.state.call import Prompt
from bulrushstream.transport.connection import ResponseFailure, Sink

PREFILL_TOKENS_PER_S: Final = 30_900.0
STEP_S: Final = 0.0062  # One generated token of a batch.
FIRST_EVENT_STEPS: Final = 4
CACHED_PARTS: Final = 25  # Parts that an engine keeps.


class RunRecorder(Protocol):
    """Knows the prompts of requests and records their runs."""

    prompts: dict[str, Prompt]  # By request.

    def record_run(self, request_id: str) -> None:
        """Record that an engine begins to work on a request."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One request at an engine; stands in for `PendingRequest`."""

    sink: Sink | None
    reused: bool = False
    connection: None = None

    def cancel(self) -> None:
        self.sink = None

    def record_answer(self, request_id: str) -> None:
        """Do nothing: the connection carries no other request."""


@dataclass(slots=True)
class Engine:
    """A model engine that does prefill in order of arrival."""

    recorder: RunRecorder
    name: str
    alive: bool = True
    answering: bool = True  # False: it accepts requests and does nothing.
    expected: int = 0  # Requests on their way to it.
    busy_s: float = 0.0
    _prefilling: bool = False
    _queue: deque[tuple[Attempt, str]] = field(default_factory=deque)
    _open: set[Attempt] = field(default_factory=set)
    _cached: dict[int, int] = field(default_factory=dict)

    @property
    def idle(self) -> bool:
        """Whether it could begin with a request at once."""
        busy = self._prefilling or self.expected > 0
        return self.alive and self.answering and not busy

    def connect(self, attempt: Attempt) -> None:
        self.expected -= 1
        sink = attempt.sink
        if sink is None:
            return
        if not self.alive:
            attempt.cancel()
            sink.failed(ResponseFailure.REFUSED, "simulated")
            return
        payload = sink.payload()
        if payload is None:
            attempt.cancel()
            sink.failed(ResponseFailure.WITHDRAWN, "simulated")
        elif self.answering:
            self._open.add(attempt)
            self._queue.append((attempt, payload.split()[0].decode()))
            if not self._prefilling:
                self._start_next()

    def crash(self) -> None:
        self.alive = False
        self._queue.clear()
        for attempt in list(self._open):
            sink, attempt.sink = attempt.sink, None
            if sink is not None:
                sink.failed(ResponseFailure.BROKEN, "simulated")
        self._open.clear()

    def _start_next(self) -> None:
        self._prefilling = False
        while self._queue and self.alive and self.answering:
            attempt, request_id = self._queue.popleft()
            if attempt.sink is None:
                self._open.discard(attempt)
                continue
            self._prefilling = True
            prompt = self.recorder.prompts[request_id]
            self.recorder.record_run(request_id)
            duration_s = self._prefill(prompt)
            self.busy_s += duration_s
            loop = asyncio.get_running_loop()
            loop.call_later(duration_s, self._start_next)
            loop.call_later(
                duration_s + FIRST_EVENT_STEPS * STEP_S,
                self._send_event,
                attempt,
                request_id,
            )
            loop.call_later(
                duration_s + prompt.output_limit * STEP_S, self._end, attempt
            )
            return

    def _prefill(self, prompt: Prompt) -> float:
        cached = 0
        for part in prompt.parts:
            if part.part_id not in self._cached:
                break
            cached += part.tokens
        for part in prompt.parts[:-1]:
            self._cached.pop(part.part_id, None)
            self._cached[part.part_id] = part.tokens
        while len(self._cached) > CACHED_PARTS:
            del self._cached[next(iter(self._cached))]
        rest = prompt.input_tokens - cached
        cost = 1.0 + (cached + rest / 2) / ATTENTION_CONTEXT_TOKENS
        return rest * cost / PREFILL_TOKENS_PER_S

    def _send_event(self, attempt: Attempt, request_id: str) -> None:
        if attempt.sink is None:
            return
        headers = [
            (b"id", request_id.encode()),
            (b"kind", b"events"),
            (b"signature", b"yes"),
            (b"transfer-encoding", b"chunked"),
        ]
        attempt.sink.head(200, headers)
        if attempt.sink is not None:
            attempt.sink.data(b"id: 1\ndata: x\n\n")

    def _end(self, attempt: Attempt) -> None:
        self._open.discard(attempt)
        sink, attempt.sink = attempt.sink, None
        if sink is not None:
            sink.end()
