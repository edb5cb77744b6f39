"""Checks ends of streams that may have been cut.

An endpoint that lives, or a proxy before it, may end a stream in order before
it is whole.  So may any end that only its connection shows, an odd one, see
`coordination.streamends`, and any of an endpoint that just spoiled another
answer.  A stream that may be resumed is checked:
another attempt goes on at its last event, and a whole one has nothing to add.
If the attempts show neither, the end is believed unless it is odd: the caller
may go on, too.

Nobody can check a stream that may not be resumed.  An unusual length alone is
no fault there: an odd end is believed unless its endpoint spoiled an answer
lately, something follows it on its connection, see `endwatch`, or only its
connection shows it and odd ends are rarer otherwise, see
`coordination.endsigns`.

An end that only its connection shows counts as odd, too, at an endpoint that
tells the ends of its other streams, and is not believed there.

A check is a retry.  Checks leave a part of the budget to retries of what has
failed, a smaller one where an endpoint is known to cut streams, and become
rare at an endpoint at which they find nothing.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Final

from bulrushstream.coordination.forwarding import Failure, overdue_delay_s
from bulrushstream.coordination.streamends import EndKind, StreamEnd
from bulrushstream.daemon import answerfaults, takeups
from bulrushstream.daemon.endwatch import EndWatch, watch_usual
from bulrushstream.state.eventlines import has_standard_fields
from bulrushstream.state.events import MAX_EVENT_BYTES

if TYPE_CHECKING:
    from bulrushstream.coordination.endpointpool import Endpoint
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.state.call import AnswerHead

# The part of the retry budget that is used up before checks stop, and the
# same for endpoints that cut streams.
MAX_BUDGET_SHARE: Final = 0.75
MAX_CUT_BUDGET_SHARE: Final = 0.9

# After this many checks in a row that found nothing, as at an endpoint whose
# answers never have a length, this fraction of an endpoint's ends is checked.
MAX_IN_VAIN: Final = 32
RARE_FRACTION: Final = 1 / 16

# The same of streams in good framing, from endpoints that spoil answers.
MAX_FRAMED_IN_VAIN: Final = 4

# A check that ended with its connection, too, is repeated only after fewer
# checks in vain.
MAX_REPEATED: Final = 8

NOTHING_TO_ADD: Final = "nothing_to_add"  # A result, for the log.

# Why an odd end that could not be checked counts as a failure, for the log.
ODD_END: Final = "the stream ended before others of its kind do"
CUT_END: Final = "the stream was cut, as its connection shows"
UNTOLD_END: Final = "only its connection ended the stream, unlike others"

# A check ends this long before the deadline, and begins only with more time.
MARGIN_S: Final = 0.05
MIN_CHECK_S: Final = 0.1


class EndCheck:
    """The check of one stream's end, from its begin to its result."""

    __slots__ = (
        "_agreed",
        "_attempt",
        "_begun_s",
        "_fault",
        "_framed",
        "_head",
        "_held",
        "_last_id",
        "_timer",
        "forward",
        "tried",
    )

    def __init__(
        self, attempt: Attempt, head: AnswerHead, *, framed: bool, fault: str
    ) -> None:
        """Begin the check.

        :param attempt: the attempt whose stream ended
        :param head: the head of its answer
        :param framed: whether more than its connection shows the end
        :param fault: why its end is not believed without a check; empty: it is
        """
        self.forward = attempt.forward
        self._framed = framed
        self._fault = fault
        # Whether another endpoint, if not a trusted one, had nothing to add.
        self._agreed = False
        self._attempt = attempt
        self._head = head
        self._last_id = self.forward.splitter.last_id or 0
        self._held = b""  # Events that came before one with a new id.
        # Ids of endpoints whose attempts failed.  The one whose stream is
        # checked keeps the prompt.
        self.tried: set[str] = set()
        self._begun_s = attempt.front.clock()
        self._timer = self._start_timer()

    def _start_timer(self) -> asyncio.TimerHandle:
        """Return a timer that ends the check if it takes too long."""
        forward = self.forward
        limit_s = overdue_delay_s(forward.route, stream_begun=False)
        end_s = min(self._begun_s + limit_s, forward.deadline_s - MARGIN_S)
        return asyncio.get_running_loop().call_later(
            end_s - self._attempt.front.clock(), self._took_long
        )

    def _took_long(self) -> None:
        """End the check without a result, unless that may lie unread."""
        front = self._attempt.front
        awake_since_s = front.wakefulness.awake_since_s(front.clock())
        if awake_since_s > self._begun_s:
            self._begun_s = awake_since_s
            self._timer = self._start_timer()
        else:
            self.unanswered("it took too long")

    def events(self, data: bytes) -> bytes:
        """Return the events that go on with the stream, if there are any.

        :param data: the events of its attempt that the caller does not have
        """
        splitter = self.forward.splitter
        self._held += data
        if (splitter.last_id or 0) > self._last_id:
            self._goes_on()
            return self._held
        if len(self._held) > MAX_EVENT_BYTES:
            self._held = b""
        return b""

    def cancel(self) -> None:
        """End the check without a result, as its request has ended."""
        self._timer.cancel()

    def ended(self, *, framed: bool) -> None:
        """Handle the end of its attempt, which had nothing to add.

        :param framed: whether more than its connection showed that; a living
            endpoint may have cut it at the head, too
        """
        endpoint = self._attempt.endpoint
        if (
            not framed
            and endpoint.vain_end_checks < MAX_REPEATED
            and self._go_on("it ended with its connection, too")
        ):
            return
        if self._fault and self._goes_to_another():
            return
        endpoint.vain_end_checks += 1
        if endpoint.vain_end_checks >= MAX_IN_VAIN:
            endpoint.cuts_streams = False
        self._accept(NOTHING_TO_ADD, "the stream is whole")

    def _goes_to_another(self) -> bool:
        """Ask one more endpoint if the one that agrees spoils answers, too."""
        attempt = self.forward.attempt
        if attempt is None or not _is_distrusted(attempt):
            return False
        self._agreed = self._go_on(
            "an endpoint that spoiled an answer lately had nothing to add"
        )
        return self._agreed

    def failed(self, detail: str) -> None:
        """Make one more attempt if there may be one, or believe the end.

        :param detail: how its attempt failed
        """
        if not self._go_on(detail):
            self.unanswered(detail)

    def _go_on(self, detail: str) -> bool:
        """Make one more attempt if there may be one; return whether."""
        forward = self.forward
        attempt, self._held = forward.attempt, b""
        if (
            attempt is None
            or self.tried
            or not _acquire(attempt, self._attempt.endpoint)
        ):
            return False
        self.tried.add(attempt.endpoint.name)
        forward.tried.add(attempt.endpoint.name)
        self._log("failed", detail)
        forward.go_on()
        return True

    def unanswered(self, detail: str) -> None:
        """Believe the end unless it is doubtful; its attempt shows nothing.

        :param detail: why, for the log
        """
        if self._agreed:
            self._accept(NOTHING_TO_ADD, "two endpoints end it alike")
            return
        if not self._fault:
            self._accept("not_known", detail)
            return
        forward = self.forward
        if forward.attempt is not None:
            forward.attempt.cancel()
        forward.attempt = self._attempt
        self.drop(detail)
        forward.attempt_failed(Failure.BROKEN, self._fault)

    def drop(self, detail: str) -> bool:
        """End the check of an odd end, which is not believed.

        :param detail: why it has no result, for the log
        :returns: whether the end is odd
        """
        if self._fault:
            self._timer.cancel()
            self.forward.end_check = None
            self._log("not_known", detail)
        return bool(self._fault)

    def _goes_on(self) -> None:
        """Record that the stream had been cut; its attempt goes on with it."""
        self._timer.cancel()
        self.forward.end_check = None
        self._attempt.endpoint.vain_end_checks = 0
        self._attempt.endpoint.cuts_streams = True
        if self._framed:
            self._attempt.endpoint.spoiled_s = self._attempt.front.clock()
        self._attempt.count_failure()
        self._log("goes_on", "the stream had been cut")

    def _accept(self, outcome: str, detail: str) -> None:
        """End the stream as whole."""
        forward = self.forward
        self._timer.cancel()
        self._log(outcome, detail)
        if forward.attempt is not None:
            forward.attempt.cancel()
        forward.end_check = None
        forward.attempt = self._attempt
        checked = outcome == NOTHING_TO_ADD
        if checked and self._framed and self._fault:
            signs = self._attempt.front.end_signs
            signs.add_end(forward.service, framed=True, odd=True)
        self._attempt.end_stream(self._head, checked=checked)

    def _log(self, outcome: str, detail: str) -> None:
        """Log the result."""
        self._attempt.front.log_decision(
            "end_check",
            detail,
            self.forward,
            endpoint=self._attempt.endpoint.name,
            outcome=outcome,
            inputs={"after_event": self._last_id},
        )


