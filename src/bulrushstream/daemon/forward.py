"""One caller's request on its way to an endpoint and back.

A forward lives from the request's arrival to the end of its answer.  It
makes one attempt after the other, as `coordination.forwarding` allows, and
passes on what the last one brings.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bulrushstream import messages
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.forwarding import (
    Failure,
    Progress,
    Verdict,
    judge,
)
from bulrushstream.messages import Notice
from bulrushstream.protocol.prompt import fingerprint
from bulrushstream.state.call import (
    AnswerHead,
    AttemptContext,
    Call,
    RawHeaders,
)
from bulrushstream.state.events import EventSplitter
from bulrushstream.state.request import Outcome
from bulrushstream.state.routes import RequestKind, Route
from bulrushstream.transport.ingress import Exchange
from bulrushstream.transport.upstream import Loss, Pending

if TYPE_CHECKING:
    from bulrushstream.daemon.front import Front

# An answer is kept back until it is whole, so that a broken one can be
# replaced, unless it is longer than this.
MAX_HELD_BYTES: Final = 262_144

# Time to stop before the caller's own deadline, for the way back.
DEADLINE_MARGIN_S: Final = 0.02

# Another attempt needs at least this much time.
MIN_ATTEMPT_S: Final = 0.05

# A repeatable request without an answer goes elsewhere after this many
# times its objective, and after this at the least.
OVERDUE_GOALS: Final = 3.0
MIN_OVERDUE_S: Final = 0.3

# A resumable stream without an event goes elsewhere after this many times
# the longest pause that is still on time, and after this at the least.
OVERDUE_PAUSES: Final = 5.0
MIN_STREAM_OVERDUE_S: Final = 1.0


class Forward:
    """One request and the attempts to have it answered."""

    __slots__ = (
        "_answer",
        "_call_number",
        "_cutter",
        "_deadline_timer",
        "_endpoint",
        "_first_event_s",
        "_head",
        "_overdue_timer",
        "_passing_on",
        "_pending",
        "_pieces",
        "_ran_before",
        "_streaming",
        "arrived_boot_s",
        "arrived_s",
        "call",
        "deadline_s",
        "done",
        "exchange",
        "front",
        "progress",
        "route",
        "service",
        "share_used",
        "tried",
        "workspace",
    )

    def __init__(
        self,
        front: Front,
        exchange: Exchange,
        call: Call,
        route: Route,
        service: str,
        workspace: str,
        arrived_boot_s: float,
    ) -> None:
        """Take a request over.

        :param front: the router
        :param exchange: the caller's request and the way to answer it
        :param call: what the request's head means
        :param route: the request's route
        :param service: the service that the route's split drew
        :param workspace: whose request it is; empty: nobody's
        :param arrived_boot_s: when it had been read, on the clock that
            counts while the machine is suspended
        """
        self.front = front
        self.exchange = exchange
        self.call = call
        self.route = route
        self.service = service
        self.workspace = workspace
        self.arrived_s = exchange.arrived_s
        self.arrived_boot_s = arrived_boot_s
        patience_s = route.timeout_s
        if call.timeout_s is not None:
            patience_s = min(patience_s, call.timeout_s - DEADLINE_MARGIN_S)
        self.deadline_s = self.arrived_s + patience_s
        self.progress = Progress()
        self.tried: set[str] = set()
        self.share_used = 0.0
        self.done = False
        self._cutter = EventSplitter(last_id=call.resume_after)
        self._endpoint: Endpoint | None = None
        self._pending: Pending | None = None
        self._call_number = 0
        self._head: AnswerHead | None = None
        self._answer: list[bytes] = []
        self._pieces = 0
        self._passing_on = False  # Whether a long answer has begun.
        self._ran_before = False
        self._streaming = False
        self._first_event_s = 0.0
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._deadline_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Make the first attempt."""
        self.exchange.on_gone = self._gone
        loop = asyncio.get_running_loop()
        left_s = self.deadline_s - self.front.clock()
        self._deadline_timer = loop.call_later(
            max(0.0, left_s), self._out_of_time
        )
        self._attempt()

    def _attempt(self) -> None:
        """Choose an endpoint and send the request there."""
        front = self.front
        placed = front.choose(self)
        if isinstance(placed, Notice):
            self._give_up(placed, Outcome.NOT_RUN)
            return
        if placed is None:
            self._failed(Failure.NO_ENDPOINT, "no endpoint takes requests")
            return
        endpoint, number = placed
        self._endpoint = endpoint
        self._call_number = number
        self._head = None
        self._answer = []
        self._pieces = 0
        self._ran_before = self.progress.may_have_run
        pool = front.connections.to(endpoint)
        self._pending = pool.send(
            self.call.method, self, fresh=not self.route.repeatable
        )

    def payload(self) -> bytes | None:
        """Return the request's bytes; see `Sink`."""
        front = self.front
        endpoint = self._endpoint
        now_s = front.clock()
        left_s = self.deadline_s - now_s
        if self.done or endpoint is None or left_s <= MIN_ATTEMPT_S:
            return None
        if endpoint.gone or endpoint.entry.leaving:
            return None
        if not front.may_run(self):
            return None
        self.progress.sends += 1
        self.progress.may_have_run = True
        self._watch_overdue(now_s)
        return front.dialect.encode_request(
            self.call,
            self.exchange.body,
            AttemptContext(
                endpoint.name,
                self.workspace,
                int(left_s * 1000),
                self._cutter.last_id,
            ),
        )

    def head(self, status: int, headers: RawHeaders) -> bool:
        """Take an answer's head; see `Sink`."""
        head = self.front.dialect.decode_answer(status, headers)
        other = head.request_id != self.call.request_id
        if other and (head.request_id or status < 400):
            return False
        self._head = head
        if not self._streaming and head.event_stream and status == 200:
            self._streaming = head.signed and not head.encoded
        return True

    def data(self, data: bytes) -> None:
        """Take a piece of an answer's body; see `Sink`."""
        head = self._head
        if head is None or self.done:
            return
        if not (head.event_stream and head.status == 200):
            self._hold(data)
            return
        if not head.signed or head.encoded:
            return
        whole = self._cutter.feed(data)
        if not whole:
            return
        now_s = self.front.clock()
        if not self._first_event_s:
            self._first_event_s = now_s
        if self._endpoint is not None:
            self.front.state.first_event(
                self._endpoint, self._call_number, now_s
            )
        if not self.exchange.started:
            self.exchange.begin(head.status, head.headers, None)
        self.exchange.write(whole)
        self._watch_overdue(now_s)

    def _hold(self, data: bytes) -> None:
        """Keep a piece of an answer that is passed on when it is whole."""
        self._pieces += len(data)
        head = self._head
        if self._passing_on:
            self.exchange.write(data)
            return
        if self.exchange.started:
            # A stream has begun; this answer is no part of it.
            return
        self._answer.append(data)
        long = self._pieces > MAX_HELD_BYTES
        if long and head is not None and self._is_good(head):
            self._passing_on = True
            self.exchange.begin(head.status, head.headers, None)
            for piece in self._answer:
                self.exchange.write(piece)
            self._answer = []

    def _is_good(self, head: AnswerHead) -> bool:
        """Return whether an answer may be passed on as the endpoint's."""
        if head.encoded:
            return False
        return head.signed or head.status >= 400

    def end(self) -> None:
        """Take an answer's end; see `Sink`."""
        head = self._head
        self._pending = None
        endpoint = self._endpoint
        if head is None or endpoint is None or self.done:
            return
        self.front.state.ended(endpoint, self._call_number)
        self._clear_overdue()
        if head.not_executed:
            self.progress.may_have_run = self._ran_before
            if head.status == 421:
                self.front.misdirected(endpoint)
            self._failed(Failure.NOT_EXECUTED, f"status {head.status}")
        elif not self._is_good(head):
            self._count_failure(endpoint)
            self._failed(Failure.BROKEN, "the answer is not signed")
        elif head.status >= 500:
            self._count_failure(endpoint)
            self._failed(Failure.ERROR, f"status {head.status}")
        elif head.event_stream and head.status == 200:
            self._end_stream(endpoint)
        elif self._streaming and self.exchange.started:
            self._failed(
                Failure.BROKEN, f"status {head.status} within a stream"
            )
        else:
            self.front.pool.succeeded(endpoint)
            self._relay("answer")

    def _end_stream(self, endpoint: Endpoint) -> None:
        """End a stream whose last bytes came."""
        if self._cutter.mid_event:
            self._count_failure(endpoint)
            self._failed(Failure.BROKEN, "the stream ended within an event")
            return
        self.front.pool.succeeded(endpoint)
        head = self._head
        if not self.exchange.started and head is not None:
            self.exchange.begin(head.status, head.headers, None)
        self.exchange.finish()
        self._finish("answer", Outcome.RAN, str(head.status if head else 0))

    def _relay(self, reason: str) -> None:
        """Give the caller the endpoint's answer as it is."""
        head = self._head
        assert head is not None
        if self.exchange.started:
            self.exchange.finish()
        else:
            self.exchange.answer(
                head.status, head.headers, b"".join(self._answer)
            )
        self._finish(reason, Outcome.RAN, str(head.status))

    def lost(self, loss: Loss, detail: str) -> None:
        """Hear that no whole answer will come; see `Sink`."""
        self._pending = None
        endpoint = self._endpoint
        if endpoint is None or self.done:
            return
        self.front.state.ended(endpoint, self._call_number)
        self._clear_overdue()
        if loss is Loss.BROKEN:
            self._count_failure(endpoint)
            self.front.broken(self, endpoint, self._head is not None)
            self._failed(Failure.BROKEN, detail)
            return
        self.progress.failures += 1
        if loss is Loss.REFUSED:
            self.front.state.crashed(endpoint, self.front.clock())
        if loss in (Loss.NOT_SENT, Loss.REFUSED):
            self.front.pool.unreachable(endpoint, self.front.clock())
        self._failed(Failure.NOT_SENT, detail)

    def _count_failure(self, endpoint: Endpoint) -> None:
        """Count a failure against an endpoint."""
        if self.front.pool.failed(endpoint, self.front.clock()):
            self.front.decide(
                "eject",
                f"failure rate {endpoint.failure_rate:.2f}",
                self,
                endpoint=endpoint.name,
            )

    def _failed(self, failure: Failure, detail: str) -> None:
        """Act on an attempt that failed."""
        front = self.front
        if self._endpoint is not None:
            self.tried.add(self._endpoint.name)
        now_s = front.clock()
        began = self.exchange.started
        verdict = judge(
            self.route,
            self.progress,
            failure,
            time_left=self.deadline_s - now_s > MIN_ATTEMPT_S
            and (not began or self._streaming),
            take_retry=lambda: front.take_retry(self.service),
        )
        front.decide(
            "attempt_failed",
            f"{failure.name.lower()}: {detail}",
            self,
            endpoint=self._endpoint.name if self._endpoint else "",
            outcome=verdict.name.lower(),
        )
        if verdict is Verdict.RETRY:
            self._cutter.restart()
            self._endpoint = None
            self._attempt()
        elif began:
            self.exchange.abort()
            self._finish("broken_off", Outcome.UNKNOWN, "")
        elif verdict is Verdict.RELAY:
            self._relay("endpoint_error")
        elif verdict is Verdict.FAIL:
            self._give_up(messages.ENDPOINT_LOST, Outcome.UNKNOWN)
        else:
            self._give_up(messages.NO_CAPACITY, Outcome.NOT_RUN)

    def _out_of_time(self) -> None:
        """End a request whose time is up."""
        self._deadline_timer = None
        if self.done:
            return
        self._cancel()
        if self.exchange.started:
            self.exchange.abort()
            self._finish("deadline", Outcome.UNKNOWN, "")
        elif self.progress.may_have_run:
            self._give_up(messages.TIMED_OUT, Outcome.UNKNOWN)
        else:
            self._give_up(messages.NO_CAPACITY, Outcome.NOT_RUN)

    def _gone(self) -> None:
        """End a request whose caller has left."""
        if self.done:
            return
        self._cancel()
        outcome = Outcome.NOT_RUN
        if self.progress.may_have_run:
            outcome = Outcome.UNKNOWN
        self._finish("caller_left", outcome, "")

    def stop(self) -> None:
        """End a request because the process ends."""
        if self.done:
            return
        self._cancel()
        if self.progress.may_have_run or self.exchange.started:
            self.exchange.abort()
            self._finish("stopped", Outcome.UNKNOWN, "")
        else:
            self._give_up(messages.DRAINING, Outcome.NOT_RUN)

    def _cancel(self) -> None:
        """Give up the attempt that is under way."""
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
            if self._endpoint is not None:
                self.front.state.ended(self._endpoint, self._call_number)

    def _give_up(self, notice: Notice, outcome: Outcome) -> None:
        """Answer with a refusal or failure of our own."""
        if self.exchange.started:
            self.exchange.abort()
            self._finish("broken_off", Outcome.UNKNOWN, notice.code)
            return
        retry_after_s = None
        if outcome is Outcome.NOT_RUN:
            retry_after_s = self.front.retry_after_s(self)
        self.front.refuse(
            self.exchange, notice, self.call.request_id, outcome, retry_after_s
        )
        self._finish("refuse", outcome, notice.code)

    def _finish(self, reason: str, outcome: Outcome, code: str) -> None:
        """Note how the request ended."""
        self.done = True
        self._clear_overdue()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None
        self.front.finished(self, reason, outcome, code)

    def _watch_overdue(self, now_s: float) -> None:
        """Set when the endpoint has been silent for too long."""
        self._clear_overdue()
        route = self.route
        if not route.repeatable or self.progress.sends >= route.max_attempts:
            return
        if route.kind is RequestKind.STREAMING:
            delay_s = max(
                MIN_STREAM_OVERDUE_S, OVERDUE_PAUSES * route.max_event_gap_s
            )
            if not self._cutter.event_count:
                delay_s += route.latency_target_s
        else:
            delay_s = max(
                MIN_OVERDUE_S, OVERDUE_GOALS * route.latency_target_s
            )
        if now_s + delay_s < self.deadline_s - MIN_ATTEMPT_S:
            loop = asyncio.get_running_loop()
            self._overdue_timer = loop.call_later(delay_s, self._overdue)

    def _clear_overdue(self) -> None:
        """Forget the timer for a silent endpoint."""
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None

    def _overdue(self) -> None:
        """Go elsewhere if the endpoint stays silent and another is there."""
        self._overdue_timer = None
        endpoint = self._endpoint
        if self.done or endpoint is None or self._pending is None:
            return
        front = self.front
        if not front.has_other(self, endpoint):
            return
        if not front.take_retry(self.service):
            return
        self._cancel()
        front.silent(endpoint)
        self._count_failure(endpoint)
        front.decide(
            "attempt_failed",
            "the endpoint is silent",
            self,
            endpoint=endpoint.name,
            outcome="retry",
        )
        self.tried.add(endpoint.name)
        self._cutter.restart()
        self._attempt()

    @property
    def fingerprint(self) -> int:
        """Return what is the same for a repeat of this request."""
        content = self.call.target + b"\n" + self.exchange.body
        return fingerprint(self.workspace, self.service, content)

    @property
    def first_event_s(self) -> float:
        """Return when the first event came; 0: none has come."""
        return self._first_event_s
