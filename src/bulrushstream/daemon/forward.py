"""Forwards one caller's request to endpoints and relays the answer.

A `Forward` exists from the request's arrival to the end of its answer.  It
makes attempts, one at a time, until one succeeds or
`coordination.forwarding` allows no further retry, and relays the last
attempt's answer to the caller.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bulrushstream import messages
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.forwarding import (
    Failure,
    Progress,
    RetryDecision,
    decide_retry,
)
from bulrushstream.daemon import runwatch, safeguards
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.messages import Notice
from bulrushstream.protocol.prompt import fingerprint
from bulrushstream.state.call import (
    AnswerHead,
    AnswerProgress,
    AttemptContext,
    Call,
    RawHeaders,
)
from bulrushstream.state.endpointsigns import Sign
from bulrushstream.state.events import EventSplitter
from bulrushstream.state.request import Outcome
from bulrushstream.state.routes import RequestKind, Route
from bulrushstream.transport.ingress import Exchange
from bulrushstream.transport.upstream import (
    PendingRequest,
    Pool,
    ResponseFailure,
)

if TYPE_CHECKING:
    from bulrushstream.daemon.front import Front

# Answers up to this size are buffered until they are complete, so that a
# retry can replace one that breaks off.  Longer ones are relayed as they come.
MAX_BUFFERED_BYTES: Final = 262_144

# Subtracted from the caller's timeout, to leave time for the way back.
DEADLINE_MARGIN_S: Final = 0.02

# No attempt is made with less time than this before the deadline.
MIN_ATTEMPT_S: Final = 0.05

# A repeatable request without an answer is retried at another endpoint after
# its latency target times this factor, but not before the minimum.
OVERDUE_TARGET_FACTOR: Final = 3.0
MIN_OVERDUE_S: Final = 0.3

# A resumable stream without a new event is resumed at another endpoint after
# the route's target gap between events times this factor, but not before the
# minimum.
OVERDUE_GAP_FACTOR: Final = 5.0
MIN_STREAM_OVERDUE_S: Final = 1.0


class Forward:
    """One request and its attempts at endpoints."""

    __slots__ = (
        "_attempt_number",
        "_body_bytes",
        "_buffered_body",
        "_deadline_timer",
        "_endpoint",
        "_fingerprint",
        "_first_event_s",
        "_framed",
        "_head",
        "_heard_s",
        "_may_have_run_before",
        "_overdue_timer",
        "_pending",
        "_relaying",
        "_splitter",
        "_streaming",
        "arrived_boot_s",
        "arrived_s",
        "began_s",
        "call",
        "deadline_s",
        "done",
        "exchange",
        "front",
        "on_trial",
        "pool",
        "progress",
        "route",
        "sent_s",
        "service",
        "share_used",
        "silent_since_s",
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
        """Create the forward of an admitted request.

        :param front: the router
        :param exchange: the caller's request, through which it is answered
        :param call: the decoded head of the request
        :param route: the request's route
        :param service: the service drawn from the route's split
        :param workspace: the caller's workspace; empty: none (public route)
        :param arrived_boot_s: when the request was read, on the clock that
            also runs while the machine is suspended
        """
        self.front = front
        self.exchange = exchange
        self.call = call
        self.route = route
        self.service = service
        self.workspace = workspace
        self.arrived_s = exchange.arrived_s
        self.arrived_boot_s = arrived_boot_s
        timeout_s = route.timeout_s
        if call.timeout_s is not None:
            timeout_s = min(timeout_s, call.timeout_s - DEADLINE_MARGIN_S)
        self.deadline_s = self.arrived_s + timeout_s
        self.progress = Progress()
        self.tried: set[str] = set()
        self.pool: Pool  # The connections of the current attempt.
        self.share_used = 0.0
        self.sent_s = 0.0  # When the current attempt was sent.
        # When its endpoint began to write the answer; infinity: not yet.
        self.began_s = float("inf")
        # Whether its outcome shows if parts of its prompt crash endpoints.
        self.on_trial = False
        # Since when its endpoint is silent, as last watched; 0: it was not.
        self.silent_since_s = 0.0
        self.done = False
        self._splitter = EventSplitter(last_id=call.resume_after)
        self._endpoint: Endpoint | None = None
        self._pending: PendingRequest | None = None
        self._attempt_number = 0
        self._head: AnswerHead | None = None
        self._buffered_body: list[bytes] = []
        self._body_bytes = 0
        self._relaying = False  # Whether a long answer is being relayed.
        self._fingerprint = 0  # 0: not computed yet.
        self._framed = True  # Whether the answer's length was known.
        self._heard_s = 0.0  # When bytes of the answer last arrived.
        self._may_have_run_before = False
        self._streaming = False
        self._first_event_s = 0.0
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._deadline_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Make the first attempt."""
        self.exchange.on_disconnect = self._caller_left
        loop = asyncio.get_running_loop()
        remaining_s = self.deadline_s - self.front.clock()
        self._deadline_timer = loop.call_later(
            max(0.0, remaining_s), self._deadline_expired
        )
        self._start_attempt()

    def _start_attempt(self) -> None:
        """Choose an endpoint and queue the request for a connection to it."""
        front = self.front
        state, now_s = front.fleet_state, front.clock()
        choice = safeguards.crash_refusal(
            state, self, now_s
        ) or front.choose_endpoint(self)
        if choice is None:
            self._attempt_failed(
                Failure.NO_ENDPOINT, "no endpoint accepts requests"
            )
            return
        if not isinstance(choice, tuple):
            self._refuse(choice)
            return
        endpoint, number = choice
        self._endpoint = endpoint
        self._attempt_number = number
        self.sent_s = 0.0
        self.began_s = float("inf")
        self.silent_since_s = 0.0
        self._framed = True
        self._head = None
        self._buffered_body = []
        self._body_bytes = 0
        self._heard_s = 0.0
        self._may_have_run_before = self.progress.may_have_run
        self.pool = front.connections.pool_for(endpoint)
        watched = safeguards.is_watched(state, self, now_s)
        if watched:
            # Its fate shows whether the endpoint ends with this run.
            self.pool.add_idle()
        self._pending = self.pool.send(
            self.call.method,
            self,
            fresh=not self.route.repeatable,
            reuse=not watched,
        )

    def payload(self) -> bytes | None:
        """Return the bytes to send, or None to withdraw; see `Sink`."""
        front = self.front
        endpoint = self._endpoint
        now_s = front.clock()
        remaining_s = self.deadline_s - now_s
        if self.done or endpoint is None or remaining_s <= MIN_ATTEMPT_S:
            return None
        if endpoint.removed or endpoint.entry.leaving:
            return None
        if not front.may_send(self):
            return None
        self.progress.sends += 1
        self.progress.may_have_run = True
        self.sent_s = now_s
        self._restart_overdue_timer(now_s)
        return front.dialect.encode_request(
            self.call,
            self.exchange.body,
            AttemptContext(
                endpoint.name,
                self.workspace,
                int(remaining_s * 1000),
                self._splitter.last_id,
            ),
        )

    def head(self, status: int, headers: RawHeaders) -> bool:
        """Handle an answer's head; see `Sink`."""
        self._heard_s = self.front.clock()
        head = self.front.dialect.decode_answer(status, headers)
        mismatch = head.request_id != self.call.request_id
        if mismatch and (head.request_id or status < 400):
            return False
        self._head = head
        pending, endpoint = self._pending, self._endpoint
        if endpoint is not None and status != 421:
            self._observe_load(endpoint, head)
        if pending is not None and endpoint is not None and not pending.reused:
            sign = Sign.SAME_INSTANCE
            if status == 421:
                sign = Sign.OTHER_INSTANCE
            self.front.crash_watch.add_sign(endpoint.name, sign)
        if not self._streaming and head.event_stream and status == 200:
            self._streaming = head.signed and not head.encoded
        return True

    def _observe_load(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Record what an answer says of its endpoint's load and limit."""
        now_s = self._heard_s
        limits = self.front.fleet_state.limits
        if head.bad_limit:
            limits.observe_bad(endpoint.name, head.bad_limit)
        # Neither a bad value nor the answer of a full endpoint ends a limit.
        may_end = not head.bad_limit and not head.not_executed
        if head.request_limit is not None or may_end:
            limits.observe(
                endpoint.name, head.request_limit, self.sent_s, now_s
            )
        if head.load is not None and limits:
            running, waiting, _ = head.load
            limits.presence.load_told(
                endpoint.name, running + waiting, endpoint.outstanding, now_s
            )

    def data(self, data: bytes) -> None:
        """Relay or buffer a chunk of an answer's body; see `Sink`."""
        head = self._head
        if head is None or self.done:
            return
        self._body_bytes += len(data)
        self._heard_s = self.front.clock()
        if not (head.event_stream and head.status == 200):
            self.began_s = min(self.began_s, self._heard_s)
            self._buffer_body(data)
            return
        if not head.signed or head.encoded:
            if self._body_bytes > MAX_BUFFERED_BYTES:
                self._end_attempt("a stream that is unsigned or encoded")
            return
        events = self._splitter.feed(data)
        if self._splitter.is_too_long:
            self._end_attempt("an event is too long")
            return
        if not events:
            return
        now_s = self.front.clock()
        self.began_s = min(self.began_s, now_s)
        if not self._first_event_s:
            self._first_event_s = now_s
        if self._endpoint is not None:
            self.front.fleet_state.first_event(
                self._endpoint, self._attempt_number, now_s
            )
        if not self.exchange.started:
            self.exchange.begin(head.status, head.headers, None)
        self.exchange.write(events)
        self._restart_overdue_timer(now_s)

    def _buffer_body(self, data: bytes) -> None:
        """Buffer a chunk; relay the answer once it exceeds the limit."""
        head = self._head
        if self._relaying:
            self.exchange.write(data)
            return
        too_long = self._body_bytes > MAX_BUFFERED_BYTES
        # A caller that has received part of a stream can not get this answer.
        if not self.exchange.started:
            self._buffered_body.append(data)
        if not too_long or head is None:
            return
        if head.not_executed:
            # The body of a refusal does not matter.
            self._cancel_pending()
            self.end()
            return
        if head.status >= 500 or not self._is_relayable(head):
            self._end_attempt("a body that could not be passed on is too long")
            return
        if self.exchange.started:
            self._end_attempt("an answer after a stream had begun")
            return
        self._relaying = True
        self.exchange.begin(head.status, head.headers, None)
        for chunk in self._buffered_body:
            self.exchange.write(chunk)
        self._buffered_body = []

    def _cancel_pending(self) -> None:
        """Close the connection of the attempt."""
        if self._pending is not None:
            self._pending.cancel()

    def _end_attempt(self, detail: str) -> None:
        """End an attempt whose bytes are no answer."""
        self._cancel_pending()
        self.failed(ResponseFailure.BROKEN, detail)

    def _is_relayable(self, head: AnswerHead) -> bool:
        """Return whether an answer may be relayed.

        It must not be encoded, and a success must be signed.
        """
        if head.encoded:
            return False
        return head.signed or head.status >= 400

    def end(self, *, framed: bool = True) -> None:
        """Handle the end of a complete answer; see `Sink`."""
        head = self._head
        endpoint = self._endpoint
        if head is None or endpoint is None or self.done:
            self._pending = None
            return
        self._framed = framed
        if not framed:
            runwatch.run_unframed(self.front, self, endpoint)
        self._pending = None
        if head.not_executed:
            self._withdraw_grant()
        self.front.fleet_state.ended(endpoint, self._attempt_number)
        self._cancel_overdue_timer()
        if head.not_executed:
            self.progress.may_have_run = self._may_have_run_before
            if head.status == 421:
                self.front.endpoint_misdirected(endpoint)
            self._attempt_failed(Failure.NOT_EXECUTED, f"status {head.status}")
        elif not self._is_relayable(head):
            self._count_failure(endpoint)
            self._attempt_failed(
                Failure.BROKEN, "the answer is unsigned or encoded"
            )
        elif head.status >= 500:
            self._count_failure(endpoint)
            self._attempt_failed(Failure.ERROR, f"status {head.status}")
        elif head.event_stream and head.status == 200:
            self._end_stream(endpoint)
        elif self._streaming and self.exchange.started:
            self._attempt_failed(
                Failure.BROKEN,
                f"status {head.status} after the stream had begun",
            )
        else:
            self.front.pool.succeeded(endpoint)
            self._relay("answer")

    def _end_stream(self, endpoint: Endpoint) -> None:
        """Handle the end of an event stream."""
        if self._splitter.mid_event:
            runwatch.run_broken(
                self.front, self, endpoint, "the stream ended amid an event"
            )
            self._count_failure(endpoint)
            self._attempt_failed(
                Failure.BROKEN, "the stream ended in the middle of an event"
            )
            return
        self.front.pool.succeeded(endpoint)
        head = self._head
        if not self.exchange.started and head is not None:
            self.exchange.begin(head.status, head.headers, None)
        self.exchange.finish()
        self._finish("answer", Outcome.RAN, str(head.status if head else 0))

    def _relay(self, reason: str) -> None:
        """Relay the endpoint's buffered answer to the caller."""
        head = self._head
        assert head is not None
        if self.exchange.started:
            self.exchange.finish()
        else:
            self.exchange.answer(
                head.status, head.headers, b"".join(self._buffered_body)
            )
        self._finish(reason, Outcome.RAN, str(head.status))

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        """Handle an attempt without a complete answer; see `Sink`."""
        endpoint = self._endpoint
        if endpoint is None or self.done:
            self._pending = None
            return
        if failure is ResponseFailure.BROKEN:
            runwatch.run_broken(self.front, self, endpoint, detail)
        self._pending = None
        if self._head is None:
            self._withdraw_grant()
        self.front.fleet_state.ended(endpoint, self._attempt_number)
        self._cancel_overdue_timer()
        if failure is ResponseFailure.BROKEN:
            self._count_failure(endpoint)
            self._attempt_failed(Failure.BROKEN, detail)
            return
        self.progress.unsent += 1
        if failure is ResponseFailure.REFUSED:
            self.front.crash_watch.add_sign(endpoint.name, Sign.REFUSED)
        if failure in (ResponseFailure.NOT_SENT, ResponseFailure.REFUSED):
            self.front.pool.unreachable(endpoint, self.front.clock())
        self._attempt_failed(Failure.NOT_SENT, detail)

    def _count_failure(self, endpoint: Endpoint) -> None:
        """Count a failure of an endpoint, and log if that ejects it."""
        if self.front.pool.failed(endpoint, self.front.clock()):
            self.front.log_decision(
                "eject",
                f"failure rate {endpoint.failure_rate:.2f}",
                self,
                endpoint=endpoint.name,
            )

    def _attempt_failed(self, failure: Failure, detail: str) -> None:
        """Retry a failed attempt, or end the request."""
        front = self.front
        if self._endpoint is not None:
            self.tried.add(self._endpoint.name)
        now_s = front.clock()
        answer_begun = self.exchange.started
        verdict = decide_retry(
            self.route,
            self.progress,
            failure,
            time_left=self.deadline_s - now_s > MIN_ATTEMPT_S
            and (not answer_begun or self._streaming),
            acquire_retry=lambda: front.acquire_retry(self.service),
        )
        front.log_decision(
            "attempt_failed",
            f"{failure.name.lower()}: {detail}",
            self,
            endpoint=self._endpoint.name if self._endpoint else "",
            outcome=verdict.name.lower(),
        )
        if verdict is RetryDecision.RETRY:
            self._splitter.restart()
            self._endpoint = None
            self._start_attempt()
        elif answer_begun:
            self.exchange.abort()
            self._finish("broken_off", Outcome.UNKNOWN, "")
        elif verdict is RetryDecision.RELAY:
            self._relay("endpoint_error")
        elif verdict is RetryDecision.FAIL:
            self._answer_notice(messages.ENDPOINT_LOST, Outcome.UNKNOWN)
        else:
            self._answer_notice(messages.NO_CAPACITY, Outcome.NOT_RUN)

    def _deadline_expired(self) -> None:
        """End the request at its deadline."""
        self._deadline_timer = None
        if self.done:
            return
        self._cancel_attempt()
        if self.exchange.started:
            self.exchange.abort()
            self._finish("deadline", Outcome.UNKNOWN, "")
        elif self.progress.may_have_run:
            self._answer_notice(messages.TIMED_OUT, Outcome.UNKNOWN)
        else:
            self._answer_notice(messages.NO_CAPACITY, Outcome.NOT_RUN)

    def _caller_left(self) -> None:
        """End the request because the caller disconnected."""
        if self.done:
            return
        self._cancel_attempt()
        outcome = Outcome.NOT_RUN
        if self.progress.may_have_run:
            outcome = Outcome.UNKNOWN
        self._finish("caller_left", outcome, "")

    def stop(self) -> None:
        """End the request because the process shuts down."""
        if self.done:
            return
        self._cancel_attempt()
        if self.progress.may_have_run or self.exchange.started:
            self.exchange.abort()
            self._finish("stopped", Outcome.UNKNOWN, "")
        else:
            self._answer_notice(messages.DRAINING, Outcome.NOT_RUN)

    def _withdraw_grant(self) -> None:
        """Take back the attempt's grant: there is no sign that it ran."""
        self.front.fleet_state.withdraw_grant(
            self._attempt_number, self.front.clock()
        )

    def _cancel_attempt(self) -> None:
        """Cancel the attempt in flight, if there is one."""
        if self._pending is not None and self._endpoint is not None:
            runwatch.run_cancelled(self.front, self, self._endpoint)
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
            if self._endpoint is not None:
                self.front.fleet_state.ended(
                    self._endpoint, self._attempt_number
                )

    def _refuse(self, refusal: Refusal) -> None:
        """End a request that is refused, now or after a failed attempt."""
        if refusal.part or refusal.wait_s:
            self.front.log_decision(
                "refuse",
                refusal.notice.text,
                self,
                outcome=refusal.notice.code,
                inputs={
                    "part": refusal.part,
                    "wait_s": round(refusal.wait_s, 3),
                },
            )
        if self.progress.may_have_run:
            self._answer_notice(messages.ENDPOINT_LOST, Outcome.UNKNOWN)
        else:
            self._answer_notice(
                refusal.notice, Outcome.NOT_RUN, refusal.wait_s
            )

    def _answer_notice(
        self, notice: Notice, outcome: Outcome, wait_s: float = 0.0
    ) -> None:
        """End the request with a refusal or failure from the router."""
        if self.exchange.started:
            self.exchange.abort()
            self._finish("broken_off", Outcome.UNKNOWN, notice.code)
            return
        retry_after_s = None
        if outcome is Outcome.NOT_RUN:
            retry_after_s = self.front.retry_after_s(self, wait_s)
        self.front.refuse(
            self.exchange, notice, self.call.request_id, outcome, retry_after_s
        )
        self._finish("refuse", outcome, notice.code)

    def _finish(self, reason: str, outcome: Outcome, code: str) -> None:
        """Stop the timers and report the request's end to the front."""
        self.done = True
        self._cancel_overdue_timer()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None
        self.front.request_finished(self, reason, outcome, code)

    def _restart_overdue_timer(self, now_s: float) -> None:
        """Restart the timer that detects an endpoint without progress."""
        self._cancel_overdue_timer()
        route = self.route
        if not route.repeatable or self.progress.sends >= route.max_attempts:
            return
        if route.kind is RequestKind.STREAMING:
            delay_s = max(
                MIN_STREAM_OVERDUE_S,
                OVERDUE_GAP_FACTOR * route.max_event_gap_s,
            )
            if not self._splitter.event_count:
                delay_s += route.latency_target_s
        else:
            delay_s = max(
                MIN_OVERDUE_S, OVERDUE_TARGET_FACTOR * route.latency_target_s
            )
        if now_s + delay_s < self.deadline_s - MIN_ATTEMPT_S:
            loop = asyncio.get_running_loop()
            self._overdue_timer = loop.call_later(
                delay_s, self._handle_overdue
            )

    def _cancel_overdue_timer(self) -> None:
        """Cancel the timer that detects an endpoint without progress."""
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None

    def _handle_overdue(self) -> None:
        """Retry at another endpoint if there is one and the quota allows."""
        self._overdue_timer = None
        endpoint = self._endpoint
        if self.done or endpoint is None or self._pending is None:
            return
        front = self.front
        if not front.has_alternative(self, endpoint):
            return
        if not front.acquire_retry(self.service):
            return
        if self._head is None:
            self._withdraw_grant()
        self._cancel_attempt()
        front.endpoint_overdue(endpoint)
        self._count_failure(endpoint)
        front.log_decision(
            "attempt_failed",
            "overdue: no progress within the allowed time",
            self,
            endpoint=endpoint.name,
            outcome="retry",
        )
        self.tried.add(endpoint.name)
        self._splitter.restart()
        self._start_attempt()

    @property
    def answer_progress(self) -> AnswerProgress:
        """Return how much of the current attempt's answer arrived."""
        if self._head is None:
            return AnswerProgress.NOTHING
        if self._body_bytes:
            return AnswerProgress.BODY
        return AnswerProgress.HEAD

    @property
    def endpoint(self) -> Endpoint | None:
        """Return the endpoint of the current attempt, once it was sent."""
        sent = self._pending is not None and self.sent_s
        return self._endpoint if sent else None

    @property
    def last_heard_s(self) -> float:
        """Return when the current attempt was sent or last heard."""
        return max(self.sent_s, self._heard_s)

    @property
    def unproven_connection(self) -> bool:
        """Return whether the attempt's connection may have been dead before.

        That is so if it was used before, and no byte has come since.
        """
        pending = self._pending
        return pending is not None and pending.reused and not self._heard_s

    @property
    def answer_is_proof(self) -> bool:
        """Return whether the answer shows that its endpoint lived on."""
        head = self._head
        return head is not None and self._framed and head.status < 500

    @property
    def fingerprint(self) -> int:
        """Return a digest that is equal for repeats of this request.

        The service is left out, as a route may be split or move.
        """
        if not self._fingerprint:
            content = self.call.target + b"\n" + self.exchange.body
            self._fingerprint = fingerprint(self.workspace, "", content)
        return self._fingerprint

    @property
    def shared_parts(self) -> tuple[int, ...]:
        """Return the parts of the prompt that others may share."""
        prompt = self.call.prompt
        return prompt.shared_parts if prompt is not None else ()

    @property
    def proves_parts(self) -> bool:
        """Return whether an endpoint read the prompt and answered whole."""
        head = self._head
        whole = head is not None and self._framed and head.status == 200
        return whole and self.began_s < float("inf")

    @property
    def first_event_s(self) -> float:
        """Return when the first event arrived; 0: none yet."""
        return self._first_event_s
