"""Forwards one caller's request to endpoints until it has an outcome.

A `Forward` exists from the request's arrival to the end of its answer.  It
makes attempts, one at a time, until one succeeds or
`coordination.forwarding` allows no further retry; see `Attempt` for what
becomes of each one's answer.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bulrushstream import messages
from bulrushstream.coordination.forwarding import (
    Failure,
    Progress,
    RetryDecision,
    decide_retry,
    overdue_delay_s,
)
from bulrushstream.coordination.streamcheck import Doubts
from bulrushstream.coordination.streamends import StreamEnd, last_event
from bulrushstream.daemon import (
    dispatch,
    endcheck,
    evacuating,
    safeguards,
    takeups,
)
from bulrushstream.daemon.attempt import Attempt
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.messages import Notice
from bulrushstream.protocol.prompt import fingerprint
from bulrushstream.state.call import AnswerHead, AttemptContext, Call
from bulrushstream.state.events import EventSplitter
from bulrushstream.state.request import Outcome
from bulrushstream.state.routes import Route
from bulrushstream.transport.exchange import BodyWriter, Exchange

if TYPE_CHECKING:
    from bulrushstream.coordination.returns import Promise
    from bulrushstream.coordination.streamorigins import OwnStream
    from bulrushstream.daemon.endcheck import EndCheck
    from bulrushstream.daemon.endwatch import EndWatch
    from bulrushstream.daemon.front import Front

# Subtracted from the caller's timeout, to leave time for the way back.
DEADLINE_MARGIN_S: Final = 0.02

# No attempt is made with less time than this before the deadline.
MIN_ATTEMPT_S: Final = 0.05


class Forward:
    """One request and its attempts at endpoints."""

    __slots__ = (
        "_deadline_timer",
        "_fingerprint",
        "_overdue_timer",
        "_postponed",
        "_progress_s",
        "arrived_boot_s",
        "arrived_s",
        "attempt",
        "call",
        "deadline_s",
        "done",
        "doubts",
        "end_check",
        "end_watch",
        "exchange",
        "first_event_s",
        "front",
        "last_events",
        "longest_pause_s",
        "on_trial",
        "own_streams",
        "progress",
        "promise",
        "return_s",
        "route",
        "service",
        "share_used",
        "splitter",
        "stream_writer",
        "take_up",
        "tried",
        "version",
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
        self.attempt: Attempt | None = None  # The current or last one.
        self.tried: set[str] = set()
        self.share_used = 0.0
        # What its caller was promised with a refusal; None: it is new.
        self.promise: Promise | None = None
        self.return_s = 0.0  # The planned time to return; 0: none.
        # Whether its outcome shows if parts of its prompt crash endpoints.
        self.on_trial = False
        self.splitter = EventSplitter(last_id=call.resume_after)
        # What did not fit in the streams of its attempts.
        self.doubts = Doubts()
        self.take_up = takeups.make_take_up(self)
        # The only version at which it may go on; None: any.
        self.version: str | None = None
        # Its entries among the streams that began here; empty: no event yet.
        self.own_streams: tuple[OwnStream, ...] = ()
        # Writes the caller's stream, at which several attempts may work, one
        # after the other; None: none has begun.
        self.stream_writer: BodyWriter | None = None
        # Whether the stream is whole is found out; None: it is not asked.
        self.end_check: EndCheck | None = None
        # What follows its end is watched; None: it is not.
        self.end_watch: EndWatch | None = None
        self.first_event_s = 0.0  # When it arrived; 0: none yet.
        self.longest_pause_s = 0.0  # Between events that were relayed.
        self.last_events = b""  # Those that were relayed last.
        self.done = False
        self._fingerprint = 0  # 0: not computed yet.
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._progress_s = 0.0  # From when on that timer counts.
        self._postponed = False  # Whether it was by a pause since then.
        self._deadline_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Make the first attempt."""
        self.exchange.on_disconnect = self._caller_left
        self.exchange.on_room = self._caller_has_room
        loop = asyncio.get_running_loop()
        remaining_s = self.deadline_s - self.front.clock()
        self._deadline_timer = loop.call_later(
            max(0.0, remaining_s), self._deadline_expired
        )
        if self.take_up is not None:
            self.take_up.start()
        else:
            self.start_attempt()

    def start_attempt(self) -> None:
        """Choose an endpoint and queue the request for a connection to it."""
        choice = dispatch.choose_endpoint(self.front, self)
        if choice is None:
            self.attempt_failed(
                Failure.NO_ENDPOINT, "no endpoint accepts requests"
            )
            return
        if isinstance(choice, Refusal):
            self.refuse(choice)
            return
        takeups.attempt_chosen(self, choice[0])
        self.attempt = Attempt(self, *choice)
        self.attempt.start(
            watched=safeguards.is_watched(
                self.front.fleet_state, self, self.front.clock()
            )
        )

    def go_on(self) -> None:
        """Make another attempt, unless endpoints may crash under it."""
        self.splitter.restart()
        self.attempt = None
        refusal = safeguards.retry_refusal(self.front, self)
        if refusal is not None:
            self.refuse(refusal)
        else:
            self.start_attempt()

    # --- Called by the attempt.

    def encode(self, attempt: Attempt) -> bytes | None:
        """Return the bytes to send in an attempt, or None to withdraw it.

        :param attempt: the current attempt
        """
        front, endpoint = self.front, attempt.endpoint
        now_s = front.clock()
        remaining_s = self.deadline_s - now_s
        if self.done or remaining_s <= MIN_ATTEMPT_S:
            return None
        if self.exchange.is_caller_gone():
            return None
        if endpoint.removed or front.pool.is_leaving(endpoint):
            return None
        if front.fleet_state.notices.rest_left_s(endpoint.name, now_s):
            # It asked for rest while this request waited for a connection.
            front.fleet_state.notices.turned_away(
                endpoint.name, withdrawn=True
            )
            return None
        if front.pool.evacuated and evacuating.is_closed(attempt):
            return None
        if not front.may_send(self):
            return None
        if not front.fleet_state.cold.may_send(
            endpoint.name, attempt.number, now_s
        ):
            return None
        self.progress.sends += 1
        self.progress.may_have_run = True
        attempt.sent_s = now_s
        self.restart_overdue_timer(now_s)
        return front.dialect.encode_request(
            self.call,
            self.exchange.body,
            AttemptContext(
                endpoint.name,
                self.workspace,
                int(remaining_s * 1000),
                self.splitter.last_id,
            ),
        )

    def relay_events(
        self, head: AnswerHead, events: bytes, now_s: float
    ) -> None:
        """Relay events of a stream to the caller.

        :param head: the head of the answer that they are of
        :param events: complete events that the caller does not have yet
        :param now_s: the time
        """
        self.longest_pause_s = max(
            self.longest_pause_s, now_s - self._progress_s
        )
        if not self.first_event_s:
            self.longest_pause_s, self.first_event_s = 0.0, now_s
            if not takeups.stream_began(self, now_s):
                self._cancel_attempt()
                self.front.log_decision(
                    "take_up", "the store may name another origin", self
                )
                self._answer_notice(messages.ENDPOINT_LOST, Outcome.UNKNOWN)
                return
        self.last_events = events
        self.begin_stream(head).write(events)
        self.restart_overdue_timer(now_s)

    def begin_stream(self, head: AnswerHead) -> BodyWriter:
        """Begin the caller's stream unless it has begun.

        :param head: the head of the answer that begins it
        :returns: the writer of its events
        """
        if self.stream_writer is None:
            self.stream_writer = self.exchange.begin(
                head.status, head.headers, None
            )
        return self.stream_writer

    def stream_end(self) -> StreamEnd:
        """Return the end of the stream, as far as it was relayed."""
        prompt = self.call.prompt
        return StreamEnd(
            self.service,
            prompt.output_limit if prompt is not None else 0,
            self.splitter.last_id,
            last_event(self.last_events),
        )

    def answered(self, reason: str, status: int) -> None:
        """End the request, whose caller has got an endpoint's answer.

        :param reason: why it ends with this answer
        :param status: the answer's status
        """
        self.front.streams.origins.ended(self.own_streams)
        self._finish(reason, Outcome.RAN, str(status))

    def attempt_failed(self, failure: Failure, detail: str) -> None:
        """Retry a failed attempt, or end the request.

        :param failure: how it failed
        :param detail: the same for the log
        """
        if self.exchange.is_caller_gone():
            self._caller_left()
            return
        if self.end_check is not None:
            self.end_check.failed(f"{failure.name.lower()}: {detail}")
            return
        front, attempt = self.front, self.attempt
        endpoint = attempt.endpoint.name if attempt is not None else ""
        if endpoint:
            self.tried.add(endpoint)
        now_s = front.clock()
        answer_begun = self.exchange.started
        verdict = decide_retry(
            self.route,
            self.progress,
            failure,
            time_left=self.deadline_s - now_s > MIN_ATTEMPT_S
            and self._accepts_attempts
            and takeups.can_go_on(self),
            acquire_retry=lambda: front.acquire_retry(self.service),
        )
        front.log_decision(
            "attempt_failed",
            f"{failure.name.lower()}: {detail}",
            self,
            endpoint=endpoint,
            outcome=verdict.name.lower(),
        )
        if verdict is RetryDecision.RETRY:
            self.go_on()
        elif answer_begun:
            self.exchange.abort()
            self._finish("broken_off", Outcome.UNKNOWN, "")
        elif verdict is RetryDecision.RELAY:
            assert attempt is not None
            attempt.relay("endpoint_error")
        elif verdict is RetryDecision.FAIL:
            notice = messages.ENDPOINT_LOST
            if failure is Failure.FALSE_REFUSAL:
                notice = messages.FALSE_REFUSAL
            self._answer_notice(notice, Outcome.UNKNOWN)
        else:
            self._answer_notice(messages.NO_CAPACITY, Outcome.NOT_RUN)

    def _caller_has_room(self) -> None:
        """Go on with the answer, as the caller has read most of it."""
        if self.attempt is not None and self.attempt.resume():
            self.restart_overdue_timer(self.front.clock())

    # --- Ends.

    def _deadline_expired(self) -> None:
        """End the request at its deadline."""
        self._deadline_timer = None
        if self.done:
            return
        if endcheck.is_ended(self, "the deadline is reached"):
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
        if endcheck.is_ended(self, "the router stops"):
            return
        self._cancel_attempt()
        if self.progress.may_have_run or self.exchange.started:
            self.exchange.abort()
            self._finish("stopped", Outcome.UNKNOWN, "")
        else:
            self._answer_notice(messages.DRAINING, Outcome.NOT_RUN)

    def break_off(self) -> None:
        """End the request, of whose answer bytes may be missing."""
        self._cancel_attempt()
        self._answer_notice(messages.ENDPOINT_LOST, Outcome.UNKNOWN)

    def _cancel_attempt(self) -> None:
        """Cancel the attempt in flight or the question for the origin."""
        if self.take_up is not None:
            self.take_up.cancel()
        if self.attempt is not None:
            self.attempt.cancel()

    def refuse(self, refusal: Refusal) -> None:
        """End a request that is refused, now or after a failed attempt.

        :param refusal: the reason
        """
        if endcheck.is_ended(self, refusal.notice.text):
            return
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
                refusal.notice,
                Outcome.NOT_RUN,
                refusal.wait_s,
                final=refusal.final,
            )

    def _answer_notice(
        self,
        notice: Notice,
        outcome: Outcome,
        wait_s: float = 0.0,
        *,
        final: bool = False,
    ) -> None:
        """End the request with a refusal or failure from the router."""
        if self.exchange.started:
            self.exchange.abort()
            self._finish("broken_off", Outcome.UNKNOWN, notice.code)
            return
        retry_after_s = None
        if outcome is Outcome.NOT_RUN and not final:
            retry_after_s = dispatch.retry_after_s(self.front, self, wait_s)
        self.front.refuse(
            self.exchange, notice, self.call.request_id, outcome, retry_after_s
        )
        self._finish("refuse", outcome, notice.code)

    def _finish(self, reason: str, outcome: Outcome, code: str) -> None:
        """Stop the timers and report the request's end to the front."""
        self.done = True
        self.cancel_overdue_timer()
        if self.end_check is not None:
            self.end_check.cancel()
            self.end_check = None
        if self.end_watch is not None:
            self.end_watch.cancel()
            self.end_watch = None
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None
        self.front.request_finished(self, reason, outcome, code)

    # --- Endpoints without progress.

    def restart_overdue_timer(
        self, progress_s: float, *, postponed: bool = False
    ) -> None:
        """Restart the timer that detects an endpoint without progress.

        :param progress_s: from when on it counts
        :param postponed: whether that is the end of a pause
        """
        self.cancel_overdue_timer()
        self._progress_s, self._postponed = progress_s, postponed
        if self.end_check is not None:
            return
        route = self.route
        if not route.repeatable or self.progress.sends >= route.max_attempts:
            return
        delay_s = overdue_delay_s(
            route, stream_begun=self.splitter.event_count > 0
        )
        due_s = progress_s + delay_s
        if due_s < self.deadline_s - MIN_ATTEMPT_S:
            loop = asyncio.get_running_loop()
            self._overdue_timer = loop.call_later(
                max(0.0, due_s - self.front.clock()), self._handle_overdue
            )

    def cancel_overdue_timer(self) -> None:
        """Cancel the timer that detects an endpoint without progress."""
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None

    def _handle_overdue(self) -> None:
        """Retry at another endpoint if there is one and the quota allows."""
        self._overdue_timer = None
        front, attempt = self.front, self.attempt
        if self.done or attempt is None or not attempt.in_flight:
            return
        if not self._accepts_attempts:
            return
        awake_since_s = front.wakefulness.awake_since_s(front.clock())
        if awake_since_s > self._progress_s and not self._postponed:
            # What the endpoint sent meanwhile may not be read yet.  A loop
            # that is late again and again must not put this off for ever.
            self.restart_overdue_timer(awake_since_s, postponed=True)
            return
        endpoint = attempt.endpoint
        if not dispatch.has_alternative(front, self, endpoint):
            return
        if not front.acquire_retry(self.service):
            return
        if not attempt.answer_begun:
            attempt.withdraw_grant()
        attempt.cancel()
        front.endpoint_overdue(endpoint)
        attempt.count_failure()
        front.log_decision(
            "attempt_failed",
            "overdue: no progress within the allowed time",
            self,
            endpoint=endpoint.name,
            outcome="retry",
        )
        self.tried.add(endpoint.name)
        self.go_on()

    # --- What it is.

    @property
    def _accepts_attempts(self) -> bool:
        """Return whether another attempt could give the caller its answer.

        From its first byte on, the attempt that began an answer is the only
        one that may add to it, unless it is a stream that tells where it
        goes on.
        """
        if not self.exchange.started:
            return True
        return self.stream_writer is not None and self.splitter.can_resume

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
    def resumes(self) -> bool:
        """Return whether the caller has events of the stream already."""
        return self.call.takes_up or self.splitter.last_id is not None

    @property
    def shared_parts(self) -> tuple[int, ...]:
        """Return the parts of the prompt that others may share."""
        prompt = self.call.prompt
        return prompt.shared_parts if prompt is not None else ()
