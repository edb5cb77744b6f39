"""One attempt of a request at an endpoint, and its answer.

An `Attempt` is the `Sink` of the endpoint's response.  It passes a good
answer on to the caller, and reports any other end to its `Forward`, which
decides what follows.

An answer whose end only its connection shows (see `unframed`) counts as
complete if its endpoint proves that it runs on (see `lifeproof`), or if
another answer to the request follows it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.forwarding import Failure, is_false_refusal
from bulrushstream.coordination.streamends import EndKind
from bulrushstream.daemon import (
    answerfaults,
    doubtfulheads,
    endcheck,
    endpointload,
    processgate,
    processproofs,
    runwatch,
    streamchecks,
)
from bulrushstream.daemon.lifeproof import Proof
from bulrushstream.daemon.unframed import UnframedBody
from bulrushstream.state.call import (
    AnswerHead,
    AnswerProgress,
    RawHeaders,
)
from bulrushstream.state.endpointsigns import Sign
from bulrushstream.state.excess import Excess, ExcessReason, PeerKind
from bulrushstream.state.memorybudget import Account
from bulrushstream.transport.connection import (
    Connection,
    PendingRequest,
    ResponseFailure,
)
from bulrushstream.transport.exchange import BodyWriter
from bulrushstream.transport.framing import Framing, framing_of

if TYPE_CHECKING:
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.daemon.processgate import ProcessGate

# Answers up to this size are buffered until they are complete, so that a
# retry can replace one that breaks off.  Longer ones are relayed as they come.
MAX_BUFFERED_BYTES: Final = 262_144

# How long an endpoint may take to prove that it lives if another one could
# answer instead, and how long before the deadline the wait ends otherwise.
PROOF_BEFORE_RETRY_S: Final = 2.0
PROOF_MARGIN_S: Final = 0.05

# Complete events are held back no longer than this until the next one comes:
# less than an endpoint may be silent, and less than callers wait.
MAX_HOLD_S: Final = 0.5
MAX_HOLD_FOR_GOOD_S: Final = 1.75

_HIDDEN_CHUNKS: Final = "chunks that its head does not tell"

# Fewer kept bytes than this are not accounted for.
MIN_COUNTED_BYTES: Final = 16_384


class Attempt:
    """One attempt at one endpoint."""

    __slots__ = (
        "_account",
        "_body_bytes",
        "_born",
        "_buffered_body",
        "_doubts",
        "_end",
        "_framing",
        "_head",
        "_heard_s",
        "_hold_since_s",
        "_hold_timer",
        "_may_have_run_before",
        "_paused",
        "_pending",
        "_proof",
        "_proof_age_s",
        "_resumed_s",
        "_unattributed",
        "_unframed",
        "_writer",
        "began_s",
        "end_kind",
        "ended_connection",
        "endpoint",
        "forward",
        "front",
        "gate",
        "led_s",
        "number",
        "pool",
        "sent_s",
        "silent_since_s",
    )

    def __init__(
        self, forward: Forward, endpoint: Endpoint, number: int
    ) -> None:
        """Create an attempt that is not sent yet.

        :param forward: the request
        :param endpoint: where it is sent
        :param number: the attempt's number, unique in the fleet
        """
        self.forward = forward
        self.front = forward.front
        self.endpoint = endpoint
        self.number = number
        self.pool = forward.front.connections.pool_for(endpoint)
        self.sent_s = 0.0  # 0: not yet.
        # When the endpoint began to write the answer; infinity: not yet.
        self.began_s = float("inf")
        # Since when its connection led to the process that answers; infinity:
        # nothing has answered.
        self.led_s = float("inf")
        # Holds its answer back; None: it begins a stream, or is none.
        self.gate: ProcessGate | None = None
        # Since when the endpoint is silent, as last watched; 0: it was not.
        self.silent_since_s = 0.0
        self._pending: PendingRequest | None = None
        self._may_have_run_before = forward.progress.may_have_run
        self._born = endpoint.entry.born  # As it was listed before.
        self._head: AnswerHead | None = None
        self._buffered_body: list[bytes] = []
        self._account: Account | None = None  # Of kept bytes, if many.
        self._body_bytes = 0
        # Writes a long answer that is being relayed; None: it is not.
        self._writer: BodyWriter | None = None
        self._framing = Framing.LENGTH
        self._doubts = doubtfulheads.NO_DOUBTS  # Of the head.
        # The body, if only its connection shows the end.
        self._unframed: UnframedBody | None = None
        self._end = ""  # How the answer ended, for the log; empty: not yet.
        # What the end of a stream told, for the log; None: it was not judged.
        self.end_kind: EndKind | None = None
        # What its whole answer arrived on; None: none did, or it is gone.
        self.ended_connection: Connection | None = None
        # What proved that the answer's process outlived its connection, and
        # how long after the end; None: it was not looked for.
        self._proof: Proof | None = None
        self._proof_age_s = 0.0
        # Whether its answer may be that of another request.
        self._unattributed = False
        self._heard_s = 0.0  # When bytes of the answer last arrived.
        # Whether its bytes are not read, as the caller has much to read.
        self._paused = False
        self._resumed_s = 0.0  # When that last ended; 0: never.
        # Ends the wait of events that are held back; None: none are.
        self._hold_timer: asyncio.TimerHandle | None = None
        self._hold_since_s = 0.0  # When that wait began.

    def start(self, *, watched: bool) -> None:
        """Queue the request for a connection to the endpoint.

        :param watched: whether its fate must show if the endpoint ends
        """
        if watched:
            self.pool.add_idle()
        self._pending = self.pool.send(
            self.forward.call.method,
            processgate.sink_of(self),
            fresh=not self.forward.route.repeatable,
            # An answer of the earlier attempt there would have the same id.
            reuse=not watched and self.endpoint.name not in self.forward.tried,
        )

    def cancel(self) -> None:
        """End the attempt without an answer, if it is in flight."""
        if self._pending is None:
            return
        runwatch.run_cancelled(self)
        self._end = "cancelled"
        if self.gate is not None:
            self.gate.close()
        self._pending.cancel()
        self._pending = None
        self._keep(0)
        self.front.fleet_state.ended(self.endpoint, self.number)

    def withdraw(self, detail: str) -> None:
        """Fail the attempt, of which no byte was sent.

        :param detail: why, for the log
        """
        if self._pending is not None:
            self._pending.cancel()
            self.failed(ResponseFailure.WITHDRAWN, detail)

    def withdraw_grant(self) -> None:
        """Take back the attempt's grant: there is no sign that it ran."""
        self.front.fleet_state.withdraw_grant(self.number, self.front.clock())

    # --- The response; see `Sink`.

    def payload(self) -> bytes | None:
        """Return the bytes to send, or None to withdraw; see `Sink`."""
        return self.forward.encode(self)

    def head(self, status: int, headers: RawHeaders) -> bool:
        """Handle an answer's head; see `Sink`."""
        front, forward = self.front, self.forward
        self._heard_s = front.clock()
        head = front.dialect.decode_answer(status, headers)
        front.answer_seen(self.endpoint, head)
        mismatch = head.request_id != forward.call.request_id
        if mismatch and (head.request_id or status < 400):
            return False
        # On a connection that was used before, it may answer an earlier
        # request once more.
        self._unattributed = mismatch and self._reused
        self._head = head
        self._framing = framing_of(status, headers)
        self._doubts = doubtfulheads.examine(
            self, head, headers, self._framing
        )
        self._unframed = None
        if self._pending is not None:
            self._pending.record_answer(forward.call.request_id)
            if self._framing is Framing.CLOSE:
                self.pool.expect_unframed()
                self._unframed = UnframedBody(
                    front.dialect,
                    self._pending,
                    is_stream=head.event_stream,
                    doubtful=self._doubts.of_framing,
                )
        if status != 421:
            if not mismatch and self._pending is not None:
                self.pool.record_answer(self.sent_s, self._pending.connection)
            endpointload.observe(
                front,
                self.endpoint,
                self.number,
                head,
                self.sent_s,
                self._heard_s,
            )
        else:
            # It reached another process, if any.
            front.fleet_state.cold.not_counted(self.endpoint.name, self.sent_s)
        if self._pending is not None:
            connection = self._pending.connection
            if connection is not None:
                self.led_s = connection.since_s(True)
        if self._pending is not None and not self._reused:
            sign = Sign.SAME_INSTANCE
            if status == 421:
                sign = Sign.OTHER_INSTANCE
            front.crash_watch.add_sign(self.endpoint.name, sign)
        return True

    def data(self, data: bytes) -> None:
        """Relay or buffer a chunk of an answer's body; see `Sink`."""
        try:
            self._handle_data(data)
        except Exception as error:
            answerfaults.end_broken(self.forward, error)

    def _handle_data(self, data: bytes) -> None:
        """Relay or buffer a chunk of an answer's body."""
        head, unframed = self._head, self._unframed
        if head is None or self.forward.done:
            return
        if unframed is None:
            self._accept(head, data)
            return
        self._heard_s = self.front.clock()
        unframed.watch_bytes(self._heard_s)
        self._accept(head, unframed.feed(data))
        if unframed.held_bytes and self.in_flight:
            self._keep(unframed.held_bytes)
        if unframed.in_chunks and self.in_flight:
            self._give_up(_HIDDEN_CHUNKS)
        if unframed.flooded and self.in_flight:
            self._give_up("a body full of heads", ExcessReason.EXTRA)
        if unframed.followed_by is not None and self.in_flight:
            self._end_followed(head, unframed.followed_by)

    def _accept(self, head: AnswerHead, data: bytes) -> None:
        """Relay or buffer bytes of an answer's body."""
        if not data:
            return
        self._body_bytes += len(data)
        self._heard_s = self.front.clock()
        if not (head.event_stream and head.status == 200):
            self.began_s = min(self.began_s, self._heard_s)
            self._buffer(head, data)
        elif head.signed and not head.encoded:
            self._relay_events(head, data)
        elif self._body_bytes > MAX_BUFFERED_BYTES:
            self._give_up(
                "a stream that is unsigned or encoded", ExcessReason.BODY
            )

    def end(self, *, framed: bool = True) -> None:
        """Handle the end of a complete answer; see `Sink`."""
        try:
            self._handle_end(framed=framed)
        except Exception as error:
            answerfaults.end_broken(self.forward, error)

    def _handle_end(self, *, framed: bool) -> None:
        """Handle the end of a complete answer."""
        forward, head = self.forward, self._head
        self._end = "complete" if framed else "connection closed in order"
        if head is None or forward.done:
            self._pending = None
            return
        if framed:
            self._end_complete(head)
        else:
            self._end_closed(head)

    def _end_closed(self, head: AnswerHead) -> None:
        """Handle an answer that the end of its connection ended."""
        runwatch.run_unframed(self)
        rest: bytes | None = b""
        if self._unframed is not None:
            rest = self._unframed.close(self.front.clock())
        if rest is None:
            if self._unframed is not None and self._unframed.in_chunks:
                self._give_up(_HIDDEN_CHUNKS)
            else:
                self.failed(
                    ResponseFailure.BROKEN,
                    "the connection ended amid the head of an answer",
                )
            return
        self._accept(head, rest)
        if not self.in_flight:
            return
        if self.forward.end_check is not None and _is_stream(head):
            # That its endpoint lived is known of the stream that it checks.
            self._record_end(ran=True)
            self._end_stream(head)
        elif head.status < 400 and not self._body_bytes:
            # It may have been cut within its head.
            self.failed(
                ResponseFailure.BROKEN, "the connection ended at the body"
            )
        elif not self._may_be_whole(head):
            self._end_complete(head)
        else:
            self._wait_for_proof()

    def _may_be_whole(self, head: AnswerHead) -> bool:
        """Return whether an answer that ended here could be passed on."""
        forward = self.forward
        if self._unattributed or head.not_executed:
            return False
        if is_false_refusal(forward.route, head):
            return False
        if not _is_relayable(head) or forward.splitter.mid_event:
            return False
        goes_on = head.event_stream and head.status == 200
        return goes_on or forward.stream_writer is None

    def _wait_for_proof(self) -> None:
        """Wait until the endpoint proves that it outlived its connection."""
        forward = self.forward
        forward.cancel_overdue_timer()
        self._paused = False
        wait_until_s = forward.deadline_s - PROOF_MARGIN_S
        if forward.route.repeatable:
            retry_s = self.front.clock() + PROOF_BEFORE_RETRY_S
            wait_until_s = min(wait_until_s, retry_s)
        self._pending = self.front.life_proofs.wait(
            self.endpoint,
            self.pool,
            self._ran_s,
            wait_until_s,
            self._endpoint_checked,
            self._born,
        )

    def _endpoint_checked(self, proof: Proof) -> None:
        """Handle what proves that the endpoint outlived its connection."""
        head, self._proof = self._head, proof
        if self._unframed is not None and self._unframed.closed_s is not None:
            self._proof_age_s = self.front.clock() - self._unframed.closed_s
        if head is None or self.forward.done:
            self._pending = None
        elif proof is not Proof.NONE:
            try:
                self._end_complete(head)
            except Exception as error:
                answerfaults.end_broken(self.forward, error)
        else:
            self.failed(
                ResponseFailure.BROKEN, "nothing proves that its process lives"
            )

    def _end_followed(self, head: AnswerHead, request_id: str) -> None:
        """Handle the head of another answer, to a request, in the body."""
        if request_id != self.forward.call.request_id:
            # The rest of the body may follow.
            self._give_up("another answer within the body does not end it")
            return
        self._close()
        self._end = "another answer to the request followed"
        self._end_complete(head)

    def _end_complete(self, head: AnswerHead) -> None:
        """Handle the end of an answer that is whole."""
        forward = self.forward
        if self._unattributed:
            # The answer to this request may still come.
            self._close()
        self._record_end(ran=self._unattributed or not head.not_executed)
        if self._unattributed:
            forward.attempt_failed(
                Failure.BROKEN, f"status {head.status} without a request id"
            )
        elif head.not_executed:
            forward.progress.may_have_run = self._may_have_run_before
            if head.status == 421:
                self.front.endpoint_misdirected(self.endpoint)
            forward.attempt_failed(
                Failure.NOT_EXECUTED, f"status {head.status}"
            )
        elif self._doubts.fault:
            self.count_failure()
            forward.attempt_failed(Failure.BROKEN, self._doubts.fault)
        elif not _is_relayable(head):
            self.count_failure()
            forward.attempt_failed(
                Failure.BROKEN, "the answer is unsigned or encoded"
            )
        elif is_false_refusal(forward.route, head):
            if not head.rest_s:
                self.count_failure()
            forward.attempt_failed(
                Failure.FALSE_REFUSAL,
                f"status {head.status} promises that it did not run the "
                "request, which the endpoint does not state",
            )
        elif head.status >= 500:
            # An endpoint that asks for rest has not failed.
            if not head.rest_s:
                self.count_failure()
            forward.attempt_failed(Failure.ERROR, f"status {head.status}")
        elif head.event_stream and head.status == 200:
            self._end_stream(head)
        elif forward.stream_writer is not None:
            forward.attempt_failed(
                Failure.BROKEN,
                f"status {head.status} after the stream had begun",
            )
        else:
            self.front.pool.succeeded(self.endpoint)
            self.relay("answer")

    def failed(self, failure: ResponseFailure, detail: str) -> None:
        """Handle the lack of a complete answer; see `Sink`."""
        forward = self.forward
        self._end = detail
        if forward.done:
            self._pending = None
            return
        broken = failure is ResponseFailure.BROKEN
        connection = self._pending.connection if self._pending else None
        if connection is not None and connection.invalid:
            self.endpoint.spoiled_s = self.front.clock()
        if broken:
            closed_s = None
            if self._unframed is not None:
                closed_s = self._unframed.closed_s
            runwatch.run_broken(self, detail, closed_s)
        self._record_end(ran=self._head is not None)
        if broken:
            processproofs.connection_broke(self.front, self.endpoint)
            self.count_failure()
            forward.attempt_failed(Failure.BROKEN, detail)
            return
        forward.progress.unsent += 1
        if failure is ResponseFailure.REFUSED:
            processproofs.connection_broke(self.front, self.endpoint)
            self.front.crash_watch.add_sign(self.endpoint.name, Sign.REFUSED)
        if failure in (ResponseFailure.NOT_SENT, ResponseFailure.REFUSED):
            self.front.pool.unreachable(self.endpoint, self.front.clock())
        forward.attempt_failed(Failure.NOT_SENT, detail)

    def relay(self, reason: str) -> None:
        """Relay the endpoint's buffered answer to the caller.

        :param reason: why the request ends with it
        """
        head, exchange = self._head, self.forward.exchange
        assert head is not None
        body = b"".join(self._buffered_body)
        if self._writer is not None:
            self._writer.finish()
        elif self._framed or body:
            exchange.answer(head.status, head.headers, body)
        else:
            # It may answer a HEAD request, whose length is not that of the
            # body here.
            exchange.begin(head.status, head.headers, None).finish()
        self.forward.answered(reason, head.status)

    def count_failure(self) -> None:
        """Count a failure of the endpoint, and log if that ejects it."""
        endpoint = self.endpoint
        if self.front.pool.failed(endpoint, self.front.clock()):
            self.front.log_decision(
                "eject",
                f"failure rate {endpoint.failure_rate:.2f}",
                self.forward,
                endpoint=endpoint.name,
            )

    def _relay_events(self, head: AnswerHead, data: bytes) -> None:
        """Relay the events of a stream that are complete now."""
        splitter = self.forward.splitter
        if splitter.check is None:
            streamchecks.begin(self)
        events = splitter.feed(data)
        if splitter.is_too_long:
            self._give_up("an event is too long", ExcessReason.EVENT)
            return
        self._pass_on(head, events)
        if not self.in_flight:
            return
        self._keep(splitter.partial_bytes)
        if splitter.spoiling is not None:
            self._give_up(streamchecks.spoiled(self))
        elif splitter.holds != (self._hold_timer is not None):
            self._set_hold_timer(needed=splitter.holds)
        # A check keeps what its caller may get until it has a result.
        if self.forward.exchange.full and self.forward.end_check is None:
            self._pause()

    def _set_hold_timer(self, *, needed: bool) -> None:
        """Set the timer for events that are held back, or cancel it."""
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None
        if needed:
            loop = asyncio.get_running_loop()
            repeatable = self.forward.route.repeatable
            hold_s = MAX_HOLD_S if repeatable else MAX_HOLD_FOR_GOOD_S
            self._hold_since_s = self.front.clock()
            self._hold_timer = loop.call_later(hold_s, self._held_long)

    def _held_long(self) -> None:
        """Pass on the events that were held back, as no other followed."""
        self._hold_timer = None
        if not self.in_flight or self._head is None:
            return
        front = self.front
        awake_since_s = front.wakefulness.awake_since_s(front.clock())
        if awake_since_s > self._hold_since_s:
            # What followed them may not be read yet.
            self._set_hold_timer(needed=True)
            return
        splitter = self.forward.splitter
        try:
            self._pass_on(self._head, splitter.release())
            self._keep(splitter.partial_bytes)
            if splitter.spoiling is not None and self.in_flight:
                self._give_up(streamchecks.spoiled(self))
        except Exception as error:
            answerfaults.end_broken(self.forward, error)

    def _pass_on(self, head: AnswerHead, events: bytes) -> None:
        """Relay complete events."""
        if self.forward.end_check is not None:
            events = self.forward.end_check.events(events)
        if events:
            now_s = self._heard_s
            self.began_s = min(self.began_s, now_s)
            self.front.fleet_state.first_event(
                self.endpoint, self.number, now_s
            )
            self.forward.relay_events(head, events, now_s)

    def _buffer(self, head: AnswerHead, data: bytes) -> None:
        """Buffer a chunk; relay the answer once it exceeds the limit."""
        exchange = self.forward.exchange
        if self._writer is not None:
            self._writer.write(data)
            if exchange.full:
                self._pause()
            return
        # A caller that has received part of a stream can not get this answer.
        if not exchange.started:
            self._buffered_body.append(data)
        if self._doubts.lacking and self._doubts.is_stream(
            self._buffered_body
        ):
            self._give_up("an event stream that its head does not tell")
            return
        if self._body_bytes <= MAX_BUFFERED_BYTES:
            self._keep(self._body_bytes)
            return
        if (
            head.not_executed
            or self._unattributed
            or is_false_refusal(self.forward.route, head)
        ):
            # Its body does not matter.
            self._close()
            self.end()
        elif head.status >= 500 or not _is_relayable(head):
            self._give_up(
                "a body that could not be passed on is too long",
                ExcessReason.BODY,
            )
        elif exchange.started:
            self._give_up("an answer after a stream had begun")
        else:
            self._writer = exchange.begin(head.status, head.headers, None)
            for chunk in self._buffered_body:
                self._writer.write(chunk)
            self._buffered_body = []
            self._keep(0)

    def _keep(self, size_bytes: int) -> None:
        """Account for the bytes of the answer that are kept.

        :param size_bytes: their number
        """
        if self._account is not None:
            self._account.resize(size_bytes)
        elif size_bytes > MIN_COUNTED_BYTES and self.in_flight:
            self._account = self.front.memory.open(self._end_for_memory)
            self._account.resize(size_bytes)

    def _end_for_memory(self) -> None:
        """End the attempt, as the process keeps too many bytes."""
        if self.in_flight:
            self._give_up("too much is kept", ExcessReason.MEMORY)

    def _pause(self) -> None:
        """Read no more until the caller has read what it has."""
        if self._pending is not None and not self._paused:
            self._paused = True
            self._pending.pause_reading()
            self.forward.cancel_overdue_timer()

    def resume(self) -> bool:
        """Read on if the attempt waits for the caller; return whether."""
        if not self._paused or self._pending is None:
            return False
        self._paused = False
        self._resumed_s = self.front.clock()
        self._pending.resume_reading()
        return True

    # --- Called by its gate.

    def stop_reading(self) -> None:
        """Read no more until `read_on`."""
        if self._pending is not None:
            self._pending.pause_reading()

    def read_on(self) -> None:
        """Read on, unless the caller has much to read."""
        self._resumed_s = self.front.clock()
        if self._pending is not None and not self._paused:
            self._pending.resume_reading()
            self.forward.restart_overdue_timer(self._resumed_s)

    def detach(self) -> None:
        """Leave the connection to other requests, as the answer has ended."""
        if self._pending is not None:
            reused, self._pending = self._pending.reused, PendingRequest()
            self._pending.reused = reused

    def give_up_unproven(self) -> None:
        """End the attempt, as nothing shows which process answers."""
        self._end = "nothing shows which process answers"
        self._close()
        self._record_end(ran=True)
        self.forward.attempt_failed(Failure.BROKEN, self._end)

    def _end_stream(self, head: AnswerHead) -> None:
        """Handle the end of an event stream."""
        forward = self.forward
        splitter = forward.splitter
        if endcheck.is_cut_at_held(self):
            self.count_failure()
            forward.attempt_failed(Failure.BROKEN, endcheck.ODD_END)
            return
        if not splitter.mid_event:
            self._pass_on(head, splitter.finish())
        if forward.done:
            return
        if splitter.spoiling is not None:
            processproofs.connection_broke(self.front, self.endpoint)
            self.count_failure()
            forward.attempt_failed(Failure.BROKEN, streamchecks.spoiled(self))
        elif splitter.mid_event:
            runwatch.run_broken(self, "the stream ended amid an event")
            processproofs.connection_broke(self.front, self.endpoint)
            self.count_failure()
            forward.attempt_failed(
                Failure.BROKEN, "the stream ended in the middle of an event"
            )
        elif forward.end_check is not None:
            forward.end_check.ended(framed=not self._ended_with_connection)
        elif not endcheck.begin(
            self, head, framed=not self._ended_with_connection
        ):
            self.end_stream(head)

    def end_stream(self, head: AnswerHead, *, checked: bool = False) -> None:
        """End the caller's stream, which is whole.

        :param head: the head of the answer
        :param checked: whether another attempt had nothing to add
        """
        self.front.pool.succeeded(self.endpoint)
        self.front.stream_ends.add_whole(
            self.forward.stream_end(), checked=checked
        )
        self.forward.begin_stream(head).finish()
        self.forward.answered("answer", head.status)

    def _close(self) -> None:
        """Close the attempt's connection."""
        if self._pending is not None:
            self._pending.cancel()

    def _give_up(
        self, detail: str, excess: ExcessReason | None = None
    ) -> None:
        """End the attempt, as its bytes are no answer.

        :param detail: why, for the log
        :param excess: what it sent too much of; None: nothing
        """
        self._close()
        if excess is not None:
            entry = self.endpoint.entry
            self.front.peer_exceeded(
                Excess(PeerKind.ENDPOINT, f"{entry.host}:{entry.port}", excess)
            )
        if excess is not ExcessReason.MEMORY:
            self.endpoint.spoiled_s = self.front.clock()
        self.failed(ResponseFailure.BROKEN, detail)

    def _record_end(self, *, ran: bool) -> None:
        """Record that the attempt is over.

        :param ran: whether there is a sign that the endpoint worked on it
        """
        if self._pending is not None:
            self.ended_connection = self._pending.connection
        self._pending = None
        self._keep(0)
        if not ran:
            self.withdraw_grant()
        self.front.fleet_state.ended(self.endpoint, self.number)
        self.forward.cancel_overdue_timer()

    # --- Its state.

    @property
    def in_flight(self) -> bool:
        """Return whether it waits for a connection or for its answer."""
        return self._pending is not None

    def describe_answer(self) -> dict[str, float | int | str]:
        """Return what is known of the endpoint's answer, for the log."""
        if self._head is None:
            return {"answer_end": self._end}
        described: dict[str, float | int | str] = {
            "framing": self._framing.value,
            "answer_end": self._end,
            "received_bytes": self._body_bytes,
        }
        if self.end_kind is not None:
            described["end_kind"] = self.end_kind.name.lower()
            described["last_id"] = self.forward.splitter.last_id or 0
        if self._doubts.lacking:
            described["head_lacks"] = ", ".join(sorted(self._doubts.lacking))
        if self._proof is not None:
            described["proof"] = self._proof.value
            described["proof_age_s"] = round(self._proof_age_s, 3)
        return described

    @property
    def answer_begun(self) -> bool:
        """Return whether the answer's head has arrived."""
        return self._head is not None

    @property
    def is_stream(self) -> bool:
        """Return whether its answer is a stream of events."""
        head = self._head
        return head is not None and head.event_stream and head.status == 200

    @property
    def progress(self) -> AnswerProgress:
        """Return how much of the answer arrived."""
        if self._head is None:
            return AnswerProgress.NOTHING
        if self._body_bytes:
            return AnswerProgress.BODY
        return AnswerProgress.HEAD

    @property
    def last_heard_s(self) -> float:
        """Return when it was sent or last heard.

        An endpoint that is not listened to is not silent.
        """
        if self._paused or (self.gate is not None and self.gate.holds):
            return self.front.clock()
        return max(self.sent_s, self._heard_s, self._resumed_s)

    @property
    def _ran_s(self) -> float:
        """Return a time at which the process ran that wrote the answer."""
        if self._unframed is None:
            return self.sent_s
        return max(self.sent_s, self._unframed.wrote_s)

    @property
    def _reused(self) -> bool:
        """Return whether its connection was used before."""
        return self._pending is not None and self._pending.reused

    @property
    def adds_nothing(self) -> bool:
        """Return whether its body has events, but none that are new."""
        return bool(self._body_bytes) and self.began_s == float("inf")

    @property
    def _ended_with_connection(self) -> bool:
        """Return whether nothing but its connection showed its end."""
        body = self._unframed
        return body is not None and body.followed_by is None

    @property
    def lacks_usual_end(self) -> bool:
        """Return whether its endpoint tells the ends of other streams."""
        return (
            self._ended_with_connection and self._doubts.lacks_stream_framing
        )

    @property
    def _framed(self) -> bool:
        """Return whether more than its connection shows the answer's end."""
        return self._framing is not Framing.CLOSE

    @property
    def unproven_connection(self) -> bool:
        """Return whether its connection may have been dead before.

        That is so if it was used before, and no byte has come since.
        """
        return self._reused and not self._heard_s

    @property
    def is_proof(self) -> bool:
        """Return whether the answer shows that its endpoint lived on."""
        head = self._head
        return head is not None and self._framed and head.status < 500

    @property
    def proves_parts(self) -> bool:
        """Return whether the endpoint read the prompt and answered whole."""
        head = self._head
        whole = head is not None and self._framed and head.status == 200
        return whole and self.began_s < float("inf")


def _is_stream(head: AnswerHead) -> bool:
    """Return whether an answer is a stream that may be relayed."""
    return head.event_stream and head.status == 200 and _is_relayable(head)


def _is_relayable(head: AnswerHead) -> bool:
    """Return whether an answer may be relayed.

    It must not be encoded, and a success must be signed.
    """
    if head.encoded:
        return False
    return head.signed or head.status >= 400