def begin(attempt: Attempt, head: AnswerHead, *, framed: bool) -> bool:
    """Check the end of a stream, if that is possible; return whether.

    :param attempt: the attempt, whose answer ended
    :param head: the head of its answer
    :param framed: whether more than its connection shows that
    """
    forward, endpoint = attempt.forward, attempt.endpoint
    resumable = forward.route.repeatable
    distrusted = _is_distrusted(attempt)
    ends, end = attempt.front.stream_ends, forward.stream_end()
    kind = ends.kind_of(end, resumable=resumable)
    attempt.end_kind = kind
    odd, untold = kind is EndKind.ODD, attempt.lacks_usual_end
    if kind is EndKind.USUAL:
        _learn_usual(attempt, framed=framed)
    if kind is EndKind.USUAL or (framed and not odd and not distrusted):
        return False
    fault = ODD_END if odd else UNTOLD_END if untold else ""
    if not resumable:
        if odd and not untold:
            return _judge_odd(attempt, head, framed=framed)
        return _is_failed(forward, fault)
    splitter = forward.splitter
    if fault and not splitter.event_count:
        return _is_failed(forward, fault)
    if splitter.last_id is None or not splitter.can_resume:
        # An endpoint would repeat events that have no id.
        return _is_failed(forward, UNTOLD_END if untold else "")
    if attempt.adds_nothing and forward.progress.sends > 1 and not fault:
        # Another one ended with the same events.
        return False
    limit = MAX_FRAMED_IN_VAIN if framed else MAX_IN_VAIN
    rare = endpoint.vain_end_checks >= limit
    if rare and not fault and attempt.front.rng.random() >= RARE_FRACTION:
        return False
    if forward.exchange.is_caller_gone():
        return False
    if not _acquire(attempt, endpoint):
        return _is_failed(forward, fault)
    forward.tried.add(endpoint.name)
    forward.end_check = EndCheck(attempt, head, framed=framed, fault=fault)
    forward.go_on()
    return True


def _is_failed(forward: Forward, fault: str) -> bool:
    """Fail the attempt whose end is doubtful; return whether it is.

    :param forward: the request
    :param fault: why it is, for the log; empty: it is not
    """
    if fault:
        forward.attempt_failed(Failure.BROKEN, fault)
    return bool(fault)


def _learn_usual(attempt: Attempt, *, framed: bool) -> None:
    """Learn what is usual around the ends of a service's streams.

    :param attempt: the attempt, whose stream ended as usual
    :param framed: whether more than its connection shows that
    """
    front, forward = attempt.front, attempt.forward
    if framed and attempt.ended_connection is not None:
        watch_usual(front, forward.service, attempt.ended_connection)
    if framed or not forward.route.repeatable:
        front.end_signs.add_end(forward.service, framed=framed, odd=False)


def _judge_odd(attempt: Attempt, head: AnswerHead, *, framed: bool) -> bool:
    """Judge an odd end of a stream that may not be resumed.

    :param attempt: the attempt, whose answer ended
    :param head: the head of its answer
    :param framed: whether more than its connection shows that
    :returns: whether the end is not believed, or not yet
    """
    forward, connection = attempt.forward, attempt.ended_connection
    end, signs = forward.stream_end(), attempt.front.end_signs
    doubtful = _is_distrusted(attempt)
    if not framed:
        signs.add_end(forward.service, framed=False, odd=True)
        doubtful |= signs.is_unframed_suspicious(forward.service)
    if doubtful and _is_odd_at_distrusted(attempt, end):
        # Believed, it would give the caller a wrong answer.
        attempt.front.stream_ends.add_broken(end)
        return _is_failed(forward, ODD_END)
    if not framed or connection is None or connection.has_bytes_behind:
        # What came together with it can not be its rest.
        return False
    watch = EndWatch(attempt, connection, partial(_end_watched, attempt, head))
    forward.end_watch = watch
    return True


def _end_watched(attempt: Attempt, head: AnswerHead, result: str) -> None:
    """End a stream by what followed it on its connection.

    :param attempt: the attempt, whose answer ended
    :param head: the head of its answer
    :param result: what shows that it was cut; empty: nothing
    """
    front, forward = attempt.front, attempt.forward
    forward.end_watch = None
    try:
        if result:
            attempt.endpoint.spoiled_s = front.clock()
            attempt.count_failure()
            forward.attempt_failed(Failure.BROKEN, f"{CUT_END}: {result}")
        else:
            front.end_signs.add_end(forward.service, framed=True, odd=True)
            attempt.end_stream(head)
    except Exception as error:
        answerfaults.end_broken(forward, error)


def is_cut_at_held(attempt: Attempt) -> bool:
    """Return whether a stream ends oddly, with an event that has no id.

    Such an event was held back, as its fields are not usual: it may be the
    last one with a damaged id, which must not reach the caller.

    :param attempt: the attempt, whose answer ended
    """
    forward, ends = attempt.forward, attempt.front.stream_ends
    held = forward.splitter.held_without_id
    if held is None:
        return False
    # The held event is not among those relayed, so only ids are compared.
    end = replace(forward.stream_end(), last_event=b"")
    if forward.route.repeatable:
        return ends.kind_of(end) is EndKind.ODD
    if has_standard_fields(held) and not _is_distrusted(attempt):
        # Its id is not damaged; what follows it is looked at.
        return False
    odd = _is_odd_at_distrusted(attempt, end)
    if odd:
        ends.add_broken(end)
    return odd


def _is_odd_at_distrusted(attempt: Attempt, end: StreamEnd) -> bool:
    """Return whether an end is odd enough not to be believed unchecked.

    :param attempt: the attempt, whose answer ended
    :param end: its end
    """
    ends = attempt.front.stream_ends
    kind = ends.kind_of(end, resumable=False, distrusted=True)
    return kind is EndKind.ODD


def _is_distrusted(attempt: Attempt) -> bool:
    """Return whether an attempt's endpoint spoiled an answer lately."""
    endpoint = attempt.endpoint
    endpoint.spoiled_s = max(endpoint.spoiled_s, attempt.pool.spoiled_s)
    return endpoint.is_distrusted(attempt.front.clock())


def is_ended(forward: Forward, detail: str) -> bool:
    """End the check or watch of a stream's end; return if the request ended.

    :param forward: the request
    :param detail: why it is not known if the stream is whole, for the log
    """
    if forward.end_watch is not None:
        forward.end_watch.stop(detail)
        return True
    check = forward.end_check
    if check is None or check.drop(detail):
        return False
    check.unanswered(detail)
    return True


def _acquire(attempt: Attempt, checked: Endpoint) -> bool:
    """Use up a retry for a check; return whether there was one, and time.

    :param attempt: the request's last attempt
    :param checked: the endpoint whose stream ended
    """
    forward, front = attempt.forward, attempt.front
    if forward.progress.sends >= forward.route.max_attempts:
        return False
    if forward.deadline_s - front.clock() < MIN_CHECK_S + MARGIN_S:
        return False
    share = MAX_CUT_BUDGET_SHARE if checked.cuts_streams else MAX_BUDGET_SHARE
    return takeups.can_go_on(forward) and front.acquire_retry(
        forward.service, share
    )
